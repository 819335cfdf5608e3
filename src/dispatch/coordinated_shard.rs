//! One shard at its home: targets, queue, and what it sent where.

use crate::dispatch::coordinated_target::CoordinatedTarget;
use crate::dispatch::ticket_table::{ShardName, TicketKey};
use crate::generated::peer_messages::PermitRequest;
use crate::policy::capacity_share::ShareHistory;
use crate::policy::fair_queue::{FairQueue, ServedItem};
use crate::policy::prefix_index::PrefixIndex;
use crate::policy::slot_reserve::SlotReserve;
use crate::policy::target_choice::{TargetCandidate, TargetRequirements, choose_target, is_eligible};
use crate::prelude::*;

/// Prefixes remembered for each target; engines keep about as many in their own cache.
const PREFIXES_A_TARGET: usize = 1024;

/// Items looked at behind the first one that no free target can serve, so that one special need does not block all.
const SKIP_LIMIT: usize = 8;

/// Period over which the token rate is measured.
const RATE_PERIOD: Duration = Duration::from_secs(2);

/// Part of a prompt in the cache from which its first token counts as that of a cached prompt.
const CACHED_PERCENT: u32 = 50;

/// Expected wait in a queue that was not empty before anything was finished.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// A request that waits for a target.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedTicket {
    /// Asker and ticket.
    pub key: TicketKey,
    /// Asker's failure domain.
    pub failure_domain: DomainId,
    /// Request.
    pub request: PermitRequest,
    /// End of its wait.
    pub expires_at: BootTime,
}

/// What became of a waiting ask.
#[derive(Debug)]
pub enum ShardDecision {
    /// It may use this target; whether its prompt is expected in the target's cache.
    Granted(QueuedTicket, TargetId, bool),
    /// It may not run.
    Refused(QueuedTicket, ResultCode),
}

/// State of one shard.
#[derive(Debug)]
pub struct CoordinatedShard {
    /// Name.
    pub name: ShardName,
    /// Targets, sorted by id.
    pub targets: Vec<CoordinatedTarget>,
    /// Waiting asks.
    pub queue: FairQueue<QueuedTicket>,
    /// Cached prefixes.
    pub prefixes: PrefixIndex,
    /// Slots kept for organisations below their share.
    pub reserve: SlotReserve,
    rate: TokenRate,
}

impl CoordinatedShard {
    /// Shard without targets.
    #[must_use]
    pub fn new(name: ShardName, queue_limit: usize) -> Self {
        let prefixes = PrefixIndex::new(SHARD_TARGETS * PREFIXES_A_TARGET);
        let queue = FairQueue::new(queue_limit);
        Self { name, targets: Vec::new(), queue, prefixes, reserve: SlotReserve::default(), rate: TokenRate::default() }
    }

    /// Target with this id.
    pub fn target_mut(&mut self, id: &str) -> Option<&mut CoordinatedTarget> {
        let position = self.find_target(id).ok()?;
        Some(&mut self.targets[position])
    }

    /// Whether a target is in this shard.
    #[must_use]
    pub fn has_target(&self, id: &str) -> bool {
        self.find_target(id).is_ok()
    }

    /// Counts tokens of a finished request.
    pub fn count_tokens(&mut self, now: BootTime, tokens: u32) {
        self.rate.add(now, tokens);
    }

    /// Wait that a new ask of the organisation must expect.
    #[must_use]
    pub fn expected_wait(&self, now: BootTime, organisation: &str, weight: f64, shares: &ShareHistory) -> Duration {
        let is_usable = self.targets.iter().any(|target| target.is_in_rotation && target.limit(now, shares) > 0);
        if !is_usable {
            let waits = self.targets.iter().map(|target| shares.settle_left(now, target.coordinator_since));
            return waits.min().unwrap_or_default();
        }
        if self.queue.is_empty() {
            return Duration::ZERO;
        }
        match self.rate.tokens_per_second() {
            0 => UNKNOWN_WAIT,
            rate => self.queue.expected_wait(organisation, weight, rate),
        }
    }

    /// Whether a target of this shard could serve the request, now or after waiting.
    #[must_use]
    pub fn can_serve(&self, now: BootTime, request: &PermitRequest, shares: &ShareHistory) -> bool {
        // A target can still reach the weight version, so the version is no reason to refuse.
        let need = TargetRequirements {
            firm_only: request.firm_only,
            excluded_targets: &request.excluded_targets,
            least_version: None,
            matches: &[],
        };
        self.targets.iter().any(|target| is_eligible(&target.load(now, shares), &need))
    }

    /// Takes asks out of the queue while targets have room. `is_allowed` says whether an ask may be granted.
    pub fn serve(
        &mut self,
        now: BootTime,
        shares: &ShareHistory,
        is_allowed: impl Fn(&QueuedTicket) -> Result<(), ResultCode>,
    ) -> Vec<ShardDecision> {
        let Self { targets, queue, prefixes, reserve, .. } = self;
        let mut loads: Vec<TargetCandidate<'_>> = targets.iter().map(|target| target.load(now, shares)).collect();
        let slots: u32 = loads.iter().filter(|load| load.is_in_rotation).map(|load| load.limit).sum();
        let mut free: u32 = loads.iter().filter(|load| load.is_in_rotation).map(free_slots).sum();
        let mut decisions = Vec::new();
        let mut granted: Vec<usize> = Vec::new();
        let mut skipped: Vec<ServedItem<QueuedTicket>> = Vec::new();
        while skipped.len() < SKIP_LIMIT && free > 0 {
            let may_take = |ask: &QueuedTicket| {
                let request = &ask.request;
                request.deadline_ms.is_some() || reserve.may_take(now, &request.organisation, free, slots)
            };
            let Some(served) = queue.pop_where(may_take) else { break };
            if let Err(code) = is_allowed(&served.item) {
                queue.correct(&served.item.request.organisation, served.tokens, 0);
                decisions.push(ShardDecision::Refused(served.item, code));
                continue;
            }
            let request = &served.item.request;
            let Some(ShardChoice { position, is_cached }) = choose(prefixes, &loads, request) else {
                skipped.push(served);
                continue;
            };
            reserve.record_grant(&request.organisation);
            prefixes.record_sent(now, loads[position].handle, &request.prefix_hashes);
            let target = loads[position].id.to_owned();
            loads[position].running += 1;
            free -= 1;
            granted.push(position);
            decisions.push(ShardDecision::Granted(served.item, target, is_cached));
        }
        for served in skipped {
            queue.put_back(served);
        }
        for position in granted {
            targets[position].add_permit();
        }
        decisions
    }

    fn find_target(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.entry.id.as_str().cmp(id))
    }
}

fn free_slots(load: &TargetCandidate<'_>) -> u32 {
    load.limit.saturating_sub(load.running)
}

struct ShardChoice {
    position: usize,
    is_cached: bool,
}

fn choose(prefixes: &PrefixIndex, loads: &[TargetCandidate<'_>], request: &PermitRequest) -> Option<ShardChoice> {
    let matches = prefixes.find_matches(&request.prefix_hashes);
    let need = TargetRequirements {
        firm_only: request.firm_only,
        excluded_targets: &request.excluded_targets,
        least_version: request.least_version,
        matches: &matches,
    };
    let position = choose_target(loads, &need)?;
    let handle = loads[position].handle;
    let is_cached = matches.iter().any(|matched| matched.target == handle && matched.percent >= CACHED_PERCENT);
    Some(ShardChoice { position, is_cached })
}

/// Tokens per second, smoothed over the last periods.
#[derive(Debug, Clone, Copy, Default)]
struct TokenRate {
    period_start: BootTime,
    tokens: u64,
    rate: u64,
}

impl TokenRate {
    fn add(&mut self, now: BootTime, tokens: u32) {
        let elapsed = now.saturating_sub(self.period_start);
        if elapsed >= RATE_PERIOD {
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
