//! Answers and requests without end, and answers that are cut at each of their bytes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use camphorspring::fleet::service_map::RouteKind;
use camphorspring::jobs::item_scheduler::RunOutcome;
use camphorspring::relay::caller_server::{ServerPhase, serve_callers};
use camphorspring::relay::connection_pool::{ConnectionPool, ExchangeError, SendBody, read_body};
use camphorspring::relay::read_budget::BudgetedBody;
use camphorspring::relay::reply::{ResponseBody, text_reply};
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};

use super::answers::{context_with_target, route, run, send};
use crate::jobs::item_http::{context, run_at};

/// Largest body that the tests read.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Bytes that a server sends at the most, so that a test ends whatever the client does.
const MAX_SENT_BYTES: usize = 64 * 1024 * 1024;

/// Bytes that a server may get rid of before it sees the connection close: what the sockets hold, and what the client reads.
const MAX_TAKEN_BYTES: usize = 24 * 1024 * 1024;

/// Starts a server that answers each request with `start` and then `repeated` until the connection is closed; returns its address
/// and the number of bytes that it has sent.
fn serve_without_end(start: &str, repeated: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let sent = Arc::new(AtomicUsize::new(0));
    let (counter, start, block) = (Arc::clone(&sent), start.to_owned(), repeated.repeat(64 * 1024 / repeated.len()));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut writer = stream.try_clone().expect("the socket is open");
            let mut lines = BufReader::new(stream).lines().map_while(std::result::Result::ok);
            let _ = lines.find(String::is_empty);
            let mut is_open = writer.write_all(start.as_bytes()).is_ok();
            while is_open && counter.load(Ordering::SeqCst) < MAX_SENT_BYTES {
                is_open = writer.write_all(block.as_bytes()).is_ok();
                counter.fetch_add(block.len(), Ordering::SeqCst);
            }
        }
    });
    (address, sent)
}

fn request() -> Request<SendBody> {
    Request::post("/").header("host", "e").body(SendBody::default()).expect("the request is valid")
}

/// Guards against a sender of bytes without end that occupies the thread of all callers, or fills the memory: the connection is
/// closed after some hundred kilobytes, whatever part of an answer does not end.
#[gtest]
fn answers_without_end_are_ended() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let kinds = [
        ("status line", String::new(), "HTTP/1.1 200 x".to_owned()),
        ("header", "HTTP/1.1 200 OK\r\nx: ".to_owned(), "y".to_owned()),
        ("headers", "HTTP/1.1 200 OK\r\n".to_owned(), "x: y\r\n".to_owned()),
        ("interim heads", String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
        ("chunk size", chunked.to_owned(), "0".to_owned()),
        ("chunk extension", format!("{chunked}1;"), "x".to_owned()),
        ("trailers", format!("{chunked}0\r\n"), "x: y\r\n".to_owned()),
        ("chunks", chunked.to_owned(), "1\r\nx\r\n".to_owned()),
        ("body", "HTTP/1.1 200 OK\r\n\r\n".to_owned(), "x".to_owned()),
    ];
    for (kind, start, repeated) in kinds {
        let (address, sent) = serve_without_end(&start, &repeated);
        let result = run(async { ConnectionPool::new().fetch(address, request(), MAX_BODY_BYTES).await });
        expect_that!(result.err(), some(eq(ExchangeError::Broken)), "{kind}");
        expect_that!(sent.load(Ordering::SeqCst), lt(MAX_TAKEN_BYTES), "{kind}");
    }
}

/// Guards against a caller that sends bytes without end and occupies the thread of all callers: the connection is closed.
#[gtest]
fn requests_without_end_are_ended() {
    let chunked = "POST / HTTP/1.1\r\nhost: c\r\ntransfer-encoding: chunked\r\n\r\n";
    let kinds = [
        ("head", "POST / HTTP/1.1\r\nhost: c\r\nx: ".to_owned(), "y"),
        ("chunk size", chunked.to_owned(), "0"),
        ("trailers", format!("{chunked}0\r\n"), "x: y\r\n"),
    ];
    for (kind, start, repeated) in kinds {
        let sent = run(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let address = listener.local_addr().expect("the listener is bound");
            let (_phase, phase) = tokio::sync::watch::channel(ServerPhase::Serving);
            let handler = Arc::new(|request: Request<BudgetedBody>| {
                Box::pin(async move {
                    let is_whole = read_body(request.into_body(), MAX_BODY_BYTES).await.is_ok();
                    text_reply(StatusCode::OK, Bytes::from(is_whole.to_string()))
                }) as std::pin::Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>
            });
            tokio::spawn(serve_callers(context(), listener, handler, phase));
            let block = repeated.repeat(64 * 1024 / repeated.len());
            let caller = tokio::task::spawn_blocking(move || {
                let mut stream = std::net::TcpStream::connect(address).expect("the host accepts");
                let mut is_open = stream.write_all(start.as_bytes()).is_ok();
                let mut sent = 0;
                while is_open && sent < MAX_SENT_BYTES {
                    is_open = stream.write_all(block.as_bytes()).is_ok();
                    sent += block.len();
                }
                sent
            });
            caller.await.expect("the caller ends")
        });
        expect_that!(sent, lt(MAX_TAKEN_BYTES), "{kind}");
    }
}

/// Starts a server that sends the first bytes of an answer and closes the connection in order, one byte more each time;
/// returns its address.
fn serve_cut(answer: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let answer = answer.to_owned();
    std::thread::spawn(move || {
        for (length, stream) in listener.incoming().flatten().enumerate() {
            let mut writer = stream.try_clone().expect("the socket is open");
            let mut lines = BufReader::new(stream).lines().map_while(std::result::Result::ok);
            let _ = lines.find(String::is_empty);
            // The client may have closed the connection.
            let _ = writer.write_all(&answer.as_bytes()[..length.min(answer.len())]);
        }
    });
    address
}

/// Answers that say where they end, by a length or by chunks, also after an interim head.
const FRAMED_ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nstamp: s\r\nversion: 2\r\ncontent-length: 34\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n",
    "HTTP/1.1 200 OK\r\nstamp: s\r\nversion: 2\r\ntransfer-encoding: chunked\r\n\r\n\
     11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n\
     HTTP/1.1 200 OK\r\nstamp: s\r\nversion: 2\r\ncontent-length: 17\r\n\r\nid: 1\ndata: one\n\n",
    "HTTP/1.1 200 OK\r\nstamp: s\r\nversion: 2\r\ntransfer-encoding: chunked\r\n\r\n\
     11\r\nid: 1\ndata: one\n\n\r\n0\r\nx: y\r\n\r\n",
];

/// Guards against an answer that is taken as whole although its sender closed the connection within the head or the
/// body, as read by gradings, calls of the store and those of peers.
#[gtest]
fn cut_answers_are_not_whole() {
    for answer in FRAMED_ANSWERS {
        let address = serve_cut(answer);
        run(async {
            let pool = ConnectionPool::new();
            for length in 0..=answer.len() {
                let result = pool.fetch(address, request(), MAX_BODY_BYTES).await;
                expect_that!(result.is_ok(), eq(length == answer.len()), "{length} of {answer:?}");
            }
        });
    }
}

/// Guards against an item whose output is taken as complete although its engine closed the connection before the end.
#[gtest]
fn cut_outputs_of_items_are_not_complete() {
    for answer in FRAMED_ANSWERS {
        let address = serve_cut(answer);
        for length in 0..=answer.len() {
            let (outcome, ..) = run_at(address, 0, Duration::from_secs(5));
            expect_that!(outcome == RunOutcome::Complete, eq(length == answer.len()), "{length} of {answer:?}");
        }
    }
}

/// Guards against a response, or a stream of events, that a caller gets as whole although its target closed the connection
/// within the head or the body.
#[gtest]
fn cut_answers_are_not_forwarded_as_whole() {
    let answers = FRAMED_ANSWERS.iter().flat_map(|answer| {
        [(*answer).to_owned(), answer.replace("stamp: s", "stamp: s\r\ncontent-type: text/event-stream")]
    });
    for answer in answers {
        let address = serve_cut(&answer);
        for length in 0..=answer.len() {
            let context = context_with_target(address);
            let is_whole = run(async {
                let response = send(&context, &route(RouteKind::Repeatable), 1).await;
                response.status() == 200 && response.into_body().collect().await.is_ok()
            });
            expect_that!(is_whole, eq(length == answer.len()), "{length} of {answer:?}");
        }
    }
}

/// Sends a request to a target whose answer does not end, and reads the body; returns whether it ends with an error, and the
/// number of bytes that the target has sent.
fn read_without_end(start: &str, repeated: &str) -> (bool, usize) {
    let (address, sent) = serve_without_end(start, repeated);
    let context = context_with_target(address);
    let is_error = run(async {
        let mut body = send(&context, &route(RouteKind::Repeatable), 1).await.into_body();
        let read = async {
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return true;
                }
                // A caller that reads slowly, so that the target does not reach its last byte.
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            false
        };
        tokio::time::timeout(Duration::from_secs(30), read).await
    });
    (is_error.unwrap_or_default(), sent.load(Ordering::SeqCst))
}

/// Guards against a response that is passed on for as long as its target sends, beyond the time that the route allows.
#[gtest]
fn body_without_end_ends_with_the_time_of_its_route() {
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1024));
    let start = "HTTP/1.1 200 OK\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
    expect_that!(read_without_end(start, &chunk), (eq(true), lt(MAX_SENT_BYTES)));
}

/// Guards against a stream, or the run of an item, that never ends because its target sends comments without a pause.
#[gtest]
fn comments_without_end_are_no_progress() {
    let start = "HTTP/1.1 200 OK\r\nstamp: s\r\nversion: 2\r\ncontent-type: text/event-stream\r\n\r\n";
    expect_that!(read_without_end(start, ": wait\n\n"), (eq(true), lt(MAX_SENT_BYTES)));
    let (address, _) = serve_without_end(start, ": wait\n\n");
    expect_that!(run_at(address, 0, Duration::from_millis(300)).0, eq(RunOutcome::Stalled));
}
