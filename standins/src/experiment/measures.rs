//! Counters of one run, and the figures computed from them at its end.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::experiment::fault_script::{FAULT_END, FAULT_START};

/// Time after which the caller of a page gives up; also the latency counted for a page without a response.
pub const PAGE_LIMIT: Duration = Duration::from_secs(5);

/// Figures of one simulated run with one user, policy, script and seed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunOutcome {
    /// Sum of the idle times of all trainers after [`FAULT_START`], in seconds. A trainer is idle from the end of its
    /// training on a step until the next step is complete.
    pub idle_seconds: f64,
    /// Mean time from the start of a step's samples to the start of training on the step, in seconds.
    pub staleness_seconds: f64,
    /// Tokens of the scoring requests completed from [`FAULT_START`] to [`FAULT_END`], by organisation.
    pub served_tokens: Vec<f64>,
    /// Cost of all live scoring targets over the run, in hours of one firm target.
    pub cost: f64,
    /// Tokens of scoring requests completed on cheap targets, as a share of all completed scoring tokens.
    pub cheap_share: f64,
    /// Tokens that cancelled requests had generated, as a share of these and the completed scoring tokens. Tokens of a
    /// request whose target died are not counted, since its next attempt resumes behind them.
    pub wasted_share: f64,
    /// Share of the slots of live scoring targets outside the hit domain that were in use from [`FAULT_START`] to
    /// [`FAULT_END`].
    pub other_domain_use: f64,
    /// 99th percentile of the latency of the pages requested from [`FAULT_START`] to [`FAULT_END`], in milliseconds.
    /// Pages of a flooding organisation are left out.
    pub page_p99_ms: f64,
    /// Share without a response of the pages that `page_p99_ms` covers.
    pub page_failures: f64,
    /// Mean number of prefilled prompt tokens per completed request of any service.
    pub prefill_tokens: f64,
    /// Attempts of all requests over first attempts.
    pub try_ratio: f64,
    /// Number of steps whose training started, over all trainers.
    pub steps: usize,
    /// Start times of training on each step, by trainer, in seconds since the start of the run.
    pub step_starts: Vec<Vec<f64>>,
    /// Highest ratio of a cold engine's open requests to its concurrency limit while cold (`bears`), taken whenever a
    /// request is sent to it.
    pub cold_overload: f64,
    /// Wall-clock time of all calls of the router per submitted request, in microseconds; depends on the machine.
    pub decision_micros: f64,
}

/// Counters of a run, from which [`RunCounters::outcome`] computes the figures.
#[derive(Debug, Default)]
pub struct RunCounters {
    /// Idle time of all trainers in seconds, see [`RunOutcome::idle_seconds`].
    pub idle_seconds: f64,
    /// Time from the start of the samples to the start of training, in seconds, one value for each step.
    pub staleness_seconds: Vec<f64>,
    /// Tokens of the scoring requests completed during the faults, by organisation.
    pub served: Vec<f64>,
    /// Seconds of live scoring targets, each times the hourly price of its target.
    pub cost: f64,
    /// Tokens of the scoring requests completed on cheap targets.
    pub cheap_tokens: f64,
    /// Tokens of all completed scoring requests.
    pub scoring_tokens: f64,
    /// Tokens that cancelled requests had generated.
    pub wasted_tokens: f64,
    /// Scoring slots in use outside the hit domain, summed over the ticks during the faults.
    pub other_used: f64,
    /// Scoring slots of live targets outside the hit domain, summed over the same ticks.
    pub other_slots: f64,
    /// Latencies of the pages requested during the faults, in milliseconds; [`PAGE_LIMIT`] without a response. Pages of
    /// a flooding organisation are left out.
    pub pages: Vec<f64>,
    /// Number of the pages in `pages` that got no response.
    pub failed_pages: f64,
    /// Completed requests of all services.
    pub completed: f64,
    /// First attempts, one for each request that was sent to a target.
    pub first_tries: f64,
    /// Attempts of all requests, the first ones included.
    pub tries: f64,
    /// Start times of training on each step, by trainer, in seconds since the start of the run.
    pub step_starts: Vec<Vec<f64>>,
    /// Highest overload of a cold engine as a ratio, see [`RunOutcome::cold_overload`].
    pub cold_overload: f64,
    /// Requests submitted to the router, each resubmission counted again.
    pub calls: u64,
    /// Wall-clock time of all calls of the router, not only of submissions.
    pub call_time: Duration,
}

impl RunCounters {
    /// Adds the idle time of a trainer between two times of the run; the part before [`FAULT_START`] is left out.
    pub fn add_idle(&mut self, from: Duration, to: Duration) {
        self.idle_seconds += to.saturating_sub(from.max(FAULT_START)).as_secs_f64();
    }

    /// Whether `now` lies between [`FAULT_START`] and [`FAULT_END`], also under a script without faults.
    #[must_use]
    pub fn is_fault_time(now: Duration) -> bool {
        (FAULT_START..FAULT_END).contains(&now)
    }

    /// Figures of the finished run. `prefilled` is the number of prompt tokens that the engines prefilled.
    #[must_use]
    pub fn outcome(mut self, prefilled: u64) -> RunOutcome {
        let pages = self.pages.len() as f64;
        RunOutcome {
            idle_seconds: self.idle_seconds,
            staleness_seconds: self.staleness_seconds.iter().sum::<f64>()
                / (self.staleness_seconds.len().max(1) as f64),
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

/// Value at a quantile from 0 to 1; 0 without values. Sorts the values.
#[must_use]
pub fn percentile(values: &mut [f64], quantile: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let position = (values.len() as f64 * quantile) as usize;
    values[position.min(values.len() - 1)]
}
