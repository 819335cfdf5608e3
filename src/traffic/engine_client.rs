//! Blocking client of an engine: token streams, cancellation, export and import of KV caches.
//!
//! Only the fields of [`EngineRequest`] leave the host; the caller's headers, and with them its key, never do.

use std::io::{BufRead, BufReader, ErrorKind};

use serde::{Deserialize, Serialize};
use ureq::{Body, BodyReader, http::Response};

use crate::generated::engine_messages::{EnginePiece, EngineRequest};
use crate::prelude::*;
use crate::store_client::{encode_key, http_agent};
use crate::traffic::idle_transport::{ExchangeLimits, StopCheck, TargetExchange, is_stopped};

/// Largest line of a token stream in bytes.
const LINE_LIMIT: usize = 64 * 1024;

/// Largest token stream in bytes.
const STREAM_LIMIT: u64 = 64 * 1024 * 1024;

/// Longest time of a cancel, export or import call. A resumption waits for an export, so it is short.
const SIDE_CALL_LIMIT: Duration = Duration::from_secs(1);

/// Largest answer to an export or import call in bytes.
const SIDE_ANSWER_LIMIT: u64 = 16 * 1024;

/// Why an engine gave no further piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineError {
    /// No connection was made.
    NotSent,
    /// The engine refused with this HTTP status.
    Refused(u16),
    /// The engine was silent for [`ENGINE_IDLE_LIMIT`].
    Idle,
    /// The connection ended before the stream did.
    Broken,
    /// The engine sent something that cannot be used.
    Malformed,
    /// The stop check ended the exchange.
    Stopped,
}

impl EngineError {
    /// Name used in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused(_) => "refused",
            Self::Idle => "idle",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Stopped => "stopped",
        }
    }
}

/// A token stream that is being read.
pub struct EngineStream {
    reader: BufReader<BodyReader<'static>>,
}

/// Sends a completion request and gives its stream.
///
/// # Errors
///
/// The engine gave no stream.
pub fn open_stream(address: &str, request: &EngineRequest, stop: StopCheck) -> Result<EngineStream, EngineError> {
    let exchange = TargetExchange::new(ExchangeLimits { idle: ENGINE_IDLE_LIMIT, total: None, stop });
    let response = exchange.agent.post(format!("http://{address}/v1/completions")).send_json(request);
    let response = response.map_err(|error| open_fault(&error, &exchange))?;
    match response.status().as_u16() {
        200 => Ok(EngineStream { reader: bounded_reader(response) }),
        status => Err(EngineError::Refused(status)),
    }
}

fn bounded_reader(response: Response<Body>) -> BufReader<BodyReader<'static>> {
    let body = response.into_body().into_with_config().limit(STREAM_LIMIT);
    BufReader::new(body.reader())
}

fn open_fault(error: &ureq::Error, exchange: &TargetExchange) -> EngineError {
    match stream_fault(error) {
        EngineError::Stopped => EngineError::Stopped,
        _ if !exchange.is_sent() => EngineError::NotSent,
        fault => fault,
    }
}

fn stream_fault(error: &ureq::Error) -> EngineError {
    match error {
        error if is_stopped(error) => EngineError::Stopped,
        ureq::Error::Timeout(_) => EngineError::Idle,
        ureq::Error::BodyExceedsLimit(_) => EngineError::Malformed,
        _ => EngineError::Broken,
    }
}

impl EngineStream {
    /// Waits for the next piece; `None` at the end mark of a complete stream.
    ///
    /// # Errors
    ///
    /// The stream ended before its end mark, was silent for too long, or cannot be read.
    pub fn next_piece(&mut self) -> Result<Option<EnginePiece>, EngineError> {
        let mut event = String::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                if !event.is_empty() {
                    return parse_event(&event);
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                event.push_str(data.strip_prefix(' ').unwrap_or(data));
                if event.len() > LINE_LIMIT {
                    return Err(EngineError::Malformed);
                }
            }
        }
    }

    /// Reads one line without its end; a stream that ends in the middle of a line is broken.
    fn read_line(&mut self) -> Result<String, EngineError> {
        let mut line = Vec::new();
        loop {
            let available = match self.reader.fill_buf() {
                Ok(available) => available,
                Err(error) => return Err(read_fault(&error)),
            };
            if available.is_empty() {
                return Err(EngineError::Broken);
            }
            let end = available.iter().position(|byte| *byte == b'\n');
            let taken = end.unwrap_or(available.len());
            line.extend_from_slice(&available[..taken]);
            self.reader.consume(end.map_or(taken, |end| end + 1));
            if line.len() > LINE_LIMIT {
                return Err(EngineError::Malformed);
            }
            if end.is_some() {
                if line.last() == Some(&b'\r') {
                    line.pop();
                }
                return String::from_utf8(line).map_err(|_| EngineError::Malformed);
            }
        }
    }
}

fn read_fault(error: &std::io::Error) -> EngineError {
    if error.kind() == ErrorKind::Interrupted {
        return EngineError::Stopped;
    }
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<ureq::Error>());
    inner.map_or(EngineError::Broken, stream_fault)
}

fn parse_event(event: &str) -> Result<Option<EnginePiece>, EngineError> {
    if event == "[DONE]" {
        return Ok(None);
    }
    serde_json::from_str(event).map(Some).map_err(|_| EngineError::Malformed)
}

/// Handle of a KV cache, as the answer to an export and the body of an import.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheHandle {
    /// Handle to name in the resuming request.
    pub kv_handle: String,
    /// Tokens that the cache covers, prompt included.
    #[serde(default)]
    pub tokens: u32,
}

/// Tells an engine to drop a request; a lost call is harmless, since the connection is closed as well.
pub fn cancel_request(address: &str, request_id: &str) {
    let agent = http_agent(CONNECT_TIMEOUT, SIDE_CALL_LIMIT);
    let path = format!("/v1/requests/{}/cancel", encode_key(request_id));
    let _ = agent.post(format!("http://{address}{path}")).send_empty();
}

/// Exports the KV cache of a request; `None` when the engine does not.
#[must_use]
pub fn export_cache(address: &str, request_id: &str) -> Option<CacheHandle> {
    let agent = http_agent(CONNECT_TIMEOUT, SIDE_CALL_LIMIT);
    let path = format!("/v1/kv/export/{}", encode_key(request_id));
    read_handle(agent.post(format!("http://{address}{path}")).send_empty().ok()?)
}

/// Imports an exported KV cache into another engine; `None` when it does not.
#[must_use]
pub fn import_cache(address: &str, handle: &CacheHandle) -> Option<CacheHandle> {
    let agent = http_agent(CONNECT_TIMEOUT, SIDE_CALL_LIMIT);
    read_handle(agent.post(format!("http://{address}/v1/kv/import")).send_json(handle).ok()?)
}

fn read_handle(mut response: Response<Body>) -> Option<CacheHandle> {
    if response.status().as_u16() != 200 {
        return None;
    }
    let bytes = response.body_mut().with_config().limit(SIDE_ANSWER_LIMIT).read_to_vec().ok()?;
    serde_json::from_slice(&bytes).ok()
}
