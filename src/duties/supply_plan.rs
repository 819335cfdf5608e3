//! Decides when the platform is asked for targets of a service in a failure domain, and for how many.
//!
//! The wanted count is the number of targets that the failure domain started with. When a target is lost for good or
//! taken away, the wanted count is requested again.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Table of the target counts that the failure domains started with.
pub const SUPPLY_TABLE: &str = "supply";

/// Number of targets of a service in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCount {
    /// Service as named in the configuration.
    pub service: ServiceId,
    /// Failure domain in which the targets run.
    pub domain: DomainId,
    /// Targets that are ready or wanted, by use.
    pub count: u32,
}

/// Time for which a shortage must last before targets are requested; a crashed target is back sooner.
pub const SHORTAGE_DELAY: Duration = Duration::from_secs(6);

/// Interval after which a request is repeated while the shortage lasts.
pub const REQUEST_REPEAT_INTERVAL: Duration = Duration::from_secs(8);

/// A service with too few ready targets in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Service, failure domain and the number of targets that are wanted.
    pub target_count: TargetCount,
    /// Time since which fewer are ready.
    pub since: BootTime,
    /// When a request was last planned; `None` before the first one.
    pub requested_at: Option<BootTime>,
}

/// Returns the target counts to request now, from the counts that are wanted and those of the ready targets. The caller
/// keeps `shortages` between calls.
pub fn plan_scaling(
    wanted: &[TargetCount],
    ready: &[TargetCount],
    shortages: &mut Vec<Shortage>,
    now: BootTime,
) -> Vec<TargetCount> {
    let count_of = |target_count: &TargetCount| {
        let found =
            ready.iter().find(|other| other.service == target_count.service && other.domain == target_count.domain);
        found.map_or(0, |found| found.count)
    };
    shortages.retain(|shortage| {
        wanted.contains(&shortage.target_count) && count_of(&shortage.target_count) < shortage.target_count.count
    });
    for target_count in wanted.iter().filter(|target_count| count_of(target_count) < target_count.count) {
        if !shortages.iter().any(|shortage| shortage.target_count == *target_count) {
            shortages.push(Shortage { target_count: target_count.clone(), since: now, requested_at: None });
        }
    }
    let is_due = |shortage: &&mut Shortage| {
        now.saturating_sub(shortage.since) >= SHORTAGE_DELAY
            && shortage.requested_at.is_none_or(|at| now.saturating_sub(at) >= REQUEST_REPEAT_INTERVAL)
    };
    shortages
        .iter_mut()
        .filter(is_due)
        .map(|shortage| {
            shortage.requested_at = Some(now);
            shortage.target_count.clone()
        })
        .collect()
}
