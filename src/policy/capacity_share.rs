//! Capacity share: the part of a target's limit that one coordinator may use.
//!
//! A partition of a failure domain can leave several coordinators for the same target, one in each group of hosts that
//! see each other. A group without a majority of the listed hosts may use the part of the limit that corresponds to the
//! hosts that it sees. A group with the majority may use the limit less the part that corresponds to the hosts that it
//! does not see. The shares of all groups therefore sum to at most the limit.

use std::collections::VecDeque;

use crate::prelude::*;

/// What a host can see of the listed hosts of its own failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainVisibility {
    /// Number of hosts of the domain in the platform's host list.
    pub listed: u32,
    /// Number of listed hosts that are alive as far as this host knows, itself included.
    pub seen: u32,
    /// Whether the listed host with the lowest name is seen. When a partition leaves two equal halves, the half that
    /// sees this host counts as the majority.
    pub sees_lowest: bool,
}

/// Part of `limit` that a coordinator with this visibility may use; 0 when no host is listed.
#[must_use]
pub fn capacity_share(visibility: DomainVisibility, limit: u32) -> u32 {
    let listed = u64::from(visibility.listed);
    let seen = u64::from(visibility.seen).min(listed);
    if listed == 0 {
        return 0;
    }
    let limit = u64::from(limit);
    let has_majority = 2 * seen > listed || (2 * seen == listed && visibility.sees_lowest);
    let share = if has_majority { limit - (listed - seen) * limit / listed } else { seen * limit / listed };
    u32::try_from(share).unwrap_or(u32::MAX)
}

/// Domain visibility recorded over the last settle delay, which is the delay before a larger share may be used. It
/// covers the detection of a lost host and one permit renewal. A smaller share takes effect at once.
#[derive(Debug, Clone)]
pub struct ShareHistory {
    settle_delay: Duration,
    observations: VecDeque<TimedVisibility>,
}

#[derive(Debug, Clone, Copy)]
struct TimedVisibility {
    since: BootTime,
    visibility: DomainVisibility,
}

impl ShareHistory {
    /// Creates an empty history. Until one settle delay after the first recorded visibility every share is 0.
    #[must_use]
    pub fn new(settle_delay: Duration) -> Self {
        Self { settle_delay, observations: VecDeque::new() }
    }

    /// Records the visibility at `now` and removes records that ended more than a settle delay ago.
    pub fn record(&mut self, now: BootTime, visibility: DomainVisibility) {
        let is_unchanged = self.observations.back().is_some_and(|last| last.visibility == visibility);
        if !is_unchanged {
            self.observations.push_back(TimedVisibility { since: now, visibility });
        }
        while self.observations.len() > 1 && now.saturating_sub(self.observations[1].since) >= self.settle_delay {
            self.observations.pop_front();
        }
    }

    /// Removes all records. The caller does this after a pause of the process, when the records may be outdated.
    pub fn clear(&mut self) {
        self.observations.clear();
    }

    /// Part of `limit` that this host may use at `now` for a target that it has coordinated since `coordinator_since`:
    /// the smallest share of the last settle delay. 0 until this host has been coordinator, and has recorded its
    /// visibility, for one settle delay.
    #[must_use]
    pub fn share(&self, now: BootTime, coordinator_since: BootTime, limit: u32) -> u32 {
        let Some(first) = self.observations.front() else { return 0 };
        if self.remaining_delay(now, coordinator_since.max(first.since)) > Duration::ZERO {
            return 0;
        }
        self.observations.iter().map(|observation| capacity_share(observation.visibility, limit)).min().unwrap_or(0)
    }

    /// Whether some listed host is not seen, the visibility changed within the settle delay, or nothing is recorded.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.observations.len() != 1
            || self.observations.iter().any(|observation| observation.visibility.seen < observation.visibility.listed)
    }

    /// Time from `now` until one settle delay after `since`; zero when that has passed.
    #[must_use]
    pub fn remaining_delay(&self, now: BootTime, since: BootTime) -> Duration {
        (since + self.settle_delay).saturating_sub(now)
    }
}
