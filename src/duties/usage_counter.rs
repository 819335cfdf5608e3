//! Requests that targets began, by organisation and window.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::prelude::*;

/// Number of a usage window.
pub type WindowNumber = u64;

/// Requests of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationCount {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Requests.
    pub count: u64,
}

#[derive(Debug)]
struct WindowCount {
    window: WindowNumber,
    counts: Vec<OrganisationCount>,
}

/// Counts of the windows that were not taken out yet.
#[derive(Debug)]
pub struct UsageCounter {
    length: Duration,
    windows: Mutex<Vec<WindowCount>>,
}

impl UsageCounter {
    /// Counter of windows of a length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self { length: length.max(Duration::from_secs(1)), windows: Mutex::new(Vec::new()) }
    }

    /// Window that contains a time since the Unix epoch.
    #[must_use]
    pub fn window_at(&self, time: Duration) -> WindowNumber {
        whole_millis(time) / whole_millis(self.length)
    }

    /// Records a request that a target began just now.
    pub fn record_start(&self, organisation: Option<&str>) {
        let Some(organisation) = organisation else { return };
        self.record_at(organisation, self.window_at(wall_time()));
    }

    /// Records a request in a window.
    pub fn record_at(&self, organisation: &str, window: WindowNumber) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let position = windows.binary_search_by_key(&window, |known| known.window).unwrap_or_else(|position| {
            windows.insert(position, WindowCount { window, counts: Vec::new() });
            position
        });
        add_count(&mut windows[position].counts, organisation, 1);
    }

    /// Takes out the counts of all windows before `window`.
    pub fn take_before(&self, window: WindowNumber) -> Vec<(WindowNumber, Vec<OrganisationCount>)> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let end = windows.partition_point(|known| known.window < window);
        windows.drain(..end).map(|known| (known.window, known.counts)).collect()
    }
}

/// Adds to the count of an organisation; counts are sorted by organisation.
pub fn add_count(counts: &mut Vec<OrganisationCount>, organisation: &str, count: u64) {
    match counts.binary_search_by(|known| known.organisation.as_str().cmp(organisation)) {
        Ok(position) => counts[position].count += count,
        Err(position) => counts.insert(position, OrganisationCount { organisation: organisation.to_owned(), count }),
    }
}

/// Time since the Unix epoch by the wall clock; used only to name usage windows.
#[must_use]
pub fn wall_time() -> Duration {
    let nanos = OffsetDateTime::now_utc().unix_timestamp_nanos();
    Duration::from_nanos(u64::try_from(nanos).unwrap_or_default())
}
