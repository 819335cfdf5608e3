//! Control state of one host as a state machine without clock, threads or network: events and the time go in, actions
//! come out.

mod exchanges;
mod store_calls;
mod withdrawals;

use rand_chacha::ChaCha8Rng;

use crate::control::configuration_log::ConfigurationLog;
use crate::control::configuration_snapshot::{SnapshotReceiver, SnapshotSender};
use crate::control::control_view::{ControlView, MemberState};
use crate::control::freshness::FreshnessTable;
use crate::control::gossip_plan::{ExchangeTable, GossipPlan};
use crate::control::lease_table::LeaseTable;
use crate::control::member_table::MemberTable;
use crate::control::store_call::StoreCommand;
use crate::control::store_poll::StorePoll;
use crate::control::withdrawal_tracker::WithdrawalTracker;
use crate::control::withdrawn_set::WithdrawnSet;
use crate::control::{ControlEvent, HostIdentity};
use crate::generated::peer_messages::PeerFrame;
use crate::generated::platform_messages::{HostRecord, HostState};
use crate::peer::PeerAddress;
use crate::prelude::*;
use exchanges::DeferredFreshness;
use store_calls::StoreCallStates;
use withdrawals::RecentKey;

/// Effect that the caller of [`ControlState`] must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAction {
    /// Send a frame to a host. Loss is tolerated.
    Send(HostId, PeerFrame),
    /// Call the store, and pass the result on as [`ControlEvent::Store`].
    Store(StoreCommand),
    /// Replace the addresses of the hosts to which peer links are kept; the own host is not among them.
    SetAddresses(Vec<PeerAddress>),
}

/// State machine of one host: configuration, withdrawn keys, members, freshness and leases.
#[derive(Debug)]
pub struct ControlState {
    identity: HostIdentity,
    generator: ChaCha8Rng,
    log: ConfigurationLog,
    withdrawn: WithdrawnSet,
    recent_keys: Vec<RecentKey>,
    withdrawal_tracker: WithdrawalTracker,
    members: MemberTable,
    freshness: FreshnessTable,
    leases: LeaseTable,
    /// Host list of the platform as read last, sorted by host.
    listed_hosts: Arc<Vec<HostRecord>>,
    exchanges: ExchangeTable,
    deferred_freshness: Vec<DeferredFreshness>,
    snapshot_source: SnapshotSender,
    snapshot_sink: SnapshotReceiver,
    poll: StorePoll,
    store_calls: StoreCallStates,
    next_gossip_at: BootTime,
    gossip_round: u32,
    is_leaving: bool,
}

impl ControlState {
    /// State of a host that has just started. All periodic work is due at `now`.
    #[must_use]
    pub fn new(identity: HostIdentity, generator: ChaCha8Rng, now: BootTime) -> Self {
        Self {
            members: MemberTable::new(&identity.host, identity.incarnation, now),
            freshness: FreshnessTable::new(&identity.host, &identity.failure_domain),
            leases: LeaseTable::new(&identity.host, identity.incarnation),
            identity,
            generator,
            log: ConfigurationLog::default(),
            withdrawn: WithdrawnSet::default(),
            recent_keys: Vec::new(),
            withdrawal_tracker: WithdrawalTracker::default(),
            listed_hosts: Arc::default(),
            exchanges: ExchangeTable::default(),
            deferred_freshness: Vec::new(),
            snapshot_source: SnapshotSender::default(),
            snapshot_sink: SnapshotReceiver::default(),
            poll: StorePoll::new(now),
            store_calls: StoreCallStates::new(now),
            next_gossip_at: now,
            gossip_round: 0,
            is_leaving: false,
        }
    }

    /// Handles an event, and returns the actions to carry out. [`ControlEvent::Stop`] has no effect here.
    pub fn handle(&mut self, event: ControlEvent, now: BootTime) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        match event {
            ControlEvent::Frame(sender, frame) => self.handle_frame(&sender, *frame, now, &mut actions),
            ControlEvent::Store(report) => self.handle_store_report(*report, now, &mut actions),
            ControlEvent::PollStore => self.poll.make_due(now),
            ControlEvent::Withdraw(key_id) => self.withdraw_key(key_id, now, &mut actions),
            ControlEvent::RequestResource(name) if !self.is_leaving => self.leases.request_resource(&name),
            ControlEvent::ReleaseResource(name) => {
                actions.extend(self.leases.release_resource(&name).map(ControlAction::Store));
            }
            ControlEvent::Leave => self.begin_leaving(now, &mut actions),
            ControlEvent::RequestResource(_) | ControlEvent::Stop => {}
        }
        actions
    }

    /// Starts the gossip rounds and store calls that are due at `now`.
    pub fn tick(&mut self, now: BootTime) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        if now >= self.next_gossip_at || self.next_gossip_at.saturating_sub(now) > GOSSIP_PERIOD {
            self.next_gossip_at = now + GOSSIP_PERIOD;
            self.run_gossip_round(now, &mut actions);
        }
        self.start_due_calls(now, &mut actions);
        actions.extend(self.leases.tick(now).into_iter().map(ControlAction::Store));
        actions
    }

    /// Announces the planned stop at once to all members of the failure domain that are not dead, and releases all
    /// resources.
    fn begin_leaving(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        self.is_leaving = true;
        self.members.begin_leaving();
        actions.extend(self.leases.release_all().into_iter().map(ControlAction::Store));
        for host in self.other_members(now) {
            self.send_gossip_request(&host, now, actions);
        }
    }

    fn run_gossip_round(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        self.members.tick(now);
        self.withdrawal_tracker.tick(now);
        self.gossip_round = self.gossip_round.wrapping_add(1);
        let records = self.members.records(now, |host| is_listed_leaving(&self.listed_hosts, host));
        let live = records.iter().filter(|record| record.state == MemberState::Live).count();
        self.freshness.record_own_domain(u16::try_from(live).unwrap_or(u16::MAX), now);
        let plan = GossipPlan::new(&self.identity.host, &self.identity.failure_domain, &records, &self.listed_hosts);
        let chosen = plan.choose_hosts(self.gossip_round, &mut self.generator);
        self.store_calls.set_role(plan.role());
        for host in chosen {
            self.send_gossip_request(&host, now, actions);
        }
        self.resend_withdrawals(now, actions);
    }

    /// Members of the own failure domain that are not dead, without the own host.
    fn other_members(&self, now: BootTime) -> Vec<HostId> {
        let records = self.members.records(now, |_| false);
        let other_records =
            records.into_iter().filter(|record| record.state != MemberState::Dead && record.host != self.identity.host);
        other_records.map(|record| record.host).collect()
    }

    fn other_domains(&self) -> Vec<DomainId> {
        let domains = self.freshness.domains().iter().map(|entry| entry.failure_domain.clone());
        domains.filter(|domain| *domain != self.identity.failure_domain).collect()
    }

    /// Snapshot of this state for other threads.
    #[must_use]
    pub fn view(&self, now: BootTime) -> ControlView {
        let domains: Vec<&str> = self.freshness.domains().iter().map(|entry| entry.failure_domain.as_str()).collect();
        ControlView {
            host: self.identity.host.clone(),
            failure_domain: self.identity.failure_domain.clone(),
            incarnation: self.identity.incarnation,
            configuration: Arc::clone(self.log.configuration()),
            withdrawn: Arc::clone(self.withdrawn.ids()),
            withdrawals: self.withdrawal_tracker.progress(&domains, &self.withdrawn),
            members: self.members.records(now, |host| is_listed_leaving(&self.listed_hosts, host)),
            listed: Arc::clone(&self.listed_hosts),
            domains: self.freshness.domains().to_vec(),
            store_read_at: self.freshness.store_read_at(),
            is_initialised: self.freshness.is_initialised(),
            is_leaving: self.is_leaving,
            owned: self.leases.owned_resources(now),
        }
    }
}

fn is_listed_leaving(listed: &[HostRecord], host: &str) -> bool {
    let position = listed.binary_search_by(|record| record.host.as_str().cmp(host));
    position.is_ok_and(|position| listed[position].state == HostState::Leaving)
}
