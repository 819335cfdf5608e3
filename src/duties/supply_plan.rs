//! How many targets of a service are ordered in a failure domain.
//!
//! The number that a failure domain started with is kept: a target that is lost for good, or is taken away, is
//! replaced by an order for the same number.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Table of the numbers that the failure domains started with.
pub const SUPPLY_TABLE: &str = "supply";

/// Targets of a service in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCount {
    /// Service.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Number.
    pub count: u32,
}

/// Time for which too few targets must be listed before an order is given: a crashed target is back sooner.
pub const SHORTAGE_TIME: Duration = Duration::from_secs(6);

/// Time after which an order that had no effect is repeated.
pub const ORDER_REPEAT: Duration = Duration::from_secs(8);

/// A shortage as it was first seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shortage {
    /// Level that is wanted.
    pub level: TargetCount,
    /// Since when fewer are listed.
    pub since: BootTime,
    /// When an order was given last.
    pub ordered_at: Option<BootTime>,
}

/// Levels to order now, from the levels wanted and the levels listed; `shortages` is kept between calls.
pub fn plan_supply(
    wanted: &[TargetCount],
    listed: &[TargetCount],
    shortages: &mut Vec<Shortage>,
    now: BootTime,
) -> Vec<TargetCount> {
    let count_of = |level: &TargetCount| {
        let found = listed.iter().find(|other| other.service == level.service && other.domain == level.domain);
        found.map_or(0, |found| found.count)
    };
    shortages.retain(|shortage| wanted.contains(&shortage.level) && count_of(&shortage.level) < shortage.level.count);
    for level in wanted.iter().filter(|level| count_of(level) < level.count) {
        if !shortages.iter().any(|shortage| shortage.level == *level) {
            shortages.push(Shortage { level: level.clone(), since: now, ordered_at: None });
        }
    }
    let is_due = |shortage: &&mut Shortage| {
        now.saturating_sub(shortage.since) >= SHORTAGE_TIME
            && shortage.ordered_at.is_none_or(|at| now.saturating_sub(at) >= ORDER_REPEAT)
    };
    shortages
        .iter_mut()
        .filter(is_due)
        .map(|shortage| {
            shortage.ordered_at = Some(now);
            shortage.level.clone()
        })
        .collect()
}
