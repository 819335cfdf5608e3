//! Responses of targets with a status line that HTTP does not define.

use std::sync::Arc;

use camphorspring::fleet::service_map::RouteKind;
use camphorspring::jobs::grading_queue::GradingOutcome;
use camphorspring::jobs::item_scheduler::RunOutcome;
use camphorspring::relay::connection_pool::{ConnectionPool, ExchangeError, SendBody};
use camphorspring::traffic::plain_client::{PlainError, PlainRequest, send_plain};
use googletest::prelude::*;
use http_body_util::{BodyExt, Collected};
use hyper::Request;

use super::answers::{context_with_target, route, run, send, send_stream};
use crate::fleet::builders::at;
use crate::jobs::gradings::grade_against;
use crate::jobs::item_http::{run_at, serve_once};

/// What stands in the place of a status, with the headers that the client library expects to follow it.
const ODD_STATUSES: [(&str, &str); 14] = [
    ("000 Trouble", ""),
    ("001 Trouble", ""),
    ("099 Trouble", ""),
    ("101 Switching Protocols", "connection: upgrade\r\nupgrade: x\r\n"),
    ("600 Trouble", ""),
    ("777 Trouble", ""),
    ("999 Trouble", ""),
    ("0200 OK", ""),
    ("2000 OK", ""),
    ("20 OK", ""),
    ("2 OK", ""),
    ("-20 OK", ""),
    ("OK", ""),
    ("", ""),
];

/// Raw response with this status line; sound otherwise.
fn response(status: &str, headers: &str) -> String {
    let body = "id: 1\ndata: a\n\n";
    format!(
        "HTTP/1.1 {status}\r\nid: r1\r\nstamp: s\r\nversion: 2\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against a caller that gets bytes that are no answer in HTTP as the answer of a target, whatever the kind of route.
#[gtest]
fn odd_statuses_are_not_forwarded() {
    let failure = |status: &str| format!("{status:?}: 502 without the body of the target");
    for (status, headers) in ODD_STATUSES {
        for kind in [RouteKind::Repeatable, RouteKind::AtMostOnce] {
            let context = context_with_target(serve_once(response(status, headers)));
            let (code, is_signed, body) = run(async {
                let response = send(&context, &route(kind), 1).await;
                let (head, body) = response.into_parts();
                (
                    head.status.as_u16(),
                    head.headers.contains_key("stamp"),
                    body.collect().await.map(Collected::to_bytes),
                )
            });
            expect_that!((code, is_signed), eq((502, false)), "{}", failure(status));
            expect_that!(body.is_ok_and(|body| !body.starts_with(b"id: 1")), eq(true), "{}", failure(status));
        }
    }
}

/// Guards against a stream that begins, or goes on, with bytes that are no answer in HTTP.
#[gtest]
fn odd_statuses_do_not_begin_streams() {
    for (status, headers) in ODD_STATUSES {
        let headers = format!("{headers}content-type: text/event-stream\r\n");
        let context = context_with_target(serve_once(response(status, &headers)));
        let code = run(send_stream(&context, &route(RouteKind::Repeatable), 1)).status().as_u16();
        expect_that!(code, eq(502), "{status:?}");
    }
}

/// Guards against an item that is completed or abandoned, or a score that is taken, because of bytes that are no answer in HTTP.
#[gtest]
fn odd_statuses_do_not_end_items() {
    for (status, headers) in ODD_STATUSES {
        let item = response(status, headers).replace("id: r1", "id: i0");
        let (outcome, events, ..) = run_at(serve_once(item), 0, at(1000));
        expect_that!((outcome, events), eq((RunOutcome::Broken, 0)), "{status:?}");
        let grading = response(status, headers).replace("id: r1", "id: g0");
        expect_that!(grade_against(&grading), eq(&GradingOutcome::Lost), "{status:?}");
    }
}

/// Guards against bytes that are no answer in HTTP and are taken for one of the store, a peer, the platform, or a target of
/// `camphorspring serve`.
#[gtest]
fn odd_statuses_are_not_read_as_answers() {
    for (status, headers) in ODD_STATUSES {
        let address = serve_once(response(status, headers));
        let request = Request::post("/").header("host", "e").body(SendBody::default()).expect("the request is valid");
        let result = run(async { ConnectionPool::new().fetch(address, request, 1024).await });
        expect_that!(result.err(), some(eq(ExchangeError::Broken)), "{status:?}");
        let request = PlainRequest {
            method: "POST".to_owned(),
            path_and_query: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        let address = serve_once(response(status, headers)).to_string();
        let result = send_plain(&address, &request, at(2000), Arc::new(|| None));
        expect_that!(result.err(), some(eq(PlainError::NoAnswer)), "{status:?}");
    }
}
