//! Health of each service in each failure domain, from the attempts that this host made as a requester.

use crate::policy::domain_health::DomainHealth;
use crate::prelude::*;

/// Health of one service in one failure domain.
#[derive(Debug)]
struct HealthEntry {
    service: ServiceId,
    failure_domain: DomainId,
    health: DomainHealth,
}

/// All health entries, sorted by service and failure domain.
#[derive(Debug, Default)]
pub struct HealthTable {
    entries: Vec<HealthEntry>,
}

impl HealthTable {
    /// Records the result of one attempt.
    pub fn record(&mut self, now: BootTime, service: &str, failure_domain: &str, is_failure: bool) {
        let position = match self.find(service, failure_domain) {
            Ok(position) => position,
            Err(position) => {
                let (service, failure_domain) = (service.to_owned(), failure_domain.to_owned());
                let entry = HealthEntry { service, failure_domain, health: DomainHealth::new() };
                self.entries.insert(position, entry);
                position
            }
        };
        self.entries[position].health.record(now, is_failure);
    }

    /// Whether too many recent attempts failed; false for a service and domain without attempts.
    #[must_use]
    pub fn is_failing(&self, now: BootTime, service: &str, failure_domain: &str) -> bool {
        let position = self.find(service, failure_domain);
        position.is_ok_and(|position| self.entries[position].health.is_failing(now))
    }

    fn find(&self, service: &str, failure_domain: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            (entry.service.as_str(), entry.failure_domain.as_str()).cmp(&(service, failure_domain))
        })
    }
}
