//! Dispatch shards, their targets and their coordinators, derived from a host's present view.

use crate::control::ControlView;
use crate::control::configuration::Configuration;
use crate::control::control_view::MemberState;
use crate::generated::platform_messages::HostState;
use crate::generated::services_text::{TargetEntry, TargetTier};
use crate::policy::capacity_share::DomainVisibility;
use crate::policy::shard_map::{assign_shards, choose_member, shard_count, shard_key};
use crate::prelude::*;

/// Returns the targets of a service in a failure domain, each with its shard.
#[must_use]
pub fn shard_targets<'a>(
    configuration: &'a Configuration,
    service: &str,
    failure_domain: &str,
) -> Vec<ShardTarget<'a>> {
    let entries: Vec<&TargetEntry> = find_targets(configuration, service, failure_domain).collect();
    let ids: Vec<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
    let shards = assign_shards(&ids);
    entries.into_iter().zip(shards).map(|(entry, shard)| ShardTarget { entry, shard }).collect()
}

/// Target counts of every service in every failure domain, computed once for each configuration.
#[derive(Debug, Clone)]
pub struct ShardLayout {
    /// Configuration that the layout was computed from.
    pub configuration: Arc<Configuration>,
    /// Entries, sorted by service and failure domain; services without targets in a domain have none there.
    pub entries: Vec<LayoutEntry>,
}

/// Target counts of one service in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayoutEntry {
    /// Service of the targets; first part of the sort key.
    pub service: ServiceId,
    /// Failure domain of the targets; second part of the sort key.
    pub failure_domain: DomainId,
    /// Number of targets, in and out of rotation.
    pub target_count: usize,
    /// Number of targets in rotation.
    pub in_rotation_count: usize,
    /// Number of firm targets in rotation; a firm target is not reclaimed at short notice.
    pub firm_in_rotation_count: usize,
}

impl LayoutEntry {
    /// Number of dispatch shards that the targets are split into. Targets out of rotation count too.
    #[must_use]
    pub fn count_shards(&self) -> usize {
        shard_count(self.target_count)
    }
}

impl ShardLayout {
    /// Counts the targets of a configuration. The layout stays valid until the configuration changes.
    #[must_use]
    pub fn new(configuration: &Arc<Configuration>) -> Self {
        let mut entries: Vec<LayoutEntry> = Vec::new();
        for target in &configuration.targets {
            let position = match find_entry(&entries, &target.service, &target.failure_domain) {
                Ok(position) => position,
                Err(position) => {
                    let (service, failure_domain) = (target.service.clone(), target.failure_domain.clone());
                    let entry = LayoutEntry {
                        service,
                        failure_domain,
                        target_count: 0,
                        in_rotation_count: 0,
                        firm_in_rotation_count: 0,
                    };
                    entries.insert(position, entry);
                    position
                }
            };
            let is_in_rotation = configuration.is_in_rotation(target);
            let is_firm = target.tier != Some(TargetTier::Cheap);
            entries[position].target_count += 1;
            entries[position].in_rotation_count += usize::from(is_in_rotation);
            entries[position].firm_in_rotation_count += usize::from(is_in_rotation && is_firm);
        }
        Self { configuration: Arc::clone(configuration), entries }
    }

    /// Returns the entries of one service, sorted by failure domain.
    #[must_use]
    pub fn entries_of_service(&self, service: &str) -> &[LayoutEntry] {
        let start = self.entries.partition_point(|entry| entry.service.as_str() < service);
        let end = self.entries.partition_point(|entry| entry.service.as_str() <= service);
        &self.entries[start..end]
    }
}

fn find_entry(entries: &[LayoutEntry], service: &str, failure_domain: &str) -> Result<usize, usize> {
    entries.binary_search_by(|entry| {
        (entry.service.as_str(), entry.failure_domain.as_str()).cmp(&(service, failure_domain))
    })
}

/// A target with the shard that it is assigned to.
#[derive(Debug, Clone, Copy)]
pub struct ShardTarget<'a> {
    /// Entry of the target in the configuration.
    pub entry: &'a TargetEntry,
    /// Index of its shard within the service and failure domain.
    pub shard: ShardIndex,
}

/// Returns the coordinator of a shard as this host sees it; `None` if no host is a candidate.
///
/// For another failure domain, this host knows only the host list and may name a host that is dead there. A host that
/// is asked in error answers with the coordinator that it knows.
#[must_use]
pub fn shard_coordinator(view: &ControlView, service: &str, failure_domain: &str, shard: ShardIndex) -> Option<HostId> {
    let key = shard_key(service, failure_domain, shard);
    let hosts = candidate_hosts(view, failure_domain);
    choose_member(&key, hosts.into_iter()).map(ToOwned::to_owned)
}

/// Returns the hosts of a failure domain that may be coordinators, as this host sees them.
///
/// The host list must have them as live. In this host's own domain they must also be live or suspect members; this host
/// itself counts unless it is leaving.
#[must_use]
pub fn candidate_hosts<'a>(view: &'a ControlView, failure_domain: &str) -> Vec<&'a str> {
    let listed = view.listed.iter().filter(|record| record.failure_domain == failure_domain);
    let live_hosts = listed.filter(|record| record.state == HostState::Live).map(|record| record.host.as_str());
    if failure_domain == view.failure_domain {
        live_hosts.filter(|host| is_coordinator_candidate(view, host)).collect()
    } else {
        live_hosts.collect()
    }
}

/// Returns how many hosts of its own failure domain are listed, how many of them this host sees alive, and whether it
/// sees the one with the lowest id, which decides between two halves of a partitioned domain.
#[must_use]
pub fn domain_visibility(view: &ControlView) -> DomainVisibility {
    let listed = view.listed.iter().filter(|record| record.failure_domain == view.failure_domain);
    let hosts: Vec<&str> = listed.map(|record| record.host.as_str()).collect();
    let seen = hosts.iter().filter(|host| is_seen(view, host)).count();
    let lowest = hosts.iter().min();
    DomainVisibility {
        listed: u32::try_from(hosts.len()).unwrap_or(u32::MAX),
        seen: u32::try_from(seen).unwrap_or(u32::MAX),
        sees_lowest: lowest.is_some_and(|host| is_seen(view, host)),
    }
}

fn find_targets<'a>(
    configuration: &'a Configuration,
    service: &str,
    failure_domain: &str,
) -> impl Iterator<Item = &'a TargetEntry> {
    configuration.targets.iter().filter(move |entry| entry.service == service && entry.failure_domain == failure_domain)
}

fn is_coordinator_candidate(view: &ControlView, host: &str) -> bool {
    if host == view.host {
        return !view.is_leaving;
    }
    let state = member_state(view, host);
    matches!(state, Some(MemberState::Live | MemberState::Suspect))
}

fn is_seen(view: &ControlView, host: &str) -> bool {
    host == view.host || member_state(view, host).is_some_and(|state| state != MemberState::Dead)
}

fn member_state(view: &ControlView, host: &str) -> Option<MemberState> {
    let position = view.members.binary_search_by(|member| member.host.as_str().cmp(host)).ok()?;
    Some(view.members[position].state)
}
