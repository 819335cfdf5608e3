//! Orders of weight versions.

use camphorspring::duties::weight_rollout::{PendingOrder, plan_orders};
use camphorspring::fleet::fleet_view::TargetEntry;
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, named};

fn engines(versions: &[u64]) -> Vec<TargetEntry> {
    versions.iter().enumerate().map(|(index, version)| engine(&format!("e{index:02}"), *version)).collect()
}

fn ordered(engines: &[TargetEntry], version: u64, pending: &[PendingOrder]) -> Vec<String> {
    let targets: Vec<&TargetEntry> = engines.iter().collect();
    let orders = plan_orders(&targets, &["m".to_owned()], &[named(version)], pending, at(0));
    orders.into_iter().map(|order| order.target.id).collect()
}

/// Guards against a step that finds no engine because all of them load the version just named.
#[gtest]
fn engines_two_versions_behind_load_first() {
    // e00 and e01 can serve the step of version 5, which allows version 4.
    let engines = engines(&[4, 4, 3, 3, 3]);
    expect_that!(ordered(&engines, 5, &[]), eq(&vec!["e02"]));
}

/// Guards against orders that are given again while they are carried out, and against too many loads at one time.
#[gtest]
fn pending_orders_count() {
    let engines = engines(&[3, 3, 3, 3, 3, 3, 3, 3, 3, 3]);
    let pending = |target: &str| PendingOrder {
        target: target.to_owned(),
        started_ms: Some(1),
        model: "m".to_owned(),
        version: 4,
        given_at: at(0),
    };
    expect_that!(ordered(&engines, 4, &[]).len(), eq(2));
    expect_that!(ordered(&engines, 4, &[pending("e00")]), eq(&vec!["e01"]));
    expect_that!(ordered(&engines, 4, &[pending("e00"), pending("e01")]).len(), eq(0));
}
