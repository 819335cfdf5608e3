//! Short items of a step follow in waves.

use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_view::TargetEntry;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::job_plan::{IdleConnections, ItemScheduler, PlacementContext, RunOutcome};
use camphorspring::jobs::job_record::JobSpec;
use googletest::prelude::*;

use super::plan::spec;
use crate::fleet::builders::{at, engine, view};

/// Time that an engine takes for one event, in milliseconds.
const EVENT_MS: u64 = 48;

/// Events of the items of a step: most are short, one in sixteen runs to the limit of its route.
fn events(item: usize) -> u64 {
    match item % 16 {
        0 => 162,
        1 | 2 => 80,
        rest => 4 + rest as u64,
    }
}

#[derive(Debug)]
struct StepRun {
    most_at_once: usize,
    longest_started: Duration,
    ended: Duration,
}

/// Runs a step of 13 groups of 16 items on 22 engines.
fn run_step(hint: fn(usize) -> u64) -> StepRun {
    let mut spec: JobSpec = spec(13, 16);
    for (position, item) in spec.items.iter_mut().enumerate() {
        item.expected_tokens = u32::try_from(hint(position)).expect("hints are small");
    }
    let engines: Vec<TargetEntry> = (0..22).map(|number| engine(&format!("e{number:02}"), 1)).collect();
    let view = view(engines, &["h1"], at(10_000));
    let mut plan = ItemScheduler::new(&spec, 3);
    let mut loads = LoadTable::new();
    let mut running: Vec<(BootTime, usize, String)> = Vec::new();
    let mut run = StepRun { most_at_once: 0, longest_started: Duration::ZERO, ended: Duration::ZERO };
    let mut now = at(10_000);
    loop {
        let (ended, left) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = left;
        let ended: Vec<(BootTime, usize, String)> = ended;
        for (_, item, target) in ended {
            loads.end(&target, true);
            plan.record_run_end(item, RunOutcome::Complete, now);
        }
        let hosts = ["h1"];
        let idle = IdleConnections::default();
        let context = PlacementContext {
            idle: &idle,
            view: &view,
            service: "models",
            cold_rate: 11.0,
            host: "h1",
            domain: "north",
            hosts: &hosts,
            now,
        };
        for start in plan.next_starts(&mut loads, &context) {
            let since = now.saturating_sub(at(10_000));
            if events(start.item) == 162 {
                run.longest_started = since;
            }
            running.push((now + Duration::from_millis(EVENT_MS * events(start.item)), start.item, start.target.id));
        }
        run.most_at_once = run.most_at_once.max(running.len());
        if running.is_empty() {
            run.ended = now.saturating_sub(at(10_000));
            return run;
        }
        now += Duration::from_millis(20);
    }
}

/// Replays a step that is handed in as one burst. Guards against a connection and a slot for each of its items at once,
/// and against waves that delay the end of the step.
#[gtest]
fn short_items_of_a_step_share_connections() {
    let run = run_step(events);
    expect_that!(run.most_at_once, le(104));
    expect_that!(run.longest_started, eq(Duration::ZERO));
    expect_that!(run.ended, le(Duration::from_millis(162 * EVENT_MS + 20)));
}

/// Guards against long items that start late because their hints are off by a factor of two.
#[gtest]
fn items_with_wrong_hints_start_at_once() {
    let run = run_step(|item| if item % 32 == 0 { events(item) / 2 } else { events(item) });
    expect_that!(run.longest_started, eq(Duration::ZERO));
}

/// Guards against items that wait for each other without knowing their lengths.
#[gtest]
fn items_of_unknown_length_start_at_once() {
    let run = run_step(|_| 10);
    expect_that!(run.most_at_once, eq(208));
}
