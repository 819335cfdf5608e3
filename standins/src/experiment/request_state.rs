//! Requests and events of a run.

use std::time::Duration;

use crate::experiment::clients::PromptShape;

/// Who wants a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOwner {
    Single,
    Sample { trainer: usize, step: u64, sample: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestPhase {
    Waiting,
    Running(usize),
    Pausing,
    Ended,
}

#[derive(Debug, Clone)]
pub(super) struct RequestState {
    pub owner: RequestOwner,
    pub organisation: usize,
    pub service: usize,
    pub tokens: u32,
    pub done: u32,
    pub prompt: PromptShape,
    pub created_at: Duration,
    pub granted_at: Duration,
    pub first_token: Duration,
    pub phase: RequestPhase,
    pub tries: u32,
    pub firm_only: bool,
    pub deadline: Option<Duration>,
    pub excluded: Vec<usize>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    Engine(usize, u64),
    Tick,
    Report,
    Page(usize),
    Scoring(usize),
    Flood,
    Training(usize),
    Change(usize),
    Retry(usize),
    GiveUp(usize),
}
