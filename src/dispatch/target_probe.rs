//! Polls load reports and cache events from engines, the targets that run a model. The coordinator of an engine's shard
//! does this.

use std::sync::atomic::{AtomicUsize, Ordering};

use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::generated::engine_messages::{CacheEvent, CacheEvents, EngineLoad};
use crate::prelude::*;
use crate::store_client::http_agent;

/// Most probes that run at one time.
const MAX_PROBE_THREADS: usize = 4;

const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of one HTTP call; a probe makes two.
const PROBE_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest response body in bytes.
const MAX_REPORT_BYTES: u64 = 1024 * 1024;

/// An engine to probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbePlan {
    /// Id of the engine as a target.
    pub target: TargetId,
    /// Host and port of the engine's HTTP server.
    pub address: String,
    /// Sequence number of the last known cache event; later events are fetched. 0 if none is known.
    pub after_event: u64,
}

/// Probes all engines with at most `MAX_PROBE_THREADS` threads and passes on what each reports.
///
/// A call that fails, times out or returns invalid data is not reported; the next round tries again.
pub fn run_probes(
    plans: &[ProbePlan],
    on_load: &(dyn Fn(&str, &EngineLoad) + Sync),
    on_events: &(dyn Fn(&str, &[CacheEvent]) + Sync),
) {
    let agent = http_agent(PROBE_CONNECT_TIMEOUT, PROBE_CALL_TIMEOUT);
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..MAX_PROBE_THREADS.min(plans.len()) {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    probe_target(&agent, plan, on_load, on_events);
                }
            });
        }
    });
}

fn probe_target(
    agent: &Agent,
    plan: &ProbePlan,
    on_load: &(dyn Fn(&str, &EngineLoad) + Sync),
    on_events: &(dyn Fn(&str, &[CacheEvent]) + Sync),
) {
    let base = format!("http://{}/v1", plan.address);
    let Some(load) = get_report::<EngineLoad>(agent, &format!("{base}/load")) else { return };
    on_load(&plan.target, &load);
    let url = format!("{base}/cache_events?after={}", plan.after_event);
    let Some(events) = get_report::<CacheEvents>(agent, &url) else { return };
    on_events(&plan.target, &events.events);
}

fn get_report<T: DeserializeOwned>(agent: &Agent, url: &str) -> Option<T> {
    let mut response = agent.get(url).call().ok().filter(|response| response.status().is_success())?;
    let bytes = response.body_mut().with_config().limit(MAX_REPORT_BYTES).read_to_vec().ok()?;
    serde_json::from_slice(&bytes).ok()
}
