//! Permits: the coordinator of a dispatch shard decides which request may use which target of the shard.
//!
//! `requester_*` obtains permits for requests that this host received. `coordinator_*` queues and grants permit
//! requests for the shards that this host coordinates. `dispatch_core` joins both without clock, threads or network,
//! and `dispatch_threads` adds these.

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

/// What a permit must fulfil.
#[derive(Debug, Clone)]
pub struct PermitRequirements {
    /// Identifier of the caller's request, for logs.
    pub request_id: RequestId,
    /// Organisation whose fair share is charged; empty on HTTP routes that need no key.
    pub organisation: OrganisationId,
    /// Service whose targets may be used.
    pub service: ServiceId,
    /// Most tokens that the request may still produce; 1 for services that are no model engines. The coordinator is
    /// told the mean output of the organisation's requests instead if that is known and smaller.
    pub expected_tokens: u32,
    /// Hashes of the prompt's prefixes of whole blocks, shortest first; empty for plain services.
    pub prefix_hashes: Vec<u64>,
    /// Whether only firm targets are allowed, which are not reclaimed at short notice.
    pub firm_only: bool,
    /// Deadline of the training step that the request belongs to; `None` if it belongs to none.
    pub deadline: Option<BootTime>,
    /// Targets that must not be used, because this request failed on them.
    pub excluded_targets: Vec<TargetId>,
    /// Minimum version of the model weights on the target; `None` for any version.
    pub least_version: Option<WeightVersion>,
    /// Longest time until a permit, over all coordinators and rounds.
    pub wait: Duration,
}

/// How a permitted request ended.
#[derive(Debug, Clone, Copy)]
pub struct PermitCompletion {
    /// How the request ended on the target.
    pub outcome: PermitOutcome,
    /// Tokens produced under this permit; 0 for plain services.
    pub tokens: u32,
    /// Time from the start on the target to the first token; the total time if there was none.
    pub first_token: Duration,
    /// Time from the start on the target to the end.
    pub total: Duration,
}

/// Right to use one slot of one target. Dropping it without [`Permit::release`] returns the slot too, and reports
/// the request as cancelled.
pub struct Permit {
    /// Configuration of the target whose slot may be used.
    pub target: TargetEntry,
    release: Option<Box<dyn FnOnce(PermitCompletion) + Send>>,
}

impl Permit {
    /// Permit for `target`. `release` is called once, when the permit is released or dropped.
    #[must_use]
    pub fn new(target: TargetEntry, release: Box<dyn FnOnce(PermitCompletion) + Send>) -> Self {
        Self { target, release: Some(release) }
    }

    /// Returns the slot and reports how the request ended.
    pub fn release(mut self, completion: PermitCompletion) {
        if let Some(release) = self.release.take() {
            release(completion);
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

/// Function that acquires a permit, or returns why there is none. The function blocks for at most
/// [`PermitRequirements::wait`] plus half a second.
pub type PermitAcquirer = Arc<dyn Fn(&PermitRequirements) -> Result<Permit, ResultCode> + Send + Sync>;
