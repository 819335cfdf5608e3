//! Load on real hosts, and the latency that they add to asking an engine directly in the same run.
//!
//! Arrivals are planned ahead from a seed, so that two runs with one seed send the same requests at the same times. A
//! request waits when the most requests at one time are under way; such late starts are counted, and latency counts
//! from the time the request was due, so that a stall shows in all requests behind it.

mod client;
mod measures;
mod options;
mod plan;
mod process_usage;
mod report;
mod requests;

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use crate::runtime::shared_runtime;
use measures::LoadMeasures;
pub use measures::RefusalCount;
pub use options::{LoadOptions, RequestMix};
pub use plan::RequestKind;
use plan::{PlannedRequest, plan_requests};
use process_usage::UsageSampler;
pub use process_usage::{ProcessUsage, read_usage};
pub use report::{AddedLatency, LatencyRow, LoadReport, report_text};
use requests::LoadTarget;

/// Longest wait for the last requests after the last arrival.
const DRAIN_LIMIT: Duration = Duration::from_mins(1);

/// Runs the load and returns what was measured; to be called from a thread that may block.
///
/// # Errors
///
/// There is no host, a URL is invalid, or a process to be observed does not exist.
pub fn run_load(options: &LoadOptions) -> io::Result<LoadReport> {
    if options.hosts.is_empty() {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "no host is given"));
    }
    let plan = plan_requests(options);
    let sampler = UsageSampler::start(&options.pids)?;
    let measures = Arc::new(LoadMeasures::new());
    let target = Arc::new(LoadTarget::new(options, Arc::clone(&measures))?);
    let start = Instant::now();
    shared_runtime().block_on(send_plan(plan, target, options.concurrency, start));
    let elapsed = start.elapsed();
    Ok(report::make_report(options, &measures, elapsed, sampler.stop(elapsed)))
}

async fn send_plan(plan: Vec<PlannedRequest>, target: Arc<LoadTarget>, concurrency: usize, start: Instant) {
    let slots = Arc::new(Semaphore::new(concurrency.max(1)));
    for request in plan {
        let due = start + request.due;
        tokio::time::sleep_until(due.into()).await;
        let permit = if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            permit
        } else {
            target.measures().count_late();
            let Ok(permit) = Arc::clone(&slots).acquire_owned().await else { return };
            permit
        };
        let target = Arc::clone(&target);
        tokio::spawn(async move {
            target.run(request, due).await;
            drop(permit);
        });
    }
    let all = u32::try_from(concurrency.max(1)).unwrap_or(u32::MAX);
    let _ = tokio::time::timeout(DRAIN_LIMIT, slots.acquire_many(all)).await;
}
