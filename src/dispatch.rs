//! Permits: which request may use which target, decided by the home host of the target's shard.
//!
//! `entry_*` asks homes on behalf of requests on this host, `home_*` queues and grants for the shards that this host
//! is the home of, and `dispatch_core` joins both without clock, threads or network. `dispatch_threads` adds these.

pub mod coordinated_shard;
pub mod coordinated_target;
pub mod coordinator_state;
pub mod coordinator_upkeep;
pub mod dispatch_core;
pub mod dispatch_metrics;
pub mod dispatch_threads;
pub mod health_table;
mod pending_permit;
pub mod requester_plan;
pub mod requester_state;
pub mod requester_upkeep;
pub mod shard_layout;
pub mod step_request_counts;
pub mod target_probe;
pub mod ticket_table;

use crate::generated::peer_messages::PermitOutcome;
use crate::generated::services_text::TargetEntry;
use crate::prelude::*;
pub use dispatch_threads::{DispatchHandle, DispatchSetup, start_dispatch};
pub use pending_permit::PermitRequestId;

/// What a request needs of a target.
#[derive(Debug, Clone)]
pub struct PermitRequirements {
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
pub struct PermitCompletion {
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
    release: Option<Box<dyn FnOnce(PermitCompletion) + Send>>,
}

impl Permit {
    /// Permit for `target` that calls `release` once, when it ends.
    #[must_use]
    pub fn new(target: TargetEntry, release: Box<dyn FnOnce(PermitCompletion) + Send>) -> Self {
        Self { target, release: Some(release) }
    }

    /// Gives the slot back.
    pub fn release(mut self, report: PermitCompletion) {
        if let Some(release) = self.release.take() {
            release(report);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            let total = Duration::ZERO;
            release(PermitCompletion { outcome: PermitOutcome::Cancelled, tokens: 0, first_token: total, total });
        }
    }
}

/// Function that gets a permit, or says why there is none; it blocks for at most the ask's wait.
pub type PermitAcquirer = Arc<dyn Fn(&PermitRequirements) -> Result<Permit, ResultCode> + Send + Sync>;
