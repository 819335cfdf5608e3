//! Choice of a target for one request among the targets of a shard.
//!
//! A target that has the prompt's prefix in its cache saves the prefill, and a loaded target is slow: the score is
//! the one minus the other. A shard has at most [`SHARD_TARGETS`] targets, so that a linear pass is bounded; the
//! shard is found in logarithmic time by [`crate::policy::shard_map::shard_of_prefix`].

use crate::policy::prefix_index::{PrefixMatch, TargetHandle};
use crate::prelude::*;

/// Score of a whole prefix in the cache, against [`LOAD_WEIGHT`] for a full target.
const AFFINITY_WEIGHT: i64 = 80;

/// Score lost by a target that is full.
const LOAD_WEIGHT: i64 = 100;

/// Score of a cheap target for a request that tolerates its loss: it is preferred until it is this much fuller, in
/// percent, than a firm one. Filling cheap targets first would slow every token there while firm ones are idle.
const CHEAP_BONUS: i64 = 25;

/// Load of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCandidate<'a> {
    /// Number at this home.
    pub handle: TargetHandle,
    /// Id, for exclusions.
    pub id: &'a str,
    /// Whether it cannot be reclaimed at short notice.
    pub is_firm: bool,
    /// Whether it may get new work.
    pub is_in_rotation: bool,
    /// Requests that it runs: own permits, and others that it reports.
    pub running: u32,
    /// Most requests at one time by this home.
    pub limit: u32,
    /// Weight version that it reports; `None` when it never reported.
    pub weight_version: Option<WeightVersion>,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct TargetRequirements<'a> {
    /// Whether only firm targets will do.
    pub firm_only: bool,
    /// Targets that failed this request.
    pub excluded_targets: &'a [TargetId],
    /// Least weight version.
    pub least_version: Option<WeightVersion>,
    /// Targets with a cached prefix.
    pub matches: &'a [PrefixMatch],
}

/// Position of the best target with a free slot; `None` when no eligible target has one.
#[must_use]
pub fn choose_target(targets: &[TargetCandidate<'_>], need: &TargetRequirements<'_>) -> Option<usize> {
    let free = (0..targets.len()).filter(|position| has_room(&targets[*position], need));
    free.max_by_key(|position| (target_score(&targets[*position], need), std::cmp::Reverse(targets[*position].running)))
}

/// Whether the target could ever serve the request while the configuration stays as it is.
#[must_use]
pub fn is_eligible(target: &TargetCandidate<'_>, need: &TargetRequirements<'_>) -> bool {
    target.is_in_rotation
        && (target.is_firm || !need.firm_only)
        && need.least_version.is_none_or(|least| target.weight_version.is_some_and(|version| version >= least))
        && !need.excluded_targets.iter().any(|excluded| excluded == target.id)
}

fn has_room(target: &TargetCandidate<'_>, need: &TargetRequirements<'_>) -> bool {
    target.running < target.limit && is_eligible(target, need)
}

fn target_score(target: &TargetCandidate<'_>, need: &TargetRequirements<'_>) -> i64 {
    let matched = need.matches.iter().find(|matched| matched.target == target.handle);
    let affinity = matched.map_or(0, |matched| i64::from(matched.percent)) * AFFINITY_WEIGHT / 100;
    let load = i64::from(target.running) * LOAD_WEIGHT / i64::from(target.limit.max(1));
    let tier = if target.is_firm || need.firm_only { 0 } else { CHEAP_BONUS };
    affinity - load + tier
}
