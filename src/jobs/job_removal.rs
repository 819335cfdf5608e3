//! Selects the closed jobs that are removed from the store: jobs that are complete or were ended by their callers.
//!
//! Results are kept for the retention time that the installation promises to its callers. Without removal, each host
//! would read all jobs ever submitted when it starts.

use crate::jobs::job_cache::CachedJob;
use crate::prelude::*;

/// Time that a job is kept beyond the retention time; covers the error of the estimated store time.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// Multiple of the retention time that a complete job is kept if the caller never ends it.
const UNENDED_RETENTION_FACTOR: u32 = 10;

/// Maximum number of jobs that one pass removes, so that a backlog does not overload the store.
const MAX_JOBS_PER_PASS: usize = 4;

/// Selects the jobs to remove at `store_time`, counting `retention` from the submission of a job.
#[must_use]
pub fn jobs_to_remove(jobs: Vec<CachedJob>, store_time: Duration, retention: Duration) -> Vec<CachedJob> {
    let is_due = |job: &CachedJob| {
        let header = &job.header;
        let retention = if header.is_ended { retention } else { retention * UNENDED_RETENTION_FACTOR };
        header.is_closed() && header.age(store_time) >= retention + RETENTION_MARGIN
    };
    jobs.into_iter().filter(is_due).take(MAX_JOBS_PER_PASS).collect()
}
