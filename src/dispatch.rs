//! Permits: which request may use which target, decided by the home host of the target's shard.
//!
//! `entry_*` asks homes on behalf of requests on this host, `home_*` queues and grants for the shards that this host
//! is the home of, and `dispatch_core` joins both without clock, threads or network. `dispatch_threads` adds these.

pub mod ask_table;
pub mod dispatch_core;
pub mod dispatch_metrics;
pub mod dispatch_threads;
mod entry_ask;
pub mod entry_plan;
pub mod entry_state;
pub mod entry_upkeep;
pub mod health_table;
pub mod home_shard;
pub mod home_state;
pub mod home_target;
pub mod home_upkeep;
pub mod shard_view;
pub mod step_ledger;
pub mod target_probe;

use crate::generated::peer_messages::PermitOutcome;
use crate::generated::services_text::TargetEntry;
use crate::prelude::*;
pub use dispatch_threads::{DispatchHandle, DispatchSetup, start_dispatch};
pub use entry_ask::AskNumber;

/// What a request needs of a target.
#[derive(Debug, Clone)]
pub struct PermitAsk {
    /// Request, for logs.
    pub request_id: RequestId,
    /// Organisation that is charged; empty on open routes.
    pub organisation: OrganisationId,
    /// Service.
    pub service: ServiceId,
    /// Tokens that the request is expected to produce; 1 for plain services.
    pub expected_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Whether only firm targets will do.
    pub firm_only: bool,
    /// Time by which the request's step is wanted.
    pub deadline: Option<BootTime>,
    /// Targets that failed this request.
    pub excluded_targets: Vec<TargetId>,
    /// Least weight version that the target must have.
    pub least_version: Option<WeightVersion>,
    /// Longest wait in the queue.
    pub wait: Duration,
}

/// How a permitted request ended.
#[derive(Debug, Clone, Copy)]
pub struct PermitReport {
    /// Outcome.
    pub outcome: PermitOutcome,
    /// Tokens produced.
    pub tokens: u32,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time from the permit to its end.
    pub total: Duration,
}

/// A slot on a target. Dropping it without [`Permit::release`] counts as cancelled.
pub struct Permit {
    /// Target to use.
    pub target: TargetEntry,
    release: Option<Box<dyn FnOnce(PermitReport) + Send>>,
}

impl Permit {
    /// Permit for `target` that calls `release` once, when it ends.
    #[must_use]
    pub fn new(target: TargetEntry, release: Box<dyn FnOnce(PermitReport) + Send>) -> Self {
        Self { target, release: Some(release) }
    }

    /// Gives the slot back.
    pub fn release(mut self, report: PermitReport) {
        if let Some(release) = self.release.take() {
            release(report);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            let total = Duration::ZERO;
            release(PermitReport { outcome: PermitOutcome::Cancelled, tokens: 0, first_token: total, total });
        }
    }
}

/// Function that gets a permit, or says why there is none; it blocks for at most the ask's wait.
pub type PermitSource = Arc<dyn Fn(&PermitAsk) -> Result<Permit, ResultCode> + Send + Sync>;
