//! Configured routes to plain services, which are all services but model engines.
//!
//! Concurrent equal requests to a repeatable route share a run. Requests to other routes run under an idempotency
//! claim.

use crate::gateway::caller_key::{Caller, bearer_key, check_leaks};
use crate::gateway::claimed_routes::handle_claimed_request;
use crate::gateway::completions::{READER_POLL_INTERVAL, RUN_STACK_BYTES, build_shared_run_stop};
use crate::gateway::event_stream::CLIENT_CLOSED_STATUS;
use crate::gateway::request_record::RequestRecord;
use crate::gateway::{Gateway, GatewayResponse, RequestContext, check_dependencies};
use crate::generated::services_text::RouteEntry;
use crate::http_server::{HttpResponse, ReplyBody};
use crate::prelude::*;
use crate::traffic::coalescing::{JoinedRun, RunKey, RunReadResult, RunReader, SharedRunTable, run_key};
use crate::traffic::plain_client::{PlainAnswer, PlainRequest, forwarded_headers};
use crate::traffic::plain_runner::{PlainRun, run_plain};

/// Runs of repeatable requests in progress, which equal requests may join. Such a run has a result but no pieces.
pub(crate) type PlainRunTable = SharedRunTable<(), PlainAnswer>;

/// HTTP methods that are forwarded; a request with another method is refused.
const FORWARDED_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

pub(crate) fn handle_route_request(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
) -> Result<GatewayResponse, ResultCode> {
    let route = context.configuration().route_of_path(&context.path).ok_or(ResultCode::NotFound)?;
    if !FORWARDED_METHODS.contains(&context.request.method.as_str()) {
        return Err(ResultCode::BadMethod);
    }
    record.service.clone_from(&route.service);
    // An open route needs no key; a key that is sent anyway must not reach the target.
    let caller = if route.open {
        bearer_key(context.request).map_or(Ok(()), |key| check_leaks(context.request, key))?;
        None
    } else {
        Some(context.authenticate(record)?)
    };
    check_dependencies(context.configuration(), &route.service)?;
    let route_timeout = Duration::from_millis(route.timeout_ms.into());
    let deadline = context.deadline(route_timeout)?.min(context.now + route_timeout);
    let run = build_run(context, route, caller.as_ref(), route_timeout)?;
    if !route.repeatable {
        return handle_claimed_request(context, record, &run, caller.as_ref().map(|caller| &caller.key_id));
    }
    let key = build_run_key(route, &run);
    let reader = join_run(context.gateway, key, run, deadline)?;
    let answer = wait_for_answer(context, record, reader, caller.as_ref(), deadline)?;
    Ok(GatewayResponse::Whole(build_plain_reply(answer)))
}

fn build_run(
    context: &RequestContext<'_>,
    route: &RouteEntry,
    caller: Option<&Caller>,
    route_timeout: Duration,
) -> Result<PlainRun, ResultCode> {
    let request = context.request;
    // HTTP defines no meaning for a body on these methods, and targets differ in whether they read it.
    if !request.body.is_empty() && matches!(request.method.as_str(), "GET" | "HEAD") {
        return Err(ResultCode::BadRequest);
    }
    let query = if request.query.is_empty() { String::new() } else { format!("?{}", request.query) };
    Ok(PlainRun {
        // The run has its own id, since several requests can share it.
        request_id: context.gateway.new_request_id(&context.view),
        organisation: caller.map(|caller| caller.organisation.clone()).unwrap_or_default(),
        service: route.service.clone(),
        answer_limit: route_timeout,
        is_repeatable: route.repeatable,
        request: PlainRequest {
            method: request.method.clone(),
            path_and_query: format!("{}{query}", request.path),
            headers: forwarded_headers(&request.headers),
            body: request.body.clone(),
        },
    })
}

/// Builds the key by which equal requests share a run: organisation, route and all that the target gets, without the
/// request and trace ids, which differ in each request.
fn build_run_key(route: &RouteEntry, run: &PlainRun) -> RunKey {
    let mut fields: Vec<&[u8]> = vec![
        run.organisation.as_bytes(),
        route.path.as_bytes(),
        run.request.method.as_bytes(),
        run.request.path_and_query.as_bytes(),
        &run.request.body,
    ];
    let headers = run.request.headers.iter();
    let headers = headers.filter(|pair| !matches!(pair.name.as_str(), "x-request-id" | "traceparent" | "tracestate"));
    fields.extend(headers.flat_map(|pair| [pair.name.as_bytes(), pair.value.as_bytes()]));
    run_key(&fields)
}

fn join_run(
    gateway: &Arc<Gateway>,
    key: RunKey,
    run: PlainRun,
    deadline: BootTime,
) -> Result<RunReader<(), PlainAnswer>, ResultCode> {
    let JoinedRun { reader, writer } = gateway.plain_runs.join(key, deadline);
    if let Some(writer) = writer {
        let gateway = Arc::clone(gateway);
        let thread = std::thread::Builder::new().name("page".to_owned()).stack_size(RUN_STACK_BYTES);
        let run_shared = move || {
            let stop = build_shared_run_stop(&gateway, &writer);
            writer.finish(run_plain(&gateway.dependencies.engine, &run, &stop).map_err(|end| end.code));
        };
        thread.spawn(run_shared).map_err(|_| ResultCode::HostBusy)?;
    }
    Ok(reader)
}

/// Time that a reader waits beyond its deadline, so that a run with the same deadline can report its own result code.
const RESULT_MARGIN: Duration = Duration::from_millis(500);

fn wait_for_answer(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    mut reader: RunReader<(), PlainAnswer>,
    caller: Option<&Caller>,
    deadline: BootTime,
) -> Result<PlainAnswer, ResultCode> {
    loop {
        if let RunReadResult::Finished(result) = reader.read_next(READER_POLL_INTERVAL) {
            return result;
        }
        let view = context.gateway.view();
        if caller.is_some_and(|caller| view.is_withdrawn(&caller.key_id)) {
            return Err(ResultCode::StreamWithdrawn);
        }
        if context.request.is_abandoned() {
            record.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
            // The connection is closed, so this code reaches nobody.
            return Err(ResultCode::TargetTimeout);
        }
        if context.gateway.now() >= deadline + RESULT_MARGIN {
            return Err(ResultCode::TargetTimeout);
        }
    }
}

pub(crate) fn build_plain_reply(answer: PlainAnswer) -> HttpResponse {
    HttpResponse { status: answer.status, headers: answer.headers, body: ReplyBody::Whole(answer.body) }
}
