//! Calls that only the leader makes, as functions that the adapter to the users' platform passes in.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use crate::prelude::*;

/// Content of a weight order to an engine, with the fields that the engine checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentOrder {
    /// Address to which the order is sent.
    pub address: SocketAddr,
    /// Engine that must take the order; another engine at the same address refuses it.
    pub target: TargetId,
    /// Name of the model whose weights are loaded.
    pub model: String,
    /// Version of the weights that the engine is to have.
    pub version: WeightVersion,
    /// Whether running requests continue with the new version; otherwise the engine lets them end first.
    pub keeps_runs: bool,
    /// Number of orders that the engine must have accepted before this one. An order that arrives after a newer one
    /// meets a higher count and is refused.
    pub accepted_before: u64,
    /// Host that sends the order as the leader.
    pub holder: HostId,
    /// Fencing number of the leader lease under which the order is sent.
    pub fence: LeaseEpoch,
}

/// How an engine answered a weight order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOrderOutcome {
    /// The engine accepted the order and carries it out.
    Accepted,
    /// The engine has the version already.
    Holds,
    /// The engine is carrying out another order, or has accepted another number of orders than expected.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine refused the order for another reason, with this HTTP status; 0 when the order could not be sent.
    Refused(u16),
    /// No response in time; the engine may still carry the order out, even later.
    Unknown,
}

/// State of the weight orders of an engine, as the engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Number of orders that the engine has accepted.
    pub accepted: u64,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
}

/// Boxed result of a call; a dropped future no longer waits for the response, but the call may take effect.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Content of the report of the usage of one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentUsage {
    /// Number of the usage window.
    pub window: u64,
    /// Requests in the window, sorted by organisation.
    pub counts: Vec<crate::duties::usage_counter::OrganisationCount>,
    /// Host that sends the report as the leader.
    pub holder: HostId,
    /// Fencing number of the leader lease under which the report is sent.
    pub fence: LeaseEpoch,
}

/// Request to bring the number of targets of a service in a failure domain to a wanted count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingRequest {
    /// Service, failure domain and the number of targets wanted.
    pub level: crate::duties::supply_plan::TargetCount,
    /// Host that sends the request as the leader.
    pub holder: HostId,
    /// Fencing number of the leader lease under which the request is sent.
    pub fence: LeaseEpoch,
}

/// Functions for the calls. The leader bounds each call but [`LeaderCalls::read_report`] by
/// [`LeaderLease::call_timeout`](crate::duties::leader_lease::LeaderLease::call_timeout).
pub struct LeaderCalls {
    /// Reads the state of the weight orders of an engine; `None` without a readable response.
    pub read_report: Box<dyn Fn(SocketAddr) -> CallFuture<Option<EngineReport>> + Send + Sync>,
    /// Sends a weight order and returns how the engine answered it.
    pub send_order: Box<dyn Fn(SentOrder) -> CallFuture<EngineOrderOutcome> + Send + Sync>,
    /// Sends a usage report; returns whether the receiver accepted it.
    pub send_usage: Box<dyn Fn(SentUsage) -> CallFuture<bool> + Send + Sync>,
    /// Sends a request for targets; returns whether the receiver accepted it.
    pub send_scaling_request: Box<dyn Fn(ScalingRequest) -> CallFuture<bool> + Send + Sync>,
}

impl std::fmt::Debug for LeaderCalls {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("LeaderCalls")
    }
}
