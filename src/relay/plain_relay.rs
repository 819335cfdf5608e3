//! Forwards a request that is not a batch job to a target of the route, and the response back to the caller.
//!
//! A result code that means "not run" is only returned when no target can have run the request. Small responses are
//! read whole before they are forwarded, so that another attempt can replace a response that breaks off.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::{Response, http};

use crate::entry::host_context::{HostContext, RunningRequest};
use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::service_map::{RouteKind, RouteRule};
use crate::fleet::target_load::LoadTable;
use crate::memory::MemoryLease;
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::relay::attempt_plan::{ChoiceContext, choose_target, hedge_delay};
use crate::relay::connection_pool::{Exchange, ExchangeError, PooledConnection};
use crate::relay::crash_reports::{RequestAdmission, UnansweredEnd, admit_request, report_unanswered};
use crate::relay::event_reader::EventReader;
use crate::relay::read_budget::{BudgetedBody, MAX_PART_BYTES};
use crate::relay::reply::{BodyError, ResponseBody, code_reply, whole_body};
use crate::relay::stream_origins::StreamOrigin;
use crate::relay::target_codec::{SendOptions, TargetHead, TargetRequest};
use crate::relay::target_relay::{SendRule, record_break, record_unreachable, send_to_target};
use crate::relay::target_response::ResponseKind;
use crate::relay::unanswered_attempt::UnansweredAttempt;
use crate::traffic::crash_quarantine::fingerprint_with_body;
use crate::traffic::quarantine::Fingerprint;

/// Size up to which a response body is read whole before it is forwarded; a larger one is streamed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Memory for the connection of a target while a response is forwarded as it arrives, in bytes.
const STREAM_BUFFER_BYTES: usize = MAX_PART_BYTES;

/// Maximum number of attempts of a request that end without a run, because they were not sent or were refused.
const MAX_REFUSALS: usize = 6;

/// Delay before a retry that is suggested to the caller while the service has no usable target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Delay before a retry that is suggested to the caller when all attempts were refused or failed, or none ran in time.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time before the deadline that is reserved for sending an error response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Longest time that a stream waits until its origin is stored, before its first event is passed on.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(150);

/// Shortest pause after which a forwarded event stream counts as stalled, twice the one after which callers leave a stream.
const MIN_STREAM_PAUSE: Duration = Duration::from_secs(4);

/// A forwarded event stream may pause for this many times the objective of its route, twice as long as callers wait.
const STREAM_PAUSE_OBJECTIVES: u32 = 8;

/// Pause after which a forwarded response that is no event stream counts as stalled. The time limit of the request, if it has one,
/// ends the response earlier.
const BODY_PAUSE: Duration = DEFAULT_TIMEOUT;

/// Outcome of one attempt.
#[derive(Debug)]
enum AttemptOutcome {
    /// Response to forward: a streamed one of any status, or one read whole that is not a server error.
    Answered(Response<ResponseBody>),
    /// The target sent a server error. The last one is forwarded if all attempts end in time and none is answered.
    TargetFailed(Response<ResponseBody>),
    /// The request was not run: it was not sent, or the target refused it.
    NotRun,
    /// No usable response arrived, and the target may have run the request.
    Lost,
}

/// Progress of a request, for the result code and the log line.
#[derive(Debug, Default)]
struct RelayTrace {
    /// Number of attempts, without those in `refusals`.
    attempts: u32,
    /// Number of attempts that were not sent or were refused.
    refusals: usize,
    /// Whether an attempt is running or has ended with any outcome except [`AttemptOutcome::NotRun`].
    may_have_run: bool,
    /// Target of the last attempt; empty before the first one.
    last_target: TargetId,
    /// Time until the next trial, when the request is held back because targets crashed under it.
    held_for: Option<Duration>,
    /// Whether the next attempt is the trial of a request that is held back.
    has_trial: bool,
}

/// Where the events of a response begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStart {
    /// The response is no stream that a caller may take up.
    NotResumable,
    /// A stream begins, and its origin is recorded.
    Begin,
    /// The caller takes up a stream that began there; no other software version may continue it.
    Continue(StreamOrigin),
}

/// A request to forward, with the route, the view and the times that apply to it.
#[derive(Debug)]
pub struct RelayRequest<'a> {
    /// Request as each attempt sends it.
    pub request: TargetRequest,
    /// Route of the request, which sets the services, attempts and times.
    pub route: &'a RouteRule,
    /// View when the request was ready to be forwarded; provides the cold rate of the service and the ages of the
    /// configuration and the targets for the log line. Targets are chosen by the current view instead.
    pub view: Arc<FleetView>,
    /// Where the events of the response begin.
    pub stream: StreamStart,
    /// Time at which the request arrived, from which the timeout counts.
    pub arrived_at: BootTime,
    /// Time that the caller waits for the response; `None` when the caller named none.
    pub patience: Option<Duration>,
    /// Same for each submission of the request by its caller; computed on first use.
    pub fingerprint: OnceLock<Fingerprint>,
}

impl RelayRequest<'_> {
    /// When the request must be answered: the end of the shorter one of the times that the caller and the route allow.
    #[must_use]
    pub fn deadline(&self) -> BootTime {
        self.arrived_at + self.time_limit().unwrap_or(DEFAULT_TIMEOUT)
    }

    /// Shorter one of the times that the caller and the route allow; `None` when neither sets one.
    fn time_limit(&self) -> Option<Duration> {
        [self.patience, self.route.timeout].into_iter().flatten().min()
    }

    /// Number of the last event before the response, as in [`CrashReport::last_event`]: unknown for a stream that is taken up.
    ///
    /// [`CrashReport::last_event`]: crate::fleet::crash_table::CrashReport::last_event
    #[must_use]
    pub fn last_event_before(&self) -> Option<u64> {
        match self.stream {
            StreamStart::Continue(_) => None,
            StreamStart::NotResumable | StreamStart::Begin => Some(0),
        }
    }

    /// Fingerprint of the request, which is the same each time that its caller sends it.
    #[must_use]
    pub fn fingerprint(&self) -> &Fingerprint {
        let request = &self.request;
        let caller = request.organisation.as_deref().unwrap_or_default();
        self.fingerprint.get_or_init(|| {
            let fields = [caller, request.method.as_str(), &request.path].map(str::as_bytes);
            fingerprint_with_body(&request.host, &fields, &request.body)
        })
    }
}

/// Forwards a request, with further attempts as the route allows, and returns the response for the caller.
pub async fn relay_request(context: &Arc<HostContext>, relay: RelayRequest<'_>) -> Response<ResponseBody> {
    let deadline = relay.deadline();
    let mut trace = RelayTrace::default();
    let time_left = deadline.saturating_sub(boot_time()).saturating_sub(RESPONSE_MARGIN);
    let result = tokio::time::timeout(time_left, run_attempts(context, &relay, deadline, &mut trace)).await;
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(ResultCode::RequestHeld)) => code_reply(ResultCode::RequestHeld, trace.held_for),
        Ok(Err(code)) => {
            let needs_target = matches!(code, ResultCode::NoTarget | ResultCode::StreamNotResumable);
            code_reply(code, Some(if needs_target { NO_TARGET_RETRY_AFTER } else { BUSY_RETRY_AFTER }))
        }
        Err(_) if trace.may_have_run => code_reply(ResultCode::TargetTimeout, None),
        Err(_) => code_reply(ResultCode::QueueTimeout, Some(BUSY_RETRY_AFTER)),
    };
    let now = boot_time();
    let elapsed_ms = whole_millis(now.saturating_sub(relay.arrived_at));
    let status = response.status().as_u16();
    if status != 200 || trace.attempts > 1 {
        log::info!(
            request = relay.request.request_id, route = relay.route.name, status = status, tries = trace.attempts,
            refusals = trace.refusals, target = trace.last_target, may_have_run = trace.may_have_run,
            elapsed_ms = elapsed_ms, held_ms:? = trace.held_for.map(whole_millis),
            patience_ms = whole_millis(deadline.saturating_sub(relay.arrived_at)),
            config_age_ms = whole_millis(now.saturating_sub(relay.view.services_read_at)),
            targets_age_ms = whole_millis(now.saturating_sub(relay.view.targets_read_at));
            "request_ended"
        );
    }
    response
}

/// Timeout of a request when neither the caller nor the route names one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

async fn run_attempts(
    context: &Arc<HostContext>,
    relay: &RelayRequest<'_>,
    deadline: BootTime,
    trace: &mut RelayTrace,
) -> Result<Response<ResponseBody>, ResultCode> {
    let is_repeatable = relay.route.kind == RouteKind::Repeatable;
    let service = pick_service(relay).ok_or(ResultCode::StreamNotResumable)?;
    // All attempts for a stream go to targets of one version, so that its origin does not change.
    let mut software = match &relay.stream {
        StreamStart::Continue(origin) => Some(origin.software.clone()),
        StreamStart::NotResumable | StreamStart::Begin => None,
    };
    let mut attempted: Vec<TargetId> = Vec::new();
    let is_answered = AtomicBool::new(false);
    // Target of the last attempt over a link of this host, and when it began.
    let mut last_direct: Option<(TargetEntry, BootTime)> = None;
    let mut running_attempts = FuturesUnordered::new();
    let mut error_response = None;
    loop {
        let mut may_start = trace.attempts < relay.route.attempts.max(1)
            && (running_attempts.is_empty() || is_repeatable)
            && (is_repeatable || !trace.may_have_run)
            && trace.refusals < MAX_REFUSALS;
        if trace.has_trial {
            may_start &= running_attempts.is_empty();
        } else if may_start && !context.crashes.is_empty() {
            match admit_request(context, relay.fingerprint()).await {
                RequestAdmission::Free => {}
                RequestAdmission::Trial => trace.has_trial = true,
                RequestAdmission::Held(delay) => (trace.held_for, may_start) = (Some(delay), false),
            }
        }
        let mut hedge_after = None;
        let next =
            if may_start { acquire_target(context, service, relay, &attempted, software.as_ref()) } else { None };
        if let Some((target, running_request)) = next {
            attempted.push(target.id.clone());
            trace.attempts += 1;
            trace.last_target.clone_from(&target.id);
            if relay.stream == StreamStart::Begin && software.is_none() {
                software = Some(target.software.clone());
                let origin = StreamOrigin { service: service.to_owned(), software: target.software.clone() };
                context.stream_origins.record(&relay.request.request_id, origin, boot_time());
            }
            if is_repeatable {
                let pace = context.with_loads(|loads| loads.get(&target.id).and_then(|load| load.pace));
                hedge_after = Some(hedge_delay(relay.route.objective, pace));
            }
            let has_silent_attempt = !running_attempts.is_empty();
            let prefers_peers = has_silent_attempt && context.links.is_doubtful();
            let needs_software = relay.stream != StreamStart::NotResumable;
            let rule = SendRule { is_repeatable, prefers_peers, needs_software };
            if !prefers_peers && !context.links.is_cut() {
                last_direct = Some((target.clone(), boot_time()));
            }
            running_attempts.push(run_attempt(context, relay, target, running_request, deadline, rule, &is_answered));
            trace.may_have_run = true;
        }
        if running_attempts.is_empty() {
            return error_response.map_or_else(
                || Err(final_code(trace, unsent_code(context, &relay.stream, service, software.as_ref()))),
                Ok,
            );
        }
        let outcome = match hedge_after {
            Some(delay) => tokio::time::timeout(delay, running_attempts.next()).await.ok(),
            None => Some(running_attempts.next().await),
        };
        match outcome {
            // The response is overdue; the loop starts another attempt if the route allows one.
            None => {
                if let Some((target, since)) = &last_direct {
                    record_unreachable(context, target, *since, "overdue");
                }
            }
            Some(Some(AttemptOutcome::Lost)) => trace.has_trial = false,
            Some(None) => return Err(final_code(trace, ResultCode::NoTarget)),
            Some(Some(AttemptOutcome::Answered(response))) => {
                is_answered.store(true, Ordering::Release);
                return Ok(response);
            }
            Some(Some(AttemptOutcome::TargetFailed(response))) => error_response = Some(response),
            Some(Some(AttemptOutcome::NotRun)) => {
                trace.attempts -= 1;
                trace.refusals += 1;
                trace.may_have_run = trace.attempts > 0;
            }
        }
    }
}

/// Result code of a request for which no target of the service can be used now.
fn unsent_code(
    context: &HostContext,
    stream: &StreamStart,
    service: &str,
    software: Option<&SoftwareVersion>,
) -> ResultCode {
    let view = context.view();
    let mut fitting = view.usable_targets(service).filter(|target| has_software(target, software)).peekable();
    if fitting.peek().is_none() {
        return if software.is_some() { ResultCode::StreamNotResumable } else { ResultCode::NoTarget };
    }
    context.with_loads(|loads| {
        if fitting.any(|target| loads.limits.rate(&target.id).is_some()) {
            ResultCode::RateLimited
        } else if *stream == StreamStart::Begin {
            ResultCode::QueueFull
        } else {
            ResultCode::NoTarget
        }
    })
}

fn has_software(target: &TargetEntry, software: Option<&SoftwareVersion>) -> bool {
    software.is_none_or(|software| target.software == *software)
}

/// Whether a target has a free slot, as far as this host knows: its own requests, and those that other hosts published. While
/// the host is cut off from the store, what they published is outdated and does not count.
fn has_free_slot(context: &HostContext, view: &FleetView, loads: &LoadTable, target: &TargetEntry) -> bool {
    let running = loads.get(&target.id).map_or(0, |load| load.running);
    let is_outdated = context.share_clock(view).is_cut_off();
    let published = if is_outdated { 0 } else { view.published_runs(&target.id, &context.settings.host) };
    running + published < target.slots
}

/// Result code of a request without a response; `unsent_code` when no attempt was made.
fn final_code(trace: &RelayTrace, unsent_code: ResultCode) -> ResultCode {
    if trace.may_have_run {
        ResultCode::TargetFailed
    } else if trace.held_for.is_some() {
        ResultCode::RequestHeld
    } else if trace.refusals > 0 {
        ResultCode::HostBusy
    } else {
        unsent_code
    }
}

/// Service of the route that runs the request, chosen by weight; the choice depends on the request id only, so that a
/// request that the caller repeats is run by the same service. A stream goes on at the service that began it; `None` when
/// the route does not use that one any more.
fn pick_service<'a>(relay: &RelayRequest<'a>) -> Option<&'a str> {
    let services = &relay.route.services;
    if let StreamStart::Continue(origin) = &relay.stream {
        let weighted = services.iter().find(|weighted| weighted.service == origin.service)?;
        return Some(&weighted.service);
    }
    let total: u64 = services.iter().map(|weighted| u64::from(weighted.weight)).sum();
    let mut remainder = rendezvous_hash(&relay.request.request_id, "service") % total.max(1);
    for weighted in services {
        let weight = u64::from(weighted.weight);
        if remainder < weight {
            return Some(&weighted.service);
        }
        remainder -= weight;
    }
    Some(services.first().map_or("", |weighted| weighted.service.as_str()))
}

/// Chooses the target of the next attempt and counts the request as running on it until the returned guard is dropped.
///
/// Returns `None` when no target outside `attempted` can be used, or none of the software version that a stream needs.
fn acquire_target(
    context: &Arc<HostContext>,
    service: &str,
    relay: &RelayRequest<'_>,
    attempted: &[TargetId],
    software: Option<&SoftwareVersion>,
) -> Option<(TargetEntry, RunningRequest)> {
    // The current view, since a target may have started to shut down after the request was admitted.
    let view = context.view();
    let now = boot_time();
    let cold_rate =
        relay.view.services.as_ref().and_then(|services| services.service(service).map(|rule| rule.cold_rate));
    let choice_context = ChoiceContext {
        domain: &context.settings.failure_domain,
        cold_rate: cold_rate.unwrap_or_default(),
        clock: context.share_clock(&view),
    };
    let is_long = relay.stream != StreamStart::NotResumable;
    let target = context.with_loads(|loads| {
        let mut candidates: Vec<&TargetEntry> =
            view.usable_targets(service).filter(|target| has_software(target, software)).collect();
        if relay.stream == StreamStart::Begin {
            candidates.retain(|target| has_free_slot(context, &view, loads, target));
        }
        let target = choose_target(candidates.into_iter(), attempted, loads, &choice_context).cloned()?;
        loads.start(&target.id, is_long, target.cold_until > now, now);
        Some(target)
    })?;
    let running_request = RunningRequest::counted(context, &target.id, is_long);
    Some((target, running_request))
}

async fn run_attempt(
    context: &Arc<HostContext>,
    relay: &RelayRequest<'_>,
    target: TargetEntry,
    running_request: RunningRequest,
    deadline: BootTime,
    rule: SendRule,
    is_answered: &AtomicBool,
) -> AttemptOutcome {
    let now = boot_time();
    let started = Instant::now();
    let options = SendOptions { target: &target.id, deadline: deadline.saturating_sub(now), resume_after: None };
    let Ok(request) = (context.target_codec.encode)(&relay.request, &options) else { return AttemptOutcome::NotRun };
    let attempt = UnansweredAttempt::new(context, relay, &target, is_answered);
    let sent = send_to_target(context, &target, request, rule).await;
    attempt.end();
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(error) => {
            record_target_failure(context, relay, &target, error);
            if error == ExchangeError::Broken {
                let last_event = relay.last_event_before();
                report_unanswered(context, relay.fingerprint(), &target, now, UnansweredEnd::Broken, last_event);
            }
            return if error == ExchangeError::NotConnected { AttemptOutcome::NotRun } else { AttemptOutcome::Lost };
        }
    };
    let Exchange { response, connection, is_reused } = exchange;
    let (head, body) = response.into_parts();
    let (target_head, kind) = context.read_head(&target, &head, &relay.request.request_id, is_reused);
    match kind {
        ResponseKind::Success | ResponseKind::Failure => {}
        ResponseKind::Refusal | ResponseKind::Misdirection => {
            context.with_loads(|loads| {
                if kind == ResponseKind::Misdirection {
                    loads.record_failure(&target.id, boot_time());
                } else {
                    loads.record_full(&target.id, boot_time());
                }
            });
            drain_refusal(context, body, connection, &target_head).await;
            return AttemptOutcome::NotRun;
        }
        ResponseKind::Invalid => {
            record_target_failure(context, relay, &target, ExchangeError::Malformed);
            return AttemptOutcome::Lost;
        }
    }
    context.usage.record_start(relay.request.organisation.as_deref());
    if relay.stream == StreamStart::Begin && head.status.is_success() {
        // Without the store the stream begins all the same, and the row is written later.
        let stored = context.stream_origins.wait_stored(&relay.request.request_id);
        let _ = tokio::time::timeout(MAX_ORIGIN_WAIT, stored).await;
    }
    let response = TargetResponse { head, body, target_head, connection, running_request };
    forward_response(context, relay, &target, response, started).await
}

struct TargetResponse {
    head: http::response::Parts,
    body: BudgetedBody,
    target_head: TargetHead,
    connection: PooledConnection,
    running_request: RunningRequest,
}

async fn forward_response(
    context: &Arc<HostContext>,
    relay: &RelayRequest<'_>,
    target: &TargetEntry,
    response: TargetResponse,
    started: Instant,
) -> AttemptOutcome {
    let TargetResponse { head, mut body, target_head, connection, running_request } = response;
    let sent_at = boot_time().saturating_sub(started.elapsed());
    let is_stream = head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|content_type| content_type.as_bytes().starts_with(b"text/event-stream"));
    let mut buffer = BytesMut::new();
    let lease = context.memory.lease_body();
    // The target has run the request by now, so that what is buffered does not yield.
    let mut may_buffer = !is_stream && lease.settle();
    while may_buffer && buffer.len() <= MAX_BUFFERED_BYTES {
        match body.frame().await {
            None => {
                context.pool.give_back(connection, target_head.idle_limit);
                let pace = started.elapsed().as_secs_f64();
                context.with_loads(|loads| loads.record_success(&target.id, Some(pace)));
                record_answer(context, relay);
                return buffered_outcome(head, buffer.freeze());
            }
            Some(Ok(frame)) => {
                let data: &[u8] = frame.data_ref().map_or(&[], |data| data);
                may_buffer = lease.grow_optionally(data.len());
                buffer.extend_from_slice(data);
            }
            Some(Err(_)) => {
                record_break(context, target);
                record_target_failure(context, relay, target, ExchangeError::Broken);
                let last_event = relay.last_event_before();
                report_unanswered(context, relay.fingerprint(), target, sent_at, UnansweredEnd::Broken, last_event);
                return AttemptOutcome::Lost;
            }
        }
    }
    let idle_limit = target_head.idle_limit;
    let pause_limit =
        if is_stream { (relay.route.objective * STREAM_PAUSE_OBJECTIVES).max(MIN_STREAM_PAUSE) } else { BODY_PAUSE };
    let streamed = StreamedResponse {
        request_id: relay.request.request_id.clone(),
        fingerprint: relay.fingerprint().clone(),
        target: target.clone(),
        sent_at,
        events: is_stream.then(EventReader::new),
        last_event: relay.last_event_before(),
        pause_limit,
        stalls_at: tokio::time::Instant::now() + pause_limit,
        ends_at: relay
            .time_limit()
            .filter(|_| !is_stream)
            .map(|limit| tokio::time::Instant::now() + (relay.arrived_at + limit).saturating_sub(boot_time())),
        context: Arc::clone(context),
        connection: Some(connection),
        idle_limit,
        body,
        running_request,
        lease: stream_lease(lease, buffer.len()),
    };
    let buffered = futures_util::stream::iter([Ok(Frame::data(buffer.freeze()))]);
    let stream = buffered.chain(futures_util::stream::unfold(streamed, next_frame));
    AttemptOutcome::Answered(build_response(head, BodyExt::boxed(StreamBody::new(FrameStream(Box::pin(stream))))))
}

/// Turns the lease of a response of which this much was buffered into one for the buffers of its connection. What was buffered
/// is counted as unsent by the connection of the caller.
fn stream_lease(lease: MemoryLease, buffered: usize) -> MemoryLease {
    lease.shrink(buffered);
    lease.grow_by_held(STREAM_BUFFER_BYTES);
    lease
}

fn buffered_outcome(head: http::response::Parts, body: Bytes) -> AttemptOutcome {
    let is_failure = head.status.is_server_error();
    let response = build_response(head, whole_body(body));
    if is_failure { AttemptOutcome::TargetFailed(response) } else { AttemptOutcome::Answered(response) }
}

/// Rest of a response whose body is forwarded as it arrives.
struct StreamedResponse {
    context: Arc<HostContext>,
    connection: Option<PooledConnection>,
    idle_limit: Option<Duration>,
    body: BudgetedBody,
    /// Id of the request, for the log.
    request_id: RequestId,
    fingerprint: Fingerprint,
    target: TargetEntry,
    sent_at: BootTime,
    /// Finds the events of an event stream; `None` when any data counts as progress.
    events: Option<EventReader>,
    /// Number of the last event; `None` while it is unknown.
    last_event: Option<u64>,
    /// Time without progress after which the response breaks off.
    pause_limit: Duration,
    /// When the response breaks off without further progress.
    stalls_at: tokio::time::Instant,
    /// When a response that is no event stream breaks off, however it goes on; `None` without a time limit.
    ends_at: Option<tokio::time::Instant>,
    #[expect(dead_code, reason = "counts the request until the stream ends")]
    running_request: RunningRequest,
    #[expect(dead_code, reason = "counts the memory until the stream ends")]
    lease: MemoryLease,
}

impl StreamedResponse {
    /// When the response breaks off: at its time limit, or earlier if it makes no further progress.
    fn break_off_at(&self) -> tokio::time::Instant {
        self.ends_at.map_or(self.stalls_at, |ends_at| ends_at.min(self.stalls_at))
    }

    /// Records that the target did not complete the response.
    fn report_unanswered(&self, end: UnansweredEnd) {
        report_unanswered(&self.context, &self.fingerprint, &self.target, self.sent_at, end, self.last_event);
    }

    /// Whether a frame has data and, in an event stream, completes an event: a stalled target may still send comments.
    fn makes_progress(&mut self, frame: &Frame<Bytes>) -> bool {
        let Some(data) = frame.data_ref() else { return false };
        let Some(reader) = &mut self.events else { return !data.is_empty() };
        let events = reader.push(data, |_| None).unwrap_or_default();
        for event in &events {
            self.last_event = event.id.or(self.last_event.map(|last| last + 1));
        }
        if !events.is_empty()
            && let Some(event) = self.last_event
            && !self.context.crashes.is_empty()
        {
            self.context.crashes.record_progress(&self.fingerprint, event);
        }
        !events.is_empty()
    }
}

async fn next_frame(mut streamed: StreamedResponse) -> Option<(Result<Frame<Bytes>, BodyError>, StreamedResponse)> {
    // An error aborts the caller's connection, so that a partial response never looks complete.
    let next = tokio::time::timeout_at(streamed.break_off_at(), streamed.body.frame()).await;
    match next {
        Ok(Some(Ok(frame))) => {
            if streamed.makes_progress(&frame) {
                streamed.stalls_at = tokio::time::Instant::now() + streamed.pause_limit;
            }
            // The timeout above never ends while frames are always ready.
            if tokio::time::Instant::now() >= streamed.break_off_at() {
                return Some(break_off(streamed));
            }
            Some((Ok(frame), streamed))
        }
        Ok(Some(Err(error))) => {
            record_break(&streamed.context, &streamed.target);
            streamed.report_unanswered(UnansweredEnd::Broken);
            Some((Err(error.into()), streamed))
        }
        Err(_) => Some(break_off(streamed)),
        Ok(None) => {
            if let Some(connection) = streamed.connection.take() {
                streamed.context.pool.give_back(connection, streamed.idle_limit);
                streamed.context.crashes.record_answer(&streamed.fingerprint);
            }
            None
        }
    }
}

/// Ends a response whose target has stalled, or goes on beyond the time limit of the request.
fn break_off(streamed: StreamedResponse) -> (Result<Frame<Bytes>, BodyError>, StreamedResponse) {
    streamed.report_unanswered(UnansweredEnd::GivenUp);
    log::info!(request = streamed.request_id, pause_ms = whole_millis(streamed.pause_limit); "response_stalled");
    (Err("the target stalled".into()), streamed)
}

/// Wrapper around the stream of body frames of a forwarded response; only delegates.
struct FrameStream<S>(S);

impl<S: futures_util::Stream + Unpin> futures_util::Stream for FrameStream<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        std::pin::Pin::new(&mut self.0).poll_next(context)
    }
}

/// Reads the rest of a refusal so that the connection can be reused.
async fn drain_refusal(
    context: &Arc<HostContext>,
    body: BudgetedBody,
    connection: PooledConnection,
    target_head: &TargetHead,
) {
    const MAX_REFUSAL_BYTES: usize = 16 * 1024;
    if crate::relay::connection_pool::read_body(body, MAX_REFUSAL_BYTES).await.is_ok() {
        context.pool.give_back(connection, target_head.idle_limit);
    }
}

/// Records that a target answered the request, which therefore does not crash targets.
fn record_answer(context: &HostContext, relay: &RelayRequest<'_>) {
    if !context.crashes.is_empty() {
        context.crashes.record_answer(relay.fingerprint());
    }
}

fn record_target_failure(
    context: &Arc<HostContext>,
    relay: &RelayRequest<'_>,
    target: &TargetEntry,
    error: ExchangeError,
) {
    context.with_loads(|loads| loads.record_failure(&target.id, boot_time()));
    log::info!(
        request = relay.request.request_id, target = target.id, domain = target.domain, fault:? = error;
        "attempt_failed"
    );
}

/// First part of the hop-by-hop headers; the rest is listed in [`strip_connection_headers`].
const HOP_BY_HOP_HEADERS: [HeaderName; 5] = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection", "proxy-authorization", "proxy-authenticate"] {
        headers.remove(name);
    }
}

fn build_response(head: http::response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    strip_connection_headers(response.headers_mut());
    response
}
