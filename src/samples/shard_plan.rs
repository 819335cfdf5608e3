//! Plan of one shard: which samples run, which groups are finished, and what goes into the next batch.
//!
//! The plan does no I/O: its inputs are results and the time, its outputs are runs to start or to cancel and batches to
//! write. A straggler near the end of the shard gets a second, hedged run, and the first complete result counts.

use crate::generated::caller_messages::{FailedGroup, SampleRecord};
use crate::policy::straggler_plan::{SampleProgress, choose_hedged_samples, start_order};
use crate::prelude::*;
pub use crate::samples::batch_group::{BatchGroup, GroupResult};

/// Backoff after the first failure of a sample; each further failure doubles the backoff.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(200);

/// Upper bound of the backoff, so that a step continues soon after an outage ends.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// Jitter: each backoff is shortened by less than this many percent, so that samples that failed together are not all
/// started again at one time.
const BACKOFF_SPREAD_PERCENT: u64 = 50;

/// A group of the shard: one prompt and the samples that are wanted for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// Name of the group, unique in the step.
    pub group: String,
    /// Prompt of all samples of the group.
    pub prompt: String,
    /// Number of samples, at least 1.
    pub samples: u32,
    /// Maximum number of generated tokens in a sample; also used as the estimate of the number of tokens.
    pub max_tokens: u32,
}

/// Position of a sample in the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SamplePosition {
    /// Position of the sample's group in the shard.
    pub group: u32,
    /// Position of the sample in the group.
    pub index: u32,
}

/// Limits of the plan of one shard, derived from [`crate::samples::shard_context::ShardLimits`].
#[derive(Debug, Clone, Copy)]
pub struct PlanLimits {
    /// Maximum number of concurrent runs in the shard, hedged runs included.
    pub concurrency: usize,
    /// Time after which a finished group goes into a batch although the batch is not full.
    pub flush_timeout: Duration,
}

/// What the runner must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Start a run; a hedged run if the sample has a run in progress.
    Start {
        /// Number of the run, unique in the plan.
        run_id: u64,
        /// Position of the sample in the shard.
        sample_position: SamplePosition,
    },
    /// Cancel a run; the plan ignores a result that still comes from it.
    Cancel {
        /// Number of the run from [`PlanAction::Start`].
        run_id: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum SampleState {
    Waiting { not_before: BootTime, failures: u32 },
    Running { failures: u32 },
    Done(SampleRecord),
}

#[derive(Debug, Clone, PartialEq)]
enum GroupState {
    /// Samples are missing; one state for each sample.
    Open(Vec<SampleState>),
    /// Complete or failed, and in no batch yet.
    Finished { finished_at: BootTime, result: GroupResult },
    /// In the batch that is being written.
    Writing,
    /// In the manifest.
    Written,
}

#[derive(Debug, Clone, Copy)]
struct SampleRun {
    run_id: u64,
    sample_position: SamplePosition,
    started_at: BootTime,
}

/// State of one shard at its owner.
#[derive(Debug, Clone)]
pub struct ShardPlan {
    specs: Arc<[GroupSpec]>,
    limits: PlanLimits,
    groups: Vec<GroupState>,
    /// All samples of the shard, by group and position in the group.
    sample_positions: Vec<SamplePosition>,
    /// Runs in progress, sorted by `run_id`.
    runs: Vec<SampleRun>,
    /// Durations of the complete runs, each divided by the number of expected tokens; sorted.
    token_times: Vec<Duration>,
    next_run_id: u64,
}

impl ShardPlan {
    /// Creates the plan of a shard. `written` has the positions of the groups that are in the manifest.
    #[must_use]
    pub fn new(specs: Arc<[GroupSpec]>, written: &[u32], limits: PlanLimits) -> Self {
        let groups = (0_u32..)
            .zip(specs.iter())
            .map(
                |(position, spec)| if written.contains(&position) { GroupState::Written } else { new_open_group(spec) },
            )
            .collect();
        let sample_positions = (0_u32..)
            .zip(specs.iter())
            .flat_map(|(group, spec)| (0..spec.samples).map(move |index| SamplePosition { group, index }))
            .collect();
        Self { specs, limits, groups, sample_positions, runs: Vec::new(), token_times: Vec::new(), next_run_id: 0 }
    }

    /// Starts waiting samples, then hedged runs, up to the concurrency limit.
    pub fn start_runs(&mut self, now: BootTime) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        while self.runs.len() < self.limits.concurrency {
            let Some(sample_position) = self.next_waiting(now).or_else(|| self.next_hedged(now)) else { break };
            actions.push(self.start_run(sample_position, now));
        }
        actions
    }

    fn start_run(&mut self, sample_position: SamplePosition, now: BootTime) -> PlanAction {
        let run_id = self.next_run_id;
        self.next_run_id += 1;
        self.runs.push(SampleRun { run_id, sample_position, started_at: now });
        if let Some(state) = self.sample_state_mut(sample_position)
            && let SampleState::Waiting { failures, .. } = *state
        {
            *state = SampleState::Running { failures };
        }
        PlanAction::Start { run_id, sample_position }
    }

    /// Waiting sample that starts next: the one with the most expected tokens. Samples in backoff are left out.
    fn next_waiting(&self, now: BootTime) -> Option<SamplePosition> {
        let is_due =
            |state: &SampleState| matches!(state, SampleState::Waiting { not_before, .. } if *not_before <= now);
        let order = start_order(&self.progress(is_due));
        order.first().map(|position| self.sample_positions[*position])
    }

    /// Straggler that gets the next hedged run. The usual duration of a token is the median of `token_times`.
    fn next_hedged(&self, now: BootTime) -> Option<SamplePosition> {
        let token_time = *self.token_times.get(self.token_times.len() / 2)?;
        let progress = self.progress(|state| matches!(state, SampleState::Waiting { .. }));
        choose_hedged_samples(&progress, token_time, now).first().map(|position| self.sample_positions[*position])
    }

    /// Progress of all samples, in the order of `sample_positions`. Of the samples without a run in progress, those
    /// whose state fulfils `is_waiting` count as waiting, the others as done. The callers differ in whether a sample in
    /// backoff is waiting.
    fn progress(&self, is_waiting: impl Fn(&SampleState) -> bool) -> Vec<SampleProgress> {
        let progress = |sample_position: &SamplePosition| {
            let state = match &self.groups[group_position(*sample_position)] {
                GroupState::Open(states) => states.get(sample_position.index as usize),
                _ => None,
            };
            let runs = self.runs.iter().filter(|run| run.sample_position == *sample_position);
            let started_at = runs.clone().map(|run| run.started_at).min();
            SampleProgress {
                expected_tokens: self.specs[group_position(*sample_position)].max_tokens,
                started_at,
                copies: u32::try_from(runs.count()).unwrap_or(u32::MAX),
                is_done: started_at.is_none() && !state.is_some_and(&is_waiting),
            }
        };
        self.sample_positions.iter().map(progress).collect()
    }

    /// Handles the result of a run and returns the runs to cancel. The result of a cancelled run is ignored.
    pub fn handle_result(
        &mut self,
        run_id: u64,
        result: Result<SampleRecord, ResultCode>,
        now: BootTime,
    ) -> Vec<PlanAction> {
        let Ok(position) = self.runs.binary_search_by_key(&run_id, |run| run.run_id) else {
            return Vec::new();
        };
        let finished_run = self.runs.remove(position);
        match result {
            Ok(sample) => self.finish_sample(finished_run, sample, now),
            Err(code) if is_permanent(code) => self.fail_group(finished_run.sample_position, code, now),
            Err(_) => {
                self.fail_run(finished_run, now);
                Vec::new()
            }
        }
    }

    fn finish_sample(&mut self, finished_run: SampleRun, sample: SampleRecord, now: BootTime) -> Vec<PlanAction> {
        let expected_tokens = self.specs[group_position(finished_run.sample_position)].max_tokens.max(1);
        let token_time = now.saturating_sub(finished_run.started_at) / expected_tokens;
        let place = self.token_times.partition_point(|other| *other < token_time);
        self.token_times.insert(place, token_time);
        if let Some(state) = self.sample_state_mut(finished_run.sample_position) {
            *state = SampleState::Done(sample);
        }
        let actions = self.cancel_runs(|run| run.sample_position == finished_run.sample_position);
        self.finish_group_if_done(group_position(finished_run.sample_position), now);
        actions
    }

    fn finish_group_if_done(&mut self, position: usize, now: BootTime) {
        let GroupState::Open(states) = &self.groups[position] else { return };
        let done: Vec<SampleRecord> = states
            .iter()
            .filter_map(|state| match state {
                SampleState::Done(sample) => Some(sample.clone()),
                _ => None,
            })
            .collect();
        if done.len() == states.len() {
            self.groups[position] = GroupState::Finished { finished_at: now, result: GroupResult::Samples(done) };
        }
    }

    fn fail_group(&mut self, sample_position: SamplePosition, code: ResultCode, now: BootTime) -> Vec<PlanAction> {
        let position = group_position(sample_position);
        let group = self.specs[position].group.clone();
        let result = GroupResult::Failed(FailedGroup { group, code: code.number() });
        self.groups[position] = GroupState::Finished { finished_at: now, result };
        self.cancel_runs(|run| run.sample_position.group == sample_position.group)
    }

    fn fail_run(&mut self, failed_run: SampleRun, now: BootTime) {
        if self.runs.iter().any(|run| run.sample_position == failed_run.sample_position) {
            return;
        }
        if let Some(state) = self.sample_state_mut(failed_run.sample_position)
            && let SampleState::Running { failures } = *state
        {
            let not_before = now + failure_backoff(failures, failed_run.run_id);
            *state = SampleState::Waiting { not_before, failures: failures + 1 };
        }
    }

    fn cancel_runs(&mut self, is_cancelled: impl Fn(&SampleRun) -> bool) -> Vec<PlanAction> {
        let cancelled = self.runs.iter().filter(|run| is_cancelled(run));
        let actions = cancelled.map(|run| PlanAction::Cancel { run_id: run.run_id }).collect();
        self.runs.retain(|run| !is_cancelled(run));
        actions
    }

    /// Cancels all runs in progress, when the runner of the shard ends.
    pub fn cancel_all_runs(&mut self) -> Vec<PlanAction> {
        self.cancel_runs(|_| true)
    }

    /// Takes the groups of the next batch out of the finished groups. Returns `None` unless the finished groups fill a
    /// batch, the oldest of them has waited for the flush timeout, or no group is open any more. A group with more than
    /// [`BATCH_SAMPLES`] samples is a batch of its own.
    pub fn take_batch(&mut self, now: BootTime) -> Option<Vec<BatchGroup>> {
        let finished = self.finished_groups();
        let oldest = finished.first()?.0;
        let samples: usize = finished.iter().map(|(_, position)| self.count_finished_samples(*position)).sum();
        let has_no_open_group = !self.groups.iter().any(|group| matches!(group, GroupState::Open(_)));
        let is_flush_due = now.saturating_sub(oldest) >= self.limits.flush_timeout;
        if samples < BATCH_SAMPLES && !has_no_open_group && !is_flush_due {
            return None;
        }
        let mut taken = 0;
        let mut batch = Vec::new();
        for (_, position) in finished {
            let size = self.count_finished_samples(position);
            if !batch.is_empty() && taken + size > BATCH_SAMPLES {
                break;
            }
            taken += size;
            batch.extend(self.take_group(position));
        }
        Some(batch)
    }

    fn take_group(&mut self, position: usize) -> Option<BatchGroup> {
        match std::mem::replace(&mut self.groups[position], GroupState::Writing) {
            GroupState::Finished { result, .. } => {
                Some(BatchGroup { group: sample_position_at(position, 0).group, result })
            }
            other => {
                self.groups[position] = other;
                None
            }
        }
    }

    /// Positions of the finished groups that are in no batch, with the times at which they finished, oldest first.
    fn finished_groups(&self) -> Vec<(BootTime, usize)> {
        let mut finished: Vec<(BootTime, usize)> = self
            .groups
            .iter()
            .enumerate()
            .filter_map(|(position, group)| match group {
                GroupState::Finished { finished_at, .. } => Some((*finished_at, position)),
                _ => None,
            })
            .collect();
        finished.sort_unstable();
        finished
    }

    fn count_finished_samples(&self, position: usize) -> usize {
        match &self.groups[position] {
            GroupState::Finished { result, .. } => result.samples(),
            _ => 0,
        }
    }

    /// Records which groups are in the manifest now. Groups that were written and are missing in `written`, because
    /// their batch became stale, are opened again.
    pub fn set_written_groups(&mut self, written: &[u32]) {
        for (position, group) in (0_u32..).zip(self.groups.iter_mut()) {
            let is_written = written.contains(&position);
            if is_written {
                *group = GroupState::Written;
            } else if *group == GroupState::Written {
                *group = new_open_group(&self.specs[position as usize]);
            }
        }
    }

    /// Whether all groups are in the manifest.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.groups.iter().all(|group| matches!(group, GroupState::Written))
    }

    /// Whether runs are in progress or finished groups are not in the manifest yet.
    #[must_use]
    pub fn has_unwritten_work(&self) -> bool {
        let is_unwritten = |group: &GroupState| matches!(group, GroupState::Finished { .. } | GroupState::Writing);
        !self.runs.is_empty() || self.groups.iter().any(is_unwritten)
    }

    /// Groups of the shard, in the order of the step.
    #[must_use]
    pub fn specs(&self) -> &Arc<[GroupSpec]> {
        &self.specs
    }

    fn sample_state_mut(&mut self, sample_position: SamplePosition) -> Option<&mut SampleState> {
        match &mut self.groups[group_position(sample_position)] {
            GroupState::Open(states) => states.get_mut(sample_position.index as usize),
            _ => None,
        }
    }
}

/// Whether a failure would be the same in every further run of the sample.
fn is_permanent(code: ResultCode) -> bool {
    matches!(code, ResultCode::Quarantined | ResultCode::BadRequest | ResultCode::TooLarge)
}

fn failure_backoff(failures: u32, run_id: u64) -> Duration {
    let backoff = INITIAL_FAILURE_BACKOFF.saturating_mul(2_u32.saturating_pow(failures)).min(MAX_FAILURE_BACKOFF);
    let spread = run_id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    let percent = 100 - u32::try_from(spread % BACKOFF_SPREAD_PERCENT).unwrap_or_default();
    backoff * percent / 100
}

fn new_open_group(spec: &GroupSpec) -> GroupState {
    let waiting = SampleState::Waiting { not_before: BootTime::ZERO, failures: 0 };
    GroupState::Open(vec![waiting; spec.samples as usize])
}

fn group_position(sample_position: SamplePosition) -> usize {
    sample_position.group as usize
}

fn sample_position_at(position: usize, index: usize) -> SamplePosition {
    let narrow = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
    SamplePosition { group: narrow(position), index: narrow(index) }
}
