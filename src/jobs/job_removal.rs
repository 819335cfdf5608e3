//! Which finished jobs are removed from the store.
//!
//! Results are kept for as long as the installation promises to its callers. Without removal, every job ever handed in
//! would be read by each host that starts.

use crate::jobs::job_cache::CachedJob;
use crate::prelude::*;

/// Time beyond the promised one for which a job is kept; covers the error of the estimated store time.
const KEEP_MARGIN: Duration = Duration::from_secs(30);

/// Times the promised time for which a finished job is kept that its caller never ended.
const FORGOTTEN_KEEPS: u32 = 10;

/// Jobs that one look removes at most, so that a backlog does not press the store.
const JOBS_PER_LOOK: usize = 4;

/// Jobs to remove at `store_time` where results are kept for `keep`.
#[must_use]
pub fn jobs_to_remove(jobs: Vec<CachedJob>, store_time: Duration, keep: Duration) -> Vec<CachedJob> {
    let is_due = |job: &CachedJob| {
        let header = &job.header;
        let keep = if header.is_ended { keep } else { keep * FORGOTTEN_KEEPS };
        header.is_closed() && header.age(store_time) >= keep + KEEP_MARGIN
    };
    jobs.into_iter().filter(is_due).take(JOBS_PER_LOOK).collect()
}
