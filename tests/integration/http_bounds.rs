//! HTTP server against callers that are slow or silent, and against requests that are too large or malformed.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use camphorspring::http_server::{HttpResponse, HttpServer, ReplyBody, RequestHandler, ServerLimits};
use googletest::prelude::*;
use std::sync::Arc;
use tokio::runtime::Runtime;

const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn build_limits() -> ServerLimits {
    ServerLimits {
        connections: 8,
        requests: 2,
        body_bytes: 1000,
        header_timeout: SHORT_TIMEOUT,
        body_timeout: SHORT_TIMEOUT,
        write_timeout: SHORT_TIMEOUT,
    }
}

fn start_server(limits: ServerLimits, handler: RequestHandler) -> (Runtime, HttpServer) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let server = HttpServer::start(&runtime, "127.0.0.1:0", limits, handler).unwrap();
    (runtime, server)
}

fn build_echo_handler() -> RequestHandler {
    Arc::new(|request| HttpResponse::whole(200, "text/plain", request.body))
}

/// Sends bytes on a new connection; returns the status line and the result code of the response.
fn exchange_bytes(server: &HttpServer, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response).into_owned();
    let status = response.split("\r\n").next().unwrap_or_default().to_owned();
    let code = response.split("\"code\":").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or("-").to_owned();
    format!("{status} code {code}")
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + LONG_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited too long for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against malformed input that stops the server, or gets another status or result code than the snapshot has.
#[googletest::test]
fn malformed_requests_get_an_answer() {
    let (_runtime, server) = start_server(build_limits(), build_echo_handler());
    let big_header = format!("GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "a".repeat(40_000));
    let big_body = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2000\r\n\r\n{}", "a".repeat(2000));
    let cases: [(&str, &[u8]); 6] = [
        ("garbage", b"\x00\xff\x13garbage\r\n\r\n"),
        ("header too large", big_header.as_bytes()),
        ("body too large", big_body.as_bytes()),
        ("body never complete", b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\nabc"),
        ("head never complete", b"GET / HTTP/1.1\r\nhost: h"),
        ("bad chunk", b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc"),
    ];
    let lines: Vec<String> =
        cases.iter().map(|(name, bytes)| format!("{name}: {}", exchange_bytes(&server, bytes))).collect();
    insta::assert_snapshot!(lines.join("\n"));
    let after =
        exchange_bytes(&server, b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok");
    expect_that!(after, starts_with("HTTP/1.1 200"));
}

/// Guards against callers that send half a request head and so keep a connection open without end.
#[googletest::test]
fn half_heads_are_closed() {
    let (_runtime, server) = start_server(build_limits(), build_echo_handler());
    let streams: Vec<TcpStream> = (0..8)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address()).unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nhost:").unwrap();
            stream
        })
        .collect();
    wait_until("connections accepted", || server.counters().connections.load(Ordering::Acquire) == 8);
    wait_until("connections closed", || server.counters().connections.load(Ordering::Acquire) == 0);
    drop(streams);
}

/// Guards against more open connections than the limit when callers connect and send nothing.
#[googletest::test]
fn connections_beyond_the_limit_are_closed() {
    let limits = ServerLimits { header_timeout: LONG_TIMEOUT, ..build_limits() };
    let (_runtime, server) = start_server(limits, build_echo_handler());
    let streams: Vec<TcpStream> = (0..12).map(|_| TcpStream::connect(server.address()).unwrap()).collect();
    wait_until("rejections", || server.counters().rejected_connections.load(Ordering::Acquire) == 4);
    expect_that!(server.counters().connections.load(Ordering::Acquire), eq(8));
    drop(streams);
}

/// Guards against a caller that stops reading and so blocks the sender of its stream without end.
#[googletest::test]
fn slow_reader_is_dropped() {
    let errors = Arc::new(std::sync::Mutex::new(Vec::new()));
    let sender_errors = Arc::clone(&errors);
    let handler: RequestHandler = Arc::new(move |_| {
        let (sender, body) = ReplyBody::streamed();
        let sender_errors = Arc::clone(&sender_errors);
        std::thread::spawn(move || {
            let error = loop {
                if let Err(error) = sender.send(vec![b'x'; 64 * 1024]) {
                    break error;
                }
            };
            sender_errors.lock().unwrap().push(error);
        });
        HttpResponse::stream(200, "text/plain", body)
    });
    let (_runtime, server) = start_server(build_limits(), handler);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
    wait_until("the sender to end", || errors.lock().unwrap().len() == 1);
    wait_until("the connection to close", || server.counters().connections.load(Ordering::Acquire) == 0);
}

/// Guards against a stream that is aborted by its sender but ends with the final chunk of a complete response.
#[googletest::test]
fn aborted_stream_has_no_final_chunk() {
    let handler: RequestHandler = Arc::new(|request| {
        let (sender, body) = ReplyBody::streamed();
        let _ = sender.send(b"piece".to_vec());
        if request.path == "/whole" {
            let _ = sender.finish();
        }
        HttpResponse::stream(200, "text/plain", body)
    });
    let (_runtime, server) = start_server(build_limits(), handler);
    let has_final_chunk = |path: &str| {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).contains("\r\n0\r\n\r\n")
    };
    expect_that!(has_final_chunk("/whole"), eq(true));
    expect_that!(has_final_chunk("/aborted"), eq(false));
}

/// Guards against a planned stop that cuts off a response in progress, or after which new connections are accepted.
#[googletest::test]
fn stop_waits_for_answers() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let handler: RequestHandler = Arc::new(move |_| {
        let _ = released.lock().unwrap().recv();
        HttpResponse::whole(200, "text/plain", b"late".to_vec())
    });
    let (_runtime, server) = start_server(build_limits(), handler);
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
    wait_until("the request", || server.counters().requests.load(Ordering::Acquire) == 1);
    expect_that!(server.stop(Duration::from_millis(50)), eq(false));
    release.send(()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    expect_that!(response, ends_with("late"));
    expect_that!(server.stop(LONG_TIMEOUT), eq(true));
    expect_that!(TcpStream::connect(server.address()).is_err(), eq(true));
    let _ = stream.shutdown(Shutdown::Both);
}

/// Guards against requests that wait in a queue instead of being refused when the limit on handler calls is reached.
#[googletest::test]
fn busy_server_refuses() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let handler: RequestHandler = Arc::new(move |_| {
        let _ = released.lock().unwrap().recv();
        HttpResponse::whole(200, "text/plain", Vec::new())
    });
    let (_runtime, server) = start_server(build_limits(), handler);
    let busy_streams: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address()).unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
            stream
        })
        .collect();
    wait_until("two requests", || server.counters().requests.load(Ordering::Acquire) == 2);
    let refusal = exchange_bytes(&server, b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    expect_that!(refusal, eq("HTTP/1.1 503 Service Unavailable code 1202"));
    release.send(()).unwrap();
    release.send(()).unwrap();
    drop(busy_streams);
}
