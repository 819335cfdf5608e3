//! HTTP client of a host's operator interface. It turns every failure into a result code and a message.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;

use crate::prelude::*;
use crate::store_client::http_agent;

/// Longest duration of a call, including the connection. The withdrawal of a key waits for all failure domains.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError {
    /// Result code, which gives the exit status.
    pub code: ResultCode,
    /// Text for standard error; several lines when a file has several errors.
    pub message: String,
}

impl CommandError {
    /// Creates an error with the default message of `code`.
    #[must_use]
    pub fn from_code(code: ResultCode) -> Self {
        Self { code, message: code.entry().message.to_owned() }
    }
}

/// Successful response of the operator interface.
#[derive(Debug)]
pub struct OperatorResponse<T> {
    /// HTTP status from 200 to 299; 202 for a withdrawal that is not yet stored or not confirmed everywhere.
    pub status: u16,
    /// Body, decoded from JSON.
    pub body: T,
}

/// Client of the operator interface of one host.
#[derive(Debug)]
pub struct OperatorClient {
    base_url: String,
    token: String,
    agent: Agent,
}

impl OperatorClient {
    /// Creates a client of the host at `base_url`, such as `http://127.0.0.1:7002`. `token` is the operator token.
    #[must_use]
    pub fn new(base_url: &str, token: &str) -> Self {
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { base_url, token: token.to_owned(), agent: http_agent(CONNECT_TIMEOUT, CALL_TIMEOUT) }
    }

    /// Creates a client with the same token for the host at `operator_address`, which is an IP address and port.
    #[must_use]
    pub fn for_host(&self, operator_address: &str) -> Self {
        Self::new(&format!("http://{operator_address}"), &self.token)
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NotReady`] when no response arrives, [`ResultCode::Internal`] when a successful response cannot be
    /// decoded, and otherwise the code and message of the error response; [`ResultCode::Internal`] if it has no known
    /// code.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<OperatorResponse<T>, CommandError> {
        let request = self.agent.get(format!("{}{path}", self.base_url)).header("authorization", self.authorization());
        decode_response(request.call())
    }

    /// Sends `body` as JSON in a POST request to `path`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NotReady`] when no response arrives, [`ResultCode::Internal`] when a successful response cannot be
    /// decoded, and otherwise the code and message of the error response; [`ResultCode::Internal`] if it has no known
    /// code.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<OperatorResponse<T>, CommandError> {
        let request = self.agent.post(format!("{}{path}", self.base_url)).header("authorization", self.authorization());
        decode_response(request.send_json(body))
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.token)
    }
}

fn decode_response<T: DeserializeOwned>(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<OperatorResponse<T>, CommandError> {
    let mut response = response.map_err(|error| CommandError {
        code: ResultCode::NotReady,
        message: format!("no answer from the host: {error}"),
    })?;
    let status = response.status().as_u16();
    let bytes = response.body_mut().read_to_vec().unwrap_or_default();
    if (200..=299).contains(&status) {
        let body = serde_json::from_slice(&bytes).map_err(|_| CommandError::from_code(ResultCode::Internal))?;
        return Ok(OperatorResponse { status, body });
    }
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let number = body["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    let code = number.and_then(ResultCode::from_number).unwrap_or(ResultCode::Internal);
    let message = body["message"].as_str().unwrap_or(code.entry().message).to_owned();
    Err(CommandError { code, message })
}
