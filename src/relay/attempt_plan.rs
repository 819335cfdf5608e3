//! Chooses the target of the next attempt of a request, and the delay after which a further attempt starts.
//!
//! The rules suit short requests at a low rate, where single targets become slow, unreachable or full. The target with
//! the lowest expected cost is chosen; a paused one, such as a target that failed recently, only when no other is left.
//! A target that announces a rate limit is in need and therefore comes after the others, and gets no more than this host's
//! share of the limit.
//! A repeatable request without a response in time is also sent to another target, and the first response is used.

use crate::fleet::fleet_view::TargetEntry;
use crate::fleet::target_load::LoadTable;
use crate::policy::limit_share::ShareClock;
use crate::prelude::*;

/// Expected seconds per request on a target without a measured pace.
const DEFAULT_PACE_SECONDS: f64 = 0.03;

/// Extra cost of a target in another failure domain, in seconds: one round trip, and the price of the transferred bytes
/// expressed as time.
const REMOTE_COST_SECONDS: f64 = 0.01;

/// Facts that the choice of a target depends on, besides the targets and their loads.
#[derive(Debug)]
pub struct ChoiceContext<'a> {
    /// Failure domain of this host; targets in other domains cost more.
    pub domain: &'a str,
    /// Requests per second that all hosts together may start on a target that is still cold, see
    /// [`TargetEntry::cold_until`]; 0 when unlimited.
    pub cold_rate: f64,
    /// Time at which pauses, cold targets and quotas are judged, and what shares of rate limits depend on.
    pub clock: ShareClock<'a>,
}

/// Chooses the candidate with the lowest expected cost that is not among the targets `attempted` before.
///
/// Targets whose cold start quota or share of the rate limit is used up are left out. Returns `None` when no candidate remains.
pub fn choose_target<'a>(
    candidates: impl Iterator<Item = &'a TargetEntry>,
    attempted: &[TargetId],
    loads: &mut LoadTable,
    context: &ChoiceContext<'_>,
) -> Option<&'a TargetEntry> {
    let mut best: Option<((bool, bool), f64, &TargetEntry)> = None;
    for target in candidates.filter(|target| !attempted.contains(&target.id)) {
        if target.cold_until > context.clock.now
            && !loads.has_cold_capacity(&target.id, context.cold_rate, &context.clock)
        {
            continue;
        }
        let allowance = loads.limit_allowance(target, &context.clock);
        if allowance == Some(0) {
            continue;
        }
        let load = loads.get(&target.id);
        let is_paused = load.is_some_and(|load| load.paused_until > context.clock.now);
        let running = load.map_or(0, |load| load.running);
        let pace = load.and_then(|load| load.pace).unwrap_or(DEFAULT_PACE_SECONDS);
        let queue_factor = 1.0 + f64::from(running) / f64::from(target.slots.max(1));
        let remote_cost = if target.domain == context.domain { 0.0 } else { REMOTE_COST_SECONDS };
        let cost = pace * queue_factor + remote_cost;
        let rank = (is_paused, loads.limits.is_confirmed(&target.id, context.clock.store_time));
        let is_better = best
            .is_none_or(|(other_rank, other_cost, _)| rank < other_rank || (rank == other_rank && cost < other_cost));
        if is_better {
            best = Some((rank, cost, target));
        }
    }
    best.map(|(_, _, target)| target)
}

/// Time without a response after which a repeatable request is also sent to another target.
///
/// Half of `objective`, the time within which a response is wanted, so that the other half is left to the second
/// attempt. The delay is longer if four times the pace of the first target or 80 ms are more; this avoids a second
/// attempt for every request that takes long anyway. `pace` is in seconds per request, `None` before the first
/// measurement.
#[must_use]
pub fn hedge_delay(objective: Duration, pace: Option<f64>) -> Duration {
    const MIN_HEDGE_DELAY: Duration = Duration::from_millis(80);
    const PACE_MULTIPLE: f64 = 4.0;
    let pace_delay = Duration::from_secs_f64(pace.unwrap_or(DEFAULT_PACE_SECONDS) * PACE_MULTIPLE);
    (objective / 2).max(pace_delay).max(MIN_HEDGE_DELAY)
}
