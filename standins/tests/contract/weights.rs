//! Contract of the weight store stand-in, alone and as the store of an engine.

use camphorspring::generated::engine_messages::{EngineOrder, OrderAction};
use camphorspring_standins::{EngineOptions, EngineStandin, WeightStoreOptions, WeightStoreStandin};
use googletest::prelude::*;

use super::support::{WAIT_LIMIT, get, post};

/// Guards against a store that ignores the limit on reads, and against reads of versions that are not published yet.
#[googletest::test]
fn store_serves_published_versions_under_its_limit() {
    let options = WeightStoreOptions { reads_per_second: 2, weight_bytes: 10, ..WeightStoreOptions::default() };
    let store = WeightStoreStandin::start(options).expect("a port");
    let read = |path: &str| get(&format!("{}/weights/{path}", store.url()), WAIT_LIMIT).expect("an answer");
    expect_that!(read("latest").body, eq(r#"{"version":1}"#));
    expect_that!(read("2").status, eq(404));
    store.set_latest(2);
    expect_that!(read("2").body.len(), eq(10));
    let refused_reads = (0..5).filter(|_| read("1").status == 429).count();
    expect_that!(refused_reads, ge(1));
    expect_that!(store.refused_reads(), eq(refused_reads as u64));
}

/// Guards against an engine that stages, and then switches to, weights that the store did not deliver.
#[googletest::test]
fn engine_stages_only_what_the_store_gives() {
    let store = WeightStoreStandin::start(WeightStoreOptions { latest: 2, ..WeightStoreOptions::default() });
    let store = store.expect("a port");
    let options = EngineOptions { weight_store_url: Some(store.url()), ..EngineOptions::default() };
    let engine = EngineStandin::start(options).expect("a port");
    let send_order = |action, version: &str| {
        let order = EngineOrder { epoch: 1, action, argument: version.to_owned() };
        let body = serde_json::to_string(&order).expect("JSON");
        post(&format!("{}/v1/orders", engine.url()), &body, WAIT_LIMIT).expect("an answer").status
    };
    expect_that!(send_order(OrderAction::StageWeights, "3"), eq(503));
    expect_that!(send_order(OrderAction::SwitchWeights, "3"), eq(409));
    expect_that!(send_order(OrderAction::StageWeights, "2"), eq(200));
    expect_that!(send_order(OrderAction::SwitchWeights, "2"), eq(200));
    expect_that!(store.reads(), eq(1));
    expect_that!(engine.weight_version(), eq(2));
}
