//! State of an engine: what a restart resets, what runs now, and the records.

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

/// Finished or running requests whose KV cache can be exported.
const KV_REQUESTS: usize = 256;

/// What a restart resets.
#[derive(Debug)]
pub(super) struct EngineLife {
    pub(super) started: Instant,
    pub(super) cache: PrefixCache,
    pub(super) weight_version: u64,
    pub(super) staged_version: Option<u64>,
    pub(super) cold_until: Option<Instant>,
    imported: Vec<KvTransfer>,
    exportable: VecDeque<KvTransfer>,
}

/// Behaviour that [`EngineControl`] changes.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineBehaviour {
    pub(super) failing_switches: u32,
    pub(super) is_unstamped: bool,
    pub(super) crash_marker: Option<String>,
}

#[derive(Debug)]
struct LoadChange {
    time: Instant,
    running: u32,
}

#[derive(Debug)]
struct OpenRun {
    request_id: String,
    cancel: Arc<Notify>,
}

#[derive(Debug, Default)]
struct RunTable {
    open: Vec<OpenRun>,
    running: u32,
    history: VecDeque<LoadChange>,
}

pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) admission: Semaphore,
    life: Mutex<EngineLife>,
    behaviour: Mutex<EngineBehaviour>,
    runs: Mutex<RunTable>,
    records: Mutex<EngineRecords>,
    pub(super) highest_epoch: Mutex<u64>,
    /// Number of crashes; a change ends all runs.
    crashes: watch::Sender<u32>,
    server: OnceLock<Weak<ServerShared>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no task of the engine panicked")
}

impl EngineLife {
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
        if self.exportable.len() > KV_REQUESTS {
            self.exportable.pop_front();
        }
    }
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let behaviour = EngineBehaviour { crash_marker: options.crash_marker.clone(), ..EngineBehaviour::default() };
        Self {
            admission: Semaphore::new(options.running_limit),
            life: Mutex::new(EngineLife::start(&options)),
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

    pub(super) fn life(&self) -> MutexGuard<'_, EngineLife> {
        lock(&self.life)
    }

    pub(super) fn behaviour(&self) -> MutexGuard<'_, EngineBehaviour> {
        lock(&self.behaviour)
    }

    pub(super) fn change_records(&self, change: impl FnOnce(&mut EngineRecords)) {
        change(&mut lock(&self.records));
    }

    pub(super) fn records(&self) -> EngineRecords {
        lock(&self.records).clone()
    }

    pub(super) fn weight_version(&self) -> u64 {
        self.life().weight_version
    }

    pub(super) fn watch_crashes(&self) -> watch::Receiver<u32> {
        self.crashes.subscribe()
    }

    pub(super) fn control(&self, control: EngineControl) {
        match control {
            EngineControl::Crash => self.crash(),
            EngineControl::Restart => self.restart(),
            EngineControl::TurnCold => {
                let mut life = self.life();
                life.cache.clear();
                life.cold_until = Some(Instant::now() + self.options.cold_time);
            }
            EngineControl::FailSwitches { count } => self.behaviour().failing_switches = count,
            EngineControl::Unstamped { on } => self.behaviour().is_unstamped = on,
            EngineControl::CrashMarker { marker } => self.behaviour().crash_marker = marker,
        }
    }

    /// Ends all runs and closes the port; restarts later when the options say so.
    pub(super) fn crash(&self) {
        let Some(server) = self.server.get().and_then(Weak::upgrade) else { return };
        if server.is_crashed() {
            return;
        }
        server.crash();
        self.change_records(|records| records.crashes += 1);
        self.crashes.send_modify(|crashes| *crashes += 1);
        let mut life = EngineLife::start(&self.options);
        if let Some(delay) = self.options.restart_after {
            life.started += delay;
            shared_runtime().spawn(restart_later(Arc::downgrade(&server), delay));
        }
        *self.life() = life;
    }

    fn restart(&self) {
        *self.life() = EngineLife::start(&self.options);
        if let Some(server) = self.server.get().and_then(Weak::upgrade) {
            server.restart();
        }
    }

    pub(super) fn record_arrival(&self, request: &EngineRequest, headers: &[HeaderPair]) {
        self.change_records(|records| records.add_run(request, headers));
    }

    /// Registers a run; the returned signal is set when it is cancelled.
    pub(super) fn open_run(&self, request: &EngineRequest) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        let run = OpenRun { request_id: request.request_id.clone(), cancel: Arc::clone(&cancel) };
        let mut runs = lock(&self.runs);
        runs.open.push(run);
        let open = u32::try_from(runs.open.len()).unwrap_or(u32::MAX);
        drop(runs);
        self.change_records(|records| records.highest_open = records.highest_open.max(open));
        let is_overload = self
            .options
            .fresh_limit
            .is_some_and(|limit| open > limit.requests && self.life().started.elapsed() < limit.period);
        if is_overload {
            self.crash();
        }
        cancel
    }

    pub(super) fn close_run(&self, cancel: &Arc<Notify>) {
        lock(&self.runs).open.retain(|run| !Arc::ptr_eq(&run.cancel, cancel));
    }

    pub(super) fn cancel(&self, request_id: &str) -> bool {
        let runs = lock(&self.runs);
        let mut found = false;
        for run in runs.open.iter().filter(|run| run.request_id == request_id) {
            run.cancel.notify_one();
            found = true;
        }
        found
    }

    pub(super) fn open_requests(&self) -> u32 {
        u32::try_from(lock(&self.runs).open.len()).unwrap_or(u32::MAX)
    }

    /// Changes the number of running requests and keeps the history that the lagging report needs.
    pub(super) fn change_running(&self, change: i32) {
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
        self.change_records(|records| records.highest_running = records.highest_running.max(running));
    }

    /// Time of the next token, which grows with the number running beyond the batch size.
    pub(super) fn token_time(&self) -> Duration {
        let running = lock(&self.runs).running.max(1);
        let batch = self.options.batch_size.max(1);
        if running <= batch {
            return self.options.token_time;
        }
        self.options.token_time * running / batch
    }

    pub(super) fn reported_load(&self) -> EngineLoad {
        let lag = self.options.load_lag;
        let now = Instant::now();
        let runs = lock(&self.runs);
        let shown = runs.history.iter().rev().find(|change| now.duration_since(change.time) >= lag);
        let running = shown.map_or(0, |change| change.running);
        drop(runs);
        let life = self.life();
        EngineLoad {
            running,
            weight_version: life.weight_version,
            staged_version: life.staged_version,
            started_ms: millis(life.started.elapsed()),
            age_ms: millis(lag),
        }
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.life().cache.events_after(after, self.options.event_lag, self.options.event_gap)
    }

    pub(super) fn export_cache(&self, request_id: &str) -> Option<KvTransfer> {
        let life = self.life();
        life.exportable.iter().rev().find(|transfer| transfer.kv_handle == request_id).cloned()
    }

    pub(super) fn import_cache(&self, transfer: &KvTransfer) {
        let mut life = self.life();
        life.imported.push(transfer.clone());
        if life.imported.len() > KV_REQUESTS {
            life.imported.remove(0);
        }
    }

    /// Prefill time of a request, which also puts its prompt into the cache.
    pub(super) fn prefill(&self, request: &EngineRequest) -> Duration {
        let mut life = self.life();
        let covered = life.cache.covered_bytes(&request.prompt);
        life.cache.store(&request.prompt);
        let resumed = prompt_tokens(&request.resume_text);
        let total = prompt_tokens(&request.prompt[covered..]).saturating_add(resumed);
        let handle = request.kv_handle.as_ref();
        let is_imported = life.imported.iter().any(|transfer| Some(&transfer.kv_handle) == handle);
        let tokens = if is_imported { 0 } else { total };
        let held = prompt_tokens(&request.prompt).saturating_add(resumed);
        let transfer = KvTransfer { kv_handle: request.request_id.clone(), tokens: held };
        life.add_exportable(transfer);
        if life.cold_until.is_some_and(|end| Instant::now() < end) {
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
