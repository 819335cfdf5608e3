//! Waves of the short items of a step.

use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::fleet::fleet_view::TargetEntry;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::item_scheduler::{IdleConnections, ItemScheduler, PlacementContext, RunOutcome};
use camphorspring::jobs::job_record::JobSpec;
use googletest::prelude::*;

use super::plan::spec;
use crate::fleet::builders::{at, engine, share_clock, view};

/// Time that an engine takes for one event, in milliseconds.
const EVENT_MS: u64 = 48;

/// Number of events of an item: most items are short, and one in sixteen has 162 events, the most of all.
fn event_count(item: usize) -> u64 {
    match item % 16 {
        0 => 162,
        1 | 2 => 80,
        rest => 4 + rest as u64,
    }
}

#[derive(Debug)]
struct StepRun {
    /// Most items that ran at the same time.
    max_running: usize,
    /// Time from the start of the step to the latest start of an item of 162 events.
    last_long_start: Duration,
    /// Time from the start of the step to its end.
    duration: Duration,
}

/// Simulates a step of 13 groups of 16 items on 22 engines, with expected lengths from `hint`.
fn run_step(hint: fn(usize) -> u64) -> StepRun {
    run_step_with(hint, &IdleConnections::default())
}

fn run_step_with(hint: fn(usize) -> u64, idle_connections: &IdleConnections) -> StepRun {
    let mut spec: JobSpec = spec(13, 16);
    for (position, item) in spec.items.iter_mut().enumerate() {
        item.expected_tokens = u32::try_from(hint(position)).expect("hints are small");
    }
    let engines: Vec<TargetEntry> = (0..22).map(|number| engine(&format!("e{number:02}"), 1)).collect();
    let view = view(engines, &["h1"], at(10_000));
    let mut scheduler = ItemScheduler::new(&spec, 3);
    let mut loads = LoadTable::new();
    let mut running: Vec<(BootTime, usize, String)> = Vec::new();
    let mut run = StepRun { max_running: 0, last_long_start: Duration::ZERO, duration: Duration::ZERO };
    let mut now = at(10_000);
    loop {
        let (ended_runs, still_running) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = still_running;
        let ended_runs: Vec<(BootTime, usize, String)> = ended_runs;
        for (_, item, target) in ended_runs {
            loads.end(&target, true);
            scheduler.record_run_end(item, RunOutcome::Complete, now);
        }
        let context = PlacementContext {
            idle_connections,
            view: &view,
            service: "models",
            cold_rate: 11.0,
            domain: "north",
            clock: share_clock("h1", now),
        };
        for start in scheduler.start_items(&mut loads, &context) {
            let elapsed = now.saturating_sub(at(10_000));
            if event_count(start.item) == 162 {
                run.last_long_start = elapsed;
            }
            running.push((
                now + Duration::from_millis(EVENT_MS * event_count(start.item)),
                start.item,
                start.target.id,
            ));
        }
        run.max_running = run.max_running.max(running.len());
        if running.is_empty() {
            run.duration = now.saturating_sub(at(10_000));
            return run;
        }
        now += Duration::from_millis(20);
    }
}

/// Guards against a burst that takes one connection and one slot for each item of the step, and against waves that
/// delay the end of the step. At most half of the 208 items may run at the same time.
#[gtest]
fn short_items_of_a_step_share_connections() {
    let run = run_step(event_count);
    expect_that!(run.max_running, le(104));
    expect_that!(run.last_long_start, eq(Duration::ZERO));
    expect_that!(run.duration, le(Duration::from_millis(162 * EVENT_MS + 20)));
}

/// Guards against long items that start late as if they were short, because their expected lengths are too small by a
/// factor of two.
#[gtest]
fn items_with_wrong_hints_start_at_once() {
    let run = run_step(|item| if item % 32 == 0 { event_count(item) / 2 } else { event_count(item) });
    expect_that!(run.last_long_start, eq(Duration::ZERO));
}

/// Guards against items that run in waves although nothing is known of their lengths, since all hints are equal.
#[gtest]
fn items_of_unknown_length_start_at_once() {
    let run = run_step(|_| 10);
    expect_that!(run.max_running, eq(208));
}

/// Guards against short items that wait for their wave although idle connections to engines with free slots are left from
/// the step before: all 208 items start at once, on 12 idle connections to each of the 22 engines.
#[gtest]
fn short_items_start_at_once_on_idle_connections() {
    let idle_addresses = vec![engine("e00", 1).address; 12];
    let run = run_step_with(event_count, &IdleConnections::new(idle_addresses));
    expect_that!(run.max_running, eq(208));
}
