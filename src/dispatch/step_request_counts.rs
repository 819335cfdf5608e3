//! Requests in flight of each step by failure domain, as this entry host started them.
//!
//! A step is known by organisation, service and deadline. Each entry host keeps its own part of a step below one
//! half in every domain, and so does the sum of all parts.

use crate::prelude::*;

/// Requests of one step in one failure domain.
#[derive(Debug, Clone)]
struct StepPart {
    organisation: OrganisationId,
    service: ServiceId,
    deadline: BootTime,
    failure_domain: DomainId,
    requests: u32,
}

/// All parts, sorted by deadline and names.
#[derive(Debug, Default)]
pub struct StepRequestCounts {
    parts: Vec<StepPart>,
}

impl StepRequestCounts {
    /// Counts a request of a step; a request without a deadline belongs to no step.
    pub fn begin(&mut self, organisation: &str, service: &str, deadline: Option<BootTime>, failure_domain: &str) {
        let Some(deadline) = deadline else { return };
        match self.find(organisation, service, deadline, failure_domain) {
            Ok(position) => self.parts[position].requests += 1,
            Err(position) => {
                let part = StepPart {
                    organisation: organisation.to_owned(),
                    service: service.to_owned(),
                    deadline,
                    failure_domain: failure_domain.to_owned(),
                    requests: 1,
                };
                self.parts.insert(position, part);
            }
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, organisation: &str, service: &str, deadline: Option<BootTime>, failure_domain: &str) {
        let Some(deadline) = deadline else { return };
        let Ok(position) = self.find(organisation, service, deadline, failure_domain) else { return };
        self.parts[position].requests -= 1;
        if self.parts[position].requests == 0 {
            self.parts.remove(position);
        }
    }

    /// Requests of a step in a failure domain.
    #[must_use]
    pub fn count(&self, organisation: &str, service: &str, deadline: Option<BootTime>, failure_domain: &str) -> u32 {
        let Some(deadline) = deadline else { return 0 };
        let position = self.find(organisation, service, deadline, failure_domain);
        position.map_or(0, |position| self.parts[position].requests)
    }

    fn find(
        &self,
        organisation: &str,
        service: &str,
        deadline: BootTime,
        failure_domain: &str,
    ) -> Result<usize, usize> {
        self.parts.binary_search_by(|part| {
            let known =
                (part.deadline, part.organisation.as_str(), part.service.as_str(), part.failure_domain.as_str());
            known.cmp(&(deadline, organisation, service, failure_domain))
        })
    }
}
