//! What this host knows of the route of a batch job.
//!
//! The tables of the store reach a host one by one. A host that was cut off may learn of a job before it learns of the
//! configuration under which the job was accepted, and the absence of the route in its older configuration says nothing.
//! All rows of the store have versions of one counter, so the configuration is as new as the job once the operators'
//! table is known up to the version of the job's header. Until then no item is given up because of the configuration.

use crate::fleet::fleet_view::FleetView;
use crate::fleet::service_map::RouteRule;
use crate::row_store::RowVersion;

/// Route of a job in a configuration that is at least as new as the job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobRoute<'a> {
    /// The route is in force.
    InForce(&'a RouteRule),
    /// The route was removed after the job was accepted.
    Removed,
    /// The configuration is not known, or may be older than the job.
    Unknown,
}

impl<'a> JobRoute<'a> {
    /// Finds the route of this name. `job_version` is a version that the header of the job has had in the store.
    #[must_use]
    pub fn find(view: &'a FleetView, name: &str, job_version: RowVersion) -> Self {
        match view.services.as_ref().filter(|_| view.operators_version >= job_version) {
            Some(services) => services.route_named(name).map_or(Self::Removed, Self::InForce),
            None => Self::Unknown,
        }
    }

    /// Number of failed runs after which an item is given up; unlimited unless the route is in force.
    #[must_use]
    pub fn max_failures(self) -> u32 {
        match self {
            Self::InForce(route) => route.attempts.max(1),
            Self::Removed | Self::Unknown => u32::MAX,
        }
    }
}
