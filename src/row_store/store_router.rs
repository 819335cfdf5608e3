//! Which way calls to the store go: directly, or through another host.
//!
//! Failure answered: the store refuses a third of the hosts for ten seconds, or single hosts are cut off from it, while
//! it serves the others. The steps that such a host owned stood still until other hosts took it for gone, and most of
//! their work was done again. A host whose own calls fail therefore asks its peers to pass them on.
//!
//! A refused call has not taken effect and goes out again another way at once. A call without an answer may have; only
//! reads are repeated. When the peers fail as well, the store is away for all, and calls are direct again.

use std::net::SocketAddr;

use crate::prelude::*;

/// First time for which the direct way is not tried after it failed; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which the direct way is not tried.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Time for which a peer is not asked after it failed.
const PEER_PAUSE: Duration = Duration::from_secs(1);

/// Calls without an answer in a row after which the direct way counts as failed; one may be lost by chance.
const LOST_CALLS: u32 = 2;

/// Peers that one call is passed to at most: with a third of the hosts refused, four in a row fail once in eighty calls.
pub const PEERS_PER_CALL: usize = 4;

/// Time for which no peer is asked after that many failed in a row: the store is away for all.
const ALL_PEERS_PAUSE: Duration = Duration::from_millis(500);

/// Way of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRoute {
    /// To the store.
    Direct,
    /// Through another host.
    Peer(SocketAddr),
}

/// How a call ended, as far as its way is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteOutcome {
    /// There was an answer.
    Answered,
    /// The call was refused or not sent; it has not taken effect.
    Refused,
    /// There was no answer; the call may have taken effect.
    Lost,
}

/// Ways to the store and how they did.
#[derive(Debug, Default)]
pub struct StoreRouter {
    /// Peers, the preferred ones first, each with the time until which it is not asked.
    peers: Vec<(SocketAddr, BootTime)>,
    failures: u32,
    lost_calls: u32,
    has_direct_failed: bool,
    direct_after: BootTime,
    peer_failures: usize,
    peers_after: BootTime,
}

impl StoreRouter {
    /// Path without peers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the peers, the preferred ones first.
    pub fn set_peers(&mut self, peers: &[SocketAddr]) {
        let asked_after = |peer: &SocketAddr| self.peers.iter().find(|known| known.0 == *peer).map(|known| known.1);
        self.peers = peers.iter().map(|peer| (*peer, asked_after(peer).unwrap_or_default())).collect();
    }

    /// Whether the direct way failed and was not found to work since.
    #[must_use]
    pub fn has_direct_failed(&self) -> bool {
        self.has_direct_failed
    }

    /// Way of the next call, or of the next try of one that was refused. Of all calls, one at a time tries the direct way
    /// again.
    pub fn next_route(&mut self, now: BootTime) -> StoreRoute {
        if !self.has_direct_failed {
            return StoreRoute::Direct;
        }
        if now >= self.direct_after {
            self.direct_after = now + self.pause();
            return StoreRoute::Direct;
        }
        self.next_peer(now).map_or(StoreRoute::Direct, StoreRoute::Peer)
    }

    /// Whether a call that was refused has another way to go.
    #[must_use]
    pub fn has_alternative_route(&self, now: BootTime) -> bool {
        self.has_direct_failed && self.next_peer(now).is_some()
    }

    fn next_peer(&self, now: BootTime) -> Option<SocketAddr> {
        if now < self.peers_after {
            return None;
        }
        self.peers.iter().find(|(_, asked_after)| now >= *asked_after).map(|(peer, _)| *peer)
    }

    fn pause(&self) -> Duration {
        FIRST_PAUSE.saturating_mul(1 << self.failures.saturating_sub(1).min(5)).min(LONGEST_PAUSE)
    }

    /// Records how a call ended. Returns whether the direct way turned bad or good with it.
    pub fn record(&mut self, way: StoreRoute, end: RouteOutcome, now: BootTime) -> bool {
        match (way, end) {
            (StoreRoute::Direct, RouteOutcome::Answered) => {
                (self.failures, self.lost_calls) = (0, 0);
                std::mem::replace(&mut self.has_direct_failed, false)
            }
            (StoreRoute::Direct, _) => {
                self.lost_calls += u32::from(end == RouteOutcome::Lost);
                if end == RouteOutcome::Lost && self.lost_calls < LOST_CALLS && !self.has_direct_failed {
                    return false;
                }
                self.failures += 1;
                self.direct_after = now + self.pause();
                !std::mem::replace(&mut self.has_direct_failed, true)
            }
            (StoreRoute::Peer(_), RouteOutcome::Answered) => {
                self.peer_failures = 0;
                false
            }
            (StoreRoute::Peer(peer), _) => {
                self.peer_failures += 1;
                if self.peer_failures >= PEERS_PER_CALL {
                    self.peer_failures = 0;
                    self.peers_after = now + ALL_PEERS_PAUSE;
                }
                if let Some(known) = self.peers.iter_mut().find(|known| known.0 == peer) {
                    known.1 = now + PEER_PAUSE;
                }
                false
            }
        }
    }
}
