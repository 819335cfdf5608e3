//! Order in which the samples of a training step start, and the choice of stragglers that get a hedged run.
//!
//! A step ends with its last sample. The samples with the most expected tokens therefore start first. A sample that
//! runs far longer than expected when nearly all others are finished gets a second, hedged run on another target, and
//! the first complete result counts.

use crate::prelude::*;

/// Percentage of the samples that must be finished before hedged runs start.
const HEDGE_AFTER_PERCENT: usize = 90;

/// Upper bound of concurrent hedged runs, in percent of the samples; at least one is allowed.
const MAX_HEDGED_PERCENT: usize = 5;

/// A sample is late when it runs longer than this many times its expected duration.
const LATE_FACTOR: u32 = 2;

/// Progress of one sample. The functions of this module get the samples of one step shard, which is a part of a
/// training step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampleProgress {
    /// Number of tokens that the sample is expected to generate.
    pub expected_tokens: u32,
    /// Start of the sample's earliest run; `None` while it waits.
    pub started_at: Option<BootTime>,
    /// Number of runs in progress; more than 1 with a hedged run.
    pub copies: u32,
    /// Whether the sample counts as finished: it has a complete result, its group has failed, or a delay after a
    /// failure still runs.
    pub is_done: bool,
}

/// Positions of the waiting samples, those with the most expected tokens first; equal ones keep their order.
#[must_use]
pub fn start_order(samples: &[SampleProgress]) -> Vec<usize> {
    let is_waiting = |sample: &SampleProgress| !sample.is_done && sample.started_at.is_none();
    let mut order: Vec<usize> = (0..samples.len()).filter(|position| is_waiting(&samples[*position])).collect();
    order.sort_by_key(|position| std::cmp::Reverse(samples[*position].expected_tokens));
    order
}

/// Positions of the samples that should get a hedged run now, the longest running first. Empty while a sample waits or
/// too few are finished. `token_time` is the usual duration of one token.
#[must_use]
pub fn choose_hedged_samples(samples: &[SampleProgress], token_time: Duration, now: BootTime) -> Vec<usize> {
    let finished = samples.iter().filter(|sample| sample.is_done).count();
    let has_waiting = samples.iter().any(|sample| !sample.is_done && sample.started_at.is_none());
    if has_waiting || finished * 100 < samples.len() * HEDGE_AFTER_PERCENT {
        return Vec::new();
    }
    let hedged_samples = samples.iter().filter(|sample| !sample.is_done && sample.copies > 1).count();
    let allowed_runs = (samples.len() * MAX_HEDGED_PERCENT / 100).max(1).saturating_sub(hedged_samples);
    let mut late_samples: Vec<LateSample> = Vec::new();
    for (position, sample) in samples.iter().enumerate() {
        let Some(started_at) = sample.started_at.filter(|_| !sample.is_done && sample.copies == 1) else { continue };
        let run_time = now.saturating_sub(started_at);
        if run_time > token_time * sample.expected_tokens.max(1) * LATE_FACTOR {
            late_samples.push(LateSample { position, run_time });
        }
    }
    late_samples.sort_by_key(|sample| std::cmp::Reverse(sample.run_time));
    late_samples.iter().take(allowed_runs).map(|sample| sample.position).collect()
}

#[derive(Debug, Clone, Copy)]
struct LateSample {
    position: usize,
    run_time: Duration,
}
