//! Failures of a service in a failure domain over the last seconds.

use std::collections::VecDeque;

use crate::prelude::*;

/// Period over which failures are counted.
pub const HEALTH_WINDOW: Duration = Duration::from_secs(5);

/// Fewest results that make a domain failing; fewer say little.
const LEAST_RESULTS: u32 = 4;

/// Slices of the window.
const SLICES: u32 = 10;

/// Results of one service in one failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainHealth {
    slices: VecDeque<ResultSlice>,
}

#[derive(Debug, Clone, Copy)]
struct ResultSlice {
    start: BootTime,
    results: u32,
    failures: u32,
}

impl DomainHealth {
    /// No results yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the result of one try.
    pub fn record(&mut self, now: BootTime, is_failure: bool) {
        self.forget_old(now);
        let length = HEALTH_WINDOW / SLICES;
        if self.slices.back().is_none_or(|slice| now.saturating_sub(slice.start) >= length) {
            self.slices.push_back(ResultSlice { start: now, results: 0, failures: 0 });
        }
        if let Some(slice) = self.slices.back_mut() {
            slice.results += 1;
            slice.failures += u32::from(is_failure);
        }
    }

    /// Whether more than half of the recent results are failures, so that no retry may go there.
    #[must_use]
    pub fn is_failing(&self, now: BootTime) -> bool {
        let recent = self.slices.iter().filter(|slice| now.saturating_sub(slice.start) < HEALTH_WINDOW);
        let (results, failures) = recent.fold((0, 0), |sums, slice| (sums.0 + slice.results, sums.1 + slice.failures));
        results >= LEAST_RESULTS && 2 * failures > results
    }

    fn forget_old(&mut self, now: BootTime) {
        while self.slices.front().is_some_and(|slice| now.saturating_sub(slice.start) >= HEALTH_WINDOW) {
            self.slices.pop_front();
        }
    }
}
