//! Engine orders: stage and switch weights, adapters and roles.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::generated::engine_messages::{EngineOrder, OrderAction};
use camphorspring::store_client::http_agent;

use super::records::OrderTrace;
use super::state::EngineState;
use crate::server::HttpResponse;

/// Longest wait for a connection to the weight store.
const STORE_CONNECT: Duration = Duration::from_secs(1);

/// Longest wait for weights from the store.
const STORE_LIMIT: Duration = Duration::from_secs(30);

/// Largest weights that are read, in bytes.
const WEIGHT_BYTES: u64 = 64 * 1024 * 1024;

pub(super) async fn take_order(order: EngineOrder, state: &Arc<EngineState>) -> HttpResponse {
    let accepted = pass_fence(order.epoch, state);
    state.change_records(|records| records.orders.push(OrderTrace { order: order.clone(), accepted }));
    if !accepted {
        return HttpResponse::error(409, "the epoch is old");
    }
    match order.action {
        OrderAction::StageWeights => with_version(&order, |version| stage(version, Arc::clone(state))).await,
        OrderAction::SwitchWeights => with_version(&order, |version| switch(version, Arc::clone(state))).await,
        OrderAction::LoadAdapter | OrderAction::SetRole => {
            state.change_records(|records| records.roles.push(order.argument.clone()));
            done(state)
        }
    }
}

async fn with_version<F: Future<Output = HttpResponse>>(
    order: &EngineOrder,
    action: impl FnOnce(u64) -> F,
) -> HttpResponse {
    match order.argument.parse() {
        Ok(version) => action(version).await,
        Err(_) => HttpResponse::error(400, "the argument is not a version"),
    }
}

/// Whether an order may be carried out; an engine that does not check accepts every epoch.
fn pass_fence(epoch: u64, state: &EngineState) -> bool {
    let mut highest = state.highest_epoch.lock().expect("no task of the engine panicked");
    let accepted = !state.options.checks_fencing || epoch >= *highest;
    *highest = epoch.max(*highest);
    accepted
}

async fn stage(version: u64, state: Arc<EngineState>) -> HttpResponse {
    if let Some(store) = state.options.weight_store_url.clone() {
        let fetch = tokio::task::spawn_blocking(move || fetch_weights(&store, version));
        match fetch.await {
            Ok(Ok(())) => {}
            Ok(Err(status)) => return HttpResponse::error(503, &format!("the weight store answered {status}")),
            Err(_) => return HttpResponse::error(500, "the fetch was broken off"),
        }
    }
    tokio::time::sleep(state.options.stage_time).await;
    state.life().staged_version = Some(version);
    done(&state)
}

/// Reads one version from the store; the error is its status, 0 when there was no answer.
fn fetch_weights(store: &str, version: u64) -> Result<(), u16> {
    let agent = http_agent(STORE_CONNECT, STORE_LIMIT);
    let mut response = agent.get(format!("{store}/weights/{version}")).call().map_err(|_| 0_u16)?;
    if !response.status().is_success() {
        return Err(response.status().as_u16());
    }
    let body = response.body_mut().with_config().limit(WEIGHT_BYTES).read_to_vec();
    body.map(drop).map_err(|_| 0)
}

async fn switch(version: u64, state: Arc<EngineState>) -> HttpResponse {
    let life_version = state.life().weight_version;
    if life_version == version {
        return done(&state);
    }
    if state.life().staged_version != Some(version) {
        return HttpResponse::error(409, "the version is not staged");
    }
    tokio::time::sleep(state.options.switch_time).await;
    let mut behaviour = state.behaviour();
    if behaviour.failing_switches > 0 {
        behaviour.failing_switches -= 1;
        return HttpResponse::error(500, "the switch failed");
    }
    drop(behaviour);
    state.life().weight_version = version;
    done(&state)
}

fn done(state: &EngineState) -> HttpResponse {
    HttpResponse::json(200, &state.reported_load())
}
