//! Model of an engine with continuous batching, a prefix cache and cold phases.
//!
//! The engine counts its progress in token steps. In one token step each running request produces one token or prefills
//! a part of its prompt; the more requests run, the longer a token step takes. Requests without a free slot wait in the
//! engine in arrival order.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::experiment::user_workload::EngineSpec;

/// Number of running requests at which a token step takes twice as long as in an empty engine.
const DOUBLING_BATCH_SIZE: f64 = 16.0;

/// Number of token steps that the prefill of one prompt token takes.
const PREFILL_STEPS_PER_TOKEN: f64 = 0.03;

/// A cold engine takes this many times as long for the prefill.
const COLD_PREFILL_FACTOR: f64 = 6.0;

/// A token step takes this many times as long in a cold engine that runs more requests than [`EngineSpec::bears`].
const COLD_OVERLOAD_FACTOR: f64 = 4.0;

/// Number of token steps after which a cold engine is warm.
const WARM_STEPS: f64 = 1000.0;

/// Largest number of prefix blocks in the cache: 64,000 tokens.
const MAX_CACHE_BLOCKS: usize = 1000;

/// Request that an engine is to run.
#[derive(Debug, Clone)]
pub struct EngineWork {
    /// Index of the request in the simulation.
    pub request: usize,
    /// Number of tokens to produce.
    pub tokens: u32,
    /// Length of the prompt in tokens, including the tokens that earlier attempts produced.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes, one for each length in whole blocks, shortest first.
    pub prefixes: Vec<u64>,
    /// Number of prompt tokens in each prefix block.
    pub block_tokens: u32,
}

/// Event of a request in an engine, with the index of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine has produced the first token.
    FirstToken(usize),
    /// The engine has produced all tokens and has removed the request.
    Complete(usize),
}

/// Request that was running or waiting in an engine when the engine died.
#[derive(Debug, Clone, Copy)]
pub struct LostWork {
    /// Index of the request in the simulation.
    pub request: usize,
    /// Number of tokens that the engine had produced; 0 when the request was waiting.
    pub tokens: u32,
}

#[derive(Debug, Clone)]
struct RunningWork {
    request: usize,
    /// Token step of the engine at which the first token is produced.
    first_token_step: f64,
    /// Token step of the engine at which the last token is produced.
    finish_step: f64,
    tokens: u32,
    has_first_token: bool,
}

/// Addition or removal of a prefix in the cache, as the engine publishes it.
#[derive(Debug, Clone, Copy)]
pub struct CacheChange {
    /// Time of the change.
    pub at: Duration,
    /// Number of the change at this engine, counted from 1.
    pub sequence: u64,
    /// Hash of the prefix.
    pub hash: u64,
    /// Whether the prefix was added; otherwise it was removed.
    pub is_stored: bool,
}

/// State of one engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Capacity, speed and place of the engine.
    pub spec: EngineSpec,
    /// Whether the engine runs; a dead engine must not get requests.
    pub is_alive: bool,
    /// Time of the last start; zero when the engine never restarted.
    pub started_at: Duration,
    /// Incremented by each change that can move the next event. A planned event with another generation is ignored.
    pub generation: u64,
    /// Number of prompt tokens so far that were not in the cache.
    pub prefilled_tokens: u64,
    /// Published changes of the cache, oldest first; the reader removes them.
    pub cache_changes: VecDeque<CacheChange>,
    /// Number of token steps so far; an idle engine makes none.
    token_steps: f64,
    /// Token step at which the engine is warm.
    warm_step: f64,
    /// Time up to which `token_steps` counts.
    advanced_at: Duration,
    running: Vec<RunningWork>,
    waiting: VecDeque<EngineWork>,
    /// Sequence number of the last use of each cached prefix.
    cached_prefixes: BTreeMap<u64, u64>,
    /// Inverse of `cached_prefixes`: the first entry is the least recently used prefix, which is removed first.
    prefixes_by_use: BTreeMap<u64, u64>,
    /// Sequence number of the last use of any prefix.
    use_count: u64,
    sequence: u64,
}

impl EngineModel {
    /// Creates a warm engine without requests and with an empty cache.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            is_alive: true,
            started_at: Duration::ZERO,
            generation: 0,
            prefilled_tokens: 0,
            cache_changes: VecDeque::new(),
            token_steps: 0.0,
            warm_step: 0.0,
            advanced_at: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached_prefixes: BTreeMap::new(),
            prefixes_by_use: BTreeMap::new(),
            use_count: 0,
            sequence: 0,
        }
    }

    /// Number of requests in the engine, waiting ones included.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Tokens per second with all slots in use.
    #[must_use]
    pub fn full_rate(&self) -> f64 {
        let slots = f64::from(self.spec.slots);
        slots / (self.spec.token_time.as_secs_f64() * (1.0 + slots / DOUBLING_BATCH_SIZE))
    }

    /// Adds a request. It starts at once if a slot is free.
    pub fn add(&mut self, now: Duration, work: EngineWork) {
        self.advance(now);
        self.waiting.push_back(work);
        self.start_waiting_work(now);
        self.generation += 1;
    }

    /// Removes a request, and returns the number of tokens produced for it; 0 when it waits or is unknown.
    pub fn cancel(&mut self, now: Duration, request: usize) -> u32 {
        self.advance(now);
        self.waiting.retain(|work| work.request != request);
        let work = self.running.iter().find(|work| work.request == request);
        let tokens = work.map_or(0, |work| self.produced_tokens(work));
        self.running.retain(|work| work.request != request);
        self.start_waiting_work(now);
        self.generation += 1;
        tokens
    }

    /// Time of the next event; `None` when no request runs.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Duration> {
        let next = self.running.iter().map(RunningWork::next_event_step).fold(f64::MAX, f64::min);
        if self.running.is_empty() {
            return None;
        }
        let steps = (next - self.token_steps).max(0.0);
        // One microsecond is added, so that the event is due at this time in spite of rounding.
        let time = Duration::from_secs_f64(steps * self.token_step_seconds()) + Duration::from_micros(1);
        Some(self.advanced_at + time)
    }

    /// Advances to `now` and returns the events that became due. Waiting requests start in the freed slots.
    pub fn collect_events(&mut self, now: Duration) -> Vec<EngineEvent> {
        self.advance(now);
        let mut events = Vec::new();
        for work in &mut self.running {
            if !work.has_first_token && work.first_token_step <= self.token_steps {
                work.has_first_token = true;
                events.push(EngineEvent::FirstToken(work.request));
            }
            if work.finish_step <= self.token_steps {
                events.push(EngineEvent::Complete(work.request));
            }
        }
        let token_steps = self.token_steps;
        self.running.retain(|work| work.finish_step > token_steps);
        self.start_waiting_work(now);
        self.generation += 1;
        events
    }

    /// Stops the engine, and returns the requests that were running or waiting in it.
    pub fn kill(&mut self, now: Duration) -> Vec<LostWork> {
        self.advance(now);
        let running =
            self.running.iter().map(|work| LostWork { request: work.request, tokens: self.produced_tokens(work) });
        let waiting = self.waiting.iter().map(|work| LostWork { request: work.request, tokens: 0 });
        let lost = running.chain(waiting).collect();
        self.running.clear();
        self.waiting.clear();
        self.is_alive = false;
        self.generation += 1;
        lost
    }

    /// Starts the engine again, cold and with an empty cache.
    pub fn start(&mut self, now: Duration) {
        self.advance(now);
        self.is_alive = true;
        self.started_at = now;
        self.turn_cold(now);
    }

    /// Makes the engine cold and empties the cache, without publishing the removals.
    pub fn turn_cold(&mut self, now: Duration) {
        self.advance(now);
        self.cached_prefixes.clear();
        self.prefixes_by_use.clear();
        self.warm_step = self.token_steps + WARM_STEPS;
        self.generation += 1;
    }

    /// Whether the engine is cold: slow at prefill, and slow at every token while more than [`EngineSpec::bears`]
    /// requests run.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.token_steps < self.warm_step
    }

    /// Duration of one token step in seconds.
    fn token_step_seconds(&self) -> f64 {
        let running = self.running.len() as f64;
        let time = self.spec.token_time.as_secs_f64() * (1.0 + running / DOUBLING_BATCH_SIZE);
        let is_overloaded = self.is_cold() && self.running.len() > self.spec.bears as usize;
        if is_overloaded { time * COLD_OVERLOAD_FACTOR } else { time }
    }

    fn advance(&mut self, now: Duration) {
        if !self.running.is_empty() {
            self.token_steps += now.saturating_sub(self.advanced_at).as_secs_f64() / self.token_step_seconds();
        }
        self.advanced_at = now;
    }

    fn produced_tokens(&self, work: &RunningWork) -> u32 {
        let left = (work.finish_step - self.token_steps).max(0.0);
        work.tokens.saturating_sub(left.ceil() as u32)
    }

    fn start_waiting_work(&mut self, now: Duration) {
        while self.running.len() < self.spec.slots as usize {
            let Some(work) = self.waiting.pop_front() else { break };
            let cached_blocks =
                work.prefixes.iter().take_while(|hash| self.cached_prefixes.contains_key(*hash)).count() as u32;
            let prefill_tokens = work.prompt_tokens.saturating_sub(cached_blocks * work.block_tokens);
            self.prefilled_tokens += u64::from(prefill_tokens);
            let factor = if self.is_cold() { COLD_PREFILL_FACTOR } else { 1.0 };
            let prefill_steps = f64::from(prefill_tokens) * PREFILL_STEPS_PER_TOKEN * factor;
            self.running.push(RunningWork {
                request: work.request,
                first_token_step: self.token_steps + prefill_steps + 1.0,
                finish_step: self.token_steps + prefill_steps + f64::from(work.tokens.max(1)),
                tokens: work.tokens,
                has_first_token: false,
            });
            self.store_prefixes(now, &work.prefixes);
        }
    }

    fn store_prefixes(&mut self, now: Duration, prefixes: &[u64]) {
        for hash in prefixes {
            self.use_count += 1;
            match self.cached_prefixes.insert(*hash, self.use_count) {
                Some(previous_use) => {
                    self.prefixes_by_use.remove(&previous_use);
                }
                None => self.publish_change(now, *hash, true),
            }
            self.prefixes_by_use.insert(self.use_count, *hash);
        }
        while self.cached_prefixes.len() > MAX_CACHE_BLOCKS {
            let Some((_, hash)) = self.prefixes_by_use.pop_first() else { break };
            self.cached_prefixes.remove(&hash);
            self.publish_change(now, hash, false);
        }
    }

    fn publish_change(&mut self, at: Duration, hash: u64, is_stored: bool) {
        self.sequence += 1;
        self.cache_changes.push_back(CacheChange { at, sequence: self.sequence, hash, is_stored });
    }
}

impl RunningWork {
    fn next_event_step(&self) -> f64 {
        if self.has_first_token { self.finish_step } else { self.first_token_step.min(self.finish_step) }
    }
}
