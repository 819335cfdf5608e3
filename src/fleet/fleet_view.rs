//! Immutable snapshot of what a host knows of its installation.

use std::net::SocketAddr;

use crate::fleet::member_row::MemberRow;
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It leaves soon.
    Leaving,
}

/// Weights of a model on one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Version.
    pub version: WeightVersion,
}

/// One target, as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id, new with most starts.
    pub id: TargetId,
    /// Start of the process in milliseconds since the Unix epoch, when reported; tells two lives with one id apart.
    pub started_ms: Option<u64>,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Whether it can be reclaimed at short notice.
    pub is_cheap: bool,
    /// Time until which it is cold, by the clock of this host.
    pub cold_until: BootTime,
    /// Loaded models, sorted by name.
    pub models: Vec<LoadedModel>,
}

impl TargetEntry {
    /// Version of a model on this target, as last reported.
    #[must_use]
    pub fn model_version(&self, model: &str) -> Option<WeightVersion> {
        let position = self.models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)).ok()?;
        Some(self.models[position].version)
    }
}

/// Version of a model that trainers have named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedVersion {
    /// Model.
    pub model: String,
    /// Newest version.
    pub version: WeightVersion,
}

/// Another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name.
    pub host: HostId,
    /// What it published last.
    pub row: MemberRow,
    /// When its row changed last, by the clock of this host.
    pub changed_at: BootTime,
}

/// Snapshot that requests read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetView {
    /// Configuration; `None` until one is known.
    pub services: Option<Arc<ServiceMap>>,
    /// Targets, sorted by id.
    pub targets: Arc<Vec<TargetEntry>>,
    /// Failure domains whose targets get no new work, sorted.
    pub closed_domains: Vec<DomainId>,
    /// Named weight versions, sorted by model.
    pub versions: Vec<NamedVersion>,
    /// Hosts, sorted by name.
    pub members: Arc<Vec<MemberEntry>>,
    /// When the store last confirmed the configuration.
    pub services_read_at: BootTime,
    /// When the store last confirmed the targets.
    pub targets_read_at: BootTime,
    /// When the store last confirmed the hosts.
    pub members_read_at: BootTime,
}

/// A host whose row did not change for this long counts as gone; three missed renewals of one second and a margin.
pub const MEMBER_SILENCE: Duration = Duration::from_millis(3500);

impl FleetView {
    /// Target by id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&TargetEntry> {
        let position = self.targets.binary_search_by(|target| target.id.as_str().cmp(id)).ok()?;
        Some(&self.targets[position])
    }

    /// Targets of a service that take new work.
    pub fn usable_targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        self.targets.iter().filter(move |target| {
            target.service == service && target.state == TargetState::Ready && !self.is_closed(&target.domain)
        })
    }

    /// Whether an operator has closed a failure domain.
    #[must_use]
    pub fn is_closed(&self, domain: &str) -> bool {
        self.closed_domains.binary_search_by(|closed| closed.as_str().cmp(domain)).is_ok()
    }

    /// Newest named version of a model.
    #[must_use]
    pub fn named_version(&self, model: &str) -> Option<WeightVersion> {
        let position = self.versions.binary_search_by(|named| named.model.as_str().cmp(model)).ok()?;
        Some(self.versions[position].version)
    }

    /// Hosts whose rows changed recently, as of the last answer of the store.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.iter().filter(|member| self.members_read_at.saturating_sub(member.changed_at) < MEMBER_SILENCE)
    }
}
