//! Metrics of a host that runs in an installation.

use prometheus::{Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::entry::host_context::HostContext;
use crate::memory::{MemoryBudget, MemoryMetrics};
use crate::metrics::render_metrics;
use crate::prelude::*;

/// Upper bounds of the latency buckets in seconds. They cover half of the shortest latency objective to the longest
/// deadline of the users' requests; longer times, such as those of long batch jobs, are in the implicit last bucket.
const LATENCY_BUCKET_SECONDS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 12.0];

/// Metrics of one host in a registry of their own. Gauges are updated when the metrics are rendered.
#[derive(Debug)]
pub struct HostMetrics {
    registry: Registry,
    /// Responses to callers, by kind of request and HTTP status.
    pub responses: IntCounterVec,
    /// Time from the arrival of a request until the head of the response is ready, by kind of request.
    pub response_seconds: HistogramVec,
    /// Finished runs of batch job items, by run outcome.
    pub item_runs: IntCounterVec,
    /// Finished attempts to grade outputs of batch job items, by outcome.
    pub gradings: IntCounterVec,
    /// Time of an attempt to grade an output, whatever its outcome.
    pub grading_seconds: Histogram,
    /// Time from the submission of a batch job until its runner on this host ends, whatever the outcome. A job that
    /// several hosts run one after the other is observed on each; a runner that cannot start is not observed.
    pub job_seconds: Histogram,
    /// Batch jobs that this host took over because they had no live owner, released jobs of stopping hosts included.
    pub takeovers: IntCounter,
    /// Streams that callers took up, by what was known of their origin.
    pub resumed_streams: IntCounterVec,
    /// Connections that broke under an unanswered request: reports made, and how they were settled.
    pub crash_reports: IntCounterVec,
    held_requests: IntGauge,
    /// Requests between hosts: those of other hosts that this one passed on, and own ones that no peer sent or whose answer a
    /// peer lost.
    pub forwards: IntCounterVec,
    links_cut: IntGauge,
    configuration_version: IntGauge,
    configuration_age: Gauge,
    target_age: Gauge,
    member_age: Gauge,
    known_targets: IntGauge,
    live_hosts: IntGauge,
    open_jobs: IntGauge,
    running_requests: IntGauge,
    limited_targets: IntGauge,
    connections_opened: IntGauge,
    requests_on_reused_connections: IntGauge,
}

fn register<T: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: T) -> T {
    // Registration fails for a duplicate name only, and all names are distinct.
    let _ = registry.register(Box::new(metric.clone()));
    metric
}

fn build_options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("camphorspring")
}

impl HostMetrics {
    /// Creates the metrics, all at zero.
    ///
    /// # Errors
    ///
    /// A name, a label or the list of buckets is invalid.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let latency_options = |name: &str, help: &str| {
            HistogramOpts::new(name, help).namespace("camphorspring").buckets(LATENCY_BUCKET_SECONDS.to_vec())
        };
        let counter_vec = |name: &str, help: &str, label: &str| IntCounterVec::new(build_options(name, help), &[label]);
        let int_gauge = |name: &str, help: &str| IntGauge::with_opts(build_options(name, help));
        let float_gauge = |name: &str, help: &str| Gauge::with_opts(build_options(name, help));
        Ok(Self {
            responses: register(
                &registry,
                IntCounterVec::new(build_options("answers_total", "Answers to callers"), &["kind", "status"])?,
            ),
            response_seconds: register(
                &registry,
                HistogramVec::new(latency_options("answer_seconds", "Time until the head of an answer"), &["kind"])?,
            ),
            item_runs: register(&registry, counter_vec("item_runs_total", "Runs of items of batch jobs", "end")?),
            gradings: register(&registry, counter_vec("gradings_total", "Attempts to grade outputs of items", "end")?),
            grading_seconds: register(
                &registry,
                Histogram::with_opts(latency_options("grading_seconds", "Time of an attempt to grade an output"))?,
            ),
            job_seconds: register(
                &registry,
                Histogram::with_opts(latency_options(
                    "job_seconds",
                    "Time from the hand-in of a batch job to the end of its runs",
                ))?,
            ),
            takeovers: register(
                &registry,
                IntCounter::with_opts(build_options("job_takeovers_total", "Batch jobs taken over"))?,
            ),
            resumed_streams: register(
                &registry,
                counter_vec(
                    "streams_taken_up_total",
                    "Streams that callers took up, by what was known of them",
                    "origin",
                )?,
            ),
            crash_reports: register(
                &registry,
                counter_vec(
                    "crash_reports_total",
                    "Connections that broke under an unanswered request, by what became of the report",
                    "outcome",
                )?,
            ),
            forwards: register(
                &registry,
                counter_vec(
                    "forwards_total",
                    "Requests to targets that hosts passed on for each other, by outcome",
                    "outcome",
                )?,
            ),
            links_cut: register(
                &registry,
                int_gauge("target_links_cut", "1 while this host reaches targets only through its peers")?,
            ),
            held_requests: register(
                &registry,
                int_gauge("held_requests", "Requests held back because targets crashed under them")?,
            ),
            configuration_version: register(
                &registry,
                int_gauge("configuration_version", "Version of the configuration in force")?,
            ),
            configuration_age: register(
                &registry,
                float_gauge("configuration_age_seconds", "Time since the store confirmed the configuration")?,
            ),
            target_age: register(
                &registry,
                float_gauge("target_age_seconds", "Time since the store confirmed the targets")?,
            ),
            member_age: register(
                &registry,
                float_gauge("host_age_seconds", "Time since the store confirmed the hosts")?,
            ),
            known_targets: register(&registry, int_gauge("targets", "Targets known")?),
            live_hosts: register(&registry, int_gauge("live_hosts", "Live hosts known")?),
            open_jobs: register(&registry, int_gauge("open_jobs", "Batch jobs that are not closed")?),
            running_requests: register(&registry, int_gauge("running_requests", "Requests on targets")?),
            limited_targets: register(&registry, int_gauge("limited_targets", "Targets with an announced rate limit")?),
            connections_opened: register(
                &registry,
                int_gauge("target_connections_opened", "Connections to targets opened so far")?,
            ),
            requests_on_reused_connections: register(
                &registry,
                int_gauge("target_connections_reused", "Requests sent on a kept connection so far")?,
            ),
            registry,
        })
    }

    /// Adds the metrics of the memory budget.
    ///
    /// # Errors
    ///
    /// They were added before.
    pub fn add_memory(&self, budget: &Arc<MemoryBudget>) -> Result<(), prometheus::Error> {
        MemoryMetrics::register(&self.registry, budget)
    }

    /// Sets the gauges to the present state of the host, and renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self, context: &HostContext) -> Vec<u8> {
        let (view, now) = (context.view(), boot_time());
        let age_seconds = |read_at: BootTime| now.saturating_sub(read_at).as_secs_f64();
        let count_to_gauge = |length: usize| i64::try_from(length).unwrap_or(i64::MAX);
        let version = view.services.as_ref().map_or(0, |services| services.version);
        self.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.configuration_age.set(age_seconds(view.services_read_at));
        self.target_age.set(age_seconds(view.targets_read_at));
        self.member_age.set(age_seconds(view.members_read_at));
        self.known_targets.set(count_to_gauge(view.targets.len()));
        self.live_hosts.set(count_to_gauge(view.live_members().count()));
        self.open_jobs.set(count_to_gauge(context.board.open_jobs().len()));
        let running: u32 = context.with_loads(|loads| loads.loads().iter().map(|load| load.running).sum());
        self.running_requests.set(i64::from(running));
        self.links_cut.set(i64::from(context.links.is_cut()));
        self.held_requests.set(count_to_gauge(context.crashes.held_requests()));
        self.limited_targets.set(count_to_gauge(context.with_loads(|loads| loads.limits.limited_targets())));
        self.connections_opened.set(i64::try_from(context.pool.opened()).unwrap_or(i64::MAX));
        self.requests_on_reused_connections.set(i64::try_from(context.pool.reused()).unwrap_or(i64::MAX));
        render_metrics(&self.registry)
    }
}
