//! Builds the retry policy of a host from a retry budget and a health record for each service and failure domain.

use std::sync::{Mutex, PoisonError};

use rand::{Rng, RngExt};

use crate::policy::domain_health::DomainHealth;
use crate::policy::retry_budget::RetryBudget;
use crate::prelude::*;
use crate::traffic::retry_policy::{AttemptScope, RetryPolicy};

#[derive(Debug)]
struct RetryRecord {
    service: ServiceId,
    failure_domain: DomainId,
    budget: RetryBudget,
    health: DomainHealth,
}

// Sorted by service and failure domain; a record is added at its first use.
type RetryTable = Mutex<Vec<RetryRecord>>;

fn with_record<T>(table: &RetryTable, place: AttemptScope<'_>, update: impl FnOnce(&mut RetryRecord) -> T) -> T {
    let mut records = table.lock().unwrap_or_else(PoisonError::into_inner);
    let key = (place.service, place.failure_domain);
    let found = records.binary_search_by(|record| (record.service.as_str(), record.failure_domain.as_str()).cmp(&key));
    let index = found.unwrap_or_else(|index| {
        let record = RetryRecord {
            service: place.service.to_owned(),
            failure_domain: place.failure_domain.to_owned(),
            budget: RetryBudget::new(),
            health: DomainHealth::new(),
        };
        records.insert(index, record);
        index
    });
    update(&mut records[index])
}

/// Retry policy that allows a retry while the service is not failing in the failure domain and its budget there is not
/// used up. Only attempts of this host are counted. `generator` draws the jitter of the delays.
#[must_use]
pub fn build_retry_policy(generator: impl Rng + Send + 'static) -> RetryPolicy {
    let table: Arc<RetryTable> = Arc::new(Mutex::new(Vec::new()));
    let (health_table, budget_table) = (Arc::clone(&table), Arc::clone(&table));
    let generator = Mutex::new(generator);
    RetryPolicy {
        record_first_attempt: Arc::new(move |place| {
            with_record(&table, place, |record| record.budget.record_first_attempt(boot_time()));
        }),
        record_attempt_end: Arc::new(move |place, is_success| {
            with_record(&health_table, place, |record| record.health.record(boot_time(), !is_success));
        }),
        try_retry: Arc::new(move |place| {
            with_record(&budget_table, place, |record| {
                let now = boot_time();
                !record.health.is_failing(now) && record.budget.try_consume_retry(now)
            })
        }),
        random: Arc::new(move || generator.lock().unwrap_or_else(PoisonError::into_inner).random::<f64>()),
    }
}
