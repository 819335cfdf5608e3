//! Counts of good and bad requests by service and organisation, for the burn report.

use std::sync::{Mutex, PoisonError};

use crate::prelude::*;

/// Counts since the start of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectiveCount {
    /// Service.
    pub service: ServiceId,
    /// Organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// Requests that met the objective of the service.
    pub good: u64,
    /// Requests that did not.
    pub bad: u64,
}

/// Counters of this host, sorted by service and organisation.
#[derive(Debug, Default)]
pub struct ObjectiveCounters {
    counts: Mutex<Vec<ObjectiveCount>>,
}

impl ObjectiveCounters {
    /// Counts one request.
    pub fn note(&self, service: &str, organisation: &str, is_good: bool) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let name = (service, organisation);
        let found = counts.binary_search_by(|count| (count.service.as_str(), count.organisation.as_str()).cmp(&name));
        let position = found.unwrap_or_else(|position| {
            let (service, organisation) = (service.to_owned(), organisation.to_owned());
            counts.insert(position, ObjectiveCount { service, organisation, good: 0, bad: 0 });
            position
        });
        let count = &mut counts[position];
        if is_good {
            count.good += 1;
        } else {
            count.bad += 1;
        }
    }

    /// Present counts, sorted by service and organisation.
    #[must_use]
    pub fn snapshot(&self) -> Vec<ObjectiveCount> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
