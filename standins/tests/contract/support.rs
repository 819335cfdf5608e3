//! Client calls and waits shared by the contract tests.

use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};

use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use camphorspring::store_client::{StoreCallError, fault_of, http_agent};

/// Generous limit for conditions that hold within milliseconds on an idle machine.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Status and body of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

pub fn agent(limit: Duration) -> ureq::Agent {
    http_agent(Duration::from_secs(1), limit)
}

pub fn post(url: &str, body: &str, limit: Duration) -> Result<Answer, StoreCallError> {
    let response = agent(limit).post(url).send(body).map_err(|error| fault_of(&error))?;
    read(response)
}

pub fn get(url: &str, limit: Duration) -> Result<Answer, StoreCallError> {
    let response = agent(limit).get(url).call().map_err(|error| fault_of(&error))?;
    read(response)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<Answer, StoreCallError> {
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().map_err(|error| fault_of(&error))?;
    Ok(Answer { status, body })
}

pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

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

/// What arrived of a token stream.
#[derive(Debug, Default)]
pub struct StreamResult {
    pub pieces: Vec<EnginePiece>,
    pub is_done: bool,
}

impl StreamResult {
    pub fn text(&self) -> String {
        self.pieces.iter().map(|piece| piece.text.as_str()).collect()
    }
}

/// Opens a completion stream.
pub fn open_stream(url: &str, request: &EngineRequest) -> Result<impl BufRead + use<>, StoreCallError> {
    let response =
        agent(WAIT_LIMIT).post(format!("{url}/v1/completions")).send_json(request).map_err(|error| fault_of(&error))?;
    Ok(BufReader::new(response.into_body().into_reader()))
}

/// Reads a completion stream until it ends in any way.
pub fn run_stream(url: &str, request: &EngineRequest) -> Result<StreamResult, StoreCallError> {
    let reader = open_stream(url, request)?;
    Ok(read_stream(reader))
}

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
