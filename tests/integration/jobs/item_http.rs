//! Runs of items against an engine that sends a fixed response over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use camphorspring::duties::usage_counter::UsageCounter;
use camphorspring::entry::fleet_follower::FleetPublisher;
use camphorspring::entry::host_context::{HostContext, RunningRequest};
use camphorspring::entry::host_metrics::HostMetrics;
use camphorspring::entry::planned_stop::PlannedStop;
use camphorspring::entry::settings::parse_installation_settings;
use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::target_limit::LimitNotice;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::jobs::item_run::{ItemProgress, ItemRun};
use camphorspring::jobs::item_scheduler::RunOutcome;
use camphorspring::jobs::job_cache::JobCache;
use camphorspring::relay::caller_codec::{CallerAction, CallerCodec, CallerHead};
use camphorspring::relay::connection_pool::{ConnectionPool, SendBody};
use camphorspring::relay::event_reader::StreamEvent;
use camphorspring::relay::stream_origins::StreamOrigins;
use camphorspring::relay::target_codec::{TargetCodec, TargetHead};
use camphorspring::result_code::ResultCode;
use googletest::prelude::*;
use hyper::Request;
use tokio::sync::watch;

use super::results::{header, item, memory_store};
use crate::fleet::builders::{at, engine};

/// Time after which a run counts as one that never ends.
const RUN_TIMEOUT: Duration = Duration::from_secs(20);

const SETTINGS: &str = "host: h1\nfailure_domain: north\ncaller_address: \"127.0.0.1:1\"\n\
                        readiness_address: \"127.0.0.1:2\"\nstore_address: \"127.0.0.1:3\"\n";

const TARGET_CODEC: TargetCodec = TargetCodec {
    encode: |request, options| {
        let after = options.resume_after.map_or_else(|| "none".to_owned(), |event| event.to_string());
        Request::post(&request.path).header("host", "e").header("after", after).body(SendBody::default())
    },
    probe: || Request::get("/report").body(SendBody::default()),
    report: |target| Request::get("/report").header("expect", target).body(SendBody::default()),
    decode_report: |body| std::str::from_utf8(body).ok()?.parse().ok(),
    decode: |head| {
        let value = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        TargetHead {
            request_id: value("id"),
            stamp: value("stamp"),
            is_not_run: value("not-run").is_some(),
            is_misdirected: head.status == 421,
            version: value("version").and_then(|version| version.parse().ok()),
            idle_limit: None,
            is_leaving: value("leaving").is_some(),
            rate_limit: value("rate-limit").and_then(|rate| rate.parse().ok()),
        }
    },
    version_line: |line| line.strip_prefix("version: ").and_then(|version| version.parse().ok()),
};

const CALLER_CODEC: CallerCodec = CallerCodec {
    decode: |_| CallerHead {
        request_id: String::new(),
        host: String::new(),
        path: String::new(),
        path_and_query: String::new(),
        deadline: None,
        key: None,
        wait: None,
        resumes: None,
        has_last_event: false,
        action: CallerAction::Forward,
    },
    strip: Clone::clone,
    decode_job: |_, _| Err(ResultCode::BadRequest),
    encode_page: |_| Bytes::new(),
    decode_item_body: |_| Some(Bytes::new()),
};

/// State of a host that knows no targets and has an empty store.
pub fn context() -> Arc<HostContext> {
    let (_, view) = FleetPublisher::new();
    context_with_view(view)
}

/// State of a host with this view and an empty store.
pub fn context_with_view(view: watch::Receiver<Arc<FleetView>>) -> Arc<HostContext> {
    Arc::new(HostContext {
        settings: parse_installation_settings(SETTINGS).expect("the settings are valid"),
        incarnation: 1,
        view,
        store: Arc::new(memory_store()),
        memory: camphorspring::memory::MemoryBudget::new(1 << 24, 64),
        pool: ConnectionPool::new(),
        loads: Mutex::new(LoadTable::new()),
        board: JobCache::new(),
        usage: UsageCounter::new(at(5000)),
        leaving_targets: tokio::sync::watch::Sender::new(Vec::new()),
        links: camphorspring::relay::target_relay::LinkTable::default(),
        crashes: camphorspring::relay::crash_reports::CrashReports::default(),
        restarts: Mutex::default(),
        stream_origins: StreamOrigins::default(),
        metrics: HostMetrics::new().expect("the names are valid"),
        target_codec: TARGET_CODEC,
        caller_codec: CALLER_CODEC,
        busy_connections: AtomicUsize::new(0),
        stop: PlannedStop::default(),
    })
}

/// Starts an engine that reads one request, sends `response` and closes the connection; returns its address.
pub fn serve_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the run connects");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count == 1) {
            head.push(byte[0]);
        }
        // The run may have closed the connection before the whole response is written.
        let _ = stream.write_all(response.as_bytes());
    });
    address
}

/// Starts an engine that reads one request, sends `head` and then `piece` again and again with a pause before each, until
/// the connection is closed; returns its address.
pub fn serve_pieces(head: &'static str, piece: fn(usize) -> String, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the run connects");
        let mut request = [0; 4096];
        let mut is_open = stream.read(&mut request).is_ok() && stream.write_all(head.as_bytes()).is_ok();
        for number in 1.. {
            if !is_open {
                return;
            }
            std::thread::sleep(pause);
            is_open = stream.write_all(piece(number).as_bytes()).is_ok();
        }
    });
    address
}

/// Runs an item that already has `known_events` events against a response; returns the outcome of the run, then the
/// number of events, the last event id and the weight versions of the output.
fn run_against(response: &str, known_events: u64) -> (RunOutcome, usize, Option<u64>, Vec<u64>) {
    run_at(serve_once(response.to_owned()), known_events, STREAM_PAUSE)
}

/// Longest pause between two events that runs of these tests allow.
const STREAM_PAUSE: Duration = Duration::from_secs(1);

/// Like [`run_against`], with the engine at `address`.
pub fn run_at(
    address: SocketAddr,
    known_events: u64,
    pause_limit: Duration,
) -> (RunOutcome, usize, Option<u64>, Vec<u64>) {
    run_in(&context(), address, known_events, pause_limit)
}

fn run_in(
    context: &Arc<HostContext>,
    address: SocketAddr,
    known_events: u64,
    pause_limit: Duration,
) -> (RunOutcome, usize, Option<u64>, Vec<u64>) {
    let mut progress = ItemProgress::default();
    for id in 1..=known_events {
        assert!(progress.append_event(StreamEvent { id: Some(id), data: "x".to_owned(), version: None }, Some(2)));
    }
    let progress = Arc::new(Mutex::new(progress));
    let mut target = engine("e1", 2);
    target.address = address;
    context.with_loads(|loads| loads.start("e1", true, false, at(0)));
    let mut header = header(1);
    header.least_version = 2;
    let run = ItemRun {
        running_request: RunningRequest::counted(context, "e1", true),
        context: Arc::clone(context),
        header: Arc::new(header),
        item: item(0),
        target,
        time_left: at(5000),
        is_single_version: false,
        pause_limit,
        progress: Arc::clone(&progress),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let outcome =
        runtime.block_on(async { tokio::time::timeout(RUN_TIMEOUT, run.run()).await }).expect("the run ends by itself");
    assert_eq!(context.with_loads(|loads| loads.entry("e1").running), 0, "the load table still counts the run");
    let progress = progress.lock().expect("no run panicked");
    (outcome, progress.data.len(), progress.last_event, progress.versions())
}

fn stream(head: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: i0\r\nstamp: s\r\n{head}content-length: {}\r\n\r\n{body}", body.len())
}

const TWO_EVENTS: &str = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\n";

/// Guards against an item that is resumed for ever. When a run broke off or migrated after the last event, the resumed
/// run has nothing left to generate and the head of its response names no version, which was taken for a wrong one.
#[gtest]
fn resumed_run_without_events_left_is_complete() {
    expect_that!(run_against(&stream("", ""), 14), eq(&(RunOutcome::Complete, 14, Some(14), vec![2])));
}

/// Guards against a result whose text is empty or is not the output: a success without the signature of the engine, one that
/// is encoded, and one without any event.
#[gtest]
fn only_signed_responses_have_the_output() {
    let broken = || (RunOutcome::Broken, 0, None, vec![]);
    let spoiled = "HTTP/1.1 200 OK\r\nid: i0\r\n\r\n";
    expect_that!(run_against(spoiled, 0), eq(&broken()));
    let unsigned = stream("version: 2\r\n", TWO_EVENTS).replace("stamp: s\r\n", "");
    expect_that!(run_against(&unsigned, 0), eq(&broken()));
    expect_that!(run_against(&stream("version: 2\r\ncontent-encoding: gzip\r\n", TWO_EVENTS), 0), eq(&broken()));
    let cut = "HTTP/1.1 200 OK\r\nid: i0\r\nstamp: s\r\nversion: 2\r\n\r\n";
    expect_that!(run_against(cut, 0), eq(&broken()));
    expect_that!(run_against(&stream("", ""), 0), eq(&broken()));
    expect_that!(run_against(&stream("version: 2\r\n", ""), 0), eq(&broken()));
}

/// Guards against the end of the rate limit of an engine in need, because of a response that is not the engine's: one without a
/// signature, or one to another request.
#[gtest]
fn invalid_response_does_not_end_a_limit() {
    let limit_after = |response: &str| {
        let context = context();
        let notice = LimitNotice { target: "e1".to_owned(), rate: Some(4000), at_ms: 0 };
        context.with_loads(|loads| loads.limits.merge(notice));
        run_in(&context, serve_once(response.to_owned()), 0, STREAM_PAUSE);
        context.with_loads(|loads| loads.limits.rate("e1"))
    };
    let sound = stream("version: 2\r\n", TWO_EVENTS);
    expect_that!(limit_after(&sound.replace("stamp: s\r\n", "")), some(eq(4000)));
    expect_that!(limit_after(&sound.replace("id: i0", "id: i1")), some(eq(4000)));
    expect_that!(limit_after(&sound), none());
}

/// Guards against an item that counts as complete after a part of its output, because the engine that should go on with it
/// sent a response without a signature or without an end.
#[gtest]
fn unsigned_response_does_not_complete_a_resumed_run() {
    let kept = || (RunOutcome::Broken, 14, Some(14), vec![2]);
    expect_that!(run_against("HTTP/1.1 200 OK\r\nid: i0\r\n\r\n", 14), eq(&kept()));
    expect_that!(run_against(&stream("", "").replace("stamp: s\r\n", ""), 14), eq(&kept()));
    expect_that!(run_against("HTTP/1.1 200 OK\r\nid: i0\r\nstamp: s\r\n\r\n", 14), eq(&kept()));
}

/// Guards against results that name no weight version, or one that did not generate their events.
#[gtest]
fn versions_are_those_of_the_events() {
    let response = stream("version: 2\r\n", TWO_EVENTS);
    expect_that!(run_against(&response, 0), eq(&(RunOutcome::Complete, 2, Some(2), vec![2, 3])));
    expect_that!(
        run_against(&stream("version: 1\r\n", TWO_EVENTS), 0),
        eq(&(RunOutcome::Misdirected, 0, None, vec![]))
    );
    expect_that!(run_against(&stream("", TWO_EVENTS), 0).0, eq(RunOutcome::Misdirected));
}

/// Guards against an output that counts as complete although its stream broke off, within an event or between two, or
/// left out an event.
#[gtest]
fn broken_streams_keep_their_whole_events() {
    let cut = stream("version: 2\r\n", TWO_EVENTS);
    let cut = &cut[..cut.len() - 4];
    expect_that!(run_against(cut, 0), eq(&(RunOutcome::Broken, 1, Some(1), vec![2])));
    let unframed = "HTTP/1.1 200 OK\r\nid: i0\r\nstamp: s\r\nversion: 2\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata";
    expect_that!(run_against(unframed, 0), eq(&(RunOutcome::Broken, 1, Some(1), vec![2])));
    let gap = stream("version: 2\r\n", "id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
    expect_that!(run_against(&gap, 0), eq(&(RunOutcome::Broken, 1, Some(1), vec![2])));
}

/// Guards against a response to another request that is taken for the item's own, and against an error response that is
/// taken for a complete run or for another kind of error.
#[gtest]
fn error_responses_map_to_outcomes() {
    let response = |status: &str, headers: &str| format!("HTTP/1.1 {status}\r\n{headers}content-length: 0\r\n\r\n");
    let outcomes = [
        response("200 OK", "id: other\r\nversion: 2\r\n"),
        response("503 Full", "id: i0\r\nnot-run: 1\r\n"),
        response("421 Misdirected", "id: i0\r\n"),
        response("422 Never", "id: i0\r\nstamp: s\r\n"),
        // One rejection without a signature does not abandon the item.
        response("422 Never", "id: i0\r\n"),
        response("422 Never", "id: i0\r\nstamp: s\r\ncontent-encoding: gzip\r\n"),
        response("500 Failed", "id: i0\r\n"),
        // Other errors say nothing about the item.
        response("404 None", "id: i0\r\nstamp: s\r\n"),
        response("504 Late", "id: i0\r\nstamp: s\r\n"),
        // Only a response that says so is a refusal.
        response("503 Full", "id: i0\r\n"),
        "garbage\r\n\r\n".to_owned(),
    ]
    .map(|response| run_against(&response, 0).0);
    let expected = [
        RunOutcome::Broken,
        RunOutcome::Refused,
        RunOutcome::Misdirected,
        RunOutcome::Impossible,
        RunOutcome::Failed,
        RunOutcome::Broken,
        RunOutcome::Failed,
        RunOutcome::Rejected,
        RunOutcome::Rejected,
        RunOutcome::Broken,
        RunOutcome::Broken,
    ];
    expect_that!(outcomes, eq(expected));
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nid: i0\r\nstamp: s\r\nversion: 2\r\nconnection: close\r\n\r\n";

/// Guards against a run that never ends: its engine has stopped generating and sends a comment line, or a part of an
/// event, now and then.
#[gtest]
fn stalled_streams_end() {
    let pause = Duration::from_millis(100);
    let limit = Duration::from_millis(500);
    let comment = serve_pieces(STREAM_HEAD, |_| ": wait\n\n".to_owned(), pause);
    expect_that!(run_at(comment, 0, limit), eq(&(RunOutcome::Stalled, 0, None, vec![])));
    let part = serve_pieces(STREAM_HEAD, |number| if number == 1 { "id: 1\ndata: " } else { "x" }.to_owned(), pause);
    expect_that!(run_at(part, 0, limit), eq(&(RunOutcome::Stalled, 0, None, vec![])));
    let head = serve_pieces("HTTP/1.1 200 OK\r\nx: ", |_| "y".to_owned(), pause);
    expect_that!(run_at(head, 0, limit).0, eq(RunOutcome::Stalled));
    let error = serve_pieces("HTTP/1.1 500 Failed\r\nid: i0\r\n\r\n", |_| "z".to_owned(), pause);
    expect_that!(run_at(error, 0, limit).0, eq(RunOutcome::Failed));
}

/// Guards against a slow but sound stream that is cut: it makes progress within the allowed pause, and lasts much longer.
#[gtest]
fn slow_streams_are_complete() {
    let slow = serve_pieces(
        "HTTP/1.1 200 OK\r\nid: i0\r\nstamp: s\r\nversion: 2\r\ntransfer-encoding: chunked\r\n\r\n",
        |number| {
            let event = format!("id: {number}\ndata: x\n\n");
            if number <= 12 { format!("{:x}\r\n{event}\r\n", event.len()) } else { "0\r\n\r\n".to_owned() }
        },
        Duration::from_millis(200),
    );
    expect_that!(run_at(slow, 0, STREAM_PAUSE), eq(&(RunOutcome::Complete, 12, Some(12), vec![2])));
}

/// Guards against an engine that sends events, headers or bytes without end and so fills the memory of the host.
#[gtest]
fn endless_streams_are_cut() {
    let event = |number| format!("id: {number}\ndata: {}\n\n", "x".repeat(40_000));
    let events = serve_pieces(STREAM_HEAD, event, Duration::ZERO);
    // The output is dropped, since no run can complete it.
    expect_that!(run_at(events, 0, STREAM_PAUSE), eq(&(RunOutcome::Broken, 0, None, vec![])));
    let bytes = serve_pieces(STREAM_HEAD, |_| "x".repeat(10_000), Duration::ZERO);
    expect_that!(run_at(bytes, 0, STREAM_PAUSE).0, eq(RunOutcome::Broken));
    let headers = serve_pieces("HTTP/1.1 200 OK\r\n", |number| format!("x{number}: y\r\n"), Duration::ZERO);
    expect_that!(run_at(headers, 0, STREAM_PAUSE).0, eq(RunOutcome::Broken));
}

/// Guards against an abandoned request that reaches its engine seconds later. While a link is cut, the kernel keeps the
/// bytes of a closed connection and sends them once the link is back; those of a reset connection are dropped.
#[gtest]
fn abandoned_runs_reset_their_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let engine = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the run connects");
        loop {
            match stream.read(&mut [0; 4096]) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    expect_that!(run_at(address, 0, Duration::from_millis(100)).0, eq(RunOutcome::Stalled));
    expect_that!(engine.join().expect("the engine ends"), some(eq(std::io::ErrorKind::ConnectionReset)));
}
