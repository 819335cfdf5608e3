//! Tickets that one coordinator knows, by requester and number: waiting, granted, or ended.
//!
//! A ticket is a numbered request for a permit; a permit is the right to use one slot of one target.
//!
//! The table makes every frame safe to repeat: a repeated request finds its ticket, and a request that arrives after
//! its own cancellation finds the ended ticket. An ordered tree is used instead of a sorted vector
//! because a queue holds up to 100,000 tickets and the table changes with every request.

use std::collections::BTreeMap;

use crate::control::HostIdentity;
use crate::policy::fair_queue::QueueKey;
use crate::prelude::*;

/// Time for which an ended ticket is kept; longer than any frame is in flight.
const ENDED_TICKET_RETENTION: Duration = Duration::from_secs(30);

/// Identity of a ticket: the requester's host and incarnation, and the number that it chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketKey {
    /// Host that sent the request.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Ticket number, unique within the incarnation.
    pub ticket: u64,
}

impl TicketKey {
    /// Returns the key of a ticket that the sender of a frame names.
    #[must_use]
    pub fn new(from: &HostIdentity, ticket: u64) -> Self {
        Self { host: from.host.clone(), incarnation: from.incarnation, ticket }
    }
}

/// Identity of a dispatch shard within this host's own failure domain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardName {
    /// Service whose targets the shard holds.
    pub service: ServiceId,
    /// Index among the shards of the service, from 0.
    pub index: ShardIndex,
}

/// A permit as its coordinator sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedPermit {
    /// Shard that granted the permit; for an adopted permit, the shard that has its target.
    pub shard: ShardName,
    /// Target whose slot the permit uses.
    pub target: TargetId,
    /// Organisation that is charged; empty for an adopted permit.
    pub organisation: OrganisationId,
    /// Tokens charged at the grant and corrected at the release; 0 for an adopted permit.
    pub expected_tokens: u32,
    /// Whether the target's cache was expected to hold the prompt.
    pub is_cached: bool,
    /// Last time that the holder renewed or repeated the ticket, or the end of a later pause of this process.
    pub heard_at: BootTime,
}

/// State of a ticket at its coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketState {
    /// The ticket waits in the queue of a shard.
    Waiting {
        /// Shard whose queue holds the ticket.
        shard: ShardName,
        /// Position in that queue.
        queue_key: QueueKey,
        /// Last time that the requester renewed or repeated the ticket, or the end of a later pause of this process.
        heard_at: BootTime,
    },
    /// The permit is granted and not yet released.
    Granted(GrantedPermit),
    /// The ticket was released, cancelled, refused or has expired.
    Ended {
        /// Time of the end; the ticket is forgotten `ENDED_TICKET_RETENTION` later.
        ended_at: BootTime,
    },
}

/// All tickets that a coordinator knows.
#[derive(Debug, Default)]
pub struct TicketTable {
    tickets: BTreeMap<TicketKey, TicketState>,
}

impl TicketTable {
    /// Returns the state of a ticket; `None` if it is unknown or forgotten.
    #[must_use]
    pub fn get(&self, key: &TicketKey) -> Option<&TicketState> {
        self.tickets.get(key)
    }

    /// Like [`Self::get`], for a change in place.
    pub fn get_mut(&mut self, key: &TicketKey) -> Option<&mut TicketState> {
        self.tickets.get_mut(key)
    }

    /// Sets the state of a ticket; returns the former one.
    pub fn set(&mut self, key: TicketKey, state: TicketState) -> Option<TicketState> {
        self.tickets.insert(key, state)
    }

    /// Returns the tickets that match and have not ended.
    #[must_use]
    pub fn find_open(&self, mut is_match: impl FnMut(&TicketKey, &TicketState) -> bool) -> Vec<TicketKey> {
        let open = self.tickets.iter().filter(|(_, state)| !matches!(state, TicketState::Ended { .. }));
        open.filter(|(key, state)| is_match(key, state)).map(|(key, _)| key.clone()).collect()
    }

    /// Returns the sender's tickets with numbers up to `last_ticket` that have not ended, in ascending order.
    #[must_use]
    pub fn find_open_of_sender(&self, from: &HostIdentity, last_ticket: u64) -> Vec<TicketKey> {
        let range = TicketKey::new(from, 0)..=TicketKey::new(from, last_ticket);
        let open = self.tickets.range(range).filter(|(_, state)| !matches!(state, TicketState::Ended { .. }));
        open.map(|(key, _)| key.clone()).collect()
    }

    /// Number of tickets, including ended ones that are not yet forgotten.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether the table holds no ticket, not even an ended one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Counts the granted permits of each target that has any, sorted by target.
    #[must_use]
    pub fn count_permits(&self) -> Vec<PermitCount> {
        let mut counts: Vec<PermitCount> = Vec::new();
        for state in self.tickets.values() {
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

    /// Removes ended tickets that no frame in flight can refer to any more.
    pub fn forget_ended(&mut self, now: BootTime) {
        self.tickets.retain(|_, state| match state {
            TicketState::Ended { ended_at } => now.saturating_sub(*ended_at) < ENDED_TICKET_RETENTION,
            TicketState::Waiting { .. } | TicketState::Granted(_) => true,
        });
    }
}

/// Number of granted permits of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitCount {
    /// Target whose slots the permits use; it occurs once in a list of counts.
    pub target: TargetId,
    /// Number of permits, at least 1.
    pub permits: u32,
}
