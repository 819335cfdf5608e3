//! Migration of runs off slow engines.

use camphorspring::fleet::fleet_view::TargetEntry;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::item_scheduler::{IdleConnections, PlacementContext, should_migrate};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, share_clock, view};

/// Load table of engines e0, e1 and so on with these paces, in milliseconds per event.
fn loads(paces: &[u32]) -> LoadTable {
    let mut loads = LoadTable::new();
    for (index, pace) in paces.iter().enumerate() {
        loads.record_pace(&format!("e{index}"), f64::from(*pace) / 1000.0);
    }
    loads
}

fn migrates(paces: &[u32], running: &[u32], target: &str, pace_ms: u32) -> bool {
    let engines: Vec<TargetEntry> = (0..paces.len()).map(|index| engine(&format!("e{index}"), 1)).collect();
    let now = at(10_000);
    let view = view(engines, &["h1"], now);
    let mut loads = loads(paces);
    for (index, count) in running.iter().enumerate() {
        loads.entry(&format!("e{index}")).running = *count;
    }
    let idle_connections = IdleConnections::default();
    let context = PlacementContext {
        view: &view,
        service: "models",
        cold_rate: 0.0,
        domain: "north",
        idle_connections: &idle_connections,
        clock: share_clock("h1", now),
    };
    should_migrate(f64::from(pace_ms) / 1000.0, target, &|_, _| true, &mut loads, &context)
}

/// Guards against a step that waits for an item on an engine that runs four times slower than the others.
#[gtest]
fn run_leaves_a_slow_engine() {
    expect_that!(migrates(&[150, 39, 38, 40], &[], "e0", 150), eq(true));
}

/// Guards against runs that migrate back and forth between engines whose paces differ little.
#[gtest]
fn run_stays_at_the_usual_pace() {
    expect_that!(migrates(&[40, 39, 38, 40], &[], "e0", 60), eq(false));
}

/// Guards against a run that leaves a slow engine although it then has to wait for a free slot, or runs on another slow
/// one.
#[gtest]
fn run_stays_when_the_others_are_full_or_slow() {
    expect_that!(migrates(&[150, 39, 38], &[1, 12, 12], "e0", 150), eq(false));
    expect_that!(migrates(&[150, 140, 39, 38, 38], &[0, 0, 12, 12, 12], "e0", 150), eq(false));
}

/// Guards against a migration before the pace of any engine is known.
#[gtest]
fn run_stays_without_a_comparison() {
    expect_that!(migrates(&[], &[], "e0", 150), eq(false));
}

/// Guards against a slow engine that gets the next items at once, and against one that never gets any again. The pause
/// must outlast a run that ends well, and the pace must be measured anew.
#[gtest]
fn slow_engine_is_paused_and_measured_anew() {
    let mut loads = loads(&[150]);
    loads.record_slow("e0", at(10_000));
    loads.record_success("e0", None);
    expect_that!(loads.entry("e0").paused_until, eq(at(13_000)));
    expect_that!(loads.entry("e0").pace, none());
}
