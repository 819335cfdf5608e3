//! Requester and coordinator of one host together, without clock, threads or network.

use crate::control::{ControlView, HostIdentity};
use crate::dispatch::coordinator_state::{CoordinatorAnswer, CoordinatorState};
use crate::dispatch::pending_permit::PermitRequestId;
use crate::dispatch::requester_state::{AcquiredPermit, RequesterAction, RequesterState};
use crate::dispatch::shard_layout::ShardLayout;
use crate::dispatch::{PermitCompletion, PermitRequirements};
use crate::generated::engine_messages::{CacheEvent, EngineLoad};
use crate::generated::peer_messages::{PeerFrame, PermitRelease};
use crate::prelude::*;

/// Effect of an event, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum CoreAction {
    /// Send a frame to another host.
    Send(HostId, PeerFrame),
    /// Deliver the result of a permit request: the permit, or why there is none.
    Resolve(PermitRequestId, Result<AcquiredPermit, ResultCode>),
}

/// Requester and coordinator of one host, with the shard layout of the configuration seen last.
#[derive(Debug)]
pub struct DispatchCore {
    /// Requester: the permit requests and permits of this host.
    pub entry: RequesterState,
    /// Coordinator: the queues and slots of the shards that this host coordinates.
    pub home: CoordinatorState,
    layout: ShardLayout,
    ticked_view: Option<Arc<ControlView>>,
}

impl DispatchCore {
    /// State of a host that starts. `share_increase_delay` is the delay before this host uses a larger share of a
    /// target's limit.
    #[must_use]
    pub fn new(view: &ControlView, share_increase_delay: Duration) -> Self {
        Self {
            entry: RequesterState::new(view.incarnation),
            home: CoordinatorState::new(share_increase_delay),
            layout: ShardLayout::new(&view.configuration),
            ticked_view: None,
        }
    }

    /// Starts a permit request. Its [`CoreAction::Resolve`] is among the returned actions or follows in a later call.
    pub fn start(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        requirements: Arc<PermitRequirements>,
    ) -> (PermitRequestId, Vec<CoreAction>) {
        self.refresh_layout(view);
        let (id, actions) = self.entry.start(view, &self.layout, now, requirements);
        (id, self.deliver_own_frames(view, now, actions))
    }

    /// Cancels a permit request; without effect once it has a result.
    pub fn cancel(&mut self, view: &Arc<ControlView>, now: BootTime, id: PermitRequestId) -> Vec<CoreAction> {
        let actions = self.entry.cancel(now, id);
        self.deliver_own_frames(view, now, actions)
    }

    /// Returns a permit; without effect for an unknown ticket.
    pub fn release(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        ticket: u64,
        completion: PermitCompletion,
    ) -> Vec<CoreAction> {
        let release = PermitRelease {
            ticket,
            outcome: completion.outcome,
            tokens: completion.tokens,
            first_token_ms: to_millis(completion.first_token),
            total_ms: to_millis(completion.total),
        };
        let actions = self.entry.release(view, now, ticket, release);
        self.deliver_own_frames(view, now, actions)
    }

    /// Handles a frame from a peer; frames that do not concern permits are ignored.
    pub fn frame(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        frame: &PeerFrame,
    ) -> Vec<CoreAction> {
        self.refresh_layout(view);
        let actions = self.handle_frame(view, now, from, frame);
        self.deliver_own_frames(view, now, actions)
    }

    /// Does the periodic work of coordinator and requester.
    pub fn tick(&mut self, view: &Arc<ControlView>, now: BootTime) -> Vec<CoreAction> {
        self.refresh_layout(view);
        let mut actions = build_grant_frames(self.home.tick(view, now));
        let is_view_new = self.ticked_view.as_ref().is_none_or(|known| !Arc::ptr_eq(known, view));
        self.ticked_view = Some(Arc::clone(view));
        actions.extend(self.entry.tick(view, &self.layout, now, is_view_new));
        self.deliver_own_frames(view, now, actions)
    }

    /// Applies a load report; ignored if another host coordinates the target.
    pub fn report_load(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        target: &str,
        load: &EngineLoad,
    ) -> Vec<CoreAction> {
        let actions = build_grant_frames(self.home.handle_load_report(view, now, target, load));
        self.deliver_own_frames(view, now, actions)
    }

    /// Applies cache events; ignored if another host coordinates the target.
    pub fn report_events(&mut self, now: BootTime, target: &str, events: &[CacheEvent]) {
        self.home.handle_cache_events(now, target, events);
    }

    fn refresh_layout(&mut self, view: &ControlView) {
        if !Arc::ptr_eq(&self.layout.configuration, &view.configuration) {
            self.layout = ShardLayout::new(&view.configuration);
        }
    }

    /// Handles frames to this host itself until only results and frames to other hosts are left.
    fn deliver_own_frames(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        actions: Vec<RequesterAction>,
    ) -> Vec<CoreAction> {
        let own_identity = HostIdentity {
            host: view.host.clone(),
            failure_domain: view.failure_domain.clone(),
            incarnation: view.incarnation,
        };
        let mut remaining = std::collections::VecDeque::from(actions);
        let mut core_actions = Vec::new();
        while let Some(action) = remaining.pop_front() {
            match action {
                RequesterAction::Send(host, frame) if host == view.host => {
                    remaining.extend(self.handle_frame(view, now, &own_identity, &frame));
                }
                RequesterAction::Send(host, frame) => core_actions.push(CoreAction::Send(host, frame)),
                RequesterAction::Resolve(id, result) => core_actions.push(CoreAction::Resolve(id, result)),
            }
        }
        core_actions
    }

    fn handle_frame(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        frame: &PeerFrame,
    ) -> Vec<RequesterAction> {
        match frame {
            PeerFrame::PermitRequest(request) => build_grant_frames(self.home.handle_request(view, now, from, request)),
            PeerFrame::PermitRelease(release) => build_grant_frames(self.home.handle_release(view, now, from, release)),
            PeerFrame::PermitRenewal(renewal) => build_grant_frames(self.home.handle_renewal(view, now, from, renewal)),
            PeerFrame::PermitGrant(grant) => self.entry.handle_grant(view, now, &from.host, grant),
            _ => Vec::new(),
        }
    }
}

/// Wraps a coordinator's answers in frames to the requesters.
fn build_grant_frames(answers: Vec<CoordinatorAnswer>) -> Vec<RequesterAction> {
    answers.into_iter().map(|answer| RequesterAction::Send(answer.to.host, answer.grant.into())).collect()
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
