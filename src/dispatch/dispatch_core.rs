//! Entry and home of one host together, without clock, threads or network.

use crate::control::{ControlView, HostIdentity};
use crate::dispatch::coordinator_state::{CoordinatorAnswer, CoordinatorState};
use crate::dispatch::pending_permit::PermitRequestId;
use crate::dispatch::requester_state::{AcquiredPermit, RequesterAction, RequesterState};
use crate::dispatch::shard_layout::ShardLayout;
use crate::dispatch::{PermitCompletion, PermitRequirements};
use crate::generated::engine_messages::{CacheEvent, EngineLoad};
use crate::generated::peer_messages::{PeerFrame, PermitRelease};
use crate::prelude::*;

/// Effect of an event.
#[derive(Debug, Clone, PartialEq)]
pub enum CoreAction {
    /// Send a frame to another host.
    Send(HostId, PeerFrame),
    /// An ask is settled.
    Settle(PermitRequestId, Result<AcquiredPermit, ResultCode>),
}

/// State of dispatch on one host.
#[derive(Debug)]
pub struct DispatchCore {
    /// Entry side.
    pub entry: RequesterState,
    /// Home side.
    pub home: CoordinatorState,
    layout: ShardLayout,
    ticked_view: Option<Arc<ControlView>>,
}

impl DispatchCore {
    /// State of a host that starts.
    #[must_use]
    pub fn new(view: &ControlView, share_settle: Duration) -> Self {
        Self {
            entry: RequesterState::new(view.incarnation),
            home: CoordinatorState::new(share_settle),
            layout: ShardLayout::new(&view.configuration),
            ticked_view: None,
        }
    }

    /// Starts an ask.
    pub fn start(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        ask: Arc<PermitRequirements>,
    ) -> (PermitRequestId, Vec<CoreAction>) {
        self.follow_configuration(view);
        let (number, actions) = self.entry.start(view, &self.layout, now, ask);
        (number, self.run(view, now, actions))
    }

    /// Gives an ask up.
    pub fn cancel(&mut self, view: &Arc<ControlView>, now: BootTime, number: PermitRequestId) -> Vec<CoreAction> {
        let actions = self.entry.cancel(now, number);
        self.run(view, now, actions)
    }

    /// Gives a permit back.
    pub fn release(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        ticket: u64,
        report: PermitCompletion,
    ) -> Vec<CoreAction> {
        let release = PermitRelease {
            ticket,
            outcome: report.outcome,
            tokens: report.tokens,
            first_token_ms: to_millis(report.first_token),
            total_ms: to_millis(report.total),
        };
        let actions = self.entry.release(view, now, ticket, release);
        self.run(view, now, actions)
    }

    /// Takes a frame of a peer.
    pub fn frame(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        frame: &PeerFrame,
    ) -> Vec<CoreAction> {
        self.follow_configuration(view);
        let actions = self.handle_frame(view, now, from, frame);
        self.run(view, now, actions)
    }

    /// Does what is due.
    pub fn tick(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<CoreAction> {
        self.follow_configuration(view);
        let mut actions = address(self.home.tick(view, now));
        let is_view_new = self.ticked_view.as_ref().is_none_or(|known| !Arc::ptr_eq(known, view));
        self.ticked_view = Some(Arc::clone(view));
        actions.extend(self.entry.tick(view, &self.layout, now, is_view_new));
        self.run(view, now, actions)
    }

    /// Applies a target's load report.
    pub fn report_load(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        target: &str,
        load: &EngineLoad,
    ) -> Vec<CoreAction> {
        let actions = address(self.home.handle_load_report(view, now, target, load));
        self.run(view, now, actions)
    }

    /// Applies a target's cache events.
    pub fn report_events(&mut self, now: BootTime, target: &str, events: &[CacheEvent]) {
        self.home.handle_cache_events(now, target, events);
    }

    fn follow_configuration(&mut self, view: &ControlView) {
        if !Arc::ptr_eq(&self.layout.configuration, &view.configuration) {
            self.layout = ShardLayout::new(&view.configuration);
        }
    }

    /// Delivers frames to the own host until only effects for others are left.
    fn run(&mut self, view: &Arc<ControlView>, now: BootTime, actions: Vec<RequesterAction>) -> Vec<CoreAction> {
        let own = HostIdentity {
            host: view.host.clone(),
            failure_domain: view.failure_domain.clone(),
            incarnation: view.incarnation,
        };
        let mut todo = std::collections::VecDeque::from(actions);
        let mut effects = Vec::new();
        while let Some(action) = todo.pop_front() {
            match action {
                RequesterAction::Send(host, frame) if host == view.host => {
                    todo.extend(self.handle_frame(view, now, &own, &frame));
                }
                RequesterAction::Send(host, frame) => effects.push(CoreAction::Send(host, frame)),
                RequesterAction::Settle(number, result) => effects.push(CoreAction::Settle(number, result)),
            }
        }
        effects
    }

    fn handle_frame(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        frame: &PeerFrame,
    ) -> Vec<RequesterAction> {
        match frame {
            PeerFrame::PermitRequest(request) => address(self.home.handle_request(view, now, from, request)),
            PeerFrame::PermitRelease(release) => address(self.home.handle_release(view, now, from, release)),
            PeerFrame::PermitRenewal(renewal) => address(self.home.handle_renewal(view, now, from, renewal)),
            PeerFrame::PermitGrant(grant) => self.entry.grant(view, now, &from.host, grant),
            _ => Vec::new(),
        }
    }
}

/// Frames that carry a home's answers.
fn address(answers: Vec<CoordinatorAnswer>) -> Vec<RequesterAction> {
    answers.into_iter().map(|answer| RequesterAction::Send(answer.to.host, answer.grant.into())).collect()
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
