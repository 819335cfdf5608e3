//! Decides which complete outputs of a batch job are graded next, and on which target of the plain service.
//!
//! Load pattern: the items of a step end in bursts, and the few targets of the plain service also run short requests of
//! callers, for which one slot of each target stays free. A trainer waits for whole groups, and most gradings take less
//! time than the output did, so the group that lacks the fewest items is graded first.
//!
//! - A grading request may run more than once, but a job has at most one attempt of each in flight.
//! - A target that is full or out of reach delays the grading; it does not count as a failure.
//! - A target that sends an error counts. The item is abandoned after as many errors as the routes allow, and each
//!   further attempt starts at once, so that a request that always fails holds up its group for a short time only.

use crate::fleet::fleet_view::TargetEntry;
use crate::fleet::target_load::LoadTable;
use crate::jobs::item_scheduler::{PlacementContext, Preference, list_candidates, pick_candidate};
use crate::prelude::*;

/// Slots of each target that gradings leave free for requests of callers.
const RESERVED_SLOTS: u32 = 1;

/// Delay before a grading that a target refused starts again.
const REFUSED_DELAY: Duration = Duration::from_millis(60);

/// Shortest timeout of an attempt.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest timeout of an attempt, when the route of the grading sets none.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// How an attempt to grade an output ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GradingOutcome {
    /// The target sent this score.
    Graded(String),
    /// The target did not run the request, for example because it was full.
    Refused,
    /// No complete response to the request arrived in time; the target may have run the request.
    Lost,
    /// The target reported an error.
    Failed,
    /// The request cannot be encoded.
    Impossible,
}

impl GradingOutcome {
    /// Value of the metric label `end`.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Graded(_) => "graded",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
        }
    }
}

/// What to do with an item after an attempt to grade its output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GradingDecision {
    /// The item is completed with this score.
    Complete(String),
    /// The item is abandoned.
    Abandon,
    /// A later attempt follows.
    Retry,
}

#[derive(Debug)]
struct PendingGrading {
    item: usize,
    /// When the next attempt may start; `None` while one is in flight.
    due: Option<BootTime>,
    failures: u32,
    lost: u32,
}

/// An attempt that the caller must start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GradingStart {
    /// Position of the item in the job.
    pub item: usize,
    /// Target as the view had it; a slot of it is counted for the attempt.
    pub target: TargetEntry,
    /// Time after which the attempt counts as lost.
    pub timeout: Duration,
}

/// Complete outputs of one job that have no score yet, in the order in which they became complete.
#[derive(Debug, Default)]
pub struct GradingQueue {
    pending: Vec<PendingGrading>,
}

impl GradingQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an item whose output is complete.
    pub fn add(&mut self, item: usize) {
        self.pending.push(PendingGrading { item, due: Some(BootTime::ZERO), failures: 0, lost: 0 });
    }

    /// Removes an item that needs no score any more; the outcome of an attempt in flight is then ignored.
    pub fn remove(&mut self, item: usize) {
        self.pending.retain(|pending| pending.item != item);
    }

    /// Whether an output waits for its next attempt, due or not.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.pending.iter().any(|pending| pending.due.is_some())
    }

    /// Items that wait for their next attempt, due or not.
    pub fn waiting_items(&self) -> impl Iterator<Item = usize> {
        self.pending.iter().filter(|pending| pending.due.is_some()).map(|pending| pending.item)
    }

    /// Items whose next attempt may start now. Items of the group that lacks the fewest come first; `open_group_items`
    /// has the number of open items in the group of each item of the job.
    #[must_use]
    pub fn due_items(&self, open_group_items: &[u32], now: BootTime) -> Vec<usize> {
        let due = self.pending.iter().filter(|pending| pending.due.is_some_and(|due| due <= now));
        let mut items: Vec<usize> = due.map(|pending| pending.item).collect();
        items.sort_by_key(|item| open_group_items[*item]);
        items
    }

    /// Chooses the attempts to start now for `due_items`, which are those of one service, and counts them as running,
    /// also in `loads`. `objective` and `limit` are those of the route of the grading requests.
    pub fn start_attempts(
        &mut self,
        due_items: &[usize],
        objective: Duration,
        limit: Option<Duration>,
        loads: &mut LoadTable,
        context: &PlacementContext<'_>,
    ) -> Vec<GradingStart> {
        let mut candidates = list_candidates(loads, context, RESERVED_SLOTS);
        let mut starts = Vec::new();
        for item in due_items {
            let Some(pending) = self.pending.iter_mut().find(|pending| pending.item == *item) else { continue };
            let Some(position) = pick_candidate(&mut candidates, &Preference::default(), loads, context) else { break };
            candidates[position].count_start(loads, context.clock.now);
            pending.due = None;
            let timeout = attempt_timeout(objective, limit, pending.lost);
            starts.push(GradingStart { item: *item, target: candidates[position].target.clone(), timeout });
        }
        starts
    }

    /// Records how an attempt ended; `None` when the item was removed meanwhile. The item is abandoned when
    /// `max_failures` of its attempts have failed.
    pub fn record_end(
        &mut self,
        item: usize,
        outcome: GradingOutcome,
        max_failures: u32,
        now: BootTime,
    ) -> Option<GradingDecision> {
        let position = self.pending.iter().position(|pending| pending.item == item)?;
        let pending = &mut self.pending[position];
        let decision = match outcome {
            GradingOutcome::Graded(score) => GradingDecision::Complete(score),
            GradingOutcome::Impossible => GradingDecision::Abandon,
            GradingOutcome::Failed => {
                pending.failures += 1;
                if pending.failures >= max_failures { GradingDecision::Abandon } else { GradingDecision::Retry }
            }
            GradingOutcome::Lost => {
                pending.lost += 1;
                GradingDecision::Retry
            }
            GradingOutcome::Refused => {
                pending.due = Some(now + REFUSED_DELAY);
                return Some(GradingDecision::Retry);
            }
        };
        match decision {
            GradingDecision::Retry => pending.due = Some(now),
            GradingDecision::Complete(_) | GradingDecision::Abandon => {
                self.pending.remove(position);
            }
        }
        Some(decision)
    }
}

/// Timeout of an attempt after `lost` earlier ones were lost: twice the objective of the route at first, and twice as
/// long after each loss, so that a request that takes long is answered in the end.
#[must_use]
pub fn attempt_timeout(objective: Duration, limit: Option<Duration>, lost: u32) -> Duration {
    let first = (objective * 2).max(MIN_ATTEMPT_TIMEOUT);
    first.saturating_mul(1 << lost.min(4)).min(limit.unwrap_or(MAX_ATTEMPT_TIMEOUT))
}
