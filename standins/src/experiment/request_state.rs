//! State of one request, and the events of the simulation.

use std::time::Duration;

use crate::experiment::clients::PromptShape;

/// Origin of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOwner {
    /// Sender of a page or of a scoring request outside a training step, who does not repeat a refused request.
    Caller,
    /// Sample of a trainer's step. Each run of the sample is a request of its own.
    Sample { trainer: usize, step: u64, sample: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// Waits for the result of the router.
    Waiting,
    /// Is in the engine with this index, running or waiting for a slot.
    Running(usize),
    /// Was refused, or lost its engine, and will be submitted to the router again.
    AwaitingRetry,
    /// Is complete, cancelled or failed.
    Ended,
}

#[derive(Debug, Clone)]
pub(super) struct RequestState {
    pub owner: RequestOwner,
    pub organisation: usize,
    pub service: usize,
    /// Number of tokens of the complete output.
    pub tokens: u32,
    /// Number of tokens that lost engines produced; the next attempt continues after them.
    pub done: u32,
    pub prompt: PromptShape,
    pub created_at: Duration,
    /// Time of the last grant; the creation time before the first one.
    pub granted_at: Duration,
    /// Time from the grant to the first token, of the last attempt that produced one; zero before.
    pub first_token: Duration,
    pub phase: RequestPhase,
    /// Number of grants so far.
    pub tries: u32,
    pub firm_only: bool,
    /// Deadline of the training step; `None` for a caller's request.
    pub deadline: Option<Duration>,
    /// Engines that must not be used: those on which the request failed, and for a hedged run the one of the first run.
    pub excluded: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    /// First token or completion of a request in an engine: index of the engine, and the generation for which the event
    /// was planned.
    Engine(usize, u64),
    /// Periodic work of the router, the counters and the trainers.
    Tick,
    /// Load reports and cache events of all engines.
    Report,
    /// Arrival of a page request of the organisation with this index.
    Page(usize),
    /// Arrival of a scoring request, outside a training step, of the organisation with this index.
    Scoring(usize),
    /// Arrival of a scoring request and a page request of the flooding organisation.
    Flood,
    /// The trainer with this index starts the first step, if it has none yet. Otherwise a training ends, and the next
    /// one starts if the samples of the step are complete.
    Training(usize),
    /// Change of an engine by the fault script, as an index in the scripted changes of the simulation.
    Change(usize),
    /// Renewed submission of the request with this index.
    Retry(usize),
    /// End of the time for which the caller of the request with this index waits.
    Timeout(usize),
}
