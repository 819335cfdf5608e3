//! Execution of requests on targets: token streams, retries, coalescing, idempotency claims and the quarantine.

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
    /// Identifier sent to the engine and written in log lines; the same for all attempts.
    pub request_id: RequestId,
    /// Organisation that is charged.
    pub organisation: OrganisationId,
    /// Key whose withdrawal ends the run; `None` for runs shared between keys and runs without a key.
    pub key_id: Option<KeyId>,
    /// Engine service whose targets may be used.
    pub service: ServiceId,
    /// Model name sent to the engine; `service` must serve this model.
    pub model: String,
    /// Prompt without any generated text, also when a text is resumed.
    pub prompt: String,
    /// Maximum number of tokens of the whole completion, over all attempts.
    pub max_tokens: u32,
    /// Random seed for sampling, the same for all attempts.
    pub seed: u64,
    /// Whether only firm targets are allowed, which are not reclaimed at short notice.
    pub firm_only: bool,
    /// Time by which the result is wanted. Shared runs end at the deadline of their stop condition instead.
    pub deadline: BootTime,
    /// Whether the run belongs to a trainer's step. Permit requests of steps are ordered by their `deadline`.
    pub is_step: bool,
    /// Minimum weight version that may produce the text; `None` for any version.
    pub least_version: Option<WeightVersion>,
}

/// Completion of an engine run, possibly assembled from several attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineResult {
    /// Generated text without the prompt.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Reason sent by the engine, normally `stop` or `length`. It is `length` too if all tokens arrived without a
    /// reason before an attempt failed, and `cancelled` if the sink ended the run before a reason arrived.
    pub finish_reason: String,
    /// Weight versions that produced the text, as stamped by the engines, in token order.
    pub weight_versions: Vec<VersionSpan>,
}

/// Function that receives each new piece of a run once, in order. It returns whether the run should continue.
pub type PieceSink<'a> = &'a mut dyn FnMut(&EnginePiece) -> bool;

/// Function that runs a completion, retries failed attempts and resumes the text on other targets.
pub type EngineRunner = Arc<dyn Fn(&EngineRun, PieceSink<'_>) -> Result<EngineResult, ResultCode> + Send + Sync>;
