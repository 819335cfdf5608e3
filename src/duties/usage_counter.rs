//! Counts the requests that targets began, by organisation and usage window.

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;

use crate::prelude::*;

/// Index of a usage window; window 0 began at the Unix epoch.
pub type WindowNumber = u64;

/// Number of requests of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationCount {
    /// Organisation that sent the requests.
    pub organisation: OrganisationId,
    /// Number of requests that targets began.
    pub count: u64,
}

#[derive(Debug)]
struct WindowCount {
    window: WindowNumber,
    counts: Vec<OrganisationCount>,
}

/// Counts of this host for the windows that were not taken out yet.
#[derive(Debug)]
pub struct UsageCounter {
    window_length: Duration,
    /// Sorted by window.
    windows: Mutex<Vec<WindowCount>>,
}

impl UsageCounter {
    /// Creates a counter for windows of the given length, at least one second.
    #[must_use]
    pub fn new(window_length: Duration) -> Self {
        Self { window_length: window_length.max(Duration::from_secs(1)), windows: Mutex::new(Vec::new()) }
    }

    /// Number of the window that contains a time, given as the time since the Unix epoch.
    #[must_use]
    pub fn window_at(&self, time: Duration) -> WindowNumber {
        whole_millis(time) / whole_millis(self.window_length)
    }

    /// Counts a request that a target began just now; without an organisation, it is not counted.
    pub fn record_start(&self, organisation: Option<&str>) {
        let Some(organisation) = organisation else { return };
        self.record_at(organisation, self.window_at(wall_time()));
    }

    /// Counts one request in `window`, which need not be the newest one.
    pub fn record_at(&self, organisation: &str, window: WindowNumber) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let position = windows.binary_search_by_key(&window, |known| known.window).unwrap_or_else(|position| {
            windows.insert(position, WindowCount { window, counts: Vec::new() });
            position
        });
        add_count(&mut windows[position].counts, organisation, 1);
    }

    /// Removes and returns the counts of all windows before `window`, oldest first.
    pub fn take_before(&self, window: WindowNumber) -> Vec<(WindowNumber, Vec<OrganisationCount>)> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let end = windows.partition_point(|known| known.window < window);
        windows.drain(..end).map(|known| (known.window, known.counts)).collect()
    }
}

/// Adds to the count of an organisation; `counts` must be sorted by organisation, and stays so.
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
