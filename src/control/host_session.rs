//! Session of this host: the store row that the host renews while it owns or requests a resource.

use serde::{Deserialize, Serialize};

use crate::control::store_call::{
    SESSION_TABLE, StoreAnswer, StoreCall, StoreCommand, StorePurpose, StoreReport, row_check, row_write,
};
use crate::generated::platform_messages::{TableRow, TransactionAnswer};
use crate::prelude::*;
use crate::store_client::StoreCallError;

/// Delay after a failed renewal. Several attempts fit between a renewal and the end of the lease.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after which a renewal without an answer counts as lost.
const RENEWAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Value of the row by which other hosts see that the owner of a resource is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    /// Incarnation of the process that renewed the session last.
    pub incarnation: Incarnation,
    /// Serial number of the renewal within the incarnation, from 1. Failed renewals use up a number.
    pub counter: u64,
}

#[derive(Debug, Clone, Copy)]
struct PendingRenewal {
    counter: u64,
    sent_at: BootTime,
}

/// Renewals and validity of the session of this host. All leases of the host are valid only while the session is.
#[derive(Debug)]
pub struct HostSession {
    host: HostId,
    incarnation: Incarnation,
    row_version: u64,
    counter: u64,
    pending_renewal: Option<PendingRenewal>,
    /// Last renewal whose answer was lost; applied if the row later shows that the renewal took effect.
    lost_renewal: Option<PendingRenewal>,
    valid_since: Option<BootTime>,
    valid_until: BootTime,
    next_renewal_at: BootTime,
    has_been_renewed: bool,
    /// Whether the row stopped naming this incarnation after this process had renewed it. The process then never renews
    /// the session again.
    is_replaced: bool,
}

impl HostSession {
    /// Session without a renewal; the first one is due at once.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            row_version: 0,
            counter: 0,
            pending_renewal: None,
            lost_renewal: None,
            valid_since: None,
            valid_until: BootTime::ZERO,
            next_renewal_at: BootTime::ZERO,
            has_been_renewed: false,
            is_replaced: false,
        }
    }

    /// Time from which this host must not act as the owner of any resource; zero before the first renewal
    /// and after another incarnation has replaced this one.
    #[must_use]
    pub fn valid_until(&self) -> BootTime {
        self.valid_until
    }

    /// Time since which the session has been valid without a break; `None` if the session is not valid at `now`.
    #[must_use]
    pub fn valid_since(&self, now: BootTime) -> Option<BootTime> {
        self.valid_since.filter(|_| now < self.valid_until)
    }

    /// Last known version of the session row; 0 if none is known.
    #[must_use]
    pub fn row_version(&self) -> u64 {
        self.row_version
    }

    /// Marks the session as invalid if its validity has run out by `now`. Returns whether this call did so.
    pub fn expire(&mut self, now: BootTime) -> bool {
        let is_expired = self.valid_since.is_some() && now >= self.valid_until;
        if is_expired {
            self.valid_since = None;
        }
        is_expired
    }

    /// Starts a renewal. `None` if none is due, one is in flight, or another incarnation has replaced this one.
    pub fn begin_renewal(&mut self, now: BootTime) -> Option<StoreCommand> {
        if self.pending_renewal.is_some_and(|pending| now.saturating_sub(pending.sent_at) > RENEWAL_TIMEOUT) {
            self.lost_renewal = self.pending_renewal.take();
        }
        if self.is_replaced || self.pending_renewal.is_some() || now < self.next_renewal_at {
            return None;
        }
        self.counter += 1;
        self.pending_renewal = Some(PendingRenewal { counter: self.counter, sent_at: now });
        self.next_renewal_at = now + SESSION_RENEWAL;
        let row = SessionRow { incarnation: self.incarnation, counter: self.counter };
        let call = StoreCall::Transact {
            token: format!("{}.{:x}.session.{}", self.host, self.incarnation, self.counter),
            checks: vec![row_check(SESSION_TABLE, &self.host, self.row_version)],
            writes: vec![row_write(SESSION_TABLE, &self.host, &row)],
        };
        Some(StoreCommand { purpose: StorePurpose::Session, call })
    }

    /// Handles the outcome of the renewal in flight.
    pub fn handle_report(&mut self, report: &StoreReport, now: BootTime) {
        let Some(pending_renewal) = self.pending_renewal.take() else { return };
        match &report.outcome {
            Ok(StoreAnswer::Transaction(answer)) if answer.applied => {
                self.row_version += 1;
                self.apply_renewal(pending_renewal, now);
            }
            Ok(StoreAnswer::Transaction(answer)) => self.handle_conflict(answer, now),
            Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => {
                self.lost_renewal = Some(pending_renewal);
                self.next_renewal_at = now + RENEWAL_RETRY_DELAY;
            }
            _ => self.next_renewal_at = now + RENEWAL_RETRY_DELAY,
        }
    }

    /// Extends the validity. The lease starts when the renewal was sent, since the renewal cannot have taken effect
    /// earlier.
    fn apply_renewal(&mut self, renewal: PendingRenewal, now: BootTime) {
        self.expire(now);
        self.has_been_renewed = true;
        self.lost_renewal = None;
        self.valid_until = self.valid_until.max(renewal.sent_at + LEASE_TTL.saturating_sub(LEASE_MARGIN));
        if now < self.valid_until {
            self.valid_since.get_or_insert(now);
        }
    }

    fn handle_conflict(&mut self, answer: &TransactionAnswer, now: BootTime) {
        self.next_renewal_at = now;
        let Some(row) = answer.conflicts.iter().find(|row| row.table == SESSION_TABLE && row.key == self.host) else {
            self.row_version = 0;
            return;
        };
        self.row_version = row.version;
        let session = session_of_row(row);
        if session.as_ref().is_some_and(|session| session.incarnation == self.incarnation) {
            // A renewal by this process took effect although its answer was lost.
            let counter = session.map_or(0, |session| session.counter);
            if let Some(lost) = self.lost_renewal.filter(|lost| lost.counter == counter) {
                self.apply_renewal(lost, now);
            }
        } else if self.has_been_renewed {
            self.is_replaced = true;
            self.valid_since = None;
            self.valid_until = BootTime::ZERO;
            log::error!(code = ResultCode::LeaseLost.number(); "session_replaced");
        }
    }
}

/// Parses the value of a session row; `None` if it is malformed.
#[must_use]
pub fn session_of_row(row: &TableRow) -> Option<SessionRow> {
    serde_json::from_str(&row.value).ok()
}
