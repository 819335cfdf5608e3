//! Which free shards a host takes.
//!
//! Each host reads one page of the `open_shards` index at a time and wants a few shards that have no owner. Rendezvous
//! hashing ranks the hosts for each shard, and only the first few want it at once, so that the others do not all try to
//! take it too; after a while every host may want it. A wish is given up when another host has taken the shard or after
//! some time. Beside that, each host stands by for one shard that has an owner, in case that owner is dead.

use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::samples::host_rank::host_rank;
use crate::samples::step_rows::StepShard;

/// Most shards that a host runs or waits for at one time.
pub const MAX_SHARDS_PER_HOST: usize = 4;

/// Hosts that may stand by for a shard with an owner.
const STANDBY_RANKS: usize = 2;

/// Time after which a wish for a shard is given up: a dead owner's lease has ended by then.
pub const OWNERSHIP_REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a shard is not wanted again after a wish for it was given up.
pub const OWNERSHIP_REQUEST_BACKOFF: Duration = Duration::from_secs(20);

/// Hosts that may want a shard at once.
const IMMEDIATE_RANKS: usize = 4;

/// Time after which every host may want a shard that is still open.
const LATE_REQUEST_DELAY: Duration = Duration::from_secs(10);

/// Time after which a shard that was not seen again is forgotten.
const SEEN_SHARD_TIMEOUT: Duration = Duration::from_mins(2);

/// A shard with missing groups, as found in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenShard {
    /// Shard.
    pub name: StepShard,
    /// Whether another host owns it, dead or alive.
    pub has_other_owner: bool,
}

/// A shard that this host wants or runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipRequest {
    /// Shard.
    pub name: StepShard,
    /// When the wish began.
    pub since: BootTime,
    /// Whether the shard runs here.
    pub is_running: bool,
    /// Whether another host owned the shard when the wish began.
    pub is_standby: bool,
}

/// A shard that is not wanted for now.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ShardBackoff {
    name: StepShard,
    until: BootTime,
}

/// A shard that was seen open.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SeenShard {
    name: StepShard,
    first_seen: BootTime,
    last_seen: BootTime,
}

/// What the host shall do about a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiscoveryAction {
    /// Ask for the ownership.
    Request(StepShard),
    /// Give the ownership or the wish up.
    Release(StepShard),
    /// Start to run the shard, which this host owns now.
    Run(StepShard),
}

/// Wishes of one host.
#[derive(Debug, Clone, Default)]
pub struct OwnershipRequests {
    requests: Vec<OwnershipRequest>,
    backoffs: Vec<ShardBackoff>,
    seen: Vec<SeenShard>,
}

impl OwnershipRequests {
    /// Starts shards that are owned now and gives up wishes that took too long.
    pub fn advance(&mut self, is_owned: impl Fn(&StepShard) -> bool, now: BootTime) -> Vec<DiscoveryAction> {
        let mut actions = Vec::new();
        for request in self.requests.iter_mut().filter(|request| !request.is_running && is_owned(&request.name)) {
            request.is_running = true;
            actions.push(DiscoveryAction::Run(request.name.clone()));
        }
        let is_over = |request: &OwnershipRequest| {
            !request.is_running && now.saturating_sub(request.since) > OWNERSHIP_REQUEST_TIMEOUT
        };
        for request in self.requests.iter().filter(|request| is_over(request)) {
            actions.push(DiscoveryAction::Release(request.name.clone()));
            self.backoffs.push(ShardBackoff { name: request.name.clone(), until: now + OWNERSHIP_REQUEST_BACKOFF });
        }
        self.requests.retain(|request| !is_over(request));
        self.backoffs.retain(|backoff| backoff.until > now);
        actions
    }

    /// Wants further shards of those that are open. `hosts` are all hosts that may take shards.
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
            let time_open = now.saturating_sub(self.record_seen(&shard.name, now));
            let rank = host_rank(&shard.name.resource(), host, hosts);
            let can_request = if shard.has_other_owner {
                time_open >= LATE_REQUEST_DELAY && rank < STANDBY_RANKS
            } else {
                time_open >= LATE_REQUEST_DELAY || rank < IMMEDIATE_RANKS
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

    /// Gives up wishes for free shards that another host has taken by now.
    fn cancel_lost_requests(&mut self, open: &[OpenShard]) -> Vec<DiscoveryAction> {
        let has_other_owner =
            |request: &OwnershipRequest| open.iter().any(|shard| shard.has_other_owner && shard.name == request.name);
        let is_over =
            |request: &OwnershipRequest| !request.is_running && !request.is_standby && has_other_owner(request);
        let over = self.requests.iter().filter(|request| is_over(request));
        let actions = over.map(|request| DiscoveryAction::Release(request.name.clone())).collect();
        self.requests.retain(|request| !is_over(request));
        actions
    }

    fn has_standby_request(&self) -> bool {
        self.requests.iter().any(|request| request.is_standby && !request.is_running)
    }

    fn is_requested_or_backed_off(&self, name: &StepShard) -> bool {
        let is_wanted = self.requests.iter().any(|request| request.name == *name);
        is_wanted || self.backoffs.iter().any(|backoff| backoff.name == *name)
    }

    /// Returns when the shard was first seen.
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

    /// Takes note that the run of a shard ended. A shard that could not be completed here is left alone for a while, so
    /// that one whose step cannot run is not claimed over and over.
    pub fn record_run_end(&mut self, name: &StepShard, is_complete: bool, now: BootTime) -> DiscoveryAction {
        self.requests.retain(|request| request.name != *name);
        if !is_complete {
            self.backoffs.push(ShardBackoff { name: name.clone(), until: now + OWNERSHIP_REQUEST_BACKOFF });
        }
        DiscoveryAction::Release(name.clone())
    }

    /// Number of free shards that may be wanted now.
    #[must_use]
    pub fn remaining_capacity(&self) -> usize {
        let requests = self.requests.iter().filter(|request| request.is_running || !request.is_standby).count();
        MAX_SHARDS_PER_HOST.saturating_sub(requests)
    }

    /// Wishes and running shards.
    #[must_use]
    pub fn requests(&self) -> &[OwnershipRequest] {
        &self.requests
    }
}
