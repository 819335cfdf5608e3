//! Streams that callers take up: where they began, and which targets may continue them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use camphorspring::clock::boot_time;
use camphorspring::entry::fleet_follower::FleetPublisher;
use camphorspring::entry::host_context::HostContext;
use camphorspring::fleet::fleet_view::TargetEntry;
use camphorspring::fleet::member_row::RunningCount;
use camphorspring::fleet::service_map::{RouteKind, RouteRule, WeightedService};
use camphorspring::relay::plain_relay::{RelayRequest, StreamStart, relay_request};
use camphorspring::relay::stream_origins::{StreamOrigin, find_origin, remove_old_origins, store_origins};
use camphorspring::relay::target_codec::TargetRequest;
use googletest::prelude::*;
use hyper::Method;
use hyper::header::HeaderMap;
use tokio::sync::watch;

use crate::fleet::builders::{at, engine, plain_route, view};
use crate::jobs::item_http::{context, context_with_view, serve_once};

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "models".to_owned(), software: software.to_owned() }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts").block_on(future)
}

/// State of another host with the same store.
fn other_host(context: &HostContext) -> HostContext {
    let (_, view) = FleetPublisher::new();
    let mut other = Arc::into_inner(context_with_view(view)).expect("nothing else uses the state");
    other.store = Arc::clone(&context.store);
    other
}

/// Guards against a stream whose version no host knows any more after the host that began it was killed, and against rows
/// that are kept for good.
#[gtest]
fn origins_outlive_their_host_for_some_minutes() {
    let context = context();
    let found = run(async {
        let writer = tokio::spawn(store_origins(Arc::clone(&context)));
        for number in 0..1_200 {
            context.stream_origins.record(&format!("r{number}"), origin("s1"), at(1_000));
        }
        for number in 0..1_200 {
            context.stream_origins.wait_stored(&format!("r{number}")).await;
        }
        writer.abort();
        let other = other_host(&context);
        let mut found = vec![find_origin(&other, "r7").await, find_origin(&other, "r").await];
        let removed = [
            remove_old_origins(&other.store, at(60_000)).await.expect("the store answers"),
            remove_old_origins(&other.store, at(600_000)).await.expect("the store answers"),
        ];
        assert_eq!(removed, [0, 1_200]);
        found.push(find_origin(&other, "r7").await);
        found.into_iter().map(|found| found.expect("the store answers")).collect::<Vec<_>>()
    });
    expect_that!(found, eq(&vec![Some(origin("s1")), None, None]));
}

/// Sends a request of a stream to a host whose engines `e0` and so on have these software versions; returns the status and the
/// version that is recorded as its origin. On the `full` engines, this host and another one use all slots.
fn status_with(engines: &[&str], full: &[&str], stream: StreamStart) -> (u16, Option<StreamOrigin>) {
    status_after(Duration::ZERO, engines, full, stream)
}

/// Like [`status_with`], when the store has not answered for some time.
fn status_after(outage: Duration, engines: &[&str], full: &[&str], stream: StreamStart) -> (u16, Option<StreamOrigin>) {
    let read_at = boot_time().saturating_sub(outage);
    let answer = || "HTTP/1.1 200 OK\r\nid: r1\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok".to_owned();
    let target = |(number, software): (usize, &&str)| TargetEntry {
        software: (*software).to_owned(),
        address: serve_once(answer()),
        ..engine(&format!("e{number}"), 1)
    };
    let targets: Vec<TargetEntry> = engines.iter().enumerate().map(target).collect();
    let mut view = view(targets, &["h1", "h2"], read_at);
    let other_runs =
        full.iter().map(|target| RunningCount { target: (*target).to_owned(), count: engine(target, 1).slots - 1 });
    let mut members = view.members.to_vec();
    members[1].row.running = other_runs.collect();
    view.members = members.into();
    let (_, view) = watch::channel(Arc::new(view));
    let context = context_with_view(view);
    for target in full {
        context.with_loads(|loads| loads.start(target, true, false, boot_time()));
    }
    let services = vec![WeightedService { service: "models".to_owned(), weight: 1 }];
    let route = RouteRule { kind: RouteKind::AtMostOnce, services, is_resumable: true, ..plain_route() };
    let request = TargetRequest {
        method: Method::POST,
        path: "/plain/x".to_owned(),
        host: "c".to_owned(),
        headers: HeaderMap::new(),
        request_id: "r1".to_owned(),
        organisation: None,
        body: Bytes::new().into(),
    };
    let relay = RelayRequest {
        request,
        route: &route,
        stream,
        view: context.view(),
        arrived_at: boot_time(),
        patience: Some(at(2_000)),
        fingerprint: std::sync::OnceLock::new(),
    };
    let status = run(relay_request(&context, relay)).status().as_u16();
    (status, context.stream_origins.find("r1"))
}

/// Guards against a stream that goes on at a version of the software, or at a service, that did not begin it.
#[gtest]
fn streams_go_on_at_their_origin_only() {
    let other_service = StreamOrigin { service: "others".to_owned(), ..origin("s1") };
    let statuses = [
        status_with(&["s1"], &[], StreamStart::Begin),
        status_with(&["s2", "s2", "s1"], &[], StreamStart::Continue(origin("s1"))),
        status_with(&["s2", "s2"], &[], StreamStart::Continue(origin("s1"))),
        status_with(&["s1"], &[], StreamStart::Continue(other_service)),
    ];
    let expected = [(200, Some(origin("s1"))), (200, None), (503, None), (503, None)];
    expect_that!(statuses.to_vec(), eq(&expected.to_vec()));
}

/// Guards against queues of new streams at the engines, behind which streams that are taken up wait until their callers leave:
/// only some engines can continue these, and any engine can begin a new one. Also guards against engines that count as full for
/// as long as the store is out of reach.
#[gtest]
fn new_streams_are_not_begun_on_full_engines() {
    let statuses = [
        status_with(&["s1", "s2"], &["e0"], StreamStart::Begin),
        status_with(&["s1", "s2"], &["e0", "e1"], StreamStart::Begin),
        status_with(&["s1", "s2"], &["e0", "e1"], StreamStart::Continue(origin("s1"))),
        status_after(at(4_000), &["s1"], &["e0"], StreamStart::Begin),
    ];
    let expected = [(200, Some(origin("s2"))), (429, None), (200, None), (200, Some(origin("s1")))];
    expect_that!(statuses.to_vec(), eq(&expected.to_vec()));
}
