//! Token bucket that limits the operations per second of a stand-in.

use std::sync::Mutex;
use std::time::Instant;

/// Token bucket that starts full and holds at most the operations of one second.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    state: Mutex<BucketState>,
}

#[derive(Debug)]
struct BucketState {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a limit of `per_second` operations per second; 0 means no limit.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        let tokens = f64::from(per_second);
        Self { per_second: tokens, state: Mutex::new(BucketState { tokens, refilled_at: Instant::now() }) }
    }

    /// Takes tokens for `count` operations. Returns `false`, and takes none, when the bucket holds fewer; a `count`
    /// above the operations of one second never succeeds.
    ///
    /// # Panics
    ///
    /// Another thread panicked while it held the lock.
    #[must_use]
    pub fn take(&self, count: u32) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let mut state = self.state.lock().expect("the limit is intact");
        let now = Instant::now();
        let refill = now.duration_since(state.refilled_at).as_secs_f64() * self.per_second;
        state.tokens = (state.tokens + refill).min(self.per_second);
        state.refilled_at = now;
        let requested = f64::from(count);
        if state.tokens < requested {
            return false;
        }
        state.tokens -= requested;
        true
    }
}
