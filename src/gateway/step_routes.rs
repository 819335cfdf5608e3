//! Steps, batches and weights: checks of the request, then the functions of `samples`.

use crate::gateway::caller_key::authenticate_admitted;
use crate::gateway::paths::{is_token, percent_decode};
use crate::gateway::request_trace::RequestTrace;
use crate::gateway::{Answered, RequestContext};
use crate::generated::caller_messages::{StepRequest, WeightRelease};
use crate::http_server::HttpReply;
use crate::prelude::*;

/// Longest wait for a batch that a caller may ask for; its connection must not be held for ever.
const BATCH_WAIT_LIMIT: Duration = Duration::from_secs(30);

pub(crate) fn answer_submit(context: &RequestContext<'_>, trace: &mut RequestTrace) -> Result<Answered, ResultCode> {
    let caller = context.authenticate(trace)?;
    let request: StepRequest = serde_json::from_slice(&context.request.body).map_err(|_| ResultCode::BadRequest)?;
    if !is_token(&request.trainer) || request.groups.is_empty() {
        return Err(ResultCode::BadRequest);
    }
    let service = context.configuration().service(&request.service).ok_or(ResultCode::NotFound)?;
    trace.service.clone_from(&service.name);
    let accepted = (context.gateway.parts.submit_step)(&caller.organisation, request)?;
    Ok(Answered::Whole(HttpReply::json(200, &accepted)))
}

pub(crate) fn answer_batch(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    trainer: &str,
    step: &str,
) -> Result<Answered, ResultCode> {
    let caller = authenticate_admitted(&context.view, context.request)?;
    trace.organisation.clone_from(&caller.organisation);
    let step: u64 = step.parse().map_err(|_| ResultCode::BadRequest)?;
    if !is_token(trainer) {
        return Err(ResultCode::BadRequest);
    }
    let cursor = percent_decode(context.request.query_value("cursor").unwrap_or_default());
    let cursor = cursor.ok_or(ResultCode::BadRequest)?;
    let wait: u64 = match context.request.query_value("wait_ms") {
        Some(wait) => wait.parse().map_err(|_| ResultCode::BadRequest)?,
        None => 0,
    };
    let wait = Duration::from_millis(wait).min(BATCH_WAIT_LIMIT);
    let batch = (context.gateway.parts.next_batch)(&caller.organisation, trainer, step, &cursor, wait)?;
    Ok(Answered::Whole(HttpReply::whole(200, "application/json", batch)))
}

pub(crate) fn answer_release(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    service: &str,
) -> Result<Answered, ResultCode> {
    let caller = context.authenticate(trace)?;
    let release: WeightRelease = serde_json::from_slice(&context.request.body).map_err(|_| ResultCode::BadRequest)?;
    let service = context.configuration().service(service).ok_or(ResultCode::NotFound)?;
    trace.service.clone_from(&service.name);
    (context.gateway.parts.release_weights)(&caller.organisation, &service.name, release.version)?;
    Ok(Answered::Whole(HttpReply::json(200, &release)))
}
