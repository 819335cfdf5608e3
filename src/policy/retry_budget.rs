//! Retry budget: bounds retries to [`RETRY_PERCENT`] of the first attempts.
//!
//! Retries without a budget multiply the load of a service that already fails.

use std::collections::VecDeque;

use crate::prelude::*;

/// Retries that a window always allows, so that a service with few requests can retry at all.
const MIN_ALLOWED_RETRIES: u32 = 1;

/// Number of slices of the window; attempts expire one slice at a time.
const SLICE_COUNT: u32 = 10;

/// First attempts and retries of one service in one failure domain over the last [`RETRY_WINDOW`].
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    slices: VecDeque<AttemptSlice>,
}

#[derive(Debug, Clone, Copy)]
struct AttemptSlice {
    start: BootTime,
    first_attempts: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without recorded attempts, which allows a single retry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first_attempt(&mut self, now: BootTime) {
        self.advance_slices(now).first_attempts += 1;
    }

    /// Consumes one retry; returns `false`, and consumes nothing, when the budget is used up.
    pub fn try_consume_retry(&mut self, now: BootTime) -> bool {
        self.advance_slices(now);
        let first_attempts: u32 = self.slices.iter().map(|slice| slice.first_attempts).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed = (first_attempts.saturating_mul(RETRY_PERCENT) / 100).max(MIN_ALLOWED_RETRIES);
        let is_allowed = retries < allowed;
        if is_allowed {
            self.advance_slices(now).retries += 1;
        }
        is_allowed
    }

    fn advance_slices(&mut self, now: BootTime) -> &mut AttemptSlice {
        while self.slices.front().is_some_and(|slice| now.saturating_sub(slice.start) >= RETRY_WINDOW) {
            self.slices.pop_front();
        }
        let length = RETRY_WINDOW / SLICE_COUNT;
        if self.slices.back().is_none_or(|slice| now.saturating_sub(slice.start) >= length) {
            self.slices.push_back(AttemptSlice { start: now, first_attempts: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// Upper bound of the delay before a retry. It doubles with each retry; `retry_index` is 0 for the first one.
#[must_use]
pub fn delay_bound(retry_index: u32) -> Duration {
    const MAX_FIRST_DELAY: Duration = Duration::from_millis(50);
    const MAX_DELAY: Duration = Duration::from_secs(2);
    MAX_FIRST_DELAY.saturating_mul(1 << retry_index.min(10)).min(MAX_DELAY)
}

/// Delay before a retry: exponential backoff with full jitter. `retry_index` is 0 for the first retry, and `random` is
/// uniformly distributed over all values.
#[must_use]
pub fn retry_delay(retry_index: u32, random: u64) -> Duration {
    let micros = u64::try_from(delay_bound(retry_index).as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random % (micros + 1))
}
