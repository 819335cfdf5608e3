//! Routes whose requests may not be repeated, and the outcome of such a request.

use sha2::{Digest, Sha256};

use crate::gateway::plain_routes::plain_reply;
use crate::gateway::request_trace::RequestTrace;
use crate::gateway::{Answered, DEADLINE_LIMIT, RequestContext};
use crate::generated::caller_messages::{RequestOutcome, RequestOutcomeState};
use crate::http_server::{HeaderPair, HttpReply, HttpRequest};
use crate::peer::frame_codec::to_hex;
use crate::prelude::*;
use crate::traffic::claim_state::{ClaimState, SendOutcome, StoredAnswer, StoredHeader};
use crate::traffic::claim_store::ClaimRequest;
use crate::traffic::engine_runner::run_stop;
use crate::traffic::plain_client::PlainAnswer;
use crate::traffic::plain_runner::{PlainRun, run_plain};

/// Longest idempotency key in bytes.
const KEY_LIMIT: usize = 255;

pub(crate) fn answer_claimed(
    context: &RequestContext<'_>,
    trace: &RequestTrace,
    run: &PlainRun,
    key_id: Option<&KeyId>,
) -> Result<Answered, ResultCode> {
    let key = context.request.header("idempotency-key").ok_or(ResultCode::ClaimMissing)?;
    if !is_idempotency_key(key) {
        return Err(ResultCode::BadRequest);
    }
    let request = ClaimRequest {
        organisation: run.organisation.clone(),
        idempotency_key: key.to_owned(),
        body_hash: body_hash(context.request),
        answer_limit: run.answer_limit,
    };
    log::info!(
        request_id = trace.request_id.as_str(), run_id = run.request_id.as_str(),
        organisation = run.organisation.as_str(), idempotency_key = key;
        "claim_started"
    );
    let answer = context.gateway.parts.claims.run(&request, &mut || run_claimed(context, run, key_id.cloned()))?;
    Ok(Answered::Whole(stored_reply(&answer)))
}

fn is_idempotency_key(key: &str) -> bool {
    (1..=KEY_LIMIT).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Digest of what the target would get; a key that comes back with something else is a mistake of the caller.
fn body_hash(request: &HttpRequest) -> String {
    let mut digest = Sha256::new();
    for field in [request.method.as_bytes(), request.path.as_bytes(), request.query.as_bytes(), &request.body] {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    to_hex(&digest.finalize())
}

fn run_claimed(context: &RequestContext<'_>, run: &PlainRun, key_id: Option<KeyId>) -> SendOutcome {
    let engine = &context.gateway.parts.engine;
    // Counted from here: a slow store must not use up the time that the target has.
    let limit = context.gateway.now() + run.answer_limit;
    let named = context.deadline(DEADLINE_LIMIT).unwrap_or(limit);
    let deadline = limit.min(named);
    let stop = run_stop(engine, key_id, Arc::new(move || deadline));
    match run_plain(engine, run, &stop) {
        Ok(answer) => SendOutcome::Answered(stored_answer(answer)),
        Err(end) if end.is_sent => SendOutcome::NoAnswer,
        Err(end) => SendOutcome::NotSent(end.code),
    }
}

fn stored_answer(answer: PlainAnswer) -> StoredAnswer {
    let headers = answer.headers.into_iter().map(|pair| StoredHeader { name: pair.name, value: pair.value });
    let (body, is_hex) = match String::from_utf8(answer.body) {
        Ok(text) => (text, false),
        Err(error) => (to_hex(error.as_bytes()), true),
    };
    StoredAnswer { status: answer.status, headers: headers.collect(), body, is_hex }
}

fn stored_reply(answer: &StoredAnswer) -> HttpReply {
    let headers = answer.headers.iter();
    let headers = headers.map(|header| HeaderPair { name: header.name.clone(), value: header.value.clone() });
    let body = if answer.is_hex { from_hexadecimal(&answer.body) } else { answer.body.clone().into_bytes() };
    plain_reply(PlainAnswer { status: answer.status, headers: headers.collect(), body })
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks_exact(2);
    pairs.filter_map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// Outcome of the claim with this idempotency key, for its own organisation only.
pub(crate) fn answer_outcome(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    key: &str,
) -> Result<Answered, ResultCode> {
    let caller = context.authenticate(trace)?;
    if !is_idempotency_key(key) {
        return Err(ResultCode::BadRequest);
    }
    let row = context.gateway.parts.claims.outcome(&caller.organisation, key)?.ok_or(ResultCode::NotFound)?;
    let state = match row.state {
        ClaimState::Claimed => RequestOutcomeState::Running,
        ClaimState::Done => RequestOutcomeState::Done,
        ClaimState::Unknown | ClaimState::Void => RequestOutcomeState::Unknown,
    };
    let (status, body) = row.answer.map(|answer| (answer.status, answer.body)).unzip();
    let outcome = RequestOutcome { request_id: key.to_owned(), state, status, body };
    Ok(Answered::Whole(HttpReply::json(200, &outcome)))
}
