//! Metrics of permits: queues and targets at this host as coordinator, waits and results at this host as requester.

use std::sync::{Mutex, PoisonError};

use prometheus::core::{Collector, GenericGaugeVec};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::dispatch::dispatch_core::DispatchCore;
use crate::prelude::*;

/// Upper bounds of the wait histogram in seconds.
const WAIT_BUCKETS: [f64; 10] = [0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 5.0, 20.0, 60.0, 300.0];

/// Gauges that the tick thread updates, and counters of the results of permit requests.
pub struct DispatchMetrics {
    queue_length: IntGaugeVec,
    running: IntGaugeVec,
    limit: IntGaugeVec,
    wait: HistogramVec,
    grants: IntCounterVec,
    refusals: IntCounterVec,
    reported: Mutex<ReportedLabels>,
}

/// Label values that the gauges have, so that those of shards and targets that moved away can be removed.
#[derive(Default)]
struct ReportedLabels {
    queues: Vec<[String; 2]>,
    targets: Vec<[String; 1]>,
}

impl DispatchMetrics {
    /// Registers the metrics in `registry`. A second registration in one registry, as in some tests, is ignored: the
    /// registry goes on exporting the values of the first one.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        let metrics = Self {
            queue_length: build_gauges(
                "camphorspring_queue_length",
                "Requests that wait at this home.",
                &["service", "shard"],
            ),
            running: build_gauges("camphorspring_target_running", "Requests on a target of this home.", &["target"]),
            limit: build_gauges("camphorspring_target_limit", "Most requests on a target by this home.", &["target"]),
            wait: build_wait_histogram(),
            grants: build_counters("camphorspring_permit_grants_total", "Permits granted to this host.", &["service"]),
            refusals: build_counters(
                "camphorspring_permit_refusals_total",
                "Permits refused to this host.",
                &["service", "code"],
            ),
            reported: Mutex::new(ReportedLabels::default()),
        };
        let collectors: [Box<dyn Collector>; 6] = [
            Box::new(metrics.queue_length.clone()),
            Box::new(metrics.running.clone()),
            Box::new(metrics.limit.clone()),
            Box::new(metrics.wait.clone()),
            Box::new(metrics.grants.clone()),
            Box::new(metrics.refusals.clone()),
        ];
        for collector in collectors {
            let _ = registry.register(collector);
        }
        metrics
    }

    /// Records the result of one permit request; `refusal` is `None` for a grant.
    pub fn record_result(&self, service: &str, wait: Duration, refusal: Option<ResultCode>) {
        self.wait.with_label_values(&[service]).observe(wait.as_secs_f64());
        match refusal {
            None => self.grants.with_label_values(&[service]).inc(),
            Some(code) => self.refusals.with_label_values(&[service, &code.number().to_string()]).inc(),
        }
    }

    /// Sets the gauges to the current queues and targets, and removes those of shards and targets that moved away.
    pub fn update(&self, core: &DispatchCore, now: BootTime) {
        let mut labels = ReportedLabels::default();
        for (name, length) in core.home.queue_lengths() {
            let label = [name.service.clone(), name.index.to_string()];
            self.queue_length.with_label_values(&label).set(i64::try_from(length).unwrap_or(i64::MAX));
            labels.queues.push(label);
        }
        for target in core.home.shards.iter().flat_map(|shard| &shard.targets) {
            let label = [target.entry.id.clone()];
            self.running.with_label_values(&label).set(i64::from(target.running()));
            self.limit.with_label_values(&label).set(i64::from(target.limit(now, &core.home.shares)));
            labels.targets.push(label);
        }
        self.remove_unused_labels(labels);
    }

    fn remove_unused_labels(&self, labels: ReportedLabels) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        for label in reported.queues.iter().filter(|label| !labels.queues.contains(label)) {
            let _ = self.queue_length.remove_label_values(label);
        }
        for label in reported.targets.iter().filter(|label| !labels.targets.contains(label)) {
            let _ = self.running.remove_label_values(label);
            let _ = self.limit.remove_label_values(label);
        }
        *reported = labels;
    }
}

fn build_gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    GenericGaugeVec::new(Opts::new(name, help), labels).expect("metric names are constants")
}

fn build_counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are constants")
}

fn build_wait_histogram() -> HistogramVec {
    let options = HistogramOpts::new("camphorspring_permit_wait_seconds", "Wait for a permit on this host.");
    HistogramVec::new(options.buckets(WAIT_BUCKETS.to_vec()), &["service"]).expect("metric names are constants")
}
