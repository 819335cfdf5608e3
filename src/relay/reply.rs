//! Body type of responses, and builders of the responses that this program generates itself.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::prelude::*;

/// Error of a body that broke off before its end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response, either known as a whole or streamed.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Body whose bytes are all in memory, in contrast to a streamed one.
#[must_use]
pub fn whole_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Response with the status, number and message of a result code.
///
/// `retry_after` becomes the `Retry-After` header, in seconds with two decimals; `None` leaves the header out.
#[must_use]
pub fn code_reply(code: ResultCode, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let entry = code.entry();
    let text = format!("{{\"code\":{},\"message\":\"{}\"}}", entry.number, entry.message);
    let mut response = json_reply(StatusCode::OK, Bytes::from(text));
    *response.status_mut() = StatusCode::from_u16(entry.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let seconds = retry_after.map(|delay| format!("{:.2}", delay.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Response with a text body, marked as the Prometheus text format.
#[must_use]
pub fn text_reply(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = json_reply(status, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    response
}

/// Response with a body that is already encoded as JSON.
#[must_use]
pub fn json_reply(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
