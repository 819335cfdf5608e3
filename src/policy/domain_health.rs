//! Failure rate of one service in one failure domain over the last [`HEALTH_WINDOW`].

use std::collections::VecDeque;

use crate::prelude::*;

/// Period over which attempts are counted.
pub const HEALTH_WINDOW: Duration = Duration::from_secs(5);

/// Smallest number of recent attempts with which a domain can count as failing. Fewer attempts say little about it.
const MIN_ATTEMPTS: u32 = 4;

/// Number of slices of the window; attempts expire one slice at a time.
const SLICE_COUNT: u32 = 10;

/// Attempts and failures of one service in one failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainHealth {
    slices: VecDeque<AttemptSlice>,
}

#[derive(Debug, Clone, Copy)]
struct AttemptSlice {
    start: BootTime,
    attempts: u32,
    failures: u32,
}

impl DomainHealth {
    /// Creates an empty record, which counts as healthy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an ended attempt.
    pub fn record(&mut self, now: BootTime, is_failure: bool) {
        self.expire_slices(now);
        let length = HEALTH_WINDOW / SLICE_COUNT;
        if self.slices.back().is_none_or(|slice| now.saturating_sub(slice.start) >= length) {
            self.slices.push_back(AttemptSlice { start: now, attempts: 0, failures: 0 });
        }
        if let Some(slice) = self.slices.back_mut() {
            slice.attempts += 1;
            slice.failures += u32::from(is_failure);
        }
    }

    /// Whether more than half of the recent attempts failed, so that no retry may go to the domain. `false` for fewer
    /// than four attempts, which say little.
    #[must_use]
    pub fn is_failing(&self, now: BootTime) -> bool {
        let recent_slices = self.slices.iter().filter(|slice| now.saturating_sub(slice.start) < HEALTH_WINDOW);
        let (attempts, failures) =
            recent_slices.fold((0, 0), |sums, slice| (sums.0 + slice.attempts, sums.1 + slice.failures));
        attempts >= MIN_ATTEMPTS && 2 * failures > attempts
    }

    fn expire_slices(&mut self, now: BootTime) {
        while self.slices.front().is_some_and(|slice| now.saturating_sub(slice.start) >= HEALTH_WINDOW) {
            self.slices.pop_front();
        }
    }
}
