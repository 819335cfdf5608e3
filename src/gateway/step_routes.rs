//! Step submissions, batch polls and weight releases.
//!
//! The routes check the request and then call a function of [`GatewayDependencies`](super::GatewayDependencies).

use crate::gateway::caller_key::authenticate_admitted;
use crate::gateway::paths::{is_identifier, percent_decode};
use crate::gateway::request_record::RequestRecord;
use crate::gateway::{GatewayResponse, RequestContext};
use crate::generated::caller_messages::{StepRequest, WeightRelease};
use crate::http_server::HttpResponse;
use crate::prelude::*;

/// Upper bound of the `wait_ms` of a batch poll, so that a trainer does not hold a connection without end.
const BATCH_POLL_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn handle_step_submission(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
) -> Result<GatewayResponse, ResultCode> {
    let caller = context.authenticate(record)?;
    let request: StepRequest = serde_json::from_slice(&context.request.body).map_err(|_| ResultCode::BadRequest)?;
    if !is_identifier(&request.trainer) || request.groups.is_empty() {
        return Err(ResultCode::BadRequest);
    }
    let service = context.configuration().service(&request.service).ok_or(ResultCode::NotFound)?;
    record.service.clone_from(&service.name);
    let accepted = (context.gateway.dependencies.submit_step)(&caller.organisation, request)?;
    Ok(GatewayResponse::Whole(HttpResponse::json(200, &accepted)))
}

pub(crate) fn handle_batch_poll(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    trainer: &str,
    step: &str,
) -> Result<GatewayResponse, ResultCode> {
    let caller = authenticate_admitted(&context.view, context.request)?;
    record.organisation.clone_from(&caller.organisation);
    let step: u64 = step.parse().map_err(|_| ResultCode::BadRequest)?;
    if !is_identifier(trainer) {
        return Err(ResultCode::BadRequest);
    }
    let cursor = percent_decode(context.request.query_value("cursor").unwrap_or_default());
    let cursor = cursor.ok_or(ResultCode::BadRequest)?;
    let wait_ms: u64 = match context.request.query_value("wait_ms") {
        Some(wait) => wait.parse().map_err(|_| ResultCode::BadRequest)?,
        None => 0,
    };
    let wait = Duration::from_millis(wait_ms).min(BATCH_POLL_TIMEOUT);
    let batch = (context.gateway.dependencies.next_batch)(&caller.organisation, trainer, step, &cursor, wait)?;
    Ok(GatewayResponse::Whole(HttpResponse::whole(200, "application/json", batch)))
}

pub(crate) fn handle_weight_release(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    service: &str,
) -> Result<GatewayResponse, ResultCode> {
    let caller = context.authenticate(record)?;
    let release: WeightRelease = serde_json::from_slice(&context.request.body).map_err(|_| ResultCode::BadRequest)?;
    let service = context.configuration().service(service).ok_or(ResultCode::NotFound)?;
    record.service.clone_from(&service.name);
    (context.gateway.dependencies.release_weights)(&caller.organisation, &service.name, release.version)?;
    Ok(GatewayResponse::Whole(HttpResponse::json(200, &release)))
}
