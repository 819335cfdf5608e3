//! Placement of the items of a batch job.

use std::net::SocketAddr;

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::job_plan::{IdleConnections, ItemScheduler, PlacementContext, RunOutcome};
use camphorspring::jobs::job_record::{ItemSpec, JobSpec};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, view};

/// Job of groups of items, the last ones the longest.
pub fn spec(groups: usize, group_size: usize) -> JobSpec {
    let items = (0..groups * group_size).map(|index| ItemSpec {
        id: format!("i{index:03}"),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: String::new(),
        expected_tokens: u32::try_from(index).unwrap_or_default(),
        group: format!("g{:02}", index / group_size),
    });
    JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items: items.collect() }
}

fn start_all(plan: &mut ItemScheduler, loads: &mut LoadTable, view: &FleetView, now: BootTime) -> Vec<(usize, String)> {
    start_with(Vec::new(), plan, loads, view, now)
}

/// Starts what can be started with these idle connections.
fn start_with(
    idle: Vec<SocketAddr>,
    plan: &mut ItemScheduler,
    loads: &mut LoadTable,
    view: &FleetView,
    now: BootTime,
) -> Vec<(usize, String)> {
    let idle = IdleConnections::new(idle);
    let context = PlacementContext {
        idle: &idle,
        view,
        service: "models",
        cold_rate: 11.0,
        host: "h1",
        domain: "north",
        hosts: &["h1", "h2"],
        now,
    };
    plan.next_starts(loads, &context).into_iter().map(|start| (start.item, start.target.id)).collect()
}

/// Guards against a burst to a cold engine: all items of a step were placed in one pass before the first was counted.
#[gtest]
fn cold_engine_gets_its_allowance_only() {
    let now = at(10_000);
    let mut cold = engine("e1", 1);
    cold.cold_until = at(13_000);
    let view = view(vec![cold], &["h1", "h2"], now);
    let mut plan = ItemScheduler::new(&spec(8, 8), 3);
    let mut loads = LoadTable::new();
    let first = start_all(&mut plan, &mut loads, &view, now).len();
    let later = start_all(&mut plan, &mut loads, &view, at(10_500)).len();
    // 11 a second for two hosts.
    expect_that!((first, later), eq((5, 0)));
}

/// Guards against work that queues in an engine while others have free slots.
#[gtest]
fn items_stay_within_the_slots_of_all_hosts() {
    let now = at(10_000);
    let mut view = view(vec![engine("e1", 1), engine("e2", 1)], &["h1", "h2"], now);
    let mut members = (*view.members).clone();
    members[1].row.running = vec![camphorspring::fleet::member_row::RunningCount { target: "e2".to_owned(), count: 7 }];
    view.members = members.into();
    let mut plan = ItemScheduler::new(&spec(8, 8), 3);
    let mut loads = LoadTable::new();
    let starts = start_all(&mut plan, &mut loads, &view, now);
    let on = |id: &str| starts.iter().filter(|start| start.1 == id).count();
    expect_that!((on("e1"), on("e2")), eq((12, 5)));
}

/// Guards against a step that waits for its longest items because they started last.
#[gtest]
fn longest_items_start_first() {
    let now = at(10_000);
    let view = view(vec![engine("e1", 1)], &["h1"], now);
    let mut plan = ItemScheduler::new(&spec(4, 4), 3);
    let mut loads = LoadTable::new();
    let items: Vec<usize> = start_all(&mut plan, &mut loads, &view, now).into_iter().map(|start| start.0).collect();
    expect_that!(items, eq(&(4..16).rev().collect::<Vec<usize>>()));
}

/// Guards against samples from weights older than the step allows.
#[gtest]
fn engines_with_old_weights_get_nothing() {
    let now = at(10_000);
    let view = view(vec![engine("e1", 1), engine("e2", 2)], &["h1"], now);
    let mut old = spec(1, 4);
    old.least_version = 2;
    let mut plan = ItemScheduler::new(&old, 3);
    let mut loads = LoadTable::new();
    let starts = start_all(&mut plan, &mut loads, &view, now);
    expect_that!(starts.iter().all(|start| start.1 == "e2"), eq(true));
    expect_that!(starts.len(), eq(4));
}

/// Guards against an item that is given up before it failed as often as its route allows.
#[gtest]
fn items_fail_as_often_as_allowed() {
    let mut plan = ItemScheduler::new(&spec(1, 1), 3);
    let ends: Vec<bool> = (0..3).map(|_| plan.record_run_end(0, RunOutcome::Failed, at(0))).collect();
    expect_that!(ends, eq(&vec![false, false, true]));
    let mut plan = ItemScheduler::new(&spec(1, 1), 3);
    let broken: Vec<bool> = (0..9).map(|_| plan.record_run_end(0, RunOutcome::Broken, at(0))).collect();
    expect_that!(broken.contains(&true), eq(false));
    expect_that!(plan.record_run_end(0, RunOutcome::Impossible, at(0)), eq(true));
}

/// Guards against new connections to engines while others that are as free have idle ones, and against an engine that is
/// filled for its connections.
#[gtest]
fn idle_connections_are_used_first() {
    let now = at(10_000);
    let (mut one, mut other) = (engine("e1", 1), engine("e2", 1));
    one.address = SocketAddr::from(([127, 0, 0, 1], 1));
    other.address = SocketAddr::from(([127, 0, 0, 1], 2));
    let idle = vec![other.address, other.address];
    let view = view(vec![one, other], &["h1"], now);
    // Each item is a group of its own, so that no prompt draws it to an engine.
    let mut plan = ItemScheduler::new(&spec(4, 1), 3);
    let starts = start_with(idle, &mut plan, &mut LoadTable::new(), &view, now);
    let targets: Vec<&str> = starts.iter().map(|start| start.1.as_str()).collect();
    expect_that!(targets, eq(&vec!["e2", "e1", "e2", "e1"]));
}
