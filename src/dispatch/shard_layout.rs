//! Shards and homes as the present view of a host shows them.

use crate::control::ControlView;
use crate::control::configuration::Configuration;
use crate::control::control_view::MemberState;
use crate::generated::platform_messages::HostState;
use crate::generated::services_text::{TargetEntry, TargetTier};
use crate::policy::capacity_share::DomainVisibility;
use crate::policy::shard_map::{assign_shards, choose_member, shard_count, shard_key};
use crate::prelude::*;

/// Targets of a service in a failure domain, each with its shard.
#[must_use]
pub fn shard_targets<'a>(
    configuration: &'a Configuration,
    service: &str,
    failure_domain: &str,
) -> Vec<ShardTarget<'a>> {
    let entries: Vec<&TargetEntry> = targets_of(configuration, service, failure_domain).collect();
    let ids: Vec<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
    let shards = assign_shards(&ids);
    entries.into_iter().zip(shards).map(|(entry, shard)| ShardTarget { entry, shard }).collect()
}

/// Number of shards of every service in every failure domain, computed once for each configuration.
#[derive(Debug, Clone)]
pub struct ShardLayout {
    /// Configuration that it was computed from.
    pub configuration: Arc<Configuration>,
    /// Entries sorted by service and failure domain.
    pub entries: Vec<LayoutEntry>,
}

/// Targets of one service in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LayoutEntry {
    /// Service.
    pub service: ServiceId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// All targets, those that are out included.
    pub targets: usize,
    /// Targets that are in.
    pub in_targets: usize,
    /// Targets that are in and firm.
    pub in_firm: usize,
}

impl LayoutEntry {
    /// Number of shards.
    #[must_use]
    pub fn shards(&self) -> usize {
        shard_count(self.targets)
    }
}

impl ShardLayout {
    /// Layout of a configuration.
    #[must_use]
    pub fn new(configuration: &Arc<Configuration>) -> Self {
        let mut entries: Vec<LayoutEntry> = Vec::new();
        for target in &configuration.targets {
            let position = match find_entry(&entries, &target.service, &target.failure_domain) {
                Ok(position) => position,
                Err(position) => {
                    let (service, failure_domain) = (target.service.clone(), target.failure_domain.clone());
                    let entry = LayoutEntry { service, failure_domain, targets: 0, in_targets: 0, in_firm: 0 };
                    entries.insert(position, entry);
                    position
                }
            };
            let is_in_rotation = configuration.is_in_rotation(target);
            let is_firm = target.tier != Some(TargetTier::Cheap);
            entries[position].targets += 1;
            entries[position].in_targets += usize::from(is_in_rotation);
            entries[position].in_firm += usize::from(is_in_rotation && is_firm);
        }
        Self { configuration: Arc::clone(configuration), entries }
    }

    /// Entries of one service, sorted by failure domain.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[LayoutEntry] {
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

/// A target and its shard.
#[derive(Debug, Clone, Copy)]
pub struct ShardTarget<'a> {
    /// Target.
    pub entry: &'a TargetEntry,
    /// Shard.
    pub shard: ShardIndex,
}

/// Home of a shard as this host sees it. In its own failure domain the live hosts count; of another one only the
/// host list is known, and a host that is asked in error names the home.
#[must_use]
pub fn shard_coordinator(view: &ControlView, service: &str, failure_domain: &str, shard: ShardIndex) -> Option<HostId> {
    let key = shard_key(service, failure_domain, shard);
    let hosts = candidate_hosts(view, failure_domain);
    choose_member(&key, hosts.into_iter()).map(ToOwned::to_owned)
}

/// Hosts of a failure domain that may be homes, as this host sees them.
#[must_use]
pub fn candidate_hosts<'a>(view: &'a ControlView, failure_domain: &str) -> Vec<&'a str> {
    let listed = view.listed.iter().filter(|record| record.failure_domain == failure_domain);
    let staying = listed.filter(|record| record.state == HostState::Live).map(|record| record.host.as_str());
    if failure_domain == view.failure_domain {
        staying.filter(|host| is_coordinator_candidate(view, host)).collect()
    } else {
        staying.collect()
    }
}

/// What this host sees of its own failure domain.
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

fn targets_of<'a>(
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
