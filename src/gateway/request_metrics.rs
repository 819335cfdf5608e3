//! Prometheus metrics of the requests on the caller port.

use prometheus::core::Collector;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

use crate::prelude::*;

/// Upper bounds of the latency buckets in seconds, for objectives between 50 ms and 60 s.
const LATENCY_BUCKETS: [f64; 14] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0];

/// Request counts and latencies by service and organisation, open streams, and retries by service.
#[derive(Debug)]
pub struct RequestMetrics {
    requests: IntCounterVec,
    latency: HistogramVec,
    /// Streamed responses whose thread still runs; also compared with the limit of open streams.
    pub streams: IntGauge,
    retries: IntCounterVec,
}

impl RequestMetrics {
    /// Creates the metrics at zero and registers them in `registry`.
    ///
    /// # Panics
    ///
    /// Never: the names and labels are constants that the `prometheus` crate accepts.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        let requests = Opts::new("camphorspring_requests_total", "Requests by service, organisation and result code.");
        let retries = Opts::new("camphorspring_retries_total", "Retries sent to targets, by service.");
        let latency = HistogramOpts::new("camphorspring_request_seconds", "Time from request to complete answer.")
            .buckets(LATENCY_BUCKETS.to_vec());
        let streams = IntGauge::new("camphorspring_streams_open", "Streamed answers that are not complete.");
        let metrics = Self {
            requests: IntCounterVec::new(requests, &["service", "organisation", "code"]).expect("constant names"),
            latency: HistogramVec::new(latency, &["service", "organisation"]).expect("constant names"),
            streams: streams.expect("constant name"),
            retries: IntCounterVec::new(retries, &["service"]).expect("constant names"),
        };
        register(registry, metrics.requests.clone());
        register(registry, metrics.latency.clone());
        register(registry, metrics.streams.clone());
        register(registry, metrics.retries.clone());
        metrics
    }

    /// Counts a finished request and adds its latency to the histogram.
    pub fn record_request(&self, service: &str, organisation: &str, code: ResultCode, latency: Duration) {
        let number = code.number().to_string();
        self.requests.with_label_values(&[service, organisation, &number]).inc();
        self.latency.with_label_values(&[service, organisation]).observe(latency.as_secs_f64());
    }

    /// Counts a retry that the retry budget allowed.
    pub fn record_retry(&self, service: &str) {
        self.retries.with_label_values(&[service]).inc();
    }
}

/// Registers a metric; an error is ignored, since tests start a second gateway with the same metric names.
fn register(registry: &Registry, collector: impl Collector + 'static) {
    let _ = registry.register(Box::new(collector));
}
