//! Chooses the route of each call to the store: direct, or through another host.
//!
//! The store may refuse a third of the hosts for ten seconds, or single hosts may lose their connection to the store,
//! while other hosts can use it. With the direct route only, the jobs that such a host owned made no progress until
//! other hosts considered the host gone, and most of the work was repeated. A host whose direct calls fail therefore
//! sends them through its peers.
//!
//! A refused call has not taken effect and is sent again on another route at once. A call without an answer may have
//! taken effect, so only reads are repeated. When the peers fail as well, the store is considered unreachable for all
//! hosts, and calls use the direct route again.

use std::net::SocketAddr;

use crate::prelude::*;

/// Backoff of the direct route after the first failure; doubles with each further failure in a row.
const FIRST_DIRECT_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff of the direct route.
const MAX_DIRECT_BACKOFF: Duration = Duration::from_secs(4);

/// Backoff of a peer after a failed call through it.
const PEER_BACKOFF: Duration = Duration::from_secs(1);

/// Number of lost answers, with no answered direct call in between, after which the direct route counts as failed; one
/// answer may be lost by chance.
const LOST_CALLS_TO_FAIL: u32 = 2;

/// Maximum number of attempts after the first one of a call, each through another peer as a rule. While the store
/// refuses a third of the hosts, four peers in a row fail for one call in eighty.
pub const PEERS_PER_CALL: usize = 4;

/// Backoff of all peers after [`PEERS_PER_CALL`] failures in a row, which suggest that no host can reach the store.
const ALL_PEERS_BACKOFF: Duration = Duration::from_millis(500);

/// Route of one attempt of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRoute {
    /// To the store itself, without another host in between.
    Direct,
    /// Through the host that accepts store calls of its peers at this address.
    Peer(SocketAddr),
}

/// Outcome of one attempt of a store call, as far as the choice of the route depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteOutcome {
    /// An answer arrived, so the route works.
    Answered,
    /// The call was refused or not sent, so it has not taken effect.
    Refused,
    /// No answer arrived; the call may have taken effect.
    Lost,
}

/// Routes to the store, with their recent failures and backoffs.
#[derive(Debug, Default)]
pub struct StoreRouter {
    /// Peers, the preferred ones first, each with the end of its backoff.
    peers: Vec<(SocketAddr, BootTime)>,
    /// Failures of the direct route since its last answer.
    direct_failures: u32,
    /// Lost answers on the direct route since its last answer.
    lost_calls: u32,
    has_direct_route_failed: bool,
    /// Time before which the direct route is not attempted while a peer can be used.
    direct_backoff_end: BootTime,
    /// Failures through peers since the last answer or the last backoff of all peers.
    peer_failures: usize,
    /// Time before which no peer is used.
    peers_backoff_end: BootTime,
}

impl StoreRouter {
    /// Creates a router with the direct route only.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the peers, given with the preferred ones first; peers that stay keep their backoff.
    pub fn set_peers(&mut self, peers: &[SocketAddr]) {
        let backoff_end = |peer: &SocketAddr| self.peers.iter().find(|known| known.0 == *peer).map(|known| known.1);
        self.peers = peers.iter().map(|peer| (*peer, backoff_end(peer).unwrap_or_default())).collect();
    }

    /// Whether the direct route counts as failed; an answer on this route ends the state.
    #[must_use]
    pub fn has_direct_route_failed(&self) -> bool {
        self.has_direct_route_failed
    }

    /// Returns the route of the next attempt, for a new call or for one that is repeated.
    ///
    /// While the direct route counts as failed, one call per backoff attempts it again, and the other calls use the
    /// first peer that is not in backoff. Without such a peer, calls use the direct route.
    pub fn next_route(&mut self, now: BootTime) -> StoreRoute {
        if !self.has_direct_route_failed {
            return StoreRoute::Direct;
        }
        if now >= self.direct_backoff_end {
            self.direct_backoff_end = now + self.direct_backoff();
            return StoreRoute::Direct;
        }
        self.next_peer(now).map_or(StoreRoute::Direct, StoreRoute::Peer)
    }

    /// Whether the direct route counts as failed and a peer can be used instead.
    #[must_use]
    pub fn has_alternative_route(&self, now: BootTime) -> bool {
        self.has_direct_route_failed && self.next_peer(now).is_some()
    }

    fn next_peer(&self, now: BootTime) -> Option<SocketAddr> {
        if now < self.peers_backoff_end {
            return None;
        }
        self.peers.iter().find(|(_, backoff_end)| now >= *backoff_end).map(|(peer, _)| *peer)
    }

    fn direct_backoff(&self) -> Duration {
        FIRST_DIRECT_BACKOFF.saturating_mul(1 << self.direct_failures.saturating_sub(1).min(5)).min(MAX_DIRECT_BACKOFF)
    }

    /// Records the outcome of an attempt; returns whether [`Self::has_direct_route_failed`] changed.
    pub fn record(&mut self, route: StoreRoute, outcome: RouteOutcome, now: BootTime) -> bool {
        match (route, outcome) {
            (StoreRoute::Direct, RouteOutcome::Answered) => {
                (self.direct_failures, self.lost_calls) = (0, 0);
                std::mem::replace(&mut self.has_direct_route_failed, false)
            }
            (StoreRoute::Direct, _) => {
                self.lost_calls += u32::from(outcome == RouteOutcome::Lost);
                if outcome == RouteOutcome::Lost
                    && self.lost_calls < LOST_CALLS_TO_FAIL
                    && !self.has_direct_route_failed
                {
                    return false;
                }
                self.direct_failures += 1;
                self.direct_backoff_end = now + self.direct_backoff();
                !std::mem::replace(&mut self.has_direct_route_failed, true)
            }
            (StoreRoute::Peer(_), RouteOutcome::Answered) => {
                self.peer_failures = 0;
                false
            }
            (StoreRoute::Peer(peer), _) => {
                self.peer_failures += 1;
                if self.peer_failures >= PEERS_PER_CALL {
                    self.peer_failures = 0;
                    self.peers_backoff_end = now + ALL_PEERS_BACKOFF;
                }
                if let Some(known) = self.peers.iter_mut().find(|known| known.0 == peer) {
                    known.1 = now + PEER_BACKOFF;
                }
                false
            }
        }
    }
}
