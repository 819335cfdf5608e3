//! Lease of the duties, as one row that its holder renews.
//!
//! With a turn time `T` (receivers judge holders that alternate within `T`), a holder acts only within `T / 2` after
//! the start of its last successful renewal, each call ends within `T / 3`, and a successor waits until the row has
//! been unchanged for `T + MARGIN` by its own clock. So its first act follows the last call of the former holder by at
//! least `T / 6 + MARGIN`. A holder that gives the lease up lets another one follow at once, and may itself only come
//! back `T + MARGIN` later, so that acts never go back and forth within `T`.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::row_store::RowVersion;

/// Table of the lease.
pub const DUTY_TABLE: &str = "duties";

/// Key of the lease.
pub const LEASE_KEY: &str = "lease";

/// Allowance for clock drift and late timers in a takeover.
pub const LEASE_GUARD: Duration = Duration::from_millis(300);

/// Row of the lease. It is never deleted, since the fence must only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Holder; empty after a release.
    pub holder: HostId,
    /// Life of the holder.
    pub incarnation: Incarnation,
    /// Fencing number of the tenure.
    pub fence: LeaseEpoch,
    /// Renewals of the tenure.
    pub beat: u64,
    /// Former holders of the recent past and when they gave up, by the clock of the store in milliseconds.
    pub former: Vec<FormerHolder>,
}

/// A host that held the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHolder {
    /// Host.
    pub host: HostId,
    /// End of its tenure by the clock of the store, in milliseconds.
    pub until_ms: u64,
}

/// A write of the row that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// New content.
    pub row: LeaseRow,
    /// Version that the present row must have.
    pub version: RowVersion,
}

/// State of the lease on one host.
#[derive(Debug)]
pub struct LeaderLease {
    host: HostId,
    incarnation: Incarnation,
    turn: Duration,
    row: LeaseRow,
    version: RowVersion,
    is_read: bool,
    unchanged_since: BootTime,
    confirmed_at: BootTime,
    renewed_at: Option<BootTime>,
    sent_at: Option<BootTime>,
    next_try: BootTime,
}

/// Period between renewals, as a part of the turn time.
const RENEWAL_PARTS: u32 = 5;

/// Longest silence of the store after which a host does not judge the holder's.
const CONFIRMATION_LIMIT: Duration = Duration::from_millis(1500);

impl LeaderLease {
    /// Lease that is not known yet. `host` names the machine, so that a new machine under an old name is another holder;
    /// `turn` is the time within which holders must not alternate.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation, turn: Duration) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            turn,
            row: LeaseRow::default(),
            version: 0,
            is_read: false,
            unchanged_since: BootTime::ZERO,
            confirmed_at: BootTime::ZERO,
            renewed_at: None,
            sent_at: None,
            next_try: BootTime::ZERO,
        }
    }

    /// Records the row as read; `None` when it is absent.
    pub fn observe(&mut self, row: Option<(LeaseRow, RowVersion)>, now: BootTime) {
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

    /// Records that the store confirmed that nothing changed.
    pub fn confirm(&mut self, now: BootTime) {
        self.confirmed_at = now;
    }

    fn is_own_row(&self) -> bool {
        self.row.holder == self.host && self.row.incarnation == self.incarnation
    }

    /// Fencing number while this host may act; `None` otherwise.
    #[must_use]
    pub fn fence(&self, now: BootTime) -> Option<LeaseEpoch> {
        let renewed_at = self.renewed_at?;
        let is_held = self.is_own_row() && now.saturating_sub(renewed_at) < self.turn / 2;
        is_held.then_some(self.row.fence)
    }

    /// Longest time that a call of a holder may take.
    #[must_use]
    pub fn call_limit(&self) -> Duration {
        self.turn / 3
    }

    /// Write that is due now; `store_ms` is the time of the store's clock. The caller reports its result with
    /// [`LeaderLease::written`] or [`LeaderLease::failed`].
    pub fn due_write(&mut self, now: BootTime, store_ms: u64) -> Option<LeaseWrite> {
        if !self.is_read || self.sent_at.is_some() || now < self.next_try {
            return None;
        }
        let row = if self.is_own_row() && self.renewed_at.is_some() {
            if self.renewed_at.is_some_and(|at| now.saturating_sub(at) < self.turn / RENEWAL_PARTS) {
                return None;
            }
            LeaseRow { beat: self.row.beat + 1, ..self.row.clone() }
        } else {
            if !self.is_claimable(now, store_ms) {
                return None;
            }
            self.claim(store_ms)
        };
        self.sent_at = Some(now);
        Some(LeaseWrite { row, version: self.version })
    }

    fn is_claimable(&self, now: BootTime, store_ms: u64) -> bool {
        if now.saturating_sub(self.confirmed_at) > CONFIRMATION_LIMIT {
            return false;
        }
        let silence = self.turn + LEASE_GUARD;
        let is_silent = now.saturating_sub(self.unchanged_since) >= silence;
        if self.row.holder == self.host {
            // A new life on the same machine is the same holder to all receivers, and no call of its former life, whose
            // process is gone, can follow.
            return true;
        }
        if !self.row.holder.is_empty() {
            return is_silent;
        }
        let own_end =
            self.row.former.iter().filter(|former| former.host == self.host).map(|former| former.until_ms).max();
        self.version == 0 || own_end.is_none_or(|end| store_ms >= end + whole_millis(silence))
    }

    fn claim(&self, store_ms: u64) -> LeaseRow {
        let oldest = store_ms.saturating_sub(whole_millis(self.turn + LEASE_GUARD));
        let mut former: Vec<FormerHolder> =
            self.row.former.iter().filter(|former| former.until_ms >= oldest).cloned().collect();
        if !self.row.holder.is_empty() && self.row.holder != self.host {
            former.retain(|known| known.host != self.row.holder);
            former.push(FormerHolder { host: self.row.holder.clone(), until_ms: oldest });
        }
        LeaseRow {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            fence: self.row.fence + 1,
            beat: 0,
            former,
        }
    }

    /// Records that the write was applied at `version`.
    pub fn written(&mut self, row: LeaseRow, version: RowVersion, now: BootTime) {
        let sent_at = self.sent_at.take();
        self.confirmed_at = now;
        if version > self.version {
            self.row = row;
            self.version = version;
            self.unchanged_since = now;
        }
        self.renewed_at = if self.is_own_row() { sent_at } else { None };
    }

    /// Records that the write was not applied or that nothing is known of it; the row is read again first.
    pub fn failed(&mut self, now: BootTime) {
        /// Wait before the next try.
        const RETRY: Duration = Duration::from_millis(100);
        self.sent_at = None;
        self.next_try = now + RETRY;
    }

    /// Row that gives the lease up, when this host holds it; acts must have ended.
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
