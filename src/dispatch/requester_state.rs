//! Permit requests that this host sends to coordinators, and the permits that it holds.
//!
//! The methods do no input or output: they change the state and return the frames to send and the results of permit
//! requests. A ticket numbers one request to one coordinator, and a permit request has at most one open ticket. The
//! ticket is cancelled at its coordinator before another coordinator is asked, and so is a granted ticket that is
//! neither open nor held. A permit request therefore never gets two permits, whichever frames are lost or repeated.

use std::collections::BTreeMap;

use crate::control::ControlView;
use crate::dispatch::PermitRequirements;
use crate::dispatch::health_table::HealthTable;
use crate::dispatch::pending_permit::{
    HeldPermit, OpenTicket, PendingPermit, PermitRequestId, find_current_coordinator, select_prefix_hashes,
};
use crate::dispatch::requester_plan::{PlanInput, WaitTable, plan_candidates};
use crate::dispatch::shard_layout::ShardLayout;
use crate::dispatch::step_request_counts::StepRequestCounts;
use crate::generated::peer_messages::{PeerFrame, PermitGrant, PermitOutcome, PermitRelease};
use crate::generated::services_text::TargetEntry;
use crate::policy::length_estimate::LengthEstimate;
use crate::prelude::*;

/// Interval at which a request that has not been acknowledged is sent again.
pub(super) const UNACKNOWLEDGED_RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an acknowledged request is sent again, which shows each side that the other one is alive.
pub(super) const ACKNOWLEDGED_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a coordinator that has not acknowledged the request is given up.
pub(super) const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Silence after which a coordinator that has acknowledged the request is given up.
pub(super) const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before all candidates are asked again.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// An expected wait above this makes a permit request consider its remaining candidates in other failure domains. The
/// value is a few times the time that asking another coordinator takes.
const LONG_WAIT: Duration = Duration::from_millis(20);

/// Effect of an event at the requester, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum RequesterAction {
    /// Send a frame to a host, possibly to this host itself.
    Send(HostId, PeerFrame),
    /// Deliver the result of a permit request: the permit, or why there is none.
    Resolve(PermitRequestId, Result<AcquiredPermit, ResultCode>),
}

/// A permit that a coordinator granted to this host.
#[derive(Debug, Clone, PartialEq)]
pub struct AcquiredPermit {
    /// Ticket to name in the release.
    pub ticket: u64,
    /// Configuration of the target whose slot may be used.
    pub target: TargetEntry,
}

/// A coordinator that this host contacted recently and that must receive renewals.
#[derive(Debug, Clone)]
pub(super) struct RecentCoordinator {
    pub host: HostId,
    pub contacted_at: BootTime,
}

/// All permit requests and permits of this host.
///
/// Ordered trees are used because a release cost 40 microseconds in the decision benchmark with sorted vectors of
/// 8,000 permits.
#[derive(Debug)]
pub struct RequesterState {
    /// Number given out last; permit requests and tickets share one sequence.
    pub(super) last_ticket: u64,
    pub(super) pending: BTreeMap<PermitRequestId, PendingPermit>,
    pub(super) held: BTreeMap<u64, HeldPermit>,
    /// Permit request of each open ticket.
    pub(super) open_tickets: BTreeMap<u64, PermitRequestId>,
    pub(super) recent_coordinators: Vec<RecentCoordinator>,
    pub(super) renewed_at: BootTime,
    announced_waits: WaitTable,
    step_counts: StepRequestCounts,
    health: HealthTable,
    length_estimates: LengthEstimate,
}

impl RequesterState {
    /// State without permit requests. The first ticket depends on the incarnation, so that a late answer to a former
    /// incarnation matches no ticket.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        let last_ticket = (crate::policy::shard_map::mix_hash(incarnation) >> 1) & !0xFFFF_FFFF;
        Self {
            last_ticket,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            open_tickets: BTreeMap::new(),
            recent_coordinators: Vec::new(),
            renewed_at: BootTime::ZERO,
            announced_waits: WaitTable::default(),
            step_counts: StepRequestCounts::default(),
            health: HealthTable::default(),
            length_estimates: LengthEstimate::new(),
        }
    }

    /// Starts a permit request. The expected tokens are lowered to the mean output of the organisation's earlier
    /// requests to the service, if one is known.
    pub fn start(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        requirements: Arc<PermitRequirements>,
    ) -> (PermitRequestId, Vec<RequesterAction>) {
        let id = self.allocate_number();
        let expires_at = now + requirements.wait;
        let mean_length = self.length_estimates.find_mean(&requirements.service, &requirements.organisation);
        let expected_tokens =
            mean_length.map_or(requirements.expected_tokens, |mean| mean.clamp(1, requirements.expected_tokens.max(1)));
        let pending = PendingPermit {
            id,
            expected_tokens,
            prefix_hashes: select_prefix_hashes(&requirements.prefix_hashes),
            requirements,
            candidates: Vec::new(),
            next_candidate: 0,
            round: 0,
            open_ticket: None,
            next_round_at: now,
            expires_at,
            can_retry: false,
            failure_code: None,
        };
        let mut actions = Vec::new();
        self.start_round(view, layout, now, pending, &mut actions);
        (id, actions)
    }

    /// Cancels a permit request whose caller no longer waits; without effect once the request has a result.
    pub fn cancel(&mut self, now: BootTime, id: PermitRequestId) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        if let Some(pending) = self.take_pending(id) {
            self.cancel_ticket(now, pending.open_ticket.as_ref(), &mut actions);
        }
        actions
    }

    /// Handles a coordinator's `PermitGrant`, which can be a grant, an acknowledgement with the expected wait, or a
    /// refusal.
    pub fn handle_grant(
        &mut self,
        view: &ControlView,
        now: BootTime,
        from: &str,
        grant: &PermitGrant,
    ) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        let Some(mut pending) = self.take_by_ticket(from, grant.ticket) else {
            self.cancel_unknown_ticket(now, from, grant, &mut actions);
            return actions;
        };
        self.record_wait(now, &pending, grant);
        let code = ResultCode::from_number(grant.result_code).unwrap_or(ResultCode::Internal);
        match (code, &grant.target) {
            (ResultCode::Done, Some(target)) => {
                self.accept_grant(view, now, pending, target, &mut actions);
            }
            (ResultCode::Done, None) => {
                if let Some(open_ticket) = &mut pending.open_ticket {
                    open_ticket.last_heard_at = now;
                    open_ticket.is_acknowledged = true;
                }
                self.wait_or_move(now, pending, grant, &mut actions);
            }
            (code, _) => {
                pending.record_refusal(code);
                if let Some(coordinator) = grant.home.as_ref().filter(|coordinator| *coordinator != from) {
                    pending.follow_redirect(coordinator);
                }
                pending.open_ticket = None;
                self.request_next_candidate(now, pending, &mut actions);
            }
        }
        actions
    }

    /// Returns a permit to its coordinator and records how the request ended; without effect for an unknown ticket.
    pub fn release(
        &mut self,
        view: &ControlView,
        now: BootTime,
        ticket: u64,
        release: PermitRelease,
    ) -> Vec<RequesterAction> {
        let Some(held) = self.held.remove(&ticket) else { return Vec::new() };
        self.step_counts.end(&held.organisation, &held.service, held.deadline, &held.candidate.failure_domain);
        if release.outcome != PermitOutcome::Cancelled {
            let is_failure = release.outcome != PermitOutcome::Finished;
            if !is_failure {
                self.length_estimates.record(&held.service, &held.organisation, release.tokens);
            }
            self.health.record(now, &held.service, &held.candidate.failure_domain, is_failure);
        }
        self.record_coordinator(now, &held.candidate.coordinator);
        let mut actions = vec![RequesterAction::Send(held.candidate.coordinator.clone(), release.clone().into())];
        // A new coordinator may have adopted the permit from this host's renewal.
        if let Some(coordinator) =
            find_current_coordinator(view, &held).filter(|coordinator| *coordinator != held.candidate.coordinator)
        {
            actions.push(RequesterAction::Send(coordinator, release.into()));
        }
        actions
    }

    /// Number of permits that this host holds.
    #[must_use]
    pub fn count_held_permits(&self) -> usize {
        self.held.len()
    }

    /// Number of permit requests without a result.
    #[must_use]
    pub fn count_pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Plans a new round over all candidates and asks the first one.
    pub(super) fn start_round(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        mut pending: PendingPermit,
        actions: &mut Vec<RequesterAction>,
    ) {
        let requirements = Arc::clone(&pending.requirements);
        let count_step_requests = |domain: &str| {
            self.step_counts.count(&requirements.organisation, &requirements.service, requirements.deadline, domain)
        };
        let is_failing = |domain: &str| self.health.is_failing(now, &requirements.service, domain);
        let input = PlanInput {
            view,
            layout,
            waits: &self.announced_waits,
            count_step_requests: &count_step_requests,
            is_failing: &is_failing,
        };
        pending.candidates = plan_candidates(&input, now, &requirements, pending.id, pending.round);
        pending.next_candidate = 0;
        pending.can_retry = false;
        pending.failure_code = None;
        self.request_next_candidate(now, pending, actions);
    }

    /// Asks the next candidate; without one, settles the permit request or schedules the next round.
    pub(super) fn request_next_candidate(
        &mut self,
        now: BootTime,
        mut pending: PendingPermit,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(candidate) = pending.candidates.get(pending.next_candidate).cloned() else {
            self.end_round(now, pending, actions);
            return;
        };
        pending.next_candidate += 1;
        let ticket = self.allocate_number();
        self.record_coordinator(now, &candidate.coordinator);
        let open_ticket = OpenTicket {
            ticket,
            candidate,
            first_sent_at: now,
            last_sent_at: now,
            last_heard_at: now,
            is_acknowledged: false,
        };
        actions.push(RequesterAction::Send(
            open_ticket.candidate.coordinator.clone(),
            pending.build_request(&open_ticket, now).into(),
        ));
        pending.open_ticket = Some(open_ticket);
        self.insert_pending(pending);
    }

    /// Cancels an open ticket at its coordinator.
    pub(super) fn cancel_ticket(
        &mut self,
        now: BootTime,
        open_ticket: Option<&OpenTicket>,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(open_ticket) = open_ticket else { return };
        self.record_coordinator(now, &open_ticket.candidate.coordinator);
        actions.push(RequesterAction::Send(
            open_ticket.candidate.coordinator.clone(),
            build_cancel_frame(open_ticket.ticket),
        ));
    }

    pub(super) fn record_coordinator(&mut self, now: BootTime, host: &str) {
        match self.recent_coordinators.binary_search_by(|coordinator| coordinator.host.as_str().cmp(host)) {
            Ok(position) => self.recent_coordinators[position].contacted_at = now,
            Err(position) => self
                .recent_coordinators
                .insert(position, RecentCoordinator { host: host.to_owned(), contacted_at: now }),
        }
    }

    pub(super) fn insert_pending(&mut self, pending: PendingPermit) {
        if let Some(open_ticket) = &pending.open_ticket {
            self.open_tickets.insert(open_ticket.ticket, pending.id);
        }
        self.pending.insert(pending.id, pending);
    }

    pub(super) fn take_pending(&mut self, id: PermitRequestId) -> Option<PendingPermit> {
        let pending = self.pending.remove(&id)?;
        if let Some(open_ticket) = &pending.open_ticket {
            self.open_tickets.remove(&open_ticket.ticket);
        }
        Some(pending)
    }

    fn end_round(&mut self, now: BootTime, mut pending: PendingPermit, actions: &mut Vec<RequesterAction>) {
        let code = pending.failure_code.unwrap_or(ResultCode::NoTarget);
        if !pending.can_retry || now + ROUND_DELAY >= pending.expires_at {
            actions.push(RequesterAction::Resolve(pending.id, Err(code)));
            return;
        }
        pending.round += 1;
        pending.next_round_at = now + ROUND_DELAY;
        pending.open_ticket = None;
        self.insert_pending(pending);
    }

    fn accept_grant(
        &mut self,
        view: &ControlView,
        now: BootTime,
        mut pending: PendingPermit,
        target: &str,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(open_ticket) = pending.open_ticket.take() else { return };
        let entry = view.configuration.target(target).filter(|entry| view.configuration.is_in_rotation(entry));
        let usable = entry.filter(|entry| entry.service == pending.requirements.service);
        let Some(entry) = usable.filter(|entry| !pending.requirements.excluded_targets.contains(&entry.id)) else {
            // The configurations of the coordinator and of this host differ; they agree again within seconds.
            self.cancel_ticket(now, Some(&open_ticket), actions);
            pending.can_retry = true;
            pending.failure_code = Some(ResultCode::NoTarget);
            self.request_next_candidate(now, pending, actions);
            return;
        };
        self.step_counts.begin(
            &pending.requirements.organisation,
            &pending.requirements.service,
            pending.requirements.deadline,
            &open_ticket.candidate.failure_domain,
        );
        let held = HeldPermit {
            ticket: open_ticket.ticket,
            candidate: open_ticket.candidate,
            target: entry.id.clone(),
            service: entry.service.clone(),
            organisation: pending.requirements.organisation.clone(),
            deadline: pending.requirements.deadline,
        };
        let acquired = AcquiredPermit { ticket: held.ticket, target: entry.clone() };
        self.held.insert(held.ticket, held);
        actions.push(RequesterAction::Resolve(pending.id, Ok(acquired)));
    }

    /// Decides after an acknowledgement whether the permit request keeps waiting or moves to another failure domain.
    /// The request moves when the expected wait is long and a remaining candidate of another failure domain announced
    /// less than half of it, or nothing recently. In the first round a request moves at once, and later at most once a
    /// second. Coordinators order their queues by organisation and deadline, so a request loses no place by a move.
    fn wait_or_move(
        &mut self,
        now: BootTime,
        mut pending: PendingPermit,
        grant: &PermitGrant,
        actions: &mut Vec<RequesterAction>,
    ) {
        let wait = Duration::from_millis(grant.expected_wait_ms.unwrap_or(0));
        let current_domain = pending
            .open_ticket
            .as_ref()
            .map(|open_ticket| open_ticket.candidate.failure_domain.clone())
            .unwrap_or_default();
        let has_better = pending.candidates[pending.next_candidate..].iter().any(|candidate| {
            let announced_wait = self
                .announced_waits
                .find_recent(now, &pending.requirements.service, &candidate.failure_domain)
                .unwrap_or_default();
            candidate.failure_domain != current_domain && announced_wait < wait / 2
        });
        let first_sent_at = pending.open_ticket.as_ref().map_or(now, |open_ticket| open_ticket.first_sent_at);
        let was_opened_recently = pending.round > 0 && now.saturating_sub(first_sent_at) < ACKNOWLEDGED_RESEND_INTERVAL;
        if was_opened_recently || wait <= LONG_WAIT || !has_better {
            self.insert_pending(pending);
            return;
        }
        let open_ticket = pending.open_ticket.take();
        self.cancel_ticket(now, open_ticket.as_ref(), actions);
        pending.can_retry = true;
        pending.failure_code = Some(ResultCode::QueueTimeout);
        pending.skip_domain(&current_domain);
        self.request_next_candidate(now, pending, actions);
    }

    /// Cancels a ticket that a coordinator granted or queued and that is not open at this host. Refusals and repeated
    /// grants of a held permit need no answer.
    fn cancel_unknown_ticket(
        &mut self,
        now: BootTime,
        from: &str,
        grant: &PermitGrant,
        actions: &mut Vec<RequesterAction>,
    ) {
        let is_held = self.held.contains_key(&grant.ticket);
        if is_held || grant.result_code != 0 {
            return;
        }
        self.record_coordinator(now, from);
        actions.push(RequesterAction::Send(from.to_owned(), build_cancel_frame(grant.ticket)));
    }

    fn record_wait(&mut self, now: BootTime, pending: &PendingPermit, grant: &PermitGrant) {
        let Some(open_ticket) = &pending.open_ticket else { return };
        let Some(wait) = grant.expected_wait_ms else { return };
        let domain = &open_ticket.candidate.failure_domain;
        self.announced_waits.record(now, &pending.requirements.service, domain, Duration::from_millis(wait));
    }

    fn allocate_number(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn take_by_ticket(&mut self, from: &str, ticket: u64) -> Option<PendingPermit> {
        let id = *self.open_tickets.get(&ticket)?;
        let open_ticket = self.pending.get(&id)?.open_ticket.as_ref()?;
        if open_ticket.candidate.coordinator != from {
            return None;
        }
        self.take_pending(id)
    }
}

fn build_cancel_frame(ticket: u64) -> PeerFrame {
    let outcome = PermitOutcome::Cancelled;
    PermitRelease { ticket, outcome, tokens: 0, first_token_ms: 0, total_ms: 0 }.into()
}
