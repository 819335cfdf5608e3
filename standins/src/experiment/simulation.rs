//! The event loop of one run.

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
use crate::experiment::clients::{PromptShape, TrainerState, group_prompt, next_gap, page_prompt};
use crate::experiment::engine_model::{EngineModel, EngineProgress, EngineWork, LostWork};
use crate::experiment::fault_script::{
    EngineChange, FAULT_END, FAULT_START, FLOOD_ORGANISATION, FaultScript, HIT_DOMAIN, RUN_TIME, ScriptedChange,
};
use crate::experiment::measures::{PAGE_LIMIT, RunCounters, RunOutcome};
use crate::experiment::policy_router::{PolicyRouter, RouteRequest};
use crate::experiment::product_router::ProductRouter;
use crate::experiment::request_state::{RequestOwner, RequestPhase, RequestState, SimEvent};
use crate::experiment::user_workload::{PAGES, SCORING, UserWorkload};

const TICK: Duration = Duration::from_millis(100);

/// Period of the engines' load reports, and their age.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Age of cache events when they are read.
const EVENT_LAG: Duration = Duration::from_secs(2);

/// Share of cache events that are lost, in percent.
const EVENT_LOSS: u32 = 5;

/// Wait before a refused sample is asked for again.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

/// Wait of a single scoring request.
const SCORING_LIMIT: Duration = Duration::from_secs(20);

/// Longest wait of a sample in a queue before it is asked for again.
const SAMPLE_WAIT: Duration = Duration::from_mins(2);

/// Tokens of a page.
const PAGE_TOKENS: u32 = 40;

/// Tokens of a single scoring request.
const SCORING_TOKENS: u32 = 150;

/// Scoring requests and pages per second of a flood; about twice what all targets carry.
const FLOOD_RATE: f64 = 160.0;

/// Policy under study.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// The product's.
    Product,
    /// The product's on firm targets only.
    AllFirm,
    /// The product's without organisations and deadlines.
    NoFairness,
    /// A rule.
    Rule(BaselineRule),
}

/// One run.
pub struct Simulation {
    pub(super) now: Duration,
    pub(super) random: ChaCha8Rng,
    pub(super) workload: UserWorkload,
    pub(super) has_copies: bool,
    pub(super) engines: Vec<EngineModel>,
    pub(super) requests: Vec<RequestState>,
    pub(super) trainers: Vec<TrainerState>,
    pub(super) counters: RunCounters,
    script: FaultScript,
    changes: Vec<ScriptedChange>,
    router: PolicyRouter,
    events: BinaryHeap<Reverse<(Duration, u64, SimEvent)>>,
    next_event: u64,
    budgets: Vec<RetryBudget>,
    reported: Vec<u32>,
}

impl Simulation {
    /// Run that has not started.
    #[must_use]
    pub fn new(workload: &UserWorkload, policy: PolicyKind, script: FaultScript, seed: u64) -> Self {
        let workload = if policy == PolicyKind::AllFirm { workload.all_firm() } else { workload.clone() };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let router = match policy {
            PolicyKind::Rule(rule) => {
                let routing = ChaCha8Rng::seed_from_u64(random.random_range(0..u64::MAX));
                PolicyRouter::Rule(Box::new(BaselineRouter::new(&workload, rule, routing)))
            }
            kind => PolicyRouter::Core(Box::new(ProductRouter::new(&workload, kind != PolicyKind::NoFairness))),
        };
        let engines: Vec<EngineModel> = workload.engines.iter().cloned().map(EngineModel::new).collect();
        let hit = |index: &usize| {
            let spec = &workload.engines[*index];
            script.hits(*index, spec.domain, spec.is_firm)
        };
        let changes = (0..engines.len()).filter(hit).flat_map(|engine| script.changes(engine)).collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            random,
            has_copies: matches!(policy, PolicyKind::Product | PolicyKind::AllFirm),
            reported: vec![0; engines.len()],
            budgets: vec![RetryBudget::new(); workload.domains * 2],
            engines,
            requests: Vec::new(),
            trainers: Vec::new(),
            counters: RunCounters { served: vec![0.0; workload.organisations.len()], ..RunCounters::default() },
            script,
            changes,
            router,
            events: BinaryHeap::new(),
            next_event: 0,
            workload,
        };
        simulation.plan_start();
        simulation
    }

    /// Runs to the end.
    #[must_use]
    pub fn run(mut self) -> RunOutcome {
        loop {
            let next_event = self.events.peek().map_or(Duration::MAX, |event| event.0.0);
            let next_frame = self.router.next_time().unwrap_or(Duration::MAX);
            self.now = next_event.min(next_frame);
            if self.now >= RUN_TIME {
                break;
            }
            if next_frame <= next_event {
                self.timed(PolicyRouter::deliver);
            } else if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle(event);
            }
            self.take_results();
        }
        self.now = RUN_TIME;
        self.end_trainers();
        let prefilled = self.engines.iter().map(|engine| engine.prefilled).sum();
        self.counters.outcome(prefilled)
    }

    /// Creates a request and asks for a target.
    pub(super) fn submit(&mut self, request: RequestState) -> usize {
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.ask(index);
        index
    }

    /// Ends a request that nobody wants any more.
    pub(super) fn drop_request(&mut self, request: usize) {
        let phase = std::mem::replace(&mut self.requests[request].phase, RequestPhase::Ended);
        if let RequestPhase::Running(engine) = phase {
            let tokens = self.engines[engine].cancel(self.now, request);
            self.counters.wasted_tokens += f64::from(tokens);
            self.plan_engine(engine);
        }
        if matches!(phase, RequestPhase::Running(_) | RequestPhase::Waiting) {
            self.release(request, PermitOutcome::Cancelled, 0);
        }
    }

    pub(super) fn plan(&mut self, at: Duration, event: SimEvent) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn plan_start(&mut self) {
        self.plan(TICK, SimEvent::Tick);
        self.plan(REPORT_PERIOD, SimEvent::Report);
        for index in 0..self.changes.len() {
            self.plan(self.changes[index].at, SimEvent::Change(index));
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

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Engine(engine, generation) => self.run_engine(engine, generation),
            SimEvent::Tick => self.tick(),
            SimEvent::Report => self.report(),
            SimEvent::Page(organisation) => self.page_arrives(organisation),
            SimEvent::Scoring(organisation) => {
                let rate = self.workload.organisations[organisation].scorings;
                self.scoring_arrives(organisation);
                let gap = next_gap(rate, &mut self.random);
                self.plan(self.now + gap, SimEvent::Scoring(organisation));
            }
            SimEvent::Flood => self.flood_arrives(),
            SimEvent::Training(trainer) => self.training_due(trainer),
            SimEvent::Change(index) => self.change_engine(self.changes[index]),
            SimEvent::Retry(request) => self.retry(request),
            SimEvent::GiveUp(request) => self.give_up(request),
        }
    }

    fn page_arrives(&mut self, organisation: usize) {
        let base = self.workload.organisations[organisation].pages;
        let in_burst = self.workload.burst.filter(|burst| {
            let phase = self.now.as_secs_f64() % burst.period.as_secs_f64();
            phase < burst.length.as_secs_f64()
        });
        let rate = base * in_burst.map_or(1.0, |burst| burst.factor);
        self.submit_single(organisation, PAGES, PAGE_TOKENS, page_prompt(organisation), PAGE_LIMIT);
        // A long gap drawn outside a burst would skip the burst.
        let gap = next_gap(rate, &mut self.random).min(Duration::from_secs(2));
        self.plan(self.now + gap, SimEvent::Page(organisation));
    }

    fn scoring_arrives(&mut self, organisation: usize) {
        let prompt = group_prompt(organisation, &mut self.random);
        self.submit_single(organisation, SCORING, SCORING_TOKENS, prompt, SCORING_LIMIT);
    }

    fn flood_arrives(&mut self) {
        if self.now >= FAULT_END {
            return;
        }
        self.scoring_arrives(FLOOD_ORGANISATION);
        let prompt = page_prompt(FLOOD_ORGANISATION);
        self.submit_single(FLOOD_ORGANISATION, PAGES, PAGE_TOKENS, prompt, PAGE_LIMIT);
        let gap = next_gap(FLOOD_RATE, &mut self.random);
        self.plan(self.now + gap, SimEvent::Flood);
    }

    fn submit_single(
        &mut self,
        organisation: usize,
        service: usize,
        tokens: u32,
        prompt: PromptShape,
        limit: Duration,
    ) {
        let request = self.submit(RequestState {
            owner: RequestOwner::Single,
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
        self.plan(self.now + limit, SimEvent::GiveUp(request));
    }

    fn ask(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.phase = RequestPhase::Waiting;
        let hosts = self.workload.domains * self.workload.domain_hosts;
        // A host runs all samples of its shard of a step; the balancer spreads the others.
        let host = match state.owner {
            RequestOwner::Sample { trainer, step, sample } => {
                mix_hash(trainer as u64 + 100 * step + 10_000 * (sample / SHARD_SAMPLES) as u64) as usize % hosts
            }
            RequestOwner::Single => self.random.random_range(0..hosts),
        };
        let wait = match (state.owner, state.service) {
            (RequestOwner::Sample { .. }, _) => SAMPLE_WAIT,
            (RequestOwner::Single, PAGES) => PAGE_LIMIT,
            (RequestOwner::Single, _) => SCORING_LIMIT,
        };
        let ask = RouteRequest {
            request,
            host,
            organisation: state.organisation,
            service: state.service,
            most_tokens: state.tokens,
            prefixes: state.prompt.prefixes.clone(),
            firm_only: state.firm_only,
            deadline: state.deadline,
            excluded: state.excluded.clone(),
            wait,
        };
        self.timed(|router, now| router.submit(now, &ask));
        self.counters.calls += 1;
    }

    fn take_results(&mut self) {
        loop {
            let results = self.router.take_results();
            if results.is_empty() {
                return;
            }
            for result in results {
                match result.engine {
                    Some(engine) => self.start_on(result.request, engine),
                    None => self.refused(result.request),
                }
            }
        }
    }

    fn start_on(&mut self, request: usize, engine: usize) {
        if self.requests[request].phase != RequestPhase::Waiting {
            self.release(request, PermitOutcome::Cancelled, 0);
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
            self.lost(LostWork { request, tokens: 0 }, engine);
            return;
        }
        self.engines[engine].add(self.now, work);
        self.note_overload(engine);
        self.plan_engine(engine);
    }

    fn note_overload(&mut self, engine: usize) {
        let engine = &self.engines[engine];
        if engine.is_cold() {
            let overload = f64::from(engine.open_requests()) / f64::from(engine.spec.bears);
            self.counters.cold_overload = self.counters.cold_overload.max(overload);
        }
    }

    fn refused(&mut self, request: usize) {
        match self.requests[request].owner {
            RequestOwner::Single => self.single_failed(request),
            RequestOwner::Sample { .. } => {
                self.requests[request].phase = RequestPhase::Pausing;
                self.plan(self.now + REFUSAL_PAUSE, SimEvent::Retry(request));
            }
        }
    }

    fn single_failed(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.phase = RequestPhase::Ended;
        let is_counted = state.service == PAGES && RunCounters::is_fault_time(state.created_at);
        let is_flooder = self.script == FaultScript::Flood && state.organisation == FLOOD_ORGANISATION;
        if is_counted && !is_flooder {
            self.counters.pages.push(PAGE_LIMIT.as_secs_f64() * 1000.0);
            self.counters.failed_pages += 1.0;
        }
    }

    fn give_up(&mut self, request: usize) {
        if self.requests[request].phase != RequestPhase::Ended {
            self.drop_request(request);
            self.single_failed(request);
        }
    }

    fn retry(&mut self, request: usize) {
        if self.requests[request].phase == RequestPhase::Pausing {
            self.ask(request);
        }
    }

    fn run_engine(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let events = self.engines[engine].take_events(self.now);
        self.plan_engine(engine);
        for event in events {
            match event {
                EngineProgress::FirstToken(request) => {
                    let state = &mut self.requests[request];
                    state.first_token = self.now.saturating_sub(state.granted_at);
                }
                EngineProgress::Complete(request) => self.complete(request, engine),
            }
        }
    }

    fn complete(&mut self, request: usize, engine: usize) {
        let state = &mut self.requests[request];
        state.phase = RequestPhase::Ended;
        let produced = state.tokens - state.done;
        let state = state.clone();
        self.release(request, PermitOutcome::Finished, produced);
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
        let is_flooder = self.script == FaultScript::Flood && state.organisation == FLOOD_ORGANISATION;
        if state.service == PAGES && RunCounters::is_fault_time(state.created_at) && !is_flooder {
            self.counters.pages.push(self.now.saturating_sub(state.created_at).as_secs_f64() * 1000.0);
        }
        if let RequestOwner::Sample { trainer, step, sample } = state.owner {
            self.sample_done(trainer, step, sample, request);
        }
    }

    /// A target died with a request; it is tried again with the tokens so far, within the product's retry budget.
    fn lost(&mut self, work: LostWork, engine: usize) {
        let domain = self.workload.engines[engine].domain;
        let state = &mut self.requests[work.request];
        state.done = (state.done + work.tokens).min(state.tokens - 1);
        state.excluded.push(engine);
        state.phase = RequestPhase::Pausing;
        let service = state.service;
        self.release(work.request, PermitOutcome::Failed, work.tokens);
        let is_product = matches!(self.router, PolicyRouter::Core(_));
        let may_retry = !is_product || self.budgets[domain * 2 + service].try_consume_retry(self.now);
        let pause = if may_retry { Duration::ZERO } else { REFUSAL_PAUSE };
        self.plan(self.now + pause, SimEvent::Retry(work.request));
    }

    fn release(&mut self, request: usize, outcome: PermitOutcome, tokens: u32) {
        let state = &self.requests[request];
        let total = self.now.saturating_sub(state.granted_at);
        let first_token = state.first_token;
        self.timed(|router, now| router.finish(now, request, outcome, tokens, first_token, total));
    }

    fn tick(&mut self) {
        self.timed(PolicyRouter::tick);
        for engine in self.engines.iter().filter(|engine| engine.is_alive && engine.spec.service == SCORING) {
            self.counters.cost += engine.spec.price * TICK.as_secs_f64();
            if engine.spec.domain != HIT_DOMAIN && RunCounters::is_fault_time(self.now) {
                self.counters.other_used += f64::from(engine.open_requests().min(engine.spec.slots));
                self.counters.other_slots += f64::from(engine.spec.slots);
            }
        }
        self.copy_stragglers();
        self.plan(self.now + TICK, SimEvent::Tick);
    }

    fn report(&mut self) {
        for engine in 0..self.engines.len() {
            let running = std::mem::replace(&mut self.reported[engine], self.engines[engine].open_requests());
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
            while let Some(change) = self.engines[engine].changes.pop_front_if(|change| change.at + EVENT_LAG <= now) {
                if self.random.random_range(0..100) >= EVENT_LOSS {
                    events.push(CacheEvent {
                        prefix_hash: change.hash,
                        sequence: change.sequence,
                        stored: change.is_stored,
                    });
                }
            }
            self.timed(|router, now| router.report(now, engine, &load, &events));
        }
        self.plan(self.now + REPORT_PERIOD, SimEvent::Report);
    }

    fn change_engine(&mut self, change: ScriptedChange) {
        match change.change {
            EngineChange::Out => self.timed(|router, now| router.place(now, change.engine, false)),
            EngineChange::In => self.timed(|router, now| router.place(now, change.engine, true)),
            EngineChange::Kill => {
                for work in self.engines[change.engine].kill(self.now) {
                    self.lost(work, change.engine);
                }
            }
            EngineChange::Start => self.engines[change.engine].start(self.now),
            EngineChange::Cold => self.engines[change.engine].turn_cold(self.now),
        }
        self.plan_engine(change.engine);
    }

    fn plan_engine(&mut self, engine: usize) {
        if let Some(due) = self.engines[engine].next_due() {
            self.plan(due, SimEvent::Engine(engine, self.engines[engine].generation));
        }
    }

    fn timed(&mut self, call: impl FnOnce(&mut PolicyRouter, Duration)) {
        let start = Instant::now();
        call(&mut self.router, self.now);
        self.counters.call_time += start.elapsed();
    }
}
