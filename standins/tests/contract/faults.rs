//! Fault orders, at a stand-in whose effects can be counted.

use std::time::{Duration, Instant};

use camphorspring::store_client::StoreCallError;
use camphorspring_standins::{FaultKind, FaultSpec, PlainOptions, PlainStandin};
use googletest::prelude::*;

use super::support::{get, post, wait_for};

const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct FaultCase {
    name: &'static str,
    order: FaultSpec,
    outcome: std::result::Result<u16, StoreCallError>,
    executions: u64,
}

fn cases() -> Vec<FaultCase> {
    let case = |name, order, outcome, executions| FaultCase { name, order, outcome, executions };
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

/// Guards against a fault that takes effect when it must not, or that a client cannot tell from another.
#[googletest::test]
fn each_fault_has_its_outcome_and_effect() {
    for case in cases() {
        let service = PlainStandin::start(PlainOptions::default()).expect("a port");
        service.fault(case.order.clone());
        let outcome = post(&format!("{}/desk/bookings", service.url()), "a", LONG).map(|answer| answer.status);
        expect_that!(outcome, eq(&case.outcome), "{}", case.name);
        expect_that!(service.executions("a"), eq(case.executions), "{}", case.name);
        service.fault(FaultSpec::new(FaultKind::Clear));
        let outcome = post(&format!("{}/desk/bookings", service.url()), "b", LONG).map(|answer| answer.status);
        expect_that!(outcome, eq(&Ok(201)), "{} cleared", case.name);
    }
}

/// Guards against a freeze that forgets the request of a caller that gave up: the late effect must be possible.
#[googletest::test]
fn frozen_request_takes_effect_when_lifted() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    service.fault(FaultSpec::new(FaultKind::Freeze).times(1));
    let outcome = post(&format!("{}/bookings", service.url()), "late", SHORT);
    expect_that!(outcome, eq(&Err(StoreCallError::AnswerLost)));
    expect_that!(service.executions("late"), eq(0));
    service.fault(FaultSpec::new(FaultKind::Clear));
    wait_for("the late booking", || service.executions("late") == 1);
}

/// Guards against a slow order that does not delay, or that forgets the request of a caller that gave up.
#[googletest::test]
fn slow_request_takes_effect_after_the_delay() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    service.fault(FaultSpec::slow(2 * SHORT).times(1));
    let start = Instant::now();
    let outcome = post(&format!("{}/bookings", service.url()), "slow", SHORT);
    expect_that!(outcome, eq(&Err(StoreCallError::AnswerLost)));
    wait_for("the slow booking", || service.executions("slow") == 1);
    expect_that!(start.elapsed(), ge(2 * SHORT));
}

/// Guards against a count that affects more or fewer requests than ordered.
#[googletest::test]
fn counted_fault_ends_by_itself() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    service.fault(FaultSpec::new(FaultKind::Refuse).after(1).times(2));
    let url = format!("{}/track/parcels/7", service.url());
    let statuses: Vec<u16> = (0..5).map(|_| get(&url, LONG).expect("an answer").status).collect();
    expect_that!(statuses, eq(&vec![200, 503, 503, 200, 200]));
}

/// Guards against an outage by HTTP that cannot be lifted by HTTP, or that does not end after its duration.
#[googletest::test]
fn outage_is_ordered_and_lifted_through_the_control_port() {
    let service = PlainStandin::start(PlainOptions::default()).expect("a port");
    let page = format!("{}/parcels/7", service.url());
    let fault = format!("{}/fault", service.server().control_url());
    post(&fault, r#"{"kind":"down"}"#, LONG).expect("an answer");
    expect_that!(get(&page, LONG), eq(&Err(StoreCallError::NotSent)));
    post(&fault, r#"{"kind":"clear"}"#, LONG).expect("an answer");
    expect_that!(get(&page, LONG).map(|answer| answer.status), eq(&Ok(200)));
    post(&fault, r#"{"kind":"down","duration_ms":50}"#, LONG).expect("an answer");
    wait_for("the end of the outage", || get(&page, LONG).is_ok());
}
