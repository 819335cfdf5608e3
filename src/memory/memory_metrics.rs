//! Metrics of a budget.

use prometheus::{IntGauge, Registry};

use super::MemoryBudget;

/// Gauges of a budget, updated when the metrics are rendered.
#[derive(Debug)]
pub struct MemoryMetrics {
    bytes: IntGauge,
    connections: IntGauge,
    yielded: IntGauge,
    refused: IntGauge,
}

fn register(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::with_opts(prometheus::Opts::new(name, help).namespace("camphorspring"))?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

impl MemoryMetrics {
    /// Adds the gauges to a registry.
    ///
    /// # Errors
    ///
    /// The registry has a metric of the same name.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            bytes: register(registry, "intake_bytes", "Memory that connections and bodies from outside hold")?,
            connections: register(registry, "intake_connections", "Open connections that were accepted")?,
            yielded: register(registry, "intake_yielded", "Connections and bodies ended to make room for others")?,
            refused: register(registry, "intake_refused", "Connections and bodies refused for want of room")?,
        })
    }

    /// Sets the gauges to the present state of a budget.
    pub fn update(&self, budget: &MemoryBudget) {
        self.bytes.set(i64::try_from(budget.used()).unwrap_or(i64::MAX));
        self.connections.set(i64::try_from(budget.connections()).unwrap_or(i64::MAX));
        self.yielded.set(i64::try_from(budget.yielded()).unwrap_or(i64::MAX));
        self.refused.set(i64::try_from(budget.refused()).unwrap_or(i64::MAX));
    }
}
