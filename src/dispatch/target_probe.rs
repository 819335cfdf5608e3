//! Load reports and cache events of engines, polled by their home.

use std::sync::atomic::{AtomicUsize, Ordering};

use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::generated::engine_messages::{CacheEvent, CacheEvents, EngineLoad};
use crate::prelude::*;
use crate::store_client::http_agent;

/// Most probes at one time.
const PROBE_THREADS: usize = 4;

/// Longest wait for a connection to an engine.
const PROBE_CONNECT: Duration = Duration::from_millis(300);

/// Longest time of one probe.
const PROBE_LIMIT: Duration = Duration::from_millis(800);

/// Largest report in bytes.
const REPORT_LIMIT: u64 = 1024 * 1024;

/// One engine to probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbePlan {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: String,
    /// Last cache event that is known.
    pub after_event: u64,
}

/// Probes all engines with at most [`PROBE_THREADS`] threads; an engine that does not answer is left out.
pub fn run_probes(
    plans: &[ProbePlan],
    on_load: &(dyn Fn(&str, &EngineLoad) + Sync),
    on_events: &(dyn Fn(&str, &[CacheEvent]) + Sync),
) {
    let agent = http_agent(PROBE_CONNECT, PROBE_LIMIT);
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..PROBE_THREADS.min(plans.len()) {
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
    let bytes = response.body_mut().with_config().limit(REPORT_LIMIT).read_to_vec().ok()?;
    serde_json::from_slice(&bytes).ok()
}
