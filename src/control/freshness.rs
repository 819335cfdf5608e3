//! Freshness of the view: the start of the newest store read in it, and the newest information from each failure
//! domain.
//!
//! Ages are learned from answers only. The receiver adds the whole time since it sent its request, which includes the
//! transit of the answer and any time in a paused process. The delay of a pushed message is not known, so its ages
//! would be too small.

use crate::control::control_view::DomainFreshness;
use crate::control::stable_hash::list_hash;
use crate::generated::peer_messages::DomainColumns;
use crate::generated::platform_messages::HostRecord;
use crate::prelude::*;

/// Times from which the age of the view of this host is computed.
#[derive(Debug)]
pub struct FreshnessTable {
    own_host: HostId,
    own_domain: DomainId,
    store_read_at: Option<BootTime>,
    domains: Vec<DomainFreshness>,
    /// Whether the host list has other hosts of the own failure domain.
    has_domain_peers: bool,
    /// Whether another host of the own failure domain that had the whole configuration has answered since the start.
    has_heard_domain_peer: bool,
    is_initialised: bool,
}

impl FreshnessTable {
    /// Table of a host that has heard nothing.
    #[must_use]
    pub fn new(host: &str, failure_domain: &str) -> Self {
        Self {
            own_host: host.to_owned(),
            own_domain: failure_domain.to_owned(),
            store_read_at: None,
            domains: Vec::new(),
            has_domain_peers: false,
            has_heard_domain_peer: false,
            is_initialised: false,
        }
    }

    /// Applies the host list. The failure domains that must be heard are the own one and those with listed hosts.
    pub fn set_listed(&mut self, listed: &[HostRecord]) {
        let mut names: Vec<&str> = listed.iter().map(|record| record.failure_domain.as_str()).collect();
        names.push(&self.own_domain);
        names.sort_unstable();
        names.dedup();
        let domains = names.iter().map(|name| self.find_or_default(name)).collect();
        self.domains = domains;
        self.has_domain_peers =
            listed.iter().any(|record| record.failure_domain == self.own_domain && record.host != self.own_host);
    }

    fn find_or_default(&self, name: &str) -> DomainFreshness {
        let known = self.domains.iter().find(|entry| entry.failure_domain == name);
        known.cloned().unwrap_or_else(|| DomainFreshness {
            failure_domain: name.to_owned(),
            heard_at: None,
            live_hosts: 0,
        })
    }

    /// Records a complete store read that was started at `started_at`.
    pub fn record_store_read(&mut self, started_at: BootTime) {
        self.store_read_at = self.store_read_at.max(Some(started_at));
        self.is_initialised = true;
    }

    /// Records the live hosts of the own failure domain, which counts as heard at `now` through this host. Does nothing
    /// until the host list is known.
    pub fn record_own_domain(&mut self, live_hosts: u16, now: BootTime) {
        let own_domain = self.own_domain.clone();
        if let Some(entry) = self.domains.iter_mut().find(|entry| entry.failure_domain == own_domain) {
            entry.heard_at = Some(now);
            entry.live_hosts = live_hosts;
        }
    }

    /// Applies the ages in a gossip answer from a host of `failure_domain`; the request for it was sent at `sent_at`.
    /// The caller has checked that the own view includes everything that the sender knew, and that the positions in
    /// columns without names are those of the own list. `store_age` is in milliseconds; `None` if the answer tells
    /// none.
    pub fn apply_answer_ages(
        &mut self,
        failure_domain: &str,
        store_age: Option<u32>,
        columns: &DomainColumns,
        sent_at: BootTime,
    ) {
        let read_at = store_age.and_then(|age| subtract_age(sent_at, age));
        self.store_read_at = self.store_read_at.max(read_at);
        if columns.names.is_none() && columns.ages.len() != self.domains.len() {
            return;
        }
        for (position, age) in columns.ages.iter().enumerate() {
            let index = match &columns.names {
                Some(names) => names.get(position).and_then(|name| self.position(name)),
                None => Some(position),
            };
            let Some(index) = index else { continue };
            let heard_at = age.checked_sub(1).and_then(|age| subtract_age(sent_at, age));
            let entry = &mut self.domains[index];
            if entry.failure_domain != self.own_domain && heard_at > entry.heard_at {
                entry.heard_at = heard_at;
                entry.live_hosts = columns.live.get(position).copied().unwrap_or_default();
            }
        }
        let is_from_initialised_host = columns.ages.iter().any(|age| *age > 0);
        self.has_heard_domain_peer |= is_from_initialised_host && failure_domain == self.own_domain;
        self.update_initialised();
    }

    /// Without a store read, the whole configuration counts as learned when hosts that had it were heard from every
    /// other failure domain with listed hosts, and from the own one unless no other host is listed there. A host that
    /// is alone in the host list needs the store.
    fn update_initialised(&mut self) {
        let has_other_hosts = self.domains.len() > 1 || self.has_domain_peers;
        let other_domains = self.domains.iter().filter(|entry| entry.failure_domain != self.own_domain);
        let are_all_heard = other_domains.into_iter().all(|entry| entry.heard_at.is_some());
        self.is_initialised |=
            has_other_hosts && are_all_heard && (self.has_heard_domain_peer || !self.has_domain_peers);
    }

    /// Ages and host counts for a peer whose list of failure domains has the hash `peer_domains_hash`. All ages are
    /// unknown until this host has learned the whole configuration, since hosts that know nothing must not make each
    /// other look fresh.
    #[must_use]
    pub fn domain_columns(&self, peer_domains_hash: u32, now: BootTime) -> DomainColumns {
        let ages = self.domains.iter().map(|entry| self.encode_age(entry, now)).collect();
        let live = self.domains.iter().map(|entry| entry.live_hosts).collect();
        let has_same_domains = self.domains_hash() == peer_domains_hash;
        let names = (!has_same_domains)
            .then(|| self.domains.iter().map(|entry| entry.failure_domain.clone()).collect::<Vec<_>>());
        DomainColumns { ages, live, names }
    }

    /// Age in milliseconds plus one; 0 if it is not known.
    fn encode_age(&self, entry: &DomainFreshness, now: BootTime) -> u32 {
        let heard_at = if entry.failure_domain == self.own_domain { Some(now) } else { entry.heard_at };
        match heard_at {
            Some(heard_at) if self.is_initialised => age_ms(heard_at, now).saturating_add(1),
            _ => 0,
        }
    }

    /// Age of the newest store read in the view, in milliseconds, for gossip answers. `None` if there was none, or
    /// until the whole configuration is learned.
    #[must_use]
    pub fn store_age(&self, now: BootTime) -> Option<u32> {
        self.store_read_at.filter(|_| self.is_initialised).map(|read_at| age_ms(read_at, now))
    }

    /// Hash of the names of the failure domains, by which two hosts notice that their lists differ.
    #[must_use]
    pub fn domains_hash(&self) -> u32 {
        list_hash(self.domains.iter().map(|entry| entry.failure_domain.as_str()), &[])
    }

    /// Freshness of each failure domain, sorted by name; empty until the host list is known.
    #[must_use]
    pub fn domains(&self) -> &[DomainFreshness] {
        &self.domains
    }

    /// Time at which the newest store read in the view was started, here or by a peer; `None` if there was none.
    #[must_use]
    pub fn store_read_at(&self) -> Option<BootTime> {
        self.store_read_at
    }

    /// Whether the whole configuration has been learned since the start, from the store or from peers.
    #[must_use]
    pub fn is_initialised(&self) -> bool {
        self.is_initialised
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.domains.binary_search_by(|entry| entry.failure_domain.as_str().cmp(name)).ok()
    }
}

/// Time of this host's clock that lies `age_ms` before `sent_at`. `None` if that is before the boot of this host; to
/// use the time of the boot would make the information look more recent than it is.
fn subtract_age(sent_at: BootTime, age_ms: u32) -> Option<BootTime> {
    sent_at.checked_sub(Duration::from_millis(age_ms.into()))
}

fn age_ms(since: BootTime, now: BootTime) -> u32 {
    // Rounded up, because an age must never be understated.
    u32::try_from(now.saturating_sub(since).as_micros().div_ceil(1000)).unwrap_or(u32::MAX - 1)
}
