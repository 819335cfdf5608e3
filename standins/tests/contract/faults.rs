//! Contract of injected faults, tested on the plain service because it counts the executions of each request.

use std::time::{Duration, Instant};

use camphorspring::store_client::StoreCallError;
use camphorspring_standins::{FaultKind, FaultSpec, PlainOptions, PlainStandin};
use googletest::prelude::*;

use super::support::{get, post, wait_for};

/// Timeout for callers that give up before the response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for callers that wait for the response.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct FaultCase {
    name: &'static str,
    spec: FaultSpec,
    outcome: std::result::Result<u16, StoreCallError>,
    executions: u64,
}

fn fault_cases() -> Vec<FaultCase> {
    let case = |name, spec, outcome, executions| FaultCase { name, spec, outcome, executions };
    vec![
        case("down", FaultSpec::new(FaultKind::Down), Err(StoreCallError::NotSent), 0),
        case("down on a path", FaultSpec::new(FaultKind::Down).on("/desk"), Err(StoreCallError::AnswerLost), 0),
        case("down on another path", FaultSpec::new(FaultKind::Down).on("/page"), Ok(201), 1),
        case("refuse", FaultSpec::new(FaultKind::Refuse), Ok(503), 0),
        case("answer lost", FaultSpec::new(FaultKind::AnswerLost), Err(StoreCallError::AnswerLost), 1),
        case("slow", FaultSpec::slow(Duration::from_millis(50)), Ok(201), 1),
        case("refuse after one", FaultSpec::new(FaultKind::Refuse).after(1), Ok(201), 1),
        case("refuse no more", FaultSpec::new(FaultKind::Refuse).times(0), Ok(201), 1),
        case("ended", FaultSpec::new(FaultKind::Refuse).lasting(Duration::ZERO), Ok(201), 1),
    ]
}

/// Guards against a fault that affects the wrong requests, gives the client another outcome than specified, executes
/// a request that it must drop, drops one that it must execute, or remains after it is cleared.
#[googletest::test]
fn each_fault_has_its_outcome_and_effect() {
    for case in fault_cases() {
        let service = PlainStandin::start(PlainOptions::default()).expect("a port");
        service.fault(case.spec.clone());
        let outcome = post(&format!("{}/desk/bookings", service.url()), "a", LONG_TIMEOUT).map(|answer| answer.status);
        expect_that!(outcome, eq(&case.outcome), "{}", case.name);
        expect_that!(service.executions("a"), eq(case.executions), "{}", case.name);
        service.fault(FaultSpec::new(FaultKind::Clear));
        let outcome = post(&format!("{}/desk/bookings", service.url()), "b", LONG_TIMEOUT).map(|answer| answer.status);
        expect_that!(outcome, eq(&Ok(201)), "{} cleared", case.name);
    }
}

/// Guards against a freeze that drops the request of a caller that has given up. A frozen request must take effect when
/// the fault ends, so that tests of the product can produce late effects.
#[googletest::test]
fn frozen_request_takes_effect_when_the_fault_ends() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    service.fault(FaultSpec::new(FaultKind::Freeze).times(1));
    let outcome = post(&format!("{}/bookings", service.url()), "late", SHORT_TIMEOUT);
    expect_that!(outcome, eq(&Err(StoreCallError::AnswerLost)));
    expect_that!(service.executions("late"), eq(0));
    service.fault(FaultSpec::new(FaultKind::Clear));
    wait_for("the late booking", || service.executions("late") == 1);
}

/// Guards against a slow fault that does not delay, or that drops the request of a caller that has given up.
#[googletest::test]
fn slow_request_takes_effect_after_the_delay() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    service.fault(FaultSpec::slow(2 * SHORT_TIMEOUT).times(1));
    let started = Instant::now();
    let outcome = post(&format!("{}/bookings", service.url()), "slow", SHORT_TIMEOUT);
    expect_that!(outcome, eq(&Err(StoreCallError::AnswerLost)));
    wait_for("the slow booking", || service.executions("slow") == 1);
    expect_that!(started.elapsed(), ge(2 * SHORT_TIMEOUT));
}

/// Guards against a counted fault that affects more or fewer requests than specified, or requests that it must skip.
#[googletest::test]
fn counted_fault_ends_by_itself() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    service.fault(FaultSpec::new(FaultKind::Refuse).after(1).times(2));
    let url = format!("{}/track/parcels/7", service.url());
    let statuses: Vec<u16> = (0..5).map(|_| get(&url, LONG_TIMEOUT).expect("an answer").status).collect();
    expect_that!(statuses, eq(&vec![200, 503, 503, 200, 200]));
}

/// Guards against an outage that also closes the control port and so cannot be cleared by HTTP, and against an outage
/// that does not end after the specified duration.
#[googletest::test]
fn outage_is_ordered_and_lifted_through_the_control_port() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    let page_url = format!("{}/parcels/7", service.url());
    let fault_url = format!("{}/fault", service.server().control_url());
    post(&fault_url, r#"{"kind":"down"}"#, LONG_TIMEOUT).expect("an answer");
    expect_that!(get(&page_url, LONG_TIMEOUT), eq(&Err(StoreCallError::NotSent)));
    post(&fault_url, r#"{"kind":"clear"}"#, LONG_TIMEOUT).expect("an answer");
    expect_that!(get(&page_url, LONG_TIMEOUT).map(|answer| answer.status), eq(&Ok(200)));
    post(&fault_url, r#"{"kind":"down","duration_ms":50}"#, LONG_TIMEOUT).expect("an answer");
    wait_for("the end of the outage", || get(&page_url, LONG_TIMEOUT).is_ok());
}
