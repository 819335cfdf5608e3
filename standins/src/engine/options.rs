//! Options of an engine.

use std::time::Duration;

/// Load that a fresh engine survives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshLimit {
    /// Most requests in the engine at one time; one more crashes it.
    pub requests: u32,
    /// Time after a start for which this holds.
    pub period: Duration,
}

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address to listen on.
    pub address: String,
    /// Time of one token of each running request while the batch is not full.
    pub token_time: Duration,
    /// Prefill time of one prompt token that the prefix cache does not cover.
    pub prefill_time: Duration,
    /// Running requests beyond which the token time grows in proportion.
    pub batch_size: u32,
    /// Most running requests; others wait in order of arrival.
    pub running_limit: usize,
    /// Whether completions end before `max_tokens`: most at an eighth to a half of it, one in sixteen at the full
    /// length.
    pub ends_early: bool,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time after which a cache event is published.
    pub event_lag: Duration,
    /// Every cache event with a sequence number divisible by this is never published; 0 means none.
    pub event_gap: u64,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Whether orders with an old epoch are refused.
    pub checks_fencing: bool,
    /// Version of the weights after each start.
    pub weight_version: u64,
    /// Base URL of the weight store; without it, staging only takes its time.
    pub weight_store_url: Option<String>,
    /// Time to stage weights.
    pub stage_time: Duration,
    /// Time to switch weights.
    pub switch_time: Duration,
    /// Crashes when a prompt contains this text.
    pub crash_marker: Option<String>,
    /// Tokens of a completion with the crash marker before the crash.
    pub crash_after: u32,
    /// Starts again by itself after a crash.
    pub restart_after: Option<Duration>,
    /// Time for which first tokens are slow after turning cold.
    pub cold_time: Duration,
    /// Factor of the prefill time while cold, applied to at least [`EngineOptions::cold_tokens`].
    pub cold_factor: u32,
    /// Prompt tokens that a first token costs at least while cold.
    pub cold_tokens: u32,
    /// Load that a fresh engine survives; any when absent.
    pub fresh_limit: Option<FreshLimit>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            token_time: Duration::from_millis(1),
            prefill_time: Duration::from_micros(20),
            batch_size: 8,
            running_limit: 64,
            ends_early: false,
            cache_blocks: 4096,
            event_lag: Duration::from_millis(100),
            event_gap: 0,
            load_lag: Duration::from_millis(200),
            checks_fencing: true,
            weight_version: 1,
            weight_store_url: None,
            stage_time: Duration::from_millis(20),
            switch_time: Duration::from_millis(5),
            crash_marker: None,
            crash_after: 2,
            restart_after: None,
            cold_time: Duration::from_secs(3),
            cold_factor: 10,
            cold_tokens: 100,
            fresh_limit: None,
        }
    }
}
