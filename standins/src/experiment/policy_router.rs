//! Common interface of the routers, which choose an engine for each request by the policy under study.

use std::time::Duration;

use camphorspring::generated::engine_messages::{CacheEvent, EngineLoad};
use camphorspring::generated::peer_messages::PermitOutcome;

use crate::experiment::baseline_router::BaselineRouter;
use crate::experiment::product_router::{ProductRouter, build_completion};

/// What a router must know to choose an engine for a request.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// Index of the request in the simulation.
    pub request: usize,
    /// Index of the requester, the host that received the request.
    pub host: usize,
    /// Index of the organisation that is charged.
    pub organisation: usize,
    /// Index of the service in [`SERVICE_NAMES`](crate::experiment::user_workload::SERVICE_NAMES).
    pub service: usize,
    /// Number of tokens of the complete output, which the routers use as an upper bound.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, one for each length in whole blocks, shortest first.
    pub prefixes: Vec<u64>,
    /// Whether targets that can be reclaimed at short notice are excluded.
    pub firm_only: bool,
    /// Deadline of the training step in time of the simulation; `None` for a request outside a step.
    pub deadline: Option<Duration>,
    /// Indices of the engines that must not be used: those on which the request failed, and for a hedged run the one of
    /// the first run.
    pub excluded_engines: Vec<usize>,
    /// Longest time until a result; after it the router refuses the request.
    pub wait: Duration,
}

/// Decision of a router on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteResult {
    /// Index of the request in the simulation.
    pub request: usize,
    /// Index of the chosen engine; `None` when the request was refused.
    pub engine: Option<usize>,
}

/// Either the simulated hosts with the product's dispatch code, or a baseline.
#[derive(Debug)]
pub(super) enum PolicyRouter {
    Product(Box<ProductRouter>),
    Baseline(Box<BaselineRouter>),
}

impl PolicyRouter {
    /// Submits a request; [`Self::take_results`] returns the decision once it is made.
    pub(super) fn submit(&mut self, now: Duration, route_request: &RouteRequest) {
        match self {
            Self::Product(router) => router.submit(now, route_request),
            Self::Baseline(router) => router.submit(now, route_request),
        }
    }

    /// Ends a request, granted or still waiting. `first_token` and `total` count from the grant, and `tokens` is what
    /// the request produced under this grant; all three are ignored for a request that still waits.
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
            Self::Product(router) => router.finish(now, request, build_completion(outcome, tokens, first_token, total)),
            Self::Baseline(router) => {
                let first_token = (outcome == PermitOutcome::Finished).then_some(first_token);
                router.finish(now, request, tokens, first_token);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Duration) {
        match self {
            Self::Product(router) => router.tick(now),
            Self::Baseline(router) => router.tick(now),
        }
    }

    /// Passes on what an engine reports; the baselines make no use of it.
    pub(super) fn report_engine(&mut self, now: Duration, engine: usize, load: &EngineLoad, events: &[CacheEvent]) {
        if let Self::Product(router) = self {
            router.report_load(now, engine, load);
            router.report_events(now, engine, events);
        }
    }

    pub(super) fn set_in_rotation(&mut self, now: Duration, engine: usize, is_in_rotation: bool) {
        match self {
            Self::Product(router) => router.set_in_rotation(engine, is_in_rotation),
            Self::Baseline(router) => router.set_in_rotation(now, engine, is_in_rotation),
        }
    }

    /// Time at which the next frame between hosts arrives; `None` without a frame in transit. The baselines have none.
    pub(super) fn next_arrival(&self) -> Option<Duration> {
        match self {
            Self::Product(router) => router.next_arrival(),
            Self::Baseline(_) => None,
        }
    }

    pub(super) fn deliver_frames(&mut self, now: Duration) {
        if let Self::Product(router) = self {
            router.deliver_frames(now);
        }
    }

    /// Removes and returns the results since the last call.
    pub(super) fn take_results(&mut self) -> Vec<RouteResult> {
        match self {
            Self::Product(router) => router.take_results(),
            Self::Baseline(router) => router.take_results(),
        }
    }
}
