//! Decides which engines are ordered to load which version of a model.
//!
//! Several trainers announce a new version every few seconds. A weight load keeps an engine from starting runs of the
//! model for about a second, and a trainer's step also accepts the version before the announced one. Therefore each
//! model is kept current on a part of the engines only, and engines that are two or more versions behind load a new
//! version first: the others can serve the step that follows the announcement with the version that they have.

use crate::fleet::fleet_view::{NamedVersion, TargetEntry};
use crate::prelude::*;

/// Average number of models for which an engine is used, in hundredths. With one model, engines are idle while requests
/// queue at others; with two, each load stops the runs of two trainers, and more loads are concurrent. Only half of the
/// engines of a model are brought to a new version.
const MODELS_PER_ENGINE_PERCENT: usize = 150;

/// One in this many engines, rounded to the nearest count, can load at the same time without slowing the loads down; the
/// installations state this figure.
const LOADING_DIVISOR: usize = 5;

/// An order that was sent, while the entry of the engine does not show the version yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Engine that was ordered.
    pub target: TargetId,
    /// Start of the engine's process, as in the entry of the target at the time of the order.
    pub started_ms: Option<u64>,
    /// Model whose weights the engine loads.
    pub model: String,
    /// Version that was announced when the order was planned.
    pub version: WeightVersion,
    /// When the order was planned.
    pub given_at: BootTime,
}

/// Duration of a weight load; the entry of the engine shows the version up to two seconds later.
const LOAD_DURATION: Duration = Duration::from_secs(1);

/// Time after which an order is planned again while the entry of the engine does not show the version.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// An order to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoadOrder {
    /// Entry that the engine had when the order was planned.
    pub target: TargetEntry,
    /// Model whose weights the engine loads.
    pub model: String,
    /// Newest announced version of the model.
    pub version: WeightVersion,
}

/// Plans the orders to send now for a service with the given engines and models. `named` has the announced versions,
/// and `pending` the orders of all services.
#[must_use]
pub fn plan_orders(
    engines: &[&TargetEntry],
    models: &[String],
    named: &[NamedVersion],
    pending: &[PendingOrder],
    now: BootTime,
) -> Vec<WeightLoadOrder> {
    let max_loads = ((engines.len() + LOADING_DIVISOR / 2) / LOADING_DIVISOR).max(1);
    let mut ordered: Vec<&str> = pending.iter().map(|order| order.target.as_str()).collect();
    ordered.sort_unstable();
    let has_pending_order = |target: &TargetEntry| ordered.binary_search(&target.id.as_str()).is_ok();
    let mut free_loads = max_loads.saturating_sub(pending.iter().filter(|order| is_loading(order, now)).count());
    let mut orders: Vec<WeightLoadOrder> = Vec::new();
    let mut chosen_targets: Vec<&str> = Vec::new();
    let mut outdated_models = find_outdated_models(engines, models, named, pending);
    // The model with the fewest current engines goes first, so that no trainer waits for the models of others.
    outdated_models.sort_by_key(|state| (state.current, state.model.clone()));
    for state in outdated_models {
        let mut candidates: Vec<&&TargetEntry> = engines
            .iter()
            .filter(|target| target.cold_until <= now && !has_pending_order(target))
            .filter(|target| target.model_version(&state.model).is_some_and(|version| version < state.version))
            .filter(|target| chosen_targets.binary_search(&target.id.as_str()).is_err())
            .collect();
        candidates.sort_by_cached_key(|target| rank_candidate(target, &state, named));
        for target in candidates.into_iter().take(state.wanted.saturating_sub(state.current)) {
            if free_loads == 0 {
                return orders;
            }
            free_loads -= 1;
            if let Err(position) = chosen_targets.binary_search(&target.id.as_str()) {
                chosen_targets.insert(position, &target.id);
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
    now.saturating_sub(order.given_at) < LOAD_DURATION
}

/// How many engines have the announced version of a model, and how many should.
#[derive(Debug)]
struct ModelState {
    model: String,
    version: WeightVersion,
    /// Number of engines that should have the announced version.
    wanted: usize,
    /// Number of engines that have the announced version or are ordered to load it.
    current: usize,
}

/// Finds the models that need more engines with the announced version. Engines with a pending order count as having it.
fn find_outdated_models(
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
    let share = (engines.len() * MODELS_PER_ENGINE_PERCENT / 100).div_ceil(models.len().max(1)).max(1);
    let states = named.iter().filter(|named| models.contains(&named.model)).map(|named| {
        let has_version =
            |target: &TargetEntry| target.model_version(&named.model).is_some_and(|version| version >= named.version);
        let ordered = pending.iter().filter(|order| {
            order.model == named.model
                && order.version >= named.version
                && !engine(&order.target).is_some_and(has_version)
        });
        ModelState {
            model: named.model.clone(),
            version: named.version,
            wanted: share.div_ceil(2),
            current: engines.iter().filter(|target| has_version(target)).count() + ordered.count(),
        }
    });
    states.filter(|state| state.current < state.wanted).collect()
}

/// Sort key, smallest first: engines whose version is too old for the step, then those that can serve the fewest other
/// models, then those with the newest version, then by id.
fn rank_candidate(target: &TargetEntry, state: &ModelState, named: &[NamedVersion]) -> (bool, usize, u64, TargetId) {
    let own = target.model_version(&state.model).unwrap_or_default();
    let can_serve_step = own + 1 >= state.version;
    let others = named.iter().filter(|other| {
        other.model != state.model
            && target.model_version(&other.model).is_some_and(|version| version + 1 >= other.version)
    });
    (can_serve_step, others.count(), state.version.saturating_sub(own), target.id.clone())
}
