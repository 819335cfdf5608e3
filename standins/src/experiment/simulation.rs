//! Event loop of one simulated run: engines, clients, faults and the router under study, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use camphorspring::generated::engine_messages::{CacheEvent, EngineLoad};
use camphorspring::generated::peer_messages::PermitOutcome;
use camphorspring::policy::retry_budget::RetryBudget;
use camphorspring::policy::shard_map::mix_hash;
use camphorspring::prelude::SHARD_SAMPLES;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::baseline_router::{BaselineRouter, BaselineRule};
use crate::experiment::clients::{PromptShape, TrainerState, build_page_prompt, draw_arrival_gap, draw_group_prompt};
use crate::experiment::engine_model::{EngineEvent, EngineModel, EngineWork, LostWork};
use crate::experiment::fault_script::{
    EngineChange, FAULT_END, FAULT_START, FLOOD_ORGANISATION, FaultScript, HIT_DOMAIN, RUN_TIME, ScriptedChange,
};
use crate::experiment::measures::{PAGE_LIMIT, RunCounters, RunOutcome};
use crate::experiment::policy_router::{PolicyRouter, RouteRequest};
use crate::experiment::product_router::ProductRouter;
use crate::experiment::request_state::{RequestOwner, RequestPhase, RequestState, SimEvent};
use crate::experiment::user_workload::{PAGES, SCORING, UserWorkload};

/// Period of [`SimEvent::Tick`].
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Period of the engines' load reports. Each report carries the state of one period before.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Smallest age of the cache events in a report; younger ones are left for a later report.
const CACHE_EVENT_DELAY: Duration = Duration::from_secs(2);

/// Percentage of the cache events that are lost.
const CACHE_EVENT_LOSS_PERCENT: u32 = 5;

/// Delay before a refused sample is submitted again, and before the retry of a lost request for which the retry budget
/// has no retry left.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which the caller of a scoring request outside a training step waits.
const SCORING_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time for which the router may let a sample wait before it refuses the sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_mins(2);

/// Number of tokens that a page request produces.
const PAGE_TOKENS: u32 = 40;

/// Number of tokens that a scoring request outside a training step produces.
const SCORING_TOKENS: u32 = 150;

/// Arrivals per second in a flood; each arrival is one scoring request and one page request. The flood is about twice
/// what all targets can serve.
const FLOOD_RATE: f64 = 160.0;

/// Policy under study, which decides how requests are routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// The product's dispatch code, with hedged runs.
    Product,
    /// The product's policy on the same engines, all of them firm.
    AllFirm,
    /// The product's policy without organisations, deadlines, firm-only requests and hedged runs.
    NoFairness,
    /// A baseline without retry budget, firm-only requests and hedged runs.
    Rule(BaselineRule),
}

/// State of one run in virtual time. Equal arguments of [`Simulation::new`] give equal results, except for the measured
/// time of the routing calls.
pub struct Simulation {
    /// Virtual time since the start of the run.
    pub(super) now: Duration,
    pub(super) random: ChaCha8Rng,
    pub(super) workload: UserWorkload,
    /// Whether stragglers get hedged runs and the end of a step is sent to firm targets only.
    pub(super) has_copies: bool,
    pub(super) engines: Vec<EngineModel>,
    /// All requests of the run; ended ones stay, so that indices remain valid.
    pub(super) requests: Vec<RequestState>,
    pub(super) trainers: Vec<TrainerState>,
    pub(super) counters: RunCounters,
    script: FaultScript,
    scripted_changes: Vec<ScriptedChange>,
    router: PolicyRouter,
    /// Planned events with time and number; the number orders events of the same time.
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    /// Number of events planned so far.
    event_count: u64,
    /// Budget of each service in each failure domain, at position domain * 2 + service.
    retry_budgets: Vec<RetryBudget>,
    /// Open requests of each engine at the last report, which the next report carries.
    reported_requests: Vec<u32>,
}

impl Simulation {
    /// Creates a run that has not started.
    #[must_use]
    pub fn new(workload: &UserWorkload, policy: PolicyKind, script: FaultScript, seed: u64) -> Self {
        let workload = if policy == PolicyKind::AllFirm { workload.all_firm() } else { workload.clone() };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let router = match policy {
            PolicyKind::Rule(rule) => {
                let routing = ChaCha8Rng::seed_from_u64(random.random_range(0..u64::MAX));
                PolicyRouter::Baseline(Box::new(BaselineRouter::new(&workload, rule, routing)))
            }
            kind => PolicyRouter::Product(Box::new(ProductRouter::new(&workload, kind != PolicyKind::NoFairness))),
        };
        let engines: Vec<EngineModel> = workload.engines.iter().cloned().map(EngineModel::new).collect();
        let is_hit = |index: &usize| {
            let spec = &workload.engines[*index];
            script.hits(*index, spec.domain, spec.is_firm)
        };
        let scripted_changes = (0..engines.len()).filter(is_hit).flat_map(|engine| script.changes(engine)).collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            random,
            has_copies: matches!(policy, PolicyKind::Product | PolicyKind::AllFirm),
            reported_requests: vec![0; engines.len()],
            retry_budgets: vec![RetryBudget::new(); workload.domains * 2],
            engines,
            requests: Vec::new(),
            trainers: Vec::new(),
            counters: RunCounters { served: vec![0.0; workload.organisations.len()], ..RunCounters::default() },
            script,
            scripted_changes,
            router,
            events: BinaryHeap::new(),
            event_count: 0,
            workload,
        };
        simulation.plan_first_events();
        simulation
    }

    /// Runs until [`RUN_TIME`] and returns the figures of the run.
    #[must_use]
    pub fn run(mut self) -> RunOutcome {
        loop {
            let next_event_at = self.events.peek().map_or(Duration::MAX, |event| event.0.0);
            let next_frame_at = self.router.next_arrival().unwrap_or(Duration::MAX);
            self.now = next_event_at.min(next_frame_at);
            if self.now >= RUN_TIME {
                break;
            }
            if next_frame_at <= next_event_at {
                self.call_router(PolicyRouter::deliver_frames);
            } else if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle_event(event);
            }
            self.handle_results();
        }
        self.now = RUN_TIME;
        self.end_trainers();
        let prefilled_tokens = self.engines.iter().map(|engine| engine.prefilled_tokens).sum();
        self.counters.outcome(prefilled_tokens)
    }

    /// Adds a request and submits it to the router; returns the index of the request.
    pub(super) fn submit(&mut self, request: RequestState) -> usize {
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.submit_to_router(index);
        index
    }

    /// Cancels a request whose result is no longer needed. The tokens that its present engine produced count as wasted.
    pub(super) fn drop_request(&mut self, request: usize) {
        let phase = std::mem::replace(&mut self.requests[request].phase, RequestPhase::Ended);
        if let RequestPhase::Running(engine) = phase {
            let tokens = self.engines[engine].cancel(self.now, request);
            self.counters.wasted_tokens += f64::from(tokens);
            self.plan_engine_event(engine);
        }
        if matches!(phase, RequestPhase::Running(_) | RequestPhase::Waiting) {
            self.finish_in_router(request, PermitOutcome::Cancelled, 0);
        }
    }

    /// Plans an event for the time `at`. Events of the same time are handled in the order in which they were planned.
    pub(super) fn plan(&mut self, at: Duration, event: SimEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn plan_first_events(&mut self) {
        self.plan(TICK_PERIOD, SimEvent::Tick);
        self.plan(REPORT_PERIOD, SimEvent::Report);
        for index in 0..self.scripted_changes.len() {
            self.plan(self.scripted_changes[index].at, SimEvent::Change(index));
        }
        if self.script == FaultScript::Flood {
            self.plan(FAULT_START, SimEvent::Flood);
        }
        for organisation in 0..self.workload.organisations.len() {
            let spec = self.workload.organisations[organisation].clone();
            if spec.pages > 0.0 {
                self.plan(Duration::from_millis(1), SimEvent::Page(organisation));
            }
            if spec.scorings > 0.0 {
                self.plan(Duration::from_millis(2), SimEvent::Scoring(organisation));
            }
            if let Some(mut trainer) = spec.trainer {
                trainer.samples *= self.script.load_factor();
                self.trainers.push(TrainerState::new(organisation, trainer));
                self.counters.step_starts.push(Vec::new());
                let trainer = self.trainers.len() - 1;
                self.plan(Duration::from_secs(trainer as u64 * 5), SimEvent::Training(trainer));
            }
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Engine(engine, generation) => self.handle_engine_event(engine, generation),
            SimEvent::Tick => self.handle_tick(),
            SimEvent::Report => self.report_engines(),
            SimEvent::Page(organisation) => self.submit_page(organisation),
            SimEvent::Scoring(organisation) => {
                let rate = self.workload.organisations[organisation].scorings;
                self.submit_scoring(organisation);
                let gap = draw_arrival_gap(rate, &mut self.random);
                self.plan(self.now + gap, SimEvent::Scoring(organisation));
            }
            SimEvent::Flood => self.submit_flood(),
            SimEvent::Training(trainer) => self.training_due(trainer),
            SimEvent::Change(index) => self.apply_change(self.scripted_changes[index]),
            SimEvent::Retry(request) => self.handle_retry(request),
            SimEvent::Timeout(request) => self.handle_timeout(request),
        }
    }

    fn submit_page(&mut self, organisation: usize) {
        let base_rate = self.workload.organisations[organisation].pages;
        let current_burst = self.workload.burst.filter(|burst| {
            let phase = self.now.as_secs_f64() % burst.period.as_secs_f64();
            phase < burst.length.as_secs_f64()
        });
        let rate = base_rate * current_burst.map_or(1.0, |burst| burst.factor);
        self.submit_caller_request(organisation, PAGES, PAGE_TOKENS, build_page_prompt(organisation), PAGE_LIMIT);
        // A long gap that is drawn outside a burst could skip the burst, so gaps are bounded.
        let gap = draw_arrival_gap(rate, &mut self.random).min(Duration::from_secs(2));
        self.plan(self.now + gap, SimEvent::Page(organisation));
    }

    fn submit_scoring(&mut self, organisation: usize) {
        let prompt = draw_group_prompt(organisation, &mut self.random);
        self.submit_caller_request(organisation, SCORING, SCORING_TOKENS, prompt, SCORING_TIMEOUT);
    }

    fn submit_flood(&mut self) {
        if self.now >= FAULT_END {
            return;
        }
        self.submit_scoring(FLOOD_ORGANISATION);
        let prompt = build_page_prompt(FLOOD_ORGANISATION);
        self.submit_caller_request(FLOOD_ORGANISATION, PAGES, PAGE_TOKENS, prompt, PAGE_LIMIT);
        let gap = draw_arrival_gap(FLOOD_RATE, &mut self.random);
        self.plan(self.now + gap, SimEvent::Flood);
    }

    fn submit_caller_request(
        &mut self,
        organisation: usize,
        service: usize,
        tokens: u32,
        prompt: PromptShape,
        timeout: Duration,
    ) {
        let request = self.submit(RequestState {
            owner: RequestOwner::Caller,
            organisation,
            service,
            tokens,
            done: 0,
            prompt,
            created_at: self.now,
            granted_at: self.now,
            first_token: Duration::ZERO,
            phase: RequestPhase::Waiting,
            tries: 0,
            firm_only: false,
            deadline: None,
            excluded: Vec::new(),
        });
        self.plan(self.now + timeout, SimEvent::Timeout(request));
    }

    /// Submits a request to the router, for the first time or again.
    fn submit_to_router(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.phase = RequestPhase::Waiting;
        let hosts = self.workload.domains * self.workload.domain_hosts;
        // One host runs all samples of a step shard; a load balancer spreads the other requests over all hosts.
        let host = match state.owner {
            RequestOwner::Sample { trainer, step, sample } => {
                mix_hash(trainer as u64 + 100 * step + 10_000 * (sample / SHARD_SAMPLES) as u64) as usize % hosts
            }
            RequestOwner::Caller => self.random.random_range(0..hosts),
        };
        let wait = match (state.owner, state.service) {
            (RequestOwner::Sample { .. }, _) => SAMPLE_TIMEOUT,
            (RequestOwner::Caller, PAGES) => PAGE_LIMIT,
            (RequestOwner::Caller, _) => SCORING_TIMEOUT,
        };
        let route_request = RouteRequest {
            request,
            host,
            organisation: state.organisation,
            service: state.service,
            max_tokens: state.tokens,
            prefixes: state.prompt.prefixes.clone(),
            firm_only: state.firm_only,
            deadline: state.deadline,
            excluded_engines: state.excluded.clone(),
            wait,
        };
        self.call_router(|router, now| router.submit(now, &route_request));
        self.counters.calls += 1;
    }

    fn handle_results(&mut self) {
        loop {
            let results = self.router.take_results();
            if results.is_empty() {
                return;
            }
            for result in results {
                match result.engine {
                    Some(engine) => self.start_on_engine(result.request, engine),
                    None => self.handle_refusal(result.request),
                }
            }
        }
    }

    fn start_on_engine(&mut self, request: usize, engine: usize) {
        if self.requests[request].phase != RequestPhase::Waiting {
            self.finish_in_router(request, PermitOutcome::Cancelled, 0);
            return;
        }
        let state = &mut self.requests[request];
        state.granted_at = self.now;
        state.phase = RequestPhase::Running(engine);
        state.tries += 1;
        self.counters.tries += 1.0;
        if state.tries == 1 {
            self.counters.first_tries += 1.0;
        }
        let work = EngineWork {
            request,
            tokens: state.tokens - state.done,
            prompt_tokens: state.prompt.tokens + state.done,
            prefixes: state.prompt.prefixes.clone(),
            block_tokens: crate::experiment::clients::BLOCK_TOKENS,
        };
        if !self.engines[engine].is_alive {
            self.handle_lost_work(LostWork { request, tokens: 0 }, engine);
            return;
        }
        self.engines[engine].add(self.now, work);
        self.record_cold_overload(engine);
        self.plan_engine_event(engine);
    }

    fn record_cold_overload(&mut self, engine: usize) {
        let engine = &self.engines[engine];
        if engine.is_cold() {
            let overload = f64::from(engine.open_requests()) / f64::from(engine.spec.bears);
            self.counters.cold_overload = self.counters.cold_overload.max(overload);
        }
    }

    fn handle_refusal(&mut self, request: usize) {
        match self.requests[request].owner {
            RequestOwner::Caller => self.fail_caller_request(request),
            RequestOwner::Sample { .. } => {
                self.requests[request].phase = RequestPhase::AwaitingRetry;
                self.plan(self.now + RETRY_DELAY, SimEvent::Retry(request));
            }
        }
    }

    /// Ends a caller's request without a result.
    fn fail_caller_request(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.phase = RequestPhase::Ended;
        let is_counted_page = state.service == PAGES && RunCounters::is_fault_time(state.created_at);
        let is_from_flooder = self.script == FaultScript::Flood && state.organisation == FLOOD_ORGANISATION;
        if is_counted_page && !is_from_flooder {
            self.counters.pages.push(PAGE_LIMIT.as_secs_f64() * 1000.0);
            self.counters.failed_pages += 1.0;
        }
    }

    fn handle_timeout(&mut self, request: usize) {
        if self.requests[request].phase != RequestPhase::Ended {
            self.drop_request(request);
            self.fail_caller_request(request);
        }
    }

    fn handle_retry(&mut self, request: usize) {
        if self.requests[request].phase == RequestPhase::AwaitingRetry {
            self.submit_to_router(request);
        }
    }

    fn handle_engine_event(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let events = self.engines[engine].collect_events(self.now);
        self.plan_engine_event(engine);
        for event in events {
            match event {
                EngineEvent::FirstToken(request) => {
                    let state = &mut self.requests[request];
                    state.first_token = self.now.saturating_sub(state.granted_at);
                }
                EngineEvent::Complete(request) => self.complete_request(request, engine),
            }
        }
    }

    fn complete_request(&mut self, request: usize, engine: usize) {
        let state = &mut self.requests[request];
        state.phase = RequestPhase::Ended;
        let produced = state.tokens - state.done;
        let state = state.clone();
        self.finish_in_router(request, PermitOutcome::Finished, produced);
        self.counters.completed += 1.0;
        let tokens = f64::from(state.tokens);
        if state.service == SCORING {
            self.counters.scoring_tokens += tokens;
            if !self.workload.engines[engine].is_firm {
                self.counters.cheap_tokens += tokens;
            }
            if RunCounters::is_fault_time(self.now) {
                self.counters.served[state.organisation] += tokens;
            }
        }
        let is_from_flooder = self.script == FaultScript::Flood && state.organisation == FLOOD_ORGANISATION;
        if state.service == PAGES && RunCounters::is_fault_time(state.created_at) && !is_from_flooder {
            self.counters.pages.push(self.now.saturating_sub(state.created_at).as_secs_f64() * 1000.0);
        }
        if let RequestOwner::Sample { trainer, step, sample } = state.owner {
            self.sample_done(trainer, step, sample, request);
        }
    }

    /// Handles a request whose engine died. The next attempt excludes this engine and continues after the tokens
    /// produced so far. It starts at once for a baseline or when the retry budget allows it, otherwise after
    /// [`RETRY_DELAY`].
    fn handle_lost_work(&mut self, work: LostWork, engine: usize) {
        let domain = self.workload.engines[engine].domain;
        let state = &mut self.requests[work.request];
        state.done = (state.done + work.tokens).min(state.tokens - 1);
        state.excluded.push(engine);
        state.phase = RequestPhase::AwaitingRetry;
        let service = state.service;
        self.finish_in_router(work.request, PermitOutcome::Failed, work.tokens);
        let is_product_policy = matches!(self.router, PolicyRouter::Product(_));
        let can_retry = !is_product_policy || self.retry_budgets[domain * 2 + service].try_consume_retry(self.now);
        let delay = if can_retry { Duration::ZERO } else { RETRY_DELAY };
        self.plan(self.now + delay, SimEvent::Retry(work.request));
    }

    /// Tells the router that a request ended, granted or not.
    fn finish_in_router(&mut self, request: usize, outcome: PermitOutcome, tokens: u32) {
        let state = &self.requests[request];
        let total = self.now.saturating_sub(state.granted_at);
        let first_token = state.first_token;
        self.call_router(|router, now| router.finish(now, request, outcome, tokens, first_token, total));
    }

    fn handle_tick(&mut self) {
        self.call_router(PolicyRouter::tick);
        for engine in self.engines.iter().filter(|engine| engine.is_alive && engine.spec.service == SCORING) {
            self.counters.cost += engine.spec.price * TICK_PERIOD.as_secs_f64();
            if engine.spec.domain != HIT_DOMAIN && RunCounters::is_fault_time(self.now) {
                self.counters.other_used += f64::from(engine.open_requests().min(engine.spec.slots));
                self.counters.other_slots += f64::from(engine.spec.slots);
            }
        }
        self.copy_stragglers();
        self.plan(self.now + TICK_PERIOD, SimEvent::Tick);
    }

    fn report_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let running = std::mem::replace(&mut self.reported_requests[engine], self.engines[engine].open_requests());
            if !self.engines[engine].is_alive {
                continue;
            }
            let up_time = self.now.saturating_sub(self.engines[engine].started_at + REPORT_PERIOD);
            let load = EngineLoad {
                age_ms: REPORT_PERIOD.as_millis() as u64,
                running,
                staged_version: None,
                started_ms: up_time.as_millis() as u64,
                weight_version: 1,
            };
            let mut events = Vec::new();
            let now = self.now;
            while let Some(change) =
                self.engines[engine].cache_changes.pop_front_if(|change| change.at + CACHE_EVENT_DELAY <= now)
            {
                if self.random.random_range(0..100) >= CACHE_EVENT_LOSS_PERCENT {
                    events.push(CacheEvent {
                        prefix_hash: change.hash,
                        sequence: change.sequence,
                        stored: change.is_stored,
                    });
                }
            }
            self.call_router(|router, now| router.report_engine(now, engine, &load, &events));
        }
        self.plan(self.now + REPORT_PERIOD, SimEvent::Report);
    }

    fn apply_change(&mut self, change: ScriptedChange) {
        match change.change {
            EngineChange::Out => self.call_router(|router, now| router.set_in_rotation(now, change.engine, false)),
            EngineChange::In => self.call_router(|router, now| router.set_in_rotation(now, change.engine, true)),
            EngineChange::Kill => {
                for work in self.engines[change.engine].kill(self.now) {
                    self.handle_lost_work(work, change.engine);
                }
            }
            EngineChange::Start => self.engines[change.engine].start(self.now),
            EngineChange::Cold => self.engines[change.engine].turn_cold(self.now),
        }
        self.plan_engine_event(change.engine);
    }

    /// Plans the next event of an engine. Events planned for an earlier generation of the engine are ignored.
    fn plan_engine_event(&mut self, engine: usize) {
        if let Some(due) = self.engines[engine].next_event_at() {
            self.plan(due, SimEvent::Engine(engine, self.engines[engine].generation));
        }
    }

    /// Calls the router, and adds the real time of the call to the counters.
    fn call_router(&mut self, call: impl FnOnce(&mut PolicyRouter, Duration)) {
        let start = Instant::now();
        call(&mut self.router, self.now);
        self.counters.call_time += start.elapsed();
    }
}
