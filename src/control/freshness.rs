//! Age of the view: newest store read included, and newest news of each failure domain.
//!
//! Ages are learned from answers only. The asker adds the whole time since it sent its request, which is an upper
//! bound of the time that the answer was on its way or waited in a paused process; a message that was merely pushed
//! would look younger than it is by an unknown delay.

use crate::control::control_view::DomainFreshness;
use crate::control::stable_hash::list_hash;
use crate::generated::peer_messages::DomainColumns;
use crate::generated::platform_messages::HostRecord;
use crate::prelude::*;

/// What this host knows of its own view's age.
#[derive(Debug)]
pub struct FreshnessTable {
    own_host: HostId,
    own_domain: DomainId,
    store_read_at: Option<BootTime>,
    domains: Vec<DomainFreshness>,
    has_neighbours: bool,
    heard_neighbour: bool,
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
            has_neighbours: false,
            heard_neighbour: false,
            is_initialised: false,
        }
    }

    /// Takes the host list: the failure domains that have to be heard are those with listed hosts.
    pub fn set_listed(&mut self, listed: &[HostRecord]) {
        let mut names: Vec<&str> = listed.iter().map(|record| record.failure_domain.as_str()).collect();
        names.push(&self.own_domain);
        names.sort_unstable();
        names.dedup();
        let domains = names.iter().map(|name| self.news_of(name)).collect();
        self.domains = domains;
        self.has_neighbours =
            listed.iter().any(|record| record.failure_domain == self.own_domain && record.host != self.own_host);
    }

    fn news_of(&self, name: &str) -> DomainFreshness {
        let known = self.domains.iter().find(|news| news.failure_domain == name);
        known.cloned().unwrap_or_else(|| DomainFreshness {
            failure_domain: name.to_owned(),
            heard_at: None,
            live_hosts: 0,
        })
    }

    /// Records a complete store read that was started at `started_at`.
    pub fn note_store_read(&mut self, started_at: BootTime) {
        self.store_read_at = self.store_read_at.max(Some(started_at));
        self.is_initialised = true;
    }

    /// Records that the own failure domain is heard, by this host itself.
    pub fn note_own(&mut self, live_hosts: u16, now: BootTime) {
        let own_domain = self.own_domain.clone();
        if let Some(news) = self.domains.iter_mut().find(|news| news.failure_domain == own_domain) {
            news.heard_at = Some(now);
            news.live_hosts = live_hosts;
        }
    }

    /// Takes the ages of an answer from a host of `failure_domain` to a request sent at `asked_at`. The caller has
    /// checked that everything the sender knew is in the own view.
    pub fn relay(&mut self, failure_domain: &str, store_age: Option<u32>, columns: &DomainColumns, asked_at: BootTime) {
        let read_at = store_age.and_then(|age| origin_time(asked_at, age));
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
            let heard_at = age.checked_sub(1).and_then(|age| origin_time(asked_at, age));
            let news = &mut self.domains[index];
            if news.failure_domain != self.own_domain && heard_at > news.heard_at {
                news.heard_at = heard_at;
                news.live_hosts = columns.live.get(position).copied().unwrap_or_default();
            }
        }
        let is_from_full_host = columns.ages.iter().any(|age| *age > 0);
        self.heard_neighbour |= is_from_full_host && failure_domain == self.own_domain;
        self.note_full();
    }

    /// Without the store, a view is full when hosts with a full view were heard from every other listed failure
    /// domain, and one from the own unless this host is alone there.
    fn note_full(&mut self) {
        let is_listed = self.domains.len() > 1 || self.has_neighbours;
        let others = self.domains.iter().filter(|news| news.failure_domain != self.own_domain);
        let all_heard = others.into_iter().all(|news| news.heard_at.is_some());
        self.is_initialised |= is_listed && all_heard && (self.heard_neighbour || !self.has_neighbours);
    }

    /// Columns for an asker whose list of failure domains has the hash `asker_domains`. A host without a full view
    /// has no news to give, since hosts that know nothing must not confirm each other.
    #[must_use]
    pub fn columns(&self, asker_domains: u32, now: BootTime) -> DomainColumns {
        let ages = self.domains.iter().map(|news| self.shown_age(news, now)).collect();
        let live = self.domains.iter().map(|news| news.live_hosts).collect();
        let has_same = self.domains_hash() == asker_domains;
        let names =
            (!has_same).then(|| self.domains.iter().map(|news| news.failure_domain.clone()).collect::<Vec<_>>());
        DomainColumns { ages, live, names }
    }

    fn shown_age(&self, news: &DomainFreshness, now: BootTime) -> u32 {
        let heard_at = if news.failure_domain == self.own_domain { Some(now) } else { news.heard_at };
        match heard_at {
            Some(heard_at) if self.is_initialised => age_ms(heard_at, now).saturating_add(1),
            _ => 0,
        }
    }

    /// Age of the newest store read included, for answers.
    #[must_use]
    pub fn store_age(&self, now: BootTime) -> Option<u32> {
        self.store_read_at.filter(|_| self.is_initialised).map(|read_at| age_ms(read_at, now))
    }

    /// Hash of the list of failure domains.
    #[must_use]
    pub fn domains_hash(&self) -> u32 {
        list_hash(self.domains.iter().map(|news| news.failure_domain.as_str()), &[])
    }

    /// News of each failure domain, sorted by name.
    #[must_use]
    pub fn domains(&self) -> &[DomainFreshness] {
        &self.domains
    }

    /// When the newest store read included was started.
    #[must_use]
    pub fn store_read_at(&self) -> Option<BootTime> {
        self.store_read_at
    }

    /// Whether the whole configuration was learned since the start.
    #[must_use]
    pub fn is_initialised(&self) -> bool {
        self.is_initialised
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.domains.binary_search_by(|news| news.failure_domain.as_str().cmp(name)).ok()
    }
}

/// An age that would lie before the boot of this host is unknown rather than clipped, which would make it younger.
fn origin_time(asked_at: BootTime, age_ms: u32) -> Option<BootTime> {
    asked_at.checked_sub(Duration::from_millis(age_ms.into()))
}

fn age_ms(since: BootTime, now: BootTime) -> u32 {
    // Rounded up, since an age must never look smaller than it is.
    u32::try_from(now.saturating_sub(since).as_micros().div_ceil(1000)).unwrap_or(u32::MAX - 1)
}
