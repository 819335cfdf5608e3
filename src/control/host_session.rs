//! Session of this host: the row that it renews while it owns or wants a resource.

use serde::{Deserialize, Serialize};

use crate::control::store_call::{
    SESSION_TABLE, StoreAnswer, StoreCall, StoreCommand, StorePurpose, StoreReport, row_check, row_write,
};
use crate::generated::platform_messages::{TableRow, TransactionAnswer};
use crate::prelude::*;
use crate::store_client::StoreCallError;

/// Wait after a failed renewal; several tries fit between a renewal and the end of the lease.
const RENEWAL_RETRY: Duration = Duration::from_millis(500);

/// Time after which an unanswered renewal is given up.
const RENEWAL_LIMIT: Duration = Duration::from_secs(5);

/// Value of a session row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    /// Life of the host that renews it.
    pub incarnation: Incarnation,
    /// Number of renewals.
    pub counter: u64,
}

#[derive(Debug, Clone, Copy)]
struct PendingRenewal {
    counter: u64,
    sent_at: BootTime,
}

/// Session of this host.
#[derive(Debug)]
pub struct HostSession {
    host: HostId,
    incarnation: Incarnation,
    row_version: u64,
    counter: u64,
    pending: Option<PendingRenewal>,
    /// Last renewal whose answer was lost; it counts when the row shows that it took effect.
    lost: Option<PendingRenewal>,
    valid_since: Option<BootTime>,
    valid_until: BootTime,
    due_at: BootTime,
    was_renewed: bool,
    is_replaced: bool,
}

impl HostSession {
    /// Session that was never renewed.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            row_version: 0,
            counter: 0,
            pending: None,
            lost: None,
            valid_since: None,
            valid_until: BootTime::ZERO,
            due_at: BootTime::ZERO,
            was_renewed: false,
            is_replaced: false,
        }
    }

    /// Time from which this host must not act as an owner.
    #[must_use]
    pub fn valid_until(&self) -> BootTime {
        self.valid_until
    }

    /// Start of the present unbroken validity; `None` when the session is not valid.
    #[must_use]
    pub fn valid_since(&self, now: BootTime) -> Option<BootTime> {
        self.valid_since.filter(|_| now < self.valid_until)
    }

    /// Version of the session row after the last renewal.
    #[must_use]
    pub fn row_version(&self) -> u64 {
        self.row_version
    }

    /// Ends a validity that has run out; returns whether it did so now.
    pub fn expire(&mut self, now: BootTime) -> bool {
        let is_expired = self.valid_since.is_some() && now >= self.valid_until;
        if is_expired {
            self.valid_since = None;
        }
        is_expired
    }

    /// Next renewal, if one is due.
    pub fn renew(&mut self, now: BootTime) -> Option<StoreCommand> {
        if self.pending.is_some_and(|pending| now.saturating_sub(pending.sent_at) > RENEWAL_LIMIT) {
            self.lost = self.pending.take();
        }
        if self.is_replaced || self.pending.is_some() || now < self.due_at {
            return None;
        }
        self.counter += 1;
        self.pending = Some(PendingRenewal { counter: self.counter, sent_at: now });
        self.due_at = now + SESSION_RENEWAL;
        let row = SessionRow { incarnation: self.incarnation, counter: self.counter };
        let call = StoreCall::Transact {
            token: format!("{}.{:x}.session.{}", self.host, self.incarnation, self.counter),
            checks: vec![row_check(SESSION_TABLE, &self.host, self.row_version)],
            writes: vec![row_write(SESSION_TABLE, &self.host, &row)],
        };
        Some(StoreCommand { purpose: StorePurpose::Session, call })
    }

    /// Takes the outcome of a renewal.
    pub fn take(&mut self, report: &StoreReport, now: BootTime) {
        let Some(pending) = self.pending.take() else { return };
        match &report.outcome {
            Ok(StoreAnswer::Transaction(answer)) if answer.applied => {
                self.row_version += 1;
                self.accept(pending, now);
            }
            Ok(StoreAnswer::Transaction(answer)) => self.take_conflict(answer, now),
            Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => {
                self.lost = Some(pending);
                self.due_at = now + RENEWAL_RETRY;
            }
            _ => self.due_at = now + RENEWAL_RETRY,
        }
    }

    /// The lease counts from the moment before the renewal was sent, since it took effect no earlier.
    fn accept(&mut self, renewal: PendingRenewal, now: BootTime) {
        self.expire(now);
        self.was_renewed = true;
        self.lost = None;
        self.valid_until = self.valid_until.max(renewal.sent_at + LEASE_TTL.saturating_sub(LEASE_MARGIN));
        if now < self.valid_until {
            self.valid_since.get_or_insert(now);
        }
    }

    fn take_conflict(&mut self, answer: &TransactionAnswer, now: BootTime) {
        self.due_at = now;
        let Some(row) = answer.conflicts.iter().find(|row| row.table == SESSION_TABLE && row.key == self.host) else {
            self.row_version = 0;
            return;
        };
        self.row_version = row.version;
        let value = session_of_row(row);
        if value.as_ref().is_some_and(|value| value.incarnation == self.incarnation) {
            // A renewal of this host took effect although its answer was lost.
            let counter = value.map_or(0, |value| value.counter);
            if let Some(lost) = self.lost.filter(|lost| lost.counter == counter) {
                self.accept(lost, now);
            }
        } else if self.was_renewed {
            self.is_replaced = true;
            self.valid_since = None;
            self.valid_until = BootTime::ZERO;
            log::error!(code = ResultCode::LeaseLost.number(); "session_replaced");
        }
    }
}

/// Reads a session row; `None` when it cannot be read.
#[must_use]
pub fn session_of_row(row: &TableRow) -> Option<SessionRow> {
    serde_json::from_str(&row.value).ok()
}
