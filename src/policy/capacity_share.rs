//! Share of a target's limit that a home may use.
//!
//! A failure domain can be split, and each part then has a home for the same target. The shares of all parts sum to
//! at most the target's limit, because each part computes its share from the hosts that it sees.

use std::collections::VecDeque;

use crate::prelude::*;

/// What a host sees of the listed hosts of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainVisibility {
    /// Listed hosts.
    pub listed: u32,
    /// Listed hosts seen alive, the own one included.
    pub seen: u32,
    /// Whether the listed host with the lowest id is seen; it decides between two halves.
    pub sees_lowest: bool,
}

/// Part of `limit` that a home with this sight may use.
#[must_use]
pub fn capacity_share(sight: DomainVisibility, limit: u32) -> u32 {
    let listed = u64::from(sight.listed);
    let seen = u64::from(sight.seen).min(listed);
    if listed == 0 {
        return 0;
    }
    let limit = u64::from(limit);
    let has_majority = 2 * seen > listed || (2 * seen == listed && sight.sees_lowest);
    let share = if has_majority { limit - (listed - seen) * limit / listed } else { seen * limit / listed };
    u32::try_from(share).unwrap_or(u32::MAX)
}

/// Sights of the recent past: a smaller share takes effect at once, a larger one after the settle time.
#[derive(Debug, Clone)]
pub struct ShareHistory {
    settle: Duration,
    sights: VecDeque<TimedSight>,
}

#[derive(Debug, Clone, Copy)]
struct TimedSight {
    since: BootTime,
    sight: DomainVisibility,
}

impl ShareHistory {
    /// Empty history; no share is usable until one settle time after the first sight.
    #[must_use]
    pub fn new(settle: Duration) -> Self {
        Self { settle, sights: VecDeque::new() }
    }

    /// Records the present sight.
    pub fn record(&mut self, now: BootTime, sight: DomainVisibility) {
        let is_known = self.sights.back().is_some_and(|last| last.sight == sight);
        if !is_known {
            self.sights.push_back(TimedSight { since: now, sight });
        }
        while self.sights.len() > 1 && now.saturating_sub(self.sights[1].since) >= self.settle {
            self.sights.pop_front();
        }
    }

    /// Forgets everything, as after a pause of this process.
    pub fn clear(&mut self) {
        self.sights.clear();
    }

    /// Part of `limit` that is usable now for a target that this host has been the home of since `coordinator_since`.
    #[must_use]
    pub fn share(&self, now: BootTime, coordinator_since: BootTime, limit: u32) -> u32 {
        let Some(first) = self.sights.front() else { return 0 };
        if self.settle_left(now, coordinator_since.max(first.since)) > Duration::ZERO {
            return 0;
        }
        self.sights.iter().map(|timed| capacity_share(timed.sight, limit)).min().unwrap_or(0)
    }

    /// Whether the domain is, or was within the settle time, divided or unknown.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.sights.len() != 1 || self.sights.iter().any(|timed| timed.sight.seen < timed.sight.listed)
    }

    /// Time until a share that began at `since` is usable.
    #[must_use]
    pub fn settle_left(&self, now: BootTime, since: BootTime) -> Duration {
        (since + self.settle).saturating_sub(now)
    }
}
