//! Takes the leader lease when it can, and runs the leader tasks while this host holds the lease.

mod removal;
mod supply;
mod usage;
mod weights;

use std::sync::{Mutex, PoisonError};

use crate::duties::leader_calls::LeaderCalls;
use crate::duties::leader_lease::{DUTY_TABLE, LEASE_KEY, LeaderLease, LeaseRow, LeaseWrite};
use crate::duties::leader_tasks::weights::AcceptedCount;
use crate::duties::weight_load_notice::{NOTICE_KEY_PREFIX, PendingWeightLoads, WeightLoadNotice};
use crate::duties::weight_rollout::PendingOrder;
use crate::entry::host_context::HostContext;
use crate::prelude::*;
use crate::row_store::table_watch::WatchEvent;
use crate::row_store::{
    PartitionTransaction, RowContent, RowStore, RowVersion, StoredRow, TransactionResult, VersionCheck,
};

/// Interval at which usage reporting and target scaling check what to do.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the lease is checked, and longest interval between two checks for weight orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Most weight orders in flight. The limit keeps connections from filling the memory of a small host. It still allows
/// thousands of orders a second, since an order takes two calls of some milliseconds each.
const MAX_ORDERS_IN_FLIGHT: usize = 64;

/// Leader tasks of one host, which act only while the host holds the leader lease.
#[derive(Debug)]
pub struct LeaderTasks {
    context: Arc<HostContext>,
    store: Arc<RowStore>,
    calls: LeaderCalls,
    lease: Mutex<LeaderLease>,
    /// Weight orders that were sent, until the fleet view shows the ordered version on the target.
    pending_orders: Mutex<Vec<PendingOrder>>,
    /// Known counts of accepted orders, at most one for each engine.
    accepted_counts: Mutex<Vec<AcceptedCount>>,
    /// Weight loads that this host ordered, to be published to all hosts.
    ordered_loads: Mutex<PendingWeightLoads>,
    /// Weight loads as published by the leader, until their expected end.
    published_loads: Mutex<PendingWeightLoads>,
    /// Bounds the weight orders in flight.
    order_slots: tokio::sync::Semaphore,
    /// Number of calls under the lease in flight; the lease is released only when there are none.
    calls_in_flight: std::sync::atomic::AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LeaderTasks {
    /// Creates the tasks of a host that does not hold the lease; `store` must belong to the thread that runs the tasks.
    #[must_use]
    pub fn new(context: Arc<HostContext>, store: Arc<RowStore>, calls: LeaderCalls) -> Arc<Self> {
        // The setting is named for the turns of the duties; the text here calls it the alternation time.
        let alternation_time = Duration::from_millis(u64::from(context.settings.duty_turn_ms));
        let machine = format!("{}@{}", context.settings.host, context.settings.caller_address);
        let lease = LeaderLease::new(&machine, context.incarnation, alternation_time);
        Arc::new(Self {
            context,
            store,
            calls,
            lease: Mutex::new(lease),
            pending_orders: Mutex::new(Vec::new()),
            accepted_counts: Mutex::new(Vec::new()),
            ordered_loads: Mutex::new(PendingWeightLoads::default()),
            published_loads: Mutex::new(PendingWeightLoads::default()),
            order_slots: tokio::sync::Semaphore::new(MAX_ORDERS_IN_FLIGHT),
            calls_in_flight: std::sync::atomic::AtomicUsize::new(0),
        })
    }

    /// Applies an event of the table [`DUTY_TABLE`].
    pub fn apply_duties(&self, event: &WatchEvent, now: BootTime) {
        let rows = match event {
            WatchEvent::Loaded(rows) | WatchEvent::Changed(rows) => rows.as_slice(),
            WatchEvent::Failed(_) => &[],
        };
        if let Some(loads) = parse_notices(rows) {
            lock(&self.published_loads).merge(loads);
        }
        self.apply_lease_event(event, now);
    }

    fn apply_lease_event(&self, event: &WatchEvent, now: BootTime) {
        let mut lease = lock(&self.lease);
        match event {
            WatchEvent::Failed(_) => {}
            WatchEvent::Loaded(rows) => lease.record_row(parse_lease(rows), now),
            WatchEvent::Changed(rows) => match parse_lease(rows) {
                Some(found) => lease.record_row(Some(found), now),
                None => lease.record_unchanged(now),
            },
        }
    }

    /// Fencing number under which this host may act; `None` while it may not act.
    #[must_use]
    pub fn fence(&self) -> Option<LeaseEpoch> {
        lock(&self.lease).fence(boot_time())
    }

    /// Time by the clock of the store in milliseconds; 0 before it is known.
    fn store_ms(&self) -> u64 {
        (self.store.store_time)().map_or(0, whole_millis)
    }

    /// Renews the lease or takes it over until the host stops, then releases it.
    pub async fn keep_lease(self: Arc<Self>) {
        let mut last_fence = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = boot_time();
            let fence = lock(&self.lease).fence(now);
            if fence != last_fence {
                log::info!(fence:? = fence, former:? = last_fence; "duty_lease_changed");
                last_fence = fence;
            }
            if self.context.is_stopping() {
                self.release().await;
                return;
            }
            if self.context.links.should_hand_over(&self.context.view(), &self.context.settings.host) {
                // Orders to engines are not passed on: another host would be their sender.
                self.release().await;
                continue;
            }
            let due = lock(&self.lease).begin_due_write(now, self.store_ms());
            let Some(write) = due else { continue };
            let result = self.write_lease(&write).await;
            let mut lease = lock(&self.lease);
            match result {
                Some(version) => lease.record_written(write.row, version, boot_time()),
                None => lease.record_failed(boot_time()),
            }
        }
    }

    /// Writes the lease row; returns its new version, or `None` when the write was not applied or its result is
    /// unknown.
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
                lock(&self.lease).record_row(parse_lease(&rows), boot_time());
                None
            }
            Err(error) => {
                log::warn!(fault = error.to_string(), beat = write.row.beat; "duty_lease_write_failed");
                None
            }
        }
    }

    async fn release(&self) {
        // No call begins while the host stops or hands over; those in flight end within their timeout.
        while self.calls_in_flight.load(std::sync::atomic::Ordering::Acquire) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let write = lock(&self.lease).release(self.store_ms());
        if let Some(write) = write {
            let is_released = self.write_lease(&write).await.is_some();
            log::info!(fence = write.row.fence, released = is_released; "duty_lease_released");
        }
    }

    /// Begins a call under the lease: returns the fencing number, and a guard that counts the call as in flight until
    /// it is dropped. `None` while this host may not act or stops.
    fn begin_call(self: &Arc<Self>) -> Option<(LeaseEpoch, CallGuard)> {
        let guard = CallGuard::new(self);
        let view = self.context.view();
        if self.context.is_stopping() || self.context.links.should_hand_over(&view, &self.context.settings.host) {
            return None;
        }
        self.fence().map(|fence| (fence, guard))
    }
}

/// Reads the loads from all notices among the rows; `None` without a readable notice.
fn parse_notices(rows: &[StoredRow]) -> Option<Vec<WeightLoadNotice>> {
    let notices = rows.iter().filter(|row| row.key.starts_with(NOTICE_KEY_PREFIX));
    let mut found = None;
    for value in notices.filter_map(|row| row.value.as_deref()) {
        match serde_json::from_slice::<Vec<WeightLoadNotice>>(value) {
            Ok(loads) => found.get_or_insert_with(Vec::new).extend(loads),
            Err(error) => log::warn!(error = error.to_string(); "load_notice_unreadable"),
        }
    }
    found
}

/// Reads the lease and its version from the last lease row among the rows; `None` without a readable one.
fn parse_lease(rows: &[StoredRow]) -> Option<(LeaseRow, RowVersion)> {
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

/// Counts a call as in flight until dropped.
#[derive(Debug)]
struct CallGuard {
    tasks: Arc<LeaderTasks>,
}

impl CallGuard {
    fn new(tasks: &Arc<LeaderTasks>) -> Self {
        tasks.calls_in_flight.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        Self { tasks: Arc::clone(tasks) }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.tasks.calls_in_flight.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
    }
}
