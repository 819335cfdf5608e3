//! Choice of the hosts that get a gossip request in each round, and the table of requests without an answer.
//!
//! The live hosts of a failure domain are ranked by rendezvous hashing. The first [`BRIDGE_HOSTS`] are its bridges,
//! which send requests to each other and to their shares of the other failure domains. The first bridge also polls the
//! store most often. The other hosts send requests to one bridge. Every host also sends requests to random hosts of its
//! domain. So information from another domain reaches every host in at most three rounds: to one bridge, to the other
//! bridges, to the rest.

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::control::control_view::{MemberRecord, MemberState};
use crate::control::stable_hash::rank_hosts;
use crate::generated::platform_messages::{HostRecord, HostState};
use crate::prelude::*;

/// Time after which a request without an answer is forgotten, because the ages in the answer would exceed
/// [`VIEW_AGE_LIMIT`].
const ANSWER_TIMEOUT: Duration = VIEW_AGE_LIMIT;

/// Role of a host in the gossip of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipRole {
    /// First bridge, which polls the store every [`STORE_POLL`] instead of every [`STORE_POLL_IDLE`].
    Poller,
    /// Bridge without that duty; sends requests to other failure domains, as the poller does too.
    Bridge,
    /// Learns of other failure domains from the bridges.
    Leaf,
}

/// Choice of the receivers for one round, from the ranked live members of the own failure domain and the host list.
#[derive(Debug)]
pub struct GossipPlan<'a> {
    own_host: &'a str,
    own_domain: &'a str,
    ranked_hosts: Vec<&'a str>,
    listed: &'a [HostRecord],
}

impl<'a> GossipPlan<'a> {
    /// Ranks the live members. The own host is always among them, whatever its state.
    #[must_use]
    pub fn new(own_host: &'a str, own_domain: &'a str, members: &'a [MemberRecord], listed: &'a [HostRecord]) -> Self {
        let live = members.iter().filter(|member| member.state == MemberState::Live || member.host == own_host);
        let purpose = format!("gossip/{own_domain}");
        let ranked_hosts = rank_hosts(&purpose, live.map(|member| member.host.as_str()));
        Self { own_host, own_domain, ranked_hosts, listed }
    }

    /// Role of the own host: poller at rank 0, bridge at ranks below [`BRIDGE_HOSTS`], leaf at all others.
    #[must_use]
    pub fn role(&self) -> GossipRole {
        match self.own_rank() {
            0 => GossipRole::Poller,
            rank if rank < BRIDGE_HOSTS => GossipRole::Bridge,
            _ => GossipRole::Leaf,
        }
    }

    fn own_rank(&self) -> usize {
        self.ranked_hosts.iter().position(|host| *host == self.own_host).unwrap_or(self.ranked_hosts.len())
    }

    /// Hosts that get a request in this round. `round` rotates the bridge that a leaf uses.
    pub fn choose_hosts(&self, round: u32, generator: &mut impl Rng) -> Vec<HostId> {
        let rank = self.own_rank();
        let mut chosen = Vec::new();
        if rank < BRIDGE_HOSTS {
            let bridges = self.ranked_hosts.iter().take(BRIDGE_HOSTS).filter(|host| **host != self.own_host);
            chosen.extend(bridges.map(|host| (*host).to_owned()));
            self.choose_from_domains(rank, generator, &mut chosen);
        } else {
            let bridge = (rank + round as usize) % BRIDGE_HOSTS;
            chosen.extend(self.ranked_hosts.get(bridge).map(|host| (*host).to_owned()));
        }
        self.choose_members(generator, &mut chosen);
        chosen
    }

    /// Adds one random host of each failure domain in the share of the bridge with this rank. Adds one of a random
    /// domain too, so that the domains of a failed bridge are still heard before the other bridges take over its share.
    fn choose_from_domains(&self, rank: usize, generator: &mut impl Rng, chosen: &mut Vec<HostId>) {
        let domains = self.other_domains();
        let bridges = self.ranked_hosts.len().clamp(1, BRIDGE_HOSTS);
        let extra_position = if domains.is_empty() { 0 } else { generator.random_range(0..domains.len()) };
        for (position, domain) in domains.iter().enumerate() {
            if position % bridges == rank || position == extra_position {
                chosen.extend(self.choose_domain_host(domain, generator));
            }
        }
    }

    /// Random host of a failure domain that the host list has as live; `None` if there is none. The host may be dead
    /// nevertheless, and the next round draws again.
    fn choose_domain_host(&self, domain: &str, generator: &mut impl Rng) -> Option<HostId> {
        let hosts: Vec<&HostRecord> = self.live_hosts_of(domain).collect();
        hosts.choose(generator).map(|record| record.host.clone())
    }

    /// Adds [`GOSSIP_FANOUT`] - 1 random hosts of the own failure domain, for the member digests. With a probability of
    /// one in four, and always when no other member is live, a host is drawn from the host list instead of the members.
    /// So hosts that do not know each other yet find each other, as do the sides of a healed partition.
    fn choose_members(&self, generator: &mut impl Rng, chosen: &mut Vec<HostId>) {
        for _ in 1..GOSSIP_FANOUT {
            let listed: Vec<&str> = self.live_hosts_of(self.own_domain).map(|record| record.host.as_str()).collect();
            let pool =
                if self.ranked_hosts.len() < 2 || generator.random_ratio(1, 4) { &listed } else { &self.ranked_hosts };
            let others: Vec<&&str> =
                pool.iter().filter(|host| **host != self.own_host && !chosen.iter().any(|c| c == **host)).collect();
            chosen.extend(others.choose(generator).map(|host| (**host).to_owned()));
        }
    }

    /// Failure domains with listed hosts, without the own one, sorted by name.
    #[must_use]
    pub fn other_domains(&self) -> Vec<&'a str> {
        let mut domains: Vec<&str> = self.listed.iter().map(|record| record.failure_domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.own_domain);
        domains
    }

    /// Hosts of a failure domain that the host list has as live.
    fn live_hosts_of(&self, domain: &'a str) -> impl Iterator<Item = &'a HostRecord> {
        self.listed.iter().filter(move |record| record.failure_domain == domain && record.state == HostState::Live)
    }
}

/// Draws at most `count` listed hosts of a failure domain, in any state, other than `own_host`.
pub fn choose_listed_hosts(
    listed: &[HostRecord],
    domain: &str,
    own_host: &str,
    count: usize,
    generator: &mut impl Rng,
) -> Vec<HostId> {
    let hosts: Vec<&HostRecord> =
        listed.iter().filter(|record| record.failure_domain == domain && record.host != own_host).collect();
    hosts.sample(generator, count).map(|record| record.host.clone()).collect()
}

/// A gossip request without an answer so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenExchange {
    /// Number that the answer repeats.
    pub number: u32,
    /// Receiver of the request.
    pub host: HostId,
    /// Time just before the request was sent.
    pub sent_at: BootTime,
    /// Hash of the own roster that the request carried.
    pub sent_roster_hash: u32,
    /// Hash of the list of failure domains that the request carried.
    pub sent_domains_hash: u32,
}

/// Gossip requests without an answer so far.
#[derive(Debug, Default)]
pub struct ExchangeTable {
    last_number: u32,
    open: Vec<OpenExchange>,
}

impl ExchangeTable {
    /// Records a request; returns its number.
    pub fn open(&mut self, host: &str, sent_roster_hash: u32, sent_domains_hash: u32, now: BootTime) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.open.push(OpenExchange {
            number,
            host: host.to_owned(),
            sent_at: now,
            sent_roster_hash,
            sent_domains_hash,
        });
        number
    }

    /// Removes and returns the request that an answer belongs to. `None` if the answer is repeated, comes from another
    /// host, or comes later than [`VIEW_AGE_LIMIT`] after the request.
    pub fn close(&mut self, host: &str, number: u32, now: BootTime) -> Option<OpenExchange> {
        self.open.retain(|exchange| now.saturating_sub(exchange.sent_at) <= ANSWER_TIMEOUT);
        let position = self.open.iter().position(|exchange| exchange.number == number && exchange.host == host)?;
        Some(self.open.swap_remove(position))
    }
}
