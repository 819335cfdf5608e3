//! Homes that an entry host asks for one request, in order.

use crate::control::ControlView;
use crate::dispatch::PermitRequirements;
use crate::dispatch::shard_layout::{LayoutEntry, ShardLayout, shard_coordinator};
use crate::policy::domain_choice::{DomainOption, order_domains};
use crate::policy::shard_map::{mix_hash, rendezvous_hash, shard_of_prefix};
use crate::prelude::*;

/// Age from which the wait that a home announced says nothing.
const WAIT_MEMORY: Duration = Duration::from_secs(3);

/// Most announced waits that are remembered.
const WAIT_LIMIT: usize = 1024;

/// A shard, and the host that is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardCandidate {
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Shard.
    pub shard: ShardIndex,
    /// Host.
    pub home: HostId,
}

/// Wait that a home announced.
#[derive(Debug, Clone)]
struct AnnouncedWait {
    service: ServiceId,
    failure_domain: DomainId,
    wait: Duration,
    heard_at: BootTime,
}

/// Waits that homes announced, by service and failure domain.
#[derive(Debug, Default)]
pub struct WaitTable {
    waits: Vec<AnnouncedWait>,
}

impl WaitTable {
    /// Records an announced wait.
    pub fn record(&mut self, now: BootTime, service: &str, failure_domain: &str, wait: Duration) {
        match self.find(service, failure_domain) {
            Ok(position) => {
                self.waits[position].wait = wait;
                self.waits[position].heard_at = now;
            }
            Err(position) if self.waits.len() < WAIT_LIMIT => {
                let (service, failure_domain) = (service.to_owned(), failure_domain.to_owned());
                self.waits.insert(position, AnnouncedWait { service, failure_domain, wait, heard_at: now });
            }
            Err(_) => {}
        }
    }

    /// Wait announced a short time ago.
    #[must_use]
    pub fn recent(&self, now: BootTime, service: &str, failure_domain: &str) -> Option<Duration> {
        let announced = &self.waits[self.find(service, failure_domain).ok()?];
        (now.saturating_sub(announced.heard_at) <= WAIT_MEMORY).then_some(announced.wait)
    }

    fn find(&self, service: &str, failure_domain: &str) -> Result<usize, usize> {
        self.waits.binary_search_by(|announced| {
            (announced.service.as_str(), announced.failure_domain.as_str()).cmp(&(service, failure_domain))
        })
    }
}

/// What the order of domains depends on.
pub struct PlanInput<'a> {
    /// View.
    pub view: &'a ControlView,
    /// Layout of the view's configuration.
    pub layout: &'a ShardLayout,
    /// Announced waits.
    pub waits: &'a WaitTable,
    /// Requests of the same step that run in a failure domain.
    pub count_step: &'a dyn Fn(&str) -> u32,
    /// Whether too many recent tries in a failure domain failed.
    pub is_failing: &'a dyn Fn(&str) -> bool,
}

/// Homes to ask: two shards of each failure domain, the domains in the order of [`order_domains`].
///
/// `round` numbers the passes over all homes; later passes try other second shards.
#[must_use]
pub fn plan_candidates(
    input: &PlanInput<'_>,
    now: BootTime,
    ask: &PermitRequirements,
    seed: u64,
    round: u32,
) -> Vec<ShardCandidate> {
    let entries = input.layout.entries_of_service(&ask.service);
    let options: Vec<DomainOption<'_>> =
        entries.iter().map(|entry| domain_option(input, now, ask, seed, entry)).collect();
    let mut homes = Vec::new();
    for position in order_domains(&options, ask.deadline.is_some()) {
        let entry = &entries[position];
        for shard in ask_shards(ask, entry.count_shards(), seed, round) {
            let home = shard_coordinator(input.view, &ask.service, &entry.failure_domain, shard);
            let Some(home) = home else { continue };
            homes.push(ShardCandidate { failure_domain: entry.failure_domain.clone(), shard, home });
        }
    }
    homes
}

fn domain_option<'a>(
    input: &PlanInput<'_>,
    now: BootTime,
    ask: &PermitRequirements,
    seed: u64,
    entry: &'a LayoutEntry,
) -> DomainOption<'a> {
    let usable = if ask.firm_only { entry.firm_in_rotation_count } else { entry.in_rotation_count };
    DomainOption {
        failure_domain: &entry.failure_domain,
        is_own: entry.failure_domain == input.view.failure_domain,
        has_targets: usable > 0,
        is_failing: (input.is_failing)(&entry.failure_domain),
        expected_wait: input.waits.recent(now, &ask.service, &entry.failure_domain),
        step_requests: (input.count_step)(&entry.failure_domain),
        prompt_rank: rendezvous_hash(&prompt_hash(ask).unwrap_or(seed).to_string(), &entry.failure_domain),
    }
}

/// Hash of the whole prompt, as far as it is made of blocks. All prompts of an organisation can start alike, so that
/// a shorter prefix would send all of them to one place.
fn prompt_hash(ask: &PermitRequirements) -> Option<u64> {
    ask.prefix_hashes.last().copied()
}

/// Shards to ask in a failure domain. Requests with the same prompt meet in one shard; the second shard relieves it.
fn ask_shards(ask: &PermitRequirements, count: usize, seed: u64, round: u32) -> Vec<ShardIndex> {
    let hash = prompt_hash(ask).unwrap_or(seed);
    let first = shard_of_prefix(hash, count);
    let second = shard_of_prefix(mix_hash(hash ^ u64::from(round + 1)), count);
    if second == first { vec![first] } else { vec![first, second] }
}
