//! Declared routes of plain services.

use crate::gateway::caller_key::{Caller, bearer_key, check_leaks};
use crate::gateway::claimed_routes::answer_claimed;
use crate::gateway::completions::{READER_CHECK, RUN_STACK, shared_stop};
use crate::gateway::event_stream::CLIENT_CLOSED_STATUS;
use crate::gateway::request_trace::RequestTrace;
use crate::gateway::{Answered, Gateway, RequestContext, check_dependencies};
use crate::generated::services_text::RouteEntry;
use crate::http_server::{HttpReply, ReplyBody};
use crate::prelude::*;
use crate::traffic::coalescing::{JoinedRun, RunKey, RunReadResult, RunReader, SharedRunTable, run_key};
use crate::traffic::plain_client::{PlainAnswer, PlainRequest, forwarded_headers};
use crate::traffic::plain_runner::{PlainRun, run_plain};

/// Page requests that may be joined. A page has no pieces.
pub(crate) type PlainRunTable = SharedRunTable<(), PlainAnswer>;

/// Methods that are forwarded.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

pub(crate) fn answer_route(context: &RequestContext<'_>, trace: &mut RequestTrace) -> Result<Answered, ResultCode> {
    let route = context.configuration().route_of_path(&context.path).ok_or(ResultCode::NotFound)?;
    if !METHODS.contains(&context.request.method.as_str()) {
        return Err(ResultCode::BadMethod);
    }
    trace.service.clone_from(&route.service);
    let caller = if route.open {
        bearer_key(context.request).map_or(Ok(()), |key| check_leaks(context.request, key))?;
        None
    } else {
        Some(context.authenticate(trace)?)
    };
    check_dependencies(context.configuration(), &route.service)?;
    let answer_limit = Duration::from_millis(route.timeout_ms.into());
    let deadline = context.deadline(answer_limit)?.min(context.now + answer_limit);
    let run = plain_run(context, route, caller.as_ref(), answer_limit)?;
    if !route.repeatable {
        return answer_claimed(context, trace, &run, caller.as_ref().map(|caller| &caller.key_id));
    }
    let key = page_key(route, &run);
    let reader = join_run(context.gateway, key, run, deadline)?;
    let answer = wait_for_page(context, trace, reader, caller.as_ref(), deadline)?;
    Ok(Answered::Whole(plain_reply(answer)))
}

fn plain_run(
    context: &RequestContext<'_>,
    route: &RouteEntry,
    caller: Option<&Caller>,
    answer_limit: Duration,
) -> Result<PlainRun, ResultCode> {
    let request = context.request;
    // A body on these methods has no defined meaning, and targets differ in whether they read it.
    if !request.body.is_empty() && matches!(request.method.as_str(), "GET" | "HEAD") {
        return Err(ResultCode::BadRequest);
    }
    let query = if request.query.is_empty() { String::new() } else { format!("?{}", request.query) };
    Ok(PlainRun {
        request_id: context.gateway.new_id(&context.view),
        organisation: caller.map(|caller| caller.organisation.clone()).unwrap_or_default(),
        service: route.service.clone(),
        answer_limit,
        is_repeatable: route.repeatable,
        request: PlainRequest {
            method: request.method.clone(),
            path_and_query: format!("{}{query}", request.path),
            headers: forwarded_headers(&request.headers),
            body: request.body.clone(),
        },
    })
}

/// Key of a page: everything that reaches the target, except ids that differ by request.
fn page_key(route: &RouteEntry, run: &PlainRun) -> RunKey {
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
    let JoinedRun { reader, writer } = gateway.pages.join(key, deadline);
    if let Some(writer) = writer {
        let gateway = Arc::clone(gateway);
        let thread = std::thread::Builder::new().name("page".to_owned()).stack_size(RUN_STACK);
        let carry = move || {
            let stop = shared_stop(&gateway, &writer);
            writer.finish(run_plain(&gateway.parts.engine, &run, &stop).map_err(|end| end.code));
        };
        thread.spawn(carry).map_err(|_| ResultCode::HostBusy)?;
    }
    Ok(reader)
}

/// Time after the deadline in which the run itself says how it ended.
const RESULT_GRACE: Duration = Duration::from_millis(500);

fn wait_for_page(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    mut reader: RunReader<(), PlainAnswer>,
    caller: Option<&Caller>,
    deadline: BootTime,
) -> Result<PlainAnswer, ResultCode> {
    loop {
        if let RunReadResult::Finished(result) = reader.next_step(READER_CHECK) {
            return result;
        }
        let view = context.gateway.view();
        if caller.is_some_and(|caller| view.is_withdrawn(&caller.key_id)) {
            return Err(ResultCode::StreamWithdrawn);
        }
        if context.request.is_abandoned() {
            trace.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
            return Err(ResultCode::TargetTimeout);
        }
        if context.gateway.now() >= deadline + RESULT_GRACE {
            return Err(ResultCode::TargetTimeout);
        }
    }
}

pub(crate) fn plain_reply(answer: PlainAnswer) -> HttpReply {
    HttpReply { status: answer.status, headers: answer.headers, body: ReplyBody::Whole(answer.body) }
}
