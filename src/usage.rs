//! Usage of organisations: increments, usage windows, and reports to the platform.
//!
//! Each host adds up the usage of its finished requests and writes the sums to the store as increments. After a window
//! has ended, one host freezes the sum of the increments of that window and reports it to the platform.

pub mod increment_writer;
pub mod replica_table;
pub mod usage_keeper;
pub mod usage_ledger;
pub mod usage_rows;
pub mod window_closer;
pub mod window_plan;
pub mod window_usage;

use crate::prelude::*;

/// Durations of the usage windows; must be equal on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// Length of a usage window, in whole seconds.
    pub window: Duration,
    /// Delay from the end of a window until its figures may be frozen.
    pub freeze_delay: Duration,
}

impl Default for UsageTiming {
    fn default() -> Self {
        Self { window: USAGE_WINDOW, freeze_delay: USAGE_FREEZE_DELAY }
    }
}

/// Usage of one request that has ended, completed or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageEvent {
    /// Organisation that is charged; empty on routes that need no key.
    pub organisation: OrganisationId,
    /// Service that ran the request.
    pub service: ServiceId,
    /// Requests that are charged: 1, or 0 when the request did not complete.
    pub requests: u64,
    /// Tokens produced; 0 for services other than engines.
    pub tokens: u64,
    /// Time that targets spent on the request, over all attempts.
    pub target_time: Duration,
}

/// Function that records the usage of a request; does not wait for the store.
pub type UsageSink = Arc<dyn Fn(UsageEvent) + Send + Sync>;
