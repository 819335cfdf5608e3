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
pub const SHARDS_WANTED: usize = 4;

/// Hosts that may stand by for a shard with an owner.
const RANKS_STANDING_BY: usize = 2;

/// Time after which a wish for a shard is given up: a dead owner's lease has ended by then.
pub const WISH_LIMIT: Duration = Duration::from_secs(20);

/// Time for which a shard is not wanted again after a wish for it was given up.
pub const WISH_PAUSE: Duration = Duration::from_secs(20);

/// Hosts that may want a shard at once.
const RANKS_AT_ONCE: usize = 4;

/// Time after which every host may want a shard that is still open.
const RANK_PATIENCE: Duration = Duration::from_secs(10);

/// Time after which a shard that was not seen again is forgotten.
const SEEN_LIMIT: Duration = Duration::from_mins(2);

/// A shard with missing groups, as found in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenShard {
    /// Shard.
    pub name: StepShard,
    /// Whether another host owns it, dead or alive.
    pub is_taken: bool,
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
struct ShardPause {
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
    Want(StepShard),
    /// Give the ownership or the wish up.
    Drop(StepShard),
    /// Start to run the shard, which this host owns now.
    Run(StepShard),
}

/// Wishes of one host.
#[derive(Debug, Clone, Default)]
pub struct OwnershipRequests {
    wishes: Vec<OwnershipRequest>,
    pauses: Vec<ShardPause>,
    seen: Vec<SeenShard>,
}

impl OwnershipRequests {
    /// Starts shards that are owned now and gives up wishes that took too long.
    pub fn advance(&mut self, is_owned: impl Fn(&StepShard) -> bool, now: BootTime) -> Vec<DiscoveryAction> {
        let mut actions = Vec::new();
        for wish in self.wishes.iter_mut().filter(|wish| !wish.is_running && is_owned(&wish.name)) {
            wish.is_running = true;
            actions.push(DiscoveryAction::Run(wish.name.clone()));
        }
        let is_over = |wish: &OwnershipRequest| !wish.is_running && now.saturating_sub(wish.since) > WISH_LIMIT;
        for wish in self.wishes.iter().filter(|wish| is_over(wish)) {
            actions.push(DiscoveryAction::Drop(wish.name.clone()));
            self.pauses.push(ShardPause { name: wish.name.clone(), until: now + WISH_PAUSE });
        }
        self.wishes.retain(|wish| !is_over(wish));
        self.pauses.retain(|pause| pause.until > now);
        actions
    }

    /// Wants further shards of those that are open. `hosts` are all hosts that may take shards.
    pub fn add_wishes(
        &mut self,
        host: &str,
        hosts: &[HostId],
        open: &[OpenShard],
        now: BootTime,
    ) -> Vec<DiscoveryAction> {
        let mut actions = self.give_up_taken(open);
        let mut candidates = Vec::new();
        for shard in open {
            let waited = now.saturating_sub(self.note_seen(&shard.name, now));
            let rank = host_rank(&shard.name.resource(), host, hosts);
            let may_want = if shard.is_taken {
                waited >= RANK_PATIENCE && rank < RANKS_STANDING_BY
            } else {
                waited >= RANK_PATIENCE || rank < RANKS_AT_ONCE
            };
            if may_want && !self.is_known(&shard.name) {
                candidates.push(shard);
            }
        }
        self.seen.retain(|seen| now.saturating_sub(seen.last_seen) < SEEN_LIMIT);
        candidates.sort_by_key(|shard| std::cmp::Reverse(rendezvous_hash(&shard.name.resource(), host)));
        for shard in candidates {
            let has_room = if shard.is_taken { !self.stands_by() } else { self.free_wishes() > 0 };
            if has_room {
                let (name, is_standby) = (shard.name.clone(), shard.is_taken);
                self.wishes.push(OwnershipRequest { name, since: now, is_running: false, is_standby });
                actions.push(DiscoveryAction::Want(shard.name.clone()));
            }
        }
        actions
    }

    /// Gives up wishes for free shards that another host has taken by now.
    fn give_up_taken(&mut self, open: &[OpenShard]) -> Vec<DiscoveryAction> {
        let is_taken = |wish: &OwnershipRequest| open.iter().any(|shard| shard.is_taken && shard.name == wish.name);
        let is_over = |wish: &OwnershipRequest| !wish.is_running && !wish.is_standby && is_taken(wish);
        let over = self.wishes.iter().filter(|wish| is_over(wish));
        let actions = over.map(|wish| DiscoveryAction::Drop(wish.name.clone())).collect();
        self.wishes.retain(|wish| !is_over(wish));
        actions
    }

    fn stands_by(&self) -> bool {
        self.wishes.iter().any(|wish| wish.is_standby && !wish.is_running)
    }

    fn is_known(&self, name: &StepShard) -> bool {
        let is_wanted = self.wishes.iter().any(|wish| wish.name == *name);
        is_wanted || self.pauses.iter().any(|pause| pause.name == *name)
    }

    /// Returns when the shard was first seen.
    fn note_seen(&mut self, name: &StepShard, now: BootTime) -> BootTime {
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
    pub fn release_shard(&mut self, name: &StepShard, is_complete: bool, now: BootTime) -> DiscoveryAction {
        self.wishes.retain(|wish| wish.name != *name);
        if !is_complete {
            self.pauses.push(ShardPause { name: name.clone(), until: now + WISH_PAUSE });
        }
        DiscoveryAction::Drop(name.clone())
    }

    /// Number of free shards that may be wanted now.
    #[must_use]
    pub fn free_wishes(&self) -> usize {
        let wishes = self.wishes.iter().filter(|wish| wish.is_running || !wish.is_standby).count();
        SHARDS_WANTED.saturating_sub(wishes)
    }

    /// Wishes and running shards.
    #[must_use]
    pub fn wishes(&self) -> &[OwnershipRequest] {
        &self.wishes
    }
}
