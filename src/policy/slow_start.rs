//! Limit of a target between fresh and warm.
//!
//! A fresh target bears only light load. Its limit doubles with each error-free step in which it finished work, and
//! falls back when the target restarted or answers like a cold one. First-token times are compared with those of
//! requests whose prompt was not expected in the cache: against the short times of cached prompts, every cache miss
//! would look like a cold target.

use std::collections::VecDeque;

use crate::prelude::*;

/// First-token times that the median is taken over.
const MEDIAN_SAMPLES: usize = 32;

/// Fewest first-token times for a median.
const MEDIAN_LEAST: usize = 8;

/// A first-token time above this many medians is one of a cold target.
const COLD_FACTOR: u32 = 4;

/// Cold first-token times in a row that make a target cold; a single one can come from a long prompt.
const COLD_RUN: u32 = 2;

/// Time after a restart in which the median before it counts; a target can become slower for good.
const USUAL_MEMORY: Duration = Duration::from_mins(1);

/// Limit of one target.
#[derive(Debug, Clone)]
pub struct SlowStart {
    bears: u32,
    slots: u32,
    limit: u32,
    step_start: BootTime,
    cold_run: u32,
    first_tokens: VecDeque<Duration>,
    usual: Option<UsualTime>,
}

/// Median before the last restart, which tells a target that is still cold from a warm one for some time.
#[derive(Debug, Clone, Copy)]
struct UsualTime {
    first_token: Duration,
    until: BootTime,
}

impl SlowStart {
    /// Fresh target.
    #[must_use]
    pub fn new(bears: u32, slots: u32, now: BootTime) -> Self {
        let bears = bears.clamp(1, slots.max(1));
        Self { bears, slots, limit: bears, step_start: now, cold_run: 0, first_tokens: VecDeque::new(), usual: None }
    }

    /// Most requests at one time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes over changed figures of the services text.
    pub fn resize(&mut self, bears: u32, slots: u32) {
        self.bears = bears.clamp(1, slots.max(1));
        self.slots = slots;
        self.limit = self.limit.clamp(1, slots.max(1));
    }

    /// Records a finished request; returns whether the target turned cold. `is_cached` says that its prompt was
    /// expected to be in the target's cache.
    pub fn finish(&mut self, now: BootTime, first_token: Duration, is_cached: bool) -> bool {
        if self.is_cold_time(now, first_token) {
            self.cold_run += 1;
            if self.cold_run >= COLD_RUN {
                self.restart(now);
                return true;
            }
            return false;
        }
        self.cold_run = 0;
        if !is_cached {
            self.push_time(first_token);
        }
        if now.saturating_sub(self.step_start) >= SLOW_START_STEP {
            self.limit = self.limit.saturating_mul(2).min(self.slots.max(1));
            self.start_step(now);
        }
        false
    }

    /// Records a failed request; the step starts again.
    pub fn fail(&mut self, now: BootTime) {
        self.start_step(now);
    }

    /// The target restarted or turned cold.
    pub fn restart(&mut self, now: BootTime) {
        if let Some(first_token) = self.median() {
            self.usual = Some(UsualTime { first_token, until: now + USUAL_MEMORY });
        }
        self.limit = self.bears;
        self.first_tokens.clear();
        self.cold_run = 0;
        self.start_step(now);
    }

    fn start_step(&mut self, now: BootTime) {
        self.step_start = now;
    }

    fn push_time(&mut self, first_token: Duration) {
        if first_token.is_zero() {
            return;
        }
        if self.first_tokens.len() == MEDIAN_SAMPLES {
            self.first_tokens.pop_front();
        }
        self.first_tokens.push_back(first_token);
    }

    fn is_cold_time(&self, now: BootTime, first_token: Duration) -> bool {
        let usual = self.usual.filter(|usual| now < usual.until).map(|usual| usual.first_token);
        self.median().or(usual).is_some_and(|median| first_token > median * COLD_FACTOR)
    }

    fn median(&self) -> Option<Duration> {
        if self.first_tokens.len() < MEDIAN_LEAST {
            return None;
        }
        let mut times: Vec<Duration> = self.first_tokens.iter().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        Some(*median)
    }
}
