//! Which engines are ordered to which version of a model.
//!
//! Load pattern: several trainers name a new version every few seconds, a load stops an engine's new runs of the model
//! for about a second, and a step accepts the version before the named one. So each model is kept current on a part of
//! the engines, and a new version goes first to those that are two versions behind: the others serve the step that is
//! asked at once with the version they have.

use crate::fleet::fleet_view::{NamedVersion, TargetEntry};
use crate::prelude::*;

/// Models that an engine is kept current for, on average, in hundredths: between one (engines lie idle while others
/// queue) and two (every load stops two trainers' runs, and more loads run at one time).
const SHARED_PERCENT: usize = 150;

/// Part of the engines that loads at one time without slowing the loads down, as the installations state it.
const LOADING_PART: usize = 5;

/// An order that was given and is not seen to be carried out yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Engine.
    pub target: TargetId,
    /// Life of the engine.
    pub started_ms: Option<u64>,
    /// Model.
    pub model: String,
    /// Version.
    pub version: WeightVersion,
    /// When it was given.
    pub given_at: BootTime,
}

/// Time that a load takes; the entry of the engine shows it up to two seconds later.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// An order that is not seen to be carried out within this time is given again.
pub const ORDER_PATIENCE: Duration = Duration::from_secs(4);

/// An order to give.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoadOrder {
    /// Engine.
    pub target: TargetEntry,
    /// Model.
    pub model: String,
    /// Version.
    pub version: WeightVersion,
}

/// Orders to give now for a service whose engines are `engines`.
#[must_use]
pub fn plan_orders(
    engines: &[&TargetEntry],
    models: &[String],
    named: &[NamedVersion],
    pending: &[PendingOrder],
    now: BootTime,
) -> Vec<WeightLoadOrder> {
    let at_once = (engines.len() / LOADING_PART).max(1);
    let mut ordered: Vec<&str> = pending.iter().map(|order| order.target.as_str()).collect();
    ordered.sort_unstable();
    let loading = |target: &TargetEntry| ordered.binary_search(&target.id.as_str()).is_ok();
    let mut free = at_once.saturating_sub(pending.iter().filter(|order| is_loading(order, now)).count());
    let mut orders: Vec<WeightLoadOrder> = Vec::new();
    let mut chosen: Vec<&str> = Vec::new();
    let mut behind = models_behind(engines, models, named, pending);
    // The model that is furthest behind goes first, so that no trainer waits for the others.
    behind.sort_by_key(|state| (state.current, state.model.clone()));
    for state in behind {
        let mut candidates: Vec<&&TargetEntry> = engines
            .iter()
            .filter(|target| target.cold_until <= now && !loading(target))
            .filter(|target| target.model_version(&state.model).is_some_and(|version| version < state.version))
            .filter(|target| chosen.binary_search(&target.id.as_str()).is_err())
            .collect();
        candidates.sort_by_cached_key(|target| rank_candidate(target, &state, named));
        for target in candidates.into_iter().take(state.wanted.saturating_sub(state.current)) {
            if free == 0 {
                return orders;
            }
            free -= 1;
            if let Err(position) = chosen.binary_search(&target.id.as_str()) {
                chosen.insert(position, &target.id);
            }
            orders.push(WeightLoadOrder {
                target: TargetEntry::clone(target),
                model: state.model.clone(),
                version: state.version,
            });
        }
    }
    orders
}

fn is_loading(order: &PendingOrder, now: BootTime) -> bool {
    now.saturating_sub(order.given_at) < LOAD_TIME
}

#[derive(Debug)]
struct ModelState {
    model: String,
    version: WeightVersion,
    /// Engines that should have the named version.
    wanted: usize,
    /// Engines that have it or are ordered to.
    current: usize,
}

fn models_behind(
    engines: &[&TargetEntry],
    models: &[String],
    named: &[NamedVersion],
    pending: &[PendingOrder],
) -> Vec<ModelState> {
    let mut sorted: Vec<&TargetEntry> = engines.to_vec();
    sorted.sort_unstable_by(|one, other| one.id.cmp(&other.id));
    let engine = |id: &str| {
        let position = sorted.binary_search_by(|target| target.id.as_str().cmp(id)).ok()?;
        Some(sorted[position])
    };
    let share = (engines.len() * SHARED_PERCENT / 100).div_ceil(models.len().max(1)).max(1);
    let states = named.iter().filter(|named| models.contains(&named.model)).map(|named| {
        let has = |target: &TargetEntry| target.model_version(&named.model).is_some_and(|it| it >= named.version);
        let ordered = pending.iter().filter(|order| {
            order.model == named.model && order.version >= named.version && !engine(&order.target).is_some_and(has)
        });
        ModelState {
            model: named.model.clone(),
            version: named.version,
            wanted: share.div_ceil(2),
            current: engines.iter().filter(|target| has(target)).count() + ordered.count(),
        }
    });
    states.filter(|state| state.current < state.wanted).collect()
}

/// Order of preference: engines that are not needed for this step, then those that are current for few other models.
fn rank_candidate(target: &TargetEntry, state: &ModelState, named: &[NamedVersion]) -> (bool, usize, u64, TargetId) {
    let own = target.model_version(&state.model).unwrap_or_default();
    let serves_step = own + 1 >= state.version;
    let others = named.iter().filter(|other| {
        other.model != state.model
            && target.model_version(&other.model).is_some_and(|version| version + 1 >= other.version)
    });
    (serves_step, others.count(), state.version.saturating_sub(own), target.id.clone())
}
