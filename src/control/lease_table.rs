//! Resources that this host wants or owns, under its session.
//!
//! A resource that another host owns is taken over when that host's session row has not changed for [`LEASE_TTL`] plus
//! margin by the own clock. The claim is conditional on the resource row, on the own session and on the silent
//! session as read, so that an owner that renews at the last moment keeps the resource.

use serde::{Deserialize, Serialize};

use crate::control::control_view::OwnedResource;
use crate::control::host_session::{HostSession, session_of_row};
use crate::control::store_call::{
    RESOURCE_TABLE, SESSION_TABLE, StoreAnswer, StoreCall, StoreCommand, StorePurpose, StoreReport, row_check,
    row_write,
};
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;

/// Period in which a wanted resource of another owner is read.
const WATCH_PERIOD: Duration = Duration::from_secs(2);

/// Wait after a failed call.
const CALL_RETRY: Duration = Duration::from_millis(500);

/// Wait after a claim that met a conflict, such as one with the renewal of the own session.
const CONFLICT_RETRY: Duration = Duration::from_millis(100);

/// Time after which an unanswered call is given up.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Value of a resource row. Rows are never deleted, since the epoch must only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceRow {
    /// Owner; empty after a release.
    pub owner: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Fencing number.
    pub epoch: LeaseEpoch,
}

/// Session of another owner, as observed here.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OwnerWatch {
    owner: HostId,
    incarnation: Incarnation,
    /// Version of the session row; `None` when it is absent or belongs to another life.
    session_version: Option<u64>,
    unchanged_since: BootTime,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum LeasePhase {
    Unread,
    Watched,
    Claimed,
    Held,
}

#[derive(Debug)]
struct LeaseEntry {
    name: String,
    phase: LeasePhase,
    row: ResourceRow,
    row_version: u64,
    watch: Option<OwnerWatch>,
    pending_since: Option<BootTime>,
    due_at: BootTime,
}

impl LeaseEntry {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            phase: LeasePhase::Unread,
            row: ResourceRow { owner: HostId::new(), incarnation: 0, epoch: 0 },
            row_version: 0,
            watch: None,
            pending_since: None,
            due_at: BootTime::ZERO,
        }
    }

    /// Whether the observed silence of the owner allows a takeover.
    fn is_claimable(&self, now: BootTime) -> bool {
        let silence = LEASE_TTL + LEASE_MARGIN;
        let is_silent = |watch: &OwnerWatch| now.saturating_sub(watch.unchanged_since) >= silence;
        self.row.owner.is_empty() || self.watch.as_ref().is_some_and(is_silent)
    }

    fn retry(&mut self, now: BootTime, wait: Duration) {
        self.pending_since = None;
        self.due_at = now + wait;
    }
}

/// Resources that this host wants or owns.
#[derive(Debug)]
pub struct LeaseTable {
    host: HostId,
    incarnation: Incarnation,
    session: HostSession,
    entries: Vec<LeaseEntry>,
    claims: u64,
}

impl LeaseTable {
    /// Table of a host that wants nothing.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            session: HostSession::new(host, incarnation),
            entries: Vec::new(),
            claims: 0,
        }
    }

    /// Starts to compete for a resource.
    pub fn want(&mut self, name: &str) {
        if let Err(position) = self.find(name) {
            self.entries.insert(position, LeaseEntry::new(name));
        }
    }

    /// Gives a resource up; returns the release to send.
    pub fn release_resource(&mut self, name: &str) -> Option<StoreCommand> {
        let position = self.find(name).ok()?;
        let entry = self.entries.remove(position);
        (entry.phase == LeasePhase::Held).then(|| self.release(&entry))
    }

    /// Gives up all resources.
    pub fn drop_all(&mut self) -> Vec<StoreCommand> {
        let entries = std::mem::take(&mut self.entries);
        entries.iter().filter(|entry| entry.phase == LeasePhase::Held).map(|entry| self.release(entry)).collect()
    }

    fn release(&self, entry: &LeaseEntry) -> StoreCommand {
        let row = ResourceRow { owner: HostId::new(), incarnation: 0, epoch: entry.row.epoch };
        let call = StoreCall::Transact {
            token: format!("{}.{:x}.release.{}", self.host, self.incarnation, entry.row.epoch),
            checks: vec![row_check(RESOURCE_TABLE, &entry.name, entry.row_version)],
            writes: vec![row_write(RESOURCE_TABLE, &entry.name, &row)],
        };
        StoreCommand { purpose: StorePurpose::ResourceRelease, call }
    }

    /// Calls that are due.
    pub fn tick(&mut self, now: BootTime) -> Vec<StoreCommand> {
        self.expire(now);
        if self.entries.is_empty() {
            return Vec::new();
        }
        let mut commands: Vec<StoreCommand> = self.session.renew(now).into_iter().collect();
        if self.session.valid_since(now).is_some() {
            for position in 0..self.entries.len() {
                commands.extend(self.advance(position, now));
            }
        }
        commands
    }

    /// After a lapse another host may own any of the resources, so each row has to be read again.
    fn expire(&mut self, now: BootTime) {
        if !self.session.expire(now) {
            return;
        }
        for entry in &mut self.entries {
            if entry.phase == LeasePhase::Held {
                log::warn!(resource = entry.name.as_str(), code = ResultCode::LeaseLost.number(); "lease_lost");
            }
            entry.phase = LeasePhase::Unread;
            entry.retry(now, Duration::ZERO);
        }
    }

    fn advance(&mut self, position: usize, now: BootTime) -> Option<StoreCommand> {
        let entry = &mut self.entries[position];
        if entry.pending_since.is_some_and(|since| now.saturating_sub(since) > CALL_LIMIT) {
            entry.phase = LeasePhase::Unread;
            entry.retry(now, Duration::ZERO);
        }
        if entry.phase == LeasePhase::Held || entry.pending_since.is_some() || now < entry.due_at {
            return None;
        }
        entry.pending_since = Some(now);
        if entry.phase == LeasePhase::Watched && entry.is_claimable(now) {
            return Some(self.claim(position));
        }
        let purpose = StorePurpose::ResourceRead(entry.name.clone());
        let call = StoreCall::ReadRow { table: RESOURCE_TABLE, key: entry.name.clone() };
        Some(StoreCommand { purpose, call })
    }

    fn claim(&mut self, position: usize) -> StoreCommand {
        self.claims += 1;
        let entry = &mut self.entries[position];
        entry.phase = LeasePhase::Claimed;
        let row = ResourceRow { owner: self.host.clone(), incarnation: self.incarnation, epoch: entry.row.epoch + 1 };
        let mut checks = vec![
            row_check(RESOURCE_TABLE, &entry.name, entry.row_version),
            row_check(SESSION_TABLE, &self.host, self.session.row_version()),
        ];
        let watch = entry.watch.as_ref().filter(|watch| watch.owner != self.host && !entry.row.owner.is_empty());
        if let Some((watch, version)) = watch.and_then(|watch| Some((watch, watch.session_version?))) {
            checks.push(row_check(SESSION_TABLE, &watch.owner, version));
        }
        let call = StoreCall::Transact {
            token: format!("{}.{:x}.claim.{}", self.host, self.incarnation, self.claims),
            checks,
            writes: vec![row_write(RESOURCE_TABLE, &entry.name, &row)],
        };
        StoreCommand { purpose: StorePurpose::ResourceClaim(entry.name.clone()), call }
    }

    /// Takes the outcome of a call; returns the next one, if it is due at once.
    pub fn take(&mut self, report: &StoreReport, now: BootTime) -> Vec<StoreCommand> {
        self.expire(now);
        match &report.purpose {
            StorePurpose::Session => self.session.take(report, now),
            StorePurpose::ResourceRead(name) => return self.take_resource(name, report, now).into_iter().collect(),
            StorePurpose::OwnerRead(name) => self.take_owner(name, report, now),
            StorePurpose::ResourceClaim(name) => self.take_claim(name, report, now),
            _ => {}
        }
        self.tick(now)
    }

    fn take_resource(&mut self, name: &str, report: &StoreReport, now: BootTime) -> Option<StoreCommand> {
        let valid_since = self.session.valid_since(now);
        let own_host = self.host.clone();
        let own_incarnation = self.incarnation;
        let position = self.find(name).ok()?;
        let entry = &mut self.entries[position];
        if entry.phase == LeasePhase::Held || entry.pending_since.is_none() {
            return None;
        }
        let Ok(StoreAnswer::Row(row)) = &report.outcome else {
            entry.retry(now, CALL_RETRY);
            return None;
        };
        let Some(value) = resource_of_row(row.as_ref()) else {
            // Its epoch is not known, and a claim could only guess one.
            log::error!(resource = name, code = ResultCode::Internal.number(); "resource_row_unreadable");
            entry.retry(now, WATCH_PERIOD);
            return None;
        };
        entry.row_version = row.as_ref().map_or(0, |row| row.version);
        entry.row = value;
        entry.phase = LeasePhase::Watched;
        if entry.row.owner.is_empty() {
            entry.watch = None;
            entry.retry(now, Duration::ZERO);
            return self.tick_one(position, now);
        }
        if entry.row.owner == own_host && entry.row.incarnation == own_incarnation {
            // A claim whose answer was lost, or a row from before a lapse. It counts only if it was read within the
            // present validity, since until that began another host could take the resource.
            let is_held = valid_since.is_some_and(|since| report.started_at >= since);
            entry.phase = if is_held { LeasePhase::Held } else { LeasePhase::Unread };
            entry.retry(now, Duration::ZERO);
            return None;
        }
        let call = StoreCall::ReadRow { table: SESSION_TABLE, key: entry.row.owner.clone() };
        Some(StoreCommand { purpose: StorePurpose::OwnerRead(name.to_owned()), call })
    }

    fn tick_one(&mut self, position: usize, now: BootTime) -> Option<StoreCommand> {
        self.session.valid_since(now)?;
        self.advance(position, now)
    }

    fn take_owner(&mut self, name: &str, report: &StoreReport, now: BootTime) {
        let Ok(position) = self.find(name) else { return };
        let entry = &mut self.entries[position];
        if entry.phase != LeasePhase::Watched || entry.pending_since.is_none() {
            return;
        }
        let Ok(StoreAnswer::Row(row)) = &report.outcome else {
            entry.retry(now, CALL_RETRY);
            return;
        };
        let session_version = session_version_of(row.as_ref(), entry.row.incarnation);
        let watch = OwnerWatch {
            owner: entry.row.owner.clone(),
            incarnation: entry.row.incarnation,
            session_version,
            unchanged_since: now,
        };
        let is_same = entry.watch.as_ref().is_some_and(|known| is_same_session(known, &watch));
        if !is_same {
            entry.watch = Some(watch);
        }
        let wait = if entry.is_claimable(now) { Duration::ZERO } else { WATCH_PERIOD };
        entry.retry(now, wait);
    }

    fn take_claim(&mut self, name: &str, report: &StoreReport, now: BootTime) {
        let is_valid = self.session.valid_since(now).is_some_and(|since| report.started_at >= since);
        let Ok(position) = self.find(name) else { return };
        let entry = &mut self.entries[position];
        if entry.phase != LeasePhase::Claimed {
            return;
        }
        entry.phase = LeasePhase::Unread;
        match &report.outcome {
            Ok(StoreAnswer::Transaction(answer)) if answer.applied && is_valid => {
                entry.row.owner.clone_from(&self.host);
                entry.row.incarnation = self.incarnation;
                entry.row.epoch += 1;
                entry.row_version += 1;
                entry.watch = None;
                entry.phase = LeasePhase::Held;
                log::info!(resource = name, epoch = entry.row.epoch; "lease_taken");
                entry.retry(now, Duration::ZERO);
            }
            Ok(_) => entry.retry(now, CONFLICT_RETRY),
            Err(_) => entry.retry(now, CALL_RETRY),
        }
    }

    /// Resources owned, sorted by name.
    #[must_use]
    pub fn owned(&self, now: BootTime) -> Vec<OwnedResource> {
        if self.session.valid_since(now).is_none() {
            return Vec::new();
        }
        let held = self.entries.iter().filter(|entry| entry.phase == LeasePhase::Held);
        let owned = held.map(|entry| OwnedResource {
            name: entry.name.clone(),
            epoch: entry.row.epoch,
            row_version: entry.row_version,
            valid_until: self.session.valid_until(),
        });
        owned.collect()
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.name.as_str().cmp(name))
    }
}

/// Value of a resource row, that of a free resource when it is absent; `None` when it cannot be read.
fn resource_of_row(row: Option<&TableRow>) -> Option<ResourceRow> {
    match row {
        Some(row) => serde_json::from_str(&row.value).ok(),
        None => Some(ResourceRow { owner: HostId::new(), incarnation: 0, epoch: 0 }),
    }
}

/// Version of an owner's session row; `None` when the row does not belong to that life any more. A replaced life
/// cannot renew, since its condition on the row fails, so its silence counts from the first such observation.
fn session_version_of(row: Option<&TableRow>, incarnation: Incarnation) -> Option<u64> {
    let row = row?;
    let session = session_of_row(row)?;
    (session.incarnation == incarnation).then_some(row.version)
}

fn is_same_session(known: &OwnerWatch, found: &OwnerWatch) -> bool {
    known.owner == found.owner
        && known.incarnation == found.incarnation
        && known.session_version == found.session_version
}
