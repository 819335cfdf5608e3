//! Asks that one home knows, by asker and ticket: waiting, granted, or ended.
//!
//! The table makes every frame repeatable: a repeated request finds its ask, and a request that arrives after its
//! own cancellation finds the end. An ordered tree is used because tables hold up to the queue limit of 100,000 and
//! change with every request.

use std::collections::BTreeMap;

use crate::control::HostIdentity;
use crate::policy::fair_queue::QueueKey;
use crate::prelude::*;

/// Time for which the end of an ask is remembered; longer than any frame is in flight.
const END_MEMORY: Duration = Duration::from_secs(30);

/// One ask of one life of a host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketKey {
    /// Asking host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its number for the ask.
    pub ticket: u64,
}

impl TicketKey {
    /// Key of a ticket of the sender of a frame.
    #[must_use]
    pub fn new(from: &HostIdentity, ticket: u64) -> Self {
        Self { host: from.host.clone(), incarnation: from.incarnation, ticket }
    }
}

/// Shard in the own failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardName {
    /// Service.
    pub service: ServiceId,
    /// Position.
    pub index: ShardIndex,
}

/// A permit as its home sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedPermit {
    /// Shard that granted it; for an adopted permit, the one that has its target.
    pub shard: ShardName,
    /// Target.
    pub target: TargetId,
    /// Organisation that is charged.
    pub organisation: OrganisationId,
    /// Tokens charged so far.
    pub expected_tokens: u32,
    /// Whether its prompt is expected in the target's cache.
    pub is_cached: bool,
    /// When the holder was last heard of.
    pub heard_at: BootTime,
}

/// State of an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// In a queue.
    Waiting {
        /// Shard.
        shard: ShardName,
        /// Place in its queue.
        place: QueueKey,
        /// When the asker was last heard of.
        heard_at: BootTime,
    },
    /// Granted and not released.
    Granted(GrantedPermit),
    /// Released, cancelled, refused or expired.
    Ended {
        /// When.
        at: BootTime,
    },
}

/// All asks that a home knows.
#[derive(Debug, Default)]
pub struct TicketTable {
    asks: BTreeMap<TicketKey, TicketState>,
}

impl TicketTable {
    /// State of an ask.
    #[must_use]
    pub fn get(&self, key: &TicketKey) -> Option<&TicketState> {
        self.asks.get(key)
    }

    /// State of an ask, to be changed in place.
    pub fn get_mut(&mut self, key: &TicketKey) -> Option<&mut TicketState> {
        self.asks.get_mut(key)
    }

    /// Sets the state of an ask; returns the former one.
    pub fn set(&mut self, key: TicketKey, state: TicketState) -> Option<TicketState> {
        self.asks.insert(key, state)
    }

    /// Asks that match and have not ended.
    #[must_use]
    pub fn find_open(&self, mut is_match: impl FnMut(&TicketKey, &TicketState) -> bool) -> Vec<TicketKey> {
        let open = self.asks.iter().filter(|(_, state)| !matches!(state, TicketState::Ended { .. }));
        open.filter(|(key, state)| is_match(key, state)).map(|(key, _)| key.clone()).collect()
    }

    /// Open asks of one life of a host, up to a ticket, in the order of their tickets.
    #[must_use]
    pub fn find_of_sender(&self, from: &HostIdentity, last_ticket: u64) -> Vec<TicketKey> {
        let range = TicketKey::new(from, 0)..=TicketKey::new(from, last_ticket);
        let open = self.asks.range(range).filter(|(_, state)| !matches!(state, TicketState::Ended { .. }));
        open.map(|(key, _)| key.clone()).collect()
    }

    /// Number of asks, ended ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.asks.len()
    }

    /// Whether no ask is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    /// Number of permits on each target, sorted by target.
    #[must_use]
    pub fn count_permits(&self) -> Vec<PermitCount> {
        let mut counts: Vec<PermitCount> = Vec::new();
        for state in self.asks.values() {
            let TicketState::Granted(permit) = state else { continue };
            match counts.binary_search_by(|count| count.target.cmp(&permit.target)) {
                Ok(position) => counts[position].permits += 1,
                Err(position) => {
                    counts.insert(position, PermitCount { target: permit.target.clone(), permits: 1 });
                }
            }
        }
        counts
    }

    /// Forgets ends that no frame in flight can refer to.
    pub fn forget_ended(&mut self, now: BootTime) {
        self.asks.retain(|_, state| match state {
            TicketState::Ended { at } => now.saturating_sub(*at) < END_MEMORY,
            TicketState::Waiting { .. } | TicketState::Granted(_) => true,
        });
    }
}

/// Permits on one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitCount {
    /// Target.
    pub target: TargetId,
    /// Permits.
    pub permits: u32,
}
