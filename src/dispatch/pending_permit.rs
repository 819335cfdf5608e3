//! An ask that is not settled, its open ticket, and a permit that is held.

use crate::control::ControlView;
use crate::dispatch::PermitRequirements;
use crate::dispatch::requester_plan::ShardCandidate;
use crate::dispatch::shard_layout::shard_coordinator;
use crate::generated::peer_messages::PermitRequest;
use crate::prelude::*;

/// Most prefix hashes in one request for a permit.
const PREFIX_LIMIT: usize = 32;

/// Number of an ask at this host.
pub type PermitRequestId = u64;

/// An ask that is not settled.
#[derive(Debug)]
pub struct PendingPermit {
    pub number: PermitRequestId,
    pub ask: Arc<PermitRequirements>,
    pub expected_tokens: u32,
    pub prefix_hashes: Vec<u64>,
    pub plan: Vec<ShardCandidate>,
    pub next_candidate: usize,
    pub round: u32,
    pub attempt: Option<OpenTicket>,
    pub retry_at: BootTime,
    pub expires_at: BootTime,
    pub is_transient: bool,
    pub last_code: Option<ResultCode>,
}

/// The open ticket of an ask.
#[derive(Debug, Clone)]
pub struct OpenTicket {
    pub ticket: u64,
    pub place: ShardCandidate,
    pub asked_at: BootTime,
    pub sent_at: BootTime,
    pub heard_at: BootTime,
    pub is_acknowledged: bool,
}

/// A permit that this host holds.
#[derive(Debug, Clone)]
pub struct HeldPermit {
    pub ticket: u64,
    pub place: ShardCandidate,
    pub target: TargetId,
    pub service: ServiceId,
    pub organisation: OrganisationId,
    pub deadline: Option<BootTime>,
}

impl PendingPermit {
    /// Frame of an open ticket.
    pub fn request(&self, attempt: &OpenTicket, now: BootTime) -> PermitRequest {
        PermitRequest {
            ticket: attempt.ticket,
            service: self.ask.service.clone(),
            failure_domain: attempt.place.failure_domain.clone(),
            shard: attempt.place.shard,
            organisation: self.ask.organisation.clone(),
            expected_tokens: self.expected_tokens,
            prefix_hashes: self.prefix_hashes.clone(),
            firm_only: self.ask.firm_only,
            deadline_ms: self.ask.deadline.map(|deadline| whole_millis(deadline.saturating_sub(now))),
            excluded_targets: self.ask.excluded_targets.clone(),
            least_version: self.ask.least_version,
            wait_ms: whole_millis(self.expires_at.saturating_sub(now)),
        }
    }

    /// Keeps the refusal that says most: a full queue before a missing target.
    pub fn note_refusal(&mut self, code: ResultCode) {
        self.is_transient |= matches!(code, ResultCode::NotReady | ResultCode::QueueTimeout);
        if self.last_code != Some(ResultCode::QueueFull) {
            self.last_code = Some(code);
        }
    }

    /// Asks the host next that the refusing one named as the home, once in a round for each shard.
    pub fn follow(&mut self, home: &str) {
        let Some(attempt) = &self.attempt else { return };
        let place = ShardCandidate { home: home.to_owned(), ..attempt.place.clone() };
        if !self.plan.contains(&place) {
            self.plan.insert(self.next_candidate, place);
        }
    }

    /// Leaves out the remaining homes of a failure domain in this round.
    pub fn skip_domain(&mut self, failure_domain: &str) {
        let rest = self.plan.split_off(self.next_candidate);
        self.plan.extend(rest.into_iter().filter(|place| place.failure_domain != failure_domain));
    }
}

/// At most [`PREFIX_LIMIT`] of the hashes, evenly spread, with the first and the last one: a long prompt has thousands
/// of blocks, and any of them tells how far a cache reaches.
pub(super) fn thin_prefixes(hashes: &[u64]) -> Vec<u64> {
    if hashes.len() <= PREFIX_LIMIT {
        return hashes.to_vec();
    }
    let last = hashes.len() - 1;
    (0..PREFIX_LIMIT).map(|index| hashes[index * last / (PREFIX_LIMIT - 1)]).collect()
}

/// Home of a held permit's shard by the present view.
pub(super) fn current_coordinator(view: &ControlView, held: &HeldPermit) -> Option<HostId> {
    shard_coordinator(view, &held.service, &held.place.failure_domain, held.place.shard)
}
