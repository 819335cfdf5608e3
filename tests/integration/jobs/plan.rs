//! Placement of the items of a batch job.

use std::net::SocketAddr;

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_view::{FleetView, TargetEntry};
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::item_scheduler::{IdleConnections, ItemScheduler, PlacementContext, RunOutcome};
use camphorspring::jobs::job_encoder::{EncodedJob, JobEncoder};
use camphorspring::jobs::job_record::{ItemSpec, JobOutline, JobSpec};
use camphorspring::memory::MemoryBudget;
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, share_clock, view};

/// Job of `groups` groups of `group_size` items each; expected lengths rise with the position.
pub fn spec(groups: usize, group_size: usize) -> JobSpec {
    let items = (0..groups * group_size).map(|index| ItemSpec {
        id: format!("i{index:03}"),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: String::new(),
        expected_tokens: u32::try_from(index).unwrap_or_default(),
        group: format!("g{:02}", index / group_size),
        grading: None,
    });
    JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items: items.collect() }
}

/// Job as a host encodes it for the store.
pub fn encode_job(spec: &JobSpec) -> EncodedJob {
    let mut encoder = JobEncoder::new(&MemoryBudget::new(1 << 24, 1)).expect("there is memory");
    for item in &spec.items {
        encoder.add_item(item).expect("there is memory");
    }
    let outline = JobOutline {
        step: spec.step,
        model: spec.model.clone(),
        least_version: spec.least_version,
        group_target: spec.group_target,
    };
    encoder.finish(outline).expect("there is memory")
}

fn start_all(
    scheduler: &mut ItemScheduler,
    loads: &mut LoadTable,
    view: &FleetView,
    now: BootTime,
) -> Vec<(usize, String)> {
    start_with(Vec::new(), scheduler, loads, view, now)
}

/// Starts all items that can be started at `now` on host h1 of two; returns the position and target of each.
fn start_with(
    idle_addresses: Vec<SocketAddr>,
    scheduler: &mut ItemScheduler,
    loads: &mut LoadTable,
    view: &FleetView,
    now: BootTime,
) -> Vec<(usize, String)> {
    let idle_connections = IdleConnections::new(idle_addresses);
    loads.shares.record_hosts(view, "h1", now);
    let context = PlacementContext {
        idle_connections: &idle_connections,
        view,
        service: "models",
        cold_rate: 11.0,
        domain: "north",
        clock: share_clock("h1", now),
    };
    scheduler.start_items(loads, &context).into_iter().map(|start| (start.item, start.target.id)).collect()
}

/// Guards against a burst to a cold engine. All items of a step are placed in one pass; each start must be counted in
/// that pass, not when its run begins.
#[gtest]
fn cold_engine_gets_its_allowance_only() {
    let now = at(10_000);
    let mut cold = engine("e1", 1);
    cold.cold_until = at(13_000);
    let view = view(vec![cold], &["h1", "h2"], now);
    let mut scheduler = ItemScheduler::new(&spec(8, 8), 3);
    let mut loads = LoadTable::new();
    let first = start_all(&mut scheduler, &mut loads, &view, now).len();
    let later = start_all(&mut scheduler, &mut loads, &view, at(10_500)).len();
    // 11 requests per second are shared by two hosts, with the fraction dropped.
    expect_that!((first, later), eq((5, 0)));
}

/// Guards against items that queue in an engine while others have free slots: runs of other hosts take up slots too.
/// Each engine has 12 slots.
#[gtest]
fn items_stay_within_the_slots_of_all_hosts() {
    let now = at(10_000);
    let mut view = view(vec![engine("e1", 1), engine("e2", 1)], &["h1", "h2"], now);
    let mut members = (*view.members).clone();
    members[1].row.running = vec![camphorspring::fleet::member_row::RunningCount { target: "e2".to_owned(), count: 7 }];
    view.members = members.into();
    let mut scheduler = ItemScheduler::new(&spec(8, 8), 3);
    let mut loads = LoadTable::new();
    let starts = start_all(&mut scheduler, &mut loads, &view, now);
    let on = |id: &str| starts.iter().filter(|start| start.1 == id).count();
    expect_that!((on("e1"), on("e2")), eq((12, 5)));
}

/// Guards against a step that ends late because its longest items started last. The engine has 12 slots.
#[gtest]
fn longest_items_start_first() {
    let now = at(10_000);
    let view = view(vec![engine("e1", 1)], &["h1"], now);
    let mut scheduler = ItemScheduler::new(&spec(4, 4), 3);
    let mut loads = LoadTable::new();
    let items: Vec<usize> =
        start_all(&mut scheduler, &mut loads, &view, now).into_iter().map(|start| start.0).collect();
    expect_that!(items, eq(&(4..16).rev().collect::<Vec<usize>>()));
}

/// Guards against output from weights older than the step allows.
#[gtest]
fn engines_with_old_weights_get_nothing() {
    let now = at(10_000);
    let view = view(vec![engine("e1", 1), engine("e2", 2)], &["h1"], now);
    let mut job_spec = spec(1, 4);
    job_spec.least_version = 2;
    let mut scheduler = ItemScheduler::new(&job_spec, 3);
    let mut loads = LoadTable::new();
    let starts = start_all(&mut scheduler, &mut loads, &view, now);
    expect_that!(starts.iter().all(|start| start.1 == "e2"), eq(true));
    expect_that!(starts.len(), eq(4));
}

/// Guards against an item that is abandoned too early: only failed runs count towards the limit of its route, broken
/// ones do not.
#[gtest]
fn items_fail_as_often_as_allowed() {
    let mut scheduler = ItemScheduler::new(&spec(1, 1), 3);
    let are_abandoned: Vec<bool> = (0..3).map(|_| scheduler.record_run_end(0, RunOutcome::Failed, at(0))).collect();
    expect_that!(are_abandoned, eq(&vec![false, false, true]));
    let mut scheduler = ItemScheduler::new(&spec(1, 1), 3);
    let broken_abandoned: Vec<bool> = (0..9).map(|_| scheduler.record_run_end(0, RunOutcome::Broken, at(0))).collect();
    expect_that!(broken_abandoned.contains(&true), eq(false));
    let rejected = (0..9).map(|_| scheduler.record_run_end(0, RunOutcome::Rejected, at(0)));
    expect_that!(rejected.collect::<Vec<_>>(), eq(&[false; 9]));
    expect_that!(scheduler.record_run_end(0, RunOutcome::Impossible, at(0)), eq(true));
}

/// Guards against new connections to engines while equally loaded ones have idle connections, and against an engine
/// that gets more load than the others only because it has idle connections.
#[gtest]
fn idle_connections_are_used_first() {
    let now = at(10_000);
    let (mut one, mut other) = (engine("e1", 1), engine("e2", 1));
    one.address = SocketAddr::from(([127, 0, 0, 1], 1));
    other.address = SocketAddr::from(([127, 0, 0, 1], 2));
    let idle_addresses = vec![other.address, other.address];
    let view = view(vec![one, other], &["h1"], now);
    // Each item is a group of its own, so that no engine is preferred for its prompt.
    let mut scheduler = ItemScheduler::new(&spec(4, 1), 3);
    let starts = start_with(idle_addresses, &mut scheduler, &mut LoadTable::new(), &view, now);
    let targets: Vec<&str> = starts.iter().map(|start| start.1.as_str()).collect();
    expect_that!(targets, eq(&vec!["e2", "e1", "e2", "e1"]));
}

/// Engine with two slots and this software version.
fn engine_with_software(id: &str, software: &str) -> TargetEntry {
    TargetEntry { software: software.to_owned(), slots: 2, ..engine(id, 1) }
}

/// Starts the four items of a job on engines with these software versions and two slots each. The first two items have an
/// output that `s1` began, and wait since ten seconds after the boot. Returns item, target and whether its output is dropped.
fn start_with_outputs(software: &[(&str, &str)], running: &[&str], now: BootTime) -> Vec<(usize, String, bool)> {
    let view = view(software.iter().map(|(id, software)| engine_with_software(id, software)).collect(), &["h1"], now);
    let mut scheduler = ItemScheduler::new(&spec(2, 2), 3);
    for item in 0..2 {
        scheduler.record_output(item, Some("s1".to_owned()), 30, at(10_000));
    }
    let mut loads = LoadTable::new();
    for target in running {
        loads.start(target, true, false, now);
    }
    let context = PlacementContext {
        idle_connections: &IdleConnections::default(),
        view: &view,
        service: "models",
        cold_rate: 11.0,
        domain: "north",
        clock: share_clock("h1", now),
    };
    let starts = scheduler.start_items(&mut loads, &context);
    let mut starts: Vec<(usize, String, bool)> =
        starts.into_iter().map(|start| (start.item, start.target.id, start.drops_output)).collect();
    starts.sort();
    starts
}

fn started(starts: &[(usize, &str, bool)]) -> Vec<(usize, String, bool)> {
    starts.iter().map(|(item, target, is_dropped)| (*item, (*target).to_owned(), *is_dropped)).collect()
}

/// Guards against an output that is joined from two versions of the software, and against items that wait behind one that
/// no target can continue at present.
#[gtest]
fn outputs_go_on_at_their_software_version() {
    let engines = [("e1", "s1"), ("e2", "s2"), ("e3", "s2")];
    let with_room = start_with_outputs(&engines, &[], at(10_000));
    expect_that!(with_room[..2], eq(&started(&[(0, "e1", false), (1, "e1", false)])[..]));
    let without_room = start_with_outputs(&engines, &["e1", "e1"], at(11_900));
    expect_that!(without_room.iter().map(|start| start.0).collect::<Vec<usize>>(), eq(&vec![2, 3]));
}

/// Guards against an item that goes on trying the last engine of its software version, which refuses it each time or is dead,
/// although others have room: it waits for two seconds since its output last grew.
#[gtest]
fn failed_runs_do_not_prolong_the_wait_for_a_software_version() {
    let view = view(vec![engine_with_software("e1", "s1"), engine_with_software("e2", "s2")], &["h1"], at(10_000));
    let restarted_after = [RunOutcome::Refused, RunOutcome::Broken].map(|outcome| {
        let mut scheduler = ItemScheduler::new(&spec(1, 1), 3);
        let mut loads = LoadTable::new();
        scheduler.record_output(0, Some("s1".to_owned()), 30, at(10_000));
        for now in (10_000..20_000).step_by(20).map(at) {
            let context = PlacementContext {
                idle_connections: &IdleConnections::default(),
                view: &view,
                service: "models",
                cold_rate: 11.0,
                domain: "north",
                clock: share_clock("h1", now),
            };
            let Some(start) = scheduler.start_items(&mut loads, &context).pop() else { continue };
            if start.drops_output {
                return now.saturating_sub(at(10_000)).as_millis();
            }
            loads.end("e1", true);
            match outcome {
                RunOutcome::Refused => loads.record_full("e1", now),
                _ => loads.record_failure("e1", now),
            }
            scheduler.record_run_end(0, outcome, now);
            scheduler.record_output(0, Some("s1".to_owned()), 30, now);
        }
        u128::MAX
    });
    expect_that!(restarted_after, each(le(2_100)));
}

/// Guards against items that never run again because the software version that began them has left or has no room.
#[gtest]
fn outputs_of_a_software_version_without_room_are_dropped() {
    let left = start_with_outputs(&[("e2", "s2"), ("e3", "s2")], &[], at(10_000));
    expect_that!(
        left.iter().map(|start| (start.0, start.2)).collect::<Vec<_>>(),
        eq(&vec![(0, true), (1, true), (2, false), (3, false)])
    );
    let engines = [("e1", "s1"), ("e2", "s2"), ("e3", "s2")];
    let full = start_with_outputs(&engines, &["e1", "e1"], at(12_000));
    expect_that!(full.iter().filter(|start| start.2).count(), eq(2));
}
