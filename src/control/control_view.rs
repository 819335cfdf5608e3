//! Immutable view of the control state, published by the control thread and read by all other threads.

use crate::control::configuration::Configuration;
use crate::generated::platform_messages::HostRecord;
use crate::prelude::*;

/// State of a member of the own failure domain. Dead takes precedence over leaving, and leaving over suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The heartbeat has advanced within [`SUSPECT_AFTER`].
    Live,
    /// The heartbeat has not advanced for [`SUSPECT_AFTER`].
    Suspect,
    /// The heartbeat has not advanced for [`DEAD_AFTER`].
    Dead,
    /// The member announced a planned stop, or the host list has it as leaving.
    Leaving,
}

/// A member of the own failure domain, possibly the own host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Configured name of the member.
    pub host: HostId,
    /// Incarnation whose heartbeats this host accepts.
    pub incarnation: Incarnation,
    /// State at the time of the view.
    pub state: MemberState,
    /// Time at which this host last saw the heartbeat advance, moved forward by pauses of this host.
    pub heard_at: BootTime,
}

/// How recent the information from one failure domain is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainFreshness {
    /// Domain that the information came from.
    pub failure_domain: DomainId,
    /// Time, by this host's clock, at which the newest information left the domain, whether it came directly or through
    /// other hosts. `None` if nothing was heard since the start.
    pub heard_at: Option<BootTime>,
    /// Live hosts by the count of the domain itself; 0 if nothing was heard.
    pub live_hosts: u16,
}

/// A resource that this host owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedResource {
    /// Name of the resource, such as `orders/north`.
    pub name: String,
    /// Epoch of the ownership; receivers get it as the fencing number.
    pub epoch: LeaseEpoch,
    /// Version of the resource row, for writes to the store that must fail after a takeover.
    pub row_version: u64,
    /// Time from which this host must not act as the owner.
    pub valid_until: BootTime,
}

/// How far a withdrawal made at this host has spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithdrawalProgress {
    /// Key that an operator withdrew at this host.
    pub key_id: KeyId,
    /// Whether the store is known to have the withdrawal.
    pub is_stored: bool,
    /// Failure domains, of those with listed hosts, in which no host has confirmed the withdrawal, sorted.
    pub unconfirmed: Vec<DomainId>,
}

/// Control state at one moment.
#[derive(Debug, Clone)]
pub struct ControlView {
    /// Name of the host that published the view.
    pub host: HostId,
    /// Failure domain of that host, and of all `members`.
    pub failure_domain: DomainId,
    /// Incarnation of the process that published the view.
    pub incarnation: Incarnation,
    /// Newest configuration known here; empty at version 0 until one is learned.
    pub configuration: Arc<Configuration>,
    /// Withdrawn key ids, sorted.
    pub withdrawn: Arc<Vec<KeyId>>,
    /// Withdrawals made at this host within the last two minutes, for operators that wait for them.
    pub withdrawals: Vec<WithdrawalProgress>,
    /// Members of the own failure domain, sorted by host.
    pub members: Vec<MemberRecord>,
    /// Host list of the platform, sorted by host; empty until it was read for the first time.
    pub listed: Arc<Vec<HostRecord>>,
    /// The own failure domain and each one with listed hosts, sorted by name; empty until the host list is known.
    pub domains: Vec<DomainFreshness>,
    /// Start, by this host's clock, of the newest complete store read that this view includes. The read was made here
    /// or by a peer. `None` if there was none.
    pub store_read_at: Option<BootTime>,
    /// Whether the whole configuration has been learned since the start, from the store or from peers.
    pub is_initialised: bool,
    /// Whether a planned stop of this host has begun.
    pub is_leaving: bool,
    /// Resources that this host owns, sorted by name.
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

    /// Age of this view: the smaller of two times, that since the store read and that since the least recently heard
    /// failure domain was heard. The second one is not known until every domain was heard. `None` if neither is known.
    #[must_use]
    pub fn view_age(&self, now: BootTime) -> Option<Duration> {
        let store_age = self.store_read_at.map(|read_at| now.saturating_sub(read_at));
        let oldest_heard_at: Option<BootTime> = self.domains.iter().map(|entry| entry.heard_at).min().flatten();
        let domain_age = oldest_heard_at.map(|heard_at| now.saturating_sub(heard_at));
        match (store_age, domain_age) {
            (Some(store_age), Some(domain_age)) => Some(store_age.min(domain_age)),
            (age, None) | (None, age) => age,
        }
    }

    /// Whether the load balancer may send new requests to this host.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_initialised && !self.is_leaving
    }

    /// Whether requests with a key may be admitted: the whole configuration is known, and the view is not older than
    /// [`VIEW_AGE_LIMIT`].
    #[must_use]
    pub fn is_fresh(&self, now: BootTime) -> bool {
        self.is_initialised && self.view_age(now).is_some_and(|age| age <= VIEW_AGE_LIMIT)
    }

    /// Whether this host knows that the key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, key_id: &str) -> bool {
        self.withdrawn.binary_search_by(|withdrawn_id| withdrawn_id.as_str().cmp(key_id)).is_ok()
    }

    /// The resource with this name; `None` if this host does not own it, or must no longer act as the owner at `now`.
    #[must_use]
    pub fn owned_resource(&self, name: &str, now: BootTime) -> Option<&OwnedResource> {
        let position = self.owned.binary_search_by(|owned| owned.name.as_str().cmp(name)).ok()?;
        Some(&self.owned[position]).filter(|owned| now < owned.valid_until)
    }
}
