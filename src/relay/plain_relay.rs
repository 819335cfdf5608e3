//! Forwards a request to a target of its route and the answer back.
//!
//! A refusal that says "not run" is only given when no target can have run the request. Small answers are read whole
//! before they are passed on, so that one that breaks off can still be replaced by that of another target.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::{Response, StatusCode, http};

use crate::entry::host_context::{HostContext, RunningRequest};
use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::service_map::{RouteKind, RouteRule};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::relay::attempt_plan::{ChoiceContext, choose_target, hedge_delay};
use crate::relay::connection_pool::{Exchange, ExchangeError, PooledConnection};
use crate::relay::reply::{BodyError, ResponseBody, code_reply, whole_body};
use crate::relay::target_codec::{SendOptions, TargetHead, TargetRequest};

/// Largest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER_LIMIT: usize = 256 * 1024;

/// Refused tries in a row after which a request is given back to its caller.
const REFUSED_TRIES: usize = 6;

/// Wait that is suggested while no target can be used.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);

/// Wait that is suggested while all targets are full.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// Time before the end of the caller's patience that is left for the way back.
const REPLY_MARGIN: Duration = Duration::from_millis(15);

/// How one try ended.
#[derive(Debug)]
enum AttemptEnd {
    /// An answer to pass on.
    Answered(Response<ResponseBody>),
    /// The target failed and said so; passed on when nothing better comes.
    TargetFailed(Response<ResponseBody>),
    /// The target did not run it.
    NotRun,
    /// The target may have run it, and there is no answer.
    Lost,
}

/// What became of a request, for its log line.
#[derive(Debug, Default)]
struct RequestTrace {
    tries: u32,
    refusals: usize,
    may_have_run: bool,
    last_target: TargetId,
}

/// A request with the terms of its route.
#[derive(Debug)]
pub struct RelayRequest<'a> {
    /// Request.
    pub request: TargetRequest,
    /// Route.
    pub route: &'a RouteRule,
    /// View that admitted it.
    pub view: Arc<FleetView>,
    /// Time at which it arrived.
    pub arrived_at: BootTime,
    /// Time that the caller waits, when it says so.
    pub patience: Option<Duration>,
}

/// Runs a request and returns what the caller is told.
pub async fn relay_request(context: &Arc<HostContext>, order: RelayRequest<'_>) -> Response<ResponseBody> {
    let limit = [order.patience, order.route.timeout].into_iter().flatten().min().unwrap_or(DEFAULT_PATIENCE);
    let deadline = order.arrived_at + limit;
    let mut trace = RequestTrace::default();
    let wait = deadline.saturating_sub(boot_time()).saturating_sub(REPLY_MARGIN);
    let result = tokio::time::timeout(wait, run_attempts(context, &order, deadline, &mut trace)).await;
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(code)) => {
            code_reply(code, Some(if code == ResultCode::NoTarget { NO_TARGET_RETRY } else { FULL_RETRY }))
        }
        Err(_) if trace.may_have_run => code_reply(ResultCode::TargetTimeout, None),
        Err(_) => code_reply(ResultCode::QueueTimeout, Some(FULL_RETRY)),
    };
    let now = boot_time();
    let elapsed_ms = whole_millis(now.saturating_sub(order.arrived_at));
    let status = response.status().as_u16();
    if status != 200 || trace.tries > 1 {
        log::info!(
            request = order.request.request_id, route = order.route.name, status = status, tries = trace.tries,
            refusals = trace.refusals, target = trace.last_target, may_have_run = trace.may_have_run,
            elapsed_ms = elapsed_ms, patience_ms = whole_millis(limit),
            config_age_ms = whole_millis(now.saturating_sub(order.view.services_read_at)),
            targets_age_ms = whole_millis(now.saturating_sub(order.view.targets_read_at));
            "request_ended"
        );
    }
    response
}

/// Time that a caller is given which names none on a route without a bound.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

async fn run_attempts(
    context: &Arc<HostContext>,
    order: &RelayRequest<'_>,
    deadline: BootTime,
    trace: &mut RequestTrace,
) -> Result<Response<ResponseBody>, ResultCode> {
    let is_repeatable = order.route.kind == RouteKind::Repeatable;
    let service = pick_service(order);
    let mut tried: Vec<TargetId> = Vec::new();
    let mut running = FuturesUnordered::new();
    let mut failure = None;
    loop {
        let may_start = trace.tries < order.route.attempts.max(1)
            && (running.is_empty() || is_repeatable)
            && (is_repeatable || !trace.may_have_run)
            && trace.refusals < REFUSED_TRIES;
        let mut hedge_after = None;
        let next = if may_start { next_target(context, service, order, &tried) } else { None };
        if let Some((target, counted)) = next {
            tried.push(target.id.clone());
            trace.tries += 1;
            trace.last_target.clone_from(&target.id);
            if is_repeatable {
                let pace = context.with_loads(|loads| loads.get(&target.id).and_then(|load| load.pace));
                hedge_after = Some(hedge_delay(order.route.objective, pace));
            }
            running.push(run_attempt(context, order, target, counted, deadline));
            trace.may_have_run = true;
        }
        if running.is_empty() {
            return failure.map_or_else(|| Err(final_code(trace)), Ok);
        }
        let ended = match hedge_after {
            Some(delay) => tokio::time::timeout(delay, running.next()).await.ok(),
            None => Some(running.next().await),
        };
        match ended {
            // Overdue or lost: the loop starts another try.
            None | Some(Some(AttemptEnd::Lost)) => {}
            Some(None) => return Err(final_code(trace)),
            Some(Some(AttemptEnd::Answered(response))) => return Ok(response),
            Some(Some(AttemptEnd::TargetFailed(response))) => failure = Some(response),
            Some(Some(AttemptEnd::NotRun)) => {
                trace.tries -= 1;
                trace.refusals += 1;
                trace.may_have_run = trace.tries > 0;
            }
        }
    }
}

fn final_code(trace: &RequestTrace) -> ResultCode {
    if trace.may_have_run {
        ResultCode::TargetFailed
    } else if trace.refusals > 0 {
        ResultCode::HostBusy
    } else {
        ResultCode::NoTarget
    }
}

/// Service of the route that runs this request; the same for each try, by the hash of its id.
fn pick_service<'a>(order: &RelayRequest<'a>) -> &'a str {
    let services = &order.route.services;
    let total: u64 = services.iter().map(|weighted| u64::from(weighted.weight)).sum();
    let mut point = rendezvous_hash(&order.request.request_id, "service") % total.max(1);
    for weighted in services {
        let weight = u64::from(weighted.weight);
        if point < weight {
            return &weighted.service;
        }
        point -= weight;
    }
    services.first().map_or("", |weighted| weighted.service.as_str())
}

/// Chooses a target, which counts the request as running from then on.
fn next_target(
    context: &Arc<HostContext>,
    service: &str,
    order: &RelayRequest<'_>,
    tried: &[TargetId],
) -> Option<(TargetEntry, RunningRequest)> {
    // The newest view, since a target may have begun to leave since the request was admitted.
    let view = context.view();
    let now = boot_time();
    let hosts: Vec<&str> = view.live_members().map(|member| member.host.as_str()).collect();
    let cold_rate =
        order.view.services.as_ref().and_then(|services| services.service(service).map(|rule| rule.cold_rate));
    let choice = ChoiceContext {
        domain: &context.settings.failure_domain,
        host: &context.settings.host,
        hosts: &hosts,
        cold_rate: cold_rate.unwrap_or_default(),
        now,
    };
    let target = context.with_loads(|loads| {
        let target = choose_target(view.usable_targets(service), tried, loads, &choice).cloned()?;
        loads.start(&target.id, false, target.cold_until > now, now);
        Some(target)
    })?;
    let counted = RunningRequest::counted(context, &target.id, false);
    Some((target, counted))
}

async fn run_attempt(
    context: &Arc<HostContext>,
    order: &RelayRequest<'_>,
    target: TargetEntry,
    running: RunningRequest,
    deadline: BootTime,
) -> AttemptEnd {
    let now = boot_time();
    let started = Instant::now();
    let terms = SendOptions { target: &target.id, deadline: deadline.saturating_sub(now), resume_after: None };
    let Ok(request) = (context.target_codec.encode)(&order.request, &terms) else { return AttemptEnd::NotRun };
    let exchange = match context.pool.send(target.address, request).await {
        Ok(exchange) => exchange,
        Err(fault) => {
            note_failure(context, order, &target, fault);
            return if fault == ExchangeError::NotConnected { AttemptEnd::NotRun } else { AttemptEnd::Lost };
        }
    };
    let Exchange { response, connection } = exchange;
    let (head, body) = response.into_parts();
    let decoded = (context.target_codec.decode)(&head);
    if decoded.is_not_run || decoded.is_misdirected {
        context.with_loads(|loads| {
            if decoded.is_misdirected {
                loads.record_failure(&target.id, boot_time());
            } else {
                loads.record_full(&target.id, boot_time());
            }
        });
        finish_refusal(context, body, connection, &decoded).await;
        return AttemptEnd::NotRun;
    }
    if !is_own_answer(&head, &decoded, &order.request.request_id) {
        note_failure(context, order, &target, ExchangeError::Broken);
        return AttemptEnd::Lost;
    }
    context.usage.record_start(order.request.organisation.as_deref());
    let answer = Answer { head, body, decoded, connection, running };
    pass_answer(context, order, &target, answer, started).await
}

struct Answer {
    head: http::response::Parts,
    body: Incoming,
    decoded: TargetHead,
    connection: PooledConnection,
    running: RunningRequest,
}

async fn pass_answer(
    context: &Arc<HostContext>,
    order: &RelayRequest<'_>,
    target: &TargetEntry,
    answer: Answer,
    started: Instant,
) -> AttemptEnd {
    let Answer { head, mut body, decoded, connection, running } = answer;
    let is_stream =
        head.headers.get(CONTENT_TYPE).is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let mut whole = BytesMut::new();
    while !is_stream && whole.len() <= WHOLE_ANSWER_LIMIT {
        match body.frame().await {
            None => {
                context.pool.give_back(connection, decoded.idle_limit);
                let pace = started.elapsed().as_secs_f64();
                context.with_loads(|loads| loads.record_success(&target.id, Some(pace)));
                return whole_answer(head, whole.freeze());
            }
            Some(Ok(frame)) => whole.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => {
                note_failure(context, order, target, ExchangeError::Broken);
                return AttemptEnd::Lost;
            }
        }
    }
    let idle_limit = decoded.idle_limit;
    let rest = StreamedAnswer { context: Arc::clone(context), connection: Some(connection), idle_limit, body, running };
    let first = futures_util::stream::iter([Ok(Frame::data(whole.freeze()))]);
    let stream = first.chain(futures_util::stream::unfold(rest, next_frame));
    AttemptEnd::Answered(build_reply(head, BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(stream))))))
}

fn whole_answer(head: http::response::Parts, body: Bytes) -> AttemptEnd {
    let is_failure = head.status.is_server_error();
    let response = build_reply(head, whole_body(body));
    if is_failure { AttemptEnd::TargetFailed(response) } else { AttemptEnd::Answered(response) }
}

/// Answer whose body is passed on as it arrives.
struct StreamedAnswer {
    context: Arc<HostContext>,
    connection: Option<PooledConnection>,
    idle_limit: Option<Duration>,
    body: Incoming,
    #[expect(dead_code, reason = "counts the request until the stream ends")]
    running: RunningRequest,
}

async fn next_frame(mut answer: StreamedAnswer) -> Option<(Result<Frame<Bytes>, BodyError>, StreamedAnswer)> {
    match answer.body.frame().await {
        Some(Ok(frame)) => Some((Ok(frame), answer)),
        // The error breaks the caller's connection off, so that a partial answer never looks complete.
        Some(Err(error)) => Some((Err(error.into()), answer)),
        None => {
            if let Some(connection) = answer.connection.take() {
                answer.context.pool.give_back(connection, answer.idle_limit);
            }
            None
        }
    }
}

/// Stream that is only polled by its owner, which makes sharing references to it harmless.
struct SyncStream<S>(S);

impl<S: futures_util::Stream + Unpin> futures_util::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        std::pin::Pin::new(&mut self.0).poll_next(context)
    }
}

async fn finish_refusal(
    context: &Arc<HostContext>,
    body: Incoming,
    connection: PooledConnection,
    decoded: &TargetHead,
) {
    const REFUSAL_LIMIT: usize = 16 * 1024;
    if crate::relay::connection_pool::read_body(body, REFUSAL_LIMIT).await.is_ok() {
        context.pool.give_back(connection, decoded.idle_limit);
    }
}

/// Whether an answer belongs to the request: it names its id, and a success is signed and not re-encoded.
fn is_own_answer(head: &http::response::Parts, decoded: &TargetHead, request_id: &str) -> bool {
    let has_own_id = decoded.request_id.as_deref().is_none_or(|id| id == request_id);
    let is_encoded = head.headers.contains_key(hyper::header::CONTENT_ENCODING);
    has_own_id && (!head.status.is_success() || (decoded.is_stamped && !is_encoded))
}

fn note_failure(context: &Arc<HostContext>, order: &RelayRequest<'_>, target: &TargetEntry, fault: ExchangeError) {
    context.with_loads(|loads| loads.record_failure(&target.id, boot_time()));
    log::info!(
        request = order.request.request_id, target = target.id, domain = target.domain, fault:? = fault;
        "attempt_failed"
    );
}

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the headers that concern one connection, also those that it names itself.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "proxy-authorization", "proxy-authenticate"] {
        headers.remove(name);
    }
}

fn build_reply(head: http::response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = if head.status.is_informational() { StatusCode::BAD_GATEWAY } else { head.status };
    *response.headers_mut() = head.headers;
    strip_connection_headers(response.headers_mut());
    response
}
