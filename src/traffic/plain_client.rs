//! Blocking client of plain services: one exchange with one target.
//!
//! Method, path, query, body and end-to-end headers are kept. Headers that concern one connection, and every header
//! that carries a credential, are removed in both directions.

use ureq::http::{Request, Response};

use crate::http_server::HeaderPair;
use crate::prelude::*;
use crate::traffic::idle_transport::{ExchangeLimits, StopCheck, TargetExchange, is_stopped};

/// Largest answer of a plain service in bytes.
pub const ANSWER_LIMIT: u64 = 4 * 1024 * 1024;

/// Prefix of every key, by which a key in another header than `authorization` is found.
const KEY_PREFIX: &str = "cs_";

/// Headers that are not forwarded: those of one connection, those set by this host, and credentials.
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

/// Request to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainRequest {
    /// Method.
    pub method: String,
    /// Path and query as received.
    pub path_and_query: String,
    /// Headers that are forwarded.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Vec<u8>,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// Status.
    pub status: u16,
    /// Headers that are forwarded.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a plain service gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainError {
    /// No byte of the request left this host.
    NotSent,
    /// The connection ended without a whole answer.
    NoAnswer,
    /// The answer did not come in time.
    Timeout,
    /// The answer is larger than [`ANSWER_LIMIT`].
    TooLarge,
    /// The stop check ended the exchange.
    Stopped,
}

impl PlainError {
    /// Name used in log lines.
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

/// Headers without those that must not be forwarded.
#[must_use]
pub fn forwarded_headers(headers: &[HeaderPair]) -> Vec<HeaderPair> {
    let connection_values = headers.iter().filter(|pair| pair.name == "connection").map(|pair| pair.value.as_str());
    let named: Vec<String> =
        connection_values.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect();
    headers.iter().filter(|pair| is_forwarded(pair, &named)).cloned().collect()
}

fn is_forwarded(pair: &HeaderPair, named: &[String]) -> bool {
    DROPPED_HEADERS.binary_search(&pair.name.as_str()).is_err()
        && !named.contains(&pair.name)
        && !pair.value.contains(KEY_PREFIX)
}

/// Sends a request once and reads the whole answer.
///
/// # Errors
///
/// There is no whole answer; only [`PlainError::NotSent`] says that the target did not run the request.
pub fn send_plain(
    address: &str,
    request: &PlainRequest,
    limit: Duration,
    stop: StopCheck,
) -> Result<PlainAnswer, PlainError> {
    let exchange = TargetExchange::new(ExchangeLimits { idle: limit, total: Some(limit), stop });
    let fault = |error: &ureq::Error| {
        if exchange.is_sent() { sent_fault(error) } else { PlainError::NotSent }
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
    let mut response = response.map_err(|error| fault(&error))?;
    let body = response.body_mut().with_config().limit(ANSWER_LIMIT).read_to_vec().map_err(|error| fault(&error))?;
    Ok(PlainAnswer { status: response.status().as_u16(), headers: answer_headers(&response), body })
}

fn answer_headers(response: &Response<ureq::Body>) -> Vec<HeaderPair> {
    let pairs = response.headers().iter().map(|(name, value)| HeaderPair {
        name: name.as_str().to_owned(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    forwarded_headers(&pairs.collect::<Vec<_>>())
}

fn sent_fault(error: &ureq::Error) -> PlainError {
    match error {
        error if is_stopped(error) => PlainError::Stopped,
        ureq::Error::Timeout(_) => PlainError::Timeout,
        ureq::Error::BodyExceedsLimit(_) => PlainError::TooLarge,
        _ => PlainError::NoAnswer,
    }
}
