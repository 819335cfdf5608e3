//! Plans the requests of a run and the times at which they are due, from a seed.

use std::fmt::Write as _;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::options::{LoadOptions, RequestMix};

/// Number of prompt families. Prompts of a family share their first half, so that prefix caches have an effect.
const PROMPT_FAMILIES: u32 = 8;

/// Kind of a request. Direct completions and streams go to an engine, direct bookings and pages to a
/// plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Completion with one whole response.
    Completion,
    /// Streamed completion; latency counts to the first event with text.
    Stream,
    /// Booking, a request that is not repeatable and has an idempotency key.
    Booking,
    /// Page on a route that needs no key.
    Page,
}

/// One request of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlannedRequest {
    /// Time since the start of the run.
    pub(super) due: Duration,
    pub(super) kind: RequestKind,
    /// Whether the request goes to an engine or plain service instead of a host.
    pub(super) is_direct: bool,
    /// Position in the plan.
    pub(super) number: u32,
    pub(super) prompt: String,
    /// Token limit.
    pub(super) tokens: u32,
    /// Seed of the generated text.
    pub(super) seed: u64,
}

/// Plans requests as a Poisson process, as many independent callers send them, in order of their due times.
pub(super) fn plan_requests(options: &LoadOptions) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut plan = Vec::new();
    let mut due = 0.0;
    loop {
        let uniform: f64 = random.random();
        due += -(1.0 - uniform).ln() / options.rate.max(0.001);
        if due >= options.duration.as_secs_f64() {
            return plan;
        }
        let number = u32::try_from(plan.len()).unwrap_or(u32::MAX);
        plan.push(plan_request(options, &mut random, number, Duration::from_secs_f64(due)));
    }
}

fn plan_request(options: &LoadOptions, random: &mut ChaCha8Rng, number: u32, due: Duration) -> PlannedRequest {
    let kind = choose_kind(options.mix, random);
    let has_direct_url = match kind {
        RequestKind::Completion | RequestKind::Stream => options.direct_engine.is_some(),
        RequestKind::Booking | RequestKind::Page => options.direct_plain.is_some(),
    };
    let is_direct = random.random_range(0..options.direct_every.max(1)) == 0 && has_direct_url;
    let family = random.random_range(0..PROMPT_FAMILIES);
    let prompt = make_prompt(options.prompt_bytes, family, options.seed, number);
    let tokens = if kind == RequestKind::Stream { options.stream_tokens } else { options.tokens };
    PlannedRequest { due, kind, is_direct, number, prompt, tokens, seed: random.random() }
}

fn choose_kind(mix: RequestMix, random: &mut ChaCha8Rng) -> RequestKind {
    let weights = [
        (RequestKind::Completion, mix.completions),
        (RequestKind::Stream, mix.streams),
        (RequestKind::Booking, mix.bookings),
        (RequestKind::Page, mix.pages),
    ];
    let total: u32 = weights.iter().map(|(_, weight)| weight).sum();
    let mut choice = random.random_range(0..total.max(1));
    for (kind, weight) in weights {
        if choice < weight {
            return kind;
        }
        choice -= weight;
    }
    RequestKind::Page
}

/// Prompt that is unique in the run; its first half is the same for all requests of the family.
fn make_prompt(bytes: usize, family: u32, seed: u64, number: u32) -> String {
    let mut prompt = String::with_capacity(bytes + 32);
    while prompt.len() < bytes / 2 {
        let _ = write!(prompt, "family {family} of piles. ");
    }
    let _ = write!(prompt, "run {seed} request {number}. ");
    while prompt.len() < bytes {
        prompt.push_str("leaf ");
    }
    prompt
}
