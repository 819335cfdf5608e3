//! Metrics of a budget.

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntGauge, Opts, Registry};

use super::MemoryBudget;
use crate::prelude::*;

/// Gauges of a budget, set to its present state when they are collected.
#[derive(Debug)]
pub struct MemoryMetrics {
    budget: Arc<MemoryBudget>,
    bytes: IntGauge,
    connections: IntGauge,
    yielded: IntGauge,
    refused: IntGauge,
}

impl MemoryMetrics {
    /// Adds the gauges of a budget to a registry.
    ///
    /// # Errors
    ///
    /// The registry has a metric of the same name.
    pub fn register(registry: &Registry, budget: &Arc<MemoryBudget>) -> Result<(), prometheus::Error> {
        let gauge = |name: &str, help: &str| IntGauge::with_opts(Opts::new(name, help).namespace("camphorspring"));
        registry.register(Box::new(Self {
            budget: Arc::clone(budget),
            bytes: gauge("intake_bytes", "Memory that connections and bodies from outside hold")?,
            connections: gauge("intake_connections", "Open connections that were accepted")?,
            yielded: gauge("intake_yielded", "Connections and bodies ended so far to make room for others")?,
            refused: gauge("intake_refused", "Connections and bodies refused so far for want of room")?,
        }))
    }

    fn gauges(&self) -> [&IntGauge; 4] {
        [&self.bytes, &self.connections, &self.yielded, &self.refused]
    }
}

impl Collector for MemoryMetrics {
    fn desc(&self) -> Vec<&Desc> {
        self.gauges().into_iter().flat_map(Collector::desc).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.bytes.set(i64::try_from(self.budget.used()).unwrap_or(i64::MAX));
        self.connections.set(i64::try_from(self.budget.connections()).unwrap_or(i64::MAX));
        self.yielded.set(i64::try_from(self.budget.yielded()).unwrap_or(i64::MAX));
        self.refused.set(i64::try_from(self.budget.refused()).unwrap_or(i64::MAX));
        self.gauges().into_iter().flat_map(Collector::collect).collect()
    }
}
