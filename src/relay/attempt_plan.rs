//! Which target runs a request next, and whether it is tried again.
//!
//! Load pattern: short requests at a low rate while single targets turn slow, dark or full. The target with the least
//! expected time is taken; one that is paused after failures only when nothing else is left. A repeatable request
//! whose answer is overdue is also sent to a second target, and the first answer wins.

use crate::fleet::fleet_view::TargetEntry;
use crate::fleet::target_load::{LoadTable, cold_start_quota};
use crate::prelude::*;

/// Expected time of a request on a target that has not been measured.
const DEFAULT_PACE: f64 = 0.03;

/// Extra cost of a target in another failure domain, in seconds: one round trip and the price of its bytes.
const FAR_COST: f64 = 0.01;

/// What choosing a target needs to know.
#[derive(Debug)]
pub struct ChoiceContext<'a> {
    /// Own failure domain.
    pub domain: &'a str,
    /// Own host.
    pub host: &'a str,
    /// Hosts that may also send to a cold target, own one included.
    pub hosts: &'a [&'a str],
    /// Requests a second that a cold target of the service bears.
    pub cold_rate: f64,
    /// Time.
    pub now: BootTime,
}

/// Chooses a target among `candidates`, leaving out those already `tried`.
pub fn choose_target<'a>(
    candidates: impl Iterator<Item = &'a TargetEntry>,
    tried: &[TargetId],
    loads: &mut LoadTable,
    context: &ChoiceContext<'_>,
) -> Option<&'a TargetEntry> {
    let mut best: Option<(bool, f64, &TargetEntry)> = None;
    for target in candidates.filter(|target| !tried.contains(&target.id)) {
        if target.cold_until > context.now {
            let allowance = cold_start_quota(context.cold_rate, &target.id, context.host, context.hosts);
            if !loads.has_cold_capacity(&target.id, allowance, context.now) {
                continue;
            }
        }
        let load = loads.get(&target.id);
        let is_paused = load.is_some_and(|load| load.paused_until > context.now);
        let running = load.map_or(0, |load| load.running);
        let pace = load.and_then(|load| load.pace).unwrap_or(DEFAULT_PACE);
        let waves = 1.0 + f64::from(running) / f64::from(target.slots.max(1));
        let far_cost = if target.domain == context.domain { 0.0 } else { FAR_COST };
        let cost = pace * waves + far_cost;
        let is_better = best.is_none_or(|(other_paused, other_cost, _)| {
            (is_paused, cost) < (other_paused, other_cost) || (is_paused == other_paused && cost < other_cost)
        });
        if is_better {
            best = Some((is_paused, cost, target));
        }
    }
    best.map(|(_, _, target)| target)
}

/// Time without an answer after which a repeatable request is also sent elsewhere.
///
/// Half of the objective leaves the second target the other half; several times the usual pace keeps long requests
/// from being doubled.
#[must_use]
pub fn hedge_delay(objective: Duration, pace: Option<f64>) -> Duration {
    const SHORTEST_HEDGE: Duration = Duration::from_millis(80);
    const PACE_MULTIPLE: f64 = 4.0;
    let usual = Duration::from_secs_f64(pace.unwrap_or(DEFAULT_PACE) * PACE_MULTIPLE);
    (objective / 2).max(usual).max(SHORTEST_HEDGE)
}
