//! Rows of the claim table: one for each idempotency key of an organisation.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Progress of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The owner of the claim may send the request, or has sent it.
    Claimed,
    /// The response is stored.
    Done,
    /// The request may have run; no response will be stored.
    Unknown,
    /// The request was not sent; the key may be claimed again.
    Void,
}

/// A header of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHeader {
    /// Header name in lower case.
    pub name: String,
    /// Header value as received from the target; bytes that are not UTF-8 are replaced.
    pub value: String,
}

/// HTTP response of the target, as kept in a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Status that the target sent.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<StoredHeader>,
    /// Body as text, or in hexadecimal when it is not UTF-8.
    pub body: String,
    /// Whether the body is in hexadecimal.
    pub is_hex: bool,
}

/// Content of a claim row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// SHA-256 of method, path, query and body of the request, in hexadecimal.
    pub body_hash: String,
    /// [`ClaimState::Claimed`] at first; changed only by conditional writes.
    pub state: ClaimState,
    /// Owner of the claim: the host that wrote it and may send the request.
    pub host: HostId,
    /// Incarnation of the owner when it wrote the claim.
    pub incarnation: Incarnation,
    /// Longest time that the target may take to respond, in milliseconds.
    pub answer_limit_ms: u64,
    /// Response of the target; present only when `state` is [`ClaimState::Done`].
    pub answer: Option<StoredAnswer>,
}

/// A claim row with the version and writer that the store keeps for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// Parsed content.
    pub row: ClaimRow,
    /// Version for conditional writes; at least 1, since 0 stands for an absent row.
    pub version: u64,
    /// Token of the last write that took effect.
    pub writer_token: String,
}
