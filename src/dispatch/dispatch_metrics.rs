//! Metrics of permits.

use std::sync::{Mutex, PoisonError};

use prometheus::core::{Collector, GenericGaugeVec};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::dispatch::dispatch_core::DispatchCore;
use crate::prelude::*;

/// Upper bounds of the wait histogram in seconds.
const WAIT_BUCKETS: [f64; 10] = [0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 5.0, 20.0, 60.0, 300.0];

/// Counters and gauges of dispatch.
pub struct DispatchMetrics {
    queue_length: IntGaugeVec,
    running: IntGaugeVec,
    limit: IntGaugeVec,
    wait: HistogramVec,
    grants: IntCounterVec,
    refusals: IntCounterVec,
    shown: Mutex<ShownLabels>,
}

/// Labels that the gauges have, so that shards and targets that moved away are taken out.
#[derive(Default)]
struct ShownLabels {
    queues: Vec<[String; 2]>,
    targets: Vec<[String; 1]>,
}

impl DispatchMetrics {
    /// Metrics in `registry`; a second registration, as in tests, shows only the first one's figures.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        let metrics = Self {
            queue_length: gauges(
                "camphorspring_queue_length",
                "Requests that wait at this home.",
                &["service", "shard"],
            ),
            running: gauges("camphorspring_target_running", "Requests on a target of this home.", &["target"]),
            limit: gauges("camphorspring_target_limit", "Most requests on a target by this home.", &["target"]),
            wait: waits(),
            grants: counters("camphorspring_permit_grants_total", "Permits granted to this host.", &["service"]),
            refusals: counters(
                "camphorspring_permit_refusals_total",
                "Permits refused to this host.",
                &["service", "code"],
            ),
            shown: Mutex::new(ShownLabels::default()),
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

    /// Counts one settled ask.
    pub fn count_result(&self, service: &str, wait: Duration, refusal: Option<ResultCode>) {
        self.wait.with_label_values(&[service]).observe(wait.as_secs_f64());
        match refusal {
            None => self.grants.with_label_values(&[service]).inc(),
            Some(code) => self.refusals.with_label_values(&[service, &code.number().to_string()]).inc(),
        }
    }

    /// Shows queues and targets as they are now.
    pub fn update(&self, core: &DispatchCore, now: BootTime) {
        let mut labels = ShownLabels::default();
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
        self.take_out_former(labels);
    }

    fn take_out_former(&self, labels: ShownLabels) {
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        for label in shown.queues.iter().filter(|label| !labels.queues.contains(label)) {
            let _ = self.queue_length.remove_label_values(label);
        }
        for label in shown.targets.iter().filter(|label| !labels.targets.contains(label)) {
            let _ = self.running.remove_label_values(label);
            let _ = self.limit.remove_label_values(label);
        }
        *shown = labels;
    }
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    GenericGaugeVec::new(Opts::new(name, help), labels).expect("metric names are constants")
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are constants")
}

fn waits() -> HistogramVec {
    let options = HistogramOpts::new("camphorspring_permit_wait_seconds", "Wait for a permit on this host.");
    HistogramVec::new(options.buckets(WAIT_BUCKETS.to_vec()), &["service"]).expect("metric names are constants")
}
