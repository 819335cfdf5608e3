//! The routers of all policies behind one set of calls.

use std::time::Duration;

use camphorspring::generated::engine_messages::{CacheEvent, EngineLoad};
use camphorspring::generated::peer_messages::PermitOutcome;

use crate::experiment::baseline_router::BaselineRouter;
use crate::experiment::product_router::{ProductRouter, permit_report};

/// Request for a target.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// Request.
    pub request: usize,
    /// Entry host.
    pub host: usize,
    /// Organisation.
    pub organisation: usize,
    /// Service.
    pub service: usize,
    /// Most tokens.
    pub most_tokens: u32,
    /// Prefix hashes.
    pub prefixes: Vec<u64>,
    /// Whether only firm targets will do.
    pub firm_only: bool,
    /// Deadline of the step.
    pub deadline: Option<Duration>,
    /// Engines that failed the request.
    pub excluded: Vec<usize>,
    /// Longest wait.
    pub wait: Duration,
}

/// A settled request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteResult {
    /// Request.
    pub request: usize,
    /// Engine; `None` when refused.
    pub engine: Option<usize>,
}

#[derive(Debug)]
pub(super) enum PolicyRouter {
    Core(Box<ProductRouter>),
    Rule(Box<BaselineRouter>),
}

impl PolicyRouter {
    pub(super) fn submit(&mut self, now: Duration, ask: &RouteRequest) {
        match self {
            Self::Core(router) => router.submit(now, ask),
            Self::Rule(router) => router.submit(now, ask),
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Duration,
        request: usize,
        outcome: PermitOutcome,
        tokens: u32,
        first_token: Duration,
        total: Duration,
    ) {
        match self {
            Self::Core(router) => router.finish(now, request, permit_report(outcome, tokens, first_token, total)),
            Self::Rule(router) => {
                let first_token = (outcome == PermitOutcome::Finished).then_some(first_token);
                router.finish(now, request, tokens, first_token);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Duration) {
        match self {
            Self::Core(router) => router.tick(now),
            Self::Rule(router) => router.tick(now),
        }
    }

    pub(super) fn report(&mut self, now: Duration, engine: usize, load: &EngineLoad, events: &[CacheEvent]) {
        if let Self::Core(router) = self {
            router.report_load(now, engine, load);
            router.report_events(now, engine, events);
        }
    }

    pub(super) fn place(&mut self, now: Duration, engine: usize, is_in_rotation: bool) {
        match self {
            Self::Core(router) => router.place(engine, is_in_rotation),
            Self::Rule(router) => router.place(now, engine, is_in_rotation),
        }
    }

    pub(super) fn next_time(&self) -> Option<Duration> {
        match self {
            Self::Core(router) => router.next_time(),
            Self::Rule(_) => None,
        }
    }

    pub(super) fn deliver(&mut self, now: Duration) {
        if let Self::Core(router) = self {
            router.deliver(now);
        }
    }

    pub(super) fn take_results(&mut self) -> Vec<RouteResult> {
        match self {
            Self::Core(router) => router.take_results(),
            Self::Rule(router) => router.take_results(),
        }
    }
}
