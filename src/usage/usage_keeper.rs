//! Background thread of usage: flushes the usage of this host, holds replicas of the rows of other hosts, and reports
//! the windows that this host owns.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use crate::control::{ControlEvent, ControlHandle, ControlView};
use crate::generated::peer_messages::{PeerFrame, UsageFlushed, UsageReplica, UsageRow};
use crate::generated::platform_messages::HostState;
use crate::peer::FrameSender;
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::samples::host_rank::live_hosts;
use crate::store_client::store_access::StoreAccess;
use crate::usage::UsageTiming;
use crate::usage::increment_writer::{IncrementOutcome, write_increment};
use crate::usage::replica_table::ReplicaTable;
use crate::usage::usage_ledger::{UnflushedRow, UsageLedger};
use crate::usage::usage_rows::{OPEN_WINDOWS_TABLE, WindowStart, parse_window_key, window_of, window_resource};
use crate::usage::window_closer::{CloseOutcome, ReportSender, WindowOwnership, close_and_report_window};
use crate::usage::window_plan::{WindowAction, WindowPlan};
use crate::usage::{UsageEvent, UsageSink};

/// Function that reads the wall clock, in seconds since the Unix epoch.
pub type WallSource = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Period in which the thread checks which tasks are due.
const KEEPER_PERIOD: Duration = Duration::from_millis(500);

/// Period in which the table of open windows is read.
const WINDOW_SCAN_PERIOD: Duration = Duration::from_secs(10);

/// Period in which the report of each owned window is attempted.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Most rows that one scan of the open windows reads, oldest windows first.
const MAX_SCANNED_WINDOWS: usize = 32;

/// Most bytes of keys and values in one replica frame, far below the frame limit; a single larger row is sent alone.
const MAX_REPLICA_FRAME_BYTES: usize = PEER_FRAME_LIMIT / 4;

/// Most replicas that one call of [`UsageKeeper::flush_replicas`] writes.
const MAX_REPLICA_WRITES: usize = 32;

/// Functions and handles that [`UsageKeeper`] uses.
#[derive(Clone)]
pub struct UsageDependencies {
    /// Source of the control view; also receives requests and releases of window ownerships.
    pub control: ControlHandle,
    /// Store that holds all usage rows.
    pub store: StoreAccess,
    /// Sends replicas, and notices of flushed rows, to peers.
    pub frames: FrameSender,
    /// Sends reports to the platform.
    pub reports: ReportSender,
    /// Boot-time clock, for all periods and delays.
    pub clock: TimeSource,
    /// Wall clock, which assigns usage to windows.
    pub wall: WallSource,
    /// Durations of the usage windows; equal on all hosts.
    pub timing: UsageTiming,
}

/// Usage of one host, and the tasks of the background thread.
pub struct UsageKeeper {
    dependencies: UsageDependencies,
    ledger: Mutex<UsageLedger>,
    replicas: Mutex<ReplicaTable>,
    plan: Mutex<WindowPlan>,
    /// Recent windows of which this host has stored an increment. The rows of these windows in `open_windows` exist, so
    /// they are not written again.
    open_windows: Mutex<Vec<WindowStart>>,
    last_flush: Mutex<Option<BootTime>>,
    last_scan: Mutex<Option<BootTime>>,
    last_report: Mutex<Option<BootTime>>,
}

impl UsageKeeper {
    /// Creates a keeper without usage; [`Self::start`] starts the thread.
    #[must_use]
    pub fn new(dependencies: UsageDependencies) -> Arc<Self> {
        let view = dependencies.control.view();
        let timing = dependencies.timing;
        let ledger = UsageLedger::new(&view.host, view.incarnation);
        Arc::new(Self {
            dependencies,
            ledger: Mutex::new(ledger),
            replicas: Mutex::default(),
            plan: Mutex::new(WindowPlan::new(timing)),
            open_windows: Mutex::default(),
            last_flush: Mutex::default(),
            last_scan: Mutex::default(),
            last_report: Mutex::default(),
        })
    }

    /// Returns a function that records usage in the window of the current time.
    #[must_use]
    pub fn sink(self: &Arc<Self>) -> UsageSink {
        let keeper = Arc::clone(self);
        Arc::new(move |event: UsageEvent| {
            let window = window_of((keeper.dependencies.wall)(), keeper.dependencies.timing);
            lock(&keeper.ledger).record(event, window);
        })
    }

    /// Handles a frame with replicas or a notice of flushed rows; ignores other frames.
    pub fn handle_frame(&self, frame: &PeerFrame) {
        let now = (self.dependencies.clock)();
        match frame {
            PeerFrame::UsageReplica(replica) => {
                let refused = lock(&self.replicas).add(replica.rows.clone(), now);
                if refused > 0 {
                    log::warn!(rows = refused; "usage_replicas_refused");
                }
            }
            PeerFrame::UsageFlushed(flushed) => lock(&self.replicas).remove_flushed(&flushed.keys),
            _ => {}
        }
    }

    /// Starts the thread. After `stop` is set, the thread flushes once more and ends.
    ///
    /// # Errors
    ///
    /// The operating system cannot start a thread.
    pub fn start(self: &Arc<Self>, stop: Arc<AtomicBool>) -> std::io::Result<JoinHandle<()>> {
        let keeper = Arc::clone(self);
        std::thread::Builder::new().name("usage-keeper".to_owned()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                keeper.run_due_tasks();
                std::thread::sleep(KEEPER_PERIOD);
            }
            keeper.flush(true);
        })
    }

    /// Runs each task whose period is over: flushing, reading the open windows, and reporting.
    pub fn run_due_tasks(&self) {
        let now = (self.dependencies.clock)();
        if record_if_due(&self.last_flush, USAGE_FLUSH, now) {
            self.flush(false);
            self.flush_replicas();
        }
        if record_if_due(&self.last_scan, WINDOW_SCAN_PERIOD, now) {
            self.update_window_plan();
        }
        if record_if_due(&self.last_report, REPORT_PERIOD, now) {
            self.report_windows();
        }
    }

    /// Seals the open usage, sends replicas of unflushed rows to a peer, then writes the rows to the store. The replicas
    /// are sent first, so that the peer can write the rows if this host dies during its writes. `is_last` seals all open
    /// usage, however many rows are unflushed.
    pub fn flush(&self, is_last: bool) {
        let now = (self.dependencies.clock)();
        let sealed =
            if is_last { lock(&self.ledger).seal_open_usage(now) } else { lock(&self.ledger).seal_if_due(now) };
        if let Err(code) = sealed {
            log::error!(code = code.number(); "usage_cut_failed");
        }
        self.send_replicas();
        let rows = lock(&self.ledger).unflushed().to_vec();
        let mut flushed = Vec::new();
        for unflushed in rows {
            if !self.write_row(&unflushed) {
                // The store probably gives no result for the other rows either; they wait for the next flush.
                break;
            }
            flushed.push(unflushed.row.key.clone());
        }
        self.complete_flush(&flushed);
    }

    /// Writes a row; returns whether the row is in the store.
    fn write_row(&self, unflushed: &UnflushedRow) -> bool {
        let current_window = window_of((self.dependencies.wall)(), self.dependencies.timing);
        let has_open_row = lock(&self.open_windows).contains(&unflushed.window);
        let outcome = write_increment(
            &self.dependencies.store,
            &unflushed.row,
            current_window,
            has_open_row,
            self.dependencies.timing,
        );
        if outcome == IncrementOutcome::Stored && !has_open_row {
            let mut open_windows = lock(&self.open_windows);
            open_windows.retain(|window| *window + 2 * self.dependencies.timing.window.as_secs() > current_window);
            open_windows.push(unflushed.window);
        }
        outcome != IncrementOutcome::Unresolved
    }

    /// Removes flushed rows from the ledger and tells the holders of their replicas.
    fn complete_flush(&self, keys: &[String]) {
        let mut notices: Vec<FlushNotice> = Vec::new();
        for key in keys {
            for peer in lock(&self.ledger).remove_row(key) {
                match notices.iter_mut().find(|entry| entry.peer == peer) {
                    Some(entry) => entry.keys.push(key.clone()),
                    None => notices.push(FlushNotice { peer, keys: vec![key.clone()] }),
                }
            }
        }
        for FlushNotice { peer, keys } in notices {
            (self.dependencies.frames)(&peer, PeerFrame::UsageFlushed(UsageFlushed { keys }));
        }
    }

    /// Sends one frame with the oldest unflushed rows to the replica peer, including rows that were sent before.
    fn send_replicas(&self) {
        let Some(peer) = select_replica_peer(&self.dependencies.control.view()) else { return };
        let mut rows: Vec<UsageRow> = Vec::new();
        let mut bytes = 0;
        for unflushed in lock(&self.ledger).unflushed() {
            bytes += unflushed.row.key.len() + unflushed.row.value.len();
            if bytes > MAX_REPLICA_FRAME_BYTES && !rows.is_empty() {
                break;
            }
            rows.push(unflushed.row.clone());
        }
        if rows.is_empty() {
            return;
        }
        let keys: Vec<String> = rows.iter().map(|row| row.key.clone()).collect();
        if (self.dependencies.frames)(&peer, PeerFrame::UsageReplica(UsageReplica { rows })) {
            lock(&self.ledger).record_sent(&peer, &keys);
        }
    }

    /// Writes the rows of other hosts that these hosts have not reported as flushed in time.
    pub fn flush_replicas(&self) {
        let now = (self.dependencies.clock)();
        let current_window = window_of((self.dependencies.wall)(), self.dependencies.timing);
        let rows = lock(&self.replicas).due_rows(now, MAX_REPLICA_WRITES);
        for row in rows {
            if write_increment(&self.dependencies.store, &row, current_window, false, self.dependencies.timing)
                == IncrementOutcome::Unresolved
            {
                break;
            }
            lock(&self.replicas).remove_flushed(&[row.key]);
        }
    }

    /// Reads the open windows, then requests and releases ownerships as the window plan decides.
    pub fn update_window_plan(&self) {
        let scan = (self.dependencies.store.scan_rows)(OPEN_WINDOWS_TABLE, "", "", MAX_SCANNED_WINDOWS);
        let Ok(rows) = scan else { return };
        let open = rows.iter().filter_map(|row| parse_window_key(&row.key)).collect();
        let view = self.dependencies.control.view();
        let hosts = live_hosts(&view);
        let wall = (self.dependencies.wall)();
        for action in lock(&self.plan).update(&view.host, &hosts, open, wall) {
            self.apply_action(&action);
        }
    }

    /// Reports the requested windows that this host owns, and releases those whose report was accepted.
    pub fn report_windows(&self) {
        let requested = lock(&self.plan).requested().to_vec();
        for window in requested {
            let Some(ownership) = self.find_ownership(window) else { continue };
            let is_owner = || self.find_ownership(window).as_ref() == Some(&ownership);
            let outcome =
                close_and_report_window(&self.dependencies.store, &self.dependencies.reports, &ownership, &is_owner);
            if outcome == CloseOutcome::Accepted {
                let action = lock(&self.plan).finish_window(window);
                self.apply_action(&action);
            }
        }
    }

    /// Current ownership of a window; `None` when this host does not own the window now.
    fn find_ownership(&self, window: WindowStart) -> Option<WindowOwnership> {
        let view = self.dependencies.control.view();
        let owned = view.owned_resource(&window_resource(window), (self.dependencies.clock)())?;
        Some(WindowOwnership { window, epoch: owned.epoch, row_version: owned.row_version })
    }

    fn apply_action(&self, action: &WindowAction) {
        match action {
            WindowAction::Request(window) => {
                self.dependencies.control.send(ControlEvent::RequestResource(window_resource(*window)));
            }
            WindowAction::Release(window) => {
                self.dependencies.control.send(ControlEvent::ReleaseResource(window_resource(*window)));
            }
        }
    }

    /// Whether all usage recorded so far is in the store.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        lock(&self.ledger).is_empty()
    }

    /// Number of replicas held for other hosts.
    #[must_use]
    pub fn replica_count(&self) -> usize {
        lock(&self.replicas).len()
    }
}

/// Keys of flushed rows that one peer is told about.
struct FlushNotice {
    peer: HostId,
    keys: Vec<String>,
}

/// Selects the peer for replicas: a live host of another failure domain, or else of the same one. `None` when there is
/// no other live host.
fn select_replica_peer(view: &ControlView) -> Option<HostId> {
    let live = view.listed.iter().filter(|record| record.state == HostState::Live && record.host != view.host);
    let rank = |host: &str| rendezvous_hash(&view.host, host);
    let others = live.clone().filter(|record| record.failure_domain != view.failure_domain);
    let peer = others.max_by_key(|record| rank(&record.host)).or_else(|| live.max_by_key(|record| rank(&record.host)));
    peer.map(|record| record.host.clone())
}

/// Returns whether `period` has passed since `last`; if so, sets `last` to `now`.
fn record_if_due(last: &Mutex<Option<BootTime>>, period: Duration, now: BootTime) -> bool {
    let mut last = lock(last);
    let is_due = last.is_none_or(|last| now.saturating_sub(last) >= period);
    if is_due {
        *last = Some(now);
    }
    is_due
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
