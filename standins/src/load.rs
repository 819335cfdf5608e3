//! Load tool: sends requests to real hosts and measures the latency that the hosts add, compared with requests that go
//! directly to a model engine or to a plain service, which answers bookings and pages.
//!
//! Requests are planned from a seed before the run, so that in two runs with the same options and seed the same
//! requests are due at the same times. At the concurrency limit, a request waits and counts as a late start. Latency
//! counts from the time at which a request was due, so that a stall shows in all requests behind it.

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
use requests::RequestSender;

/// Timeout for the open requests after the last one has started.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs the load and returns the report. Blocks the calling thread, which must not belong to an async runtime.
///
/// # Errors
///
/// No host is given, a URL is not an IP address and port, with or without `http://`, or the files in /proc of a process
/// to observe cannot be read. Failed requests are no error; the report counts them.
pub fn run_load(options: &LoadOptions) -> io::Result<LoadReport> {
    if options.hosts.is_empty() {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "no host is given"));
    }
    let plan = plan_requests(options);
    let sampler = UsageSampler::start(&options.pids)?;
    let measures = Arc::new(LoadMeasures::new());
    let sender = Arc::new(RequestSender::new(options, Arc::clone(&measures))?);
    let start = Instant::now();
    shared_runtime().block_on(send_plan(plan, sender, options.concurrency, start));
    let elapsed = start.elapsed();
    Ok(report::make_report(options, &measures, elapsed, sampler.stop(elapsed)))
}

async fn send_plan(plan: Vec<PlannedRequest>, sender: Arc<RequestSender>, concurrency: usize, start: Instant) {
    let slots = Arc::new(Semaphore::new(concurrency.max(1)));
    for request in plan {
        let due = start + request.due;
        tokio::time::sleep_until(due.into()).await;
        let permit = if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            permit
        } else {
            sender.measures().record_late_start();
            let Ok(permit) = Arc::clone(&slots).acquire_owned().await else { return };
            permit
        };
        let sender = Arc::clone(&sender);
        tokio::spawn(async move {
            sender.run_request(request, due).await;
            drop(permit);
        });
    }
    let all_slots = u32::try_from(concurrency.max(1)).unwrap_or(u32::MAX);
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, slots.acquire_many(all_slots)).await;
}
