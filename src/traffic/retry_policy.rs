//! Retry decisions of the runners. Budget and randomness are injected as functions.

use std::fmt;

use crate::policy::retry_budget::delay_bound;
use crate::prelude::*;

/// Most attempts of one request, the first included, whatever the budget allows.
pub const ATTEMPT_LIMIT: u32 = 6;

/// Function that returns a random number of at least 0 and below 1.
pub type RandomSource = Arc<dyn Fn() -> f64 + Send + Sync>;

/// Service and failure domain for which an attempt is counted.
#[derive(Debug, Clone, Copy)]
pub struct AttemptScope<'a> {
    /// Service whose retry budget counts the attempt.
    pub service: &'a str,
    /// Failure domain of the target that the attempt is sent to.
    pub failure_domain: &'a str,
}

/// Limits of retries: functions that count attempts against the retry budget, and the source of random delays.
#[derive(Clone)]
pub struct RetryPolicy {
    /// Counts the first attempt of a request; called before the attempt is sent.
    pub record_first_attempt: Arc<dyn Fn(AttemptScope<'_>) + Send + Sync>,
    /// Counts the end of an attempt, a retry included; the second argument is whether it succeeded.
    pub record_attempt_end: Arc<dyn Fn(AttemptScope<'_>, bool) + Send + Sync>,
    /// Returns whether a retry is allowed, and counts the retry if so.
    pub try_retry: Arc<dyn Fn(AttemptScope<'_>) -> bool + Send + Sync>,
    /// Source of the jitter of delays.
    pub random: RandomSource,
}

impl fmt::Debug for RetryPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RetryPolicy").finish_non_exhaustive()
    }
}

impl RetryPolicy {
    /// Creates a policy that allows every retry and counts nothing.
    #[must_use]
    pub fn unlimited(random: RandomSource) -> Self {
        Self {
            record_first_attempt: Arc::new(|_| {}),
            record_attempt_end: Arc::new(|_, _| {}),
            try_retry: Arc::new(|_| true),
            random,
        }
    }

    /// Delay before a retry: exponential backoff with full jitter. `retry` is 1 for the first retry.
    #[must_use]
    pub fn delay(&self, retry: u32) -> Duration {
        delay_bound(retry.saturating_sub(1)).mul_f64((self.random)().clamp(0.0, 1.0))
    }
}
