//! Weight orders: which engines are ordered to load a new version.

use camphorspring::duties::weight_rollout::{PendingOrder, plan_orders};
use camphorspring::fleet::fleet_view::TargetEntry;
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, named};

fn engines(versions: &[u64]) -> Vec<TargetEntry> {
    versions.iter().enumerate().map(|(index, version)| engine(&format!("e{index:02}"), *version)).collect()
}

fn plan_targets(engines: &[TargetEntry], version: u64, pending: &[PendingOrder]) -> Vec<String> {
    let targets: Vec<&TargetEntry> = engines.iter().collect();
    let orders = plan_orders(&targets, &["m".to_owned()], &[named(version)], pending, at(0));
    orders.into_iter().map(|order| order.target.id).collect()
}

/// Guards against a step that finds no engine because all engines load the version that was just announced.
#[gtest]
fn engines_two_versions_behind_load_first() {
    // e00 and e01 can serve a step for version 5, since the step accepts version 4 too.
    let engines = engines(&[4, 4, 3, 3, 3]);
    expect_that!(plan_targets(&engines, 5, &[]), eq(&vec!["e02"]));
}

/// Guards against orders that are sent again while they are carried out, and against too many concurrent loads.
#[gtest]
fn pending_orders_are_not_repeated_and_use_load_capacity() {
    let engines = engines(&[3, 3, 3, 3, 3, 3, 3, 3, 3, 3]);
    let pending = |target: &str| PendingOrder {
        target: target.to_owned(),
        started_ms: Some(1),
        model: "m".to_owned(),
        version: 4,
        given_at: at(0),
    };
    expect_that!(plan_targets(&engines, 4, &[]).len(), eq(2));
    expect_that!(plan_targets(&engines, 4, &[pending("e00")]), eq(&vec!["e01"]));
    expect_that!(plan_targets(&engines, 4, &[pending("e00"), pending("e01")]).len(), eq(0));
}
