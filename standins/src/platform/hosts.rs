//! The host list, which shows changes late.

use std::time::{Duration, Instant};

use camphorspring::generated::platform_messages::HostList;

#[derive(Debug)]
struct ListChange {
    shown_from: Instant,
    list: HostList,
}

/// Host lists in the order they were set.
#[derive(Debug)]
pub(super) struct HostBoard {
    lag: Duration,
    changes: Vec<ListChange>,
}

impl HostBoard {
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, changes: Vec::new() }
    }

    /// Sets the list. The first one shows at once, since hosts start after it is known.
    pub(super) fn set(&mut self, list: HostList) {
        let lag = if self.changes.is_empty() { Duration::ZERO } else { self.lag };
        self.changes.push(ListChange { shown_from: Instant::now() + lag, list });
    }

    pub(super) fn shown(&self) -> HostList {
        let now = Instant::now();
        let change = self.changes.iter().rev().find(|change| change.shown_from <= now);
        change.map_or_else(|| HostList { hosts: Vec::new() }, |change| change.list.clone())
    }
}
