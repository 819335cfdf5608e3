//! Grading of complete outputs: order and placement of the attempts, and what a response counts as.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::entry::host_context::RunningRequest;
use camphorspring::entry::request_entry::check_gradings;
use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::member_row::RunningCount;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::grading_queue::{GradingDecision, GradingOutcome, GradingQueue, attempt_timeout};
use camphorspring::jobs::grading_run::GradingRun;
use camphorspring::jobs::item_scheduler::{IdleConnections, ItemScheduler, ItemState, PlacementContext, RunOutcome};
use camphorspring::jobs::job_record::GradingSpec;
use camphorspring::prelude::ResultCode;
use googletest::prelude::*;

use super::item_http::{context, serve_once};
use super::plan::spec;
use crate::fleet::builders::{at, engine, plain_route, service_map, share_clock, view};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn start(queue: &mut GradingQueue, loads: &mut LoadTable, view: &FleetView, open: &[u32], now: BootTime) -> Vec<usize> {
    let idle_connections = IdleConnections::default();
    let context = PlacementContext {
        idle_connections: &idle_connections,
        view,
        service: "models",
        cold_rate: 0.0,
        domain: "north",
        clock: share_clock("h1", now),
    };
    let due_items = queue.due_items(open, now);
    let starts = queue.start_attempts(&due_items, OBJECTIVE, None, loads, &context);
    starts.into_iter().map(|start| start.item).collect()
}

/// Guards against a burst of gradings that fills the plain service, so that it refuses requests of callers: all items of
/// a step end at once, and two targets with 12 slots each run gradings of another host as well.
#[gtest]
fn burst_of_gradings_leaves_slots_free() {
    let now = at(10_000);
    let mut view = view(vec![engine("p1", 1), engine("p2", 1)], &["h1", "h2"], now);
    let mut members = (*view.members).clone();
    members[1].row.running = vec![RunningCount { target: "p2".to_owned(), count: 7 }];
    view.members = members.into();
    let (mut queue, mut loads) = (GradingQueue::new(), LoadTable::new());
    (0..64).for_each(|item| queue.add(item));
    let started = start(&mut queue, &mut loads, &view, &[1; 64], now);
    let running = |target: &str| loads.get(target).map_or(0, |load| load.running);
    expect_that!((started.len(), running("p1"), running("p2")), eq((15, 11, 4)));
    expect_that!(start(&mut queue, &mut loads, &view, &[1; 64], now), is_empty());
    expect_that!(queue.has_waiting(), eq(true));
}

/// Guards against groups that all end late because their gradings take turns: of seven complete outputs, those of the group
/// that lacks the fewest items must be graded first.
#[gtest]
fn group_that_lacks_the_fewest_items_is_graded_first() {
    let now = at(10_000);
    let view = view(vec![engine("p1", 1)], &["h1"], now);
    let mut scheduler = ItemScheduler::new(&spec(4, 4), 3);
    let (mut queue, mut loads) = (GradingQueue::new(), LoadTable::new());
    for item in [0, 4, 8, 9, 10, 12, 13] {
        scheduler.record_run_end(item, RunOutcome::Complete, now);
        scheduler.set_ungraded(item);
        queue.add(item);
    }
    // Of the third group, one item is listed; the fourth group has two finished items.
    scheduler.mark_item_listed(11);
    scheduler.set_finished(14);
    scheduler.set_finished(15);
    let started = start(&mut queue, &mut loads, &view, &scheduler.open_group_items(), now);
    expect_that!(started, eq(&vec![12, 13, 8, 9, 10, 0, 4]));
    expect_that!(scheduler.item_state(0), eq(&ItemState::Ungraded));
}

/// Guards against an output that is graded twice at the same time, and against a group that waits long for a grading
/// that always fails: the next attempt must start at once, and only errors count towards the limit.
#[gtest]
fn errors_are_counted_and_retried_at_once() {
    let now = at(10_000);
    let view = view(vec![engine("p1", 1)], &["h1"], now);
    let (mut queue, mut loads) = (GradingQueue::new(), LoadTable::new());
    queue.add(0);
    let outcomes = [
        GradingOutcome::Lost,
        GradingOutcome::Failed,
        GradingOutcome::Lost,
        GradingOutcome::Failed,
        GradingOutcome::Failed,
    ];
    let mut decisions = Vec::new();
    for outcome in outcomes {
        expect_that!(start(&mut queue, &mut loads, &view, &[1], now), eq(&vec![0]));
        expect_that!(start(&mut queue, &mut loads, &view, &[1], now), is_empty());
        decisions.push(queue.record_end(0, outcome, 3, now));
    }
    let retry = Some(GradingDecision::Retry);
    let abandon = Some(GradingDecision::Abandon);
    expect_that!(decisions, eq(&vec![retry.clone(), retry.clone(), retry.clone(), retry, abandon]));
    expect_that!(queue.record_end(0, GradingOutcome::Failed, 3, now), none());
}

/// Guards against a full service that gets the same request over and over, and against a refusal that counts as an error.
#[gtest]
fn refused_gradings_wait() {
    let now = at(10_000);
    let view = view(vec![engine("p1", 1)], &["h1"], now);
    let (mut queue, mut loads) = (GradingQueue::new(), LoadTable::new());
    queue.add(0);
    for attempt in 0..9 {
        let now = at(10_000 + 100 * attempt);
        expect_that!(start(&mut queue, &mut loads, &view, &[1], now), eq(&vec![0]));
        expect_that!(queue.record_end(0, GradingOutcome::Refused, 1, now), some(eq(&GradingDecision::Retry)));
        expect_that!(start(&mut queue, &mut loads, &view, &[1], now), is_empty());
    }
}

/// Guards against a slow grading that is cut at every attempt and so never ends.
#[gtest]
fn timeout_grows_with_lost_attempts() {
    let millis = |lost, limit| attempt_timeout(OBJECTIVE, limit, lost).as_millis();
    expect_that!([0, 1, 2, 60].map(|lost| millis(lost, None)), eq([800, 1600, 2000, 2000]));
    expect_that!(millis(3, Some(Duration::from_secs(9))), eq(6400));
    expect_that!(attempt_timeout(Duration::from_millis(50), None, 0).as_millis(), eq(500));
}

/// Grades an output against a target that sends `response`, with a timeout of half a second.
pub fn grade_against(response: &str) -> GradingOutcome {
    let mut target = engine("p1", 1);
    target.address = serve_once(response.to_owned());
    let context = context();
    context.with_loads(|loads| loads.start("p1", true, false, at(0)));
    let run = GradingRun {
        running_request: RunningRequest::counted(&context, "p1", true),
        context: Arc::clone(&context),
        job: "j".to_owned(),
        grading: grading("/grade/x"),
        target,
        timeout: Duration::from_millis(500),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let outcome = runtime.block_on(run.run());
    expect_that!(context.with_loads(|loads| loads.entry("p1").running), eq(0));
    outcome
}

fn grading(path: &str) -> GradingSpec {
    GradingSpec { id: "g0".to_owned(), host: "c".to_owned(), path: path.to_owned(), body: String::new() }
}

/// Guards against a score that is not the one of this output: a response to another request, one without an id, one that
/// is cut off, encoded, unsigned or no HTTP, and an error with a signature.
#[gtest]
fn only_the_complete_signed_response_has_the_score() {
    let response = |head: &str, body: &str| format!("HTTP/1.1 {head}\r\ncontent-length: 2\r\n\r\n{body}");
    let outcomes = [
        response("200 OK\r\nid: g0\r\nstamp: s7", "ok"),
        response("200 OK\r\nid: g1\r\nstamp: s7", "ok"),
        response("200 OK\r\nstamp: s7", "ok"),
        response("200 OK\r\nid: g0\r\nstamp: s7", "o"),
        response("200 OK\r\nid: g0\r\nstamp: s7\r\ncontent-encoding: gzip", "ok"),
        response("200 OK\r\nid: g0", "ok"),
        response("503 Full\r\nid: g0\r\nnot-run: 1", "no"),
        response("421 Misdirected\r\nid: g0", "no"),
        response("500 Failed\r\nid: g0\r\nstamp: s7", "no"),
        response("422 Never\r\nid: g0", "no"),
        response("504 Late\r\nid: g0\r\nstamp: s7", "no"),
        "garbage\r\n\r\n".to_owned(),
    ]
    .map(|response| grade_against(&response));
    let graded = GradingOutcome::Graded("s7".to_owned());
    let lost = || GradingOutcome::Lost;
    let expected = [
        graded,
        lost(),
        lost(),
        lost(),
        lost(),
        lost(),
        GradingOutcome::Refused,
        GradingOutcome::Refused,
        GradingOutcome::Failed,
        lost(),
        lost(),
        lost(),
    ];
    expect_that!(outcomes, eq(&expected));
}

/// Guards against a target that sends a body without end and so holds its slot and fills the memory.
#[gtest]
fn endless_body_is_cut() {
    let body = "x".repeat(300_000);
    expect_that!(
        grade_against(&format!("HTTP/1.1 200 OK\r\nid: g0\r\nstamp: s7\r\n\r\n{body}")),
        eq(&GradingOutcome::Lost)
    );
}

/// Guards against an accepted job whose grading requests cannot be sent, and against a refusal for good of one that
/// another host with a newer configuration may accept.
#[gtest]
fn gradings_are_checked_at_submission() {
    let services = service_map(1, vec![plain_route()]);
    let decode: fn(&str) -> Option<bytes::Bytes> = |body| (body != "bad").then(bytes::Bytes::new);
    let check = |grading: Option<GradingSpec>| {
        let mut spec = spec(1, 2);
        spec.items[1].grading = grading;
        check_gradings(&spec.items, &services, decode)
    };
    let host = services.routes[0].host.clone();
    let known = GradingSpec { host, ..grading(&format!("{}x", services.routes[0].path_prefix)) };
    expect_that!(check(None), ok(eq(())));
    expect_that!(check(Some(known.clone())), ok(eq(())));
    expect_that!(check(Some(GradingSpec { body: "bad".to_owned(), ..known.clone() })), err(eq(ResultCode::BadRequest)));
    expect_that!(check(Some(GradingSpec { host: "other".to_owned(), ..known })), err(eq(ResultCode::NoTarget)));
}
