//! Execution of engine orders: staging and switching weights, loading adapters, setting roles.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::generated::engine_messages::{EngineOrder, OrderAction};
use camphorspring::store_client::http_agent;

use super::records::OrderRecord;
use super::state::EngineState;
use crate::server::HttpResponse;

const STORE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of a whole read from the weight store, connecting included.
const STORE_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Size above which weights from the store are refused.
const MAX_WEIGHT_BYTES: u64 = 64 * 1024 * 1024;

pub(super) async fn execute_order(order: EngineOrder, state: &Arc<EngineState>) -> HttpResponse {
    let accepted = admit_epoch(order.epoch, state);
    state.update_records(|records| records.orders.push(OrderRecord { order: order.clone(), accepted }));
    if !accepted {
        return HttpResponse::error(409, "the epoch is old");
    }
    match order.action {
        OrderAction::StageWeights => {
            run_with_version(&order, |version| stage_weights(version, Arc::clone(state))).await
        }
        OrderAction::SwitchWeights => {
            run_with_version(&order, |version| switch_weights(version, Arc::clone(state))).await
        }
        OrderAction::LoadAdapter | OrderAction::SetRole => {
            state.update_records(|records| records.roles.push(order.argument.clone()));
            respond_with_load(state)
        }
    }
}

async fn run_with_version<F: Future<Output = HttpResponse>>(
    order: &EngineOrder,
    action: impl FnOnce(u64) -> F,
) -> HttpResponse {
    match order.argument.parse() {
        Ok(version) => action(version).await,
        Err(_) => HttpResponse::error(400, "the argument is not a version"),
    }
}

/// Raises the highest epoch to that of an order and returns whether the order may be executed; an engine without fencing checks
/// accepts every epoch.
fn admit_epoch(epoch: u64, state: &EngineState) -> bool {
    let mut highest = state.highest_epoch.lock().expect("no task of the engine panicked");
    let accepted = !state.options.checks_fencing || epoch >= *highest;
    *highest = epoch.max(*highest);
    accepted
}

async fn stage_weights(version: u64, state: Arc<EngineState>) -> HttpResponse {
    if let Some(store) = state.options.weight_store_url.clone() {
        let fetch_task = tokio::task::spawn_blocking(move || fetch_weights(&store, version));
        match fetch_task.await {
            Ok(Ok(())) => {}
            Ok(Err(status)) => return HttpResponse::error(503, &format!("the weight store answered {status}")),
            Err(_) => return HttpResponse::error(500, "the fetch was broken off"),
        }
    }
    tokio::time::sleep(state.options.stage_time).await;
    state.incarnation().staged_version = Some(version);
    respond_with_load(&state)
}

/// Reads one version of the weights from the store and discards the content.
///
/// # Errors
///
/// The status of an unsuccessful response; 0 when there was no response, or its body was too large or incomplete.
fn fetch_weights(store: &str, version: u64) -> Result<(), u16> {
    let agent = http_agent(STORE_CONNECT_TIMEOUT, STORE_READ_TIMEOUT);
    let mut response = agent.get(format!("{store}/weights/{version}")).call().map_err(|_| 0_u16)?;
    if !response.status().is_success() {
        return Err(response.status().as_u16());
    }
    let body = response.body_mut().with_config().limit(MAX_WEIGHT_BYTES).read_to_vec();
    body.map(drop).map_err(|_| 0)
}

async fn switch_weights(version: u64, state: Arc<EngineState>) -> HttpResponse {
    let current_version = state.incarnation().weight_version;
    if current_version == version {
        return respond_with_load(&state);
    }
    if state.incarnation().staged_version != Some(version) {
        return HttpResponse::error(409, "the version is not staged");
    }
    tokio::time::sleep(state.options.switch_time).await;
    let mut behaviour = state.behaviour();
    if behaviour.failing_switches > 0 {
        behaviour.failing_switches -= 1;
        return HttpResponse::error(500, "the switch failed");
    }
    drop(behaviour);
    state.incarnation().weight_version = version;
    respond_with_load(&state)
}

fn respond_with_load(state: &EngineState) -> HttpResponse {
    HttpResponse::json(200, &state.reported_load())
}
