//! Requests that are held back because targets crash under them.

use std::time::Duration;

use camphorspring::fleet::crash_table::{
    CrashReport, CrashTable, CrashVerdict, HOLD_LIMIT, RequestTrial, SETTLE_TIMEOUT, trial_delay,
};
use camphorspring::fleet::fleet_view::{FleetView, TargetState};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, view};

fn report(target: &str, host: &str, at_ms: u64) -> CrashReport {
    CrashReport {
        fingerprint: "a".to_owned(),
        target: target.to_owned(),
        started_ms: Some(1),
        at_ms,
        host: host.to_owned(),
        is_broken: true,
        is_confirmed: false,
        last_event: Some(0),
    }
}

/// Verdict this many milliseconds after the last crash or trial.
fn held_until_trial(number: usize, elapsed_ms: u64) -> CrashVerdict {
    CrashVerdict::Held(trial_delay(number).saturating_sub(at(elapsed_ms)))
}

/// Table with a report of this host on each of the targets, all made after 1 s, by the clocks of host and store.
fn table_with_reports(targets: &[&str]) -> CrashTable {
    let mut table = CrashTable::default();
    for target in targets {
        assert!(table.add_own(report(target, "h1", 1_000), at(1_000)));
    }
    table
}

fn view_of(targets: &[&str], now: Duration) -> FleetView {
    view(targets.iter().map(|id| engine(id, 1)).collect(), &["h1", "h2"], now)
}

/// Guards against a request that is held back after too few crashes or too many, and against one that is not released by an
/// answer.
#[gtest]
fn request_is_held_after_three_crashes_without_an_answer() {
    let verdicts = [1, 2, 3].map(|count| table_with_reports(&["e1", "e2", "e3"][..count]).check("a", 1_100));
    expect_that!(verdicts[0], eq(CrashVerdict::Free));
    expect_that!(verdicts[1], eq(CrashVerdict::Free));
    expect_that!(verdicts[2], eq(held_until_trial(0, 100)));
    let mut table = table_with_reports(&["e1", "e2", "e3"]);
    expect_that!(table.check("b", 1_100), eq(CrashVerdict::Free));
    table.record_answer("a");
    expect_that!(table.check("a", 1_100), eq(CrashVerdict::Free));
    // The rows must not be what other hosts, and this one after its next start, go by.
    expect_that!(table.take_cleared_rows().len(), eq(3));
}

/// Guards against streams of one question that are refused because a zone of targets crashed under other streams of it, and
/// against a request that is released although it crashes each target after a few events.
#[gtest]
fn streams_that_go_on_release_their_request() {
    let table_with_streams = || {
        let mut table = CrashTable::default();
        for (target, last_event) in [("e1", 14), ("e2", 11), ("e3", 12)] {
            let report = CrashReport { last_event: Some(last_event), ..report(target, "h1", 1_000) };
            assert!(table.add_own(report, at(1_000)));
        }
        table
    };
    let mut table = table_with_streams();
    // Another stream that ends a little later may end its target as well.
    expect_that!(table.record_progress("a", 13), eq(false));
    expect_that!(table.check("a", 1_100), eq(held_until_trial(0, 100)));
    table.apply_trial(RequestTrial { fingerprint: "a".to_owned(), number: 0, at_ms: 1_200 });
    expect_that!(table.record_progress("b", 100), eq(false));
    expect_that!(table.record_progress("a", 17), eq(true));
    expect_that!(table.check("a", 1_300), eq(CrashVerdict::Free));
    expect_that!(table.is_empty(), eq(true));
    // The rows of the reports and the trial.
    expect_that!(table.take_cleared_rows().len(), eq(4));

    // A stream that a further crash follows at once has not shown more than the ones before.
    let mut table = table_with_streams();
    for event in 1..=13 {
        table.record_progress("a", event);
    }
    expect_that!(table.check("a", 1_100), eq(held_until_trial(0, 100)));
}

/// Guards against a report of a host of another version that streams clear although they may not have come as far.
#[gtest]
fn reports_without_events_are_cleared_by_answers_only() {
    let row = r#"{"fingerprint":"a","target":"e1","started_ms":1,"at_ms":1000,"host":"h2","is_broken":true,"is_confirmed":true}"#;
    let report: CrashReport = serde_json::from_str(row).expect("the row is of the version before");
    expect_that!(report.last_event, none());
    let mut table = CrashTable::default();
    table.apply_report(report.clone(), 1_000, at(1_000));
    table.add_own(CrashReport { last_event: Some(4), ..report }, at(1_000));
    expect_that!(table.record_progress("a", 1_000), eq(false));
    table.record_answer("a");
    expect_that!(table.is_empty(), eq(true));
}

/// Guards against one crash that counts several times, because several requests of one host or several hosts report it.
#[gtest]
fn one_crash_counts_once() {
    let mut table = table_with_reports(&["e1", "e1"]);
    table.apply_report(report("e1", "h2", 1_000), 1_000, at(1_000));
    table.apply_report(report("e2", "h2", 1_000), 1_000, at(1_000));
    expect_that!(table.check("a", 1_100), eq(CrashVerdict::Free));
}

/// Guards against broken connections that are taken for crashes although the targets live: their links were reset, or they
/// leave as planned.
#[gtest]
fn targets_that_live_disprove_reports() {
    let targets = ["e1", "e2", "e3"];
    let held = held_until_trial(0, 700);
    let mut table = table_with_reports(&targets);
    // Renewals that were read at once may be from before the crash.
    for target in targets {
        expect_that!(table.record_renewal(target, Some(1), at(1_200)), is_empty());
    }
    expect_that!(table.check("a", 1_700), eq(held));
    expect_that!(table.record_renewal("e1", Some(2), at(1_700)), is_empty());
    expect_that!(table.check("a", 1_700), eq(held));
    expect_that!(table.record_renewal("e1", Some(1), at(1_700)).len(), eq(1));
    expect_that!(table.check("a", 1_700), eq(CrashVerdict::Free));

    let mut table = table_with_reports(&targets);
    let mut leaving = engine("e1", 1);
    leaving.state = TargetState::Leaving;
    let view = view(vec![leaving, engine("e2", 1), engine("e3", 1)], &["h1"], at(1_700));
    table.settle(&view, at(1_700));
    expect_that!(table.check("a", 1_700), eq(CrashVerdict::Free));
}

/// Guards against crashes that are forgotten although the targets have gone or have started again, and against reports that
/// hold a request back for longer than it takes to see whether the targets crashed.
#[gtest]
fn reports_are_settled_by_the_entries_of_targets() {
    let mut table = table_with_reports(&["e1", "e2", "e3"]);
    let mut restarted = engine("e2", 1);
    restarted.started_ms = Some(5_000);
    let settled = table.settle(&view(vec![restarted, engine("e3", 1)], &["h1"], at(3_000)), at(3_000));
    expect_that!(settled.len(), eq(2));
    let late = at(1_000) + SETTLE_TIMEOUT;
    let unsettled_at = |read_at: Duration| {
        let mut table = table_with_reports(&["e1", "e2", "e3"]);
        table.settle(&view_of(&["e1", "e2", "e3"], read_at), late);
        matches!(table.check("a", 1_100), CrashVerdict::Held(_))
    };
    expect_that!(unsettled_at(late), eq(false));
    // Without news of the entries, nothing is known about the targets.
    expect_that!(unsettled_at(at(2_000)), eq(true));
    table.settle(&view_of(&["e3"], late), late);
    let kept = table.reports_to_store("h1", late);
    expect_that!(
        kept.iter().map(|report| (report.target.as_str(), report.is_confirmed)).collect::<Vec<_>>(),
        eq(&vec![("e1", true), ("e2", true)])
    );
}

/// Guards against trials that follow each other too fast, so that a request goes on crashing targets.
#[gtest]
fn trials_are_rare() {
    let mut table = table_with_reports(&["e1", "e2", "e3"]);
    let mut now_ms = 1_000;
    for number in 0..6 {
        expect_that!(table.check("a", now_ms + 1), eq(held_until_trial(number, 1)));
        now_ms += u64::try_from(trial_delay(number).as_millis()).expect("a short delay");
        expect_that!(table.check("a", now_ms), eq(CrashVerdict::Trial(number)));
        table.apply_trial(RequestTrial { fingerprint: "a".to_owned(), number, at_ms: now_ms });
    }
}

/// Guards against a host that starts and does not know what the others know, or takes reports for crashes that were not
/// confirmed in time.
#[gtest]
fn host_that_starts_knows_confirmed_crashes() {
    let read_rows = |is_confirmed: bool| {
        let mut table = CrashTable::default();
        for target in ["e1", "e2", "e3"] {
            table.apply_report(CrashReport { is_confirmed, ..report(target, "h2", 1_000) }, 20_000, at(100));
        }
        table.apply_trial(RequestTrial { fingerprint: "a".to_owned(), number: 0, at_ms: 15_000 });
        table.check("a", 20_000)
    };
    expect_that!(read_rows(true), eq(held_until_trial(1, 5_000)));
    expect_that!(read_rows(false), eq(CrashVerdict::Free));
}

/// Guards against a crash that no host stores because the host that saw it was killed before it was confirmed.
#[gtest]
fn other_hosts_store_what_the_reporter_did_not() {
    let mut table = CrashTable::default();
    table.apply_report(report("e1", "h2", 1_000), 1_000, at(1_000));
    table.settle(&view_of(&[], at(2_000)), at(2_000));
    expect_that!(table.reports_to_store("h1", at(2_100)), is_empty());
    expect_that!(table.reports_to_store("h1", at(5_000)).len(), eq(1));
    table.apply_report(CrashReport { is_confirmed: true, ..report("e1", "h2", 1_000) }, 5_000, at(5_100));
    expect_that!(table.reports_to_store("h1", at(9_000)), is_empty());
}

/// Guards against a table, and a store, that fill up when all links of a host are reset.
#[gtest]
fn reports_of_a_host_are_bounded() {
    let mut table = CrashTable::default();
    let added = (0..200).filter(|number| {
        let mut report = report(&format!("e{number}"), "h1", 1_000);
        report.fingerprint = format!("r{number}");
        table.add_own(report, at(1_000))
    });
    expect_that!(added.count(), le(32));
    expect_that!(HOLD_LIMIT, le(3));
}

/// Guards against a request that is held back because targets were too slow for its callers, and against one that ends targets
/// without breaking their connections.
#[gtest]
fn unanswered_requests_count_when_their_targets_have_ended() {
    let mut table = CrashTable::default();
    for target in ["e1", "e2", "e3"] {
        table.add_own(CrashReport { is_broken: false, ..report(target, "h1", 1_000) }, at(1_000));
    }
    expect_that!(table.check("a", 1_100), eq(CrashVerdict::Free));
    expect_that!(table.reports_to_store("h1", at(1_100)), is_empty());
    table.settle(&view_of(&[], at(1_200)), at(1_200));
    expect_that!(table.check("a", 1_200), eq(held_until_trial(0, 200)));
    expect_that!(table.reports_to_store("h1", at(1_200)).len(), eq(3));
}
