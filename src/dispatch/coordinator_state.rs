//! Dispatch shards that this host coordinates: it queues permit requests and grants permits.
//!
//! The code reads no clock and no network. Methods that handle events take the view and the time, change the state, and
//! return the answers to send.

use crate::control::{ControlView, HostIdentity};
use crate::dispatch::coordinated_shard::{CoordinatedShard, QueuedTicket, ShardDecision};
use crate::dispatch::coordinated_target::CoordinatedTarget;
use crate::dispatch::coordinator_upkeep::is_sender_dead;
use crate::dispatch::shard_layout::{ShardLayout, shard_coordinator};
use crate::dispatch::ticket_table::{GrantedPermit, ShardName, TicketKey, TicketState, TicketTable};
use crate::generated::peer_messages::{PermitGrant, PermitOutcome, PermitRelease, PermitRequest};
use crate::policy::capacity_share::{DomainVisibility, ShareHistory};
use crate::policy::fair_queue::{PushOutcome, QueueItem};
use crate::policy::prefix_index::TargetHandle;
use crate::prelude::*;

/// Time without an event after which a coordinator concludes that its process was paused. Another host may have taken
/// over its shards, so it starts again like a new coordinator. Other hosts need at least [`DEAD_AFTER`], which is
/// longer, to replace it.
pub const PAUSE_THRESHOLD: Duration = PERMIT_RENEWAL;

/// Answer to a requester.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorAnswer {
    /// Requester and ticket that the answer is for.
    pub to: TicketKey,
    /// Grant, refusal, or confirmation that the ticket waits.
    pub grant: PermitGrant,
}

/// State of all dispatch shards that this host coordinates.
#[derive(Debug)]
pub struct CoordinatorState {
    /// Shards, sorted by name.
    pub shards: Vec<CoordinatedShard>,
    /// Tickets of all requesters, including recently ended ones.
    pub ticket_table: TicketTable,
    /// Recent domain visibility, from which the usable capacity shares follow.
    pub shares: ShareHistory,
    pub(super) next_handle: TargetHandle,
    pub(super) view: Option<Arc<ControlView>>,
    pub(super) layout: Option<ShardLayout>,
    pub(super) visibility: DomainVisibility,
    pub(super) shard_names: Vec<ShardName>,
    pub(super) last_event_at: Option<BootTime>,
    pub(super) scanned_at: BootTime,
}

impl CoordinatorState {
    /// Creates the state of a host that coordinates no shard yet. `share_increase_delay` is the delay before a larger capacity
    /// share is used.
    #[must_use]
    pub fn new(share_increase_delay: Duration) -> Self {
        Self {
            shards: Vec::new(),
            ticket_table: TicketTable::default(),
            shares: ShareHistory::new(share_increase_delay),
            next_handle: 0,
            view: None,
            layout: None,
            visibility: DomainVisibility { listed: 0, seen: 0, sees_lowest: false },
            shard_names: Vec::new(),
            last_event_at: None,
            scanned_at: BootTime::ZERO,
        }
    }

    /// Handles a permit request. A repeated request gets the present answer of its ticket; a ticket that has ended gets
    /// none.
    pub fn handle_request(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        request: &PermitRequest,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.apply_view(view, now);
        let key = TicketKey::new(from, request.ticket);
        let known = match self.ticket_table.get_mut(&key) {
            Some(TicketState::Waiting { heard_at, .. }) => {
                *heard_at = now;
                Some(self.waiting_answer(view, now, &key, request))
            }
            Some(TicketState::Granted(permit)) => {
                permit.heard_at = now;
                Some(granted_answer(&key, &permit.target))
            }
            Some(TicketState::Ended { .. }) => return answers,
            None => None,
        };
        if let Some(answer) = known {
            answers.push(answer);
            return answers;
        }
        match self.admit_request(view, now, from, request) {
            Ok(more) => answers.extend(more),
            Err(refusal) => answers.push(refused_answer(key, refusal)),
        }
        answers
    }

    /// Handles the release of a permit or the cancellation of a waiting ticket.
    pub fn handle_release(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        release: &PermitRelease,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.apply_view(view, now);
        let key = TicketKey::new(from, release.ticket);
        if let Some(TicketState::Granted(permit)) = self.end_ticket(&key, now) {
            self.record_completion(now, &permit, release);
            answers.extend(self.serve_shard(view, now, &permit.shard));
        }
        answers
    }

    /// Number of waiting tickets of each shard.
    pub fn queue_lengths(&self) -> impl Iterator<Item = (&ShardName, usize)> {
        self.shards.iter().map(|shard| (&shard.name, shard.queue.len()))
    }

    /// Returns the shard of the target with this id; `None` if this host does not coordinate it.
    pub fn shard_of_target(&mut self, target: &str) -> Option<&mut CoordinatedShard> {
        self.shards.iter_mut().find(|shard| shard.has_target(target))
    }

    /// Returns the target with this id; `None` if this host does not coordinate it.
    pub fn target_mut(&mut self, target: &str) -> Option<&mut CoordinatedTarget> {
        self.shards.iter_mut().find_map(|shard| shard.target_mut(target))
    }

    /// Ends a ticket: removes it from its queue, or frees its slot. Returns its former state.
    pub(super) fn end_ticket(&mut self, key: &TicketKey, now: BootTime) -> Option<TicketState> {
        let former = self.ticket_table.set(key.clone(), TicketState::Ended { ended_at: now });
        match &former {
            Some(TicketState::Waiting { shard, queue_key, .. }) => {
                if let Some(shard) = self.shard_mut(shard) {
                    shard.queue.remove(*queue_key);
                }
            }
            Some(TicketState::Granted(permit)) => {
                if let Some(target) = self.permit_target(permit) {
                    target.remove_permit();
                }
                if let Some(shard) = self.shard_mut(&permit.shard) {
                    shard.reserve.record_release(&permit.organisation);
                }
            }
            Some(TicketState::Ended { .. }) | None => {}
        }
        former
    }

    /// Grants or refuses tickets in the queues of all shards.
    pub(super) fn serve_all(&mut self, view: &ControlView, now: BootTime) -> Vec<CoordinatorAnswer> {
        let mut decisions = Vec::new();
        for shard in &mut self.shards {
            decisions.extend(serve_queue(shard, &self.shares, view, now));
        }
        decisions.into_iter().map(|decision| self.apply_decision(now, decision)).collect()
    }

    /// Grants or refuses tickets in the queue of one shard.
    pub(super) fn serve_shard(
        &mut self,
        view: &ControlView,
        now: BootTime,
        name: &ShardName,
    ) -> Vec<CoordinatorAnswer> {
        let Ok(position) = self.shards.binary_search_by(|shard| shard.name.cmp(name)) else { return Vec::new() };
        let decisions = serve_queue(&mut self.shards[position], &self.shares, view, now);
        decisions.into_iter().map(|decision| self.apply_decision(now, decision)).collect()
    }

    /// Returns the target of a permit. It may have moved to another shard if the configuration changed since the grant.
    pub(super) fn permit_target(&mut self, permit: &GrantedPermit) -> Option<&mut CoordinatedTarget> {
        let has_target = self.shard_mut(&permit.shard).is_some_and(|shard| shard.has_target(&permit.target));
        let shard = if has_target { self.shard_mut(&permit.shard) } else { self.shard_of_target(&permit.target) };
        shard?.target_mut(&permit.target)
    }

    pub(super) fn shard_mut(&mut self, name: &ShardName) -> Option<&mut CoordinatedShard> {
        let position = self.shards.binary_search_by(|shard| shard.name.cmp(name)).ok()?;
        Some(&mut self.shards[position])
    }

    fn admit_request(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        request: &PermitRequest,
    ) -> Result<Vec<CoordinatorAnswer>, CoordinatorRefusal> {
        check_grant_allowed(view, is_view_stale(view, now), &from.failure_domain)?;
        // The next scan would end the permit of a sender that the view shows as dead, while its request runs.
        if is_sender_dead(view, &TicketKey::new(from, request.ticket)) {
            return Err(CoordinatorRefusal::from(ResultCode::NotReady));
        }
        let name = check_coordinator(view, request)?;
        let weight = organisation_weight(view, &request.organisation);
        let Ok(position) = self.shards.binary_search_by(|shard| shard.name.cmp(&name)) else {
            return Err(CoordinatorRefusal::from(ResultCode::NoTarget));
        };
        let shard = &mut self.shards[position];
        if !shard.can_serve(now, request, &self.shares) {
            return Err(CoordinatorRefusal::from(ResultCode::NoTarget));
        }
        let wait = Duration::from_millis(request.wait_ms);
        let expected_wait = shard.expected_wait(now, &request.organisation, weight, &self.shares);
        if expected_wait > wait && !shard.queue.is_empty() {
            return Err(CoordinatorRefusal { expected_wait: Some(expected_wait), ..ResultCode::QueueFull.into() });
        }
        let queued = QueuedTicket {
            key: TicketKey::new(from, request.ticket),
            failure_domain: from.failure_domain.clone(),
            request: request.clone(),
            expires_at: now + wait,
        };
        let mut answers = self.queue_ticket(now, position, weight, queued)?;
        answers.extend(self.serve_shard(view, now, &name));
        let key = TicketKey::new(from, request.ticket);
        if matches!(self.ticket_table.get(&key), Some(TicketState::Waiting { .. })) {
            answers.push(self.waiting_answer(view, now, &key, request));
        }
        Ok(answers)
    }

    fn queue_ticket(
        &mut self,
        now: BootTime,
        position: usize,
        weight: f64,
        queued: QueuedTicket,
    ) -> Result<Vec<CoordinatorAnswer>, CoordinatorRefusal> {
        let shard = &mut self.shards[position];
        shard.reserve.record_request(now, &queued.request.organisation, weight);
        let name = shard.name.clone();
        let key = queued.key.clone();
        // A request without a step deadline is ordered by the end of its wait, so that none waits forever.
        let deadline = queued.request.deadline_ms.map_or(queued.expires_at, |left| now + Duration::from_millis(left));
        let organisation = queued.request.organisation.clone();
        let tokens = queued.request.expected_tokens.max(1);
        let item = QueueItem { organisation: &organisation, weight, tokens, deadline, item: queued };
        let (queue_key, displaced) = match shard.queue.push(item) {
            PushOutcome::Queued(queue_key) => (queue_key, None),
            PushOutcome::Displaced(queue_key, displaced) => (queue_key, Some(displaced)),
            PushOutcome::Refused(_) => return Err(CoordinatorRefusal::from(ResultCode::QueueFull)),
        };
        self.ticket_table.set(key, TicketState::Waiting { shard: name, queue_key, heard_at: now });
        let displaced = displaced.map(|queued| {
            self.ticket_table.set(queued.key.clone(), TicketState::Ended { ended_at: now });
            refused_answer(queued.key, ResultCode::QueueFull.into())
        });
        Ok(displaced.into_iter().collect())
    }

    fn apply_decision(&mut self, now: BootTime, decision: ShardDecision) -> CoordinatorAnswer {
        match decision {
            ShardDecision::Granted(queued, target, is_cached) => {
                let answer = granted_answer(&queued.key, &target);
                let shard = ShardName { service: queued.request.service, index: queued.request.shard };
                let permit = GrantedPermit {
                    shard,
                    target,
                    organisation: queued.request.organisation,
                    expected_tokens: queued.request.expected_tokens.max(1),
                    is_cached,
                    heard_at: now,
                };
                self.ticket_table.set(queued.key, TicketState::Granted(permit));
                answer
            }
            ShardDecision::Refused(queued, code) => {
                self.ticket_table.set(queued.key.clone(), TicketState::Ended { ended_at: now });
                refused_answer(queued.key, code.into())
            }
        }
    }

    /// Corrects the tokens charged to the organisation of a released permit, and updates the target's slow start.
    fn record_completion(&mut self, now: BootTime, permit: &GrantedPermit, release: &PermitRelease) {
        if let Some(shard) = self.shard_mut(&permit.shard) {
            shard.queue.correct(&permit.organisation, permit.expected_tokens, release.tokens);
            shard.record_tokens(now, release.tokens);
        }
        let Some(target) = self.permit_target(permit) else { return };
        match release.outcome {
            PermitOutcome::Finished => {
                let first_token = Duration::from_millis(u64::from(release.first_token_ms));
                if target.slow_start.finish(now, first_token, permit.is_cached) {
                    log::info!(target_id = permit.target.as_str(); "target_cold");
                }
            }
            PermitOutcome::Crashed => target.slow_start.restart(now),
            PermitOutcome::Failed => target.slow_start.fail(now),
            PermitOutcome::Cancelled => {}
        }
    }

    /// Confirms that a ticket waits: a grant with result code 0 and no target.
    fn waiting_answer(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        key: &TicketKey,
        request: &PermitRequest,
    ) -> CoordinatorAnswer {
        let weight = organisation_weight(view, &request.organisation);
        let name = ShardName { service: request.service.clone(), index: request.shard };
        let position = self.shards.binary_search_by(|shard| shard.name.cmp(&name)).ok();
        let wait = position
            .map(|position| self.shards[position].expected_wait(now, &request.organisation, weight, &self.shares));
        let expected_wait_ms = wait.map(whole_millis);
        let grant = PermitGrant { ticket: key.ticket, result_code: 0, target: None, expected_wait_ms, home: None };
        CoordinatorAnswer { to: key.clone(), grant }
    }
}

/// Why a ticket gets no permit, and what its requester can do instead.
struct CoordinatorRefusal {
    code: ResultCode,
    /// Host to ask instead, if another host is the coordinator.
    coordinator: Option<HostId>,
    expected_wait: Option<Duration>,
}

impl From<ResultCode> for CoordinatorRefusal {
    fn from(code: ResultCode) -> Self {
        Self { code, coordinator: None, expected_wait: None }
    }
}

fn check_coordinator(view: &ControlView, request: &PermitRequest) -> Result<ShardName, CoordinatorRefusal> {
    if request.failure_domain != view.failure_domain {
        return Err(CoordinatorRefusal::from(ResultCode::NoTarget));
    }
    let coordinator = shard_coordinator(view, &request.service, &request.failure_domain, request.shard);
    if coordinator.as_ref() != Some(&view.host) {
        return Err(CoordinatorRefusal { coordinator, ..ResultCode::NotReady.into() });
    }
    Ok(ShardName { service: request.service.clone(), index: request.shard })
}

fn serve_queue(
    shard: &mut CoordinatedShard,
    shares: &ShareHistory,
    view: &ControlView,
    now: BootTime,
) -> Vec<ShardDecision> {
    let is_view_stale = is_view_stale(view, now);
    shard.serve_queue(now, shares, |queued| {
        if queued.expires_at <= now {
            return Err(ResultCode::QueueTimeout);
        }
        if is_sender_dead(view, &queued.key) {
            return Err(ResultCode::NotReady);
        }
        check_grant_allowed(view, is_view_stale, &queued.failure_domain)
    })
}

/// Fair share weight of an organisation; 1 if the organisation is unknown or the request names none.
fn organisation_weight(view: &ControlView, organisation: &str) -> f64 {
    view.configuration.organisation(organisation).map_or(1.0, |entry| entry.weight)
}

/// Whether the view is too old to grant permits to other failure domains.
fn is_view_stale(view: &ControlView, now: BootTime) -> bool {
    view.view_age(now).is_none_or(|age| age > VIEW_AGE_LIMIT)
}

/// Checks whether the state of this host's view allows grants to a requester in `failure_domain`.
fn check_grant_allowed(view: &ControlView, is_view_stale: bool, failure_domain: &str) -> Result<(), ResultCode> {
    if !view.is_initialised || view.is_leaving {
        return Err(ResultCode::NotReady);
    }
    if is_view_stale && failure_domain != view.failure_domain {
        return Err(ResultCode::StaleView);
    }
    Ok(())
}

fn granted_answer(key: &TicketKey, target: &str) -> CoordinatorAnswer {
    let target = Some(target.to_owned());
    let grant = PermitGrant { ticket: key.ticket, result_code: 0, target, expected_wait_ms: None, home: None };
    CoordinatorAnswer { to: key.clone(), grant }
}

fn refused_answer(to: TicketKey, refusal: CoordinatorRefusal) -> CoordinatorAnswer {
    let expected_wait_ms = refusal.expected_wait.map(whole_millis);
    let (result_code, home) = (refusal.code.number(), refusal.coordinator);
    let grant = PermitGrant { ticket: to.ticket, result_code, target: None, expected_wait_ms, home };
    CoordinatorAnswer { to, grant }
}

pub(super) fn moved_answer(to: TicketKey, coordinator: Option<HostId>) -> CoordinatorAnswer {
    refused_answer(to, CoordinatorRefusal { coordinator, ..ResultCode::NotReady.into() })
}
