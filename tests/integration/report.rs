//! Burn report: counts by minute, merged over several hosts.

use std::time::Duration;

use camphorspring::generated::services_text::ServiceObjective;
use camphorspring::report::burn_plot::write_plot;
use camphorspring::report::burn_recorder::BurnRecorder;
use camphorspring::report::burn_report::{burn_rate, merge_burn, report_text};
use googletest::prelude::*;

fn create_objective() -> ServiceObjective {
    ServiceObjective { latency_ms: 500, good_share: 0.99, window_hours: 720 }
}

fn record_many(recorder: &BurnRecorder, organisation: &str, good: u32, bad: u32, now: Duration) {
    for _ in 0..good {
        recorder.record("tracking", organisation, &create_objective(), true, now);
    }
    for _ in 0..bad {
        recorder.record("tracking", organisation, &create_objective(), false, now);
    }
}

/// Guards against a merged report that omits the counts of a host, mixes organisations, or does not name a host that
/// did not answer.
#[googletest::test]
fn report_merges_hosts() {
    let minute = Duration::from_mins(1);
    let north = BurnRecorder::new("host-1", "north", minute);
    let south = BurnRecorder::new("host-2", "south", minute);
    record_many(&north, "large", 90, 10, minute * 2);
    record_many(&north, "", 10, 0, minute * 2);
    record_many(&south, "large", 100, 0, minute * 100);
    let now = minute * 101;
    let report = merge_burn(&[north.answer(now), south.answer(now)], vec!["host-3".to_owned()]);
    insta::assert_snapshot!(report_text(&report));
}

/// Guards against windows that include counts of minutes older than the window.
#[googletest::test]
fn old_minutes_leave_the_windows() {
    let recorder = BurnRecorder::new("host-1", "north", Duration::ZERO);
    record_many(&recorder, "large", 0, 5, Duration::from_mins(1));
    let answer = recorder.answer(Duration::from_mins(62));
    let bad: Vec<u64> = answer.entries[0].windows.iter().map(|window| window.bad).collect();
    expect_that!(bad, eq(&vec![0, 0, 5]));
}

/// Guards against a division by zero without requests, and against a burn rate other than 1 at the objective.
#[googletest::test]
fn burn_rate_is_one_at_the_objective() {
    expect_that!(burn_rate(0, 0, 0.99), eq(0.0));
    expect_that!(burn_rate(99, 1, 0.99), near(1.0, 1e-9));
}

/// Guards against a plot that cannot be written for a report with data.
#[googletest::test]
fn plot_is_written_as_svg() {
    let recorder = BurnRecorder::new("host-1", "north", Duration::ZERO);
    record_many(&recorder, "large", 5, 5, Duration::from_mins(1));
    let report = merge_burn(&[recorder.answer(Duration::from_mins(2))], Vec::new());
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("burn.svg");
    write_plot(&report, &file).unwrap();
    let text = std::fs::read_to_string(file).unwrap();
    expect_that!(text, contains_substring("<polyline"));
}
