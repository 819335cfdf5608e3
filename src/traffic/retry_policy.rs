//! What a runner needs to decide on a retry: budget, delay and randomness, passed in.

use std::fmt;

use crate::policy::retry_budget::delay_bound;
use crate::prelude::*;

/// Attempts of one request at most, whatever the budget allows.
pub const ATTEMPT_LIMIT: u32 = 6;

/// Function that gives a random number of at least 0 and below 1.
pub type RandomSource = Arc<dyn Fn() -> f64 + Send + Sync>;

/// One attempt, as counted by the retry budget.
#[derive(Debug, Clone, Copy)]
pub struct AttemptPlace<'a> {
    /// Service.
    pub service: &'a str,
    /// Failure domain of the target.
    pub failure_domain: &'a str,
}

/// Functions of the retry budget.
#[derive(Clone)]
pub struct RetryPolicy {
    /// Counts a first attempt.
    pub note_first: Arc<dyn Fn(AttemptPlace<'_>) + Send + Sync>,
    /// Counts the end of an attempt and whether it succeeded.
    pub note_end: Arc<dyn Fn(AttemptPlace<'_>, bool) + Send + Sync>,
    /// Whether a retry fits the budget; counts it when it does.
    pub may_retry: Arc<dyn Fn(AttemptPlace<'_>) -> bool + Send + Sync>,
    /// Randomness of the delays.
    pub random: RandomSource,
}

impl fmt::Debug for RetryPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RetryPolicy").finish_non_exhaustive()
    }
}

impl RetryPolicy {
    /// Policy that allows every retry.
    #[must_use]
    pub fn unlimited(random: RandomSource) -> Self {
        Self { note_first: Arc::new(|_| {}), note_end: Arc::new(|_, _| {}), may_retry: Arc::new(|_| true), random }
    }

    /// Delay before retry number `retry`, starting at 1: exponential with full jitter.
    #[must_use]
    pub fn delay(&self, retry: u32) -> Duration {
        delay_bound(retry.saturating_sub(1)).mul_f64((self.random)().clamp(0.0, 1.0))
    }
}
