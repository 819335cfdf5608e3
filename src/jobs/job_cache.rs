//! In-memory cache of the headers of all batch jobs, filled from the watched table and from this host's own calls.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::jobs::job_record::JobHeader;
use crate::prelude::*;
use crate::row_store::{RowVersion, StoredRow};

/// A cached header with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedJob {
    /// Header as of `version`.
    pub header: JobHeader,
    /// Version of the header row; the condition for replacing it.
    pub version: RowVersion,
    /// When this host first saw the job; later versions of the header keep the time.
    pub known_since: BootTime,
}

/// Cached headers, sorted by job id.
#[derive(Debug, Default)]
pub struct JobCache {
    jobs: Mutex<Vec<CachedJob>>,
    changed: Notify,
    read_at: Mutex<BootTime>,
}

/// Decodes a header row; `None` when the row was removed or cannot be decoded, which is logged.
#[must_use]
pub fn decode_header(row: &StoredRow) -> Option<JobHeader> {
    let value = row.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(header) => Some(header),
        Err(error) => {
            log::warn!(job = row.key, error = error.to_string(); "job_header_unreadable");
            None
        }
    }
}

impl JobCache {
    /// Creates an empty cache, whose `read_at` is zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<CachedJob>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changed rows of the header table, which the store returned at `now`; removed rows drop their jobs.
    pub fn apply_rows(&self, rows: &[StoredRow], now: BootTime) {
        for row in rows {
            if row.value.is_none() {
                self.forget(&row.key);
            } else if let Some(header) = decode_header(row) {
                self.upsert_header(header, row.version, now);
            }
        }
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }

    /// Inserts or replaces a header that was read or written; versions that are not newer are ignored.
    pub fn upsert_header(&self, header: JobHeader, version: RowVersion, now: BootTime) {
        let mut jobs = self.lock();
        match jobs.binary_search_by(|known| known.header.job.cmp(&header.job)) {
            Ok(position) if jobs[position].version >= version => return,
            Ok(position) => {
                jobs[position].header = header;
                jobs[position].version = version;
            }
            Err(position) => jobs.insert(position, CachedJob { header, version, known_since: now }),
        }
        drop(jobs);
        self.changed.notify_waiters();
    }

    /// Drops a job whose rows were removed.
    pub fn forget(&self, job: &str) {
        self.lock().retain(|known| known.header.job != job);
        self.changed.notify_waiters();
    }

    /// Copies of all cached jobs, sorted by job id.
    #[must_use]
    pub fn all_jobs(&self) -> Vec<CachedJob> {
        self.lock().clone()
    }

    /// Copy of the cached job with this id.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<CachedJob> {
        let jobs = self.lock();
        let position = jobs.binary_search_by(|known| known.header.job.as_str().cmp(job)).ok()?;
        Some(jobs[position].clone())
    }

    /// Copies of the cached jobs that still have items to run.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<CachedJob> {
        self.lock().iter().filter(|known| !known.header.is_closed()).cloned().collect()
    }

    /// When the store last returned changes of the header table; zero before the first answer.
    #[must_use]
    pub fn read_at(&self) -> BootTime {
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until some header changes, for at most `timeout`.
    pub async fn wait_change(&self, timeout: Duration) {
        // A timeout without a change is not an error.
        let _ = tokio::time::timeout(timeout, self.changed.notified()).await;
    }
}
