//! Responses of targets on connections that are in use again.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use camphorspring::clock::boot_time;
use camphorspring::entry::host_context::HostContext;
use camphorspring::fleet::fleet_view::TargetEntry;
use camphorspring::fleet::service_map::{RouteKind, RouteRule, WeightedService};
use camphorspring::relay::plain_relay::{RelayRequest, StreamStart, relay_request};
use camphorspring::relay::reply::ResponseBody;
use camphorspring::relay::target_codec::TargetRequest;
use camphorspring::row_store::StoredRow;
use camphorspring::row_store::table_watch::WatchEvent;
use camphorspring::traffic::crash_quarantine::fingerprint_of;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use hyper::{Method, Response};
use tokio::sync::watch;

use crate::fleet::builders::{at, engine, plain_route, view};
use crate::jobs::item_http::{context_with_view, serve_once, serve_pieces};

/// Starts a target that answers the first request on its connection, and answers the second one with `extra` and its own
/// response in one packet; returns its address and the number of requests that it got.
fn serve_with_extra_response(extra: &'static str) -> (SocketAddr, Arc<Mutex<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let requests = Arc::new(Mutex::new(0));
    let counter = Arc::clone(&requests);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut writer = stream.try_clone().expect("the socket is open");
            let heads = BufReader::new(stream).lines().map_while(std::result::Result::ok);
            for _ in heads.filter(String::is_empty) {
                let number = {
                    let mut count = counter.lock().expect("no thread panicked");
                    *count += 1;
                    *count
                };
                let own = format!("HTTP/1.1 200 OK\r\nid: r{number}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nr{number}");
                let response = if number == 2 { format!("{extra}{own}") } else { own };
                // The client may have closed the connection.
                let _ = writer.write_all(response.as_bytes());
            }
        }
    });
    (address, requests)
}

/// State of a host that knows one target.
pub fn context_with_target(address: SocketAddr) -> Arc<HostContext> {
    context_with_targets(&[address])
}

/// State of a host that knows targets `p1` and so on at these addresses.
fn context_with_targets(addresses: &[SocketAddr]) -> Arc<HostContext> {
    let target = |(number, address): (usize, &SocketAddr)| TargetEntry {
        address: *address,
        ..engine(&format!("p{}", number + 1), 1)
    };
    let targets = addresses.iter().enumerate().map(target).collect();
    let (_, view) = watch::channel(Arc::new(view(targets, &["h1"], boot_time())));
    context_with_view(view)
}

/// Route to the targets of the tests, with a time-out of 2 s and one attempt.
pub fn route(kind: RouteKind) -> RouteRule {
    let services = vec![WeightedService { service: "models".to_owned(), weight: 1 }];
    RouteRule { kind, services, attempts: 1, timeout: Some(at(2000)), ..plain_route() }
}

/// Sends request `r<number>` through the relay; returns the response that the caller gets.
pub async fn send(context: &Arc<HostContext>, route: &RouteRule, number: u32) -> Response<ResponseBody> {
    send_with(context, route, number, StreamStart::NotResumable).await
}

/// Like [`send`], for a request whose response is a stream that begins.
pub async fn send_stream(context: &Arc<HostContext>, route: &RouteRule, number: u32) -> Response<ResponseBody> {
    send_with(context, route, number, StreamStart::Begin).await
}

async fn send_with(
    context: &Arc<HostContext>,
    route: &RouteRule,
    number: u32,
    stream: StreamStart,
) -> Response<ResponseBody> {
    let request = TargetRequest {
        method: Method::POST,
        path: "/plain/x".to_owned(),
        host: "c".to_owned(),
        headers: HeaderMap::new(),
        request_id: format!("r{number}"),
        organisation: None,
        body: Bytes::new().into(),
    };
    let relay = RelayRequest {
        request,
        route,
        stream,
        view: context.view(),
        arrived_at: boot_time(),
        patience: None,
        fingerprint: std::sync::OnceLock::new(),
    };
    relay_request(context, relay).await
}

/// Runs a future to its end.
pub fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(future)
}

/// Sends two requests of a route to one target, the second on the connection of the first; returns the status of the
/// second one, and the number of requests that reached the target.
fn second_status(kind: RouteKind, extra: &'static str) -> (u16, u32) {
    let (address, requests) = serve_with_extra_response(extra);
    let context = context_with_target(address);
    let route = route(kind);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let status = runtime.block_on(async {
        // Reading the response to its end gives its connection back.
        assert_eq!(send(&context, &route, 1).await.status(), 200);
        send(&context, &route, 2).await.status().as_u16()
    });
    let requests = *requests.lock().expect("no thread panicked");
    (status, requests)
}

/// Guards against a request that may run once and is reported as not run, or sent again, because a second response to
/// the request before it, a refusal, arrived on the same connection.
#[gtest]
fn refusal_of_another_request_is_no_refusal() {
    let extra = "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    expect_that!(second_status(RouteKind::AtMostOnce, extra), eq((502, 2)));
    let misdirected = "HTTP/1.1 421 Misdirected\r\nid: r1\r\ncontent-length: 0\r\n\r\n";
    expect_that!(second_status(RouteKind::AtMostOnce, misdirected), eq((502, 2)));
}

/// Guards against a caller that gets the response to another request: a second copy of an earlier one, and one that names
/// no request on a connection that was in use before.
#[gtest]
fn response_to_another_request_is_not_forwarded() {
    let copy = "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: s\r\ncontent-length: 2\r\n\r\nr1";
    expect_that!(second_status(RouteKind::Repeatable, copy), eq((502, 2)));
    let unnamed = "HTTP/1.1 200 OK\r\nstamp: s\r\ncontent-length: 2\r\n\r\nr1";
    expect_that!(second_status(RouteKind::Repeatable, unnamed), eq((502, 2)));
    let failure = "HTTP/1.1 500 Failed\r\nstamp: s\r\ncontent-length: 2\r\n\r\nno";
    expect_that!(second_status(RouteKind::Repeatable, failure), eq((502, 2)));
}

/// Guards against a caller that takes a response for the promise that its request has not run, although its target has not said
/// so, and against errors that are passed on with another status.
#[gtest]
fn error_is_no_promise_without_a_refusal() {
    let status_after = |kind: RouteKind, head: &str| {
        let response = format!("HTTP/1.1 {head}\r\nid: r1\r\ncontent-length: 0\r\n\r\n");
        let context = context_with_target(serve_once(response));
        run(send(&context, &route(kind), 1)).status().as_u16()
    };
    for kind in [RouteKind::AtMostOnce, RouteKind::Repeatable] {
        for status in ["408 Late", "429 Busy", "503 Full"] {
            expect_that!(status_after(kind, status), eq(502), "{status}");
            expect_that!(status_after(kind, &format!("{status}\r\nstamp: s")), eq(502), "{status}, signed");
            expect_that!(status_after(kind, &format!("{status}\r\nnot-run: 1")), eq(503), "{status}, not run");
        }
        // A success that was not run is neither.
        expect_that!(status_after(kind, "200 OK\r\nstamp: s\r\nnot-run: 1"), eq(502));
        expect_that!(status_after(kind, "404 None\r\nstamp: s"), eq(404));
        expect_that!(status_after(kind, "500 Failed\r\nstamp: s"), eq(500));
    }
}

/// Reads a forwarded event stream to its end; returns the number of bytes, and whether the stream is complete.
fn read_stream(address: SocketAddr) -> (usize, bool) {
    read_body_of(address, &route(RouteKind::Repeatable))
}

/// Reads the body of a forwarded response to its end; returns the number of bytes, and whether the body is complete.
fn read_body_of(address: SocketAddr, route: &RouteRule) -> (usize, bool) {
    let context = context_with_target(address);
    run(async {
        let mut body = send(&context, route, 1).await.into_body();
        let mut length = 0;
        let read = async {
            loop {
                match body.frame().await {
                    Some(Ok(frame)) => length += frame.data_ref().map_or(0, Bytes::len),
                    Some(Err(_)) => return false,
                    None => return true,
                }
            }
        };
        let is_complete = tokio::time::timeout(at(30_000), read).await.expect("the stream ends");
        (length, is_complete)
    })
}

/// Guards against a sound request that is held back as if targets crashed under it, because a few of them sent bytes that are no
/// answer: such a target lives. A connection that ends without an answer still counts.
#[gtest]
fn garbled_answers_are_no_crashes() {
    let held_after = |answer: &str| {
        let addresses = [(); 3].map(|()| serve_once(answer.to_owned()));
        let context = context_with_targets(&addresses);
        let route = RouteRule { attempts: 3, ..route(RouteKind::Repeatable) };
        let status = run(send(&context, &route, 1)).status().as_u16();
        (status, context.crashes.held_requests())
    };
    expect_that!(held_after("garbage\r\n\r\n"), eq((502, 0)));
    expect_that!(held_after("HTTP/1.1 000 Trouble\r\nid: r1\r\ncontent-length: 0\r\n\r\n"), eq((502, 0)));
    expect_that!(held_after("HTTP/1.1 200 OK\r\nid: r1\r\ncontent-length: 0\r\n\r\n"), eq((502, 0)));
    expect_that!(held_after(""), eq((502, 1)));
}

/// Row of another host that says that a target ended under a stream of request `r1` after some events.
fn crash_row(target: &str) -> StoredRow {
    let fingerprint = fingerprint_of("c", &[b"", b"POST", b"/plain/x", b""]);
    let value = format!(
        r#"{{"fingerprint":"{fingerprint}","target":"{target}","started_ms":1,"at_ms":0,"host":"h2","is_broken":true,
            "is_confirmed":true,"last_event":2}}"#
    );
    StoredRow {
        table: String::new(),
        part: String::new(),
        key: format!("crash/{fingerprint}/{target}"),
        value: Some(value.into_bytes()),
        version: 1,
    }
}

/// Guards against streams of one question that are refused because targets ended under other streams of it, while this one goes
/// on for long.
#[gtest]
fn stream_that_goes_on_releases_its_request() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n";
    let address = serve_pieces(HEAD, |number| format!("id: {number}\ndata: x\n\n"), at(50));
    let context = context_with_target(address);
    let are_held = run(async {
        let mut body = send_stream(&context, &route(RouteKind::Repeatable), 1).await.into_body();
        context.crashes.apply_event(&WatchEvent::Changed(["e1", "e2", "e3"].map(crash_row).to_vec()), 0, boot_time());
        let mut are_held = vec![context.crashes.held_requests()];
        for _ in 0..10 {
            body.frame().await.expect("the stream goes on").expect("the stream is sound");
        }
        are_held.push(context.crashes.held_requests());
        are_held
    });
    expect_that!(are_held, eq(&vec![1, 0]));
}

/// Guards against a large answer that is cut because its target is silent within the body, although the time of its route goes on,
/// and against one that is not cut at the end of that time.
#[gtest]
fn silent_body_lasts_as_long_as_its_route() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: s\r\ncontent-length: 480000\r\n\r\n";
    let route = RouteRule { timeout: Some(at(6000)), ..route(RouteKind::Repeatable) };
    let silent = |number| "x".repeat(if number == 1 { 360_000 } else { 120_000 });
    expect_that!(read_body_of(serve_pieces(HEAD, silent, at(2500)), &route), eq((480_000, true)));
    let stalled = |number| "x".repeat(if number == 1 { 360_000 } else { 0 });
    let started = std::time::Instant::now();
    expect_that!(read_body_of(serve_pieces(HEAD, stalled, at(100)), &route), eq((360_000, false)));
    expect_that!(started.elapsed(), ge(at(5900)));
}

/// Guards against a forwarded stream that never ends, because its target has stalled and sends a comment line now and
/// then, and against a slow one that is cut although it makes progress. The pause limit is 4 s.
#[gtest]
fn stalled_streams_end_and_slow_ones_do_not() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\
                        transfer-encoding: chunked\r\n\r\n";
    let stalled = |_| "3\r\n:\n\n\r\n".to_owned();
    expect_that!(read_stream(serve_pieces(HEAD, stalled, at(300))).1, eq(false));
    // The stream lasts 3.6 s.
    let slow = |number| if number <= 12 { "9\r\ndata: x\n\n\r\n".to_owned() } else { "0\r\n\r\n".to_owned() };
    expect_that!(read_stream(serve_pieces(HEAD, slow, at(300))), eq((12 * 9, true)));
}
