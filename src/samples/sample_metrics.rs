//! Counters of steps and samples.

use prometheus::{IntCounter, Registry};

/// Counters of this host.
#[derive(Debug, Clone)]
pub struct SampleMetrics {
    /// Samples in first deliveries; a repeated request for a cursor does not count.
    pub delivered_samples: IntCounter,
    /// Batches whose samples exceeded the staleness bound before a delivery; their samples are generated again.
    pub stale_batches: IntCounter,
}

impl SampleMetrics {
    /// Creates the counters at zero.
    ///
    /// # Panics
    ///
    /// Never: the names are valid.
    #[must_use]
    pub fn new() -> Self {
        Self {
            delivered_samples: counter("delivered_samples_total", "Samples delivered for the first time."),
            stale_batches: counter("stale_batches_total", "Batches that were too old at their first delivery."),
        }
    }

    /// Adds the counters to a registry; a counter whose name is registered already is not added again.
    pub fn register(&self, registry: &Registry) {
        let _ = registry.register(Box::new(self.delivered_samples.clone()));
        let _ = registry.register(Box::new(self.stale_batches.clone()));
    }
}

impl Default for SampleMetrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("counter name is valid")
}
