//! Metrics of a host in an installation.

use prometheus::{Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::entry::host_context::HostContext;
use crate::metrics::render_metrics;
use crate::prelude::*;

/// Bounds of latency buckets in seconds: half of the shortest objective to the longest deadline.
const LATENCY_BOUNDS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 12.0];

/// Counters, histograms and gauges.
#[derive(Debug)]
pub struct HostMetrics {
    registry: Registry,
    /// Answers to callers, by kind of request and status.
    pub answers: IntCounterVec,
    /// Time until the head of the answer, by kind of request.
    pub answer_seconds: HistogramVec,
    /// Runs of items of batch jobs, by how they ended.
    pub item_runs: IntCounterVec,
    /// Time from the hand-in of a batch job until its last item was listed, or it was ended.
    pub job_seconds: Histogram,
    /// Jobs taken over from other hosts.
    pub takeovers: IntCounter,
    configuration_version: IntGauge,
    configuration_age: Gauge,
    target_age: Gauge,
    member_age: Gauge,
    usable_targets: IntGauge,
    live_hosts: IntGauge,
    open_jobs: IntGauge,
    running_requests: IntGauge,
    connections_opened: IntGauge,
    requests_on_kept: IntGauge,
}

fn register<T: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    // All names are distinct, so that the registration cannot fail.
    let _ = registry.register(Box::new(metric.clone()));
    metric
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("camphorspring")
}

impl HostMetrics {
    /// Metrics of which nothing is counted.
    ///
    /// # Errors
    ///
    /// A name or label is malformed.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let latency = |name: &str, help: &str| {
            HistogramOpts::new(name, help).namespace("camphorspring").buckets(LATENCY_BOUNDS.to_vec())
        };
        let gauge = |name: &str, help: &str| IntGauge::with_opts(options(name, help));
        let age = |name: &str, help: &str| Gauge::with_opts(options(name, help));
        Ok(Self {
            answers: register(
                &registry,
                IntCounterVec::new(options("answers_total", "Answers to callers"), &["kind", "status"])?,
            ),
            answer_seconds: register(
                &registry,
                HistogramVec::new(latency("answer_seconds", "Time until the head of an answer"), &["kind"])?,
            ),
            item_runs: register(
                &registry,
                IntCounterVec::new(options("item_runs_total", "Runs of items of batch jobs"), &["end"])?,
            ),
            job_seconds: register(
                &registry,
                Histogram::with_opts(latency(
                    "job_seconds",
                    "Time from the hand-in of a batch job to the end of its runs",
                ))?,
            ),
            takeovers: register(
                &registry,
                IntCounter::with_opts(options("job_takeovers_total", "Batch jobs taken over"))?,
            ),
            configuration_version: register(
                &registry,
                gauge("configuration_version", "Version of the configuration in force")?,
            ),
            configuration_age: register(
                &registry,
                age("configuration_age_seconds", "Time since the store confirmed the configuration")?,
            ),
            target_age: register(&registry, age("target_age_seconds", "Time since the store confirmed the targets")?),
            member_age: register(&registry, age("host_age_seconds", "Time since the store confirmed the hosts")?),
            usable_targets: register(&registry, gauge("targets", "Targets known")?),
            live_hosts: register(&registry, gauge("live_hosts", "Live hosts known")?),
            open_jobs: register(&registry, gauge("open_jobs", "Batch jobs that are not closed")?),
            running_requests: register(&registry, gauge("running_requests", "Requests on targets")?),
            connections_opened: register(
                &registry,
                gauge("target_connections_opened", "Connections to targets opened so far")?,
            ),
            requests_on_kept: register(
                &registry,
                gauge("target_connections_reused", "Requests sent on a kept connection so far")?,
            ),
            registry,
        })
    }

    /// Text of all metrics, with the gauges of this moment.
    #[must_use]
    pub fn render(&self, context: &HostContext) -> Vec<u8> {
        let (view, now) = (context.view(), boot_time());
        let age = |read_at: BootTime| now.saturating_sub(read_at).as_secs_f64();
        let count = |length: usize| i64::try_from(length).unwrap_or(i64::MAX);
        let version = view.services.as_ref().map_or(0, |services| services.version);
        self.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.configuration_age.set(age(view.services_read_at));
        self.target_age.set(age(view.targets_read_at));
        self.member_age.set(age(view.members_read_at));
        self.usable_targets.set(count(view.targets.len()));
        self.live_hosts.set(count(view.live_members().count()));
        self.open_jobs.set(count(context.board.open_jobs().len()));
        let running: u32 = context.with_loads(|loads| loads.loads().iter().map(|load| load.running).sum());
        self.running_requests.set(i64::from(running));
        self.connections_opened.set(i64::try_from(context.pool.opened()).unwrap_or(i64::MAX));
        self.requests_on_kept.set(i64::try_from(context.pool.reused()).unwrap_or(i64::MAX));
        render_metrics(&self.registry)
    }
}
