//! Budget of retries as a share of first tries.
//!
//! Retries without a budget multiply the load of a service that already fails.

use std::collections::VecDeque;

use crate::prelude::*;

/// Retries that are allowed in a window without any first try, so that a rare request can be retried at all.
const LEAST_RETRIES: u32 = 1;

/// Slices of the window; the count forgets one slice at a time.
const SLICES: u32 = 10;

/// First tries and retries of one service in one failure domain over [`RETRY_WINDOW`].
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    slices: VecDeque<TrySlice>,
}

#[derive(Debug, Clone, Copy)]
struct TrySlice {
    start: BootTime,
    first_tries: u32,
    retries: u32,
}

impl RetryBudget {
    /// Empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first try.
    pub fn record_first_attempt(&mut self, now: BootTime) {
        self.slice(now).first_tries += 1;
    }

    /// Takes one retry out of the budget; returns whether there was one left.
    pub fn try_consume_retry(&mut self, now: BootTime) -> bool {
        self.slice(now);
        let first_tries: u32 = self.slices.iter().map(|slice| slice.first_tries).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed = (first_tries.saturating_mul(RETRY_PERCENT) / 100).max(LEAST_RETRIES);
        let is_allowed = retries < allowed;
        if is_allowed {
            self.slice(now).retries += 1;
        }
        is_allowed
    }

    fn slice(&mut self, now: BootTime) -> &mut TrySlice {
        while self.slices.front().is_some_and(|slice| now.saturating_sub(slice.start) >= RETRY_WINDOW) {
            self.slices.pop_front();
        }
        let length = RETRY_WINDOW / SLICES;
        if self.slices.back().is_none_or(|slice| now.saturating_sub(slice.start) >= length) {
            self.slices.push_back(TrySlice { start: now, first_tries: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// Longest wait before a retry, which grows exponentially; the first retry is attempt 0.
#[must_use]
pub fn delay_bound(attempt: u32) -> Duration {
    /// Longest wait before the first retry.
    const FIRST_DELAY: Duration = Duration::from_millis(50);
    /// Longest wait before any retry.
    const LONGEST_DELAY: Duration = Duration::from_secs(2);
    FIRST_DELAY.saturating_mul(1 << attempt.min(10)).min(LONGEST_DELAY)
}

/// Wait before a retry: exponential with full jitter; `random` is uniform over all values.
#[must_use]
pub fn retry_delay(attempt: u32, random: u64) -> Duration {
    let micros = u64::try_from(delay_bound(attempt).as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random % (micros + 1))
}
