//! Decides whether this host reaches targets itself or through other hosts, without I/O.
//!
//! Failure handled: a host loses its links to all targets for seconds, while callers, the store and the other hosts still
//! reach it. New connections are refused or hang; open ones are reset, stay silent, or live on.
//!
//! - One target that cannot be reached may have failed itself. Two of them, with no answer from any target in between, count
//!   as a cut, and the host then sends through its peers. A wrong guess costs one hop until the next answer.
//! - Any answer of a target ends the state. While it lasts, one target is probed in each [`PROBE_INTERVAL`], so that the end of
//!   a cut is noticed without sending callers' requests into it.

use std::net::SocketAddr;

use crate::prelude::*;

/// Interval between two probes of a target while the links count as cut.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Targets that must be out of reach, with no answer in between, before the links count as cut.
const MIN_UNREACHABLE: usize = 2;

/// Time from the begin of an attempt until which answers of other targets say nothing about a cut that began just after.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Time for which a target that did not answer counts as out of reach, if no other fails within it.
const DOUBT_PERIOD: Duration = Duration::from_secs(2);

/// Backoff of a peer that could not be reached, or that could not reach a target.
const PEER_BACKOFF: Duration = Duration::from_millis(500);

/// Reachability of targets from this host, as its own requests show it.
#[derive(Debug, Default)]
pub struct TargetLinks {
    /// Targets that failed since the last answer of any target, with the time of the last failure.
    unreachable: Vec<(SocketAddr, BootTime)>,
    last_answer_at: BootTime,
    /// When the links began to count as cut; `None` while they do not.
    cut_since: Option<BootTime>,
    next_probe_at: BootTime,
    /// Peers in backoff, with its end.
    peer_backoffs: Vec<(SocketAddr, BootTime)>,
    /// Counts the choices of peers and probed targets, so that these take turns.
    turn: usize,
}

impl TargetLinks {
    /// Whether requests go through peers.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Whether the links have counted as cut for at least this time.
    #[must_use]
    pub fn is_cut_for(&self, period: Duration, now: BootTime) -> bool {
        self.cut_since.is_some_and(|since| now.saturating_sub(since) >= period)
    }

    /// Whether a target has been out of reach, with no answer from any since, so that a further attempt of a request should
    /// take another way than the first one.
    #[must_use]
    pub fn is_doubtful(&self, now: BootTime) -> bool {
        self.is_cut() || self.unreachable.iter().any(|(_, at)| now.saturating_sub(*at) < DOUBT_PERIOD)
    }

    /// Records that a target answered over a link of this host; returns whether this ends a cut.
    pub fn record_answer(&mut self, now: BootTime) -> bool {
        self.last_answer_at = now;
        self.unreachable.clear();
        self.cut_since.take().is_some()
    }

    /// Records that a connection to a target, tried from `since` on, could not be made, broke or stayed silent; returns whether
    /// the links now count as cut and did not before. An answer of any target meanwhile shows that the fault is not in the links.
    pub fn record_unreachable(&mut self, target: SocketAddr, since: BootTime, now: BootTime) -> bool {
        if self.last_answer_at > since + ANSWER_MARGIN {
            return false;
        }
        self.unreachable.retain(|(known, at)| *known != target && now.saturating_sub(*at) < DOUBT_PERIOD);
        self.unreachable.push((target, now));
        if self.is_cut() || self.unreachable.len() < MIN_UNREACHABLE {
            return false;
        }
        self.cut_since = Some(now);
        self.next_probe_at = now;
        true
    }

    /// Whether a target must be probed now; the next probe is then due after [`PROBE_INTERVAL`].
    pub fn begin_probe(&mut self, now: BootTime) -> bool {
        let is_due = self.is_cut() && now >= self.next_probe_at;
        if is_due {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }

    /// Records that a peer could not be reached or did not pass a request on.
    pub fn record_peer_failure(&mut self, peer: SocketAddr, now: BootTime) {
        self.peer_backoffs.retain(|(known, end)| *known != peer && now < *end);
        self.peer_backoffs.push((peer, now + PEER_BACKOFF));
    }

    /// Number that increases with each call, for choices that take turns.
    pub fn next_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn
    }

    /// Peers to try for a request, in this order. `near` are those of the failure domain of this host; all take turns within
    /// their group, and those in backoff come last.
    pub fn order_peers(&mut self, near: &[SocketAddr], far: &[SocketAddr], now: BootTime) -> Vec<SocketAddr> {
        let turn = self.next_turn();
        let turns = |peers: &[SocketAddr]| -> Vec<SocketAddr> {
            let first = turn.checked_rem(peers.len()).unwrap_or_default();
            peers[first..].iter().chain(&peers[..first]).copied().collect()
        };
        let mut peers = turns(near);
        peers.extend(turns(far));
        peers.sort_by_key(|peer| self.peer_backoffs.iter().any(|(known, end)| known == peer && now < *end));
        peers
    }
}
