//! Tests that a booking through the gateway runs at most once when the table service or the desk fails. The desk is the
//! plain service that executes bookings.

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

const BOOKING_PATH: &str = "/desk/bookings";
const TRANSACT_PATH: &str = "/table/transact";

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

    /// Writes a claim of incarnation 3 of `host-9` on key `k2` for the body `bag 1`. The row is copied from a booking
    /// with key `k1`, which the desk executes.
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

    /// Repeats the request until the result is final: neither claim unsettled (1404), claim refused (1405), claim
    /// running (1406) nor no target (1203).
    fn book_until_settled(&self, key: &str, body: &str) -> String {
        let mut answer = String::new();
        wait_until("the claim is settled", || {
            answer = self.book(key, body);
            !["1404", "1405", "1406", "1203"].iter().any(|code| answer.starts_with(code))
        });
        answer
    }
}

/// Sends a booking; returns the result code of a refusal, or status and body of a response.
fn book_at(address: &str, api_key: &str, key: &str, body: &str) -> String {
    let authorization = format!("Bearer {api_key}");
    let headers = [("authorization", authorization.as_str()), ("idempotency-key", key)];
    let (status, answer) = send_request(address, "POST", BOOKING_PATH, &headers, body.as_bytes());
    let error: Option<serde_json::Value> = serde_json::from_str(&answer).ok();
    match error.filter(|error| error["code"].is_u64()) {
        Some(error) => format!("{} ran={}", error["code"], error["ran"].as_str().unwrap()),
        None => format!("{status} {answer}"),
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum StoreFault {
    None,
    /// The connection is closed and the write has no effect.
    ClosedWithoutEffect,
    /// The response is an error status and the write has no effect.
    Refused,
    /// The write takes effect and the connection is closed without a response.
    AnswerLost,
    /// The write is held, and takes effect when the fault ends.
    Frozen,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum DeskFault {
    None,
    PortClosed,
    ClosedWithoutEffect,
    AnswerLost,
}

const STORE_FAULTS: [StoreFault; 5] = [
    StoreFault::None,
    StoreFault::ClosedWithoutEffect,
    StoreFault::Refused,
    StoreFault::AnswerLost,
    StoreFault::Frozen,
];

const DESK_FAULTS: [DeskFault; 4] =
    [DeskFault::None, DeskFault::PortClosed, DeskFault::ClosedWithoutEffect, DeskFault::AnswerLost];

fn inject_store_fault(platform: &PlatformStandin, fault: StoreFault, skip: u32) {
    let kind = match fault {
        StoreFault::None => return,
        StoreFault::ClosedWithoutEffect => FaultKind::Down,
        StoreFault::Refused => FaultKind::Refuse,
        StoreFault::AnswerLost => FaultKind::AnswerLost,
        StoreFault::Frozen => FaultKind::Freeze,
    };
    platform.fault(FaultSpec::new(kind).on(TRANSACT_PATH).after(skip).times(1));
}

fn inject_desk_fault(desk: &PlainStandin, fault: DeskFault) {
    match fault {
        DeskFault::None => {}
        DeskFault::PortClosed => desk.server().crash(),
        DeskFault::ClosedWithoutEffect => desk.fault(FaultSpec::new(FaultKind::Down).times(1)),
        DeskFault::AnswerLost => desk.fault(FaultSpec::new(FaultKind::AnswerLost).times(1)),
    }
}

/// Sends a booking with faults, and again once they are over. Returns the first result, the final result, and how often
/// the desk executed the booking.
fn run_case(claim_fault: StoreFault, final_fault: StoreFault, desk_fault: DeskFault) -> (String, String, u64) {
    let bench = BookingBench::start(Duration::ZERO);
    inject_store_fault(&bench.platform, claim_fault, 0);
    inject_store_fault(&bench.platform, final_fault, 1);
    inject_desk_fault(&bench.desk, desk_fault);
    let first = bench.book("k1", "bag 1");
    bench.platform.fault(FaultSpec::new(FaultKind::Clear));
    if desk_fault == DeskFault::PortClosed {
        bench.desk.server().restart();
    }
    let settled = bench.book_until_settled("k1", "bag 1");
    (first, settled, bench.desk.executions("bag 1"))
}

/// Guards against a second booking, a lost one, or a false "not run", after any pair of faults of the claim write, the
/// final write and the desk.
#[googletest::test]
fn faults_of_store_and_desk_keep_one_booking() {
    let mut cases = Vec::new();
    for claim_fault in STORE_FAULTS {
        for final_fault in STORE_FAULTS {
            for desk_fault in DESK_FAULTS {
                let faults =
                    [claim_fault != StoreFault::None, final_fault != StoreFault::None, desk_fault != DeskFault::None];
                if faults.iter().filter(|is_present| **is_present).count() <= 2 {
                    cases.push((claim_fault, final_fault, desk_fault));
                }
            }
        }
    }
    let threads: Vec<_> = cases
        .chunks(cases.len().div_ceil(8))
        .map(|cases| {
            let cases = cases.to_vec();
            std::thread::spawn(move || {
                cases
                    .into_iter()
                    .map(|(claim_fault, final_fault, desk_fault)| {
                        (claim_fault, final_fault, desk_fault, run_case(claim_fault, final_fault, desk_fault))
                    })
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let mut table = Vec::new();
    for (claim_fault, final_fault, desk_fault, (first, settled, executions)) in
        threads.into_iter().flat_map(|thread| thread.join().unwrap())
    {
        let name = format!("claim={claim_fault:?} close={final_fault:?} desk={desk_fault:?}");
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

/// Guards against two runs, or two different responses, when several devices send the same request at the same time.
/// Organisations must also be able to use the same key without sharing a claim.
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
    // Claim mismatch: the key was used with another body.
    expect_that!(bench.book("k1", "bag 2"), starts_with("1401"));
    let south = book_at(&bench.gateway.address, SOUTH_KEY, "k1", "bag 3");
    expect_that!(south, starts_with("201"));
    let authorization = format!("Bearer {SOUTH_KEY}");
    let (_, outcome) = bench.gateway.send("GET", "/v1/requests/k1", &[("authorization", &authorization)], b"");
    expect_that!(outcome, contains_substring("B-000002"));
    let (status, _) = bench.gateway.send("GET", "/v1/requests/k2", &[("authorization", &authorization)], b"");
    expect_that!(status, eq(404));
}

/// Guards against a response that the caller does not get because the store is down, and against a second run when the
/// request is repeated before the response is stored.
#[googletest::test]
fn answer_reaches_caller_while_store_is_down() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.platform.fault(FaultSpec::new(FaultKind::Refuse).on(TRANSACT_PATH).after(1));
    expect_that!(bench.book("k1", "bag 1"), starts_with("201"));
    expect_that!(bench.book("k1", "bag 1"), not(starts_with("201")));
    bench.platform.fault(FaultSpec::new(FaultKind::Clear));
    expect_that!(bench.book_until_settled("k1", "bag 1"), starts_with("201"));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
}

/// Guards against a claim of a replaced host that blocks its key for ever or runs again, and against an unknown outcome
/// that changes when the owner is seen again.
#[googletest::test]
fn claims_of_replaced_hosts_become_unknown() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.put_claim_of_other_host();
    let member =
        |incarnation, state| MemberRecord { host: "host-9".to_owned(), incarnation, state, heard_at: boot_time() };
    bench.gateway.change_view(|view| view.members = vec![member(3, MemberState::Live)]);
    // Claim running while the owner lives; outcome unknown (1403) once a later incarnation has replaced it.
    expect_that!(bench.book("k2", "bag 1"), eq("1406 ran=unknown"));
    bench.gateway.change_view(|view| view.members = vec![member(4, MemberState::Live)]);
    expect_that!(bench.book("k2", "bag 1"), eq("1403 ran=unknown"));
    bench.gateway.change_view(|view| view.members = vec![member(3, MemberState::Live)]);
    expect_that!(bench.book("k2", "bag 1"), eq("1403 ran=unknown"));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
}

/// Guards against a claim of a replaced host that blocks its key. The host belongs to another failure domain, so only
/// the session row shows this host that it was replaced.
#[googletest::test]
fn session_row_shows_replaced_host() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.put_claim_of_other_host();
    bench.put_row("sessions", "host-9", r#"{"incarnation":4,"counter":1}"#);
    expect_that!(bench.book("k2", "bag 1"), eq("1403 ran=unknown"));
    expect_that!(bench.desk.executions("bag 1"), eq(1));
}

/// Guards against a booking, or a claim, for an API key that was withdrawn before the request.
#[googletest::test]
fn withdrawn_key_books_nothing() {
    let bench = BookingBench::start(Duration::ZERO);
    bench.gateway.change_view(|view| view.withdrawn = Arc::new(vec!["north1".to_owned()]));
    // Key withdrawn.
    expect_that!(bench.book("k1", "bag 1"), eq("1102 ran=no"));
    expect_that!(bench.desk.executions("bag 1"), eq(0));
    expect_that!(bench.platform.read_table("claims").len(), eq(0));
}
