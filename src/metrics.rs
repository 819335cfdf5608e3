//! Gauges of the control state, and the text format of all metrics.

use prometheus::{Encoder, Gauge, Opts, Registry, TextEncoder};

use crate::control::ControlView;
use crate::control::control_view::MemberState;
use crate::prelude::*;

/// Formats all metrics of a registry in the Prometheus text format.
#[must_use]
pub fn render_metrics(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut text);
    text
}

/// Value of an age gauge, in seconds, when the age is not known.
const UNKNOWN_AGE_SECONDS: f64 = -1.0;

/// Gauges of the control state. They are set only when the metrics are read.
#[derive(Debug, Clone)]
pub struct HostGauges {
    store_read_age: Gauge,
    view_age: Gauge,
    configuration_version: Gauge,
    live_members: Gauge,
    withdrawn_keys: Gauge,
    owned_resources: Gauge,
    is_ready: Gauge,
}

impl HostGauges {
    /// Creates the gauges and registers them in `registry`.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        let gauge = |name: &str, help: &str| register_gauge(registry, name, help);
        Self {
            store_read_age: gauge(
                "store_read_age_seconds",
                "Age of the newest store read in the view; -1 when unknown",
            ),
            view_age: gauge("view_age_seconds", "Age of the view; keyed work stops above 4; -1 when unknown"),
            configuration_version: gauge("configuration_version", "Configuration version in force"),
            live_members: gauge("live_members", "Live hosts of the own failure domain"),
            withdrawn_keys: gauge("withdrawn_keys", "Withdrawn keys known"),
            owned_resources: gauge("owned_resources", "Leased resources that this host owns"),
            is_ready: gauge("ready", "1 when the host admits new requests"),
        }
    }

    /// Sets all gauges to the values of `view`, with ages relative to `now`.
    #[expect(clippy::cast_precision_loss, reason = "counts and versions stay far below 2^53")]
    pub fn update(&self, view: &ControlView, now: BootTime) {
        let age_seconds = |age: Option<Duration>| age.map_or(UNKNOWN_AGE_SECONDS, |age| age.as_secs_f64());
        self.store_read_age.set(age_seconds(view.store_read_at.map(|read_at| now.saturating_sub(read_at))));
        self.view_age.set(age_seconds(view.view_age(now)));
        self.configuration_version.set(view.configuration.version as f64);
        let live = view.members.iter().filter(|member| member.state == MemberState::Live).count();
        self.live_members.set(live as f64);
        self.withdrawn_keys.set(view.withdrawn.len() as f64);
        self.owned_resources.set(view.owned.len() as f64);
        self.is_ready.set(f64::from(u8::from(view.is_ready())));
    }
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let options = Opts::new(name, help).namespace("camphorspring");
    let gauge = Gauge::with_opts(options).expect("the name of the gauge is valid");
    // A second registration of the same name, as in tests, fails; the registry keeps the first gauge.
    let _ = registry.register(Box::new(gauge.clone()));
    gauge
}
