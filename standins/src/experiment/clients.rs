//! Trainers: steps of samples in groups, one step generated while the one before is trained on.

use std::time::Duration;

use camphorspring::policy::straggler_plan::SampleProgress;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::experiment::user_workload::{GROUP_SAMPLES, TrainerSpec};

/// Requests that a step keeps open.
pub const STEP_WINDOW: usize = 160;

/// Prompt tokens behind each prefix hash.
pub const BLOCK_TOKENS: u32 = 64;

/// Prefix blocks of an organisation's own prompt start.
const ORGANISATION_BLOCKS: usize = 2;

/// Prefix blocks of a group's prompt.
const GROUP_BLOCKS: usize = 6;

/// Prompt tokens of a page behind the organisation's prompt start.
const PAGE_TAIL: u32 = 32;

/// Most tokens of a sample.
pub const SAMPLE_LIMIT: u32 = 4096;

/// Median tokens of a sample.
const SAMPLE_MEDIAN: f64 = 180.0;

/// Spread of the logarithm of a sample's tokens; one in a thousand is sixteen times the median.
const SAMPLE_SPREAD: f64 = 0.9;

/// A prompt.
#[derive(Debug, Clone)]
pub struct PromptShape {
    /// Hashes of its prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Tokens.
    pub tokens: u32,
}

/// One sample of a step.
#[derive(Debug, Clone)]
pub struct StepSample {
    /// Tokens.
    pub tokens: u32,
    /// Prompt, the same for a group.
    pub prompt: PromptShape,
    /// Progress.
    pub progress: SampleProgress,
    /// Requests that run it.
    pub requests: Vec<usize>,
}

/// State of a trainer.
#[derive(Debug)]
pub struct TrainerState {
    /// Organisation.
    pub organisation: usize,
    /// Fixed figures.
    pub spec: TrainerSpec,
    /// Number of the step whose samples are generated.
    pub step: u64,
    /// Start of its samples.
    pub started_at: Duration,
    /// Samples.
    pub samples: Vec<StepSample>,
    /// Samples not started.
    pub next: usize,
    /// Samples with a running or waiting request.
    pub open: usize,
    /// Samples done.
    pub done: usize,
    /// End of the present training; `None` before the first step.
    pub training_until: Option<Duration>,
}

impl TrainerState {
    /// Trainer before its first step.
    #[must_use]
    pub fn new(organisation: usize, spec: TrainerSpec) -> Self {
        Self {
            organisation,
            spec,
            step: 0,
            started_at: Duration::ZERO,
            samples: Vec::new(),
            next: 0,
            open: 0,
            done: 0,
            training_until: None,
        }
    }

    /// Starts the samples of the next step.
    pub fn begin_step(&mut self, now: Duration, random: &mut ChaCha8Rng) {
        self.step += 1;
        self.started_at = now;
        self.next = 0;
        self.open = 0;
        self.done = 0;
        self.samples.clear();
        while self.samples.len() < self.spec.samples {
            let prompt = group_prompt(self.organisation, random);
            for _ in 0..GROUP_SAMPLES {
                let progress = SampleProgress { expected_tokens: 0, started_at: None, copies: 0, is_done: false };
                let tokens = sample_length(random);
                self.samples.push(StepSample { tokens, prompt: prompt.clone(), progress, requests: Vec::new() });
            }
        }
    }

    /// Whether all samples are done.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.done == self.samples.len()
    }

    /// Whether what is left is the end of the step, which firm targets get: the last fiftieth. With the last tenth,
    /// a trial with two seeds had 28 s of idle time after a domain loss, since samples waited for three firm engines.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.next * 50 >= self.samples.len() * 49
    }
}

/// Prompt of a page of an organisation.
#[must_use]
pub fn page_prompt(organisation: usize) -> PromptShape {
    let prefixes: Vec<u64> = (0..4).map(|block| organisation_hash(organisation, 100 + block)).collect();
    PromptShape { tokens: prefixes.len() as u32 * BLOCK_TOKENS + PAGE_TAIL, prefixes }
}

/// Prompt of a group.
#[must_use]
pub fn group_prompt(organisation: usize, random: &mut ChaCha8Rng) -> PromptShape {
    let mut prefixes: Vec<u64> =
        (0..ORGANISATION_BLOCKS).map(|block| organisation_hash(organisation, block as u64)).collect();
    prefixes.extend((0..GROUP_BLOCKS).map(|_| random.next_u64()));
    PromptShape { tokens: prefixes.len() as u32 * BLOCK_TOKENS, prefixes }
}

fn organisation_hash(organisation: usize, block: u64) -> u64 {
    camphorspring::policy::shard_map::mix_hash(organisation as u64 * 1000 + block + 1)
}

/// Heavy-tailed length: log-normal, by the sum of twelve uniform numbers.
fn sample_length(random: &mut ChaCha8Rng) -> u32 {
    let normal = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let tokens = SAMPLE_MEDIAN * (SAMPLE_SPREAD * normal).exp();
    (tokens as u32).clamp(1, SAMPLE_LIMIT)
}

/// Time to the next event of a Poisson process.
#[must_use]
pub fn next_gap(rate: f64, random: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = random.random_range(1e-9..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
