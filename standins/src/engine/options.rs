//! Options of an engine stand-in: timing, capacity, and the lags, gaps and crashes that it simulates.

use std::time::Duration;

/// Limit on the load of an engine that has just started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartupLimit {
    /// Maximum number of requests in the engine at one time; one more crashes it.
    pub requests: u32,
    /// Time after each start during which the limit holds.
    pub period: Duration,
}

/// Options of an engine stand-in; the defaults give a fast engine without injected faults.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Host and port to listen on; port 0 picks a free one.
    pub address: String,
    /// Time between two tokens of one request while at most `batch_size` requests run.
    pub token_time: Duration,
    /// Prefill time for each token of the prompt or the resumed text that no cache covers.
    pub prefill_time: Duration,
    /// Number of running requests above which the token time grows in proportion to that number.
    pub batch_size: u32,
    /// Maximum number of running requests; others wait in order of arrival.
    pub running_limit: usize,
    /// Whether most completions end at an eighth to a half of `max_tokens`; one in sixteen still has the full length.
    pub ends_early: bool,
    /// Capacity of the prefix cache in blocks of [`super::BLOCK_BYTES`].
    pub cache_blocks: usize,
    /// Delay before a cache event appears in the event list.
    pub event_lag: Duration,
    /// Cache events whose sequence number is divisible by this number never appear; 0 drops none.
    pub event_gap: u64,
    /// Age of the number of running requests in load reports.
    pub load_lag: Duration,
    /// Whether an order is refused when its epoch is below the highest one received.
    pub checks_fencing: bool,
    /// Version of the weights after each start.
    pub weight_version: u64,
    /// Version of the software that each piece names; pieces name none when absent.
    pub software: Option<String>,
    /// Base URL of the weight store; without it, staging reads nothing and only takes `stage_time`.
    pub weight_store_url: Option<String>,
    /// Duration of staging weights, in addition to reading them from the store.
    pub stage_time: Duration,
    /// Duration of a switch to staged weights.
    pub switch_time: Duration,
    /// Text that crashes the engine when the prompt of a run contains it; when absent, no prompt crashes the
    /// engine.
    pub crash_marker: Option<String>,
    /// Index of the token before which a run with the crash marker crashes the engine. A shorter completion crashes it
    /// before token `max_tokens - 1`, and a run resumed past the index before its first token.
    pub crash_token_index: u32,
    /// Delay between a crash and an automatic restart; the engine stays down when absent.
    pub restart_after: Option<Duration>,
    /// Time during which prefills are slow after [`super::EngineControl::TurnCold`].
    pub cold_time: Duration,
    /// Factor on the prefill time while cold.
    pub cold_factor: u32,
    /// Minimum number of tokens that each prefill is charged for while cold.
    pub cold_tokens: u32,
    /// Load limit right after a start; unlimited when absent.
    pub startup_limit: Option<StartupLimit>,
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
            software: None,
            weight_store_url: None,
            stage_time: Duration::from_millis(20),
            switch_time: Duration::from_millis(5),
            crash_marker: None,
            crash_token_index: 2,
            restart_after: None,
            cold_time: Duration::from_secs(3),
            cold_factor: 10,
            cold_tokens: 100,
            startup_limit: None,
        }
    }
}
