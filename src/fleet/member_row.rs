//! Row that each host renews while it runs.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Table of the rows of hosts.
pub const MEMBER_TABLE: &str = "hosts";

/// Period of the renewal.
pub const MEMBER_RENEWAL: Duration = Duration::from_secs(1);

/// Requests that a host runs on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningCount {
    /// Target.
    pub target: TargetId,
    /// Requests.
    pub count: u32,
}

/// What a host publishes of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: DomainId,
    /// Renewals so far.
    pub beat: u64,
    /// Whether a planned stop has begun, so that it takes no new batch jobs.
    pub is_stopping: bool,
    /// Requests of batch jobs that it runs, sorted by target.
    pub running: Vec<RunningCount>,
}
