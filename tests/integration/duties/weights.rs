//! Weight orders: which engines are ordered to load a new version.

use camphorspring::duties::weight_rollout::{PendingOrder, plan_orders};
use camphorspring::fleet::fleet_view::{LoadedModel, NamedVersion, TargetEntry};
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

/// Guards against steps that queue at two of nine engines: two trainers announce a version every four seconds each, a load
/// takes one second, and with one load at a time each version reached only two engines before the next one came. An
/// installation of nine engines takes two loads at once.
#[gtest]
fn two_trainers_get_four_engines_for_each_version() {
    let mut engines = engines(&[1; 9]);
    for engine in &mut engines {
        engine.models.push(LoadedModel { model: "n".to_owned(), version: 1 });
    }
    let models = ["m".to_owned(), "n".to_owned()];
    let named_versions = [named(4), NamedVersion { model: "n".to_owned(), version: 4 }];
    let mut order_counts = [0, 0];
    for second in 0..4 {
        let targets: Vec<&TargetEntry> = engines.iter().collect();
        let orders = plan_orders(&targets, &models, &named_versions, &[], at(1000 * second));
        // Each load is complete before the orders of the next second.
        for order in orders {
            order_counts[usize::from(order.model == "n")] += 1;
            let engine = engines.iter_mut().find(|engine| engine.id == order.target.id).expect("the engine is known");
            let loaded = engine.models.iter_mut().find(|loaded| loaded.model == order.model);
            loaded.expect("the engine has the model").version = order.version;
        }
    }
    expect_that!(order_counts, eq([4, 4]));
}
