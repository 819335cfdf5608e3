//! One dispatch shard at its coordinator: the targets, the queue of tickets, and the prompt prefixes sent to each
//! target.

use crate::dispatch::coordinated_target::CoordinatedTarget;
use crate::dispatch::ticket_table::{ShardName, TicketKey};
use crate::generated::peer_messages::PermitRequest;
use crate::policy::capacity_share::ShareHistory;
use crate::policy::fair_queue::{FairQueue, ServedItem};
use crate::policy::prefix_index::PrefixIndex;
use crate::policy::slot_reserve::SlotReserve;
use crate::policy::target_choice::{TargetCandidate, TargetRequirements, choose_target, is_eligible};
use crate::prelude::*;

/// Size of a shard's prefix index, in prefixes for each of [`SHARD_TARGETS`] targets. The cache of an engine holds
/// about as many.
const PREFIXES_PER_TARGET: usize = 1024;

/// Tickets that one pass over the queue may skip because no free target can serve them. Skipping keeps a ticket with
/// special requirements from blocking the tickets behind it.
const MAX_SKIPPED_TICKETS: usize = 8;

/// Shortest period over which the token rate is measured.
const TOKEN_RATE_PERIOD: Duration = Duration::from_secs(2);

/// Share of a prompt's prefixes, in percent, that must be in a target's cache for the prompt to count as cached.
const MIN_CACHED_PERCENT: u32 = 50;

/// Expected wait in a non-empty queue while the token rate is still unknown.
const DEFAULT_EXPECTED_WAIT: Duration = Duration::from_secs(1);

/// A ticket that waits in a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedTicket {
    /// Requester and ticket number.
    pub key: TicketKey,
    /// Failure domain of the requester.
    pub failure_domain: DomainId,
    /// Request as first received.
    pub request: PermitRequest,
    /// Time from which the ticket is refused instead of granted.
    pub expires_at: BootTime,
}

/// What the coordinator decided for a queued ticket.
#[derive(Debug)]
pub enum ShardDecision {
    /// The ticket gets a slot on this target. The flag tells whether the target's cache is expected to hold the prompt.
    Granted(QueuedTicket, TargetId, bool),
    /// The ticket gets no permit, for the reason that the code names.
    Refused(QueuedTicket, ResultCode),
}

/// State of one dispatch shard at its coordinator.
#[derive(Debug)]
pub struct CoordinatedShard {
    /// Service and index of the shard.
    pub name: ShardName,
    /// Targets, sorted by id.
    pub targets: Vec<CoordinatedTarget>,
    /// Tickets that wait for a slot.
    pub queue: FairQueue<QueuedTicket>,
    /// Prompt prefixes that the targets' caches are expected to hold.
    pub prefixes: PrefixIndex,
    /// Slots kept free for organisations that use less than their fair share.
    pub reserve: SlotReserve,
    token_rate: TokenRate,
}

impl CoordinatedShard {
    /// Creates a shard without targets whose queue holds at most `queue_limit` tickets.
    #[must_use]
    pub fn new(name: ShardName, queue_limit: usize) -> Self {
        let prefixes = PrefixIndex::new(SHARD_TARGETS * PREFIXES_PER_TARGET);
        let queue = FairQueue::new(queue_limit);
        Self {
            name,
            targets: Vec::new(),
            queue,
            prefixes,
            reserve: SlotReserve::default(),
            token_rate: TokenRate::default(),
        }
    }

    /// Returns the target with this id; `None` if another shard has it.
    pub fn target_mut(&mut self, id: &str) -> Option<&mut CoordinatedTarget> {
        let position = self.find_target(id).ok()?;
        Some(&mut self.targets[position])
    }

    /// Whether the target with this id is in this shard.
    #[must_use]
    pub fn has_target(&self, id: &str) -> bool {
        self.find_target(id).is_ok()
    }

    /// Adds the tokens that a released permit produced to the token rate, whatever the outcome of its request.
    pub fn record_tokens(&mut self, now: BootTime, tokens: u32) {
        self.token_rate.record(now, tokens);
    }

    /// Time that a new ticket of the organisation is expected to wait for a slot.
    ///
    /// While no target is usable, this is the shortest remaining delay before the capacity share of a target takes
    /// effect, or zero if the shard has no target.
    #[must_use]
    pub fn expected_wait(&self, now: BootTime, organisation: &str, weight: f64, shares: &ShareHistory) -> Duration {
        let has_usable_target =
            self.targets.iter().any(|target| target.is_in_rotation && target.limit(now, shares) > 0);
        if !has_usable_target {
            let waits = self.targets.iter().map(|target| shares.remaining_delay(now, target.coordinator_since));
            return waits.min().unwrap_or_default();
        }
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        match self.token_rate.tokens_per_second() {
            0 => DEFAULT_EXPECTED_WAIT,
            rate => self.queue.expected_wait(organisation, weight, rate),
        }
    }

    /// Whether a target of this shard can serve the request, now or later.
    #[must_use]
    pub fn can_serve(&self, now: BootTime, request: &PermitRequest, shares: &ShareHistory) -> bool {
        // A target can still load the required weight version, so its current version is no reason to refuse.
        let requirements = TargetRequirements {
            firm_only: request.firm_only,
            excluded_targets: &request.excluded_targets,
            least_version: None,
            matches: &[],
        };
        self.targets.iter().any(|target| is_eligible(&target.to_candidate(now, shares), &requirements))
    }

    /// Grants queued tickets while targets have free slots. `is_allowed` is called for each ticket before its grant; an
    /// error refuses the ticket with that code.
    pub fn serve_queue(
        &mut self,
        now: BootTime,
        shares: &ShareHistory,
        is_allowed: impl Fn(&QueuedTicket) -> Result<(), ResultCode>,
    ) -> Vec<ShardDecision> {
        let Self { targets, queue, prefixes, reserve, .. } = self;
        let mut candidates: Vec<TargetCandidate<'_>> =
            targets.iter().map(|target| target.to_candidate(now, shares)).collect();
        let slot_count: u32 =
            candidates.iter().filter(|candidate| candidate.is_in_rotation).map(|candidate| candidate.limit).sum();
        let mut free_count: u32 = candidates.iter().filter(|candidate| candidate.is_in_rotation).map(free_slots).sum();
        let mut decisions = Vec::new();
        let mut granted_positions: Vec<usize> = Vec::new();
        let mut skipped: Vec<ServedItem<QueuedTicket>> = Vec::new();
        while skipped.len() < MAX_SKIPPED_TICKETS && free_count > 0 {
            let may_take = |queued: &QueuedTicket| {
                let request = &queued.request;
                request.deadline_ms.is_some()
                    || reserve.can_take_slot(now, &request.organisation, free_count, slot_count)
            };
            let Some(served) = queue.pop_where(may_take) else { break };
            if let Err(code) = is_allowed(&served.item) {
                queue.correct(&served.item.request.organisation, served.tokens, 0);
                decisions.push(ShardDecision::Refused(served.item, code));
                continue;
            }
            let request = &served.item.request;
            let Some(ChosenTarget { position, is_cached }) = choose_with_prefixes(prefixes, &candidates, request)
            else {
                skipped.push(served);
                continue;
            };
            reserve.record_grant(&request.organisation);
            prefixes.record_sent(now, candidates[position].handle, &request.prefix_hashes);
            let target = candidates[position].id.to_owned();
            candidates[position].running += 1;
            free_count -= 1;
            granted_positions.push(position);
            decisions.push(ShardDecision::Granted(served.item, target, is_cached));
        }
        for served in skipped {
            queue.put_back(served);
        }
        for position in granted_positions {
            targets[position].add_permit();
        }
        decisions
    }

    fn find_target(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.entry.id.as_str().cmp(id))
    }
}

fn free_slots(candidate: &TargetCandidate<'_>) -> u32 {
    candidate.limit.saturating_sub(candidate.running)
}

struct ChosenTarget {
    position: usize,
    is_cached: bool,
}

fn choose_with_prefixes(
    prefixes: &PrefixIndex,
    candidates: &[TargetCandidate<'_>],
    request: &PermitRequest,
) -> Option<ChosenTarget> {
    let matches = prefixes.find_matches(&request.prefix_hashes);
    let requirements = TargetRequirements {
        firm_only: request.firm_only,
        excluded_targets: &request.excluded_targets,
        least_version: request.least_version,
        matches: &matches,
    };
    let position = choose_target(candidates, &requirements)?;
    let handle = candidates[position].handle;
    let is_cached = matches.iter().any(|matched| matched.target == handle && matched.percent >= MIN_CACHED_PERCENT);
    Some(ChosenTarget { position, is_cached })
}

/// Tokens per second: the average of the last period's rate and the smoothed rate before it.
#[derive(Debug, Clone, Copy, Default)]
struct TokenRate {
    period_start: BootTime,
    tokens: u64,
    rate: u64,
}

impl TokenRate {
    fn record(&mut self, now: BootTime, tokens: u32) {
        let elapsed = now.saturating_sub(self.period_start);
        if elapsed >= TOKEN_RATE_PERIOD {
            let millis = whole_millis(elapsed).max(1);
            let rate = self.tokens * 1000 / millis;
            self.rate = if self.rate == 0 { rate } else { u64::midpoint(self.rate, rate) };
            self.tokens = 0;
            self.period_start = now;
        }
        self.tokens += u64::from(tokens);
    }

    fn tokens_per_second(&self) -> u64 {
        self.rate
    }
}
