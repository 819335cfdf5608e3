//! HTTP client of the platform: table service, object store, host list, target orders and usage intake.
//!
//! Every call has a timeout. An error says whether the action may have taken effect. Whether a write with a lost answer
//! took effect shows later in the row, which holds the token of its last writer.

pub mod store_access;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::generated::platform_messages::{
    HostList, OrderAnswer, RowCheck, RowWrite, ScanAnswer, TableRow, TargetOrder, TransactionAnswer, TransactionRequest,
};
use crate::prelude::*;

/// Error of a call to the platform or to the row store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCallError {
    /// The request was not sent, so the action did not take effect.
    NotSent,
    /// The request may have been sent, and no complete answer arrived, or one that does not say whether the action took effect;
    /// it may have, or may still do so.
    AnswerLost,
    /// The platform answered with this HTTP status, which says that the action did not take effect.
    Refused(u16),
    /// The answer could not be decoded; the action may have taken effect.
    Malformed,
}

impl std::fmt::Display for StoreCallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent => formatter.write_str("no connection to the platform"),
            Self::AnswerLost => formatter.write_str("no answer from the platform"),
            Self::Refused(status) => write!(formatter, "the platform refused with status {status}"),
            Self::Malformed => formatter.write_str("the platform's answer cannot be read"),
        }
    }
}

impl std::error::Error for StoreCallError {}

/// Blocking client of the platform; clones share their connections.
#[derive(Debug, Clone)]
pub struct StoreClient {
    base_url: String,
    agent: Agent,
}

impl StoreClient {
    /// Creates a client of the platform at `base_url`, such as `http://127.0.0.1:7000`, with the usual timeouts.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Self::with_agent(base_url, http_agent(CONNECT_TIMEOUT, PLATFORM_CALL_TIMEOUT))
    }

    /// Creates a client of the platform at `base_url` that uses this agent, and so the timeouts of the agent.
    #[must_use]
    pub fn with_agent(base_url: &str, agent: Agent) -> Self {
        Self { base_url: base_url.trim_end_matches('/').to_owned(), agent }
    }

    /// Reads one row; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`].
    pub fn read_row(&self, table: &str, key: &str) -> Result<Option<TableRow>, StoreCallError> {
        match self.get_json(&format!("/table/{table}/{}", encode_key(key))) {
            Ok(row) => Ok(Some(row)),
            Err(StoreCallError::Refused(404)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads at most `limit` rows with keys that start with `prefix` and are greater than `after`, in key order.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`].
    pub fn scan_rows(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreCallError> {
        let path = format!("/table/{table}?prefix={}&after={}&limit={limit}", encode_key(prefix), encode_key(after));
        let answer: ScanAnswer = self.get_json(&path)?;
        Ok(answer.rows)
    }

    /// Applies all writes if all checks hold; the answer says whether they did.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`]; after [`StoreCallError::AnswerLost`] and [`StoreCallError::Malformed`] the writes may
    /// have taken effect.
    pub fn transact(
        &self,
        writer_token: &str,
        checks: Vec<RowCheck>,
        writes: Vec<RowWrite>,
    ) -> Result<TransactionAnswer, StoreCallError> {
        let request = TransactionRequest { writer_token: writer_token.to_owned(), checks, writes };
        self.post_json("/table/transact", &request)
    }

    /// Stores an object; an existing object with this key is left unchanged, and the call succeeds.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`] except [`StoreCallError::Malformed`]; after [`StoreCallError::AnswerLost`] the object may
    /// have been stored.
    pub fn put_object(&self, key: &str, content: &[u8]) -> Result<(), StoreCallError> {
        let request = self.agent.put(self.url(&format!("/objects/{}", encode_key(key)))).header("if-none-match", "*");
        let response = request.send(content).map_err(|error| fault_of(&error))?;
        match response.status().as_u16() {
            200..=299 | 412 => Ok(()),
            status => Err(status_error(status)),
        }
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`] except [`StoreCallError::Malformed`]; [`StoreCallError::AnswerLost`] also for an object
    /// of more than 64 MiB.
    pub fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreCallError> {
        let path = format!("/objects/{}", encode_key(key));
        let mut response = self.agent.get(self.url(&path)).call().map_err(|error| fault_of(&error))?;
        match response.status().as_u16() {
            200 => response
                .body_mut()
                .with_config()
                .limit(MAX_RESPONSE_BYTES)
                .read_to_vec()
                .map(Some)
                .map_err(|_| StoreCallError::AnswerLost),
            404 => Ok(None),
            status => Err(status_error(status)),
        }
    }

    /// Reads the platform's list of hosts, which lags behind the hosts that are actually running.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`].
    pub fn list_hosts(&self) -> Result<HostList, StoreCallError> {
        self.get_json("/hosts")
    }

    /// Sends a target order, the set of all targets wanted in a failure domain; the answer says whether the platform
    /// accepted the order.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`]; after [`StoreCallError::AnswerLost`] and [`StoreCallError::Malformed`] the order may
    /// have taken effect.
    pub fn order_targets(&self, order: &TargetOrder) -> Result<OrderAnswer, StoreCallError> {
        self.post_json("/targets/orders", order)
    }

    /// Submits the usage report of a closed window, encoded as JSON.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`] except [`StoreCallError::Malformed`]; the same bytes may be sent again.
    pub fn report_usage(&self, report: &[u8]) -> Result<(), StoreCallError> {
        let request = self.agent.post(self.url("/usage/reports")).content_type("application/json");
        let response = request.send(report).map_err(|error| fault_of(&error))?;
        match response.status().as_u16() {
            200..=299 => Ok(()),
            status => Err(status_error(status)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, StoreCallError> {
        let mut response = self.agent.get(self.url(path)).call().map_err(|error| fault_of(&error))?;
        read_answer(&mut response)
    }

    fn post_json<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, StoreCallError> {
        let mut response = self.agent.post(self.url(path)).send_json(body).map_err(|error| fault_of(&error))?;
        read_answer(&mut response)
    }
}

/// Maximum size of a response body, and so of an object that is read.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Creates an HTTP client with a timeout for connecting and one for a whole call.
///
/// The client returns responses with error statuses and redirects as they are, and uses no proxy.
#[must_use]
pub fn http_agent(connect_timeout: Duration, call_timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(connect_timeout))
        .timeout_global(Some(call_timeout))
        .max_redirects(0)
        .proxy(None)
        .build();
    config.into()
}

/// Converts an error of the HTTP client to [`StoreCallError::NotSent`] if the request was certainly not sent, and to
/// [`StoreCallError::AnswerLost`] otherwise.
#[must_use]
pub fn fault_of(error: &ureq::Error) -> StoreCallError {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => StoreCallError::NotSent,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => StoreCallError::NotSent,
        _ => StoreCallError::AnswerLost,
    }
}

/// Error for a status that is no success. Only some statuses say that the action did not take effect.
#[must_use]
pub fn status_error(status: u16) -> StoreCallError {
    match status {
        400..=499 | 503 => StoreCallError::Refused(status),
        _ => StoreCallError::AnswerLost,
    }
}

/// Decodes a JSON response with a success status.
fn read_answer<T: DeserializeOwned>(response: &mut ureq::http::Response<ureq::Body>) -> Result<T, StoreCallError> {
    match response.status().as_u16() {
        200..=299 => {
            let bytes = response
                .body_mut()
                .with_config()
                .limit(MAX_RESPONSE_BYTES)
                .read_to_vec()
                .map_err(|_| StoreCallError::AnswerLost)?;
            serde_json::from_slice(&bytes).map_err(|_| StoreCallError::Malformed)
        }
        status => Err(status_error(status)),
    }
}

/// Percent-encodes a key for use in a path segment or query value; only unreserved characters stay as they are.
#[must_use]
pub fn encode_key(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => encoded.push(char::from(byte)),
            _ => {
                use std::fmt::Write as _;
                let _ = write!(encoded, "%{byte:02X}");
            }
        }
    }
    encoded
}

/// Reverses [`encode_key`]. Malformed escapes are kept, except that `%+` with a hexadecimal digit is decoded to the
/// byte with the value of the digit. Bytes that are not UTF-8 become replacement characters.
#[must_use]
pub fn decode_key(encoded: &str) -> String {
    let bytes = encoded.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| encoded.get(index + 1..index + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
