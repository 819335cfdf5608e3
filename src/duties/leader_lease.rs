//! Leader lease: one store row that the holder renews.
//!
//! Receivers of the leader's calls treat it as a violation when two holders alternate within the alternation time `T`:
//! when a host acts, then another one, and the first one again less than `T` after its last call.
//! Therefore a holder acts only within `T / 2` after the start of its last successful renewal, and each call ends
//! within `T / 3`. A successor waits until the row has been unchanged for `T + TAKEOVER_MARGIN` by the successor's
//! clock, so that its first call follows the last call of the former holder by at least `T / 6 + TAKEOVER_MARGIN`. A
//! holder that releases the lease lets another host follow at once, and can itself take the lease again only
//! `T + TAKEOVER_MARGIN` later, so that calls of two holders do not alternate within `T`. The same holds for a holder
//! whose lease expired, from the time at which its last call may have ended.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::row_store::RowVersion;

/// Table of the leader lease, of the notices of weight loads and of the reports of crashes.
pub const DUTY_TABLE: &str = "duties";

/// Key of the row of the leader lease.
pub const LEASE_KEY: &str = "lease";

/// Margin for clock drift and late timers in a takeover.
pub const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);

/// Row of the lease. The row is never deleted, since the fencing number must only increase.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder of the lease; empty after a release.
    pub holder: HostId,
    /// Incarnation of the holder; 0 after a release.
    pub incarnation: Incarnation,
    /// Fencing number of the holder; each takeover increases it by one.
    pub fence: LeaseEpoch,
    /// Counter of the renewals since the holder took the lease over.
    pub beat: u64,
    /// Hosts that released or lost the lease recently, each at most once; a takeover drops the entries that are older
    /// than `T + TAKEOVER_MARGIN`.
    pub former: Vec<FormerHolder>,
}

/// A host that held the lease, and when it lost it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHolder {
    /// Host as named in [`LeaseRow::holder`].
    pub host: HostId,
    /// Time of the release by the clock of the store, in milliseconds. After a takeover of an expired lease, the time
    /// at which the last call of the holder may have ended: that of the takeover less `T / 6 + TAKEOVER_MARGIN`.
    pub until_ms: u64,
}

/// A conditional write of the lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// New content of the row.
    pub row: LeaseRow,
    /// Version that the row must have in the store for the write to be applied; 0 when there must be no row.
    pub version: RowVersion,
}

/// Lease as one host knows it; decides when this host writes the row and when it may act.
#[derive(Debug)]
pub struct LeaderLease {
    host: HostId,
    incarnation: Incarnation,
    alternation_time: Duration,
    row: LeaseRow,
    version: RowVersion,
    /// Whether the host has read the row, or its absence, at least once.
    is_read: bool,
    /// When this host first saw the present version of the row.
    unchanged_since: BootTime,
    /// When the store last showed that the known row is the present one.
    confirmed_at: BootTime,
    /// Start of the last successful write of the own row; `None` while this host does not hold the lease.
    renewed_at: Option<BootTime>,
    /// Start of the write in flight.
    sent_at: Option<BootTime>,
    next_write_at: BootTime,
}

/// Renewals of the lease in each alternation time.
const RENEWALS_PER_ALTERNATION: u32 = 5;

/// Greatest age of the last answer of the store at which a host takes the lease over. When the last answer is older,
/// the holder may have renewed the row unseen.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1500);

impl LeaderLease {
    /// Creates the state before the first read of the row. `host` must differ between machines, also when a new machine
    /// has the name of an old one; `alternation_time` is the time within which holders must not alternate.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation, alternation_time: Duration) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            alternation_time,
            row: LeaseRow::default(),
            version: 0,
            is_read: false,
            unchanged_since: BootTime::ZERO,
            confirmed_at: BootTime::ZERO,
            renewed_at: None,
            sent_at: None,
            next_write_at: BootTime::ZERO,
        }
    }

    /// Records the row as read from the store; `None` when there is no row. A row that is not newer than the known one
    /// only shows that the store answered.
    pub fn record_row(&mut self, row: Option<(LeaseRow, RowVersion)>, now: BootTime) {
        let (row, version) = row.unwrap_or_default();
        self.confirmed_at = now;
        if !self.is_read || version > self.version {
            self.is_read = true;
            self.row = row;
            self.version = version;
            self.unchanged_since = now;
            if !self.is_own_row() {
                self.renewed_at = None;
            }
        }
    }

    /// Records that the store answered and the row has not changed.
    pub fn record_unchanged(&mut self, now: BootTime) {
        self.confirmed_at = now;
    }

    fn is_own_row(&self) -> bool {
        self.row.holder == self.host && self.row.incarnation == self.incarnation
    }

    /// Fencing number under which this host may act; `None` while it may not act.
    #[must_use]
    pub fn fence(&self, now: BootTime) -> Option<LeaseEpoch> {
        let renewed_at = self.renewed_at?;
        let is_held = self.is_own_row() && now.saturating_sub(renewed_at) < self.alternation_time / 2;
        is_held.then_some(self.row.fence)
    }

    /// Longest time that a call of the holder may take.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.alternation_time / 3
    }

    /// Begins the renewal or takeover that is due now; `None` when none is due, or a write is in flight. `store_ms` is
    /// the time by the clock of the store. The caller reports the result of the write with
    /// [`LeaderLease::record_written`] or [`LeaderLease::record_failed`].
    pub fn begin_due_write(&mut self, now: BootTime, store_ms: u64) -> Option<LeaseWrite> {
        if !self.is_read || self.sent_at.is_some() || now < self.next_write_at {
            return None;
        }
        let row = if self.is_own_row() && self.renewed_at.is_some() {
            if self
                .renewed_at
                .is_some_and(|at| now.saturating_sub(at) < self.alternation_time / RENEWALS_PER_ALTERNATION)
            {
                return None;
            }
            LeaseRow { beat: self.row.beat + 1, ..self.row.clone() }
        } else {
            if !self.can_take_over(now, store_ms) {
                return None;
            }
            self.plan_takeover(store_ms)
        };
        self.sent_at = Some(now);
        Some(LeaseWrite { row, version: self.version })
    }

    fn can_take_over(&self, now: BootTime, store_ms: u64) -> bool {
        if now.saturating_sub(self.confirmed_at) > MAX_CONFIRMATION_AGE {
            return false;
        }
        let expiry_time = self.alternation_time + TAKEOVER_MARGIN;
        let is_expired = now.saturating_sub(self.unchanged_since) >= expiry_time;
        if self.row.holder == self.host {
            // A new incarnation on the same machine is the same holder to all receivers. The process of the former
            // incarnation has ended, so no call of it can follow.
            return true;
        }
        if !self.row.holder.is_empty() {
            return is_expired;
        }
        let own_end =
            self.row.former.iter().filter(|former| former.host == self.host).map(|former| former.until_ms).max();
        self.version == 0 || own_end.is_none_or(|end| store_ms >= end + whole_millis(expiry_time))
    }

    fn plan_takeover(&self, store_ms: u64) -> LeaseRow {
        let oldest = store_ms.saturating_sub(whole_millis(self.alternation_time + TAKEOVER_MARGIN));
        let mut former: Vec<FormerHolder> =
            self.row.former.iter().filter(|former| former.until_ms >= oldest).cloned().collect();
        if !self.row.holder.is_empty() && self.row.holder != self.host {
            former.retain(|known| known.host != self.row.holder);
            // The row has been unchanged for `T + TAKEOVER_MARGIN`; its holder acted for `T / 2` of that, and its calls ended
            // within another `T / 3`.
            let idle_time = self.alternation_time / 6 + TAKEOVER_MARGIN;
            let until_ms = store_ms.saturating_sub(whole_millis(idle_time));
            former.push(FormerHolder { host: self.row.holder.clone(), until_ms });
        }
        LeaseRow {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            fence: self.row.fence + 1,
            beat: 0,
            former,
        }
    }

    /// Records that the write in flight was applied and the row now has `version`.
    pub fn record_written(&mut self, row: LeaseRow, version: RowVersion, now: BootTime) {
        let sent_at = self.sent_at.take();
        self.confirmed_at = now;
        if version > self.version {
            self.row = row;
            self.version = version;
            self.unchanged_since = now;
        }
        self.renewed_at = if self.is_own_row() { sent_at } else { None };
    }

    /// Records that the write in flight was not applied, or that its result is not known. The next write is begun after
    /// a short delay, against the row as known by then.
    pub fn record_failed(&mut self, now: BootTime) {
        const RETRY_DELAY: Duration = Duration::from_millis(100);
        self.sent_at = None;
        self.next_write_at = now + RETRY_DELAY;
    }

    /// Stops acting and returns the write that releases the lease; `None` when this host does not hold it. All calls
    /// under the lease must have ended before.
    pub fn release(&mut self, store_ms: u64) -> Option<LeaseWrite> {
        if !self.is_own_row() {
            return None;
        }
        self.renewed_at = None;
        let mut row = self.row.clone();
        row.former.retain(|former| former.host != self.host);
        row.former.push(FormerHolder { host: self.host.clone(), until_ms: store_ms });
        row.holder.clear();
        row.incarnation = 0;
        Some(LeaseWrite { row, version: self.version })
    }
}
