//! Order of a step's samples, and second copies near its end.
//!
//! A step ends with its last sample. Long samples start first, and a sample that runs far longer than expected when
//! little else is left gets a second copy on another target; the first complete result wins.

use crate::prelude::*;

/// Part of a step that must be finished before second copies start, in percent.
const COPY_AFTER_PERCENT: usize = 90;

/// Most second copies, in percent of the samples of the step.
const COPY_PERCENT: usize = 5;

/// A sample that ran this many times its expected time may get a second copy.
const LATE_FACTOR: u32 = 2;

/// State of one sample of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SampleProgress {
    /// Expected tokens.
    pub expected_tokens: u32,
    /// Start of its first run; `None` while it waits.
    pub started_at: Option<BootTime>,
    /// Runs that have not ended.
    pub copies: u32,
    /// Whether it has a complete result.
    pub is_done: bool,
}

/// Positions of the samples that wait, longest expected first; equal ones keep their order.
#[must_use]
pub fn start_order(samples: &[SampleProgress]) -> Vec<usize> {
    let is_waiting = |sample: &SampleProgress| !sample.is_done && sample.started_at.is_none();
    let mut order: Vec<usize> = (0..samples.len()).filter(|position| is_waiting(&samples[*position])).collect();
    order.sort_by_key(|position| std::cmp::Reverse(samples[*position].expected_tokens));
    order
}

/// Positions of the samples that shall get a second copy now, those that run longest first.
#[must_use]
pub fn choose_hedged_samples(samples: &[SampleProgress], token_time: Duration, now: BootTime) -> Vec<usize> {
    let done = samples.iter().filter(|sample| sample.is_done).count();
    let is_waiting = samples.iter().any(|sample| !sample.is_done && sample.started_at.is_none());
    if is_waiting || done * 100 < samples.len() * COPY_AFTER_PERCENT {
        return Vec::new();
    }
    let running_copies = samples.iter().filter(|sample| !sample.is_done && sample.copies > 1).count();
    let allowed = (samples.len() * COPY_PERCENT / 100).max(1).saturating_sub(running_copies);
    let mut late: Vec<LateSample> = Vec::new();
    for (position, sample) in samples.iter().enumerate() {
        let Some(started_at) = sample.started_at.filter(|_| !sample.is_done && sample.copies == 1) else { continue };
        let run_time = now.saturating_sub(started_at);
        if run_time > token_time * sample.expected_tokens.max(1) * LATE_FACTOR {
            late.push(LateSample { position, run_time });
        }
    }
    late.sort_by_key(|sample| std::cmp::Reverse(sample.run_time));
    late.iter().take(allowed).map(|sample| sample.position).collect()
}

#[derive(Debug, Clone, Copy)]
struct LateSample {
    position: usize,
    run_time: Duration,
}
