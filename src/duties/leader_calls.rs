//! Calls that only the holder of the duties makes, as functions that the installation's adapter passes in.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use crate::prelude::*;

/// Order as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentOrder {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Engine that must take it.
    pub target: TargetId,
    /// Model.
    pub model: String,
    /// Version.
    pub version: WeightVersion,
    /// Whether running requests go on under the new version; otherwise they end first.
    pub keeps_runs: bool,
    /// Orders that the engine must have accepted before, so that a late order meets a newer count and fails.
    pub accepted_before: u64,
    /// Host that gives it.
    pub holder: HostId,
    /// Fencing number.
    pub fence: LeaseEpoch,
}

/// What an engine answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOrderOutcome {
    /// It carries the order out.
    Accepted,
    /// The order holds already.
    Holds,
    /// Another order is under way, or the count differs.
    Conflict,
    /// It has seen a higher fencing number.
    Fenced,
    /// It refused the order for another reason, with this HTTP status.
    Refused(u16),
    /// No answer; the order may be carried out, also later.
    Unknown,
}

/// What an engine reports of its orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders accepted so far.
    pub accepted: u64,
    /// Whether one is being carried out.
    pub is_busy: bool,
}

/// Answer of a call that is under way.
pub type DutyFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A report of usage as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentUsage {
    /// Window.
    pub window: u64,
    /// Requests by organisation.
    pub counts: Vec<crate::duties::usage_counter::OrganisationCount>,
    /// Host that sends it.
    pub holder: HostId,
    /// Fencing number.
    pub fence: LeaseEpoch,
}

/// An order for targets as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingRequest {
    /// Number wanted.
    pub level: crate::duties::supply_plan::TargetCount,
    /// Host that sends it.
    pub holder: HostId,
    /// Fencing number.
    pub fence: LeaseEpoch,
}

/// Calls of the holder of the duties.
pub struct LeaderCalls {
    /// Reads what an engine reports; `None` without an answer.
    pub read_report: Box<dyn Fn(SocketAddr) -> DutyFuture<Option<EngineReport>> + Send + Sync>,
    /// Gives an order to an engine.
    pub send_order: Box<dyn Fn(SentOrder) -> DutyFuture<EngineOrderOutcome> + Send + Sync>,
    /// Hands a report of usage in; returns whether it was accepted.
    pub send_usage: Box<dyn Fn(SentUsage) -> DutyFuture<bool> + Send + Sync>,
    /// Orders targets; returns whether the order was accepted.
    pub send_scaling_request: Box<dyn Fn(ScalingRequest) -> DutyFuture<bool> + Send + Sync>,
}

impl std::fmt::Debug for LeaderCalls {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("LeaderCalls")
    }
}
