//! Slow start: the limit on concurrent requests of a target from cold to warm.
//!
//! A cold target can serve only few requests at one time. Its limit doubles after each [`SLOW_START_PERIOD`] without
//! failures in which it finished a request, and returns to the cold limit when the target restarts or responds as
//! slowly as a cold one.
//!
//! First-token latencies are compared with those of requests whose prompt was not expected in the target's cache.
//! Compared with the short latencies of cached prompts, every cache miss would look like a cold target.

use std::collections::VecDeque;

use crate::prelude::*;

/// Largest number of first-token latencies that the median is computed from; older ones are removed.
const MAX_MEDIAN_SAMPLES: usize = 32;

/// Smallest number of first-token latencies for which a median is computed.
const MIN_MEDIAN_SAMPLES: usize = 8;

/// A first-token latency above this many times the median indicates a cold target.
const COLD_FACTOR: u32 = 4;

/// Number of consecutive first-token latencies above the bound after which the target counts as cold. A single one can
/// come from a long prompt.
const COLD_IN_ROW_LIMIT: u32 = 2;

/// Time for which the median from before a reset is used for comparison. It is limited because a target can become
/// slower for good.
const EARLIER_MEDIAN_PERIOD: Duration = Duration::from_mins(1);

/// Limit on concurrent requests of one target, with the latencies that it depends on.
#[derive(Debug, Clone)]
pub struct SlowStart {
    cold_limit: u32,
    warm_limit: u32,
    limit: u32,
    period_start: BootTime,
    cold_in_row: u32,
    latencies: VecDeque<Duration>,
    earlier_median: Option<EarlierMedian>,
}

/// Median kept from before a reset. Until the target has a new median, this one shows whether it is still cold.
#[derive(Debug, Clone, Copy)]
struct EarlierMedian {
    latency: Duration,
    valid_until: BootTime,
}

impl SlowStart {
    /// Creates the limit of a cold target. `cold_limit` and `warm_limit` are the settings `bears` and `slots`.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32, now: BootTime) -> Self {
        let cold_limit = cold_limit.clamp(1, warm_limit.max(1));
        Self {
            cold_limit,
            warm_limit,
            limit: cold_limit,
            period_start: now,
            cold_in_row: 0,
            latencies: VecDeque::new(),
            earlier_median: None,
        }
    }

    /// Number of requests that the target may run at one time, from all hosts together.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Applies changed limits from the services file. The present limit changes only when it is above `warm_limit`.
    pub fn resize(&mut self, cold_limit: u32, warm_limit: u32) {
        self.cold_limit = cold_limit.clamp(1, warm_limit.max(1));
        self.warm_limit = warm_limit;
        self.limit = self.limit.clamp(1, warm_limit.max(1));
    }

    /// Records a finished request with its first-token latency; returns whether the target became cold. `is_cached`
    /// says whether the prompt was expected in the target's cache. A latency of zero is left out of the median.
    pub fn finish(&mut self, now: BootTime, latency: Duration, is_cached: bool) -> bool {
        if self.is_cold_latency(now, latency) {
            self.cold_in_row += 1;
            if self.cold_in_row >= COLD_IN_ROW_LIMIT {
                self.restart(now);
                return true;
            }
            return false;
        }
        self.cold_in_row = 0;
        if !is_cached {
            self.record_latency(latency);
        }
        if now.saturating_sub(self.period_start) >= SLOW_START_PERIOD {
            self.limit = self.limit.saturating_mul(2).min(self.warm_limit.max(1));
            self.start_period(now);
        }
        false
    }

    /// Records a failed request; the time without failures starts again.
    pub fn fail(&mut self, now: BootTime) {
        self.start_period(now);
    }

    /// Resets the limit to that of a cold target, after a restart or when the target became cold. The median so far is
    /// kept for a while for comparison.
    pub fn restart(&mut self, now: BootTime) {
        if let Some(latency) = self.median() {
            self.earlier_median = Some(EarlierMedian { latency, valid_until: now + EARLIER_MEDIAN_PERIOD });
        }
        self.limit = self.cold_limit;
        self.latencies.clear();
        self.cold_in_row = 0;
        self.start_period(now);
    }

    fn start_period(&mut self, now: BootTime) {
        self.period_start = now;
    }

    fn record_latency(&mut self, latency: Duration) {
        if latency.is_zero() {
            return;
        }
        if self.latencies.len() == MAX_MEDIAN_SAMPLES {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
    }

    fn is_cold_latency(&self, now: BootTime, latency: Duration) -> bool {
        let earlier_median = self
            .earlier_median
            .filter(|earlier_median| now < earlier_median.valid_until)
            .map(|earlier_median| earlier_median.latency);
        self.median().or(earlier_median).is_some_and(|median| latency > median * COLD_FACTOR)
    }

    fn median(&self) -> Option<Duration> {
        if self.latencies.len() < MIN_MEDIAN_SAMPLES {
            return None;
        }
        let mut recorded_latencies: Vec<Duration> = self.latencies.iter().copied().collect();
        let middle = recorded_latencies.len() / 2;
        let (_, median, _) = recorded_latencies.select_nth_unstable(middle);
        Some(*median)
    }
}
