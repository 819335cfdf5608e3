//! Headers of all jobs as this host knows them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::jobs::job_record::JobHeader;
use crate::prelude::*;
use crate::row_store::{RowVersion, StoredRow};

/// A header and the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CachedJob {
    /// Header.
    pub header: JobHeader,
    /// Version of the row.
    pub version: RowVersion,
    /// When this host learned of the job.
    pub known_since: BootTime,
}

/// Known headers, sorted by job.
#[derive(Debug, Default)]
pub struct JobCache {
    jobs: Mutex<Vec<CachedJob>>,
    changed: Notify,
    read_at: Mutex<BootTime>,
}

/// Decodes a header row; one that cannot be read is logged and left out.
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
    /// Board without jobs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<CachedJob>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies rows of the table of headers.
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

    /// Records a header that was read or written; older versions are ignored.
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

    /// Forgets a job whose rows were removed.
    pub fn forget(&self, job: &str) {
        self.lock().retain(|known| known.header.job != job);
        self.changed.notify_waiters();
    }

    /// All jobs that are known.
    #[must_use]
    pub fn all_jobs(&self) -> Vec<CachedJob> {
        self.lock().clone()
    }

    /// Job by id.
    #[must_use]
    pub fn get(&self, job: &str) -> Option<CachedJob> {
        let jobs = self.lock();
        let position = jobs.binary_search_by(|known| known.header.job.as_str().cmp(job)).ok()?;
        Some(jobs[position].clone())
    }

    /// Jobs that are not closed.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<CachedJob> {
        self.lock().iter().filter(|known| !known.header.is_closed()).cloned().collect()
    }

    /// When the store confirmed the headers last.
    #[must_use]
    pub fn read_at(&self) -> BootTime {
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until some header changes, at most `limit`.
    pub async fn wait_change(&self, limit: Duration) {
        // A wait that ends without a change is an ordinary outcome.
        let _ = tokio::time::timeout(limit, self.changed.notified()).await;
    }
}
