//! The budget of a process and its leases, which threads share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;

use super::lease_table::{ConnectionRoom, LeaseId, LeaseKind, LeaseTable, YieldRule};
use crate::prelude::*;

/// Part of the machine's memory that the budget gets: one divided by this number. The rest is for the program itself, for
/// the jobs that it runs, and for what the allocator does not give back.
const MEMORY_SHARE: usize = 2;

/// Descriptors for files, for listeners and for connections to the store and to peers.
const OWN_DESCRIPTORS: u64 = 64;

/// Most connections on a system without a limit of descriptors.
const MAX_CONNECTIONS: u64 = 65_536;

/// Memory that is assumed if the system does not tell, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// File with the memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";

/// Longest time that a new connection waits for the end of another one.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time between two log lines on clients that do not behave.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The budget has no room, and nothing yields to the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryExhausted;

/// Part of a lease that its holder and the budget share.
#[derive(Debug, Default)]
struct LeaseSignal {
    has_yielded: AtomicBool,
    yielded: Notify,
    /// What has arrived of a body; dropped at once when the lease yields.
    segments: Mutex<Vec<Bytes>>,
}

#[derive(Debug)]
struct BudgetState {
    table: LeaseTable,
    /// Signals of the leases, sorted by id.
    signals: Vec<(LeaseId, Arc<LeaseSignal>)>,
}

/// Sum of what callers and other hosts may take of a process.
#[derive(Debug)]
pub struct MemoryBudget {
    state: Mutex<BudgetState>,
    yielded: AtomicU64,
    refused: AtomicU64,
    logged_at: Mutex<Option<BootTime>>,
    connection_ended: Notify,
}

impl MemoryBudget {
    /// Budget of this many bytes and connections.
    #[must_use]
    pub fn new(bytes: usize, connections: usize) -> Arc<Self> {
        let state = BudgetState { table: LeaseTable::new(bytes, connections), signals: Vec::new() };
        Arc::new(Self {
            state: Mutex::new(state),
            yielded: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            logged_at: Mutex::default(),
            connection_ended: Notify::new(),
        })
    }

    /// Budget of a process on a machine with this much memory, or with what the system tells. Connections are limited to
    /// `max_connections` and by the process's limit of descriptors.
    #[must_use]
    pub fn for_machine(memory_megabytes: Option<u32>, max_connections: usize) -> Arc<Self> {
        let setting = memory_megabytes.map(|megabytes| megabytes as usize * 1024 * 1024);
        let bytes = setting.or_else(machine_memory).unwrap_or(DEFAULT_MEMORY_BYTES) / MEMORY_SHARE;
        // Each connection may need another one to a target.
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(MAX_CONNECTIONS).min(MAX_CONNECTIONS);
        let connections = usize::try_from(descriptors.saturating_sub(OWN_DESCRIPTORS) / 2).unwrap_or(usize::MAX);
        let connections = connections.min(max_connections);
        log::info!(bytes = bytes, connections = connections; "memory_budget");
        Self::new(bytes, connections)
    }

    /// Bytes that are leased now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.lock().table.used()
    }

    /// Connections that are open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.lock().table.connections()
    }

    /// Number of connections and bodies that were ended so far to make room for others.
    #[must_use]
    pub fn yielded(&self) -> u64 {
        self.yielded.load(Ordering::Relaxed)
    }

    /// Number of connections and bodies that were refused so far for want of room.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Size of the budget in bytes.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        self.lock().table.max_bytes()
    }

    /// Counts memory that this host needs until the returned count is dropped; `None` when it must wait for the end of others.
    #[must_use]
    pub fn keep(self: &Arc<Self>, bytes: usize) -> Option<KeptMemory> {
        let is_kept = self.lock().table.keep(bytes);
        is_kept.then(|| KeptMemory { budget: Arc::clone(self), bytes })
    }

    /// Lease for the body of a request, which yields to others until [`MemoryLease::settle`].
    #[must_use]
    pub fn lease_body(self: &Arc<Self>) -> MemoryLease {
        self.add_lease(&mut self.lock(), LeaseKind::Body)
    }

    /// Lease for a connection with this many bytes, which yields to others until [`MemoryLease::settle`].
    ///
    /// # Errors
    ///
    /// All other connections have requests to answer, or the memory is used up by what does not yield.
    pub async fn lease_connection(self: &Arc<Self>, bytes: usize) -> Result<MemoryLease, MemoryExhausted> {
        let added = tokio::time::timeout(END_TIMEOUT, self.add_connection()).await;
        let Ok(Some(lease)) = added else { return Err(self.record_refusal()) };
        lease.grow(bytes)?;
        Ok(lease)
    }

    /// Adds a lease for a connection as soon as there is room; `None` when all others have requests to answer.
    async fn add_connection(self: &Arc<Self>) -> Option<MemoryLease> {
        loop {
            let mut ended = std::pin::pin!(self.connection_ended.notified());
            ended.as_mut().enable();
            match self.try_add_connection() {
                Ok(lease) => return Some(lease),
                Err(ConnectionRoom::Ending(_)) => ended.await,
                Err(_) => return None,
            }
        }
    }

    fn try_add_connection(self: &Arc<Self>) -> Result<MemoryLease, ConnectionRoom> {
        let mut state = self.lock();
        let room = state.table.make_room_for_connection(boot_time());
        if room == ConnectionRoom::Free {
            return Ok(self.add_lease(&mut state, LeaseKind::Connection));
        }
        if let ConnectionRoom::Ending(Some(id)) = room {
            self.end_leases(&state, &[id]);
        }
        Err(room)
    }

    /// Ends the connection that wastes most, for example when no descriptor is free; returns whether there was one.
    pub fn end_idle_connection(&self) -> bool {
        let mut state = self.lock();
        let ended = state.table.end_idle_connection(boot_time());
        self.end_leases(&state, ended.as_slice());
        ended.is_some()
    }

    /// Whether a line on clients that do not behave may be logged now. A crowd would cause one for each of its connections.
    #[must_use]
    pub fn may_log(&self) -> bool {
        let now = boot_time();
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = logged_at.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL);
        if is_due {
            *logged_at = Some(now);
        }
        is_due
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_lease(self: &Arc<Self>, state: &mut BudgetState, kind: LeaseKind) -> MemoryLease {
        let signal = Arc::<LeaseSignal>::default();
        let id = state.table.add(kind, boot_time());
        state.signals.push((id, Arc::clone(&signal)));
        MemoryLease { budget: Arc::clone(self), id, signal, kind }
    }

    /// Tells the holders of leases that they have yielded.
    fn end_leases(&self, state: &BudgetState, ids: &[LeaseId]) {
        for id in ids {
            self.yielded.fetch_add(1, Ordering::Relaxed);
            let Ok(position) = state.signals.binary_search_by_key(id, |(id, _)| *id) else { continue };
            let signal = &state.signals[position].1;
            signal.has_yielded.store(true, Ordering::Release);
            signal.segments.lock().unwrap_or_else(PoisonError::into_inner).clear();
            signal.yielded.notify_one();
        }
    }

    fn record_refusal(&self) -> MemoryExhausted {
        let refused = self.refused.fetch_add(1, Ordering::Relaxed) + 1;
        if self.may_log() {
            let (used, connections) = (self.used(), self.connections());
            log::warn!(
                used = used, connections = connections, yielded = self.yielded(), refused = refused;
                "memory_budget_used_up"
            );
        }
        MemoryExhausted
    }
}

fn machine_memory() -> Option<usize> {
    let text = std::fs::read_to_string(MEMORY_FILE).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Memory that a host needs for what it has accepted, counted until dropped.
#[derive(Debug)]
pub struct KeptMemory {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Drop for KeptMemory {
    fn drop(&mut self) {
        self.budget.lock().table.release_kept(self.bytes);
    }
}

/// Bytes that a connection or a body has taken from a budget; given back when dropped.
#[derive(Debug)]
pub struct MemoryLease {
    budget: Arc<MemoryBudget>,
    id: LeaseId,
    signal: Arc<LeaseSignal>,
    kind: LeaseKind,
}

impl MemoryLease {
    /// Takes more bytes; others yield if the budget has no room.
    ///
    /// # Errors
    ///
    /// The lease itself has yielded, or there is no room and nothing yields to it.
    pub fn grow(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let mut state = self.budget.lock();
        let decision = state.table.grow(self.id, bytes, boot_time());
        self.budget.end_leases(&state, &decision.yielded);
        drop(state);
        if decision.is_granted { Ok(()) } else { Err(self.budget.record_refusal()) }
    }

    /// Takes more bytes if the budget has enough room for what can be done without; returns whether it did.
    #[must_use]
    pub fn grow_optionally(&self, bytes: usize) -> bool {
        self.budget.lock().table.grow_optionally(self.id, bytes)
    }

    /// Counts bytes that the holder has already; others yield if the budget has no room.
    pub fn grow_by_held(&self, bytes: usize) {
        let mut state = self.budget.lock();
        let decision = state.table.grow_by_held(self.id, bytes, boot_time());
        self.budget.end_leases(&state, &decision.yielded);
    }

    /// Gives bytes back.
    pub fn shrink(&self, bytes: usize) {
        self.budget.lock().table.shrink(self.id, bytes);
    }

    /// Records that bytes have arrived.
    pub fn record_progress(&self, bytes: usize) {
        self.budget.lock().table.record_progress(self.id, bytes, boot_time());
    }

    /// From now on the lease does not yield; returns false when it has yielded before.
    #[must_use]
    pub fn settle(&self) -> bool {
        self.set_rule(YieldRule::Never)
    }

    /// Sets when the lease yields, as one that has just made progress; returns false when it has yielded before.
    pub(super) fn set_rule(&self, rule: YieldRule) -> bool {
        self.budget.lock().table.set_rule(self.id, rule, boot_time())
    }

    /// Budget that the lease belongs to.
    #[must_use]
    pub fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Waits until the lease has to make room for another one.
    pub async fn wait_yielded(&self) {
        while !self.signal.has_yielded.load(Ordering::Acquire) {
            self.signal.yielded.notified().await;
        }
    }

    /// Adds a part of a body, which is dropped when the lease yields.
    pub(super) fn push_segment(&self, segment: Bytes) {
        self.signal.segments.lock().unwrap_or_else(PoisonError::into_inner).push(segment);
    }

    /// Takes all parts of a body.
    pub(super) fn take_segments(&self) -> Vec<Bytes> {
        std::mem::take(&mut self.signal.segments.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.table.remove(self.id);
        if let Ok(position) = state.signals.binary_search_by_key(&self.id, |(id, _)| *id) {
            state.signals.remove(position);
        }
        if self.kind == LeaseKind::Connection {
            self.budget.connection_ended.notify_waiters();
        }
    }
}
