//! Figures of one run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::experiment::fault_script::{FAULT_END, FAULT_START};

/// Latency counted for a page that got no answer: the wait after which its caller gives up.
pub const PAGE_LIMIT: Duration = Duration::from_secs(5);

/// Results of one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunOutcome {
    /// Trainer idle time after the start of the faults, all trainers added up, in seconds.
    pub idle_seconds: f64,
    /// Mean age of a step's weights when its training starts, in seconds.
    pub staleness_seconds: f64,
    /// Tokens completed between the start and end of the faults, by organisation.
    pub served_tokens: Vec<f64>,
    /// Cost of all scoring targets over the run, in firm target hours.
    pub cost: f64,
    /// Share of scoring tokens completed on cheap targets.
    pub cheap_share: f64,
    /// Tokens that died with a target or were produced twice, as a share of all.
    pub wasted_share: f64,
    /// Use of the scoring slots outside the hit domain between the start and end of the faults.
    pub other_domain_use: f64,
    /// 99th percentile of the page latency in milliseconds, the flooding organisation left out.
    pub page_p99_ms: f64,
    /// Share of those pages without an answer.
    pub page_failures: f64,
    /// Prompt tokens that were prefilled, per completed request.
    pub prefill_tokens: f64,
    /// Tries over first tries.
    pub try_ratio: f64,
    /// Steps whose training started.
    pub steps: usize,
    /// Start times of training by trainer, in seconds.
    pub step_starts: Vec<Vec<f64>>,
    /// Most requests on an engine in a cold phase over what it bears.
    pub cold_overload: f64,
    /// Time of all routing work over the number of asks, in microseconds of this machine.
    pub decision_micros: f64,
}

/// Sums of a run that are turned into a [`RunOutcome`].
#[derive(Debug, Default)]
pub struct RunCounters {
    /// Idle seconds.
    pub idle: f64,
    /// Ages of weights in seconds.
    pub staleness: Vec<f64>,
    /// Tokens by organisation.
    pub served: Vec<f64>,
    /// Target seconds times price.
    pub cost: f64,
    /// Scoring tokens completed on cheap targets.
    pub cheap_tokens: f64,
    /// All scoring tokens completed.
    pub scoring_tokens: f64,
    /// Tokens lost or produced twice.
    pub wasted_tokens: f64,
    /// Slots used outside the hit domain, summed over ticks.
    pub other_used: f64,
    /// Slots outside the hit domain, summed over ticks.
    pub other_slots: f64,
    /// Page latencies in milliseconds.
    pub pages: Vec<f64>,
    /// Pages without an answer.
    pub failed_pages: f64,
    /// Completed requests.
    pub completed: f64,
    /// First tries.
    pub first_tries: f64,
    /// All tries.
    pub tries: f64,
    /// Starts of training by trainer.
    pub step_starts: Vec<Vec<f64>>,
    /// Highest overload of a cold engine.
    pub cold_overload: f64,
    /// Routing calls.
    pub calls: u64,
    /// Time of the routing calls.
    pub call_time: Duration,
}

impl RunCounters {
    /// Counts idle time of a trainer, from the start of the faults on.
    pub fn add_idle(&mut self, from: Duration, to: Duration) {
        self.idle += to.saturating_sub(from.max(FAULT_START)).as_secs_f64();
    }

    /// Whether faults are in force.
    #[must_use]
    pub fn is_fault_time(now: Duration) -> bool {
        (FAULT_START..FAULT_END).contains(&now)
    }

    /// Results.
    #[must_use]
    pub fn outcome(mut self, prefilled: u64) -> RunOutcome {
        let pages = self.pages.len() as f64;
        RunOutcome {
            idle_seconds: self.idle,
            staleness_seconds: self.staleness.iter().sum::<f64>() / (self.staleness.len().max(1) as f64),
            served_tokens: self.served,
            cost: self.cost / 3600.0,
            cheap_share: self.cheap_tokens / self.scoring_tokens.max(1.0),
            wasted_share: self.wasted_tokens / (self.scoring_tokens + self.wasted_tokens).max(1.0),
            other_domain_use: self.other_used / self.other_slots.max(1.0),
            page_p99_ms: percentile(&mut self.pages, 0.99),
            page_failures: self.failed_pages / pages.max(1.0),
            prefill_tokens: prefilled as f64 / self.completed.max(1.0),
            try_ratio: self.tries / self.first_tries.max(1.0),
            steps: self.step_starts.iter().map(Vec::len).sum(),
            step_starts: self.step_starts,
            cold_overload: self.cold_overload,
            decision_micros: self.call_time.as_secs_f64() * 1e6 / (self.calls.max(1) as f64),
        }
    }
}

/// Value below which the share of the values lies.
#[must_use]
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let position = (values.len() as f64 * share) as usize;
    values[position.min(values.len() - 1)]
}
