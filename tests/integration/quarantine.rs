//! Tests which requests are quarantined after crashes of targets, for how long, and that other requests are not.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::clock::{BootTime, boot_time};
use camphorspring::control::HostIdentity;
use camphorspring::generated::peer_messages::{CrashNotice, PeerFrame, QuarantineNotice};
use camphorspring::traffic::EngineRun;
use camphorspring::traffic::crash_quarantine::{CrashQuarantine, fingerprint_of};
use camphorspring::traffic::engine_runner::engine_runner;
use camphorspring::traffic::quarantine::{CRASH_REPORT_DELAY, CrashRecord, QUARANTINE_PERIOD, QuarantineTable};
use googletest::prelude::*;

use crate::traffic_bench::{GatewayBench, PlacedTarget, ScriptedTarget, TargetFault, whole_text};

/// Crash of a target: time in seconds, target, and fingerprints of the requests in flight there.
struct Crash(u64, &'static str, &'static [&'static str]);

/// Records the crashes, and returns for each fingerprint whether the request is then refused.
fn check_refusals(crashes: &[Crash], fingerprints_to_check: &[&str]) -> Vec<bool> {
    let mut table = QuarantineTable::default();
    let mut last_crash_at = Duration::ZERO;
    for Crash(seconds, target, fingerprints) in crashes {
        last_crash_at = Duration::from_secs(*seconds);
        for fingerprint in *fingerprints {
            table.record_start(target, fingerprint);
        }
        for fingerprint in *fingerprints {
            table.record_crash(target, "east", fingerprint, last_crash_at);
        }
    }
    let now = last_crash_at + CRASH_REPORT_DELAY;
    fingerprints_to_check.iter().map(|fingerprint| table.check_request(fingerprint, now).is_refused).collect()
}

/// Guards against a request that goes on crashing targets, and against the refusal of requests that were only in flight
/// in the same crashes, or that were hit by an outage of the failure domain.
#[googletest::test]
fn common_request_of_crashes_is_refused() {
    let rows: [(&str, &[Crash], &[bool]); 8] = [
        ("alone once", &[Crash(1, "t1", &["a"])], &[false, false]),
        ("alone twice", &[Crash(1, "t1", &["a"]), Crash(9, "t2", &["a"])], &[true, false]),
        ("common to both", &[Crash(1, "t1", &["a", "b"]), Crash(9, "t2", &["a", "c"])], &[true, false]),
        ("both in both", &[Crash(1, "t1", &["a", "b"]), Crash(9, "t2", &["a", "b"])], &[false, false]),
        (
            "told apart",
            &[Crash(1, "t1", &["a", "b"]), Crash(9, "t2", &["a", "b"]), Crash(19, "t3", &["a"])],
            &[true, false],
        ),
        ("others crash", &[Crash(1, "t1", &["a"]), Crash(9, "t2", &["c"])], &[false, false]),
        (
            "domain goes down",
            &[
                Crash(1, "t1", &["a"]),
                Crash(2, "t2", &["c"]),
                Crash(2, "t3", &["d"]),
                Crash(3, "t4", &["a"]),
                Crash(3, "t5", &["e"]),
            ],
            &[false, false],
        ),
        (
            "second suspect nearby",
            &[Crash(1, "t1", &["a"]), Crash(2, "t2", &["b"]), Crash(9, "t3", &["a"]), Crash(10, "t4", &["b"])],
            &[true, true],
        ),
    ];
    for (name, crashes, expected) in rows {
        expect_that!(check_refusals(crashes, &["a", "b"]), eq(&expected.to_vec()), "{name}");
    }
}

/// Guards against a quarantine that is decided before the other hosts with requests on the target have reported. A
/// request that was alone on its own host would then be refused for a crash that a request of another host causes.
#[googletest::test]
fn reports_of_other_hosts_clear_request() {
    let mut table = QuarantineTable::default();
    for (seconds, target) in [(1, "t1"), (9, "t2")] {
        let now = Duration::from_secs(seconds);
        table.record_start(target, "a");
        table.record_crash(target, "east", "a", now);
        expect_that!(table.check_request("a", now).is_refused, eq(false));
        let report = CrashRecord {
            target: target.to_owned(),
            failure_domain: "east".to_owned(),
            at: now,
            fingerprints: vec!["guilty".to_owned()],
        };
        table.merge_crash(report, now + Duration::from_millis(20));
    }
    let now = Duration::from_secs(9) + CRASH_REPORT_DELAY;
    expect_that!(table.check_request("a", now).is_refused, eq(false));
}

/// Guards against a quarantine that does not end, or that is prolonged when the request is sent again.
#[googletest::test]
fn quarantine_ends_and_one_crash_renews_it() {
    let mut table = QuarantineTable::default();
    let crash = |table: &mut QuarantineTable, target: &str, now: BootTime| {
        table.record_start(target, "a");
        table.record_crash(target, "east", "a", now);
    };
    crash(&mut table, "t1", Duration::from_secs(1));
    crash(&mut table, "t2", Duration::from_secs(9));
    let start = Duration::from_secs(10);
    let first = table.check_request("a", start);
    expect_that!((first.is_refused, first.is_new), eq((true, true)));
    let second = table.check_request("a", start + QUARANTINE_PERIOD / 2);
    expect_that!((second.is_refused, second.is_new), eq((true, false)));
    let end = start + QUARANTINE_PERIOD;
    expect_that!(table.check_request("a", end).is_refused, eq(false));
    crash(&mut table, "t3", end);
    expect_that!(table.check_request("a", end + CRASH_REPORT_DELAY).is_refused, eq(true));
}

/// Guards against a broken connection that is taken for a crash although the target still serves another request.
#[googletest::test]
fn surviving_request_removes_crash() {
    let mut table = QuarantineTable::default();
    for seconds in [1, 9] {
        let now = Duration::from_secs(seconds);
        table.record_start("t1", "a");
        table.record_start("t1", "b");
        table.record_crash("t1", "east", "a", now);
        table.record_end("t1", "b", now + Duration::from_millis(100));
    }
    expect_that!(table.count_crashes("a", Duration::from_secs(10)), eq(0));
}

/// Guards against a request that is sent to one target after another and crashes each of them, and against a quarantine
/// that also refuses another request.
#[googletest::test]
fn crashing_request_is_refused() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let engines: Vec<ScriptedTarget> = (0..6).map(|_| ScriptedTarget::engine(&runtime, 1)).collect();
    let ids = ["e1", "e2", "e3", "e4", "e5", "e6"];
    let targets: Vec<PlacedTarget<'_>> = ids
        .iter()
        .zip(&engines)
        .map(|(id, engine)| PlacedTarget { service: "scoring", id, address: &engine.address })
        .collect();
    let bench = GatewayBench::start(&targets, "http://127.0.0.1:1");
    for engine in &engines {
        engine.script([TargetFault::DieAfter(0)]);
    }
    let body = r#"{"model":"pile","prompt":"crash","max_tokens":4}"#;
    let (status, answer) = bench.complete(body);
    expect_that!(status, eq(502));
    // Target failed.
    expect_that!(answer, contains_substring("\"code\":1601"));
    let runs: usize = engines.iter().map(ScriptedTarget::runs).sum();
    expect_that!(runs, eq(2));
    let (status, answer) = bench.complete(body);
    expect_that!(status, eq(422));
    // Quarantined.
    expect_that!(answer, contains_substring("\"code\":1204"));
    let (status, _) = bench.complete(r#"{"model":"pile","prompt":"other","max_tokens":4,"seed":1}"#);
    expect_that!(status, eq(200));
}

/// Guards against a sample of a step that is given up because engines crashed under it. Samples never crash engines by
/// themselves, so the run must go on after each crash, and an engine that is back must get it.
#[googletest::test]
fn sample_under_which_engines_crashed_is_still_owed() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let engines: Vec<ScriptedTarget> = (0..2).map(|_| ScriptedTarget::engine(&runtime, 1)).collect();
    let targets: Vec<PlacedTarget<'_>> = ["e1", "e2"]
        .iter()
        .zip(&engines)
        .map(|(id, engine)| PlacedTarget { service: "scoring", id, address: &engine.address })
        .collect();
    let bench = GatewayBench::start(&targets, "http://127.0.0.1:1");
    engines[0].script([TargetFault::DieAfter(2), TargetFault::DieAfter(1), TargetFault::DieAfter(1)]);
    engines[1].script([TargetFault::DieAfter(1), TargetFault::DieAfter(0)]);
    let run = EngineRun {
        request_id: "sample".to_owned(),
        organisation: "north".to_owned(),
        key_id: None,
        service: "scoring".to_owned(),
        model: "pile".to_owned(),
        prompt: "sound".to_owned(),
        max_tokens: 8,
        seed: 1,
        firm_only: false,
        deadline: boot_time() + Duration::from_mins(1),
        is_step: true,
        least_version: None,
    };
    let result = engine_runner(bench.runner.clone())(&run, &mut |_| true);
    expect_that!(result.map(|result| result.text), ok(eq(&whole_text(8))));
    expect_that!(engines.iter().map(ScriptedTarget::runs).sum::<usize>(), eq(6));
}

/// Guards against a broken connection that is taken for a crash although a sample runs on the target all the while.
#[googletest::test]
fn surviving_sample_removes_crash() {
    let mut table = QuarantineTable::default();
    table.record_start("t1", "a");
    table.record_crash("t1", "east", "a", Duration::from_secs(2));
    table.record_survivor("t1", Duration::from_secs(3));
    table.record_survivor("t2", Duration::from_secs(1));
    let after_others = table.count_crashes("a", Duration::from_secs(10));
    table.record_survivor("t1", Duration::from_secs(1));
    expect_that!((after_others, table.count_crashes("a", Duration::from_secs(10))), eq((1, 0)));
}

/// Guards against announcements that are ignored by hosts of the same failure domain, or accepted by those of another.
#[googletest::test]
fn announcements_are_limited_to_domain() {
    let view = Arc::new(camphorspring::control::ControlView::empty("h1", "east", 1));
    let quarantine = CrashQuarantine::new(
        Arc::new(move || Arc::clone(&view)),
        Arc::new(|| Duration::from_secs(100)),
        Arc::new(|_, _| true),
    );
    let fingerprint = fingerprint_of("scoring", &[b"body"]);
    let crashes = vec![CrashNotice {
        target: "t1".to_owned(),
        failure_domain: "east".to_owned(),
        fingerprints: vec!["not a fingerprint".to_owned()],
    }];
    let frame = PeerFrame::Quarantine(QuarantineNotice { fingerprints: vec![fingerprint.clone()], crashes });
    let origin =
        |domain: &str| HostIdentity { host: "h2".to_owned(), failure_domain: domain.to_owned(), incarnation: 1 };
    quarantine.handle_frame(&origin("west"), &frame);
    expect_that!(quarantine.check(&fingerprint), ok(anything()));
    quarantine.handle_frame(&origin("east"), &frame);
    expect_that!(quarantine.check(&fingerprint), err(anything()));
}
