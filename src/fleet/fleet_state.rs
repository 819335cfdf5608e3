//! Merges decoded rows into the view of the installation.
//!
//! Targets renew their entries in the store. Entries that expired while the store was unreachable reappear within about
//! two seconds after the store answers again. An entry that is missing right after an outage is therefore kept in the
//! view for that time, and dropped if it is still missing then.

use crate::fleet::fleet_view::{FleetView, MemberEntry, NamedVersion, TargetEntry, TargetState};
use crate::fleet::member_row::MemberRow;
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::table_watch::WatchEvent;
use crate::row_store::{RowVersion, StoredRow};

/// Time within which the entry of a live target reappears once the store answers again after an outage.
pub const ENTRY_REAPPEAR_TIMEOUT: Duration = Duration::from_secs(2);

/// Change of the view that a decoded row stands for.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetChange {
    /// A version of the configuration; versions that are not newer than the known one are ignored.
    Services(ServiceMap),
    /// An operator took a failure domain out of rotation, so that its targets get no new work.
    DomainClosed(DomainId),
    /// An operator put a failure domain back in rotation.
    DomainOpened(DomainId),
    /// A trainer announced a version of a model.
    VersionNamed(NamedVersion),
    /// The entry that a target wrote about itself.
    Target(TargetEntry),
    /// The entry of a target was removed, or cannot be used.
    TargetRemoved(TargetId),
    /// The row has no meaning for this program.
    Ignored,
}

/// Function that decodes a row; the host's time serves to convert durations in the row to points in time.
pub type RowDecoder = fn(&StoredRow, BootTime) -> FleetChange;

/// A target that said in a response that it is about to stop. A later start under the same id is another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingTarget {
    /// Id of the target.
    pub target: TargetId,
    /// Start of its process, as in its entry.
    pub started_ms: Option<u64>,
}

#[derive(Debug, Clone)]
struct MissingEntry {
    target: TargetId,
    drop_at: BootTime,
}

/// Current view, and the targets whose removal is deferred after an outage of the store.
#[derive(Debug, Default)]
pub struct FleetState {
    view: FleetView,
    missing: Vec<MissingEntry>,
    /// Targets that said in a response that they leave, in the order in which they said so.
    leaving: Vec<LeavingTarget>,
    is_target_store_down: bool,
    target_store_back_at: Option<BootTime>,
}

impl FleetState {
    /// Creates a state without configuration, targets or hosts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// View after the events applied so far.
    #[must_use]
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Applies an event of the operators' table, which is known up to `version` of the store with it. Returns whether
    /// anything but the time of the last read changed; true for every reload.
    pub fn apply_operator(
        &mut self,
        event: &WatchEvent,
        version: RowVersion,
        decode: RowDecoder,
        now: BootTime,
    ) -> bool {
        let rows = match event {
            WatchEvent::Failed(_) => return false,
            WatchEvent::Loaded(rows) => {
                self.view.closed_domains.clear();
                rows
            }
            WatchEvent::Changed(rows) => rows,
        };
        self.view.services_read_at = now;
        self.view.operators_version = version;
        let mut is_changed = matches!(event, WatchEvent::Loaded(_));
        for row in rows {
            is_changed |= self.apply_change(decode(row, now), now);
        }
        is_changed
    }

    /// Applies an event of the table of targets. Returns whether anything but the time of the last read changed.
    pub fn apply_targets(&mut self, event: &WatchEvent, decode: RowDecoder, now: BootTime) -> bool {
        let rows = match event {
            WatchEvent::Failed(_) => {
                self.is_target_store_down = true;
                return self.expire_missing(now);
            }
            WatchEvent::Loaded(rows) | WatchEvent::Changed(rows) => rows,
        };
        if self.is_target_store_down {
            self.is_target_store_down = false;
            self.target_store_back_at = Some(now);
        }
        self.view.targets_read_at = now;
        let changes: Vec<FleetChange> = rows.iter().map(|row| decode(row, now)).collect();
        let mut is_changed = false;
        if matches!(event, WatchEvent::Loaded(_)) {
            let mut present: Vec<&str> = changes.iter().filter_map(present_target).collect();
            present.sort_unstable();
            let absent: Vec<TargetId> = self
                .view
                .targets
                .iter()
                .filter(|target| present.binary_search(&target.id.as_str()).is_err())
                .map(|target| target.id.clone())
                .collect();
            for target in absent {
                is_changed |= self.remove_or_defer_target(target, now);
            }
        }
        for change in changes {
            is_changed |= self.apply_change(change, now);
        }
        self.expire_missing(now) || is_changed
    }

    /// Takes targets that said that they leave out of service, whatever their entries say; returns whether the view changed.
    pub fn set_leaving(&mut self, leaving: &[LeavingTarget]) -> bool {
        leaving.clone_into(&mut self.leaving);
        let is_affected = |target: &TargetEntry| target.state == TargetState::Ready && self.is_leaving(target);
        if !self.view.targets.iter().any(is_affected) {
            return false;
        }
        let mut targets = self.view.targets.to_vec();
        for target in targets.iter_mut().filter(|target| self.is_leaving(target)) {
            target.state = TargetState::Leaving;
        }
        self.view.targets = Arc::new(targets);
        true
    }

    fn is_leaving(&self, target: &TargetEntry) -> bool {
        self.leaving.iter().any(|known| known.target == target.id && known.started_ms == target.started_ms)
    }

    /// Applies an event of the table of hosts; returns whether the store answered.
    pub fn apply_members(&mut self, event: &WatchEvent, now: BootTime) -> bool {
        let rows = match event {
            WatchEvent::Failed(_) => return false,
            WatchEvent::Loaded(rows) | WatchEvent::Changed(rows) => rows,
        };
        self.view.members_read_at = now;
        let mut members = (*self.view.members).clone();
        for row in rows {
            apply_member(&mut members, row, now);
        }
        self.view.members = Arc::new(members);
        true
    }

    fn apply_change(&mut self, change: FleetChange, now: BootTime) -> bool {
        match change {
            FleetChange::Services(services) => self.apply_services(services),
            FleetChange::DomainClosed(domain) => insert_sorted(&mut self.view.closed_domains, domain),
            FleetChange::DomainOpened(domain) => {
                let position = self.view.closed_domains.binary_search(&domain);
                position.map(|position| self.view.closed_domains.remove(position)).is_ok()
            }
            FleetChange::VersionNamed(named) => self.apply_version(named),
            FleetChange::Target(target) => self.apply_target(target),
            FleetChange::TargetRemoved(target) => self.remove_or_defer_target(target, now),
            FleetChange::Ignored => false,
        }
    }

    fn apply_services(&mut self, services: ServiceMap) -> bool {
        let is_newer = self.view.services.as_ref().is_none_or(|known| known.version < services.version);
        if is_newer {
            self.view.services = Some(Arc::new(services));
        }
        is_newer
    }

    fn apply_version(&mut self, named: NamedVersion) -> bool {
        let versions = &mut self.view.versions;
        match versions.binary_search_by(|known| known.model.cmp(&named.model)) {
            Ok(position) if versions[position].version >= named.version => false,
            Ok(position) => {
                versions[position] = named;
                true
            }
            Err(position) => {
                versions.insert(position, named);
                true
            }
        }
    }

    fn apply_target(&mut self, mut target: TargetEntry) -> bool {
        if self.is_leaving(&target) {
            target.state = TargetState::Leaving;
        }
        self.missing.retain(|missing| missing.target != target.id);
        // Most events renew an unchanged entry. The list, which readers share, is copied only for a change.
        match self.view.targets.binary_search_by(|known| known.id.cmp(&target.id)) {
            Ok(position) if self.view.targets[position] == target => return false,
            Ok(position) => Arc::make_mut(&mut self.view.targets)[position] = target,
            Err(position) => Arc::make_mut(&mut self.view.targets).insert(position, target),
        }
        true
    }

    /// Drops a target, or defers that for [`ENTRY_REAPPEAR_TIMEOUT`] after an outage; returns whether the view changed.
    fn remove_or_defer_target(&mut self, target: TargetId, now: BootTime) -> bool {
        let store_back_at = self.target_store_back_at;
        if let Some(store_back_at) =
            store_back_at.filter(|store_back_at| now.saturating_sub(*store_back_at) < ENTRY_REAPPEAR_TIMEOUT)
        {
            let is_known = self.missing.iter().any(|missing| missing.target == target);
            if !is_known && self.view.target(&target).is_some() {
                self.missing.push(MissingEntry { target, drop_at: store_back_at + ENTRY_REAPPEAR_TIMEOUT });
            }
            return false;
        }
        self.drop_target(&target)
    }

    /// Drops the targets whose entries have not reappeared in time; returns whether there were any.
    pub fn expire_missing(&mut self, now: BootTime) -> bool {
        let expired: Vec<TargetId> = self
            .missing
            .iter()
            .filter(|missing| missing.drop_at <= now)
            .map(|missing| missing.target.clone())
            .collect();
        self.missing.retain(|missing| missing.drop_at > now);
        let mut is_changed = false;
        for target in expired {
            is_changed |= self.drop_target(&target);
        }
        is_changed
    }

    fn drop_target(&mut self, target: &str) -> bool {
        let position = self.view.targets.binary_search_by(|known| known.id.as_str().cmp(target));
        position.map(|position| Arc::make_mut(&mut self.view.targets).remove(position)).is_ok()
    }
}

fn present_target(change: &FleetChange) -> Option<&str> {
    match change {
        FleetChange::Target(target) => Some(&target.id),
        _ => None,
    }
}

fn insert_sorted(names: &mut Vec<String>, name: String) -> bool {
    match names.binary_search(&name) {
        Ok(_) => false,
        Err(position) => {
            names.insert(position, name);
            true
        }
    }
}

fn apply_member(members: &mut Vec<MemberEntry>, stored: &StoredRow, now: BootTime) {
    let position = members.binary_search_by(|member| member.host.cmp(&stored.key));
    let row: Option<MemberRow> = stored.value.as_deref().and_then(|value| serde_json::from_slice(value).ok());
    match (position, row) {
        (Ok(position), Some(row)) if members[position].row != row => {
            members[position] = MemberEntry { host: stored.key.clone(), row, changed_at: now };
        }
        (Ok(position), None) => {
            members.remove(position);
        }
        (Err(position), Some(row)) => {
            members.insert(position, MemberEntry { host: stored.key.clone(), row, changed_at: now });
        }
        (Ok(_), Some(_)) | (Err(_), None) => {}
    }
}
