//! The retry budget and the health of failure domains, as functions for the runners.

use std::sync::{Mutex, PoisonError};

use rand::{Rng, RngExt};

use crate::policy::domain_health::DomainHealth;
use crate::policy::retry_budget::RetryBudget;
use crate::prelude::*;
use crate::traffic::retry_policy::{AttemptPlace, RetryPolicy};

#[derive(Debug)]
struct PlaceRecord {
    service: ServiceId,
    failure_domain: DomainId,
    budget: RetryBudget,
    health: DomainHealth,
}

// Sorted by service and failure domain.
type PlaceTable = Mutex<Vec<PlaceRecord>>;

fn with_place<T>(table: &PlaceTable, place: AttemptPlace<'_>, act: impl FnOnce(&mut PlaceRecord) -> T) -> T {
    let mut records = table.lock().unwrap_or_else(PoisonError::into_inner);
    let key = (place.service, place.failure_domain);
    let found = records.binary_search_by(|record| (record.service.as_str(), record.failure_domain.as_str()).cmp(&key));
    let index = found.unwrap_or_else(|index| {
        let record = PlaceRecord {
            service: place.service.to_owned(),
            failure_domain: place.failure_domain.to_owned(),
            budget: RetryBudget::new(),
            health: DomainHealth::new(),
        };
        records.insert(index, record);
        index
    });
    act(&mut records[index])
}

/// Retry policy whose budgets are counted by service and failure domain on this host.
#[must_use]
pub fn retry_policy(generator: impl Rng + Send + 'static) -> RetryPolicy {
    let table: Arc<PlaceTable> = Arc::new(Mutex::new(Vec::new()));
    let (ends, retries) = (Arc::clone(&table), Arc::clone(&table));
    let generator = Mutex::new(generator);
    RetryPolicy {
        note_first: Arc::new(move |place| {
            with_place(&table, place, |record| record.budget.record_first_attempt(boot_time()));
        }),
        note_end: Arc::new(move |place, is_success| {
            with_place(&ends, place, |record| record.health.record(boot_time(), !is_success));
        }),
        may_retry: Arc::new(move |place| {
            with_place(&retries, place, |record| {
                let now = boot_time();
                !record.health.is_failing(now) && record.budget.try_consume_retry(now)
            })
        }),
        random: Arc::new(move || generator.lock().unwrap_or_else(PoisonError::into_inner).random::<f64>()),
    }
}
