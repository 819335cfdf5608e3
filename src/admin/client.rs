//! HTTP client of the operator interface.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;

use crate::prelude::*;
use crate::store_client::http_agent;

/// Longest wait for an answer; a withdrawal waits for confirmations of every failure domain.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandError {
    /// Result code, which gives the exit status.
    pub code: ResultCode,
    /// What to tell the operator.
    pub message: String,
}

impl CommandError {
    /// Fault with the message of its code.
    #[must_use]
    pub fn of(code: ResultCode) -> Self {
        Self { code, message: code.entry().message.to_owned() }
    }
}

/// Answer with its status, since 202 tells an unconfirmed withdrawal from a complete one.
#[derive(Debug)]
pub struct OperatorAnswer<T> {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: T,
}

/// Client of one host.
#[derive(Debug)]
pub struct OperatorClient {
    base_url: String,
    token: String,
    agent: Agent,
}

impl OperatorClient {
    /// Client of the host at `base_url`.
    #[must_use]
    pub fn new(base_url: &str, token: &str) -> Self {
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { base_url, token: token.to_owned(), agent: http_agent(CONNECT_TIMEOUT, ANSWER_LIMIT) }
    }

    /// Client of another host with the same token.
    #[must_use]
    pub fn for_host(&self, operator_address: &str) -> Self {
        Self::new(&format!("http://{operator_address}"), &self.token)
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// The host does not answer or refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<OperatorAnswer<T>, CommandError> {
        let request = self.agent.get(format!("{}{path}", self.base_url)).header("authorization", self.bearer());
        read_answer(request.call())
    }

    /// Posts `body` to `path`.
    ///
    /// # Errors
    ///
    /// The host does not answer or refuses.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<OperatorAnswer<T>, CommandError> {
        let request = self.agent.post(format!("{}{path}", self.base_url)).header("authorization", self.bearer());
        read_answer(request.send_json(body))
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }
}

fn read_answer<T: DeserializeOwned>(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<OperatorAnswer<T>, CommandError> {
    let mut response = response.map_err(|error| CommandError {
        code: ResultCode::NotReady,
        message: format!("no answer from the host: {error}"),
    })?;
    let status = response.status().as_u16();
    let bytes = response.body_mut().read_to_vec().unwrap_or_default();
    if (200..=299).contains(&status) {
        let body = serde_json::from_slice(&bytes).map_err(|_| CommandError::of(ResultCode::Internal))?;
        return Ok(OperatorAnswer { status, body });
    }
    let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let number = body["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    let code = number.and_then(ResultCode::from_number).unwrap_or(ResultCode::Internal);
    let message = body["message"].as_str().unwrap_or(code.entry().message).to_owned();
    Err(CommandError { code, message })
}
