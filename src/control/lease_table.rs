//! Resources that this host requests or owns. Renewals of one session extend the leases of all of them.
//!
//! A resource of another host is taken over when the session row of that host has not changed for [`LEASE_TTL`] plus
//! [`LEASE_MARGIN`] by the own clock. The write is conditional on the resource row, the own session row and the session
//! row of the owner as they were read, so that an owner that renews at the last moment keeps the resource.

use serde::{Deserialize, Serialize};

use crate::control::control_view::OwnedResource;
use crate::control::host_session::{HostSession, session_of_row};
use crate::control::store_call::{
    RESOURCE_TABLE, SESSION_TABLE, StoreAnswer, StoreCall, StoreCommand, StorePurpose, StoreReport, row_check,
    row_write,
};
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;

/// Interval at which the row of a requested resource is read while another host owns it.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Delay after a call without a usable answer.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay after an acquisition that met a conflict, for example with a renewal of the own session. Also applies if the
/// own session expired during the acquisition.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after which a call without an answer is given up and the row is read again.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Value of a resource row. Rows are never deleted, since the epoch must only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceRow {
    /// Host that owns the resource; empty after a release.
    pub owner: HostId,
    /// Incarnation of the owner; 0 after a release.
    pub incarnation: Incarnation,
    /// Number of ownerships so far; receivers get it as the fencing number.
    pub epoch: LeaseEpoch,
}

/// Session of the owner of a requested resource, as observed here.
#[derive(Debug, Clone, PartialEq, Eq)]
struct OwnerWatch {
    owner: HostId,
    incarnation: Incarnation,
    /// Version of the session row; `None` if the row is absent, malformed or of another incarnation.
    session_version: Option<u64>,
    /// Time of the first read that found this version.
    unchanged_since: BootTime,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum LeasePhase {
    /// The row has to be read first.
    Unread,
    /// The row was read; another host owns the resource, or none.
    Watched,
    /// A write that makes this host the owner is in flight.
    Acquiring,
    /// This host owns the resource while its session is valid.
    Owned,
}

#[derive(Debug)]
struct LeaseEntry {
    name: String,
    phase: LeasePhase,
    row: ResourceRow,
    row_version: u64,
    watch: Option<OwnerWatch>,
    /// Start of the call in flight. A read of the row and the read of the owner's session after it count as one call.
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

    /// Whether the resource has no owner, or the session of the owner has been unchanged for long enough.
    fn can_acquire(&self, now: BootTime) -> bool {
        let silence = LEASE_TTL + LEASE_MARGIN;
        let is_silent = |watch: &OwnerWatch| now.saturating_sub(watch.unchanged_since) >= silence;
        self.row.owner.is_empty() || self.watch.as_ref().is_some_and(is_silent)
    }

    /// Records that no call is in flight, and delays the next one.
    fn end_call(&mut self, now: BootTime, delay: Duration) {
        self.pending_since = None;
        self.due_at = now + delay;
    }
}

/// Requested and owned resources, and the session of this host.
#[derive(Debug)]
pub struct LeaseTable {
    host: HostId,
    incarnation: Incarnation,
    session: HostSession,
    entries: Vec<LeaseEntry>,
    acquisition_count: u64,
}

impl LeaseTable {
    /// Table without resources; the session is not renewed until one is requested.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            session: HostSession::new(host, incarnation),
            entries: Vec::new(),
            acquisition_count: 0,
        }
    }

    /// Starts to try to own a resource. Has no effect if the resource is requested or owned already.
    pub fn request_resource(&mut self, name: &str) {
        if let Err(position) = self.find_entry(name) {
            self.entries.insert(position, LeaseEntry::new(name));
        }
    }

    /// Stops trying to own a resource. Returns the write that releases the resource, if this host owned it.
    pub fn release_resource(&mut self, name: &str) -> Option<StoreCommand> {
        let position = self.find_entry(name).ok()?;
        let entry = self.entries.remove(position);
        (entry.phase == LeasePhase::Owned).then(|| self.begin_release(&entry))
    }

    /// Stops trying to own any resource. Returns the writes that release the owned ones.
    pub fn release_all(&mut self) -> Vec<StoreCommand> {
        let entries = std::mem::take(&mut self.entries);
        entries.iter().filter(|entry| entry.phase == LeasePhase::Owned).map(|entry| self.begin_release(entry)).collect()
    }

    fn begin_release(&self, entry: &LeaseEntry) -> StoreCommand {
        let row = ResourceRow { owner: HostId::new(), incarnation: 0, epoch: entry.row.epoch };
        let call = StoreCall::Transact {
            token: format!("{}.{:x}.release.{}", self.host, self.incarnation, entry.row.epoch),
            checks: vec![row_check(RESOURCE_TABLE, &entry.name, entry.row_version)],
            writes: vec![row_write(RESOURCE_TABLE, &entry.name, &row)],
        };
        StoreCommand { purpose: StorePurpose::ResourceRelease, call }
    }

    /// Starts the renewal of the session and the calls for resources that are due at `now`.
    pub fn tick(&mut self, now: BootTime) -> Vec<StoreCommand> {
        self.expire_session(now);
        if self.entries.is_empty() {
            return Vec::new();
        }
        let mut commands: Vec<StoreCommand> = self.session.begin_renewal(now).into_iter().collect();
        if self.session.valid_since(now).is_some() {
            for position in 0..self.entries.len() {
                commands.extend(self.begin_due_call(position, now));
            }
        }
        commands
    }

    /// Gives up all resources if the session has expired. Another host may own any of them after that, so each row is
    /// read again.
    fn expire_session(&mut self, now: BootTime) {
        if !self.session.expire(now) {
            return;
        }
        for entry in &mut self.entries {
            if entry.phase == LeasePhase::Owned {
                log::warn!(resource = entry.name.as_str(), code = ResultCode::LeaseLost.number(); "lease_lost");
            }
            entry.phase = LeasePhase::Unread;
            entry.end_call(now, Duration::ZERO);
        }
    }

    /// Starts the next call for an entry, if one is due: an acquisition, or a read of the row. A call in flight is
    /// given up after [`CALL_TIMEOUT`].
    fn begin_due_call(&mut self, position: usize, now: BootTime) -> Option<StoreCommand> {
        let entry = &mut self.entries[position];
        if entry.pending_since.is_some_and(|since| now.saturating_sub(since) > CALL_TIMEOUT) {
            entry.phase = LeasePhase::Unread;
            entry.end_call(now, Duration::ZERO);
        }
        if entry.phase == LeasePhase::Owned || entry.pending_since.is_some() || now < entry.due_at {
            return None;
        }
        entry.pending_since = Some(now);
        if entry.phase == LeasePhase::Watched && entry.can_acquire(now) {
            return Some(self.begin_acquisition(position));
        }
        let purpose = StorePurpose::ResourceRead(entry.name.clone());
        let call = StoreCall::ReadRow { table: RESOURCE_TABLE, key: entry.name.clone() };
        Some(StoreCommand { purpose, call })
    }

    /// Starts the write that makes this host the owner.
    fn begin_acquisition(&mut self, position: usize) -> StoreCommand {
        self.acquisition_count += 1;
        let entry = &mut self.entries[position];
        entry.phase = LeasePhase::Acquiring;
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
            token: format!("{}.{:x}.claim.{}", self.host, self.incarnation, self.acquisition_count),
            checks,
            writes: vec![row_write(RESOURCE_TABLE, &entry.name, &row)],
        };
        StoreCommand { purpose: StorePurpose::ResourceAcquisition(entry.name.clone()), call }
    }

    /// Handles the outcome of a call; returns the calls to make next.
    pub fn handle_report(&mut self, report: &StoreReport, now: BootTime) -> Vec<StoreCommand> {
        self.expire_session(now);
        match &report.purpose {
            StorePurpose::Session => self.session.handle_report(report, now),
            StorePurpose::ResourceRead(name) => {
                return self.handle_resource_row(name, report, now).into_iter().collect();
            }
            StorePurpose::OwnerRead(name) => self.handle_owner_session(name, report, now),
            StorePurpose::ResourceAcquisition(name) => self.handle_acquisition(name, report, now),
            _ => {}
        }
        self.tick(now)
    }

    fn handle_resource_row(&mut self, name: &str, report: &StoreReport, now: BootTime) -> Option<StoreCommand> {
        let valid_since = self.session.valid_since(now);
        let own_host = self.host.clone();
        let own_incarnation = self.incarnation;
        let position = self.find_entry(name).ok()?;
        let entry = &mut self.entries[position];
        if entry.phase == LeasePhase::Owned || entry.pending_since.is_none() {
            return None;
        }
        let Ok(StoreAnswer::Row(row)) = &report.outcome else {
            entry.end_call(now, CALL_RETRY_DELAY);
            return None;
        };
        let Some(resource_row) = resource_of_row(row.as_ref()) else {
            // The epoch for an acquisition cannot be derived from such a row.
            log::error!(resource = name, code = ResultCode::Internal.number(); "resource_row_unreadable");
            entry.end_call(now, WATCH_INTERVAL);
            return None;
        };
        entry.row_version = row.as_ref().map_or(0, |row| row.version);
        entry.row = resource_row;
        entry.phase = LeasePhase::Watched;
        if entry.row.owner.is_empty() {
            entry.watch = None;
            entry.end_call(now, Duration::ZERO);
            return self.begin_due_call_if_valid(position, now);
        }
        if entry.row.owner == own_host && entry.row.incarnation == own_incarnation {
            // The answer to an acquisition was lost, or the row dates from before the session expired. Only a read that
            // began after the session became valid proves ownership; until then another host could take the resource.
            let is_owned = valid_since.is_some_and(|since| report.started_at >= since);
            entry.phase = if is_owned { LeasePhase::Owned } else { LeasePhase::Unread };
            entry.end_call(now, Duration::ZERO);
            return None;
        }
        let call = StoreCall::ReadRow { table: SESSION_TABLE, key: entry.row.owner.clone() };
        Some(StoreCommand { purpose: StorePurpose::OwnerRead(name.to_owned()), call })
    }

    fn begin_due_call_if_valid(&mut self, position: usize, now: BootTime) -> Option<StoreCommand> {
        self.session.valid_since(now)?;
        self.begin_due_call(position, now)
    }

    fn handle_owner_session(&mut self, name: &str, report: &StoreReport, now: BootTime) {
        let Ok(position) = self.find_entry(name) else { return };
        let entry = &mut self.entries[position];
        if entry.phase != LeasePhase::Watched || entry.pending_since.is_none() {
            return;
        }
        let Ok(StoreAnswer::Row(row)) = &report.outcome else {
            entry.end_call(now, CALL_RETRY_DELAY);
            return;
        };
        let session_version = session_version_of(row.as_ref(), entry.row.incarnation);
        let watch = OwnerWatch {
            owner: entry.row.owner.clone(),
            incarnation: entry.row.incarnation,
            session_version,
            unchanged_since: now,
        };
        let is_same = entry.watch.as_ref().is_some_and(|known_watch| is_same_session(known_watch, &watch));
        if !is_same {
            entry.watch = Some(watch);
        }
        let delay = if entry.can_acquire(now) { Duration::ZERO } else { WATCH_INTERVAL };
        entry.end_call(now, delay);
    }

    fn handle_acquisition(&mut self, name: &str, report: &StoreReport, now: BootTime) {
        let is_valid = self.session.valid_since(now).is_some_and(|since| report.started_at >= since);
        let Ok(position) = self.find_entry(name) else { return };
        let entry = &mut self.entries[position];
        if entry.phase != LeasePhase::Acquiring {
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
                entry.phase = LeasePhase::Owned;
                log::info!(resource = name, epoch = entry.row.epoch; "lease_taken");
                entry.end_call(now, Duration::ZERO);
            }
            Ok(_) => entry.end_call(now, CONFLICT_RETRY_DELAY),
            Err(_) => entry.end_call(now, CALL_RETRY_DELAY),
        }
    }

    /// Resources that this host owns, sorted by name; empty while the session is not valid.
    #[must_use]
    pub fn owned_resources(&self, now: BootTime) -> Vec<OwnedResource> {
        if self.session.valid_since(now).is_none() {
            return Vec::new();
        }
        let owned_entries = self.entries.iter().filter(|entry| entry.phase == LeasePhase::Owned);
        let resources = owned_entries.map(|entry| OwnedResource {
            name: entry.name.clone(),
            epoch: entry.row.epoch,
            row_version: entry.row_version,
            valid_until: self.session.valid_until(),
        });
        resources.collect()
    }

    fn find_entry(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.name.as_str().cmp(name))
    }
}

/// Parses a resource row. An absent row stands for a resource without an owner; `None` if the value is malformed.
fn resource_of_row(row: Option<&TableRow>) -> Option<ResourceRow> {
    match row {
        Some(row) => serde_json::from_str(&row.value).ok(),
        None => Some(ResourceRow { owner: HostId::new(), incarnation: 0, epoch: 0 }),
    }
}

/// Version of an owner's session row; `None` if the row is absent, malformed or of another incarnation. A replaced
/// incarnation can no longer renew the row, so the time until the takeover runs from the first read that finds `None`.
fn session_version_of(row: Option<&TableRow>, incarnation: Incarnation) -> Option<u64> {
    let row = row?;
    let session = session_of_row(row)?;
    (session.incarnation == incarnation).then_some(row.version)
}

fn is_same_session(known_watch: &OwnerWatch, found_watch: &OwnerWatch) -> bool {
    known_watch.owner == found_watch.owner
        && known_watch.incarnation == found_watch.incarnation
        && known_watch.session_version == found_watch.session_version
}
