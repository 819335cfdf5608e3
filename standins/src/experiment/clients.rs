//! State of the simulated trainers, and the random prompts, lengths and arrival gaps of all requests.
//!
//! A trainer's step consists of groups of samples. The samples of one step are generated while the trainer trains on
//! the step before.

use std::time::Duration;

use camphorspring::policy::straggler_plan::SampleProgress;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;

use crate::experiment::user_workload::{GROUP_SAMPLES, TrainerSpec};

/// Largest number of samples of a step that are open at one time; hedged runs are not counted.
pub const STEP_WINDOW: usize = 160;

/// Number of prompt tokens in each prefix block.
pub const BLOCK_TOKENS: u32 = 64;

/// Number of prefix blocks at the start of a prompt that all groups of an organisation share.
const ORGANISATION_BLOCKS: usize = 2;

/// Number of prefix blocks that only the samples of one group share.
const GROUP_BLOCKS: usize = 6;

/// Number of prompt tokens of a page after its prefix blocks.
const PAGE_TAIL_TOKENS: u32 = 32;

/// Upper bound of the tokens of a sample.
pub const MAX_SAMPLE_TOKENS: u32 = 4096;

/// Median of the tokens of a sample.
const MEDIAN_SAMPLE_TOKENS: f64 = 180.0;

/// Standard deviation of the natural logarithm of a sample's tokens; about one sample in a thousand is longer than
/// sixteen times the median.
const SAMPLE_LOG_DEVIATION: f64 = 0.9;

/// Prefix hashes and length of a prompt; its text is not simulated.
#[derive(Debug, Clone)]
pub struct PromptShape {
    /// Hashes of the prefixes, one for each length in whole blocks, shortest first.
    pub prefixes: Vec<u64>,
    /// Length of the prompt in tokens.
    pub tokens: u32,
}

/// Sample of a trainer's current step.
#[derive(Debug, Clone)]
pub struct StepSample {
    /// Number of tokens that a complete run of the sample produces.
    pub tokens: u32,
    /// Prompt, the same for all samples of a group.
    pub prompt: PromptShape,
    /// Start, runs and completion of the sample. `expected_tokens` is always 0 here; the mean length of the finished
    /// samples takes its place when stragglers are chosen.
    pub progress: SampleProgress,
    /// Indices of the requests that run the sample, the first run before the hedged ones; empty until it starts.
    pub requests: Vec<usize>,
}

/// State of a trainer and of the step whose samples are generated for it.
#[derive(Debug)]
pub struct TrainerState {
    /// Index of the organisation that the samples are charged to.
    pub organisation: usize,
    /// Size and times of the steps.
    pub spec: TrainerSpec,
    /// Number of the step, counted from 1; 0 before the first step.
    pub step: u64,
    /// Time at which the step started.
    pub started_at: Duration,
    /// Samples of the step, group by group; empty before the first step.
    pub samples: Vec<StepSample>,
    /// Position of the next sample to start; all samples before it have started.
    pub next: usize,
    /// Number of samples that have started and are not done.
    pub open: usize,
    /// Number of samples that are done.
    pub done: usize,
    /// End of the training that started last; `None` before the first training.
    pub training_until: Option<Duration>,
}

impl TrainerState {
    /// Creates a trainer that has not started a step.
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

    /// Replaces the samples by those of the next step, none of which has started. The number of samples is rounded up
    /// to whole groups.
    pub fn begin_step(&mut self, now: Duration, random: &mut ChaCha8Rng) {
        self.step += 1;
        self.started_at = now;
        self.next = 0;
        self.open = 0;
        self.done = 0;
        self.samples.clear();
        while self.samples.len() < self.spec.samples {
            let prompt = draw_group_prompt(self.organisation, random);
            for _ in 0..GROUP_SAMPLES {
                let progress = SampleProgress { expected_tokens: 0, started_at: None, copies: 0, is_done: false };
                let tokens = draw_sample_tokens(random);
                self.samples.push(StepSample { tokens, prompt: prompt.clone(), progress, requests: Vec::new() });
            }
        }
    }

    /// Whether all samples of the step are done.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.done == self.samples.len()
    }

    /// Whether at least 98 % of the samples have started. The end of a step is sent to firm targets only. When the last
    /// tenth counted as the end, trainers were idle for 28 s after a domain loss in a trial with two seeds, because the
    /// samples waited for three firm engines.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.next * 50 >= self.samples.len() * 49
    }
}

/// Prompt of the pages of an organisation, always the same.
#[must_use]
pub fn build_page_prompt(organisation: usize) -> PromptShape {
    // The offset of 100 keeps these blocks apart from those at the start of the group prompts.
    let prefixes: Vec<u64> = (0..4).map(|block| hash_organisation_block(organisation, 100 + block)).collect();
    PromptShape { tokens: prefixes.len() as u32 * BLOCK_TOKENS + PAGE_TAIL_TOKENS, prefixes }
}

/// Draws the prompt of a new group: the blocks that the organisation shares, then random blocks of the group.
#[must_use]
pub fn draw_group_prompt(organisation: usize, random: &mut ChaCha8Rng) -> PromptShape {
    let mut prefixes: Vec<u64> =
        (0..ORGANISATION_BLOCKS).map(|block| hash_organisation_block(organisation, block as u64)).collect();
    prefixes.extend((0..GROUP_BLOCKS).map(|_| random.next_u64()));
    PromptShape { tokens: prefixes.len() as u32 * BLOCK_TOKENS, prefixes }
}

fn hash_organisation_block(organisation: usize, block: u64) -> u64 {
    camphorspring::policy::shard_map::mix_hash(organisation as u64 * 1000 + block + 1)
}

/// Draws the length of a sample from a log-normal, heavy-tailed distribution. The sum of twelve uniform numbers
/// approximates a normal distribution.
fn draw_sample_tokens(random: &mut ChaCha8Rng) -> u32 {
    let normal = (0..12).map(|_| random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    let tokens = MEDIAN_SAMPLE_TOKENS * (SAMPLE_LOG_DEVIATION * normal).exp();
    (tokens as u32).clamp(1, MAX_SAMPLE_TOKENS)
}

/// Draws the time to the next event of a Poisson process. `rate` is in events per second and must be above zero.
#[must_use]
pub fn draw_arrival_gap(rate: f64, random: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = random.random_range(1e-9..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
