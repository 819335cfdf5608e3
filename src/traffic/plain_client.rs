//! Blocking client of plain services, the HTTP services that are not model engines: one exchange with one target.
//!
//! The method, path, query and body of a request reach the target unchanged. Headers that concern one connection, that
//! this host sets or evaluates, or that carry a credential are removed from requests and responses.

use ureq::http::{Request, Response};

use crate::http_server::HeaderPair;
use crate::prelude::*;
use crate::relay::target_response::is_final_status;
use crate::traffic::idle_transport::{ExchangeLimits, StopCheck, TargetExchange, is_stopped};

/// Maximum size of the response body of a plain service.
pub const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Prefix of every key. A header whose value contains the prefix may carry a key and is not forwarded.
const KEY_PREFIX: &str = "cs_";

/// Headers that are not forwarded: headers of one connection, headers that this host sets or evaluates, and
/// credentials. The names are sorted for the binary search.
const DROPPED_HEADERS: [&str; 20] = [
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "cookie2",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "set-cookie",
    "set-cookie2",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-deadline-ms",
    "x-request-id",
];

/// Request as sent to a target of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRequest {
    /// HTTP method; methods outside the standard are allowed.
    pub method: String,
    /// Path and query as received from the caller.
    pub path_and_query: String,
    /// Headers to send; the caller's headers pass [`forwarded_headers`] first.
    pub headers: Vec<HeaderPair>,
    /// Request body; empty to send no body.
    pub body: Vec<u8>,
}

/// Whole response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status from 200 to 599; any of these counts as a response.
    pub status: u16,
    /// Response headers that passed [`forwarded_headers`].
    pub headers: Vec<HeaderPair>,
    /// Response body, at most [`MAX_RESPONSE_BYTES`] long.
    pub body: Vec<u8>,
}

/// Why a plain service gave no whole response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainError {
    /// No byte of the request left this host.
    NotSent,
    /// The connection failed or closed before the response was complete, or its status is none of HTTP.
    NoAnswer,
    /// The response was not complete within the time limit.
    Timeout,
    /// The response body is larger than [`MAX_RESPONSE_BYTES`].
    TooLarge,
    /// The stop check ended the exchange after a byte of the request was sent.
    Stopped,
}

impl PlainError {
    /// Value of the `fault` key in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NoAnswer => "no_answer",
            Self::Timeout => "timeout",
            Self::TooLarge => "too_large",
            Self::Stopped => "stopped",
        }
    }
}

/// Returns the headers that may be forwarded. Removed are a fixed list of names, the names that a `connection` header
/// lists, and headers whose value contains the prefix of a key.
#[must_use]
pub fn forwarded_headers(headers: &[HeaderPair]) -> Vec<HeaderPair> {
    let connection_values = headers.iter().filter(|pair| pair.name == "connection").map(|pair| pair.value.as_str());
    let connection_headers: Vec<String> =
        connection_values.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect();
    headers.iter().filter(|pair| is_forwarded(pair, &connection_headers)).cloned().collect()
}

fn is_forwarded(pair: &HeaderPair, connection_headers: &[String]) -> bool {
    DROPPED_HEADERS.binary_search(&pair.name.as_str()).is_err()
        && !connection_headers.contains(&pair.name)
        && !pair.value.contains(KEY_PREFIX)
}

/// Sends a request once and reads the whole response within `timeout`.
///
/// # Errors
///
/// See [`PlainError`]. Only [`PlainError::NotSent`] means that the target certainly did not run the request; a request
/// that cannot be encoded is also `NotSent`.
pub fn send_plain(
    address: &str,
    request: &PlainRequest,
    timeout: Duration,
    stop: StopCheck,
) -> Result<PlainAnswer, PlainError> {
    let exchange = TargetExchange::new(ExchangeLimits { idle: timeout, total: Some(timeout), stop });
    let classify_error = |error: &ureq::Error| {
        if exchange.is_sent() { classify_sent_error(error) } else { PlainError::NotSent }
    };
    let url = format!("http://{address}{}", request.path_and_query);
    let mut builder = Request::builder().method(request.method.as_str()).uri(url);
    for pair in &request.headers {
        builder = builder.header(&pair.name, &pair.value);
    }
    let response = if request.body.is_empty() {
        let request = builder.body(()).map_err(|_| PlainError::NotSent)?;
        exchange.agent.run(request)
    } else {
        let request = builder.body(request.body.as_slice()).map_err(|_| PlainError::NotSent)?;
        exchange.agent.run(request)
    };
    let mut response = response.map_err(|error| classify_error(&error))?;
    if !is_final_status(response.status()) {
        return Err(PlainError::NoAnswer);
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_vec()
        .map_err(|error| classify_error(&error))?;
    Ok(PlainAnswer { status: response.status().as_u16(), headers: response_headers(&response), body })
}

fn response_headers(response: &Response<ureq::Body>) -> Vec<HeaderPair> {
    let pairs = response.headers().iter().map(|(name, value)| HeaderPair {
        name: name.as_str().to_owned(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    forwarded_headers(&pairs.collect::<Vec<_>>())
}

fn classify_sent_error(error: &ureq::Error) -> PlainError {
    match error {
        error if is_stopped(error) => PlainError::Stopped,
        ureq::Error::Timeout(_) => PlainError::Timeout,
        ureq::Error::BodyExceedsLimit(_) => PlainError::TooLarge,
        _ => PlainError::NoAnswer,
    }
}
