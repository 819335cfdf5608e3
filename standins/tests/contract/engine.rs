//! Engine.

use std::io::BufRead;
use std::time::Duration;

use camphorspring::generated::engine_messages::{CacheEvents, EngineLoad, EngineOrder, OrderAction};
use camphorspring::store_client::StoreCallError;
use camphorspring_standins::engine::{EngineControl, FreshLimit, KvTransfer, completion_text};
use camphorspring_standins::{EngineOptions, EngineStandin};
use googletest::prelude::*;

use super::support::{get, open_stream, post, read_stream, request, run_stream, wait_for};

const LIMIT: Duration = Duration::from_secs(10);

fn start(options: EngineOptions) -> EngineStandin {
    EngineStandin::start(options).expect("a port")
}

/// An engine whose completions of 10,000 tokens don't end within a test.
fn start_endless() -> EngineStandin {
    start(EngineOptions { token_time: Duration::from_millis(5), ..EngineOptions::default() })
}

fn order(engine: &EngineStandin, epoch: u64, action: OrderAction, argument: &str) -> u16 {
    let order = EngineOrder { epoch, action, argument: argument.to_owned() };
    let body = serde_json::to_string(&order).expect("JSON");
    post(&format!("{}/v1/orders", engine.url()), &body, LIMIT).expect("an answer").status
}

fn load(engine: &EngineStandin) -> EngineLoad {
    let body = get(&format!("{}/v1/load", engine.url()), LIMIT).expect("an answer").body;
    serde_json::from_str(&body).expect("a load report")
}

fn events(engine: &EngineStandin, after: u64) -> CacheEvents {
    let body = get(&format!("{}/v1/cache_events?after={after}", engine.url()), LIMIT).expect("an answer").body;
    serde_json::from_str(&body).expect("cache events")
}

/// Guards against a resumed stream that does not go on exactly where the first one ended.
#[googletest::test]
fn resumed_stream_continues_the_text() {
    let (first, second) = (start(EngineOptions::default()), start(EngineOptions::default()));
    let whole = run_stream(&first.url(), &request("r1", "a prompt", 20)).expect("a stream");
    expect_that!(whole.is_done, eq(true));
    expect_that!(whole.text(), eq(&completion_text("a prompt", 7, 0, 20)));
    expect_that!(whole.pieces[19].finish_reason.as_deref(), eq(Some("length")));
    let mut rest = request("r1", "a prompt", 20);
    rest.resume_text = completion_text("a prompt", 7, 0, 8);
    rest.resume_tokens = 8;
    let rest = run_stream(&second.url(), &rest).expect("a stream");
    expect_that!(rest.pieces[0].index, eq(8));
    expect_that!(rest.text(), eq(&completion_text("a prompt", 7, 8, 20)));
}

/// Guards against pieces without the version that produced them, and against ones that should lack it.
#[googletest::test]
fn pieces_carry_the_version_in_use() {
    let engine = start(EngineOptions { weight_version: 4, ..EngineOptions::default() });
    let versions = |engine: &EngineStandin| {
        let result = run_stream(&engine.url(), &request("r", "p", 2)).expect("a stream");
        result.pieces.iter().map(|piece| piece.weight_version).collect::<Vec<_>>()
    };
    expect_that!(versions(&engine), eq(&vec![Some(4), Some(4)]));
    engine.control(EngineControl::Unstamped { on: true });
    expect_that!(versions(&engine), eq(&vec![None, None]));
}

#[derive(Debug)]
struct OrderCase {
    epoch: u64,
    action: OrderAction,
    argument: &'static str,
    status: u16,
    version: u64,
}

/// Guards against a switch without staging, a failed switch that changes the version, and a missing fencing check.
#[googletest::test]
fn orders_stage_and_switch_weights() {
    let case = |epoch, action, argument, status, version| OrderCase { epoch, action, argument, status, version };
    let engine = start(EngineOptions::default());
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
        expect_that!(order(&engine, case.epoch, case.action, case.argument), eq(case.status), "{case:?}");
        expect_that!(engine.weight_version(), eq(case.version), "{case:?}");
    }
    let lenient = start(EngineOptions { checks_fencing: false, ..EngineOptions::default() });
    expect_that!(order(&lenient, 5, OrderAction::StageWeights, "2"), eq(200));
    expect_that!(order(&lenient, 1, OrderAction::StageWeights, "3"), eq(200));
}

/// Guards against a load report without its lag.
#[googletest::test]
fn load_report_lags() {
    let engine = start(EngineOptions { load_lag: Duration::from_millis(1500), ..EngineOptions::default() });
    let stream = open_stream(&engine.url(), &request("r", "p", 10_000)).expect("a stream");
    wait_for("the run", || engine.open_requests() == 1);
    expect_that!(load(&engine).running, eq(0));
    wait_for("the report", || load(&engine).running == 1);
    drop(stream);
    wait_for("the end", || load(&engine).running == 0);
}

/// Guards against runs that go on after a cancel or after their reader is gone.
#[googletest::test]
fn cancel_and_disconnect_end_a_run() {
    let engine = start_endless();
    let stream = open_stream(&engine.url(), &request("r1", "p", 10_000)).expect("a stream");
    wait_for("the run", || engine.open_requests() == 1);
    let answer = post(&format!("{}/v1/requests/r1/cancel", engine.url()), "", LIMIT).expect("an answer");
    expect_that!(answer.body, eq(r#"{"cancelled":true}"#));
    expect_that!(read_stream(stream).is_done, eq(false));
    let stream = open_stream(&engine.url(), &request("r2", "p", 10_000)).expect("a stream");
    wait_for("the run", || engine.open_requests() == 1);
    drop(stream);
    wait_for("the end", || engine.open_requests() == 0);
    expect_that!(engine.records().broken_runs, eq(2));
    expect_that!(engine.records().runs.get("r2"), some(eq(&1)));
}

/// Guards against a batch that costs nothing, and against requests that overtake others in the queue.
#[googletest::test]
fn full_engine_admits_in_order_of_arrival() {
    let options = EngineOptions { running_limit: 1, token_time: Duration::from_millis(2), ..EngineOptions::default() };
    let engine = start(options);
    let mut first = open_stream(&engine.url(), &request("r1", "p1", 10_000)).expect("a stream");
    let mut line = String::new();
    first.read_line(&mut line).expect("a piece");
    let waiting: Vec<_> = (2..5)
        .map(|index| {
            let stream = open_stream(&engine.url(), &request(&format!("r{index}"), "p", 1)).expect("a stream");
            wait_for("the arrival", || engine.open_requests() == index);
            std::thread::spawn(move || (read_stream(stream).pieces[0].request_id.clone(), std::time::Instant::now()))
        })
        .collect();
    drop(first);
    let mut finished: Vec<_> = waiting.into_iter().map(|thread| thread.join().expect("a result")).collect();
    finished.sort_by_key(|(_, time)| *time);
    let order: Vec<String> = finished.into_iter().map(|(id, _)| id).collect();
    expect_that!(order, eq(&vec!["r2", "r3", "r4"]));
    expect_that!(engine.records().highest_running, eq(1));
    expect_that!(engine.records().highest_open, eq(4));
}

/// Guards against token times that don't grow with the number running beyond the batch size.
#[googletest::test]
fn large_batch_slows_all_streams() {
    let token_time = Duration::from_millis(4);
    let engine = start(EngineOptions { token_time, batch_size: 1, ..EngineOptions::default() });
    let others: Vec<_> = (0..4)
        .map(|index| open_stream(&engine.url(), &request(&format!("o{index}"), "p", 10_000)).expect("a stream"))
        .collect();
    wait_for("the others", || engine.records().highest_running == 4);
    let start = std::time::Instant::now();
    run_stream(&engine.url(), &request("r", "p", 10)).expect("a stream");
    expect_that!(start.elapsed(), ge(5 * 10 * token_time));
    drop(others);
}

#[derive(Debug)]
struct CrashCase {
    name: &'static str,
    options: EngineOptions,
    prompts: &'static [&'static str],
}

/// Guards against crashes that don't happen, that end streams as complete, or after which the port still answers.
#[googletest::test]
fn crash_breaks_streams_and_refuses_connections() {
    let marker = EngineOptions { crash_marker: Some("poison".to_owned()), ..EngineOptions::default() };
    let limit = FreshLimit { requests: 1, period: LIMIT };
    let fresh = EngineOptions { fresh_limit: Some(limit), ..EngineOptions::default() };
    let cases = [
        CrashCase { name: "marker", options: marker, prompts: &["good", "with poison in it"] },
        CrashCase { name: "fresh", options: fresh, prompts: &["one", "two"] },
    ];
    for case in cases {
        let engine = start(EngineOptions { token_time: Duration::from_millis(20), ..case.options });
        let streams: Vec<_> = case
            .prompts
            .iter()
            .filter_map(|prompt| open_stream(&engine.url(), &request("r", prompt, 10_000)).ok())
            .collect();
        wait_for("the crash", || engine.is_crashed() && engine.open_requests() == 0);
        for stream in streams {
            expect_that!(read_stream(stream).is_done, eq(false), "{}", case.name);
        }
        wait_for("the port", || get(&engine.url(), LIMIT) == Err(StoreCallError::NotSent));
        engine.restart();
        let result = run_stream(&engine.url(), &request("r", "good", 1)).expect("a stream");
        expect_that!(result.is_done, eq(true), "{}", case.name);
        expect_that!(engine.records().crashes, eq(1), "{}", case.name);
    }
}

/// Guards against a cache without limit, and against events without their lag and gaps.
#[googletest::test]
fn cache_events_are_late_and_have_gaps() {
    let options =
        EngineOptions { cache_blocks: 2, event_lag: Duration::from_secs(1), event_gap: 2, ..EngineOptions::default() };
    let engine = start(options);
    // Three blocks of 64 bytes, of which two fit.
    run_stream(&engine.url(), &request("r", &"x".repeat(192), 1)).expect("a stream");
    expect_that!(events(&engine, 0).events.len(), eq(0));
    wait_for("the events", || events(&engine, 0).events.len() == 2);
    let sequences: Vec<u64> = events(&engine, 0).events.iter().map(|event| event.sequence).collect();
    expect_that!(sequences, eq(&vec![1, 3]));
    engine.control(EngineControl::TurnCold);
    wait_for("the evictions", || events(&engine, 3).events.iter().any(|event| !event.stored));
}

/// Guards against a prefix or an imported KV cache that saves no prefill time, and a cold engine that is not slow.
#[googletest::test]
fn prefill_time_depends_on_the_cache() {
    let options = EngineOptions {
        prefill_time: Duration::from_millis(5),
        cold_factor: 1,
        cold_tokens: 200,
        ..EngineOptions::default()
    };
    let (first, second) = (start(options.clone()), start(options));
    let prompt = "y".repeat(640);
    let time = |engine: &EngineStandin, handle: Option<String>| {
        let request =
            camphorspring::generated::engine_messages::EngineRequest { kv_handle: handle, ..request("r", &prompt, 1) };
        let start = std::time::Instant::now();
        run_stream(&engine.url(), &request).expect("a stream");
        start.elapsed()
    };
    let prefill = Duration::from_millis(800);
    expect_that!(time(&first, None), ge(prefill));
    expect_that!(time(&first, None), lt(prefill));
    let export = post(&format!("{}/v1/kv/export/r", first.url()), "", LIMIT).expect("an answer").body;
    let transfer: KvTransfer = serde_json::from_str(&export).expect("a transfer");
    expect_that!(post(&format!("{}/v1/kv/import", second.url()), &export, LIMIT).expect("an answer").status, eq(200));
    expect_that!(time(&second, Some(transfer.kv_handle)), lt(prefill));
    first.control(EngineControl::TurnCold);
    expect_that!(time(&first, None), ge(Duration::from_secs(1)));
}

/// Guards against a header that goes unrecorded, which would hide a caller's key.
#[googletest::test]
fn received_headers_are_recorded() {
    let engine = start(EngineOptions::default());
    let agent = super::support::agent(LIMIT);
    let url = format!("{}/v1/completions", engine.url());
    agent.post(url).header("authorization", "Bearer cs_secret").send_json(request("r", "p", 1)).expect("an answer");
    expect_that!(engine.records().has_header_text("cs_secret"), eq(true));
    expect_that!(engine.records().runs_of_prompt("p"), eq(1));
}

/// Guards against an engine that stays down, or that keeps its weights and cache over a crash.
#[googletest::test]
fn crashed_engine_restarts_afresh() {
    let engine = start(EngineOptions { restart_after: Some(Duration::from_millis(50)), ..EngineOptions::default() });
    expect_that!(order(&engine, 1, OrderAction::StageWeights, "2"), eq(200));
    expect_that!(order(&engine, 1, OrderAction::SwitchWeights, "2"), eq(200));
    engine.crash();
    wait_for("the restart", || run_stream(&engine.url(), &request("r", "p", 1)).is_ok_and(|result| result.is_done));
    expect_that!(load(&engine).weight_version, eq(1));
}

/// Guards against completions of one length only, and against a resumed one that ends elsewhere.
#[googletest::test]
fn early_end_is_the_same_after_a_resumption() {
    let engine = start(EngineOptions { ends_early: true, ..EngineOptions::default() });
    let mut lengths = Vec::new();
    for index in 0..8 {
        let prompt = format!("prompt {index}");
        let whole = run_stream(&engine.url(), &request("w", &prompt, 32)).expect("a stream");
        let mut rest = request("r", &prompt, 32);
        rest.resume_tokens = 2;
        rest.resume_text = completion_text(&prompt, 7, 0, 2);
        let rest = run_stream(&engine.url(), &rest).expect("a stream");
        expect_that!(rest.pieces.len() + 2, eq(whole.pieces.len()));
        lengths.push(whole.pieces.len());
    }
    lengths.sort_unstable();
    lengths.dedup();
    expect_that!(lengths.len(), ge(2));
}
