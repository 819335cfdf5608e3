//! State that the tasks of a running host share, and the guard that counts a request as running.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;

use hyper::http;
use tokio::sync::watch;

use crate::duties::usage_counter::UsageCounter;
use crate::entry::host_metrics::HostMetrics;
use crate::entry::planned_stop::PlannedStop;
use crate::entry::settings::InstallationSettings;
use crate::fleet::fleet_state::LeavingTarget;
use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::restart_watch::RestartWatch;
use crate::fleet::target_limit::LimitNotice;
use crate::fleet::target_load::LoadTable;
use crate::jobs::job_cache::JobCache;
use crate::memory::MemoryBudget;
use crate::policy::limit_share::ShareClock;
use crate::prelude::*;
use crate::relay::caller_codec::CallerCodec;
use crate::relay::connection_pool::ConnectionPool;
use crate::relay::crash_reports::CrashReports;
use crate::relay::stream_origins::StreamOrigins;
use crate::relay::target_codec::{TargetCodec, TargetHead};
use crate::relay::target_relay::LinkTable;
use crate::relay::target_response::{ResponseKind, classify_response};
use crate::row_store::RowStore;

/// Most targets that are remembered as leaving.
const MAX_LEAVING_TARGETS: usize = 256;

/// State that the thread for callers and the control thread share.
#[derive(Debug)]
pub struct HostContext {
    /// Settings read at the start; a reload does not change them.
    pub settings: InstallationSettings,
    /// Incarnation of this process: wall clock time of the start, in nanoseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Latest view of the installation, published by the control thread.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Store client of the thread that serves callers; the control thread has one of its own.
    pub store: Arc<RowStore>,
    /// Memory and connections that callers and other hosts may take.
    pub memory: Arc<MemoryBudget>,
    /// Open connections to targets, for reuse.
    pub pool: ConnectionPool,
    /// Targets that said in a response that they are about to stop; the control thread takes them out of the view.
    pub leaving_targets: watch::Sender<Vec<LeavingTarget>>,
    /// Whether this host reaches targets over its own links.
    pub links: LinkTable,
    /// Load of the targets that this host uses; see [`Self::with_loads`].
    pub loads: Mutex<LoadTable>,
    /// Cached headers of all batch jobs.
    pub board: JobCache,
    /// Counts the requests that targets began, by organisation and usage window. The counts of a past window are
    /// removed from here and written to the store.
    pub usage: UsageCounter,
    /// Origins of the streams that began at this host.
    pub stream_origins: StreamOrigins,
    /// Targets that may have started again since their entry was written.
    pub restarts: Mutex<RestartWatch>,
    /// Requests under which targets crash, as all hosts report them.
    pub crashes: CrashReports,
    /// Metrics, served at the metrics address if the settings have one.
    pub metrics: HostMetrics,
    /// Wire format between hosts and targets.
    pub target_codec: TargetCodec,
    /// Wire format between callers and hosts.
    pub caller_codec: CallerCodec,
    /// Connections of callers on which a request has arrived.
    pub busy_connections: AtomicUsize,
    /// Planned stop, begun or not.
    pub stop: PlannedStop,
}

impl HostContext {
    /// Latest published view, as a snapshot that does not change.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Whether the planned stop has reached the point at which batch jobs are handed to other hosts.
    #[must_use]
    pub fn must_release_jobs(&self) -> bool {
        self.stop.must_release_jobs(boot_time())
    }

    /// Runs `work` on the load table under its lock; `work` must not call this function.
    pub fn with_loads<T>(&self, work: impl FnOnce(&mut LoadTable) -> T) -> T {
        // A panic under the lock leaves counts that are slightly wrong at worst; a poisoned lock is still used.
        let mut loads = self.loads.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        work(&mut loads)
    }

    /// Runs `work` on the targets that may have started again, under their lock.
    pub fn with_restarts<T>(&self, work: impl FnOnce(&mut RestartWatch) -> T) -> T {
        work(&mut self.restarts.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }
}

impl HostContext {
    /// What the share of rate limits depends on, now.
    #[must_use]
    pub fn share_clock(&self, view: &FleetView) -> ShareClock<'_> {
        ShareClock {
            host: &self.settings.host,
            now: boot_time(),
            store_time: (self.store.store_time)().unwrap_or_default(),
            renewed_at: view.member(&self.settings.host).map_or(BootTime::ZERO, |member| member.changed_at),
        }
    }

    /// Decodes and classifies the head of a target's response to the request with this id, and records what it says of the
    /// target itself. A head that does not belong to an answer to the request says nothing, and is logged.
    pub fn read_head(
        &self,
        target: &TargetEntry,
        head: &http::response::Parts,
        request_id: &str,
        is_reused: bool,
    ) -> (TargetHead, ResponseKind) {
        let target_head = (self.target_codec.decode)(head);
        let kind = classify_response(head, &target_head, request_id, is_reused);
        if kind == ResponseKind::Invalid {
            log::info!(
                request = request_id, target = target.id, status = head.status.as_u16(),
                names:? = target_head.request_id, signed = target_head.stamp.is_some(), reused = is_reused;
                "response_invalid"
            );
        } else {
            self.record_notices(target, &target_head);
        }
        (target_head, kind)
    }

    fn record_notices(&self, target: &TargetEntry, head: &TargetHead) {
        self.record_limit(&target.id, head);
        if head.is_leaving && !head.is_misdirected {
            self.record_leaving(target);
        }
    }

    fn record_leaving(&self, target: &TargetEntry) {
        let leaving = LeavingTarget { target: target.id.clone(), started_ms: target.started_ms };
        let is_new = self.leaving_targets.send_if_modified(|known| {
            let is_new = !known.contains(&leaving);
            if is_new {
                // The oldest have gone long since.
                let excess = (known.len() + 1).saturating_sub(MAX_LEAVING_TARGETS);
                known.drain(..excess);
                known.push(leaving.clone());
            }
            is_new
        });
        if is_new {
            log::info!(target = target.id, domain = target.domain; "target_leaves");
        }
    }

    /// Records the rate limit that a response of a target announces. A response to a request that was run ends an earlier
    /// limit if it announces none; a refusal says nothing about that, and a misdirected request reached another target.
    fn record_limit(&self, target: &str, head: &TargetHead) {
        let rate = head.rate_limit;
        if head.is_misdirected || (head.is_not_run && rate.is_none()) {
            return;
        }
        let at_ms = (self.store.store_time)().map_or(0, whole_millis);
        let notice = LimitNotice { target: target.to_owned(), rate, at_ms };
        if self.with_loads(|loads| loads.limits.merge(notice)) {
            log::info!(target = target, milli_rate:? = rate; "target_limit_changed");
        }
    }
}

/// Guard of a request that the load table counts as running on a target; dropping the guard ends the count.
#[derive(Debug)]
pub struct RunningRequest {
    context: Arc<HostContext>,
    target: TargetId,
    is_long: bool,
}

impl RunningRequest {
    /// Guard of a request that [`LoadTable::start`] has already counted for `target`, with the same `is_long`: whether it
    /// belongs to a batch job or is a resumable stream, so that other hosts are told of it.
    #[must_use]
    pub fn counted(context: &Arc<HostContext>, target: &str, is_long: bool) -> Self {
        Self { context: Arc::clone(context), target: target.to_owned(), is_long }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.context.with_loads(|loads| loads.end(&self.target, self.is_long));
    }
}
