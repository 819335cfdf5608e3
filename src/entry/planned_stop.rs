//! Times of a planned stop, and which requests a stopping host still takes.
//!
//! The process ends at a time that is set by the platform. A request that is taken must be answered before, and the answer
//! may come as late as its time limit. While the load balancer still sends requests, all are taken: most are answered
//! long before their time limits. Once it has had the time to take the host out, it sends requests only when too few
//! other hosts are ready. From then on a request is taken if its time limit is early enough, and otherwise refused at
//! once, so that its caller can go to another host. Requests that targets are still working on near the end are
//! answered with an error that says so.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

use crate::prelude::*;

/// Delay between the start of a planned stop and the shutdown of open connections. The load balancer checks readiness
/// once a second, and takes a host out after two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2500);

/// Fraction of the stop limit after which batch jobs are handed to other hosts. Most jobs, which are steps of trainers,
/// are complete by then.
const RELEASE_FRACTION: f64 = 0.5;

/// Fraction of the stop limit after which the process ends, also when responses are still streamed.
const EXIT_FRACTION: f64 = 0.95;

/// Time before the end of the process that is reserved for sending the last answers.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When connections without a request are closed, and requests that could not be answered in time are refused.
    pub close_at: BootTime,
    /// When no connection is accepted any more, and batch jobs are handed to other hosts.
    pub release_at: BootTime,
    /// When requests are answered at the latest.
    pub answer_by: BootTime,
    /// When the process ends at the latest.
    pub exit_at: BootTime,
}

impl StopTimes {
    /// Times of a stop that was requested at `now`; the process is killed after `limit`.
    #[must_use]
    pub fn new(now: BootTime, limit: Duration) -> Self {
        let exit_at = now + limit.mul_f64(EXIT_FRACTION);
        Self {
            close_at: now + DRAIN_DELAY.min(limit.mul_f64(RELEASE_FRACTION)),
            release_at: now + limit.mul_f64(RELEASE_FRACTION),
            answer_by: exit_at.saturating_sub(ANSWER_MARGIN),
            exit_at,
        }
    }

    /// Whether a request is taken whose answer may come as late as `latest_answer`.
    #[must_use]
    pub fn takes_request(&self, latest_answer: BootTime, now: BootTime) -> bool {
        now < self.close_at || latest_answer <= self.answer_by
    }
}

/// Planned stop of this host, begun or not, shared by its tasks.
#[derive(Debug, Default)]
pub struct PlannedStop {
    times: OnceLock<StopTimes>,
    begun: Notify,
    is_ending: AtomicBool,
}

impl PlannedStop {
    /// Begins the stop; a second call changes nothing.
    pub fn begin(&self, times: StopTimes) {
        let _ = self.times.set(times);
        self.begun.notify_waiters();
    }

    /// Refuses all requests from now on, since the process is about to end.
    pub fn end(&self) {
        self.is_ending.store(true, Ordering::Release);
    }

    /// Whether the stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Whether batch jobs are handed to other hosts.
    #[must_use]
    pub fn must_release_jobs(&self, now: BootTime) -> bool {
        self.times.get().is_some_and(|times| now >= times.release_at)
    }

    /// Whether a request is taken whose answer may come as late as `latest_answer`.
    #[must_use]
    pub fn takes_request(&self, latest_answer: BootTime, now: BootTime) -> bool {
        let is_ending = self.is_ending.load(Ordering::Acquire);
        !is_ending && self.times.get().is_none_or(|times| times.takes_request(latest_answer, now))
    }

    /// Waits until requests have to be answered because the process is about to end; forever without a stop.
    pub async fn wait_last_answer(&self) {
        let answer_by = loop {
            let begun = self.begun.notified();
            match self.times.get() {
                Some(times) => break times.answer_by,
                None => begun.await,
            }
        };
        tokio::time::sleep(answer_by.saturating_sub(boot_time())).await;
    }
}
