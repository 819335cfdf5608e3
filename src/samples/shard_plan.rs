//! Plan of one shard: which samples run, which groups are finished, and what goes into the next batch.
//!
//! The plan does no I/O: its inputs are results and the time, its outputs are copies to start or to cancel and batches
//! to write. A copy is one run of one sample; a straggler near the end of the shard gets a second copy, and the first
//! complete one counts.

use crate::generated::caller_messages::{FailedGroup, SampleRecord};
use crate::policy::straggler_plan::{SampleProgress, choose_hedged_samples, start_order};
use crate::prelude::*;
pub use crate::samples::batch_group::{BatchGroup, GroupResult};

/// Pause after the first failure of a sample; it doubles for each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failure, so that a step goes on soon after an outage ends.
const FAILURE_PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Pauses are shortened by up to this many hundredths, so that samples that failed together do not return together.
const PAUSE_SPREAD: u64 = 50;

/// One prompt of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupSpec {
    /// Name.
    pub group: String,
    /// Prompt.
    pub prompt: String,
    /// Number of samples.
    pub samples: u32,
    /// Most tokens of a sample.
    pub max_tokens: u32,
}

/// Position of a sample in the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SampleIndex {
    /// Position of its group.
    pub group: u32,
    /// Position in its group.
    pub index: u32,
}

/// Limits of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanLimits {
    /// Most copies that run at one time.
    pub concurrency: usize,
    /// Longest time that a finished group waits for a full batch.
    pub flush_after: Duration,
}

/// What the runner shall do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Start a copy of a sample.
    Start {
        /// Number of the copy, unique in the plan.
        copy: u64,
        /// Sample.
        slot: SampleIndex,
    },
    /// Cancel a copy; its result will be ignored.
    Cancel {
        /// Number of the copy.
        copy: u64,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum SampleState {
    Left { not_before: BootTime, failures: u32 },
    Running { failures: u32 },
    Done(SampleRecord),
}

#[derive(Debug, Clone, PartialEq)]
enum GroupState {
    Open(Vec<SampleState>),
    Finished { at: BootTime, result: GroupResult },
    Writing,
    Written,
}

#[derive(Debug, Clone, Copy)]
struct RunningCopy {
    copy: u64,
    slot: SampleIndex,
    started_at: BootTime,
}

/// State of one shard at its owner.
#[derive(Debug, Clone)]
pub struct ShardPlan {
    specs: Arc<[GroupSpec]>,
    limits: PlanLimits,
    groups: Vec<GroupState>,
    /// All samples in order.
    slots: Vec<SampleIndex>,
    /// Copies in flight, sorted by number.
    running: Vec<RunningCopy>,
    /// Time for each expected token of complete copies, sorted.
    token_times: Vec<Duration>,
    next_copy: u64,
}

impl ShardPlan {
    /// Plan for the groups of a shard of which `written` are in the manifest.
    #[must_use]
    pub fn new(specs: Arc<[GroupSpec]>, written: &[u32], limits: PlanLimits) -> Self {
        let groups = (0_u32..)
            .zip(specs.iter())
            .map(|(position, spec)| if written.contains(&position) { GroupState::Written } else { open_group(spec) })
            .collect();
        let slots = (0_u32..)
            .zip(specs.iter())
            .flat_map(|(group, spec)| (0..spec.samples).map(move |index| SampleIndex { group, index }))
            .collect();
        Self { specs, limits, groups, slots, running: Vec::new(), token_times: Vec::new(), next_copy: 0 }
    }

    /// Copies to start now.
    pub fn start_copies(&mut self, now: BootTime) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        while self.running.len() < self.limits.concurrency {
            let Some(slot) = self.next_left(now).or_else(|| self.next_straggler(now)) else { break };
            actions.push(self.start_copy(slot, now));
        }
        actions
    }

    fn start_copy(&mut self, slot: SampleIndex, now: BootTime) -> PlanAction {
        let copy = self.next_copy;
        self.next_copy += 1;
        self.running.push(RunningCopy { copy, slot, started_at: now });
        if let Some(state) = self.sample_mut(slot)
            && let SampleState::Left { failures, .. } = *state
        {
            *state = SampleState::Running { failures };
        }
        PlanAction::Start { copy, slot }
    }

    /// Sample that waits, longest expected first.
    fn next_left(&self, now: BootTime) -> Option<SampleIndex> {
        let is_due = |state: &SampleState| matches!(state, SampleState::Left { not_before, .. } if *not_before <= now);
        let order = start_order(&self.progress(is_due));
        order.first().map(|position| self.slots[*position])
    }

    fn next_straggler(&self, now: BootTime) -> Option<SampleIndex> {
        let token_time = *self.token_times.get(self.token_times.len() / 2)?;
        let progress = self.progress(|state| matches!(state, SampleState::Left { .. }));
        choose_hedged_samples(&progress, token_time, now).first().map(|position| self.slots[*position])
    }

    /// Progress of all samples, in the order of `slots`; those for which `is_waiting` does not hold, and which do not
    /// run, count as done.
    fn progress(&self, is_waiting: impl Fn(&SampleState) -> bool) -> Vec<SampleProgress> {
        let progress = |slot: &SampleIndex| {
            let state = match &self.groups[position_of(*slot)] {
                GroupState::Open(states) => states.get(slot.index as usize),
                _ => None,
            };
            let running = self.running.iter().filter(|running| running.slot == *slot);
            let started_at = running.clone().map(|running| running.started_at).min();
            SampleProgress {
                expected_tokens: self.specs[position_of(*slot)].max_tokens,
                started_at,
                copies: u32::try_from(running.count()).unwrap_or(u32::MAX),
                is_done: started_at.is_none() && !state.is_some_and(&is_waiting),
            }
        };
        self.slots.iter().map(progress).collect()
    }

    /// Takes the result of a copy; returns the copies to cancel. The result of a cancelled copy is ignored.
    pub fn take_result(
        &mut self,
        copy: u64,
        result: Result<SampleRecord, ResultCode>,
        now: BootTime,
    ) -> Vec<PlanAction> {
        let Ok(position) = self.running.binary_search_by_key(&copy, |running| running.copy) else {
            return Vec::new();
        };
        let finished = self.running.remove(position);
        match result {
            Ok(sample) => self.finish_sample(finished, sample, now),
            Err(code) if is_final(code) => self.fail_group(finished.slot, code, now),
            Err(_) => {
                self.fail_copy(finished, now);
                Vec::new()
            }
        }
    }

    fn finish_sample(&mut self, finished: RunningCopy, sample: SampleRecord, now: BootTime) -> Vec<PlanAction> {
        let expected_tokens = self.specs[position_of(finished.slot)].max_tokens.max(1);
        let token_time = now.saturating_sub(finished.started_at) / expected_tokens;
        let place = self.token_times.partition_point(|other| *other < token_time);
        self.token_times.insert(place, token_time);
        if let Some(state) = self.sample_mut(finished.slot) {
            *state = SampleState::Done(sample);
        }
        let actions = self.cancel_copies(|running| running.slot == finished.slot);
        self.finish_group(position_of(finished.slot), now);
        actions
    }

    fn finish_group(&mut self, position: usize, now: BootTime) {
        let GroupState::Open(states) = &self.groups[position] else { return };
        let done: Vec<SampleRecord> = states
            .iter()
            .filter_map(|state| match state {
                SampleState::Done(sample) => Some(sample.clone()),
                _ => None,
            })
            .collect();
        if done.len() == states.len() {
            self.groups[position] = GroupState::Finished { at: now, result: GroupResult::Samples(done) };
        }
    }

    fn fail_group(&mut self, slot: SampleIndex, code: ResultCode, now: BootTime) -> Vec<PlanAction> {
        let position = position_of(slot);
        let group = self.specs[position].group.clone();
        let result = GroupResult::Failed(FailedGroup { group, code: code.number() });
        self.groups[position] = GroupState::Finished { at: now, result };
        self.cancel_copies(|running| running.slot.group == slot.group)
    }

    fn fail_copy(&mut self, failed: RunningCopy, now: BootTime) {
        if self.running.iter().any(|running| running.slot == failed.slot) {
            return;
        }
        if let Some(state) = self.sample_mut(failed.slot)
            && let SampleState::Running { failures } = *state
        {
            let not_before = now + failure_pause(failures, failed.copy);
            *state = SampleState::Left { not_before, failures: failures + 1 };
        }
    }

    fn cancel_copies(&mut self, is_cancelled: impl Fn(&RunningCopy) -> bool) -> Vec<PlanAction> {
        let cancelled = self.running.iter().filter(|running| is_cancelled(running));
        let actions = cancelled.map(|running| PlanAction::Cancel { copy: running.copy }).collect();
        self.running.retain(|running| !is_cancelled(running));
        actions
    }

    /// Cancels all copies.
    pub fn cancel_all(&mut self) -> Vec<PlanAction> {
        self.cancel_copies(|_| true)
    }

    /// Takes the groups of the next batch, when one is due: it is full, its first group has waited for long enough,
    /// or no further group will come. A group with more than [`BATCH_SAMPLES`] samples is a batch of its own.
    pub fn take_batch(&mut self, now: BootTime) -> Option<Vec<BatchGroup>> {
        let waiting = self.finished_groups();
        let oldest = waiting.first()?.0;
        let samples: usize = waiting.iter().map(|(_, position)| self.finished_samples(*position)).sum();
        let is_last = !self.groups.iter().any(|group| matches!(group, GroupState::Open(_)));
        let is_late = now.saturating_sub(oldest) >= self.limits.flush_after;
        if samples < BATCH_SAMPLES && !is_last && !is_late {
            return None;
        }
        let mut taken = 0;
        let mut batch = Vec::new();
        for (_, position) in waiting {
            let size = self.finished_samples(position);
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
            GroupState::Finished { result, .. } => Some(BatchGroup { group: slot_of(position, 0).group, result }),
            other => {
                self.groups[position] = other;
                None
            }
        }
    }

    /// Finished groups that are in no batch, with the time they finished, oldest first.
    fn finished_groups(&self) -> Vec<(BootTime, usize)> {
        let mut finished: Vec<(BootTime, usize)> = self
            .groups
            .iter()
            .enumerate()
            .filter_map(|(position, group)| match group {
                GroupState::Finished { at, .. } => Some((*at, position)),
                _ => None,
            })
            .collect();
        finished.sort_unstable();
        finished
    }

    fn finished_samples(&self, position: usize) -> usize {
        match &self.groups[position] {
            GroupState::Finished { result, .. } => result.samples(),
            _ => 0,
        }
    }

    /// Records which groups are in the manifest now. Written groups that are missing in `written`, because their batch
    /// became stale, are open again.
    pub fn set_written(&mut self, written: &[u32]) {
        for (position, group) in (0_u32..).zip(self.groups.iter_mut()) {
            let is_written = written.contains(&position);
            if is_written {
                *group = GroupState::Written;
            } else if *group == GroupState::Written {
                *group = open_group(&self.specs[position as usize]);
            }
        }
    }

    /// Whether all groups are in the manifest.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.groups.iter().all(|group| matches!(group, GroupState::Written))
    }

    /// Whether copies are in flight or finished groups are not in the manifest.
    #[must_use]
    pub fn has_unwritten_work(&self) -> bool {
        let is_unwritten = |group: &GroupState| matches!(group, GroupState::Finished { .. } | GroupState::Writing);
        !self.running.is_empty() || self.groups.iter().any(is_unwritten)
    }

    /// Groups of the shard.
    #[must_use]
    pub fn specs(&self) -> &Arc<[GroupSpec]> {
        &self.specs
    }

    fn sample_mut(&mut self, slot: SampleIndex) -> Option<&mut SampleState> {
        match &mut self.groups[position_of(slot)] {
            GroupState::Open(states) => states.get_mut(slot.index as usize),
            _ => None,
        }
    }
}

/// Whether a result will be the same for every further run.
fn is_final(code: ResultCode) -> bool {
    matches!(code, ResultCode::Quarantined | ResultCode::BadRequest | ResultCode::TooLarge)
}

fn failure_pause(failures: u32, copy: u64) -> Duration {
    let pause = FAILURE_PAUSE.saturating_mul(2_u32.saturating_pow(failures)).min(FAILURE_PAUSE_LIMIT);
    let spread = copy.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    let hundredths = 100 - u32::try_from(spread % PAUSE_SPREAD).unwrap_or_default();
    pause * hundredths / 100
}

fn open_group(spec: &GroupSpec) -> GroupState {
    let left = SampleState::Left { not_before: BootTime::ZERO, failures: 0 };
    GroupState::Open(vec![left; spec.samples as usize])
}

fn position_of(slot: SampleIndex) -> usize {
    slot.group as usize
}

fn slot_of(position: usize, index: usize) -> SampleIndex {
    let narrow = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
    SampleIndex { group: narrow(position), index: narrow(index) }
}
