//! Decides what the head of a target's response means for the request that it follows.
//!
//! All readers of targets' responses use [`classify_response`]: requests of callers, items of batch jobs, gradings, and
//! requests of other hosts. A connection may carry bytes that only look like a response, and a response to another request may
//! arrive late. A success therefore counts only with the signature of its target.

use hyper::header::CONTENT_ENCODING;
use hyper::{StatusCode, http};

use crate::relay::target_codec::TargetHead;

/// What the head of a response means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The target ran the request; its answer is complete at the end of the body.
    Success,
    /// The target reports an error, and may have run the request. The response need not have a signature.
    Failure,
    /// The target did not run the request.
    Refusal,
    /// The request was meant for another target or another version of the weights, and was not run.
    Misdirection,
    /// The response is no answer to the request, or claims more than it proves; the target may have run the request.
    Invalid,
}

/// Classifies the head of a response to the request with this id; `is_reused` says whether its connection was used before.
#[must_use]
pub fn classify_response(
    head: &http::response::Parts,
    target_head: &TargetHead,
    request_id: &str,
    is_reused: bool,
) -> ResponseKind {
    let status = head.status;
    if !target_head.answers(request_id, is_reused) || !is_final_status(status) {
        return ResponseKind::Invalid;
    }
    if target_head.is_misdirected {
        return ResponseKind::Misdirection;
    }
    let is_error = status.is_client_error() || status.is_server_error();
    if target_head.is_not_run {
        return if is_error { ResponseKind::Refusal } else { ResponseKind::Invalid };
    }
    // Requests ask for no encoding, so that an encoded body is not the one that the target sent.
    if head.headers.contains_key(CONTENT_ENCODING) || promises_no_run(status) {
        return ResponseKind::Invalid;
    }
    match (status.is_success(), target_head.stamp.is_some()) {
        (true, true) => ResponseKind::Success,
        (true, false) => ResponseKind::Invalid,
        (false, _) => ResponseKind::Failure,
    }
}

/// Whether HTTP has final responses with this status; a status line may hold any three digits.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether callers take a response with this status as a promise that the request has not run and never will.
fn promises_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
