//! Immutable view of the control state, read by all other threads.

use crate::control::configuration::Configuration;
use crate::generated::platform_messages::HostRecord;
use crate::prelude::*;

/// State of a member of the own failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Its heartbeat advances.
    Live,
    /// Its heartbeat has been silent for [`SUSPECT_AFTER`].
    Suspect,
    /// Its heartbeat has been silent for [`DEAD_AFTER`].
    Dead,
    /// It announced a planned stop, or the host list says so.
    Leaving,
}

/// A member of the own failure domain; the own host is among them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Host.
    pub host: HostId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// State.
    pub state: MemberState,
    /// Time at which its heartbeat last advanced here.
    pub heard_at: BootTime,
}

/// Newest news of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainFreshness {
    /// Failure domain.
    pub failure_domain: DomainId,
    /// When the newest news started there, by this host's clock; `None` when none came.
    pub heard_at: Option<BootTime>,
    /// Live hosts by its own count.
    pub live_hosts: u16,
}

/// A resource that this host owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedResource {
    /// Name, such as `orders/north`.
    pub name: String,
    /// Fencing number.
    pub epoch: LeaseEpoch,
    /// Version of its row, for conditional writes.
    pub row_version: u64,
    /// Time from which this host must not act as the owner.
    pub valid_until: BootTime,
}

/// A key withdrawn at this host a short time ago, and who has confirmed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithdrawalProgress {
    /// Key.
    pub key_id: KeyId,
    /// Whether the store has it.
    pub is_stored: bool,
    /// Failure domains with listed hosts of which none has confirmed it, sorted.
    pub unconfirmed: Vec<DomainId>,
}

/// Control state at one moment.
#[derive(Debug, Clone)]
pub struct ControlView {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Withdrawn key ids, sorted.
    pub withdrawn: Arc<Vec<KeyId>>,
    /// Withdrawals through this host that an operator may be waiting for.
    pub withdrawals: Vec<WithdrawalProgress>,
    /// Members of the own failure domain, sorted by host.
    pub members: Vec<MemberRecord>,
    /// Host list of the platform, sorted by host.
    pub listed: Arc<Vec<HostRecord>>,
    /// News of each failure domain with listed hosts, sorted by name.
    pub domains: Vec<DomainFreshness>,
    /// When the newest store read that this view includes was started; `None` when there was none.
    pub store_read_at: Option<BootTime>,
    /// Whether the whole configuration was learned since the start.
    pub is_initialised: bool,
    /// Whether this host is stopping.
    pub is_leaving: bool,
    /// Resources owned, sorted by name.
    pub owned: Vec<OwnedResource>,
}

impl ControlView {
    /// View of a host that has learned nothing yet.
    #[must_use]
    pub fn empty(host: &str, failure_domain: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            failure_domain: failure_domain.to_owned(),
            incarnation,
            configuration: Arc::new(Configuration::default()),
            withdrawn: Arc::new(Vec::new()),
            withdrawals: Vec::new(),
            members: Vec::new(),
            listed: Arc::new(Vec::new()),
            domains: Vec::new(),
            store_read_at: None,
            is_initialised: false,
            is_leaving: false,
            owned: Vec::new(),
        }
    }

    /// Age of this view: the smaller of the age of its store read and of its oldest news of any listed domain.
    /// `None` when neither is known.
    #[must_use]
    pub fn view_age(&self, now: BootTime) -> Option<Duration> {
        let store_age = self.store_read_at.map(|read_at| now.saturating_sub(read_at));
        let oldest: Option<BootTime> = self.domains.iter().map(|news| news.heard_at).min().flatten();
        let news_age = oldest.map(|heard_at| now.saturating_sub(heard_at));
        match (store_age, news_age) {
            (Some(store_age), Some(news_age)) => Some(store_age.min(news_age)),
            (age, None) | (None, age) => age,
        }
    }

    /// Whether the load balancer may send new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_initialised && !self.is_leaving
    }

    /// Whether keyed work may be admitted.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.is_initialised && self.view_age(now).is_some_and(|age| age <= VIEW_AGE_LIMIT)
    }

    /// Whether a key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, key_id: &str) -> bool {
        self.withdrawn.binary_search_by(|known| known.as_str().cmp(key_id)).is_ok()
    }

    /// The resource, if this host owns it and may still act.
    #[must_use]
    pub fn owned_resource(&self, name: &str, now: BootTime) -> Option<&OwnedResource> {
        let position = self.owned.binary_search_by(|owned| owned.name.as_str().cmp(name)).ok()?;
        Some(&self.owned[position]).filter(|owned| now < owned.valid_until)
    }
}
