//! Limit on operations per second.

use std::sync::Mutex;
use std::time::Instant;

/// Token bucket that holds at most the allowance of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    state: Mutex<BucketState>,
}

#[derive(Debug)]
struct BucketState {
    tokens: f64,
    updated: Instant,
}

impl RateLimit {
    /// Limit of `per_second` operations; 0 means no limit.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        let tokens = f64::from(per_second);
        Self { per_second: tokens, state: Mutex::new(BucketState { tokens, updated: Instant::now() }) }
    }

    /// Takes `count` operations; `false` when the limit is reached.
    ///
    /// # Panics
    ///
    /// Another user of the limit panicked.
    #[must_use]
    pub fn take(&self, count: u32) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let mut state = self.state.lock().expect("the limit is intact");
        let now = Instant::now();
        let gained = now.duration_since(state.updated).as_secs_f64() * self.per_second;
        state.tokens = (state.tokens + gained).min(self.per_second);
        state.updated = now;
        let wanted = f64::from(count);
        if state.tokens < wanted {
            return false;
        }
        state.tokens -= wanted;
        true
    }
}
