//! Metrics of this process.

use prometheus::{Encoder, Registry, TextEncoder};

/// Renders all metrics of a registry in the text format.
#[must_use]
pub fn render_metrics(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    text
}
