//! Parts of a running host that its tasks share.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;

use crate::duties::usage_counter::UsageCounter;
use crate::entry::host_metrics::HostMetrics;
use crate::entry::settings::InstallationSettings;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::target_load::LoadTable;
use crate::jobs::job_cache::JobCache;
use crate::prelude::*;
use crate::relay::caller_codec::CallerCodec;
use crate::relay::connection_pool::ConnectionPool;
use crate::relay::target_codec::TargetCodec;
use crate::row_store::RowStore;

/// Shared parts of a host.
#[derive(Debug)]
pub struct HostContext {
    /// Settings.
    pub settings: InstallationSettings,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// What is known of the installation.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Store.
    pub store: Arc<RowStore>,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Load of the targets.
    pub loads: Mutex<LoadTable>,
    /// Headers of batch jobs.
    pub board: JobCache,
    /// Requests begun, by organisation and window.
    pub usage: UsageCounter,
    /// Metrics.
    pub metrics: HostMetrics,
    /// Words of targets.
    pub target_codec: TargetCodec,
    /// Words of callers.
    pub caller_codec: CallerCodec,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Whether batch jobs are handed to other hosts.
    pub releasing: AtomicBool,
}

impl HostContext {
    /// Present view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether the planned stop has reached the point at which batch jobs are handed to other hosts.
    #[must_use]
    pub fn must_release_jobs(&self) -> bool {
        self.releasing.load(Ordering::Acquire)
    }

    /// Works on the load table.
    pub fn with_loads<T>(&self, work: impl FnOnce(&mut LoadTable) -> T) -> T {
        // A panic while the lock was held leaves counts that are at worst slightly off.
        let mut loads = self.loads.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        work(&mut loads)
    }
}

/// A request that the load table counts as running on a target, until it is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    context: Arc<HostContext>,
    target: TargetId,
    is_job: bool,
}

impl RunningRequest {
    /// Takes charge of a request that was counted when its target was chosen.
    #[must_use]
    pub fn counted(context: &Arc<HostContext>, target: &str, is_job: bool) -> Self {
        Self { context: Arc::clone(context), target: target.to_owned(), is_job }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.context.with_loads(|loads| loads.end(&self.target, self.is_job));
    }
}
