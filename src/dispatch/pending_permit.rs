//! States of a permit at the requester: pending with an open ticket, then held.

use crate::control::ControlView;
use crate::dispatch::PermitRequirements;
use crate::dispatch::requester_plan::ShardCandidate;
use crate::dispatch::shard_layout::shard_coordinator;
use crate::generated::peer_messages::PermitRequest;
use crate::prelude::*;

/// Most prefix hashes in one `PermitRequest`.
const MAX_PREFIX_HASHES: usize = 32;

/// Number of a permit request, unique within one incarnation of the requester.
pub type PermitRequestId = u64;

/// A permit that was requested and is neither granted nor refused yet.
#[derive(Debug)]
pub struct PendingPermit {
    pub id: PermitRequestId,
    pub requirements: Arc<PermitRequirements>,
    pub expected_tokens: u32,
    pub prefix_hashes: Vec<u64>,
    pub candidates: Vec<ShardCandidate>,
    pub next_candidate: usize,
    pub round: u32,
    /// `None` between two rounds.
    pub open_ticket: Option<OpenTicket>,
    pub next_round_at: BootTime,
    pub expires_at: BootTime,
    /// Whether another round may succeed.
    pub can_retry: bool,
    /// Result if no candidate grants a permit.
    pub failure_code: Option<ResultCode>,
}

/// A request to one coordinator; open until the coordinator grants or refuses it, or this host cancels it.
#[derive(Debug, Clone)]
pub struct OpenTicket {
    pub ticket: u64,
    pub candidate: ShardCandidate,
    pub first_sent_at: BootTime,
    pub last_sent_at: BootTime,
    pub last_heard_at: BootTime,
    pub is_acknowledged: bool,
}

/// A permit that a coordinator granted; held until its release.
#[derive(Debug, Clone)]
pub struct HeldPermit {
    pub ticket: u64,
    pub candidate: ShardCandidate,
    pub target: TargetId,
    pub service: ServiceId,
    pub organisation: OrganisationId,
    pub deadline: Option<BootTime>,
}

impl PendingPermit {
    /// Message to the coordinator of an open ticket.
    pub fn build_request(&self, open_ticket: &OpenTicket, now: BootTime) -> PermitRequest {
        PermitRequest {
            ticket: open_ticket.ticket,
            service: self.requirements.service.clone(),
            failure_domain: open_ticket.candidate.failure_domain.clone(),
            shard: open_ticket.candidate.shard,
            organisation: self.requirements.organisation.clone(),
            expected_tokens: self.expected_tokens,
            prefix_hashes: self.prefix_hashes.clone(),
            firm_only: self.requirements.firm_only,
            deadline_ms: self.requirements.deadline.map(|deadline| whole_millis(deadline.saturating_sub(now))),
            excluded_targets: self.requirements.excluded_targets.clone(),
            least_version: self.requirements.least_version,
            wait_ms: whole_millis(self.expires_at.saturating_sub(now)),
        }
    }

    /// Records a refusal. `QueueFull` is the most informative code and is not replaced by a later one.
    pub fn record_refusal(&mut self, code: ResultCode) {
        self.can_retry |= matches!(code, ResultCode::NotReady | ResultCode::QueueTimeout);
        if self.failure_code != Some(ResultCode::QueueFull) {
            self.failure_code = Some(code);
        }
    }

    /// Inserts the coordinator that a refusing host named as the next candidate, unless the round already contains that
    /// host for the shard.
    pub fn follow_redirect(&mut self, coordinator: &str) {
        let Some(open_ticket) = &self.open_ticket else { return };
        let candidate = ShardCandidate { coordinator: coordinator.to_owned(), ..open_ticket.candidate.clone() };
        if !self.candidates.contains(&candidate) {
            self.candidates.insert(self.next_candidate, candidate);
        }
    }

    /// Removes the remaining candidates of a failure domain from this round.
    pub fn skip_domain(&mut self, failure_domain: &str) {
        let rest = self.candidates.split_off(self.next_candidate);
        self.candidates.extend(rest.into_iter().filter(|candidate| candidate.failure_domain != failure_domain));
    }
}

/// Selects at most [`MAX_PREFIX_HASHES`] hashes, evenly spread, with the first and the last one. A long prompt has
/// thousands of blocks, and a few hashes suffice to find about how much of the prompt a cache holds.
pub(super) fn select_prefix_hashes(hashes: &[u64]) -> Vec<u64> {
    if hashes.len() <= MAX_PREFIX_HASHES {
        return hashes.to_vec();
    }
    let last = hashes.len() - 1;
    (0..MAX_PREFIX_HASHES).map(|index| hashes[index * last / (MAX_PREFIX_HASHES - 1)]).collect()
}

/// Coordinator of a held permit's shard in the current view.
pub(super) fn find_current_coordinator(view: &ControlView, held: &HeldPermit) -> Option<HostId> {
    shard_coordinator(view, &held.service, &held.candidate.failure_domain, held.candidate.shard)
}
