//! Requests to routes that are not repeatable, which run at most once under an idempotency claim, and the query for the
//! outcome of such a request.

use sha2::{Digest, Sha256};

use crate::gateway::plain_routes::build_plain_reply;
use crate::gateway::request_record::RequestRecord;
use crate::gateway::{GatewayResponse, MAX_REQUEST_TIMEOUT, RequestContext};
use crate::generated::caller_messages::{RequestOutcome, RequestOutcomeState};
use crate::http_server::{HeaderPair, HttpRequest, HttpResponse};
use crate::peer::frame_codec::format_hex;
use crate::prelude::*;
use crate::traffic::claim_state::{ClaimState, SendOutcome, StoredAnswer, StoredHeader};
use crate::traffic::claim_store::ClaimRequest;
use crate::traffic::engine_runner::run_stop;
use crate::traffic::plain_client::PlainAnswer;
use crate::traffic::plain_runner::{PlainRun, run_plain};

/// Longest idempotency key that is accepted, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

pub(crate) fn handle_claimed_request(
    context: &RequestContext<'_>,
    record: &RequestRecord,
    run: &PlainRun,
    key_id: Option<&KeyId>,
) -> Result<GatewayResponse, ResultCode> {
    let idempotency_key = context.request.header("idempotency-key").ok_or(ResultCode::ClaimMissing)?;
    if !is_idempotency_key(idempotency_key) {
        return Err(ResultCode::BadRequest);
    }
    let request = ClaimRequest {
        organisation: run.organisation.clone(),
        idempotency_key: idempotency_key.to_owned(),
        body_hash: hash_request(context.request),
        answer_limit: run.answer_limit,
    };
    // Logged before the claim is written, also when an earlier request has the same idempotency key.
    log::info!(
        request_id = record.request_id.as_str(), run_id = run.request_id.as_str(),
        organisation = run.organisation.as_str(), idempotency_key = idempotency_key;
        "claim_started"
    );
    let answer =
        context.gateway.dependencies.claims.run(&request, &mut || run_claimed(context, run, key_id.cloned()))?;
    Ok(GatewayResponse::Whole(build_stored_reply(&answer)))
}

fn is_idempotency_key(key: &str) -> bool {
    (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// SHA-256 of method, path, query and body. An idempotency key that is used again with another digest is an error of
/// the caller.
fn hash_request(request: &HttpRequest) -> String {
    let mut digest = Sha256::new();
    for field in [request.method.as_bytes(), request.path.as_bytes(), request.query.as_bytes(), &request.body] {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    format_hex(&digest.finalize())
}

fn run_claimed(context: &RequestContext<'_>, run: &PlainRun, key_id: Option<KeyId>) -> SendOutcome {
    let engine = &context.gateway.dependencies.engine;
    // The timeout of the route starts after the claim, so that a slow store does not use up the time of the target.
    let route_deadline = context.gateway.now() + run.answer_limit;
    // A malformed header was refused before, so the fallback is not used.
    let caller_deadline = context.deadline(MAX_REQUEST_TIMEOUT).unwrap_or(route_deadline);
    let deadline = route_deadline.min(caller_deadline);
    let stop = run_stop(engine, key_id, Arc::new(move || deadline));
    match run_plain(engine, run, &stop) {
        Ok(answer) => SendOutcome::Answered(into_stored_answer(answer)),
        Err(end) if end.is_sent => SendOutcome::NoAnswer,
        Err(end) => SendOutcome::NotSent(end.code),
    }
}

fn into_stored_answer(answer: PlainAnswer) -> StoredAnswer {
    let headers = answer.headers.into_iter().map(|pair| StoredHeader { name: pair.name, value: pair.value });
    let (body, is_hex) = match String::from_utf8(answer.body) {
        Ok(text) => (text, false),
        Err(error) => (format_hex(error.as_bytes()), true),
    };
    StoredAnswer { status: answer.status, headers: headers.collect(), body, is_hex }
}

fn build_stored_reply(answer: &StoredAnswer) -> HttpResponse {
    let headers = answer.headers.iter();
    let headers = headers.map(|header| HeaderPair { name: header.name.clone(), value: header.value.clone() });
    let body = if answer.is_hex { decode_hex(&answer.body) } else { answer.body.clone().into_bytes() };
    build_plain_reply(PlainAnswer { status: answer.status, headers: headers.collect(), body })
}

fn decode_hex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks_exact(2);
    pairs.filter_map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// Returns the outcome of the request with this idempotency key; only requests of the caller's organisation are found.
pub(crate) fn handle_outcome_query(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    idempotency_key: &str,
) -> Result<GatewayResponse, ResultCode> {
    let caller = context.authenticate(record)?;
    if !is_idempotency_key(idempotency_key) {
        return Err(ResultCode::BadRequest);
    }
    let row = context
        .gateway
        .dependencies
        .claims
        .outcome(&caller.organisation, idempotency_key)?
        .ok_or(ResultCode::NotFound)?;
    // `outcome` returns no row in state `Void`.
    let state = match row.state {
        ClaimState::Claimed => RequestOutcomeState::Running,
        ClaimState::Done => RequestOutcomeState::Done,
        ClaimState::Unknown | ClaimState::Void => RequestOutcomeState::Unknown,
    };
    let (status, body) = row.answer.map(|answer| (answer.status, answer.body)).unzip();
    // The caller's interface names the idempotency key `request_id` here.
    let outcome = RequestOutcome { request_id: idempotency_key.to_owned(), state, status, body };
    Ok(GatewayResponse::Whole(HttpResponse::json(200, &outcome)))
}
