//! Requests in flight of each step by failure domain, counted for the requests that this host starts.
//!
//! A step is one unit of a trainer's work, whose requests share organisation, service and deadline; these three
//! identify it. The counts let a requester avoid a failure domain that would run more than half of its own requests of
//! the step. If every requester stays at or below half in a domain, so does the step as a whole.

use crate::prelude::*;

/// Number of requests of one step in flight in one failure domain.
#[derive(Debug, Clone)]
struct DomainRequestCount {
    organisation: OrganisationId,
    service: ServiceId,
    deadline: BootTime,
    failure_domain: DomainId,
    requests: u32,
}

/// Request counts of all steps, sorted by deadline, organisation, service and failure domain.
#[derive(Debug, Default)]
pub struct StepRequestCounts {
    counts: Vec<DomainRequestCount>,
}

impl StepRequestCounts {
    /// Adds a started request of a step; a request without a deadline belongs to no step and is ignored.
    pub fn begin(&mut self, organisation: &str, service: &str, deadline: Option<BootTime>, failure_domain: &str) {
        let Some(deadline) = deadline else { return };
        match self.find(organisation, service, deadline, failure_domain) {
            Ok(position) => self.counts[position].requests += 1,
            Err(position) => {
                let entry = DomainRequestCount {
                    organisation: organisation.to_owned(),
                    service: service.to_owned(),
                    deadline,
                    failure_domain: failure_domain.to_owned(),
                    requests: 1,
                };
                self.counts.insert(position, entry);
            }
        }
    }

    /// Removes a request that was added by [`Self::begin`] and has ended.
    pub fn end(&mut self, organisation: &str, service: &str, deadline: Option<BootTime>, failure_domain: &str) {
        let Some(deadline) = deadline else { return };
        let Ok(position) = self.find(organisation, service, deadline, failure_domain) else { return };
        self.counts[position].requests -= 1;
        if self.counts[position].requests == 0 {
            self.counts.remove(position);
        }
    }

    /// Returns the number of requests of a step in flight in a failure domain; 0 without a deadline.
    #[must_use]
    pub fn count(&self, organisation: &str, service: &str, deadline: Option<BootTime>, failure_domain: &str) -> u32 {
        let Some(deadline) = deadline else { return 0 };
        let position = self.find(organisation, service, deadline, failure_domain);
        position.map_or(0, |position| self.counts[position].requests)
    }

    fn find(
        &self,
        organisation: &str,
        service: &str,
        deadline: BootTime,
        failure_domain: &str,
    ) -> Result<usize, usize> {
        self.counts.binary_search_by(|entry| {
            let known =
                (entry.deadline, entry.organisation.as_str(), entry.service.as_str(), entry.failure_domain.as_str());
            known.cmp(&(deadline, organisation, service, failure_domain))
        })
    }
}
