//! HTTP interface for callers, over engines and a plain service (`desk`) that fail as scripted.

use camphorspring::clock::boot_time;
use camphorspring::result_code::ResultCode;
use googletest::prelude::*;

use crate::traffic_bench::{
    GatewayBench, NORTH_KEY, PlacedTarget, ScriptedTarget, TargetFault, send_request, wait_until, whole_text,
};

/// Platform URL at which nothing listens; these tests need no platform.
const NO_PLATFORM: &str = "http://127.0.0.1:1";

fn build_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

/// Guards against a completion that loses or repeats tokens, or names wrong weight versions, when the first engine
/// dies, refuses, or sends pieces that are missing, repeated, without a weight version or of another request.
#[googletest::test]
fn completions_survive_engine_faults() {
    let runtime = build_runtime();
    let (first, second) = (ScriptedTarget::engine(&runtime, 4), ScriptedTarget::engine(&runtime, 5));
    let bench = GatewayBench::start(
        &[
            PlacedTarget { service: "scoring", id: "e1", address: &first.address },
            PlacedTarget { service: "scoring", id: "e2", address: &second.address },
        ],
        NO_PLATFORM,
    );
    let faults = [
        TargetFault::None,
        TargetFault::DieAfter(0),
        TargetFault::DieAfter(3),
        TargetFault::DieAfter(6),
        TargetFault::Status(500),
        TargetFault::Unstamped(2),
        TargetFault::Repeat,
        TargetFault::Crossed(2),
        TargetFault::Gap(2),
    ];
    let mut table = Vec::new();
    for (seed, fault) in faults.into_iter().enumerate() {
        first.script([fault.clone()]);
        let body = format!(r#"{{"model":"pile","prompt":"p","max_tokens":6,"seed":{seed}}}"#);
        let (status, body) = bench.complete(&body);
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap();
        expect_that!(answer["choices"][0]["text"].as_str(), some(eq(whole_text(6).as_str())), "{fault:?}: {body}");
        table.push(format!("{fault:?}: {status} {}", answer["weight_versions"]));
    }
    insta::assert_snapshot!(table.join("\n"));
    let usage = bench.usage.lock().unwrap();
    expect_that!(usage.iter().map(|event| (event.requests, event.tokens)).collect::<Vec<_>>(), each(eq(&(1, 6))));
    let returned_permits = bench.reports.lock().unwrap().len();
    expect_that!(returned_permits, eq(first.runs() + second.runs()));
}

/// Guards against a permit refusal that reaches the caller with another code, says that the request may have run, or
/// counts as a good request.
#[googletest::test]
fn queue_refusals_reach_the_caller() {
    let bench = GatewayBench::start(&[], NO_PLATFORM);
    for code in [ResultCode::QueueFull, ResultCode::QueueTimeout, ResultCode::NoTarget] {
        *bench.permit_refusal.lock().unwrap() = Some(code);
        let (status, body) = bench.complete(r#"{"model":"pile","prompt":"p"}"#);
        expect_that!(status, eq(code.entry().status));
        expect_that!(body, contains_substring(format!("\"code\":{}", code.number())));
        expect_that!(body, contains_substring("\"ran\":\"no\""));
    }
    let counts = bench.objectives.answer(boot_time()).entries;
    expect_that!(counts.len(), eq(1));
    // The second window is the one of 60 minutes.
    expect_that!((counts[0].windows[1].good, counts[0].windows[1].bad), eq((0, 3)));
}

/// Guards against a stream that breaks off after an engine failure without an `error` event, or ends with `[DONE]`
/// although tokens are missing.
#[googletest::test]
fn streams_end_with_mark_or_error() {
    let runtime = build_runtime();
    let engine = ScriptedTarget::engine(&runtime, 4);
    let bench =
        GatewayBench::start(&[PlacedTarget { service: "scoring", id: "e1", address: &engine.address }], NO_PLATFORM);
    let body = r#"{"model":"pile","prompt":"p","max_tokens":3,"stream":true}"#;
    let (status, whole) = bench.complete(body);
    expect_that!(status, eq(200));
    expect_that!(whole, ends_with("data: [DONE]\n\n"));
    expect_that!(whole, contains_substring(r#""weight_versions":[{"first_token":0,"last_token":2,"version":4}]"#));
    engine.script(std::iter::repeat_n(TargetFault::DieAfter(1), 1));
    engine.script(std::iter::repeat_n(TargetFault::DieAfter(0), 20));
    let (status, broken) = bench.complete(body);
    expect_that!(status, eq(200));
    expect_that!(broken, contains_substring("event: error"));
    expect_that!(broken, contains_substring("\"code\":1601"));
    expect_that!(broken, not(contains_substring("[DONE]")));
}

/// Guards against a key, cookie or connection header that is forwarded to a target, and against a path and query that
/// are re-encoded before they are forwarded.
#[googletest::test]
fn plain_routes_forward_without_credentials() {
    let runtime = build_runtime();
    let desk = ScriptedTarget::plain(&runtime, "desk");
    let bench = GatewayBench::start(&[PlacedTarget { service: "desk", id: "d1", address: &desk.address }], NO_PLATFORM);
    let authorization = format!("Bearer {NORTH_KEY}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("cookie", "session=1"),
        ("x-copy", NORTH_KEY),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-kept", "kept"),
    ];
    let (status, body) = bench.send("POST", "/desk/a%20b?x=%2F&y", &headers, b"content");
    expect_that!(status, eq(200));
    expect_that!(body.as_str(), eq("desk POST /desk/a%20b?x=%2F&y content"));
    let requests = desk.requests.lock().unwrap();
    expect_that!(requests.len(), eq(1));
    expect_that!(requests[0].header("x-kept"), some(eq("kept")));
    let debug_text = format!("{:?}", requests[0]);
    expect_that!(debug_text, not(contains_substring("secret-of-north")));
    expect_that!(debug_text, not(contains_substring("session=1")));
    expect_that!(requests[0].header("x-hop"), none());
}

/// Guards against an HTTP client library that refuses or changes a method or body while the request is forwarded.
#[googletest::test]
fn methods_and_bodies_are_kept() {
    let runtime = build_runtime();
    let desk = ScriptedTarget::plain(&runtime, "desk");
    let bench = GatewayBench::start(&[PlacedTarget { service: "desk", id: "d1", address: &desk.address }], NO_PLATFORM);
    for method in ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"] {
        for body in ["", "content"] {
            let (status, answer) = bench.send(method, "/track/7", &[], body.as_bytes());
            if !body.is_empty() && matches!(method, "GET" | "HEAD") {
                expect_that!(status, eq(400), "{method} {body}");
            } else {
                let expected = if method == "HEAD" { String::new() } else { format!("desk {method} /track/7? {body}") };
                expect_that!((status, answer), eq(&(200, expected)), "{method} {body}");
            }
        }
    }
}

/// Guards against malformed or hostile input that causes a panic, reaches a target, or gets a response without a result
/// code.
#[googletest::test]
fn malformed_requests_get_a_code() {
    let runtime = build_runtime();
    let desk = ScriptedTarget::plain(&runtime, "desk");
    let bench = GatewayBench::start(&[PlacedTarget { service: "desk", id: "d1", address: &desk.address }], NO_PLATFORM);
    let authorization = format!("Bearer {NORTH_KEY}");
    let keyed: &[(&str, &str)] = &[("authorization", &authorization)];
    let unkeyed: &[(&str, &str)] = &[];
    let deadline: &[(&str, &str)] = &[("authorization", &authorization), ("x-request-deadline-ms", "soon")];
    let rows = [
        ("POST", "/v1/completions", unkeyed, "{}"),
        ("POST", "/v1/completions", &[("authorization", "Bearer cs_north1_wrong")], "{}"),
        ("POST", "/v1/completions", &[("authorization", "Basic x")], "{}"),
        ("POST", "/v1/completions", keyed, "{"),
        ("POST", "/v1/completions", keyed, r#"{"model":"pile","prompt":"p","n":2}"#),
        ("POST", "/v1/completions", keyed, r#"{"model":"pile","prompt":"p","max_tokens":0}"#),
        ("POST", "/v1/completions", keyed, r#"{"model":"pile","prompt":"p","max_tokens":-1}"#),
        ("POST", "/v1/completions", keyed, r#"{"model":"other","prompt":"p"}"#),
        ("POST", "/v1/completions", keyed, r#"{"model":"pile","prompt":"cs_north1_secret-of-north"}"#),
        ("POST", "/v1/completions", keyed, r#"{"model":"pile","prompt":"p"}"#),
        ("POST", "/v1/completions", keyed, r#"{"model":"draft","prompt":"p"}"#),
        ("POST", "/v1/completions", deadline, r#"{"model":"pile","prompt":"p"}"#),
        ("GET", "/v1/completions", keyed, ""),
        ("POST", "/v1/none", keyed, "{}"),
        ("POST", "/v1/steps", keyed, r#"{"trainer":"../x","step":1,"service":"scoring","groups":[]}"#),
        ("GET", "/v1/steps/t/x/batches", keyed, ""),
        ("GET", "/v1/steps/t/1/batches?cursor=%zz", keyed, ""),
        ("GET", "/v1/steps/t/1/batches?cursor=%41&wait_ms=1", keyed, ""),
        ("POST", "/v1/weights/none", keyed, r#"{"version":1}"#),
        ("GET", "/other", keyed, ""),
        ("GET", "/desk/../desk/bookings", keyed, ""),
        ("POST", "/desk/%2e%2e/bookings", keyed, "x"),
        ("POST", "/desk/x%2fbookings", keyed, "x"),
        ("POST", "/desk//bookings", keyed, "x"),
        ("POST", "/desk/%zz", keyed, "x"),
        ("POST", "/desk/%ff", keyed, "x"),
        ("POST", "/desk/a;b", keyed, "x"),
        ("POST", "/desk/%62ookings", keyed, "x"),
        ("POST", "/desk/x?k=cs_north1_secret%2Dof-north", keyed, "x"),
        ("TRACE", "/desk/x", keyed, ""),
        ("GET", "/desk", unkeyed, ""),
    ];
    let mut table = Vec::new();
    for (method, path, headers, body) in rows {
        let (status, answer) = bench.send(method, path, headers, body.as_bytes());
        let code = serde_json::from_str::<serde_json::Value>(&answer).map(|value| value["code"].clone());
        table.push(format!("{method} {path} {body} -> {status} {}", code.map_or(answer, |code| code.to_string())));
    }
    insta::assert_snapshot!(table.join("\n"));
    expect_that!(desk.runs(), eq(0));
}

/// Guards against a run that continues or is retried after the key of its only caller is withdrawn in mid-stream.
#[googletest::test]
fn withdrawn_key_ends_stream() {
    let runtime = build_runtime();
    let engine = ScriptedTarget::engine(&runtime, 4);
    let bench =
        GatewayBench::start(&[PlacedTarget { service: "scoring", id: "e1", address: &engine.address }], NO_PLATFORM);
    engine.script([TargetFault::Slow(std::time::Duration::from_millis(20))]);
    let address = bench.address.clone();
    let caller = std::thread::spawn(move || {
        let authorization = format!("Bearer {NORTH_KEY}");
        let body = r#"{"model":"pile","prompt":"p","max_tokens":5000,"stream":true}"#;
        send_request(&address, "POST", "/v1/completions", &[("authorization", &authorization)], body.as_bytes())
    });
    wait_until("the stream starts", || {
        bench.registry.gather().iter().any(|family| {
            family.name() == "camphorspring_streams_open" && family.get_metric()[0].get_gauge().get_value() > 0.0
        })
    });
    bench.change_view(|view| view.withdrawn = std::sync::Arc::new(vec!["north1".to_owned()]));
    let (status, body) = caller.join().unwrap();
    expect_that!(status, eq(200));
    expect_that!(body, contains_substring("\"code\":1603"));
    expect_that!(body, not(contains_substring("[DONE]")));
    wait_until("the permit is back", || bench.reports.lock().unwrap().len() == 1);
    expect_that!(engine.runs(), eq(1));
}

/// Guards against a repeatable request (a page) that fails because one of two targets does, a retry that the retry
/// budget does not allow, and a retry after status 500, which comes from the service itself.
#[googletest::test]
fn pages_survive_target_faults_within_the_budget() {
    let runtime = build_runtime();
    let (first, second) = (ScriptedTarget::plain(&runtime, "desk"), ScriptedTarget::plain(&runtime, "desk"));
    let closed_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let placed = |id, address| PlacedTarget { service: "desk", id, address };
    let bench = GatewayBench::start(&[placed("d1", &first.address), placed("d2", &second.address)], NO_PLATFORM);
    let one_closed = GatewayBench::start(&[placed("d1", &closed_address), placed("d2", &second.address)], NO_PLATFORM);
    let all_closed = GatewayBench::start(&[placed("d1", &closed_address)], NO_PLATFORM);
    let spent_budget = GatewayBench::start_with(
        &[placed("d1", &first.address), placed("d2", &second.address)],
        NO_PLATFORM,
        &|policy| policy.try_retry = std::sync::Arc::new(|_| false),
    );
    let rows = [
        ("well", &bench, TargetFault::None),
        ("dies", &bench, TargetFault::DieAfter(0)),
        ("overloaded", &bench, TargetFault::Status(503)),
        ("own error", &bench, TargetFault::Status(500)),
        ("refuses connections", &one_closed, TargetFault::None),
        ("all refuse connections", &all_closed, TargetFault::None),
        ("dies, budget spent", &spent_budget, TargetFault::DieAfter(0)),
        ("overloaded, budget spent", &spent_budget, TargetFault::Status(503)),
    ];
    let mut table = Vec::new();
    for (position, (name, bench, fault)) in rows.into_iter().enumerate() {
        let runs_before = first.runs() + second.runs();
        first.faults.lock().unwrap().clear();
        first.script([fault]);
        let (status, body) = bench.send("GET", &format!("/track/{position}"), &[], b"");
        let code = serde_json::from_str::<serde_json::Value>(&body).map(|error| error["code"].to_string());
        let runs = first.runs() + second.runs() - runs_before;
        table.push(format!("{name}: {status} {} runs={runs}", code.unwrap_or(body)));
    }
    insta::assert_snapshot!(table.join("\n"));
}
