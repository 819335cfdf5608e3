//! Admits the requests of callers, and dispatches each to a target or to the batch job calls.

use std::sync::OnceLock;

use bytes::Bytes;
use hyper::{Method, Request, Response};

use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::service_map::{AdmissionError, RouteKind, RouteRule, ServiceMap};
use crate::jobs::job_calls::{JobAccess, Submission, end_job, read_item, read_job, submit_job};
use crate::jobs::job_encoder::{EncodedJob, JobEncoder};
use crate::jobs::job_record::ItemSpec;
use crate::memory::{ConnectionLease, ReceiveError, ReceivedBody, linger, receive_body};
use crate::prelude::*;
use crate::relay::caller_codec::{CallerAction, CallerHead};
use crate::relay::plain_relay::{RelayRequest, StreamStart, relay_request};
use crate::relay::read_budget::BudgetedBody;
use crate::relay::reply::{ResponseBody, code_reply};
use crate::relay::stream_origins::find_origin;
use crate::relay::target_codec::TargetRequest;

/// Delay after which callers should retry at a host that knows no configuration yet.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay after which callers should try again at another host, which may take the request.
const OTHER_HOST_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time that a call on a batch job may take at least while this host is stopping; a call that has less is refused.
const JOB_CALL_TIME: Duration = Duration::from_secs(1);

/// Upper bound of the time that one read of a batch job waits for further results.
const READ_WAIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper bound of the time for receiving a request body; a shorter deadline of the caller takes precedence.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time since the store last confirmed the configuration in which a route or key that it lacks counts as absent. While
/// the store answers, the configuration is confirmed about twice a second.
const MAX_CONFIGURATION_AGE: Duration = Duration::from_secs(2);

/// Answers one request, and records the response in the metrics.
pub async fn answer_caller(context: Arc<HostContext>, request: Request<BudgetedBody>) -> Response<ResponseBody> {
    let arrived_at = boot_time();
    let (parts, body) = request.into_parts();
    let head = (context.caller_codec.decode)(&parts);
    let kind = match &head.action {
        CallerAction::Forward => "request",
        CallerAction::ReadResults { .. } => "read_results",
        CallerAction::ReadItem { .. } => "read_item",
        CallerAction::EndJob { .. } => "end_job",
    };
    let is_forwarded = head.action == CallerAction::Forward;
    let request_id = head.request_id.clone();
    let response = tokio::select! {
        biased;
        response = handle_request(&context, head, parts, body, arrived_at) => response,
        () = context.stop.wait_last_answer() => {
            log::info!(request = request_id, kind = kind; "request_ended_by_stop");
            if is_forwarded {
                // A submission is among these: its job may be stored.
                code_reply(ResultCode::OutcomeUnknown, None)
            } else {
                code_reply(ResultCode::NotReady, Some(OTHER_HOST_RETRY_DELAY))
            }
        }
    };
    let metrics = &context.metrics;
    metrics.responses.with_label_values(&[kind, response.status().as_str()]).inc();
    let elapsed = boot_time().saturating_sub(arrived_at);
    metrics.response_seconds.with_label_values(&[kind]).observe(elapsed.as_secs_f64());
    response
}

async fn handle_request(
    context: &Arc<HostContext>,
    head: CallerHead,
    parts: hyper::http::request::Parts,
    body: BudgetedBody,
    arrived_at: BootTime,
) -> Response<ResponseBody> {
    let view = context.view();
    let Some(services) = view.services.clone() else {
        return refuse_request(&head, ResultCode::NotReady, Some(NOT_READY_RETRY_DELAY));
    };
    if head.action != CallerAction::Forward && !takes_job_call(context) {
        return refuse_request(&head, ResultCode::NotReady, Some(OTHER_HOST_RETRY_DELAY));
    }
    // An accepted job can be read and ended by those who handed it in, whatever has become of its route.
    let access = |job: &str| {
        let organisation = admit_organisation(&services, false, &head);
        let organisation = organisation.map_err(|code| confirmed_code(&view, code, boot_time()));
        JobAccess { job: job.to_owned(), organisation }
    };
    match &head.action {
        CallerAction::ReadResults { job, after } => {
            let wait = head.wait.unwrap_or_default().min(READ_WAIT_TIMEOUT);
            read_job(context, access(job), *after, wait).await
        }
        CallerAction::ReadItem { job, item } => read_item(context, access(job), item).await,
        CallerAction::EndJob { job } => end_job(context, access(job)).await,
        CallerAction::Forward => {
            let result = route_request(context, &services, &head, parts, body, arrived_at).await;
            result.unwrap_or_else(|code| {
                let confirmed = confirmed_code(&view, code, boot_time());
                let is_stale = confirmed == ResultCode::StaleView;
                refuse_request(&head, confirmed, is_stale.then_some(OTHER_HOST_RETRY_DELAY))
            })
        }
    }
}

/// Result code of a request that the configuration of this host does not admit: [`ResultCode::StaleView`] instead of a code
/// that says that a route or key is absent when a newer configuration may have it.
#[must_use]
pub fn confirmed_code(view: &FleetView, code: ResultCode, now: BootTime) -> ResultCode {
    let is_stale = now.saturating_sub(view.services_read_at) > MAX_CONFIGURATION_AGE;
    match code {
        ResultCode::NotFound | ResultCode::KeyUnknown if is_stale => ResultCode::StaleView,
        _ => code,
    }
}

/// Whether there is time for a call on a batch job before this host ends.
fn takes_job_call(context: &HostContext) -> bool {
    let now = boot_time();
    context.stop.takes_request(now + JOB_CALL_TIME, now)
}

fn refuse_request(head: &CallerHead, code: ResultCode, retry_after: Option<Duration>) -> Response<ResponseBody> {
    log::info!(
        request = head.request_id, path = head.path, host_name = head.host, code = code.number(),
        has_key = head.key.is_some();
        "request_refused"
    );
    code_reply(code, retry_after)
}

fn admit_organisation(
    services: &ServiceMap,
    is_open: bool,
    head: &CallerHead,
) -> Result<Option<OrganisationId>, ResultCode> {
    let organisation = services.admit(is_open, head.key.as_deref()).map_err(|error| match error {
        AdmissionError::KeyMissing => ResultCode::KeyMissing,
        AdmissionError::KeyUnknown => ResultCode::KeyUnknown,
    })?;
    Ok(organisation.map(|rule| rule.name.clone()))
}

/// Checks that the grading requests of items can be sent.
///
/// # Errors
///
/// The body of a grading request is malformed, or no route serves it. The caller may retry the latter, since another
/// host may know a newer configuration.
pub fn check_gradings(
    items: &[ItemSpec],
    services: &ServiceMap,
    decode_body: fn(&str) -> Option<Bytes>,
) -> Result<(), ResultCode> {
    for grading in items.iter().filter_map(|item| item.grading.as_ref()) {
        decode_body(&grading.body).ok_or(ResultCode::BadRequest)?;
        services.route(&grading.host, &grading.path).ok_or(ResultCode::NoTarget)?;
    }
    Ok(())
}

/// Decodes a submitted job, checks it and encodes it for the store, item by item.
fn encode_job(context: &HostContext, services: &ServiceMap, body: ReceivedBody) -> Result<EncodedJob, ResultCode> {
    let codec = &context.caller_codec;
    let mut encoder = JobEncoder::new(&context.memory)?;
    let outline = (codec.decode_job)(body, &mut |item| {
        check_gradings(std::slice::from_ref(&item), services, codec.decode_item_body)?;
        encoder.add_item(&item)
    })?;
    encoder.finish(outline)
}

async fn route_request(
    context: &Arc<HostContext>,
    services: &ServiceMap,
    head: &CallerHead,
    parts: hyper::http::request::Parts,
    mut body: BudgetedBody,
    arrived_at: BootTime,
) -> Result<Response<ResponseBody>, ResultCode> {
    let route = services.route(&head.host, &head.path).ok_or(ResultCode::NotFound)?;
    let organisation = admit_organisation(services, route.is_open, head)?;
    let body_limit = services.limits.body_bytes;
    let body_timeout = head.deadline.unwrap_or(BODY_READ_TIMEOUT).min(BODY_READ_TIMEOUT);
    let received = tokio::time::timeout(body_timeout, receive_body(&context.memory, &mut body, body_limit)).await;
    let body = match received {
        Ok(Ok(received)) => {
            if let Some(connection) = parts.extensions.get::<Arc<ConnectionLease>>() {
                connection.settle();
            }
            received
        }
        failed => {
            linger(&context.memory, body);
            return match failed {
                Ok(Err(ReceiveError::TooLarge)) => Err(ResultCode::TooLarge),
                Ok(Err(ReceiveError::Broken)) => Err(ResultCode::BadRequest),
                // Not logged for each request, since there may be a crowd of them.
                Ok(Err(ReceiveError::NoMemory)) => Ok(code_reply(ResultCode::HostBusy, Some(OTHER_HOST_RETRY_DELAY))),
                // The time has passed; a received body was handled above.
                Ok(Ok(_)) | Err(_) => Err(ResultCode::QueueTimeout),
            };
        }
    };
    if route.kind == RouteKind::BatchJob {
        if parts.method != Method::POST {
            return Err(ResultCode::BadMethod);
        }
        if !takes_job_call(context) {
            return Ok(refuse_request(head, ResultCode::NotReady, Some(OTHER_HOST_RETRY_DELAY)));
        }
        let encoded = match encode_job(context, services, body) {
            Err(ResultCode::HostBusy) => return Ok(code_reply(ResultCode::HostBusy, Some(OTHER_HOST_RETRY_DELAY))),
            encoded => encoded?,
        };
        let job = head.request_id.clone();
        let caller_host = head.host.clone();
        // A job belongs to the organisation whose key the caller sent, also where none is needed: reads bring that key.
        let key_holder = head.key.as_deref().and_then(|key| services.key_holder(key));
        let organisation = organisation.or_else(|| key_holder.map(|rule| rule.name.clone()));
        return Ok(submit_job(context, Submission { job, route, caller_host, organisation, encoded }).await);
    }
    let stream = match find_stream_start(context, route, head).await {
        Ok(stream) => stream,
        Err(code) => return Ok(refuse_request(head, code, Some(OTHER_HOST_RETRY_DELAY))),
    };
    let request = TargetRequest {
        method: parts.method,
        path: head.path_and_query.clone(),
        host: head.host.clone(),
        headers: (context.caller_codec.strip)(&parts.headers),
        request_id: head.request_id.clone(),
        organisation,
        body,
    };
    let admitted_request = RelayRequest {
        request,
        route,
        stream,
        view: context.view(),
        arrived_at,
        patience: head.deadline,
        fingerprint: OnceLock::new(),
    };
    if !context.stop.takes_request(admitted_request.deadline(), boot_time()) {
        return Ok(refuse_request(head, ResultCode::NotReady, Some(OTHER_HOST_RETRY_DELAY)));
    }
    Ok(relay_request(context, admitted_request).await)
}

/// Finds out where the events of a response begin.
///
/// # Errors
///
/// The caller takes a stream up, and it is not known at which software version the stream began.
async fn find_stream_start(
    context: &HostContext,
    route: &RouteRule,
    head: &CallerHead,
) -> Result<StreamStart, ResultCode> {
    if !route.is_resumable {
        return Ok(StreamStart::NotResumable);
    }
    if head.resumes.is_none() && !head.has_last_event {
        return Ok(StreamStart::Begin);
    }
    let found = match &head.resumes {
        Some(first_request) => find_origin(context, first_request).await,
        None => Ok(None),
    };
    let origin_label = match &found {
        Ok(Some(_)) => "known",
        Ok(None) => "unknown",
        Err(_) => "store_failed",
    };
    context.metrics.resumed_streams.with_label_values(&[origin_label]).inc();
    let origin = found.unwrap_or_default();
    log::info!(
        request = head.request_id, first_request:? = head.resumes, origin = origin_label,
        software:? = origin.as_ref().map(|origin| &origin.software);
        "stream_taken_up"
    );
    origin.map(StreamStart::Continue).ok_or(ResultCode::StreamNotResumable)
}
