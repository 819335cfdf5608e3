//! The whole control state as one pure state machine: inputs and the time go in, actions come out.

mod exchanges;
mod store_flow;
mod withdrawals;

use rand_chacha::ChaCha8Rng;

use crate::control::configuration_log::ConfigurationLog;
use crate::control::configuration_snapshot::{SnapshotSink, SnapshotSource};
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
use exchanges::DeferredNews;
use store_flow::StoreFlow;
use withdrawals::RecentKey;

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAction {
    /// Send a frame to a host.
    Send(HostId, PeerFrame),
    /// Call the store.
    Store(StoreCommand),
    /// Replace the address book of the links.
    SetAddresses(Vec<PeerAddress>),
}

/// Control state of one host.
#[derive(Debug)]
pub struct ControlState {
    origin: HostIdentity,
    generator: ChaCha8Rng,
    log: ConfigurationLog,
    withdrawn: WithdrawnSet,
    recent: Vec<RecentKey>,
    watch: WithdrawalTracker,
    members: MemberTable,
    freshness: FreshnessTable,
    leases: LeaseTable,
    listed: Arc<Vec<HostRecord>>,
    exchanges: ExchangeTable,
    deferred: Vec<DeferredNews>,
    snapshot_source: SnapshotSource,
    snapshot_sink: SnapshotSink,
    poll: StorePoll,
    flow: StoreFlow,
    gossip_at: BootTime,
    period: u32,
    is_leaving: bool,
}

impl ControlState {
    /// State of a host that has just started.
    #[must_use]
    pub fn new(origin: HostIdentity, generator: ChaCha8Rng, now: BootTime) -> Self {
        Self {
            members: MemberTable::new(&origin.host, origin.incarnation, now),
            freshness: FreshnessTable::new(&origin.host, &origin.failure_domain),
            leases: LeaseTable::new(&origin.host, origin.incarnation),
            origin,
            generator,
            log: ConfigurationLog::default(),
            withdrawn: WithdrawnSet::default(),
            recent: Vec::new(),
            watch: WithdrawalTracker::default(),
            listed: Arc::default(),
            exchanges: ExchangeTable::default(),
            deferred: Vec::new(),
            snapshot_source: SnapshotSource::default(),
            snapshot_sink: SnapshotSink::default(),
            poll: StorePoll::new(now),
            flow: StoreFlow::new(now),
            gossip_at: now,
            period: 0,
            is_leaving: false,
        }
    }

    /// Takes an event; returns what to do.
    pub fn handle(&mut self, event: ControlEvent, now: BootTime) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        match event {
            ControlEvent::Frame(origin, frame) => self.handle_frame(&origin, *frame, now, &mut actions),
            ControlEvent::Store(report) => self.handle_store_report(*report, now, &mut actions),
            ControlEvent::PollStore => self.poll.hurry(now),
            ControlEvent::Withdraw(key_id) => self.withdraw(key_id, now, &mut actions),
            ControlEvent::RequestResource(name) if !self.is_leaving => self.leases.want(&name),
            ControlEvent::ReleaseResource(name) => {
                actions.extend(self.leases.release_resource(&name).map(ControlAction::Store));
            }
            ControlEvent::Leave => self.leave(now, &mut actions),
            ControlEvent::RequestResource(_) | ControlEvent::Stop => {}
        }
        actions
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now: BootTime) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        if now >= self.gossip_at || self.gossip_at.saturating_sub(now) > GOSSIP_PERIOD {
            self.gossip_at = now + GOSSIP_PERIOD;
            self.gossip(now, &mut actions);
        }
        self.tick_store(now, &mut actions);
        actions.extend(self.leases.tick(now).into_iter().map(ControlAction::Store));
        actions
    }

    /// Announces the planned stop at once to every member, and gives up all resources.
    fn leave(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        self.is_leaving = true;
        self.members.leave();
        actions.extend(self.leases.drop_all().into_iter().map(ControlAction::Store));
        for host in self.other_members(now) {
            self.ask(&host, now, actions);
        }
    }

    fn gossip(&mut self, now: BootTime, actions: &mut Vec<ControlAction>) {
        self.members.tick(now);
        self.watch.tick(now);
        self.period = self.period.wrapping_add(1);
        let records = self.members.records(now, |host| is_listed_leaving(&self.listed, host));
        let live = records.iter().filter(|record| record.state == MemberState::Live).count();
        self.freshness.note_own(u16::try_from(live).unwrap_or(u16::MAX), now);
        let plan = GossipPlan::new(&self.origin.host, &self.origin.failure_domain, &records, &self.listed);
        let chosen = plan.choose(self.period, &mut self.generator);
        self.flow.set_role(plan.role());
        for host in chosen {
            self.ask(&host, now, actions);
        }
        self.resend_withdrawals(now, actions);
    }

    fn other_members(&self, now: BootTime) -> Vec<HostId> {
        let records = self.members.records(now, |_| false);
        let others =
            records.into_iter().filter(|record| record.state != MemberState::Dead && record.host != self.origin.host);
        others.map(|record| record.host).collect()
    }

    fn other_domains(&self) -> Vec<DomainId> {
        let domains = self.freshness.domains().iter().map(|news| news.failure_domain.clone());
        domains.filter(|domain| *domain != self.origin.failure_domain).collect()
    }

    /// Present view.
    #[must_use]
    pub fn view(&self, now: BootTime) -> ControlView {
        let domains: Vec<&str> = self.freshness.domains().iter().map(|news| news.failure_domain.as_str()).collect();
        ControlView {
            host: self.origin.host.clone(),
            failure_domain: self.origin.failure_domain.clone(),
            incarnation: self.origin.incarnation,
            configuration: Arc::clone(self.log.configuration()),
            withdrawn: Arc::clone(self.withdrawn.ids()),
            withdrawals: self.watch.progress(&domains, &self.withdrawn),
            members: self.members.records(now, |host| is_listed_leaving(&self.listed, host)),
            listed: Arc::clone(&self.listed),
            domains: self.freshness.domains().to_vec(),
            store_read_at: self.freshness.store_read_at(),
            is_initialised: self.freshness.is_initialised(),
            is_leaving: self.is_leaving,
            owned: self.leases.owned(now),
        }
    }
}

fn is_listed_leaving(listed: &[HostRecord], host: &str) -> bool {
    let position = listed.binary_search_by(|record| record.host.as_str().cmp(host));
    position.is_ok_and(|position| listed[position].state == HostState::Leaving)
}
