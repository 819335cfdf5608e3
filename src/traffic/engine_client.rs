//! Blocking client of an engine: token streams, cancellation, and export and import of KV caches.
//!
//! A completion request carries only the fields of [`EngineRequest`]. The caller's headers, which contain the caller's
//! key, are never sent to an engine.

use std::io::{BufRead, BufReader, ErrorKind};

use serde::{Deserialize, Serialize};
use ureq::{Body, BodyReader, http::Response};

use crate::generated::engine_messages::{EnginePiece, EngineRequest};
use crate::prelude::*;
use crate::store_client::{encode_key, http_agent};
use crate::traffic::idle_transport::{ExchangeLimits, StopCheck, TargetExchange, is_stopped};

/// Maximum size of one line of a token stream and of the data of one event.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Maximum size of one token stream; a longer stream is [`EngineError::Malformed`].
const MAX_STREAM_BYTES: u64 = 64 * 1024 * 1024;

/// Timeout of a whole cancel, export or import call. The timeout is short because a resumed completion waits for the
/// export and the import.
const AUXILIARY_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the response to an export or import call.
const MAX_HANDLE_RESPONSE_BYTES: u64 = 16 * 1024;

/// Why an engine's token stream could not be opened or ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineError {
    /// No byte of the request left this host.
    NotSent,
    /// The engine responded with this HTTP status instead of 200.
    Refused(u16),
    /// The engine neither read nor sent anything for [`ENGINE_IDLE_LIMIT`].
    Idle,
    /// The connection failed or closed before the stream was complete.
    Broken,
    /// The engine sent too much data, data that cannot be parsed, or a piece that `TextAssembly` refused.
    Malformed,
    /// The stop check ended the exchange, possibly before anything was sent.
    Stopped,
}

impl EngineError {
    /// Value of the `fault` key in log lines.
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

/// Open token stream of one completion request. Dropping the stream closes the connection.
pub struct EngineStream {
    reader: BufReader<BodyReader<'static>>,
}

/// Sends a completion request and returns the token stream of the response. `stop` is also polled while the stream is
/// read.
///
/// # Errors
///
/// [`EngineError::Stopped`] if `stop` ended the exchange, [`EngineError::NotSent`] if no byte was sent,
/// [`EngineError::Refused`] for a status other than 200, [`EngineError::Idle`] if the engine was silent for too long,
/// and [`EngineError::Broken`] for any other failure before the response head.
pub fn open_stream(address: &str, request: &EngineRequest, stop: StopCheck) -> Result<EngineStream, EngineError> {
    let exchange = TargetExchange::new(ExchangeLimits { idle: ENGINE_IDLE_LIMIT, total: None, stop });
    let response = exchange.agent.post(format!("http://{address}/v1/completions")).send_json(request);
    let response = response.map_err(|error| classify_open_error(&error, &exchange))?;
    match response.status().as_u16() {
        200 => Ok(EngineStream { reader: bounded_reader(response) }),
        status => Err(EngineError::Refused(status)),
    }
}

fn bounded_reader(response: Response<Body>) -> BufReader<BodyReader<'static>> {
    let body = response.into_body().into_with_config().limit(MAX_STREAM_BYTES);
    BufReader::new(body.reader())
}

fn classify_open_error(error: &ureq::Error, exchange: &TargetExchange) -> EngineError {
    match classify_error(error) {
        EngineError::Stopped => EngineError::Stopped,
        _ if !exchange.is_sent() => EngineError::NotSent,
        error => error,
    }
}

fn classify_error(error: &ureq::Error) -> EngineError {
    match error {
        error if is_stopped(error) => EngineError::Stopped,
        ureq::Error::Timeout(_) => EngineError::Idle,
        ureq::Error::BodyExceedsLimit(_) => EngineError::Malformed,
        _ => EngineError::Broken,
    }
}

impl EngineStream {
    /// Waits for the next piece; `None` at the `[DONE]` event.
    ///
    /// # Errors
    ///
    /// [`EngineError::Broken`] if the connection failed or closed before `[DONE]`, [`EngineError::Idle`] after
    /// [`ENGINE_IDLE_LIMIT`] without data, [`EngineError::Malformed`] for data that is too large or not a piece, and
    /// [`EngineError::Stopped`] if the stop check ended the exchange.
    pub fn next_piece(&mut self) -> Result<Option<EnginePiece>, EngineError> {
        let mut event_data = String::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                if !event_data.is_empty() {
                    return parse_event(&event_data);
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                event_data.push_str(data.strip_prefix(' ').unwrap_or(data));
                if event_data.len() > MAX_EVENT_BYTES {
                    return Err(EngineError::Malformed);
                }
            }
        }
    }

    /// Reads one line and removes the line ending. A stream that ends without a line ending is
    /// [`EngineError::Broken`].
    fn read_line(&mut self) -> Result<String, EngineError> {
        let mut line = Vec::new();
        loop {
            let available = match self.reader.fill_buf() {
                Ok(available) => available,
                Err(error) => return Err(classify_read_error(&error)),
            };
            if available.is_empty() {
                return Err(EngineError::Broken);
            }
            let newline = available.iter().position(|byte| *byte == b'\n');
            let length = newline.unwrap_or(available.len());
            line.extend_from_slice(&available[..length]);
            self.reader.consume(newline.map_or(length, |newline| newline + 1));
            if line.len() > MAX_EVENT_BYTES {
                return Err(EngineError::Malformed);
            }
            if newline.is_some() {
                if line.last() == Some(&b'\r') {
                    line.pop();
                }
                return String::from_utf8(line).map_err(|_| EngineError::Malformed);
            }
        }
    }
}

fn classify_read_error(error: &std::io::Error) -> EngineError {
    if error.kind() == ErrorKind::Interrupted {
        return EngineError::Stopped;
    }
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<ureq::Error>());
    inner.map_or(EngineError::Broken, classify_error)
}

fn parse_event(data: &str) -> Result<Option<EnginePiece>, EngineError> {
    if data == "[DONE]" {
        return Ok(None);
    }
    serde_json::from_str(data).map(Some).map_err(|_| EngineError::Malformed)
}

/// Handle of an exported or imported KV cache: the response to both calls and the body of an import.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CacheHandle {
    /// Name of the cache. The handle of an imported cache goes into the [`EngineRequest`] that resumes the completion.
    pub kv_handle: String,
    /// Number of tokens in the cache, prompt included; 0 if the engine does not send the number.
    #[serde(default)]
    pub tokens: u32,
}

/// Asks an engine to cancel a request. Errors are ignored, because the connection of the request is closed as well.
pub fn cancel_request(address: &str, request_id: &str) {
    let agent = http_agent(CONNECT_TIMEOUT, AUXILIARY_CALL_TIMEOUT);
    let path = format!("/v1/requests/{}/cancel", encode_key(request_id));
    let _ = agent.post(format!("http://{address}{path}")).send_empty();
}

/// Asks an engine to export the KV cache of a request; `None` if the call fails, the status is not 200 or the response
/// is not a handle.
#[must_use]
pub fn export_cache(address: &str, request_id: &str) -> Option<CacheHandle> {
    let agent = http_agent(CONNECT_TIMEOUT, AUXILIARY_CALL_TIMEOUT);
    let path = format!("/v1/kv/export/{}", encode_key(request_id));
    read_handle(agent.post(format!("http://{address}{path}")).send_empty().ok()?)
}

/// Asks an engine to import a KV cache that another engine exported; `None` if the call fails, the status is not 200 or
/// the response is not a handle.
#[must_use]
pub fn import_cache(address: &str, handle: &CacheHandle) -> Option<CacheHandle> {
    let agent = http_agent(CONNECT_TIMEOUT, AUXILIARY_CALL_TIMEOUT);
    read_handle(agent.post(format!("http://{address}/v1/kv/import")).send_json(handle).ok()?)
}

fn read_handle(mut response: Response<Body>) -> Option<CacheHandle> {
    if response.status().as_u16() != 200 {
        return None;
    }
    let bytes = response.body_mut().with_config().limit(MAX_HANDLE_RESPONSE_BYTES).read_to_vec().ok()?;
    serde_json::from_slice(&bytes).ok()
}
