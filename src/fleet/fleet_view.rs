//! Immutable snapshot of the installation as this host knows it: configuration, targets, hosts and weight versions.

use std::net::SocketAddr;

use crate::fleet::member_row::MemberRow;
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::RowVersion;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target takes new work.
    Ready,
    /// The target gets no new work, since it is about to stop.
    Leaving,
}

/// Weights of one model that a target has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name by which routes and jobs refer to the model.
    pub model: String,
    /// Current version of the weights.
    pub version: WeightVersion,
}

/// A target as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Key of the entry; most targets get a new one at each start.
    pub id: TargetId,
    /// Start of the process in milliseconds since the Unix epoch, if reported; distinguishes restarts with the same id.
    pub started_ms: Option<u64>,
    /// Service whose requests the target runs; a target runs one service only.
    pub service: ServiceId,
    /// Version of the target's software. What two versions generate does not fit together, so that an output or a stream
    /// goes on only at the version that began it. Targets do not check this.
    pub software: SoftwareVersion,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Failure domain that the target is in.
    pub domain: DomainId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Whether the platform may reclaim the target at short notice (spot capacity).
    pub is_cheap: bool,
    /// Time by this host's clock until which the target is cold, so that few requests per second may be started on it;
    /// zero when warm. The target reports how long it will be cold.
    pub cold_until: BootTime,
    /// Models with loaded weights, sorted by name; empty for a plain service.
    pub models: Vec<LoadedModel>,
}

impl TargetEntry {
    /// Last reported version of a model on this target; `None` when the model is not loaded.
    #[must_use]
    pub fn model_version(&self, model: &str) -> Option<WeightVersion> {
        let position = self.models.binary_search_by(|loaded| loaded.model.as_str().cmp(model)).ok()?;
        Some(self.models[position].version)
    }
}

/// Newest version of a model that trainers have announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedVersion {
    /// Name by which routes and jobs refer to the model.
    pub model: String,
    /// Newest announced version of its weights.
    pub version: WeightVersion,
}

/// A host of the installation, with its last known row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Name of the host, the key of its row.
    pub host: HostId,
    /// Content of the row that the host renews.
    pub row: MemberRow,
    /// Time by this host's clock at which the last change of the row was seen.
    pub changed_at: BootTime,
}

/// Snapshot of the installation that requests read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetView {
    /// Configuration; `None` until one is known.
    pub services: Option<Arc<ServiceMap>>,
    /// Targets, sorted by id.
    pub targets: Arc<Vec<TargetEntry>>,
    /// Failure domains that operators took out of rotation, sorted; their targets get no new work.
    pub closed_domains: Vec<DomainId>,
    /// Newest announced weight versions, sorted by model.
    pub versions: Vec<NamedVersion>,
    /// All hosts with a row, this one included, sorted by name.
    pub members: Arc<Vec<MemberEntry>>,
    /// Version of the store up to which the operators' table is known, so that the configuration is not older than any row
    /// of this version or an earlier one; 0 before the first read.
    pub operators_version: RowVersion,
    /// When the store last answered a read of the configuration.
    pub services_read_at: BootTime,
    /// When the store last answered a read of the targets.
    pub targets_read_at: BootTime,
    /// When the store last answered a read of the hosts.
    pub members_read_at: BootTime,
}

/// Time after which a host with an unchanged row counts as gone: three missed renewals of one second each, and half a
/// second for delays.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(3500);

impl FleetView {
    /// Finds a target by id, also one that is leaving; `None` when the view has no entry of it.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&TargetEntry> {
        let position = self.targets.binary_search_by(|target| target.id.as_str().cmp(id)).ok()?;
        Some(&self.targets[position])
    }

    /// Finds a host by name, also one that is gone; `None` when the view has no row of it.
    #[must_use]
    pub fn member(&self, host: &str) -> Option<&MemberEntry> {
        let position = self.members.binary_search_by(|member| member.host.as_str().cmp(host)).ok()?;
        Some(&self.members[position])
    }

    /// Targets of a service that take new work and whose failure domains are in rotation.
    pub fn usable_targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a TargetEntry> {
        self.targets.iter().filter(move |target| {
            target.service == service && target.state == TargetState::Ready && !self.is_closed(&target.domain)
        })
    }

    /// Requests that the other live hosts have published as running on a target.
    #[must_use]
    pub fn published_runs(&self, target: &str, own_host: &str) -> u32 {
        let others = self.live_members().filter(|member| member.host != own_host);
        let runs = others.flat_map(|member| &member.row.running).filter(|run| run.target == target);
        runs.map(|run| run.count).sum()
    }

    /// Whether a failure domain is out of rotation.
    #[must_use]
    pub fn is_closed(&self, domain: &str) -> bool {
        self.closed_domains.binary_search_by(|closed| closed.as_str().cmp(domain)).is_ok()
    }

    /// Newest announced version of a model; `None` before the first announcement.
    #[must_use]
    pub fn named_version(&self, model: &str) -> Option<WeightVersion> {
        let position = self.versions.binary_search_by(|named| named.model.as_str().cmp(model)).ok()?;
        Some(self.versions[position].version)
    }

    /// Hosts whose rows changed within [`MEMBER_TIMEOUT`] before the last answer of the store.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.iter().filter(|member| self.members_read_at.saturating_sub(member.changed_at) < MEMBER_TIMEOUT)
    }
}
