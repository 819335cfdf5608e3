//! Asks and permits of this host as an entry host.
//!
//! Pure: every method returns the frames to send and the asks that are settled. Each ask has one open ticket at a
//! time. A ticket is cancelled at its home before another home is asked, and a grant for a ticket that is not open is
//! given back, so that no ask gets two permits, whatever is lost or repeated.

use std::collections::BTreeMap;

use crate::control::ControlView;
use crate::dispatch::PermitAsk;
use crate::dispatch::entry_ask::{AskNumber, HeldPermit, HomeAttempt, PendingAsk, present_home, thin_prefixes};
use crate::dispatch::entry_plan::{PlanInput, WaitTable, plan_homes};
use crate::dispatch::health_table::HealthTable;
use crate::dispatch::shard_view::ShardLayout;
use crate::dispatch::step_ledger::StepLedger;
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
pub enum EntryAction {
    /// Send a frame to a host, which can be the own one.
    Send(HostId, PeerFrame),
    /// An ask is settled.
    Settle(AskNumber, Result<GrantedTarget, ResultCode>),
}

/// A granted permit.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantedTarget {
    /// Ticket, for the release.
    pub ticket: u64,
    /// Target.
    pub target: TargetEntry,
}

/// A home that this host had to do with, which must learn what is held.
#[derive(Debug, Clone)]
pub(super) struct RecentHome {
    pub host: HostId,
    pub used_at: BootTime,
}

/// All asks and permits of this host.
///
/// Ordered trees, because sorted vectors of 8,000 permits cost 40 microseconds a release in the decision benchmark.
#[derive(Debug)]
pub struct EntryState {
    pub(super) next_ticket: u64,
    pub(super) pending: BTreeMap<AskNumber, PendingAsk>,
    pub(super) held: BTreeMap<u64, HeldPermit>,
    /// Ask of each open ticket.
    pub(super) tickets: BTreeMap<u64, AskNumber>,
    pub(super) recent: Vec<RecentHome>,
    pub(super) renewed_at: BootTime,
    waits: WaitTable,
    steps: StepLedger,
    health: HealthTable,
    lengths: LengthEstimate,
}

impl EntryState {
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
            steps: StepLedger::default(),
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
        ask: Arc<PermitAsk>,
    ) -> (AskNumber, Vec<EntryAction>) {
        let number = self.take_ticket();
        let expires_at = now + ask.wait;
        let known = self.lengths.find_mean(&ask.service, &ask.organisation);
        let expected_tokens = known.map_or(ask.expected_tokens, |mean| mean.clamp(1, ask.expected_tokens.max(1)));
        let pending = PendingAsk {
            number,
            expected_tokens,
            prefix_hashes: thin_prefixes(&ask.prefix_hashes),
            ask,
            plan: Vec::new(),
            next_home: 0,
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
    pub fn cancel(&mut self, now: BootTime, number: AskNumber) -> Vec<EntryAction> {
        let mut actions = Vec::new();
        if let Some(pending) = self.take_pending(number) {
            self.abandon(now, pending.attempt.as_ref(), &mut actions);
        }
        actions
    }

    /// Takes a home's answer.
    pub fn grant(&mut self, view: &ControlView, now: BootTime, from: &str, grant: &PermitGrant) -> Vec<EntryAction> {
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
    ) -> Vec<EntryAction> {
        let Some(held) = self.held.remove(&ticket) else { return Vec::new() };
        self.steps.end(&held.organisation, &held.service, held.deadline, &held.place.failure_domain);
        if release.outcome != PermitOutcome::Cancelled {
            let is_failure = release.outcome != PermitOutcome::Finished;
            if !is_failure {
                self.lengths.record(&held.service, &held.organisation, release.tokens);
            }
            self.health.record(now, &held.service, &held.place.failure_domain, is_failure);
        }
        self.note_home(now, &held.place.home);
        let mut actions = vec![EntryAction::Send(held.place.home.clone(), release.clone().into())];
        // A new home may have adopted the permit from this host's list.
        if let Some(home) = present_home(view, &held).filter(|home| *home != held.place.home) {
            actions.push(EntryAction::Send(home, release.into()));
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
        mut pending: PendingAsk,
        actions: &mut Vec<EntryAction>,
    ) {
        let ask = Arc::clone(&pending.ask);
        let count_step = |domain: &str| self.steps.count(&ask.organisation, &ask.service, ask.deadline, domain);
        let is_failing = |domain: &str| self.health.is_failing(now, &ask.service, domain);
        let input = PlanInput { view, layout, waits: &self.waits, count_step: &count_step, is_failing: &is_failing };
        pending.plan = plan_homes(&input, now, &ask, pending.number, pending.round);
        pending.next_home = 0;
        pending.is_transient = false;
        pending.last_code = None;
        self.ask_next(now, pending, actions);
    }

    /// Asks the next home of the plan; without one, settles the ask or waits for the next round.
    pub(super) fn ask_next(&mut self, now: BootTime, mut pending: PendingAsk, actions: &mut Vec<EntryAction>) {
        let Some(place) = pending.plan.get(pending.next_home).cloned() else {
            self.end_round(now, pending, actions);
            return;
        };
        pending.next_home += 1;
        let ticket = self.take_ticket();
        self.note_home(now, &place.home);
        let attempt = HomeAttempt { ticket, place, asked_at: now, sent_at: now, heard_at: now, is_acknowledged: false };
        actions.push(EntryAction::Send(attempt.place.home.clone(), pending.request(&attempt, now).into()));
        pending.attempt = Some(attempt);
        self.put_pending(pending);
    }

    /// Cancels an open ticket at its home.
    pub(super) fn abandon(&mut self, now: BootTime, attempt: Option<&HomeAttempt>, actions: &mut Vec<EntryAction>) {
        let Some(attempt) = attempt else { return };
        self.note_home(now, &attempt.place.home);
        actions.push(EntryAction::Send(attempt.place.home.clone(), cancel_frame(attempt.ticket)));
    }

    pub(super) fn note_home(&mut self, now: BootTime, host: &str) {
        match self.recent.binary_search_by(|home| home.host.as_str().cmp(host)) {
            Ok(position) => self.recent[position].used_at = now,
            Err(position) => self.recent.insert(position, RecentHome { host: host.to_owned(), used_at: now }),
        }
    }

    pub(super) fn put_pending(&mut self, pending: PendingAsk) {
        if let Some(attempt) = &pending.attempt {
            self.tickets.insert(attempt.ticket, pending.number);
        }
        self.pending.insert(pending.number, pending);
    }

    pub(super) fn take_pending(&mut self, number: AskNumber) -> Option<PendingAsk> {
        let pending = self.pending.remove(&number)?;
        if let Some(attempt) = &pending.attempt {
            self.tickets.remove(&attempt.ticket);
        }
        Some(pending)
    }

    fn end_round(&mut self, now: BootTime, mut pending: PendingAsk, actions: &mut Vec<EntryAction>) {
        let code = pending.last_code.unwrap_or(ResultCode::NoTarget);
        if !pending.is_transient || now + ROUND_PAUSE >= pending.expires_at {
            actions.push(EntryAction::Settle(pending.number, Err(code)));
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
        mut pending: PendingAsk,
        target: &str,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = pending.attempt.take() else { return };
        let entry = view.configuration.target(target).filter(|entry| view.configuration.is_in(entry));
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
        let granted = GrantedTarget { ticket: held.ticket, target: entry.clone() };
        self.held.insert(held.ticket, held);
        actions.push(EntryAction::Settle(pending.number, Ok(granted)));
    }

    /// After an acknowledgement: waits here, or moves on when the wait is long and a home of another domain is left
    /// that announced at most half of it, or nothing. In the first round an ask moves at once, and later at most once
    /// a second. Its place in a queue depends on its organisation and deadline, so that moving costs it nothing.
    fn stay_or_move(
        &mut self,
        now: BootTime,
        mut pending: PendingAsk,
        grant: &PermitGrant,
        actions: &mut Vec<EntryAction>,
    ) {
        let wait = Duration::from_millis(grant.expected_wait_ms.unwrap_or(0));
        let here = pending.attempt.as_ref().map(|attempt| attempt.place.failure_domain.clone()).unwrap_or_default();
        let has_better = pending.plan[pending.next_home..].iter().any(|place| {
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
    fn return_unwanted(&mut self, now: BootTime, from: &str, grant: &PermitGrant, actions: &mut Vec<EntryAction>) {
        let is_held = self.held.contains_key(&grant.ticket);
        if is_held || grant.result_code != 0 {
            return;
        }
        self.note_home(now, from);
        actions.push(EntryAction::Send(from.to_owned(), cancel_frame(grant.ticket)));
    }

    fn record_wait(&mut self, now: BootTime, pending: &PendingAsk, grant: &PermitGrant) {
        let Some(attempt) = &pending.attempt else { return };
        let Some(wait) = grant.expected_wait_ms else { return };
        let domain = &attempt.place.failure_domain;
        self.waits.record(now, &pending.ask.service, domain, Duration::from_millis(wait));
    }

    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn take_of_ticket(&mut self, from: &str, ticket: u64) -> Option<PendingAsk> {
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
