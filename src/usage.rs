//! Usage: increments from finished requests, windows, and reports to the platform.
//!
//! Each host adds up the usage of its requests and writes it as increments. After a window has ended, one host freezes
//! the sum of its increments and reports it.

pub mod increment_writer;
pub mod replica_table;
pub mod usage_keeper;
pub mod usage_ledger;
pub mod usage_rows;
pub mod window_closer;
pub mod window_plan;
pub mod window_usage;

use crate::prelude::*;

/// Lengths that all hosts must agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// Length of a window; whole seconds.
    pub window: Duration,
    /// Time after the end of a window at which its figures are frozen.
    pub freeze_delay: Duration,
}

impl Default for UsageTiming {
    fn default() -> Self {
        Self { window: USAGE_WINDOW, freeze_delay: USAGE_FREEZE_DELAY }
    }
}

/// Usage of one finished request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageEvent {
    /// Organisation that is charged; empty on open routes.
    pub organisation: OrganisationId,
    /// Service.
    pub service: ServiceId,
    /// Requests; 0 for a retry that the organisation is not charged for.
    pub requests: u64,
    /// Tokens produced.
    pub tokens: u64,
    /// Target time used.
    pub target_time: Duration,
}

/// Function that records usage; it does not block.
pub type UsageSink = Arc<dyn Fn(UsageEvent) + Send + Sync>;
