//! Removal of finished jobs, while this host holds the lease.

use crate::duties::leader_tasks::LeaderTasks;
use crate::jobs::job_removal::jobs_to_remove;
use crate::jobs::job_store::remove_job;
use crate::prelude::*;

/// Period of the looks at finished jobs; four jobs each time are several times what trainers hand in.
const REMOVAL_PERIOD: Duration = Duration::from_secs(2);

impl LeaderTasks {
    /// Removes the rows of finished jobs whose results need not be kept any more, until the process ends.
    pub async fn run_job_removal(self: Arc<Self>) {
        let keep = Duration::from_secs_f64(self.context.settings.result_keep_seconds);
        loop {
            tokio::time::sleep(REMOVAL_PERIOD).await;
            let Some(store_time) = (self.store.store_time)().filter(|_| self.fence().is_some()) else { continue };
            for job in jobs_to_remove(self.context.board.all_jobs(), store_time, keep) {
                let id = job.header.job.clone();
                match remove_job(&self.store, &job.header, job.version).await {
                    Ok(true) => self.context.board.forget(&id),
                    Ok(false) => {}
                    Err(fault) => {
                        log::info!(job = id, fault = fault.to_string(); "job_removal_failed");
                        break;
                    }
                }
            }
        }
    }
}
