//! Whom this host asks in each gossip period, and the requests that wait for an answer.
//!
//! The hosts of a failure domain are ranked by rendezvous hashing. The first [`BRIDGE_HOSTS`] are its bridges: each
//! asks its share of the other failure domains and the other bridges, and the first also polls the store. Every other
//! host asks one bridge and one random member, so that news needs at most three periods to every host.

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::control::control_view::{MemberRecord, MemberState};
use crate::control::stable_hash::rank_hosts;
use crate::generated::platform_messages::{HostRecord, HostState};
use crate::prelude::*;

/// Time after which an unanswered request is forgotten; its answer would be too old to count.
const ANSWER_LIMIT: Duration = VIEW_AGE_LIMIT;

/// Role of this host in the exchange of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipRole {
    /// Polls the store and is a bridge.
    Poller,
    /// Asks other failure domains.
    Bridge,
    /// Asks a bridge.
    Leaf,
}

/// Members of the own failure domain that take part, and the host list.
#[derive(Debug)]
pub struct GossipPlan<'a> {
    own_host: &'a str,
    own_domain: &'a str,
    ranked: Vec<&'a str>,
    listed: &'a [HostRecord],
}

impl<'a> GossipPlan<'a> {
    /// Plan from the members that are live. The own host always takes part.
    #[must_use]
    pub fn new(own_host: &'a str, own_domain: &'a str, members: &'a [MemberRecord], listed: &'a [HostRecord]) -> Self {
        let live = members.iter().filter(|member| member.state == MemberState::Live || member.host == own_host);
        let purpose = format!("gossip/{own_domain}");
        let ranked = rank_hosts(&purpose, live.map(|member| member.host.as_str()));
        Self { own_host, own_domain, ranked, listed }
    }

    /// Role of this host.
    #[must_use]
    pub fn role(&self) -> GossipRole {
        match self.own_rank() {
            0 => GossipRole::Poller,
            rank if rank < BRIDGE_HOSTS => GossipRole::Bridge,
            _ => GossipRole::Leaf,
        }
    }

    fn own_rank(&self) -> usize {
        self.ranked.iter().position(|host| *host == self.own_host).unwrap_or(self.ranked.len())
    }

    /// Hosts to ask in this period.
    pub fn choose(&self, period: u32, generator: &mut impl Rng) -> Vec<HostId> {
        let rank = self.own_rank();
        let mut chosen = Vec::new();
        if rank < BRIDGE_HOSTS {
            let bridges = self.ranked.iter().take(BRIDGE_HOSTS).filter(|host| **host != self.own_host);
            chosen.extend(bridges.map(|host| (*host).to_owned()));
            self.choose_domains(rank, generator, &mut chosen);
        } else {
            let bridge = (rank + period as usize) % BRIDGE_HOSTS;
            chosen.extend(self.ranked.get(bridge).map(|host| (*host).to_owned()));
        }
        self.choose_member(generator, &mut chosen);
        chosen
    }

    /// One random host of each failure domain in this bridge's share, and of one other, so that the failure of a
    /// bridge does not hide its share until the others take it over.
    fn choose_domains(&self, rank: usize, generator: &mut impl Rng, chosen: &mut Vec<HostId>) {
        let domains = self.other_domains();
        let bridges = self.ranked.len().clamp(1, BRIDGE_HOSTS);
        let extra = if domains.is_empty() { 0 } else { generator.random_range(0..domains.len()) };
        for (position, domain) in domains.iter().enumerate() {
            if position % bridges == rank || position == extra {
                chosen.extend(self.choose_host(domain, generator));
            }
        }
    }

    /// Random host of another failure domain; a listed host may be dead, which the next period makes up for.
    fn choose_host(&self, domain: &str, generator: &mut impl Rng) -> Option<HostId> {
        let hosts: Vec<&HostRecord> = self.hosts_of(domain).collect();
        hosts.choose(generator).map(|record| record.host.clone())
    }

    /// One random member for the digests. In one of four periods it is any listed host, which brings hosts together
    /// that do not know each other yet, and sides of a healed partition.
    fn choose_member(&self, generator: &mut impl Rng, chosen: &mut Vec<HostId>) {
        for _ in 1..GOSSIP_FANOUT {
            let listed: Vec<&str> = self.hosts_of(self.own_domain).map(|record| record.host.as_str()).collect();
            let pool = if self.ranked.len() < 2 || generator.random_ratio(1, 4) { &listed } else { &self.ranked };
            let others: Vec<&&str> =
                pool.iter().filter(|host| **host != self.own_host && !chosen.iter().any(|c| c == **host)).collect();
            chosen.extend(others.choose(generator).map(|host| (**host).to_owned()));
        }
    }

    /// Failure domains other than the own with listed hosts, sorted.
    #[must_use]
    pub fn other_domains(&self) -> Vec<&'a str> {
        let mut domains: Vec<&str> = self.listed.iter().map(|record| record.failure_domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.retain(|domain| *domain != self.own_domain);
        domains
    }

    fn hosts_of(&self, domain: &'a str) -> impl Iterator<Item = &'a HostRecord> {
        self.listed.iter().filter(move |record| record.failure_domain == domain && record.state == HostState::Live)
    }
}

/// At most `count` random listed hosts of a failure domain, other than `own_host`.
pub fn choose_listed(
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

/// A request that waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenExchange {
    /// Number.
    pub number: u32,
    /// Host that was asked.
    pub host: HostId,
    /// Time just before it was asked.
    pub asked_at: BootTime,
    /// Roster hash sent.
    pub roster: u32,
    /// Hash of the list of failure domains sent.
    pub domains: u32,
}

/// Requests that wait for their answers.
#[derive(Debug, Default)]
pub struct ExchangeTable {
    last_number: u32,
    open: Vec<OpenExchange>,
}

impl ExchangeTable {
    /// Records a request; returns its number.
    pub fn open(&mut self, host: &str, roster: u32, domains: u32, now: BootTime) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.open.push(OpenExchange { number, host: host.to_owned(), asked_at: now, roster, domains });
        number
    }

    /// Takes the request that an answer belongs to. A repeated answer finds nothing.
    pub fn close(&mut self, host: &str, number: u32, now: BootTime) -> Option<OpenExchange> {
        self.open.retain(|exchange| now.saturating_sub(exchange.asked_at) <= ANSWER_LIMIT);
        let position = self.open.iter().position(|exchange| exchange.number == number && exchange.host == host)?;
        Some(self.open.swap_remove(position))
    }
}
