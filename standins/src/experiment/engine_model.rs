//! Model of an engine: continuous batching, a prefix cache, and cold phases.
//!
//! Progress is counted in token steps, whose length depends on the number of running requests. Requests beyond the
//! slots wait in the engine in arrival order.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::experiment::user_workload::EngineSpec;

/// Running requests that double the time of a token step.
const BATCH_SCALE: f64 = 16.0;

/// Token steps that the prefill of one prompt token takes.
const PREFILL_STEPS: f64 = 0.03;

/// Factor on the prefill while cold.
const COLD_PREFILL: f64 = 6.0;

/// Factor on the token step while cold with more requests than the engine bears.
const COLD_OVERLOAD: f64 = 4.0;

/// Token steps until a cold engine is warm.
const WARM_STEPS: f64 = 1000.0;

/// Prefix blocks in the cache: 64,000 tokens.
const CACHE_BLOCKS: usize = 1000;

/// Work for an engine.
#[derive(Debug, Clone)]
pub struct EngineWork {
    /// Request.
    pub request: usize,
    /// Tokens to produce.
    pub tokens: u32,
    /// Prompt tokens, tokens of a resumed text included.
    pub prompt_tokens: u32,
    /// Hashes of the cacheable prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Prompt tokens behind each prefix block.
    pub block_tokens: u32,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineProgress {
    /// Its first token was produced.
    FirstToken(usize),
    /// It is complete.
    Complete(usize),
}

/// A request that a dead engine lost.
#[derive(Debug, Clone, Copy)]
pub struct LostWork {
    /// Request.
    pub request: usize,
    /// Tokens that were produced.
    pub tokens: u32,
}

#[derive(Debug, Clone)]
struct RunningWork {
    request: usize,
    first_at: f64,
    finish_at: f64,
    tokens: u32,
    has_first: bool,
}

/// A change of the cache, as the engine publishes it.
#[derive(Debug, Clone, Copy)]
pub struct CacheChange {
    /// When.
    pub at: Duration,
    /// Number.
    pub sequence: u64,
    /// Prefix.
    pub hash: u64,
    /// Whether it entered the cache.
    pub is_stored: bool,
}

/// State of one engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Fixed figures.
    pub spec: EngineSpec,
    /// Whether it runs.
    pub is_alive: bool,
    /// Start of its present life.
    pub started_at: Duration,
    /// Number of its plan; a planned event with another number is outdated.
    pub generation: u64,
    /// Prompt tokens that were not in the cache.
    pub prefilled: u64,
    /// Published changes of the cache that nobody has taken.
    pub changes: VecDeque<CacheChange>,
    progress: f64,
    warm_at: f64,
    last_time: Duration,
    running: Vec<RunningWork>,
    waiting: VecDeque<EngineWork>,
    cache: BTreeMap<u64, u64>,
    cache_uses: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
}

impl EngineModel {
    /// Warm engine without work.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            is_alive: true,
            started_at: Duration::ZERO,
            generation: 0,
            prefilled: 0,
            changes: VecDeque::new(),
            progress: 0.0,
            warm_at: 0.0,
            last_time: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: BTreeMap::new(),
            cache_uses: BTreeMap::new(),
            uses: 0,
            sequence: 0,
        }
    }

    /// Requests in the engine, waiting ones included.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Tokens per second with all slots taken.
    #[must_use]
    pub fn full_rate(&self) -> f64 {
        let slots = f64::from(self.spec.slots);
        slots / (self.spec.token_time.as_secs_f64() * (1.0 + slots / BATCH_SCALE))
    }

    /// Takes a request.
    pub fn add(&mut self, now: Duration, work: EngineWork) {
        self.advance(now);
        self.waiting.push_back(work);
        self.fill_slots(now);
        self.generation += 1;
    }

    /// Drops a request; returns the tokens that it has produced.
    pub fn cancel(&mut self, now: Duration, request: usize) -> u32 {
        self.advance(now);
        self.waiting.retain(|work| work.request != request);
        let work = self.running.iter().find(|work| work.request == request);
        let tokens = work.map_or(0, |work| self.done_tokens(work));
        self.running.retain(|work| work.request != request);
        self.fill_slots(now);
        self.generation += 1;
        tokens
    }

    /// Time of the next event; `None` when nothing runs.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let next = self.running.iter().map(RunningWork::next_at).fold(f64::MAX, f64::min);
        if self.running.is_empty() {
            return None;
        }
        let steps = (next - self.progress).max(0.0);
        // One microsecond more than computed, so that rounding never leaves the event just ahead.
        let time = Duration::from_secs_f64(steps * self.step_time()) + Duration::from_micros(1);
        Some(self.last_time + time)
    }

    /// Events up to now.
    pub fn take_events(&mut self, now: Duration) -> Vec<EngineProgress> {
        self.advance(now);
        let mut events = Vec::new();
        for work in &mut self.running {
            if !work.has_first && work.first_at <= self.progress {
                work.has_first = true;
                events.push(EngineProgress::FirstToken(work.request));
            }
            if work.finish_at <= self.progress {
                events.push(EngineProgress::Complete(work.request));
            }
        }
        let progress = self.progress;
        self.running.retain(|work| work.finish_at > progress);
        self.fill_slots(now);
        self.generation += 1;
        events
    }

    /// Ends the engine.
    pub fn kill(&mut self, now: Duration) -> Vec<LostWork> {
        self.advance(now);
        let running =
            self.running.iter().map(|work| LostWork { request: work.request, tokens: self.done_tokens(work) });
        let waiting = self.waiting.iter().map(|work| LostWork { request: work.request, tokens: 0 });
        let lost = running.chain(waiting).collect();
        self.running.clear();
        self.waiting.clear();
        self.is_alive = false;
        self.generation += 1;
        lost
    }

    /// Starts the engine again, cold.
    pub fn start(&mut self, now: Duration) {
        self.advance(now);
        self.is_alive = true;
        self.started_at = now;
        self.turn_cold(now);
    }

    /// Empties the cache and makes the engine cold.
    pub fn turn_cold(&mut self, now: Duration) {
        self.advance(now);
        self.cache.clear();
        self.cache_uses.clear();
        self.warm_at = self.progress + WARM_STEPS;
        self.generation += 1;
    }

    /// Whether it tolerates only light load.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.progress < self.warm_at
    }

    /// Seconds of one token step.
    fn step_time(&self) -> f64 {
        let running = self.running.len() as f64;
        let time = self.spec.token_time.as_secs_f64() * (1.0 + running / BATCH_SCALE);
        let is_overloaded = self.is_cold() && self.running.len() > self.spec.bears as usize;
        if is_overloaded { time * COLD_OVERLOAD } else { time }
    }

    fn advance(&mut self, now: Duration) {
        if !self.running.is_empty() {
            self.progress += now.saturating_sub(self.last_time).as_secs_f64() / self.step_time();
        }
        self.last_time = now;
    }

    fn done_tokens(&self, work: &RunningWork) -> u32 {
        let left = (work.finish_at - self.progress).max(0.0);
        work.tokens.saturating_sub(left.ceil() as u32)
    }

    fn fill_slots(&mut self, now: Duration) {
        while self.running.len() < self.spec.slots as usize {
            let Some(work) = self.waiting.pop_front() else { break };
            let cached = work.prefixes.iter().take_while(|hash| self.cache.contains_key(*hash)).count() as u32;
            let prefill = work.prompt_tokens.saturating_sub(cached * work.block_tokens);
            self.prefilled += u64::from(prefill);
            let factor = if self.is_cold() { COLD_PREFILL } else { 1.0 };
            let prefill_steps = f64::from(prefill) * PREFILL_STEPS * factor;
            self.running.push(RunningWork {
                request: work.request,
                first_at: self.progress + prefill_steps + 1.0,
                finish_at: self.progress + prefill_steps + f64::from(work.tokens.max(1)),
                tokens: work.tokens,
                has_first: false,
            });
            self.store_prefixes(now, &work.prefixes);
        }
    }

    fn store_prefixes(&mut self, now: Duration, prefixes: &[u64]) {
        for hash in prefixes {
            self.uses += 1;
            match self.cache.insert(*hash, self.uses) {
                Some(before) => {
                    self.cache_uses.remove(&before);
                }
                None => self.publish(now, *hash, true),
            }
            self.cache_uses.insert(self.uses, *hash);
        }
        while self.cache.len() > CACHE_BLOCKS {
            let Some((_, hash)) = self.cache_uses.pop_first() else { break };
            self.cache.remove(&hash);
            self.publish(now, hash, false);
        }
    }

    fn publish(&mut self, at: Duration, hash: u64, is_stored: bool) {
        self.sequence += 1;
        self.changes.push_back(CacheChange { at, sequence: self.sequence, hash, is_stored });
    }
}

impl RunningWork {
    fn next_at(&self) -> f64 {
        if self.has_first { self.finish_at } else { self.first_at.min(self.finish_at) }
    }
}
