//! Thread that flushes usage, keeps replicas of other hosts' rows, and reports windows that this host owns.

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
use crate::usage::usage_rows::{OPEN_WINDOWS_TABLE, WindowStart, window_of, window_of_key, window_resource};
use crate::usage::window_closer::{CloseOutcome, ReportSender, WindowClaim, close_window};
use crate::usage::window_plan::{WindowAction, WindowPlan};
use crate::usage::{UsageEvent, UsageSink};

/// Function that reads the wall clock, in seconds since the Unix epoch.
pub type WallSource = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Period of the keeper.
const KEEPER_TICK: Duration = Duration::from_millis(500);

/// Period in which windows to report are looked for.
const WINDOW_LOOK: Duration = Duration::from_secs(10);

/// Period in which the report of an owned window is tried.
const REPORT_RETRY: Duration = Duration::from_secs(2);

/// Open windows that one look reads.
const WINDOW_PAGE: usize = 32;

/// Bytes of rows in one replica frame, far below the frame limit.
const REPLICA_BYTES: usize = PEER_FRAME_LIMIT / 4;

/// Replicas that one flush writes.
const REPLICA_WRITES: usize = 32;

/// What the keeper uses.
#[derive(Clone)]
pub struct UsageDependencies {
    /// Access to the control thread.
    pub control: ControlHandle,
    /// Store.
    pub store: StoreAccess,
    /// Sends frames to peers.
    pub frames: FrameSender,
    /// Sends reports to the platform.
    pub reports: ReportSender,
    /// Boot-time clock.
    pub clock: TimeSource,
    /// Wall clock.
    pub wall: WallSource,
    /// Lengths that all hosts agree on.
    pub timing: UsageTiming,
}

/// Usage of one host.
pub struct UsageKeeper {
    parts: UsageDependencies,
    ledger: Mutex<UsageLedger>,
    replicas: Mutex<ReplicaTable>,
    plan: Mutex<WindowPlan>,
    /// Windows of which this host has stored an increment.
    marked: Mutex<Vec<WindowStart>>,
    last_flush: Mutex<Option<BootTime>>,
    last_look: Mutex<Option<BootTime>>,
    last_report: Mutex<Option<BootTime>>,
}

impl UsageKeeper {
    /// Keeper without usage.
    #[must_use]
    pub fn new(parts: UsageDependencies) -> Arc<Self> {
        let view = parts.control.view();
        let timing = parts.timing;
        let ledger = UsageLedger::new(&view.host, view.incarnation);
        Arc::new(Self {
            parts,
            ledger: Mutex::new(ledger),
            replicas: Mutex::default(),
            plan: Mutex::new(WindowPlan::new(timing)),
            marked: Mutex::default(),
            last_flush: Mutex::default(),
            last_look: Mutex::default(),
            last_report: Mutex::default(),
        })
    }

    /// Function that records usage.
    #[must_use]
    pub fn sink(self: &Arc<Self>) -> UsageSink {
        let keeper = Arc::clone(self);
        Arc::new(move |event: UsageEvent| {
            let window = window_of((keeper.parts.wall)(), keeper.parts.timing);
            lock(&keeper.ledger).record(event, window);
        })
    }

    /// Takes a frame about replicas; other frames are ignored.
    pub fn handle_frame(&self, frame: &PeerFrame) {
        let now = (self.parts.clock)();
        match frame {
            PeerFrame::UsageReplica(replica) => {
                let refused = lock(&self.replicas).add(replica.rows.clone(), now);
                if refused > 0 {
                    log::warn!(rows = refused; "usage_replicas_refused");
                }
            }
            PeerFrame::UsageFlushed(flushed) => lock(&self.replicas).drop_flushed(&flushed.keys),
            _ => {}
        }
    }

    /// Starts the thread. It ends after `stop` is set and the last usage was flushed once more.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(self: &Arc<Self>, stop: Arc<AtomicBool>) -> std::io::Result<JoinHandle<()>> {
        let keeper = Arc::clone(self);
        std::thread::Builder::new().name("usage-keeper".to_owned()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                keeper.advance();
                std::thread::sleep(KEEPER_TICK);
            }
            keeper.flush(true);
        })
    }

    /// Does what is due.
    pub fn advance(&self) {
        let now = (self.parts.clock)();
        if is_due(&self.last_flush, USAGE_FLUSH, now) {
            self.flush(false);
            self.flush_replicas();
        }
        if is_due(&self.last_look, WINDOW_LOOK, now) {
            self.look_for_windows();
        }
        if is_due(&self.last_report, REPORT_RETRY, now) {
            self.report_windows();
        }
    }

    /// Cuts rows, sends their replicas, then writes them. The replica goes first, so that a host that dies while it
    /// writes has left the row somewhere else.
    pub fn flush(&self, is_last: bool) {
        let now = (self.parts.clock)();
        let cut = if is_last { lock(&self.ledger).seal_all_rows(now) } else { lock(&self.ledger).seal_open_rows(now) };
        if let Err(code) = cut {
            log::error!(code = code.number(); "usage_cut_failed");
        }
        self.send_replicas();
        let rows = lock(&self.ledger).unflushed().to_vec();
        let mut flushed = Vec::new();
        for unflushed in rows {
            if !self.write_row(&unflushed) {
                // The store does not answer; the other rows wait for the next flush.
                break;
            }
            flushed.push(unflushed.row.key.clone());
        }
        self.confirm_rows(&flushed);
    }

    fn write_row(&self, unflushed: &UnflushedRow) -> bool {
        let present = window_of((self.parts.wall)(), self.parts.timing);
        let is_marked = lock(&self.marked).contains(&unflushed.window);
        let outcome = write_increment(&self.parts.store, &unflushed.row, present, is_marked, self.parts.timing);
        if outcome == IncrementOutcome::Stored && !is_marked {
            let mut marked = lock(&self.marked);
            marked.retain(|window| *window + 2 * self.parts.timing.window.as_secs() > present);
            marked.push(unflushed.window);
        }
        outcome != IncrementOutcome::NoAnswer
    }

    fn confirm_rows(&self, keys: &[String]) {
        let mut told: Vec<ToldPeer> = Vec::new();
        for key in keys {
            for peer in lock(&self.ledger).confirm(key) {
                match told.iter_mut().find(|entry| entry.peer == peer) {
                    Some(entry) => entry.keys.push(key.clone()),
                    None => told.push(ToldPeer { peer, keys: vec![key.clone()] }),
                }
            }
        }
        for ToldPeer { peer, keys } in told {
            (self.parts.frames)(&peer, PeerFrame::UsageFlushed(UsageFlushed { keys }));
        }
    }

    fn send_replicas(&self) {
        let Some(peer) = replica_peer(&self.parts.control.view()) else { return };
        let mut rows: Vec<UsageRow> = Vec::new();
        let mut bytes = 0;
        for unflushed in lock(&self.ledger).unflushed() {
            bytes += unflushed.row.key.len() + unflushed.row.value.len();
            if bytes > REPLICA_BYTES && !rows.is_empty() {
                break;
            }
            rows.push(unflushed.row.clone());
        }
        if rows.is_empty() {
            return;
        }
        let keys: Vec<String> = rows.iter().map(|row| row.key.clone()).collect();
        if (self.parts.frames)(&peer, PeerFrame::UsageReplica(UsageReplica { rows })) {
            lock(&self.ledger).note_sent(&peer, &keys);
        }
    }

    /// Writes rows of other hosts that have not confirmed them in time.
    pub fn flush_replicas(&self) {
        let now = (self.parts.clock)();
        let present = window_of((self.parts.wall)(), self.parts.timing);
        let rows = lock(&self.replicas).due_rows(now, REPLICA_WRITES);
        for row in rows {
            if write_increment(&self.parts.store, &row, present, false, self.parts.timing) == IncrementOutcome::NoAnswer
            {
                break;
            }
            lock(&self.replicas).drop_flushed(&[row.key]);
        }
    }

    /// Looks for windows that ended and are not reported, and wants some of them.
    pub fn look_for_windows(&self) {
        let scan = (self.parts.store.scan_rows)(OPEN_WINDOWS_TABLE, "", "", WINDOW_PAGE);
        let Ok(rows) = scan else { return };
        let open = rows.iter().filter_map(|row| window_of_key(&row.key)).collect();
        let view = self.parts.control.view();
        let hosts = live_hosts(&view);
        let wall = (self.parts.wall)();
        for action in lock(&self.plan).look(&view.host, &hosts, open, wall) {
            self.apply(&action);
        }
    }

    /// Reports the windows that this host owns.
    pub fn report_windows(&self) {
        let wanted = lock(&self.plan).wanted().to_vec();
        for window in wanted {
            let Some(claim) = self.claim(window) else { continue };
            let is_held = || self.claim(window).as_ref() == Some(&claim);
            let outcome = close_window(&self.parts.store, &self.parts.reports, &claim, &is_held);
            if outcome == CloseOutcome::Accepted {
                let action = lock(&self.plan).finish(window);
                self.apply(&action);
            }
        }
    }

    fn claim(&self, window: WindowStart) -> Option<WindowClaim> {
        let view = self.parts.control.view();
        let owned = view.owned_resource(&window_resource(window), (self.parts.clock)())?;
        Some(WindowClaim { window, epoch: owned.epoch, row_version: owned.row_version })
    }

    fn apply(&self, action: &WindowAction) {
        match action {
            WindowAction::Want(window) => {
                self.parts.control.send(ControlEvent::RequestResource(window_resource(*window)));
            }
            WindowAction::Drop(window) => {
                self.parts.control.send(ControlEvent::ReleaseResource(window_resource(*window)));
            }
        }
    }

    /// Whether all usage of this host is in the store.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        lock(&self.ledger).is_empty()
    }

    /// Number of replicas held for other hosts.
    #[must_use]
    pub fn replicas(&self) -> usize {
        lock(&self.replicas).len()
    }
}

/// A peer and the keys that it is told about.
struct ToldPeer {
    peer: HostId,
    keys: Vec<String>,
}

/// Peer for the replicas: a live host of another failure domain, or of the own one when there is no other.
fn replica_peer(view: &ControlView) -> Option<HostId> {
    let live = view.listed.iter().filter(|record| record.state == HostState::Live && record.host != view.host);
    let rank = |host: &str| rendezvous_hash(&view.host, host);
    let others = live.clone().filter(|record| record.failure_domain != view.failure_domain);
    let peer = others.max_by_key(|record| rank(&record.host)).or_else(|| live.max_by_key(|record| rank(&record.host)));
    peer.map(|record| record.host.clone())
}

fn is_due(last: &Mutex<Option<BootTime>>, period: Duration, now: BootTime) -> bool {
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
