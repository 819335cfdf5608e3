//! Choice of the target for one request among the targets of a dispatch shard.
//!
//! A target with the prompt's prefix in its cache saves the prefill, and a loaded target is slow. The score of a target
//! is its cache affinity minus its load, plus a bonus for cheap targets.
//!
//! Each eligible target with a free slot is scored; a shard has at most [`SHARD_TARGETS`]. The shard itself is found in
//! logarithmic time by [`crate::policy::shard_map::shard_of_prefix`].

use crate::policy::prefix_index::{PrefixMatch, TargetHandle};
use crate::prelude::*;

/// Affinity part of the score for a target that has all prefixes of the prompt in its cache. With a [`LOAD_WEIGHT`] of
/// 100 it offsets a load difference of this many percent.
const AFFINITY_WEIGHT: i64 = 80;

/// Score subtracted for a full target; a partly loaded one loses its fraction of this.
const LOAD_WEIGHT: i64 = 100;

/// Bonus of a cheap target for a request that may run on one: a cheap target is preferred until its load in percent is
/// this much higher than that of a firm one. A cheap target can be reclaimed at short notice, a firm one cannot.
/// Filling cheap targets first would slow every token there while firm ones are idle.
const CHEAP_BONUS: i64 = 25;

/// State of one target as its coordinator knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCandidate<'a> {
    /// Number that the coordinator gave the target.
    pub handle: TargetHandle,
    /// Id of the target, compared with the excluded targets.
    pub id: &'a str,
    /// Whether the target cannot be reclaimed at short notice.
    pub is_firm: bool,
    /// Whether the target may get new work.
    pub is_in_rotation: bool,
    /// Number of requests that the target runs: permits of this coordinator, and others that the target reports.
    pub running: u32,
    /// Number of requests that this coordinator may run on the target at one time; its capacity share, 0 while none is
    /// usable.
    pub limit: u32,
    /// Weight version that the target last reported; `None` when it never reported.
    pub weight_version: Option<WeightVersion>,
}

/// Requirements of a request, and the cached prefixes that affect the score.
#[derive(Debug, Clone, Copy)]
pub struct TargetRequirements<'a> {
    /// Whether cheap targets are excluded.
    pub firm_only: bool,
    /// Targets that must not be chosen because the request failed there.
    pub excluded_targets: &'a [TargetId],
    /// Lowest weight version that may serve the request; `None` when any version may.
    pub least_version: Option<WeightVersion>,
    /// Targets that probably have a prefix of the prompt in their cache.
    pub matches: &'a [PrefixMatch],
}

/// Position of the eligible target with a free slot and the highest score, on a tie the one with fewer requests; `None`
/// when no eligible target has a free slot.
#[must_use]
pub fn choose_target(targets: &[TargetCandidate<'_>], requirements: &TargetRequirements<'_>) -> Option<usize> {
    let available = (0..targets.len()).filter(|position| has_free_slot(&targets[*position], requirements));
    available.max_by_key(|position| {
        (target_score(&targets[*position], requirements), std::cmp::Reverse(targets[*position].running))
    })
}

/// Whether the target meets the requirements now, whether it has a free slot or not. Later changes of its rotation or
/// weight version change the result.
#[must_use]
pub fn is_eligible(target: &TargetCandidate<'_>, requirements: &TargetRequirements<'_>) -> bool {
    target.is_in_rotation
        && (target.is_firm || !requirements.firm_only)
        && requirements.least_version.is_none_or(|least| target.weight_version.is_some_and(|version| version >= least))
        && !requirements.excluded_targets.iter().any(|excluded| excluded == target.id)
}

fn has_free_slot(target: &TargetCandidate<'_>, requirements: &TargetRequirements<'_>) -> bool {
    target.running < target.limit && is_eligible(target, requirements)
}

fn target_score(target: &TargetCandidate<'_>, requirements: &TargetRequirements<'_>) -> i64 {
    let prefix_match = requirements.matches.iter().find(|prefix_match| prefix_match.target == target.handle);
    let affinity = prefix_match.map_or(0, |prefix_match| i64::from(prefix_match.percent)) * AFFINITY_WEIGHT / 100;
    let load = i64::from(target.running) * LOAD_WEIGHT / i64::from(target.limit.max(1));
    let cheap_bonus = if target.is_firm || requirements.firm_only { 0 } else { CHEAP_BONUS };
    affinity - load + cheap_bonus
}
