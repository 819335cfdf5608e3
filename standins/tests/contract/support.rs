//! HTTP calls, completion streams and waits shared by the contract tests.

use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use camphorspring::store_client::{StoreCallError, fault_of, http_agent};

/// Timeout for conditions that hold within milliseconds on an idle machine; generous, so that no verdict depends on how
/// busy the machine is.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Status and body of an HTTP response, with the body as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextResponse {
    pub status: u16,
    pub body: String,
}

/// Creates an HTTP client whose calls time out after `timeout`, with one second to connect.
pub fn agent(timeout: Duration) -> ureq::Agent {
    http_agent(Duration::from_secs(1), timeout)
}

pub fn post(url: &str, body: &str, timeout: Duration) -> Result<TextResponse, StoreCallError> {
    let response = agent(timeout).post(url).send(body).map_err(|error| fault_of(&error))?;
    read_response(response)
}

pub fn get(url: &str, timeout: Duration) -> Result<TextResponse, StoreCallError> {
    let response = agent(timeout).get(url).call().map_err(|error| fault_of(&error))?;
    read_response(response)
}

fn read_response(mut response: ureq::http::Response<ureq::Body>) -> Result<TextResponse, StoreCallError> {
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().map_err(|error| fault_of(&error))?;
    Ok(TextResponse { status, body })
}

/// Waits until `condition` holds; panics with `what` after [`WAIT_LIMIT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Creates a request for the engine stand-in, with seed 7 and nothing to resume.
pub fn request(id: &str, prompt: &str, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        request_id: id.to_owned(),
        model: "model".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        seed: 7,
        resume_text: String::new(),
        resume_tokens: 0,
        kv_handle: None,
    }
}

/// The part of a completion stream that was received.
#[derive(Debug, Default)]
pub struct StreamResult {
    pub pieces: Vec<EnginePiece>,
    /// Whether the stream was complete, with its `[DONE]` event.
    pub is_done: bool,
}

impl StreamResult {
    /// Returns the text of all pieces together.
    pub fn text(&self) -> String {
        self.pieces.iter().map(|piece| piece.text.as_str()).collect()
    }
}

/// Sends a completion request and returns the body of the response, unread.
pub fn open_stream(url: &str, request: &EngineRequest) -> Result<impl BufRead + use<>, StoreCallError> {
    let response =
        agent(WAIT_LIMIT).post(format!("{url}/v1/completions")).send_json(request).map_err(|error| fault_of(&error))?;
    Ok(BufReader::new(response.into_body().into_reader()))
}

/// Sends a completion request and reads the stream until it is complete or breaks.
pub fn run_stream(url: &str, request: &EngineRequest) -> Result<StreamResult, StoreCallError> {
    let reader = open_stream(url, request)?;
    Ok(read_stream(reader))
}

/// Reads a completion stream until it is complete or breaks.
pub fn read_stream(reader: impl Read) -> StreamResult {
    let mut result = StreamResult::default();
    for line in BufReader::new(reader).lines() {
        let Ok(line) = line else { break };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => result.is_done = true,
            Some(json) => result.pieces.push(serde_json::from_str(json).expect("a piece")),
            None => {}
        }
    }
    result
}
