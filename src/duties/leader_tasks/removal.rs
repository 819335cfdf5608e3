//! Leader tasks that remove finished jobs, and what was stored about streams and about requests under which targets crashed.

use crate::duties::leader_tasks::LeaderTasks;
use crate::jobs::job_removal::jobs_to_remove;
use crate::jobs::job_store::remove_job;
use crate::prelude::*;
use crate::relay::crash_reports::remove_old_reports;
use crate::relay::stream_origins::remove_old_origins;

/// Interval between two passes; a pass removes at most four jobs (`MAX_JOBS_PER_PASS` of the job removal), which is
/// several times the rate at which trainers submit jobs.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two passes over the rows of streams.
const STREAM_REMOVAL_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between two passes over the reports of crashes.
const REPORT_REMOVAL_INTERVAL: Duration = Duration::from_secs(30);

impl LeaderTasks {
    /// Removes old reports of crashes while this host holds the lease; runs until the process ends.
    pub async fn run_report_removal(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REPORT_REMOVAL_INTERVAL).await;
            let Some(store_time) = (self.store.store_time)().filter(|_| self.fence().is_some()) else { continue };
            if let Err(error) = remove_old_reports(&self.store, store_time).await {
                log::info!(fault = error.to_string(); "report_removal_failed");
            }
        }
    }

    /// Removes the rows of old streams while this host holds the lease and a route has resumable streams; runs until the
    /// process ends.
    pub async fn run_stream_removal(self: Arc<Self>) {
        loop {
            tokio::time::sleep(STREAM_REMOVAL_INTERVAL).await;
            let Some(store_time) = (self.store.store_time)().filter(|_| self.fence().is_some()) else { continue };
            let services = self.context.view().services.clone();
            if services.is_none_or(|services| !services.routes.iter().any(|route| route.is_resumable)) {
                continue;
            }
            if let Err(error) = remove_old_origins(&self.store, store_time).await {
                log::info!(fault = error.to_string(); "stream_removal_failed");
            }
        }
    }

    /// Removes the rows of finished jobs whose results need not be kept any more, while this host holds the lease; runs
    /// until the process ends.
    pub async fn run_job_removal(self: Arc<Self>) {
        let retention = Duration::from_secs_f64(self.context.settings.result_keep_seconds);
        loop {
            tokio::time::sleep(REMOVAL_INTERVAL).await;
            let Some(store_time) = (self.store.store_time)().filter(|_| self.fence().is_some()) else { continue };
            for job in jobs_to_remove(self.context.board.all_jobs(), store_time, retention) {
                let id = job.header.job.clone();
                match remove_job(&self.store, &job.header, job.version).await {
                    Ok(true) => self.context.board.forget(&id),
                    Ok(false) => {}
                    Err(error) => {
                        log::info!(job = id, fault = error.to_string(); "job_removal_failed");
                        break;
                    }
                }
            }
        }
    }
}
