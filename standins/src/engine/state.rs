//! State of an engine: the incarnation that a restart resets, the open runs, and the records that outlive restarts.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::{Duration, Instant};

use camphorspring::generated::engine_messages::{CacheEvent, EngineLoad, EngineRequest};
use camphorspring::http_server::HeaderPair;
use tokio::sync::{Notify, Semaphore, watch};

use super::prefix_cache::PrefixCache;
use super::records::EngineRecords;
use super::text::prompt_tokens;
use super::{EngineControl, EngineOptions, KvTransfer};
use crate::faults::millis;
use crate::runtime::shared_runtime;
use crate::server::ServerShared;

/// Maximum length of the list of exportable KV caches, and of the list of imported ones; the oldest entry is dropped
/// first.
const MAX_KV_TRANSFERS: usize = 256;

/// State of one life of the engine; a crash or restart replaces it.
#[derive(Debug)]
pub(super) struct EngineIncarnation {
    /// Start time; lies in the future between a crash and an automatic restart.
    pub(super) started: Instant,
    pub(super) cache: PrefixCache,
    pub(super) weight_version: u64,
    pub(super) staged_version: Option<u64>,
    /// Time until which prefills are slow; absent when the engine has not been turned cold.
    pub(super) cold_until: Option<Instant>,
    imported: Vec<KvTransfer>,
    exportable: VecDeque<KvTransfer>,
}

/// Behaviour that [`EngineControl`] changes; a restart keeps it.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineBehaviour {
    /// Number of weight switches that still have to fail.
    pub(super) failing_switches: u32,
    pub(super) omits_weight_version: bool,
    pub(super) crash_marker: Option<String>,
}

/// Number of running requests from a point in time on.
#[derive(Debug)]
struct LoadChange {
    time: Instant,
    running: u32,
}

#[derive(Debug)]
struct OpenRun {
    request_id: String,
    cancel_signal: Arc<Notify>,
}

#[derive(Debug, Default)]
struct RunTable {
    open: Vec<OpenRun>,
    /// Number of admitted runs.
    running: u32,
    /// Changes of `running`, oldest first, as far back as delayed load reports need them.
    history: VecDeque<LoadChange>,
}

pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    /// Permits to run, granted in order of arrival.
    pub(super) admission: Semaphore,
    incarnation: Mutex<EngineIncarnation>,
    behaviour: Mutex<EngineBehaviour>,
    runs: Mutex<RunTable>,
    records: Mutex<EngineRecords>,
    /// Highest epoch of all orders received; a restart keeps it.
    pub(super) highest_epoch: Mutex<u64>,
    /// Number of crashes; a change ends all runs.
    crashes: watch::Sender<u32>,
    server: OnceLock<Weak<ServerShared>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no task of the engine panicked")
}

impl EngineIncarnation {
    fn start(options: &EngineOptions) -> Self {
        Self {
            started: Instant::now(),
            cache: PrefixCache::new(options.cache_blocks),
            weight_version: options.weight_version,
            staged_version: None,
            cold_until: None,
            imported: Vec::new(),
            exportable: VecDeque::new(),
        }
    }

    fn add_exportable(&mut self, transfer: KvTransfer) {
        self.exportable.push_back(transfer);
        if self.exportable.len() > MAX_KV_TRANSFERS {
            self.exportable.pop_front();
        }
    }
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let behaviour = EngineBehaviour { crash_marker: options.crash_marker.clone(), ..EngineBehaviour::default() };
        Self {
            admission: Semaphore::new(options.running_limit),
            incarnation: Mutex::new(EngineIncarnation::start(&options)),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::new(RunTable::default()),
            records: Mutex::new(EngineRecords::default()),
            highest_epoch: Mutex::new(0),
            crashes: watch::Sender::new(0),
            server: OnceLock::new(),
            options,
        }
    }

    pub(super) fn attach_server(&self, server: &Arc<ServerShared>) {
        let _ = self.server.set(Arc::downgrade(server));
    }

    pub(super) fn incarnation(&self) -> MutexGuard<'_, EngineIncarnation> {
        lock(&self.incarnation)
    }

    pub(super) fn behaviour(&self) -> MutexGuard<'_, EngineBehaviour> {
        lock(&self.behaviour)
    }

    pub(super) fn update_records(&self, change: impl FnOnce(&mut EngineRecords)) {
        change(&mut lock(&self.records));
    }

    pub(super) fn records(&self) -> EngineRecords {
        lock(&self.records).clone()
    }

    pub(super) fn weight_version(&self) -> u64 {
        self.incarnation().weight_version
    }

    pub(super) fn subscribe_to_crashes(&self) -> watch::Receiver<u32> {
        self.crashes.subscribe()
    }

    pub(super) fn apply_control(&self, control: EngineControl) {
        match control {
            EngineControl::Crash => self.crash(),
            EngineControl::Restart => self.restart(),
            EngineControl::TurnCold => {
                let mut incarnation = self.incarnation();
                incarnation.cache.clear();
                incarnation.cold_until = Some(Instant::now() + self.options.cold_time);
            }
            EngineControl::FailSwitches { count } => self.behaviour().failing_switches = count,
            EngineControl::Unstamped { on } => self.behaviour().omits_weight_version = on,
            EngineControl::CrashMarker { marker } => self.behaviour().crash_marker = marker,
        }
    }

    /// Ends all runs and closes the port; schedules a restart when the options contain a delay for it. Does nothing
    /// while the engine is down.
    pub(super) fn crash(&self) {
        let Some(server) = self.server.get().and_then(Weak::upgrade) else { return };
        if server.is_crashed() {
            return;
        }
        server.crash();
        self.update_records(|records| records.crashes += 1);
        self.crashes.send_modify(|crashes| *crashes += 1);
        let mut incarnation = EngineIncarnation::start(&self.options);
        if let Some(delay) = self.options.restart_after {
            incarnation.started += delay;
            shared_runtime().spawn(restart_later(Arc::downgrade(&server), delay));
        }
        *self.incarnation() = incarnation;
    }

    fn restart(&self) {
        *self.incarnation() = EngineIncarnation::start(&self.options);
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.restart();
        }
    }

    pub(super) fn record_arrival(&self, request: &EngineRequest, headers: &[HeaderPair]) {
        self.update_records(|records| records.record_run(request, headers));
    }

    /// Registers a run and returns the signal that cancels the run; crashes an engine above the startup limit.
    pub(super) fn open_run(&self, request: &EngineRequest) -> Arc<Notify> {
        let cancel_signal = Arc::new(Notify::new());
        let run = OpenRun { request_id: request.request_id.clone(), cancel_signal: Arc::clone(&cancel_signal) };
        let mut runs = lock(&self.runs);
        runs.open.push(run);
        let open = u32::try_from(runs.open.len()).unwrap_or(u32::MAX);
        drop(runs);
        self.update_records(|records| records.highest_open = records.highest_open.max(open));
        let is_overloaded = self
            .options
            .startup_limit
            .is_some_and(|limit| open > limit.requests && self.incarnation().started.elapsed() < limit.period);
        if is_overloaded {
            self.crash();
        }
        cancel_signal
    }

    pub(super) fn close_run(&self, cancel_signal: &Arc<Notify>) {
        lock(&self.runs).open.retain(|run| !Arc::ptr_eq(&run.cancel_signal, cancel_signal));
    }

    /// Cancels all open runs of a request; `false` when there are none.
    pub(super) fn cancel_runs(&self, request_id: &str) -> bool {
        let runs = lock(&self.runs);
        let mut is_found = false;
        for run in runs.open.iter().filter(|run| run.request_id == request_id) {
            run.cancel_signal.notify_one();
            is_found = true;
        }
        is_found
    }

    pub(super) fn open_requests(&self) -> u32 {
        u32::try_from(lock(&self.runs).open.len()).unwrap_or(u32::MAX)
    }

    /// Adds `change` to the number of running requests and records the result for delayed load reports.
    pub(super) fn adjust_running(&self, change: i32) {
        let mut runs = lock(&self.runs);
        runs.running = runs.running.saturating_add_signed(change);
        let now = Instant::now();
        let running = runs.running;
        runs.history.push_back(LoadChange { time: now, running });
        let lag = self.options.load_lag;
        while runs.history.get(1).is_some_and(|second| now.duration_since(second.time) >= lag) {
            runs.history.pop_front();
        }
        drop(runs);
        self.update_records(|records| records.highest_running = records.highest_running.max(running));
    }

    /// Time until the next token of each run. Above the batch size, the time grows in proportion to the number of
    /// running requests.
    pub(super) fn token_time(&self) -> Duration {
        let running = lock(&self.runs).running.max(1);
        let batch = self.options.batch_size.max(1);
        if running <= batch {
            return self.options.token_time;
        }
        self.options.token_time * running / batch
    }

    /// Load report with a delayed number of running requests; `started_ms` is the time since the start.
    pub(super) fn reported_load(&self) -> EngineLoad {
        let lag = self.options.load_lag;
        let now = Instant::now();
        let runs = lock(&self.runs);
        let shown = runs.history.iter().rev().find(|change| now.duration_since(change.time) >= lag);
        let running = shown.map_or(0, |change| change.running);
        drop(runs);
        let incarnation = self.incarnation();
        EngineLoad {
            running,
            weight_version: incarnation.weight_version,
            staged_version: incarnation.staged_version,
            started_ms: millis(incarnation.started.elapsed()),
            age_ms: millis(lag),
        }
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.incarnation().cache.events_after(after, self.options.event_lag, self.options.event_gap)
    }

    /// Handle of the KV cache of a request; `None` when no prefill of the request began in this incarnation, or when the
    /// cache was dropped for newer ones.
    pub(super) fn export_cache(&self, request_id: &str) -> Option<KvTransfer> {
        let incarnation = self.incarnation();
        incarnation.exportable.iter().rev().find(|transfer| transfer.kv_handle == request_id).cloned()
    }

    pub(super) fn import_cache(&self, transfer: &KvTransfer) {
        let mut incarnation = self.incarnation();
        incarnation.imported.push(transfer.clone());
        if incarnation.imported.len() > MAX_KV_TRANSFERS {
            incarnation.imported.remove(0);
        }
    }

    /// Puts the prompt into the prefix cache, makes the KV cache exportable, and returns the prefill time of the request.
    pub(super) fn start_prefill(&self, request: &EngineRequest) -> Duration {
        let mut incarnation = self.incarnation();
        let covered_bytes = incarnation.cache.covered_bytes(&request.prompt);
        incarnation.cache.store(&request.prompt);
        let resumed_tokens = prompt_tokens(&request.resume_text);
        let uncovered_tokens = prompt_tokens(&request.prompt[covered_bytes..]).saturating_add(resumed_tokens);
        let kv_handle = request.kv_handle.as_ref();
        let is_imported = incarnation.imported.iter().any(|transfer| Some(&transfer.kv_handle) == kv_handle);
        let tokens = if is_imported { 0 } else { uncovered_tokens };
        let exported_tokens = prompt_tokens(&request.prompt).saturating_add(resumed_tokens);
        let transfer = KvTransfer { kv_handle: request.request_id.clone(), tokens: exported_tokens };
        incarnation.add_exportable(transfer);
        if incarnation.cold_until.is_some_and(|end| Instant::now() < end) {
            let tokens = tokens.max(self.options.cold_tokens);
            return self.options.prefill_time * tokens.saturating_mul(self.options.cold_factor);
        }
        self.options.prefill_time * tokens
    }
}

async fn restart_later(server: Weak<ServerShared>, delay: Duration) {
    tokio::time::sleep(delay).await;
    if let Some(server) = server.upgrade() {
        server.restart();
    }
}
