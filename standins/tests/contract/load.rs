//! Contract tests of the load tool, against a host with known faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use camphorspring_standins::engine::completion_text;
use camphorspring_standins::load::{LoadOptions, LoadReport, RequestKind, report_text, run_load};
use camphorspring_standins::server::{HttpRequest, HttpResponse, StandinServer, immediate};
use camphorspring_standins::{EngineOptions, EngineStandin, PlainOptions, PlainStandin};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Host that responds to every tenth completion with the text for another seed, and refuses the first and then every
/// seventh page request (any method but POST). It records the prompts of all completions.
struct FaultyHost {
    server: StandinServer,
    prompts: Arc<Mutex<Vec<String>>>,
}

fn start_faulty_host() -> FaultyHost {
    let prompts: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded = Arc::clone(&prompts);
    let pages = AtomicU64::new(0);
    let handler = immediate(move |request| match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/completions") => complete(request, &recorded),
        ("POST", _) => HttpResponse::json(201, &json!({})),
        _ if pages.fetch_add(1, Ordering::AcqRel).is_multiple_of(7) => HttpResponse::error(503, "refused"),
        _ => HttpResponse::json(200, &json!({})),
    });
    FaultyHost { server: StandinServer::start("127.0.0.1:0", handler).expect("a port"), prompts }
}

/// Records the prompt of a completion request and returns the text, as an event stream when the request asks for one.
fn complete(request: &HttpRequest, prompts: &Mutex<Vec<String>>) -> HttpResponse {
    let body: Value = serde_json::from_slice(&request.body).expect("JSON");
    let (prompt, seed) = (body["prompt"].as_str().expect("a prompt"), body["seed"].as_u64().expect("a seed"));
    let mut prompts = prompts.lock().expect("intact");
    prompts.push(prompt.to_owned());
    let seed = if prompts.len().is_multiple_of(10) { seed.wrapping_add(1) } else { seed };
    let event = |text: String| {
        json!({ "id": "i", "object": "o", "model": "m", "choices": [{ "index": 0, "text": text }] }).to_string()
    };
    if body["stream"] == true {
        let pieces =
            (0..4).map(|index| format!("data: {}\n\n", event(completion_text(prompt, seed, index, index + 1))));
        let text = pieces.collect::<String>() + "data: [DONE]\n\n";
        return HttpResponse::bytes(200, "text/event-stream", text.into());
    }
    HttpResponse::bytes(200, "application/json", event(completion_text(prompt, seed, 0, 4)).into())
}

/// Runs the load tool for a second against `host`, with an engine and a plain service to measure directly.
fn run_against(host: &FaultyHost, seed: u64) -> LoadReport {
    let engine = EngineStandin::start(EngineOptions::default()).expect("a port");
    let plain = PlainStandin::start(PlainOptions::default()).expect("a port");
    let options = LoadOptions {
        hosts: vec![host.server.url()],
        key: "cs_key".to_owned(),
        direct_engine: Some(engine.url()),
        direct_plain: Some(plain.url()),
        rate: 300.0,
        duration: Duration::from_secs(1),
        tokens: 4,
        stream_tokens: 4,
        seed,
        pids: vec![std::process::id()],
        ..LoadOptions::default()
    };
    run_load(&options).expect("a report")
}

/// Guards against a report that counts wrong or refused responses as done, as if the host had served them, or that
/// lacks the latency of direct requests to compare the host with.
#[googletest::test]
fn wrong_and_refused_answers_are_counted() {
    let report = run_against(&start_faulty_host(), 5);
    let row = |kind, direct| report.row(kind, direct).expect("a row");
    let host_completions = row(RequestKind::Completion, false).sent + row(RequestKind::Stream, false).sent;
    let wrong = row(RequestKind::Completion, false).wrong + row(RequestKind::Stream, false).wrong;
    expect_that!(wrong, eq(host_completions / 10));
    let pages = row(RequestKind::Page, false);
    expect_that!(pages.refused, eq(pages.sent.div_ceil(7)));
    expect_that!(pages.done + pages.refused, eq(pages.sent));
    for kind in [RequestKind::Completion, RequestKind::Stream, RequestKind::Booking, RequestKind::Page] {
        expect_that!(row(kind, true).done, eq(row(kind, true).sent), "{kind:?}");
    }
    expect_that!(pages.refusals.iter().map(|refusal| refusal.code).collect::<Vec<_>>(), eq(&vec![503]));
    // The engine needs one millisecond for each of the four tokens.
    expect_that!(row(RequestKind::Completion, true).p50_us, ge(4000));
    expect_that!(row(RequestKind::Completion, true).p99_us, ge(row(RequestKind::Completion, true).p50_us));
    // One entry for each kind of request: the latency that the host adds to a direct request.
    expect_that!(report.added.len(), eq(4));
    expect_that!(report.processes[0].peak_resident_kib, gt(0));
    expect_that!(report_text(&report).lines().count(), eq(2 + 8 + 1 + 4 + 1));
}

/// Guards against two runs with the same seed that send different requests, so that their figures are not comparable.
#[googletest::test]
fn seed_decides_the_requests() {
    let (first, second) = (start_faulty_host(), start_faulty_host());
    run_against(&first, 5);
    run_against(&second, 5);
    let sorted_prompts = |host: &FaultyHost| {
        let mut prompts = host.prompts.lock().expect("intact").clone();
        prompts.sort();
        prompts
    };
    expect_that!(sorted_prompts(&first).len(), gt(100));
    expect_that!(sorted_prompts(&first), eq(&sorted_prompts(&second)));
}
