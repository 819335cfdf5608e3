//! Candidates for one permit request, in the order in which the requester asks them.

use crate::control::ControlView;
use crate::dispatch::PermitRequirements;
use crate::dispatch::shard_layout::{LayoutEntry, ShardLayout, shard_coordinator};
use crate::policy::domain_choice::{DomainOption, order_domains};
use crate::policy::shard_map::{mix_hash, rendezvous_hash, shard_of_prefix};
use crate::prelude::*;

/// Age after which an announced wait is ignored.
const ANNOUNCED_WAIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Most pairs of service and failure domain whose announced wait is kept; further ones are not recorded.
const MAX_ANNOUNCED_WAITS: usize = 1024;

/// A dispatch shard, and the host that is asked as its coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardCandidate {
    /// Failure domain of the shard's targets.
    pub failure_domain: DomainId,
    /// Index of the shard within its service and failure domain.
    pub shard: ShardIndex,
    /// Host that is asked; another host may have become the coordinator since.
    pub coordinator: HostId,
}

/// Expected wait that a coordinator announced last.
#[derive(Debug, Clone)]
struct AnnouncedWait {
    service: ServiceId,
    failure_domain: DomainId,
    wait: Duration,
    heard_at: BootTime,
}

/// Last announced wait of each service in each failure domain, sorted by both.
#[derive(Debug, Default)]
pub struct WaitTable {
    waits: Vec<AnnouncedWait>,
}

impl WaitTable {
    /// Replaces the announced wait of a service in a failure domain.
    pub fn record(&mut self, now: BootTime, service: &str, failure_domain: &str, wait: Duration) {
        match self.find_position(service, failure_domain) {
            Ok(position) => {
                self.waits[position].wait = wait;
                self.waits[position].heard_at = now;
            }
            Err(position) if self.waits.len() < MAX_ANNOUNCED_WAITS => {
                let (service, failure_domain) = (service.to_owned(), failure_domain.to_owned());
                self.waits.insert(position, AnnouncedWait { service, failure_domain, wait, heard_at: now });
            }
            Err(_) => {}
        }
    }

    /// Announced wait of a service in a failure domain; `None` if none was announced recently.
    #[must_use]
    pub fn find_recent(&self, now: BootTime, service: &str, failure_domain: &str) -> Option<Duration> {
        let announced = &self.waits[self.find_position(service, failure_domain).ok()?];
        (now.saturating_sub(announced.heard_at) <= ANNOUNCED_WAIT_TIMEOUT).then_some(announced.wait)
    }

    fn find_position(&self, service: &str, failure_domain: &str) -> Result<usize, usize> {
        self.waits.binary_search_by(|announced| {
            (announced.service.as_str(), announced.failure_domain.as_str()).cmp(&(service, failure_domain))
        })
    }
}

/// State of the requester that determines the candidates and their order.
pub struct PlanInput<'a> {
    /// Current view, from which the coordinators and the own failure domain are taken.
    pub view: &'a ControlView,
    /// Numbers of shards and usable targets by service and failure domain, from the configuration of `view`.
    pub layout: &'a ShardLayout,
    /// Waits that coordinators announced to this host.
    pub waits: &'a WaitTable,
    /// Number of this host's requests of the same step that hold a permit in a failure domain.
    pub count_step_requests: &'a dyn Fn(&str) -> u32,
    /// Whether too many recent attempts in a failure domain failed.
    pub is_failing: &'a dyn Fn(&str) -> bool,
}

/// Candidates for a permit request: at most two shards of each failure domain, the domains in the order of
/// [`order_domains`].
///
/// `seed` replaces the hash of the prompt for a request without prefix hashes. `round` numbers the passes over all
/// candidates; the second shard of a failure domain depends on it.
#[must_use]
pub fn plan_candidates(
    input: &PlanInput<'_>,
    now: BootTime,
    requirements: &PermitRequirements,
    seed: u64,
    round: u32,
) -> Vec<ShardCandidate> {
    let entries = input.layout.entries_of_service(&requirements.service);
    let options: Vec<DomainOption<'_>> =
        entries.iter().map(|entry| build_domain_option(input, now, requirements, seed, entry)).collect();
    let mut candidates = Vec::new();
    for position in order_domains(&options, requirements.deadline.is_some()) {
        let entry = &entries[position];
        for shard in choose_shards(requirements, entry.count_shards(), seed, round) {
            let coordinator = shard_coordinator(input.view, &requirements.service, &entry.failure_domain, shard);
            let Some(coordinator) = coordinator else { continue };
            candidates.push(ShardCandidate { failure_domain: entry.failure_domain.clone(), shard, coordinator });
        }
    }
    candidates
}

fn build_domain_option<'a>(
    input: &PlanInput<'_>,
    now: BootTime,
    requirements: &PermitRequirements,
    seed: u64,
    entry: &'a LayoutEntry,
) -> DomainOption<'a> {
    let usable = if requirements.firm_only { entry.firm_in_rotation_count } else { entry.in_rotation_count };
    DomainOption {
        failure_domain: &entry.failure_domain,
        is_own: entry.failure_domain == input.view.failure_domain,
        has_targets: usable > 0,
        is_failing: (input.is_failing)(&entry.failure_domain),
        expected_wait: input.waits.find_recent(now, &requirements.service, &entry.failure_domain),
        step_requests: (input.count_step_requests)(&entry.failure_domain),
        prompt_rank: rendezvous_hash(
            &find_prompt_hash(requirements).unwrap_or(seed).to_string(),
            &entry.failure_domain,
        ),
    }
}

/// Hash of the longest prefix of whole blocks. All prompts of an organisation can start alike, so a shorter prefix
/// would send all of them to one shard.
fn find_prompt_hash(requirements: &PermitRequirements) -> Option<u64> {
    requirements.prefix_hashes.last().copied()
}

/// Shards to ask in a failure domain. Requests with the same prompt share the first shard, so that they can find the
/// prompt in a target's cache. The second shard is asked if the first one refuses or its coordinator is lost.
fn choose_shards(requirements: &PermitRequirements, count: usize, seed: u64, round: u32) -> Vec<ShardIndex> {
    let hash = find_prompt_hash(requirements).unwrap_or(seed);
    let first = shard_of_prefix(hash, count);
    let second = shard_of_prefix(mix_hash(hash ^ u64::from(round + 1)), count);
    if second == first { vec![first] } else { vec![first, second] }
}
