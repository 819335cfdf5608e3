//! Requests that crash targets: which are quarantined, for how long, and that others are not.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::control::HostIdentity;
use camphorspring::generated::peer_messages::{CrashNotice, PeerFrame, QuarantineNotice};
use camphorspring::traffic::crash_quarantine::{CrashQuarantine, fingerprint_of};
use camphorspring::traffic::quarantine::{CRASH_SETTLE, CrashRecord, QUARANTINE_TIME, QuarantineTable};
use googletest::prelude::*;

use crate::traffic_bench::{GatewayBench, PlacedTarget, ScriptedTarget, TargetFault};

/// Crash of one target at a time, with the requests in flight there.
struct Crash(u64, &'static str, &'static [&'static str]);

fn refused(crashes: &[Crash], asked: &[&str]) -> Vec<bool> {
    let mut table = QuarantineTable::default();
    let mut last = Duration::ZERO;
    for Crash(seconds, target, fingerprints) in crashes {
        last = Duration::from_secs(*seconds);
        for fingerprint in *fingerprints {
            table.begin(target, fingerprint);
        }
        for fingerprint in *fingerprints {
            table.crash(target, "east", fingerprint, last);
        }
    }
    let now = last + CRASH_SETTLE;
    asked.iter().map(|fingerprint| table.judge(fingerprint, now).is_refused).collect()
}

/// Guards against a request that goes on crashing targets, and against innocent requests that are refused.
#[googletest::test]
fn crashes_tell_the_guilty_request() {
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
        expect_that!(refused(crashes, &["a", "b"]), eq(&expected.to_vec()), "{name}");
    }
}

/// Guards against a judgement before the other hosts with requests on the target have reported.
#[googletest::test]
fn reports_of_other_hosts_acquit() {
    let mut table = QuarantineTable::default();
    for (seconds, target) in [(1, "t1"), (9, "t2")] {
        let now = Duration::from_secs(seconds);
        table.begin(target, "a");
        table.crash(target, "east", "a", now);
        expect_that!(table.judge("a", now).is_refused, eq(false));
        let report = CrashRecord {
            target: target.to_owned(),
            failure_domain: "east".to_owned(),
            at: now,
            fingerprints: vec!["guilty".to_owned()],
        };
        table.learn_crash(report, now + Duration::from_millis(20));
    }
    let now = Duration::from_secs(9) + CRASH_SETTLE;
    expect_that!(table.judge("a", now).is_refused, eq(false));
}

/// Guards against a quarantine without end, or one that a repeated request prolongs.
#[googletest::test]
fn quarantine_ends_and_one_crash_renews_it() {
    let mut table = QuarantineTable::default();
    let crash = |table: &mut QuarantineTable, target: &str, now: BootTime| {
        table.begin(target, "a");
        table.crash(target, "east", "a", now);
    };
    crash(&mut table, "t1", Duration::from_secs(1));
    crash(&mut table, "t2", Duration::from_secs(9));
    let start = Duration::from_secs(10);
    let first = table.judge("a", start);
    expect_that!((first.is_refused, first.is_new), eq((true, true)));
    let half = table.judge("a", start + QUARANTINE_TIME / 2);
    expect_that!((half.is_refused, half.is_new), eq((true, false)));
    let end = start + QUARANTINE_TIME;
    expect_that!(table.judge("a", end).is_refused, eq(false));
    crash(&mut table, "t3", end);
    expect_that!(table.judge("a", end + CRASH_SETTLE).is_refused, eq(true));
}

/// Guards against a broken connection that is taken for a crash of a target that goes on.
#[googletest::test]
fn surviving_request_refutes_a_crash() {
    let mut table = QuarantineTable::default();
    for seconds in [1, 9] {
        let now = Duration::from_secs(seconds);
        table.begin("t1", "a");
        table.begin("t1", "b");
        table.crash("t1", "east", "a", now);
        table.end("t1", "b", now + Duration::from_millis(100));
    }
    expect_that!(table.crashes_of("a", Duration::from_secs(10)), eq(0));
}

/// Guards against a request that crashes every target it gets, and against hosts that do not warn each other.
#[googletest::test]
fn crashing_request_is_refused_and_announced() {
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
    expect_that!(answer, contains_substring("\"code\":1601"));
    let runs: usize = engines.iter().map(ScriptedTarget::runs).sum();
    expect_that!(runs, eq(2));
    let (status, answer) = bench.complete(body);
    expect_that!(status, eq(422));
    expect_that!(answer, contains_substring("\"code\":1204"));
    let (status, _) = bench.complete(r#"{"model":"pile","prompt":"other","max_tokens":4,"seed":1}"#);
    expect_that!(status, eq(200));
}

/// Guards against announcements that are not read, or that are believed across failure domains.
#[googletest::test]
fn announcements_hold_inside_the_domain() {
    let view = Arc::new(camphorspring::control::ControlView::empty("h1", "east", 1));
    let guard = CrashQuarantine::new(
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
    guard.handle_frame(&origin("west"), &frame);
    expect_that!(guard.check(&fingerprint), ok(anything()));
    guard.handle_frame(&origin("east"), &frame);
    expect_that!(guard.check(&fingerprint), err(anything()));
}
