//! Rows of the table of claims.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State of a claim row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// Its owner may send the request, or has sent it.
    Claimed,
    /// The answer is stored.
    Done,
    /// The request may have run; there will be no answer.
    Unknown,
    /// The request was not sent; the key may be claimed again.
    Void,
}

/// Header of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Answer kept in a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<StoredHeader>,
    /// Body as text, or in hexadecimal when it is not UTF-8.
    pub body: String,
    /// Whether the body is in hexadecimal.
    pub is_hex: bool,
}

/// Value of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// SHA-256 of method, path, query and body, in hexadecimal.
    pub body_hash: String,
    /// State.
    pub state: ClaimState,
    /// Host that claimed it.
    pub host: HostId,
    /// Life of that host.
    pub incarnation: Incarnation,
    /// Longest time that the target may take, in milliseconds.
    pub answer_limit_ms: u64,
    /// Present when done.
    pub answer: Option<StoredAnswer>,
}

/// A claim row as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenClaim {
    /// Value.
    pub row: ClaimRow,
    /// Version of the row.
    pub version: u64,
    /// Token of its last writer.
    pub writer_token: String,
}
