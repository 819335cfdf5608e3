//! Shards that this host is the home of: requests in, grants out.
//!
//! Pure: every method takes the view and the time and returns the answers to send.

use crate::control::{ControlView, HostIdentity};
use crate::dispatch::coordinated_shard::{CoordinatedShard, QueuedTicket, ShardDecision};
use crate::dispatch::coordinated_target::CoordinatedTarget;
use crate::dispatch::coordinator_upkeep::is_dead;
use crate::dispatch::shard_layout::{ShardLayout, shard_coordinator};
use crate::dispatch::ticket_table::{GrantedPermit, ShardName, TicketKey, TicketState, TicketTable};
use crate::generated::peer_messages::{PermitGrant, PermitOutcome, PermitRelease, PermitRequest};
use crate::policy::capacity_share::{DomainVisibility, ShareHistory};
use crate::policy::fair_queue::{PushOutcome, QueueItem};
use crate::policy::prefix_index::TargetHandle;
use crate::prelude::*;

/// A home that did nothing for this long was paused. Another host can have taken over, and this one starts like a
/// new home; others need at least [`DEAD_AFTER`] to notice.
pub const PAUSE_LIMIT: Duration = PERMIT_RENEWAL;

/// Answer to an asker.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorAnswer {
    /// Asker and ticket.
    pub to: TicketKey,
    /// Answer.
    pub grant: PermitGrant,
}

/// State of all shards that this host is the home of.
#[derive(Debug)]
pub struct CoordinatorState {
    /// Shards, sorted by name.
    pub shards: Vec<CoordinatedShard>,
    /// Asks.
    pub asks: TicketTable,
    /// Usable shares of the targets' limits.
    pub shares: ShareHistory,
    pub(super) next_handle: TargetHandle,
    pub(super) view: Option<Arc<ControlView>>,
    pub(super) layout: Option<ShardLayout>,
    pub(super) sight: DomainVisibility,
    pub(super) coordinated_names: Vec<ShardName>,
    pub(super) last_time: Option<BootTime>,
    pub(super) scanned_at: BootTime,
}

impl CoordinatorState {
    /// State of a host that is no home yet.
    #[must_use]
    pub fn new(share_settle: Duration) -> Self {
        Self {
            shards: Vec::new(),
            asks: TicketTable::default(),
            shares: ShareHistory::new(share_settle),
            next_handle: 0,
            view: None,
            layout: None,
            sight: DomainVisibility { listed: 0, seen: 0, sees_lowest: false },
            coordinated_names: Vec::new(),
            last_time: None,
            scanned_at: BootTime::ZERO,
        }
    }

    /// Takes a request for a permit; a repeated one gets the same answer again.
    pub fn request(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        request: &PermitRequest,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.refresh(view, now);
        let key = TicketKey::new(from, request.ticket);
        let known = match self.asks.get_mut(&key) {
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
        match self.admit(view, now, from, request) {
            Ok(more) => answers.extend(more),
            Err(refusal) => answers.push(refused_answer(key, refusal)),
        }
        answers
    }

    /// Takes a permit back, or cancels an ask that waits.
    pub fn release(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        release: &PermitRelease,
    ) -> Vec<CoordinatorAnswer> {
        let mut answers = self.refresh(view, now);
        let key = TicketKey::new(from, release.ticket);
        if let Some(TicketState::Granted(permit)) = self.end_ask(&key, now) {
            self.settle_permit(now, &permit, release);
            answers.extend(self.serve_shard(view, now, &permit.shard));
        }
        answers
    }

    /// Waiting asks of each shard, by shard name.
    pub fn queue_lengths(&self) -> impl Iterator<Item = (&ShardName, usize)> {
        self.shards.iter().map(|shard| (&shard.name, shard.queue.len()))
    }

    /// Shard that has a target.
    pub fn shard_of_target(&mut self, target: &str) -> Option<&mut CoordinatedShard> {
        self.shards.iter_mut().find(|shard| shard.has_target(target))
    }

    /// Target with this id, if this host is its home.
    pub fn target_mut(&mut self, target: &str) -> Option<&mut CoordinatedTarget> {
        self.shards.iter_mut().find_map(|shard| shard.target_mut(target))
    }

    /// Ends an ask: out of its queue, or its slot back; returns its former state.
    pub(super) fn end_ask(&mut self, key: &TicketKey, now: BootTime) -> Option<TicketState> {
        let former = self.asks.set(key.clone(), TicketState::Ended { at: now });
        match &former {
            Some(TicketState::Waiting { shard, place, .. }) => {
                if let Some(shard) = self.shard_mut(shard) {
                    shard.queue.remove(*place);
                }
            }
            Some(TicketState::Granted(permit)) => {
                if let Some(target) = self.permit_target(permit) {
                    target.drop_permit();
                }
                if let Some(shard) = self.shard_mut(&permit.shard) {
                    shard.reserve.record_release(&permit.organisation);
                }
            }
            Some(TicketState::Ended { .. }) | None => {}
        }
        former
    }

    /// Serves all queues.
    pub(super) fn serve_all(&mut self, view: &ControlView, now: BootTime) -> Vec<CoordinatorAnswer> {
        let mut decisions = Vec::new();
        for shard in &mut self.shards {
            decisions.extend(serve(shard, &self.shares, view, now));
        }
        decisions.into_iter().map(|decision| self.answer_decision(now, decision)).collect()
    }

    /// Serves the queue of one shard.
    pub(super) fn serve_shard(
        &mut self,
        view: &ControlView,
        now: BootTime,
        name: &ShardName,
    ) -> Vec<CoordinatorAnswer> {
        let Ok(position) = self.shards.binary_search_by(|shard| shard.name.cmp(name)) else { return Vec::new() };
        let decisions = serve(&mut self.shards[position], &self.shares, view, now);
        decisions.into_iter().map(|decision| self.answer_decision(now, decision)).collect()
    }

    /// Target of a permit; another shard has it when the map changed since.
    pub(super) fn permit_target(&mut self, permit: &GrantedPermit) -> Option<&mut CoordinatedTarget> {
        let has_target = self.shard_mut(&permit.shard).is_some_and(|shard| shard.has_target(&permit.target));
        let shard = if has_target { self.shard_mut(&permit.shard) } else { self.shard_of_target(&permit.target) };
        shard?.target_mut(&permit.target)
    }

    pub(super) fn shard_mut(&mut self, name: &ShardName) -> Option<&mut CoordinatedShard> {
        let position = self.shards.binary_search_by(|shard| shard.name.cmp(name)).ok()?;
        Some(&mut self.shards[position])
    }

    fn admit(
        &mut self,
        view: &Arc<ControlView>,
        now: BootTime,
        from: &HostIdentity,
        request: &PermitRequest,
    ) -> Result<Vec<CoordinatorAnswer>, CoordinatorRefusal> {
        check_origin(view, is_stale(view, now), &from.failure_domain)?;
        // A permit of a host that the view shows as dead would be dropped while its request runs.
        if is_dead(view, &TicketKey::new(from, request.ticket)) {
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
        let ask = QueuedTicket {
            key: TicketKey::new(from, request.ticket),
            failure_domain: from.failure_domain.clone(),
            request: request.clone(),
            expires_at: now + wait,
        };
        let mut answers = self.queue_ask(now, position, weight, ask)?;
        answers.extend(self.serve_shard(view, now, &name));
        let key = TicketKey::new(from, request.ticket);
        if matches!(self.asks.get(&key), Some(TicketState::Waiting { .. })) {
            answers.push(self.waiting_answer(view, now, &key, request));
        }
        Ok(answers)
    }

    fn queue_ask(
        &mut self,
        now: BootTime,
        position: usize,
        weight: f64,
        ask: QueuedTicket,
    ) -> Result<Vec<CoordinatorAnswer>, CoordinatorRefusal> {
        let shard = &mut self.shards[position];
        shard.reserve.record_request(now, &ask.request.organisation, weight);
        let name = shard.name.clone();
        let key = ask.key.clone();
        // Without a step deadline the end of the wait orders the queue, so that no request waits forever.
        let deadline = ask.request.deadline_ms.map_or(ask.expires_at, |left| now + Duration::from_millis(left));
        let organisation = ask.request.organisation.clone();
        let tokens = ask.request.expected_tokens.max(1);
        let item = QueueItem { organisation: &organisation, weight, tokens, deadline, item: ask };
        let (place, displaced) = match shard.queue.push(item) {
            PushOutcome::Queued(place) => (place, None),
            PushOutcome::Displaced(place, displaced) => (place, Some(displaced)),
            PushOutcome::Refused(_) => return Err(CoordinatorRefusal::from(ResultCode::QueueFull)),
        };
        self.asks.set(key, TicketState::Waiting { shard: name, place, heard_at: now });
        let displaced = displaced.map(|ask| {
            self.asks.set(ask.key.clone(), TicketState::Ended { at: now });
            refused_answer(ask.key, ResultCode::QueueFull.into())
        });
        Ok(displaced.into_iter().collect())
    }

    fn answer_decision(&mut self, now: BootTime, decision: ShardDecision) -> CoordinatorAnswer {
        match decision {
            ShardDecision::Granted(ask, target, is_cached) => {
                let answer = granted_answer(&ask.key, &target);
                let shard = ShardName { service: ask.request.service, index: ask.request.shard };
                let permit = GrantedPermit {
                    shard,
                    target,
                    organisation: ask.request.organisation,
                    expected_tokens: ask.request.expected_tokens.max(1),
                    is_cached,
                    heard_at: now,
                };
                self.asks.set(ask.key, TicketState::Granted(permit));
                answer
            }
            ShardDecision::Refused(ask, code) => {
                self.asks.set(ask.key.clone(), TicketState::Ended { at: now });
                refused_answer(ask.key, code.into())
            }
        }
    }

    fn settle_permit(&mut self, now: BootTime, permit: &GrantedPermit, release: &PermitRelease) {
        if let Some(shard) = self.shard_mut(&permit.shard) {
            shard.queue.correct(&permit.organisation, permit.expected_tokens, release.tokens);
            shard.count_tokens(now, release.tokens);
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

/// Why a home does not queue a request.
struct CoordinatorRefusal {
    code: ResultCode,
    home: Option<HostId>,
    expected_wait: Option<Duration>,
}

impl From<ResultCode> for CoordinatorRefusal {
    fn from(code: ResultCode) -> Self {
        Self { code, home: None, expected_wait: None }
    }
}

fn check_coordinator(view: &ControlView, request: &PermitRequest) -> Result<ShardName, CoordinatorRefusal> {
    if request.failure_domain != view.failure_domain {
        return Err(CoordinatorRefusal::from(ResultCode::NoTarget));
    }
    let home = shard_coordinator(view, &request.service, &request.failure_domain, request.shard);
    if home.as_ref() != Some(&view.host) {
        return Err(CoordinatorRefusal { home, ..ResultCode::NotReady.into() });
    }
    Ok(ShardName { service: request.service.clone(), index: request.shard })
}

fn serve(shard: &mut CoordinatedShard, shares: &ShareHistory, view: &ControlView, now: BootTime) -> Vec<ShardDecision> {
    let is_stale = is_stale(view, now);
    shard.serve(now, shares, |ask| {
        if ask.expires_at <= now {
            return Err(ResultCode::QueueTimeout);
        }
        if is_dead(view, &ask.key) {
            return Err(ResultCode::NotReady);
        }
        check_origin(view, is_stale, &ask.failure_domain)
    })
}

/// Weight of an organisation; open routes and unknown ones have weight 1.
fn organisation_weight(view: &ControlView, organisation: &str) -> f64 {
    view.configuration.organisation(organisation).map_or(1.0, |entry| entry.weight)
}

/// Whether this home must not trust its view for other failure domains.
fn is_stale(view: &ControlView, now: BootTime) -> bool {
    view.view_age(now).is_none_or(|age| age > VIEW_AGE_LIMIT)
}

fn check_origin(view: &ControlView, is_stale: bool, failure_domain: &str) -> Result<(), ResultCode> {
    if !view.is_initialised || view.is_leaving {
        return Err(ResultCode::NotReady);
    }
    if is_stale && failure_domain != view.failure_domain {
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
    let (result_code, home) = (refusal.code.number(), refusal.home);
    let grant = PermitGrant { ticket: to.ticket, result_code, target: None, expected_wait_ms, home };
    CoordinatorAnswer { to, grant }
}

pub(super) fn moved_answer(to: TicketKey, home: Option<HostId>) -> CoordinatorAnswer {
    refused_answer(to, CoordinatorRefusal { home, ..ResultCode::NotReady.into() })
}
