//! Contract of the engine stand-in: streams, weights, load reports, admission, crashes and caches.

use std::io::BufRead;
use std::time::Duration;

use camphorspring::generated::engine_messages::{CacheEvents, EngineLoad, EngineOrder, OrderAction};
use camphorspring::store_client::StoreCallError;
use camphorspring_standins::engine::{EngineControl, KvTransfer, StartupLimit, completion_text};
use camphorspring_standins::{EngineOptions, EngineStandin};
use googletest::prelude::*;

use super::support::{get, open_stream, post, read_stream, request, run_stream, wait_for};

/// Upper bound of one request; also the period of the startup limit.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn start_engine(options: EngineOptions) -> EngineStandin {
    EngineStandin::start(options).expect("a port")
}

/// Starts a slow engine whose completions of 10,000 tokens take 50 seconds and so outlast the test.
fn start_slow_engine() -> EngineStandin {
    start_engine(EngineOptions { token_time: Duration::from_millis(5), ..EngineOptions::default() })
}

fn send_order(engine: &EngineStandin, epoch: u64, action: OrderAction, argument: &str) -> u16 {
    let order = EngineOrder { epoch, action, argument: argument.to_owned() };
    let body = serde_json::to_string(&order).expect("JSON");
    post(&format!("{}/v1/orders", engine.url()), &body, TEST_TIMEOUT).expect("an answer").status
}

fn fetch_load(engine: &EngineStandin) -> EngineLoad {
    let body = get(&format!("{}/v1/load", engine.url()), TEST_TIMEOUT).expect("an answer").body;
    serde_json::from_str(&body).expect("a load report")
}

fn fetch_events(engine: &EngineStandin, after: u64) -> CacheEvents {
    let body = get(&format!("{}/v1/cache_events?after={after}", engine.url()), TEST_TIMEOUT).expect("an answer").body;
    serde_json::from_str(&body).expect("cache events")
}

/// Guards against a resumed stream that repeats, skips or changes tokens. A second engine continues the completion and
/// must produce the same text as a single run.
#[googletest::test]
fn resumed_stream_continues_the_text() {
    let (first_engine, second_engine) =
        (start_engine(EngineOptions::default()), start_engine(EngineOptions::default()));
    let whole_result = run_stream(&first_engine.url(), &request("r1", "a prompt", 20)).expect("a stream");
    expect_that!(whole_result.is_done, eq(true));
    expect_that!(whole_result.text(), eq(&completion_text("a prompt", 7, 0, 20)));
    expect_that!(whole_result.pieces[19].finish_reason.as_deref(), eq(Some("length")));
    let mut rest_request = request("r1", "a prompt", 20);
    rest_request.resume_text = completion_text("a prompt", 7, 0, 8);
    rest_request.resume_tokens = 8;
    let rest_result = run_stream(&second_engine.url(), &rest_request).expect("a stream");
    expect_that!(rest_result.pieces[0].index, eq(8));
    expect_that!(rest_result.text(), eq(&completion_text("a prompt", 7, 8, 20)));
}

/// Guards against pieces without the weight version in use, and against a version in pieces that should omit it.
#[googletest::test]
fn pieces_carry_the_version_in_use() {
    let engine = start_engine(EngineOptions { weight_version: 4, ..EngineOptions::default() });
    let read_versions = |engine: &EngineStandin| {
        let result = run_stream(&engine.url(), &request("r", "p", 2)).expect("a stream");
        result.pieces.iter().map(|piece| piece.weight_version).collect::<Vec<_>>()
    };
    expect_that!(read_versions(&engine), eq(&vec![Some(4), Some(4)]));
    engine.control(EngineControl::Unstamped { on: true });
    expect_that!(read_versions(&engine), eq(&vec![None, None]));
}

#[derive(Debug)]
struct OrderCase {
    epoch: u64,
    action: OrderAction,
    argument: &'static str,
    status: u16,
    version: u64,
}

/// Guards against a switch to weights that are not staged, a failed switch that changes the version, and an order with
/// an old epoch that is accepted in spite of the fencing check.
#[googletest::test]
fn orders_stage_and_switch_weights() {
    let case = |epoch, action, argument, status, version| OrderCase { epoch, action, argument, status, version };
    let engine = start_engine(EngineOptions::default());
    engine.control(EngineControl::FailSwitches { count: 1 });
    let cases = [
        case(2, OrderAction::SwitchWeights, "2", 409, 1),
        case(2, OrderAction::StageWeights, "2", 200, 1),
        case(2, OrderAction::SwitchWeights, "2", 500, 1),
        case(2, OrderAction::SwitchWeights, "2", 200, 2),
        case(1, OrderAction::StageWeights, "3", 409, 2),
        case(3, OrderAction::StageWeights, "three", 400, 2),
    ];
    for case in &cases {
        expect_that!(send_order(&engine, case.epoch, case.action, case.argument), eq(case.status), "{case:?}");
        expect_that!(engine.weight_version(), eq(case.version), "{case:?}");
    }
    let lenient_engine = start_engine(EngineOptions { checks_fencing: false, ..EngineOptions::default() });
    expect_that!(send_order(&lenient_engine, 5, OrderAction::StageWeights, "2"), eq(200));
    expect_that!(send_order(&lenient_engine, 1, OrderAction::StageWeights, "3"), eq(200));
}

/// Guards against load reports that show the current number of running requests instead of the delayed one.
#[googletest::test]
fn load_report_lags() {
    let engine = start_engine(EngineOptions { load_lag: Duration::from_millis(1500), ..EngineOptions::default() });
    let stream = open_stream(&engine.url(), &request("r", "p", 10_000)).expect("a stream");
    wait_for("the run", || engine.open_requests() == 1);
    expect_that!(fetch_load(&engine).running, eq(0));
    wait_for("the report", || fetch_load(&engine).running == 1);
    drop(stream);
    wait_for("the end", || fetch_load(&engine).running == 0);
}

/// Guards against runs that continue after a cancellation or after the reader has disconnected.
#[googletest::test]
fn cancel_and_disconnect_end_a_run() {
    let engine = start_slow_engine();
    let stream = open_stream(&engine.url(), &request("r1", "p", 10_000)).expect("a stream");
    wait_for("the run", || engine.open_requests() == 1);
    let answer = post(&format!("{}/v1/requests/r1/cancel", engine.url()), "", TEST_TIMEOUT).expect("an answer");
    expect_that!(answer.body, eq(r#"{"cancelled":true}"#));
    expect_that!(read_stream(stream).is_done, eq(false));
    let stream = open_stream(&engine.url(), &request("r2", "p", 10_000)).expect("a stream");
    wait_for("the run", || engine.open_requests() == 1);
    drop(stream);
    wait_for("the end", || engine.open_requests() == 0);
    expect_that!(engine.records().broken_runs, eq(2));
    expect_that!(engine.records().runs.get("r2"), some(eq(&1)));
}

/// Guards against more running requests than the limit allows, and against requests that are admitted before earlier
/// ones.
#[googletest::test]
fn full_engine_admits_in_order_of_arrival() {
    let options = EngineOptions { running_limit: 1, token_time: Duration::from_millis(2), ..EngineOptions::default() };
    let engine = start_engine(options);
    let mut first_stream = open_stream(&engine.url(), &request("r1", "p1", 10_000)).expect("a stream");
    let mut line = String::new();
    first_stream.read_line(&mut line).expect("a piece");
    let reader_threads: Vec<_> = (2..5)
        .map(|index| {
            let stream = open_stream(&engine.url(), &request(&format!("r{index}"), "p", 1)).expect("a stream");
            wait_for("the arrival", || engine.open_requests() == index);
            std::thread::spawn(move || (read_stream(stream).pieces[0].request_id.clone(), std::time::Instant::now()))
        })
        .collect();
    drop(first_stream);
    let mut finished: Vec<_> = reader_threads.into_iter().map(|thread| thread.join().expect("a result")).collect();
    finished.sort_by_key(|(_, time)| *time);
    let finish_order: Vec<String> = finished.into_iter().map(|(id, _)| id).collect();
    expect_that!(finish_order, eq(&vec!["r2", "r3", "r4"]));
    expect_that!(engine.records().highest_running, eq(1));
    expect_that!(engine.records().highest_open, eq(4));
}

/// Guards against a token time that stays the same when more requests run than the batch size.
#[googletest::test]
fn large_batch_slows_all_streams() {
    let token_time = Duration::from_millis(4);
    let engine = start_engine(EngineOptions { token_time, batch_size: 1, ..EngineOptions::default() });
    let others: Vec<_> = (0..4)
        .map(|index| open_stream(&engine.url(), &request(&format!("o{index}"), "p", 10_000)).expect("a stream"))
        .collect();
    wait_for("the others", || engine.records().highest_running == 4);
    let started = std::time::Instant::now();
    run_stream(&engine.url(), &request("r", "p", 10)).expect("a stream");
    expect_that!(started.elapsed(), ge(5 * 10 * token_time));
    drop(others);
}

#[derive(Debug)]
struct CrashCase {
    name: &'static str,
    options: EngineOptions,
    prompts: &'static [&'static str],
}

/// Guards against crashes that don't happen, that end streams as if complete, or that leave the port open. A crash is
/// caused by a prompt with the crash marker or by too many requests right after a start.
#[googletest::test]
fn crash_breaks_streams_and_refuses_connections() {
    let marker = EngineOptions { crash_marker: Some("poison".to_owned()), ..EngineOptions::default() };
    let limit = StartupLimit { requests: 1, period: TEST_TIMEOUT };
    let startup = EngineOptions { startup_limit: Some(limit), ..EngineOptions::default() };
    let cases = [
        CrashCase { name: "marker", options: marker, prompts: &["good", "with poison in it"] },
        CrashCase { name: "fresh", options: startup, prompts: &["one", "two"] },
    ];
    for case in cases {
        let engine = start_engine(EngineOptions { token_time: Duration::from_millis(20), ..case.options });
        let streams: Vec<_> = case
            .prompts
            .iter()
            .filter_map(|prompt| open_stream(&engine.url(), &request("r", prompt, 10_000)).ok())
            .collect();
        wait_for("the crash", || engine.is_crashed() && engine.open_requests() == 0);
        for stream in streams {
            expect_that!(read_stream(stream).is_done, eq(false), "{}", case.name);
        }
        // Waits until the port is closed.
        wait_for("the port", || get(&engine.url(), TEST_TIMEOUT) == Err(StoreCallError::NotSent));
        engine.restart();
        let result = run_stream(&engine.url(), &request("r", "good", 1)).expect("a stream");
        expect_that!(result.is_done, eq(true), "{}", case.name);
        expect_that!(engine.records().crashes, eq(1), "{}", case.name);
    }
}

/// Guards against cache events that appear early or without gaps, and against evictions without events.
#[googletest::test]
fn cache_events_are_late_and_have_gaps() {
    let options =
        EngineOptions { cache_blocks: 2, event_lag: Duration::from_secs(1), event_gap: 2, ..EngineOptions::default() };
    let engine = start_engine(options);
    // The prompt has three blocks of 64 bytes; the cache holds two of them.
    run_stream(&engine.url(), &request("r", &"x".repeat(192), 1)).expect("a stream");
    expect_that!(fetch_events(&engine, 0).events.len(), eq(0));
    wait_for("the events", || fetch_events(&engine, 0).events.len() == 2);
    let sequences: Vec<u64> = fetch_events(&engine, 0).events.iter().map(|event| event.sequence).collect();
    expect_that!(sequences, eq(&vec![1, 3]));
    engine.control(EngineControl::TurnCold);
    wait_for("the evictions", || fetch_events(&engine, 3).events.iter().any(|event| !event.stored));
}

/// Guards against a cached prefix or an imported KV cache that saves no prefill time, and against a cold engine that is
/// not slower.
#[googletest::test]
fn prefill_time_depends_on_the_cache() {
    let options = EngineOptions {
        prefill_time: Duration::from_millis(5),
        cold_factor: 1,
        cold_tokens: 200,
        ..EngineOptions::default()
    };
    let (first_engine, second_engine) = (start_engine(options.clone()), start_engine(options));
    let prompt = "y".repeat(640);
    let measure_run = |engine: &EngineStandin, handle: Option<String>| {
        let request =
            camphorspring::generated::engine_messages::EngineRequest { kv_handle: handle, ..request("r", &prompt, 1) };
        let started = std::time::Instant::now();
        run_stream(&engine.url(), &request).expect("a stream");
        started.elapsed()
    };
    let prefill = Duration::from_millis(800);
    expect_that!(measure_run(&first_engine, None), ge(prefill));
    expect_that!(measure_run(&first_engine, None), lt(prefill));
    let export = post(&format!("{}/v1/kv/export/r", first_engine.url()), "", TEST_TIMEOUT).expect("an answer").body;
    let transfer: KvTransfer = serde_json::from_str(&export).expect("a transfer");
    expect_that!(
        post(&format!("{}/v1/kv/import", second_engine.url()), &export, TEST_TIMEOUT).expect("an answer").status,
        eq(200)
    );
    expect_that!(measure_run(&second_engine, Some(transfer.kv_handle)), lt(prefill));
    first_engine.control(EngineControl::TurnCold);
    expect_that!(measure_run(&first_engine, None), ge(Duration::from_secs(1)));
}

/// Guards against headers that are not recorded. Tests of the product could then not see a caller's key that is passed
/// on to an engine.
#[googletest::test]
fn received_headers_are_recorded() {
    let engine = start_engine(EngineOptions::default());
    let agent = super::support::agent(TEST_TIMEOUT);
    let url = format!("{}/v1/completions", engine.url());
    agent.post(url).header("authorization", "Bearer cs_secret").send_json(request("r", "p", 1)).expect("an answer");
    expect_that!(engine.records().has_header_text("cs_secret"), eq(true));
    expect_that!(engine.records().runs_of_prompt("p"), eq(1));
}

/// Guards against an engine that does not restart by itself, or that keeps the switched weights after a crash.
#[googletest::test]
fn crashed_engine_restarts_afresh() {
    let engine =
        start_engine(EngineOptions { restart_after: Some(Duration::from_millis(50)), ..EngineOptions::default() });
    expect_that!(send_order(&engine, 1, OrderAction::StageWeights, "2"), eq(200));
    expect_that!(send_order(&engine, 1, OrderAction::SwitchWeights, "2"), eq(200));
    engine.crash();
    wait_for("the restart", || run_stream(&engine.url(), &request("r", "p", 1)).is_ok_and(|result| result.is_done));
    expect_that!(fetch_load(&engine).weight_version, eq(1));
}

/// Guards against completions that all have the same length, and against a resumed completion that ends at another token
/// than the whole one.
#[googletest::test]
fn early_end_is_the_same_after_a_resumption() {
    let engine = start_engine(EngineOptions { ends_early: true, ..EngineOptions::default() });
    let mut lengths = Vec::new();
    for index in 0..8 {
        let prompt = format!("prompt {index}");
        let whole_result = run_stream(&engine.url(), &request("w", &prompt, 32)).expect("a stream");
        let mut rest_request = request("r", &prompt, 32);
        rest_request.resume_tokens = 2;
        rest_request.resume_text = completion_text(&prompt, 7, 0, 2);
        let rest_result = run_stream(&engine.url(), &rest_request).expect("a stream");
        expect_that!(rest_result.pieces.len() + 2, eq(whole_result.pieces.len()));
        lengths.push(whole_result.pieces.len());
    }
    lengths.sort_unstable();
    lengths.dedup();
    expect_that!(lengths.len(), ge(2));
}
