//! Chooses the open shards whose ownership a host requests.
//!
//! Each host reads the `open_shards` index one page at a time and requests a few shards that no other host owns.
//! Rendezvous hashing ranks the hosts for each shard, and only the first ranks request it immediately, so that not all
//! hosts compete for the same shard; after a delay every host may request it. A request is cancelled when another host
//! has become the owner, or after a timeout. In addition each host may have one standby request for a shard of another
//! owner, in case that owner is dead.

use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::samples::host_rank::host_rank;
use crate::samples::step_rows::StepShard;

/// Maximum number of shards that a host runs or requests. A standby request does not count until its shard runs, so
/// that a host may run one shard more.
pub const MAX_SHARDS_PER_HOST: usize = 4;

/// Number of first-ranked hosts that may have a standby request for a shard.
const STANDBY_RANKS: usize = 2;

/// Time after which an unfulfilled ownership request is cancelled: the lease of a dead owner has ended by then.
pub const OWNERSHIP_REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a shard is not requested again after a request timed out or a runner left the shard incomplete.
pub const OWNERSHIP_REQUEST_BACKOFF: Duration = Duration::from_secs(20);

/// Number of first-ranked hosts that may request a free shard as soon as they see it.
const IMMEDIATE_RANKS: usize = 4;

/// Delay, from the time at which this host first saw a shard, after which any host may request the shard if it is free,
/// and the first [`STANDBY_RANKS`] hosts may stand by for it if another host owns it.
const LATE_REQUEST_DELAY: Duration = Duration::from_secs(10);

/// Time after which a shard that is not seen in the index any more is forgotten.
const SEEN_SHARD_TIMEOUT: Duration = Duration::from_mins(2);

/// A shard with missing groups, as found in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenShard {
    /// Shard whose row was found in `open_shards`.
    pub name: StepShard,
    /// Whether the resource row names another host as the owner, dead or alive.
    pub has_other_owner: bool,
}

/// Request of this host for the ownership of a shard; kept while the shard runs here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipRequest {
    /// Shard to own; it may run here already.
    pub name: StepShard,
    /// Start of [`OWNERSHIP_REQUEST_TIMEOUT`].
    pub since: BootTime,
    /// Whether this host became the owner and runs the shard.
    pub is_running: bool,
    /// Whether another host owned the shard when the request was made.
    pub is_standby: bool,
}

/// A shard that is not requested again before `until`.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ShardBackoff {
    name: StepShard,
    until: BootTime,
}

/// A shard that this host saw in the `open_shards` index.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SeenShard {
    name: StepShard,
    first_seen: BootTime,
    last_seen: BootTime,
}

/// What the keeper must do about a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryAction {
    /// Ask the control thread for the ownership of the shard.
    Request(StepShard),
    /// Release the ownership or cancel the request.
    Release(StepShard),
    /// Run the shard, which this host owns now.
    Run(StepShard),
}

/// Ownership requests of one host for step shards.
#[derive(Debug, Clone, Default)]
pub struct OwnershipRequests {
    requests: Vec<OwnershipRequest>,
    backoffs: Vec<ShardBackoff>,
    seen: Vec<SeenShard>,
}

impl OwnershipRequests {
    /// Starts requested shards that this host owns now, and cancels requests that timed out.
    pub fn advance(&mut self, is_owned: impl Fn(&StepShard) -> bool, now: BootTime) -> Vec<DiscoveryAction> {
        let mut actions = Vec::new();
        for request in self.requests.iter_mut().filter(|request| !request.is_running && is_owned(&request.name)) {
            request.is_running = true;
            actions.push(DiscoveryAction::Run(request.name.clone()));
        }
        let has_timed_out = |request: &OwnershipRequest| {
            !request.is_running && now.saturating_sub(request.since) > OWNERSHIP_REQUEST_TIMEOUT
        };
        for request in self.requests.iter().filter(|request| has_timed_out(request)) {
            actions.push(DiscoveryAction::Release(request.name.clone()));
            self.backoffs.push(ShardBackoff { name: request.name.clone(), until: now + OWNERSHIP_REQUEST_BACKOFF });
        }
        self.requests.retain(|request| !has_timed_out(request));
        self.backoffs.retain(|backoff| backoff.until > now);
        actions
    }

    /// Requests further shards among those that are open, and cancels requests for shards that another host has come to
    /// own. `hosts` are the live hosts among which this host is ranked.
    pub fn request_open_shards(
        &mut self,
        host: &str,
        hosts: &[HostId],
        open: &[OpenShard],
        now: BootTime,
    ) -> Vec<DiscoveryAction> {
        let mut actions = self.cancel_lost_requests(open);
        let mut candidates = Vec::new();
        for shard in open {
            let time_since_seen = now.saturating_sub(self.record_seen(&shard.name, now));
            let rank = host_rank(&shard.name.resource(), host, hosts);
            let can_request = if shard.has_other_owner {
                time_since_seen >= LATE_REQUEST_DELAY && rank < STANDBY_RANKS
            } else {
                time_since_seen >= LATE_REQUEST_DELAY || rank < IMMEDIATE_RANKS
            };
            if can_request && !self.is_requested_or_backed_off(&shard.name) {
                candidates.push(shard);
            }
        }
        self.seen.retain(|seen| now.saturating_sub(seen.last_seen) < SEEN_SHARD_TIMEOUT);
        candidates.sort_by_key(|shard| std::cmp::Reverse(rendezvous_hash(&shard.name.resource(), host)));
        for shard in candidates {
            let has_capacity =
                if shard.has_other_owner { !self.has_standby_request() } else { self.remaining_capacity() > 0 };
            if has_capacity {
                let (name, is_standby) = (shard.name.clone(), shard.has_other_owner);
                self.requests.push(OwnershipRequest { name, since: now, is_running: false, is_standby });
                actions.push(DiscoveryAction::Request(shard.name.clone()));
            }
        }
        actions
    }

    /// Cancels the unfulfilled requests, standby requests excepted, whose shard has another owner now.
    fn cancel_lost_requests(&mut self, open: &[OpenShard]) -> Vec<DiscoveryAction> {
        let has_other_owner =
            |request: &OwnershipRequest| open.iter().any(|shard| shard.has_other_owner && shard.name == request.name);
        let is_lost =
            |request: &OwnershipRequest| !request.is_running && !request.is_standby && has_other_owner(request);
        let lost = self.requests.iter().filter(|request| is_lost(request));
        let actions = lost.map(|request| DiscoveryAction::Release(request.name.clone())).collect();
        self.requests.retain(|request| !is_lost(request));
        actions
    }

    fn has_standby_request(&self) -> bool {
        self.requests.iter().any(|request| request.is_standby && !request.is_running)
    }

    fn is_requested_or_backed_off(&self, name: &StepShard) -> bool {
        let is_requested = self.requests.iter().any(|request| request.name == *name);
        is_requested || self.backoffs.iter().any(|backoff| backoff.name == *name)
    }

    /// Records that the shard was seen now; returns when it was first seen.
    fn record_seen(&mut self, name: &StepShard, now: BootTime) -> BootTime {
        match self.seen.binary_search_by(|seen| seen.name.cmp(name)) {
            Ok(position) => {
                self.seen[position].last_seen = now;
                self.seen[position].first_seen
            }
            Err(position) => {
                self.seen.insert(position, SeenShard { name: name.clone(), first_seen: now, last_seen: now });
                now
            }
        }
    }

    /// Records that the runner of a shard ended, and returns the release of the ownership. An incomplete shard
    /// is not requested again for [`OWNERSHIP_REQUEST_BACKOFF`], so that a shard whose step cannot run is not started
    /// over and over.
    pub fn record_runner_end(&mut self, name: &StepShard, is_complete: bool, now: BootTime) -> DiscoveryAction {
        self.requests.retain(|request| request.name != *name);
        if !is_complete {
            self.backoffs.push(ShardBackoff { name: name.clone(), until: now + OWNERSHIP_REQUEST_BACKOFF });
        }
        DiscoveryAction::Release(name.clone())
    }

    /// Number of free shards that this host may still request. Running shards and requests for free shards count
    /// against [`MAX_SHARDS_PER_HOST`].
    #[must_use]
    pub fn remaining_capacity(&self) -> usize {
        let requests = self.requests.iter().filter(|request| request.is_running || !request.is_standby).count();
        MAX_SHARDS_PER_HOST.saturating_sub(requests)
    }

    /// All requests, those of running shards included.
    #[must_use]
    pub fn requests(&self) -> &[OwnershipRequest] {
        &self.requests
    }
}
