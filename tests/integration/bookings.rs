//! Bookings through the gateway, with faults of the table service and of the booking desk.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::clock::boot_time;
use camphorspring::control::control_view::{MemberRecord, MemberState};
use camphorspring::generated::platform_messages::{RowCheck, RowWrite, TransactionRequest};
use camphorspring_standins::faults::{FaultKind, FaultSpec};
use camphorspring_standins::plain_service::{PlainOptions, PlainStandin};
use camphorspring_standins::platform::{PlatformOptions, PlatformStandin};
use googletest::prelude::*;

use crate::traffic_bench::{GatewayBench, NORTH_KEY, PlacedTarget, SOUTH_KEY, send_request, wait_until};

const BOOKING: &str = "/desk/bookings";
const TRANSACT: &str = "/table/transact";

struct BookingBench {
    platform: PlatformStandin,
    desk: PlainStandin,
    gateway: GatewayBench,
}

impl BookingBench {
    fn start(booking_time: Duration) -> Self {
        let platform = PlatformStandin::start(PlatformOptions::default()).unwrap();
        let desk = PlainStandin::start(PlainOptions { booking_time, ..PlainOptions::default() }).unwrap();
        let address = desk.server().address().to_string();
        let target = PlacedTarget { service: "desk", id: "d1", address: &address };
        let gateway = GatewayBench::start(&[target], &platform.url());
        Self { platform, desk, gateway }
    }

    /// Claims key `k2` for the body `bag 1` by life 3 of `host-9`.
    fn put_claim_of_other_host(&self) {
        assert!(self.book("k1", "bag 1").starts_with("201"));
        let row = self.platform.read_row("claims", "north/k1").unwrap();
        let mut value: serde_json::Value = serde_json::from_str(&row.value).unwrap();
        value["state"] = "claimed".into();
        value["host"] = "host-9".into();
        value["incarnation"] = 3.into();
        value["answer"] = serde_json::Value::Null;
        self.put_row("claims", "north/k2", &value.to_string());
    }

    fn put_row(&self, table: &str, key: &str, value: &str) {
        let (table, key) = (table.to_owned(), key.to_owned());
        let written = self.platform.transact(&TransactionRequest {
            writer_token: "of host-9".to_owned(),
            checks: vec![RowCheck { table: table.clone(), key: key.clone(), version: 0 }],
            writes: vec![RowWrite { table, key, value: Some(value.to_owned()) }],
        });
        assert!(written.applied);
    }

    fn book(&self, key: &str, body: &str) -> String {
        book_at(&self.gateway.address, NORTH_KEY, key, body)
    }

    /// Asks until the answer is none that says to ask again.
    fn book_settled(&self, key: &str, body: &str) -> String {
        let mut answer = String::new();
        wait_until("the claim is settled", || {
            answer = self.book(key, body);
            !["1404", "1405", "1406", "1203"].iter().any(|code| answer.starts_with(code))
        });
        answer
    }
}

/// Result code of a refusal, or status and body of an answer.
fn book_at(address: &str, api_key: &str, key: &str, body: &str) -> String {
    let authorization = format!("Bearer {api_key}");
    let headers = [("authorization", authorization.as_str()), ("idempotency-key", key)];
    let (status, answer) = send_request(address, "POST", BOOKING, &headers, body.as_bytes());
    let error: Option<serde_json::Value> = serde_json::from_str(&answer).ok();
    match error.filter(|error| error["code"].is_u64()) {
        Some(error) => format!("{} ran={}", error["code"], error["ran"].as_str().unwrap()),
        None => format!("{status} {answer}"),
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum StoreTrouble {
    None,
    ClosedWithoutEffect,
    Refused,
    AnswerLost,
    Frozen,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum DeskTrouble {
    None,
    PortClosed,
    ClosedWithoutEffect,
    AnswerLost,
}

const STORE_TROUBLES: [StoreTrouble; 5] = [
    StoreTrouble::None,
    StoreTrouble::ClosedWithoutEffect,
    StoreTrouble::Refused,
    StoreTrouble::AnswerLost,
    StoreTrouble::Frozen,
];

const DESK_TROUBLES: [DeskTrouble; 4] =
    [DeskTrouble::None, DeskTrouble::PortClosed, DeskTrouble::ClosedWithoutEffect, DeskTrouble::AnswerLost];

fn trouble_store(platform: &PlatformStandin, trouble: StoreTrouble, skip: u32) {
    let kind = match trouble {
        StoreTrouble::None => return,
        StoreTrouble::ClosedWithoutEffect => FaultKind::Down,
        StoreTrouble::Refused => FaultKind::Refuse,
        StoreTrouble::AnswerLost => FaultKind::AnswerLost,
        StoreTrouble::Frozen => FaultKind::Freeze,
    };
    platform.fault(FaultSpec::new(kind).on(TRANSACT).after(skip).times(1));
}

fn trouble_desk(desk: &PlainStandin, trouble: DeskTrouble) {
    match trouble {
        DeskTrouble::None => {}
        DeskTrouble::PortClosed => desk.server().crash(),
        DeskTrouble::ClosedWithoutEffect => desk.fault(FaultSpec::new(FaultKind::Down).times(1)),
        DeskTrouble::AnswerLost => desk.fault(FaultSpec::new(FaultKind::AnswerLost).times(1)),
    }
}

/// One row: the first answer, the answer once all is well again, and the number of executions.
fn run_row(claim: StoreTrouble, close: StoreTrouble, trouble: DeskTrouble) -> (String, String, u64) {
    let bench = BookingBench::start(Duration::ZERO);
    trouble_store(&bench.platform, claim, 0);
    trouble_store(&bench.platform, close, 1);
    trouble_desk(&bench.desk, trouble);
    let first = bench.book("k1", "bag 1");
    bench.platform.fault(FaultSpec::new(FaultKind::Clear));
    if trouble == DeskTrouble::PortClosed {
        bench.desk.server().restart();
    }
    let settled = bench.book_settled("k1", "bag 1");
    (first, settled, bench.desk.executions("bag 1"))
}

/// Guards against a second booking, a lost one, or a false "not run", after any pair of faults of store and desk.
#[googletest::test]
fn faults_of_store_and_desk_keep_one_booking() {
    let mut rows = Vec::new();
    for claim in STORE_TROUBLES {
        for close in STORE_TROUBLES {
            for trouble in DESK_TROUBLES {
                let faults = [claim != StoreTrouble::None, close != StoreTrouble::None, trouble != DeskTrouble::None];
                if faults.iter().filter(|is_faulty| **is_faulty).count() <= 2 {
                    rows.push((claim, close, trouble));
                }
            }
        }
    }
    let threads: Vec<_> = rows
        .chunks(rows.len().div_ceil(8))
        .map(|rows| {
            let rows = rows.to_vec();
            std::thread::spawn(move || {
                rows.into_iter()
                    .map(|(claim, close, trouble)| (claim, close, trouble, run_row(claim, close, trouble)))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let mut table = Vec::new();
    for (claim, close, trouble, (first, settled, executions)) in
        threads.into_iter().flat_map(|thread| thread.join().unwrap())
    {
        let name = format!("claim={claim:?} close={close:?} desk={trouble:?}");
        expect_that!(executions, le(1), "{name}");
        if settled.starts_with("201") || first.starts_with("201") {
            expect_that!(executions, eq(1), "{name}");
            expect_that!(settled.as_str(), starts_with("201"), "{name}");
        }
        if first.starts_with("201") {
            expect_that!(first, eq(&settled), "{name}");
        }
        table.push(format!("{name}: {first} | {settled} | executions={executions}"));
    }
    insta::assert_snapshot!(table.join("\n"));
}

/// Guards against two runs, or two answers, for devices that ask at the same time.
#[googletest::test]
fn devices_with_one_key_share_one_booking() {
    let bench = BookingBench::start(Duration::from_millis(300));
    let address: Arc<str> = Arc::from(bench.gateway.address.as_str());
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let address = Arc::clone(&address);
            std::thread::spawn(move || book_at(&address, NORTH_KEY, "k1", "bag 1"))
        })
        .collect();
    let answers: Vec<String> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    expect_that!(answers[0].as_str(), starts_with("201"));
    expect_that!(answers, each(eq(&answers[0])));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
    expect_that!(bench.book("k1", "bag 2"), starts_with("1401"));
    let south = book_at(&bench.gateway.address, SOUTH_KEY, "k1", "bag 3");
    expect_that!(south, starts_with("201"));
    let authorization = format!("Bearer {SOUTH_KEY}");
    let (_, outcome) = bench.gateway.send("GET", "/v1/requests/k1", &[("authorization", &authorization)], b"");
    expect_that!(outcome, contains_substring("B-000002"));
    let (status, _) = bench.gateway.send("GET", "/v1/requests/k2", &[("authorization", &authorization)], b"");
    expect_that!(status, eq(404));
}

/// Guards against an answer that the caller does not get because the store is down, and against a second run by
/// another device until the answer is stored.
#[googletest::test]
fn answer_reaches_caller_while_store_is_down() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.platform.fault(FaultSpec::new(FaultKind::Refuse).on(TRANSACT).after(1));
    expect_that!(bench.book("k1", "bag 1"), starts_with("201"));
    expect_that!(bench.book("k1", "bag 1"), not(starts_with("201")));
    bench.platform.fault(FaultSpec::new(FaultKind::Clear));
    expect_that!(bench.book_settled("k1", "bag 1"), starts_with("201"));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
}

/// Guards against a claim of a dead host that blocks for ever or runs again, and against an "unknown" that is taken
/// back.
#[googletest::test]
fn claims_of_dead_hosts_become_unknown() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.put_claim_of_other_host();
    let member =
        |incarnation, state| MemberRecord { host: "host-9".to_owned(), incarnation, state, heard_at: boot_time() };
    bench.gateway.change_view(|view| view.members = vec![member(3, MemberState::Live)]);
    expect_that!(bench.book("k2", "bag 1"), eq("1406 ran=unknown"));
    bench.gateway.change_view(|view| view.members = vec![member(4, MemberState::Live)]);
    expect_that!(bench.book("k2", "bag 1"), eq("1403 ran=unknown"));
    bench.gateway.change_view(|view| view.members = vec![member(3, MemberState::Live)]);
    expect_that!(bench.book("k2", "bag 1"), eq("1403 ran=unknown"));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
}

/// Guards against a claim of a replaced host of another failure domain, of which this host hears nothing.
#[googletest::test]
fn session_row_tells_a_replaced_host() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.put_claim_of_other_host();
    bench.put_row("sessions", "host-9", r#"{"incarnation":4,"counter":1}"#);
    expect_that!(bench.book("k2", "bag 1"), eq("1403 ran=unknown"));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
}

/// Guards against a booking for a key that was withdrawn while the request waited.
#[googletest::test]
fn withdrawn_key_books_nothing() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.gateway.change_view(|view| view.withdrawn = Arc::new(vec!["north1".to_owned()]));
    expect_that!(bench.book("k1", "bag 1"), eq("1102 ran=no"));
    expect_that!(bench.desk.executions("bag 1"), eq(0));
    expect_that!(bench.platform.read_table("claims").len(), eq(0));
}
