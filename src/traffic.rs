//! Carrying requests to targets: streams, retries, coalescing, claims and quarantine.

pub mod claim_row;
pub mod claim_state;
pub mod claim_store;
pub mod coalescing;
pub mod crash_quarantine;
pub mod engine_client;
pub mod engine_runner;
pub mod idle_transport;
pub mod plain_client;
pub mod plain_runner;
pub mod quarantine;
pub mod retry_policy;
pub mod text_assembly;

use crate::generated::caller_messages::VersionSpan;
use crate::generated::engine_messages::EnginePiece;
use crate::prelude::*;

/// One completion to run on an engine.
#[derive(Debug, Clone)]
pub struct EngineRun {
    /// Request id, passed to the engine and written in every log line.
    pub request_id: RequestId,
    /// Organisation that is charged.
    pub organisation: OrganisationId,
    /// Key that admitted the request; the run ends when it is withdrawn.
    pub key_id: Option<KeyId>,
    /// Engine service.
    pub service: ServiceId,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Most tokens to produce.
    pub max_tokens: u32,
    /// Seed for sampling.
    pub seed: u64,
    /// Whether only firm targets will do.
    pub firm_only: bool,
    /// Time by which the result is wanted; also the limit of waits and retries.
    pub deadline: BootTime,
    /// Whether the deadline is that of a trainer's step, which orders the queue.
    pub is_step: bool,
    /// Least weight version that may produce the text.
    pub least_version: Option<WeightVersion>,
}

/// A whole completion.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineResult {
    /// Text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// `stop` or `length`.
    pub finish_reason: String,
    /// Weight versions that produced it, as stamped by the engines.
    pub weight_versions: Vec<VersionSpan>,
}

/// Function that takes each piece of a run, in order and once; it returns whether the run shall go on.
pub type PieceSink<'a> = &'a mut dyn FnMut(&EnginePiece) -> bool;

/// Function that runs a completion, with retries and resumption on other targets.
pub type EngineRunner = Arc<dyn Fn(&EngineRun, PieceSink<'_>) -> Result<EngineResult, ResultCode> + Send + Sync>;
