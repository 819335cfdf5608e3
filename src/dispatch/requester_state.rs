//! Asks and permits of this host as an entry host.
//!
//! Pure: every method returns the frames to send and the asks that are settled. Each ask has one open ticket at a
//! time. A ticket is cancelled at its home before another home is asked, and a grant for a ticket that is not open is
//! given back, so that no ask gets two permits, whatever is lost or repeated.

use std::collections::BTreeMap;

use crate::control::ControlView;
use crate::dispatch::PermitRequirements;
use crate::dispatch::health_table::HealthTable;
use crate::dispatch::pending_permit::{
    HeldPermit, OpenTicket, PendingPermit, PermitRequestId, current_coordinator, thin_prefixes,
};
use crate::dispatch::requester_plan::{PlanInput, WaitTable, plan_candidates};
use crate::dispatch::shard_layout::ShardLayout;
use crate::dispatch::step_request_counts::StepRequestCounts;
use crate::generated::peer_messages::{PeerFrame, PermitGrant, PermitOutcome, PermitRelease};
use crate::generated::services_text::TargetEntry;
use crate::policy::length_estimate::LengthEstimate;
use crate::prelude::*;

/// Time after which an unanswered request is sent again.
pub(super) const FIRST_REPEAT: Duration = Duration::from_millis(250);

/// Time after which a waiting request is sent again, which shows that both sides are there.
pub(super) const WAIT_REPEAT: Duration = Duration::from_secs(1);

/// Silence after which a home that never answered is given up.
pub(super) const FIRST_SILENCE: Duration = Duration::from_millis(700);

/// Silence after which a home that answered once is given up.
pub(super) const WAIT_SILENCE: Duration = Duration::from_secs(3);

/// Wait before all homes are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// A wait longer than this makes an ask look at its next home: it is a few times what asking there costs.
const LONG_WAIT: Duration = Duration::from_millis(20);

/// Effect of an entry event.
#[derive(Debug, Clone, PartialEq)]
pub enum RequesterAction {
    /// Send a frame to a host, which can be the own one.
    Send(HostId, PeerFrame),
    /// An ask is settled.
    Settle(PermitRequestId, Result<AcquiredPermit, ResultCode>),
}

/// A granted permit.
#[derive(Debug, Clone, PartialEq)]
pub struct AcquiredPermit {
    /// Ticket, for the release.
    pub ticket: u64,
    /// Target.
    pub target: TargetEntry,
}

/// A home that this host had to do with, which must learn what is held.
#[derive(Debug, Clone)]
pub(super) struct RecentCoordinator {
    pub host: HostId,
    pub used_at: BootTime,
}

/// All asks and permits of this host.
///
/// Ordered trees, because sorted vectors of 8,000 permits cost 40 microseconds a release in the decision benchmark.
#[derive(Debug)]
pub struct RequesterState {
    pub(super) next_ticket: u64,
    pub(super) pending: BTreeMap<PermitRequestId, PendingPermit>,
    pub(super) held: BTreeMap<u64, HeldPermit>,
    /// Ask of each open ticket.
    pub(super) tickets: BTreeMap<u64, PermitRequestId>,
    pub(super) recent: Vec<RecentCoordinator>,
    pub(super) renewed_at: BootTime,
    waits: WaitTable,
    steps: StepRequestCounts,
    health: HealthTable,
    lengths: LengthEstimate,
}

impl RequesterState {
    /// State without asks. Tickets start at a point that depends on the process's life, so that a late answer to a
    /// former life matches no ticket.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        let next_ticket = (crate::policy::shard_map::mix_hash(incarnation) >> 1) & !0xFFFF_FFFF;
        Self {
            next_ticket,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            tickets: BTreeMap::new(),
            recent: Vec::new(),
            renewed_at: BootTime::ZERO,
            waits: WaitTable::default(),
            steps: StepRequestCounts::default(),
            health: HealthTable::default(),
            lengths: LengthEstimate::new(),
        }
    }

    /// Starts an ask. Its expected tokens are lowered to what its organisation's requests were long so far.
    pub fn start(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        ask: Arc<PermitRequirements>,
    ) -> (PermitRequestId, Vec<RequesterAction>) {
        let number = self.take_ticket();
        let expires_at = now + ask.wait;
        let known = self.lengths.find_mean(&ask.service, &ask.organisation);
        let expected_tokens = known.map_or(ask.expected_tokens, |mean| mean.clamp(1, ask.expected_tokens.max(1)));
        let pending = PendingPermit {
            number,
            expected_tokens,
            prefix_hashes: thin_prefixes(&ask.prefix_hashes),
            ask,
            plan: Vec::new(),
            next_candidate: 0,
            round: 0,
            attempt: None,
            retry_at: now,
            expires_at,
            is_transient: false,
            last_code: None,
        };
        let mut actions = Vec::new();
        self.plan_and_ask(view, layout, now, pending, &mut actions);
        (number, actions)
    }

    /// Gives an ask up, such as when its caller has left.
    pub fn cancel(&mut self, now: BootTime, number: PermitRequestId) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        if let Some(pending) = self.take_pending(number) {
            self.abandon(now, pending.attempt.as_ref(), &mut actions);
        }
        actions
    }

    /// Takes a home's answer.
    pub fn grant(
        &mut self,
        view: &ControlView,
        now: BootTime,
        from: &str,
        grant: &PermitGrant,
    ) -> Vec<RequesterAction> {
        let mut actions = Vec::new();
        let Some(mut pending) = self.take_of_ticket(from, grant.ticket) else {
            self.return_unwanted(now, from, grant, &mut actions);
            return actions;
        };
        self.record_wait(now, &pending, grant);
        let code = ResultCode::from_number(grant.result_code).unwrap_or(ResultCode::Internal);
        match (code, &grant.target) {
            (ResultCode::Done, Some(target)) => {
                self.accept(view, now, pending, target, &mut actions);
            }
            (ResultCode::Done, None) => {
                if let Some(attempt) = &mut pending.attempt {
                    attempt.heard_at = now;
                    attempt.is_acknowledged = true;
                }
                self.stay_or_move(now, pending, grant, &mut actions);
            }
            (code, _) => {
                pending.note_refusal(code);
                if let Some(home) = grant.home.as_ref().filter(|home| *home != from) {
                    pending.follow(home);
                }
                pending.attempt = None;
                self.ask_next(now, pending, &mut actions);
            }
        }
        actions
    }

    /// Gives a permit back.
    pub fn release(
        &mut self,
        view: &ControlView,
        now: BootTime,
        ticket: u64,
        release: PermitRelease,
    ) -> Vec<RequesterAction> {
        let Some(held) = self.held.remove(&ticket) else { return Vec::new() };
        self.steps.end(&held.organisation, &held.service, held.deadline, &held.place.failure_domain);
        if release.outcome != PermitOutcome::Cancelled {
            let is_failure = release.outcome != PermitOutcome::Finished;
            if !is_failure {
                self.lengths.record(&held.service, &held.organisation, release.tokens);
            }
            self.health.record(now, &held.service, &held.place.failure_domain, is_failure);
        }
        self.record_coordinator(now, &held.place.home);
        let mut actions = vec![RequesterAction::Send(held.place.home.clone(), release.clone().into())];
        // A new home may have adopted the permit from this host's list.
        if let Some(home) = current_coordinator(view, &held).filter(|home| *home != held.place.home) {
            actions.push(RequesterAction::Send(home, release.into()));
        }
        actions
    }

    /// Number of permits held.
    #[must_use]
    pub fn held_permits(&self) -> usize {
        self.held.len()
    }

    /// Number of asks that are not settled.
    #[must_use]
    pub fn pending_asks(&self) -> usize {
        self.pending.len()
    }

    /// Plans a new round over all homes and asks the first one.
    pub(super) fn plan_and_ask(
        &mut self,
        view: &ControlView,
        layout: &ShardLayout,
        now: BootTime,
        mut pending: PendingPermit,
        actions: &mut Vec<RequesterAction>,
    ) {
        let ask = Arc::clone(&pending.ask);
        let count_step = |domain: &str| self.steps.count(&ask.organisation, &ask.service, ask.deadline, domain);
        let is_failing = |domain: &str| self.health.is_failing(now, &ask.service, domain);
        let input = PlanInput { view, layout, waits: &self.waits, count_step: &count_step, is_failing: &is_failing };
        pending.plan = plan_candidates(&input, now, &ask, pending.number, pending.round);
        pending.next_candidate = 0;
        pending.is_transient = false;
        pending.last_code = None;
        self.ask_next(now, pending, actions);
    }

    /// Asks the next home of the plan; without one, settles the ask or waits for the next round.
    pub(super) fn ask_next(&mut self, now: BootTime, mut pending: PendingPermit, actions: &mut Vec<RequesterAction>) {
        let Some(place) = pending.plan.get(pending.next_candidate).cloned() else {
            self.end_round(now, pending, actions);
            return;
        };
        pending.next_candidate += 1;
        let ticket = self.take_ticket();
        self.record_coordinator(now, &place.home);
        let attempt = OpenTicket { ticket, place, asked_at: now, sent_at: now, heard_at: now, is_acknowledged: false };
        actions.push(RequesterAction::Send(attempt.place.home.clone(), pending.request(&attempt, now).into()));
        pending.attempt = Some(attempt);
        self.put_pending(pending);
    }

    /// Cancels an open ticket at its home.
    pub(super) fn abandon(&mut self, now: BootTime, attempt: Option<&OpenTicket>, actions: &mut Vec<RequesterAction>) {
        let Some(attempt) = attempt else { return };
        self.record_coordinator(now, &attempt.place.home);
        actions.push(RequesterAction::Send(attempt.place.home.clone(), cancel_frame(attempt.ticket)));
    }

    pub(super) fn record_coordinator(&mut self, now: BootTime, host: &str) {
        match self.recent.binary_search_by(|home| home.host.as_str().cmp(host)) {
            Ok(position) => self.recent[position].used_at = now,
            Err(position) => self.recent.insert(position, RecentCoordinator { host: host.to_owned(), used_at: now }),
        }
    }

    pub(super) fn put_pending(&mut self, pending: PendingPermit) {
        if let Some(attempt) = &pending.attempt {
            self.tickets.insert(attempt.ticket, pending.number);
        }
        self.pending.insert(pending.number, pending);
    }

    pub(super) fn take_pending(&mut self, number: PermitRequestId) -> Option<PendingPermit> {
        let pending = self.pending.remove(&number)?;
        if let Some(attempt) = &pending.attempt {
            self.tickets.remove(&attempt.ticket);
        }
        Some(pending)
    }

    fn end_round(&mut self, now: BootTime, mut pending: PendingPermit, actions: &mut Vec<RequesterAction>) {
        let code = pending.last_code.unwrap_or(ResultCode::NoTarget);
        if !pending.is_transient || now + ROUND_PAUSE >= pending.expires_at {
            actions.push(RequesterAction::Settle(pending.number, Err(code)));
            return;
        }
        pending.round += 1;
        pending.retry_at = now + ROUND_PAUSE;
        pending.attempt = None;
        self.put_pending(pending);
    }

    fn accept(
        &mut self,
        view: &ControlView,
        now: BootTime,
        mut pending: PendingPermit,
        target: &str,
        actions: &mut Vec<RequesterAction>,
    ) {
        let Some(attempt) = pending.attempt.take() else { return };
        let entry = view.configuration.target(target).filter(|entry| view.configuration.is_in_rotation(entry));
        let usable = entry.filter(|entry| entry.service == pending.ask.service);
        let Some(entry) = usable.filter(|entry| !pending.ask.excluded_targets.contains(&entry.id)) else {
            // The home's view is behind this host's, or ahead of it; both pass within seconds.
            self.abandon(now, Some(&attempt), actions);
            pending.is_transient = true;
            pending.last_code = Some(ResultCode::NoTarget);
            self.ask_next(now, pending, actions);
            return;
        };
        self.steps.begin(
            &pending.ask.organisation,
            &pending.ask.service,
            pending.ask.deadline,
            &attempt.place.failure_domain,
        );
        let held = HeldPermit {
            ticket: attempt.ticket,
            place: attempt.place,
            target: entry.id.clone(),
            service: entry.service.clone(),
            organisation: pending.ask.organisation.clone(),
            deadline: pending.ask.deadline,
        };
        let granted = AcquiredPermit { ticket: held.ticket, target: entry.clone() };
        self.held.insert(held.ticket, held);
        actions.push(RequesterAction::Settle(pending.number, Ok(granted)));
    }

    /// After an acknowledgement: waits here, or moves on when the wait is long and a home of another domain is left
    /// that announced at most half of it, or nothing. In the first round an ask moves at once, and later at most once
    /// a second. Its place in a queue depends on its organisation and deadline, so that moving costs it nothing.
    fn stay_or_move(
        &mut self,
        now: BootTime,
        mut pending: PendingPermit,
        grant: &PermitGrant,
        actions: &mut Vec<RequesterAction>,
    ) {
        let wait = Duration::from_millis(grant.expected_wait_ms.unwrap_or(0));
        let here = pending.attempt.as_ref().map(|attempt| attempt.place.failure_domain.clone()).unwrap_or_default();
        let has_better = pending.plan[pending.next_candidate..].iter().any(|place| {
            let known = self.waits.recent(now, &pending.ask.service, &place.failure_domain).unwrap_or_default();
            place.failure_domain != here && known < wait / 2
        });
        let asked_at = pending.attempt.as_ref().map_or(now, |attempt| attempt.asked_at);
        let is_settled = pending.round > 0 && now.saturating_sub(asked_at) < WAIT_REPEAT;
        if is_settled || wait <= LONG_WAIT || !has_better {
            self.put_pending(pending);
            return;
        }
        let attempt = pending.attempt.take();
        self.abandon(now, attempt.as_ref(), actions);
        pending.is_transient = true;
        pending.last_code = Some(ResultCode::QueueTimeout);
        pending.skip_domain(&here);
        self.ask_next(now, pending, actions);
    }

    /// Answers a grant that no open ticket waits for. A repeated grant of a permit that is held needs no answer.
    fn return_unwanted(&mut self, now: BootTime, from: &str, grant: &PermitGrant, actions: &mut Vec<RequesterAction>) {
        let is_held = self.held.contains_key(&grant.ticket);
        if is_held || grant.result_code != 0 {
            return;
        }
        self.record_coordinator(now, from);
        actions.push(RequesterAction::Send(from.to_owned(), cancel_frame(grant.ticket)));
    }

    fn record_wait(&mut self, now: BootTime, pending: &PendingPermit, grant: &PermitGrant) {
        let Some(attempt) = &pending.attempt else { return };
        let Some(wait) = grant.expected_wait_ms else { return };
        let domain = &attempt.place.failure_domain;
        self.waits.record(now, &pending.ask.service, domain, Duration::from_millis(wait));
    }

    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn take_of_ticket(&mut self, from: &str, ticket: u64) -> Option<PendingPermit> {
        let number = *self.tickets.get(&ticket)?;
        let attempt = self.pending.get(&number)?.attempt.as_ref()?;
        if attempt.place.home != from {
            return None;
        }
        self.take_pending(number)
    }
}

fn cancel_frame(ticket: u64) -> PeerFrame {
    let outcome = PermitOutcome::Cancelled;
    PermitRelease { ticket, outcome, tokens: 0, first_token_ms: 0, total_ms: 0 }.into()
}
