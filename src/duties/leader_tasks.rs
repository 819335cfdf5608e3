//! Holds the lease of the duties and carries them out while it is held.

mod removal;
mod supply;
mod usage;
mod weights;

use std::sync::{Mutex, PoisonError};

use crate::duties::leader_calls::LeaderCalls;
use crate::duties::leader_lease::{DUTY_TABLE, LEASE_KEY, LeaderLease, LeaseRow, LeaseWrite};
use crate::duties::leader_tasks::weights::AcceptedCount;
use crate::duties::weight_load_notice::{NOTICE_KEY, PendingWeightLoads, WeightLoadNotice};
use crate::duties::weight_rollout::PendingOrder;
use crate::entry::host_context::HostContext;
use crate::prelude::*;
use crate::row_store::table_watch::WatchEvent;
use crate::row_store::{
    PartitionTransaction, RowContent, RowStore, RowVersion, StoredRow, TransactionResult, VersionCheck,
};

/// Period of the looks at usage and supply.
const SLOW_PERIOD: Duration = Duration::from_millis(500);

/// Period of the looks at what is due.
const DUTY_PERIOD: Duration = Duration::from_millis(100);

/// Orders to engines under way at one time. Each takes two calls of some milliseconds, so that thousands a second pass,
/// while the memory of a small host is not filled with connections.
const ORDERS_AT_ONCE: usize = 64;

/// Duties of one host.
#[derive(Debug)]
pub struct LeaderTasks {
    context: Arc<HostContext>,
    store: Arc<RowStore>,
    calls: LeaderCalls,
    lease: Mutex<LeaderLease>,
    pending: Mutex<Vec<PendingOrder>>,
    accepted: Mutex<Vec<AcceptedCount>>,
    /// Loads that this host ordered; published for all hosts.
    ordered: Mutex<PendingWeightLoads>,
    /// Loads as published, until they should be done.
    noticed: Mutex<PendingWeightLoads>,
    /// Bounds the orders under way at one time.
    order_slots: tokio::sync::Semaphore,
    /// Calls of duties under way; the lease is given up only without any.
    acting: std::sync::atomic::AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LeaderTasks {
    /// Keeper of a host that holds nothing; `store` belongs to the thread that runs the keeper.
    #[must_use]
    pub fn new(context: Arc<HostContext>, store: Arc<RowStore>, calls: LeaderCalls) -> Arc<Self> {
        let turn = Duration::from_millis(u64::from(context.settings.duty_turn_ms));
        let machine = format!("{}@{}", context.settings.host, context.settings.caller_address);
        let lease = LeaderLease::new(&machine, context.incarnation, turn);
        Arc::new(Self {
            context,
            store,
            calls,
            lease: Mutex::new(lease),
            pending: Mutex::new(Vec::new()),
            accepted: Mutex::new(Vec::new()),
            ordered: Mutex::new(PendingWeightLoads::default()),
            noticed: Mutex::new(PendingWeightLoads::default()),
            order_slots: tokio::sync::Semaphore::new(ORDERS_AT_ONCE),
            acting: std::sync::atomic::AtomicUsize::new(0),
        })
    }

    /// Applies an event of the table of the duties.
    pub fn apply_duties(&self, event: &WatchEvent, now: BootTime) {
        let rows = match event {
            WatchEvent::Loaded(rows) | WatchEvent::Changed(rows) => rows.as_slice(),
            WatchEvent::Failed(_) => &[],
        };
        if let Some(loads) = find_notice(rows) {
            lock(&self.noticed).merge(loads);
        }
        self.apply_lease(event, now);
    }

    fn apply_lease(&self, event: &WatchEvent, now: BootTime) {
        let mut lease = lock(&self.lease);
        match event {
            WatchEvent::Failed(_) => {}
            WatchEvent::Loaded(rows) => lease.observe(find_lease(rows), now),
            WatchEvent::Changed(rows) => match find_lease(rows) {
                Some(found) => lease.observe(Some(found), now),
                None => lease.confirm(now),
            },
        }
    }

    /// Fencing number while this host may act.
    #[must_use]
    pub fn fence(&self) -> Option<LeaseEpoch> {
        lock(&self.lease).fence(boot_time())
    }

    fn store_ms(&self) -> u64 {
        (self.store.store_time)().map_or(0, whole_millis)
    }

    /// Renews or claims the lease until the host stops, then gives it up.
    pub async fn keep_lease(self: Arc<Self>) {
        let mut had_fence = None;
        loop {
            tokio::time::sleep(DUTY_PERIOD).await;
            let now = boot_time();
            let fence = lock(&self.lease).fence(now);
            if fence != had_fence {
                log::info!(fence:? = fence, former:? = had_fence; "duty_lease_changed");
                had_fence = fence;
            }
            if self.context.is_stopping() {
                self.release().await;
                return;
            }
            let due = lock(&self.lease).due_write(now, self.store_ms());
            let Some(write) = due else { continue };
            let result = self.write_lease(&write).await;
            let mut lease = lock(&self.lease);
            match result {
                Some(version) => lease.written(write.row, version, boot_time()),
                None => lease.failed(boot_time()),
            }
        }
    }

    async fn write_lease(&self, write: &LeaseWrite) -> Option<RowVersion> {
        let transaction = PartitionTransaction {
            checks: vec![VersionCheck { table: DUTY_TABLE, key: LEASE_KEY.to_owned(), version: write.version }],
            writes: vec![RowContent {
                table: DUTY_TABLE,
                key: LEASE_KEY.to_owned(),
                value: serde_json::to_vec(&write.row).unwrap_or_default(),
            }],
            ..PartitionTransaction::default()
        };
        match (self.store.transact)(transaction).await {
            Ok(TransactionResult::Applied(version)) => Some(version),
            Ok(TransactionResult::Conflict(rows)) => {
                lock(&self.lease).observe(find_lease(&rows), boot_time());
                None
            }
            Err(fault) => {
                log::warn!(fault = fault.to_string(), beat = write.row.beat; "duty_lease_write_failed");
                None
            }
        }
    }

    async fn release(&self) {
        // Acts see that the host stops, so none begins; those under way end within their limit.
        while self.acting.load(std::sync::atomic::Ordering::Acquire) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let write = lock(&self.lease).release(self.store_ms());
        if let Some(write) = write {
            let is_released = self.write_lease(&write).await.is_some();
            log::info!(fence = write.row.fence, released = is_released; "duty_lease_released");
        }
    }

    /// Fencing number for an act that begins now; the act counts until the returned guard is dropped.
    fn begin_act(self: &Arc<Self>) -> Option<(LeaseEpoch, ActGuard)> {
        let guard = ActGuard::new(self);
        if self.context.is_stopping() {
            return None;
        }
        self.fence().map(|fence| (fence, guard))
    }
}

/// Loads in the notices among rows; `None` without a readable one.
fn find_notice(rows: &[StoredRow]) -> Option<Vec<WeightLoadNotice>> {
    let notices = rows.iter().filter(|row| row.key.starts_with(NOTICE_KEY));
    let mut found = None;
    for value in notices.filter_map(|row| row.value.as_deref()) {
        match serde_json::from_slice::<Vec<WeightLoadNotice>>(value) {
            Ok(loads) => found.get_or_insert_with(Vec::new).extend(loads),
            Err(error) => log::warn!(error = error.to_string(); "load_notice_unreadable"),
        }
    }
    found
}

fn find_lease(rows: &[StoredRow]) -> Option<(LeaseRow, RowVersion)> {
    let row = rows.iter().rfind(|row| row.key == LEASE_KEY)?;
    let value = row.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(lease) => Some((lease, row.version)),
        Err(error) => {
            log::error!(error = error.to_string(), version = row.version; "duty_lease_unreadable");
            None
        }
    }
}

/// Counts an act while it lives.
#[derive(Debug)]
struct ActGuard {
    keeper: Arc<LeaderTasks>,
}

impl ActGuard {
    fn new(keeper: &Arc<LeaderTasks>) -> Self {
        keeper.acting.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        Self { keeper: Arc::clone(keeper) }
    }
}

impl Drop for ActGuard {
    fn drop(&mut self) {
        self.keeper.acting.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
    }
}
