//! Host list whose changes become visible after a delay.

use std::time::{Duration, Instant};

use camphorspring::generated::platform_messages::HostList;

#[derive(Debug)]
struct ListChange {
    visible_from: Instant,
    list: HostList,
}

/// All host lists in the order in which they were set; the last visible one is current.
#[derive(Debug)]
pub(super) struct DelayedHostList {
    lag: Duration,
    changes: Vec<ListChange>,
}

impl DelayedHostList {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, changes: Vec::new() }
    }

    /// Replaces the list after the lag. The first list is visible at once, since hosts start only when it is known.
    pub(super) fn set(&mut self, list: HostList) {
        let lag = if self.changes.is_empty() { Duration::ZERO } else { self.lag };
        self.changes.push(ListChange { visible_from: Instant::now() + lag, list });
    }

    /// Returns the current list, which is empty before the first one is set.
    pub(super) fn visible_list(&self) -> HostList {
        let now = Instant::now();
        let change = self.changes.iter().rev().find(|change| change.visible_from <= now);
        change.map_or_else(|| HostList { hosts: Vec::new() }, |change| change.list.clone())
    }
}
