//! Holds the lease of the duties and carries them out while it is held.

use std::sync::{Mutex, PoisonError};

use crate::duties::duty_calls::{DutyCalls, OrderAnswer, SentOrder, SentSupply, SentUsage};
use crate::duties::duty_lease::{DUTY_TABLE, DutyLease, LEASE_KEY, LeaseRow, LeaseWrite};
use crate::duties::load_notice::{LoadBoard, LoadNotice, NOTICE_KEY};
use crate::duties::supply_plan::{SUPPLY_TABLE, Shortage, SupplyLevel, plan_supply};
use crate::duties::usage_counter::{WindowNumber, wall_time};
use crate::duties::usage_report::{freeze_window, write_counts};
use crate::duties::weight_rollout::{ORDER_PATIENCE, PendingOrder, WeightOrder, plan_orders};
use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::{FleetView, TargetEntry, TargetState};
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::table_watch::WatchEvent;
use crate::row_store::{PartTransaction, RowContent, RowStore, RowVersion, StoredRow, TransactionResult, VersionCheck};

/// Period of the looks at what is due.
const DUTY_PERIOD: Duration = Duration::from_millis(100);

/// Period of the looks at usage and supply.
const SLOW_PERIOD: Duration = Duration::from_millis(500);

/// Time after the end of a window at which its figures are frozen; hosts write theirs within a second.
const FREEZE_DELAY: Duration = Duration::from_millis(3500);

/// Past windows that a new holder looks after.
const PAST_WINDOWS: u64 = 2;

/// Time after the start of a host at which the number of targets is taken for the one to keep.
const SUPPLY_SETTLE: Duration = Duration::from_secs(3);

/// Orders that an engine is known to have accepted.
#[derive(Debug, Clone)]
struct AcceptedCount {
    target: TargetId,
    started_ms: Option<u64>,
    accepted: u64,
}

/// Duties of one host.
#[derive(Debug)]
pub struct DutyKeeper {
    context: Arc<HostContext>,
    store: Arc<RowStore>,
    calls: DutyCalls,
    lease: Mutex<DutyLease>,
    pending: Mutex<Vec<PendingOrder>>,
    accepted: Mutex<Vec<AcceptedCount>>,
    /// Loads that this host ordered; published for all hosts.
    ordered: Mutex<LoadBoard>,
    /// Loads as published, until they should be done.
    noticed: Mutex<LoadBoard>,
    /// Calls of duties under way; the lease is given up only without any.
    acting: std::sync::atomic::AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DutyKeeper {
    /// Keeper of a host that holds nothing; `store` belongs to the thread that runs the keeper.
    #[must_use]
    pub fn new(context: Arc<HostContext>, store: Arc<RowStore>, calls: DutyCalls) -> Arc<Self> {
        let turn = Duration::from_millis(u64::from(context.settings.duty_turn_ms));
        let machine = format!("{}@{}", context.settings.host, context.settings.caller_address);
        let lease = DutyLease::new(&machine, context.incarnation, turn);
        Arc::new(Self {
            context,
            store,
            calls,
            lease: Mutex::new(lease),
            pending: Mutex::new(Vec::new()),
            accepted: Mutex::new(Vec::new()),
            ordered: Mutex::new(LoadBoard::default()),
            noticed: Mutex::new(LoadBoard::default()),
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
            lock(&self.noticed).replace(loads);
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
            let due = lock(&self.lease).due_write(now, self.store_ms(), true);
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
        let transaction = PartTransaction {
            part: String::new(),
            checks: vec![VersionCheck { table: DUTY_TABLE, key: LEASE_KEY.to_owned(), version: write.version }],
            writes: vec![RowContent {
                table: DUTY_TABLE,
                key: LEASE_KEY.to_owned(),
                value: serde_json::to_vec(&write.row).unwrap_or_default(),
            }],
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

    /// Brings engines to named versions until the process ends.
    pub async fn keep_weights(self: Arc<Self>) {
        loop {
            // A named version is acted on at once.
            let mut views = self.context.view.clone();
            views.mark_unchanged();
            let _ = tokio::time::timeout(DUTY_PERIOD, views.changed()).await;
            let view = self.context.view();
            self.context.with_loads(|loads| lock(&self.noticed).settle(&view, loads, self.store_ms()));
            if self.fence().is_none() {
                lock(&self.pending).clear();
                lock(&self.accepted).clear();
                continue;
            }
            let Some(services) = view.services.clone() else { continue };
            for order in self.due_orders(&view, &services) {
                lock(&self.pending).push(PendingOrder {
                    target: order.target.id.clone(),
                    started_ms: order.target.started_ms,
                    model: order.model.clone(),
                    version: order.version,
                    given_at: boot_time(),
                });
                let is_single = services.routes.iter().any(|route| route.is_single_version);
                tokio::spawn(Arc::clone(&self).give_order(order, !is_single));
            }
        }
    }

    fn due_orders(&self, view: &FleetView, services: &ServiceMap) -> Vec<WeightOrder> {
        let now = boot_time();
        let mut pending = lock(&self.pending);
        pending.retain(|order| {
            let is_carried_out = view.target(&order.target).is_none_or(|target| {
                target.started_ms != order.started_ms
                    || target.model_version(&order.model).is_some_and(|version| version >= order.version)
            });
            !is_carried_out && now.saturating_sub(order.given_at) < ORDER_PATIENCE
        });
        let mut orders = Vec::new();
        for service in &services.services {
            let Some(engine) = &service.engine else { continue };
            let engines: Vec<&TargetEntry> = view.usable_targets(&service.name).collect();
            orders.extend(plan_orders(&engines, &engine.models, &view.versions, &pending, now));
        }
        orders
    }

    async fn give_order(self: Arc<Self>, order: WeightOrder, keeps_runs: bool) {
        let target = &order.target;
        let answer = self.send_order(&order, keeps_runs).await;
        log::info!(
            target = target.id, model = order.model, version = order.version,
            reported:? = target.model_version(&order.model), answer:? = answer,
            targets_age_ms = whole_millis(boot_time().saturating_sub(self.context.view().targets_read_at));
            "weight_order"
        );
        if matches!(answer, Some((OrderAnswer::Accepted, _))) {
            self.publish_load(&order).await;
        }
        let mut accepted = lock(&self.accepted);
        accepted.retain(|known| known.target != target.id);
        match answer {
            Some((OrderAnswer::Accepted, before)) => accepted.push(AcceptedCount {
                target: target.id.clone(),
                started_ms: target.started_ms,
                accepted: before + 1,
            }),
            Some((OrderAnswer::Holds, _)) => {}
            // An order without an answer is given again with the same count, so that at most one takes effect.
            _ => lock(&self.pending).retain(|known| known.target != target.id || known.model != order.model),
        }
    }

    /// Tells all hosts of a load that began just now.
    async fn publish_load(&self, order: &WeightOrder) {
        let load = LoadNotice {
            target: order.target.id.clone(),
            started_ms: order.target.started_ms,
            model: order.model.clone(),
            version: order.version,
            done_ms: 0,
        };
        let loads = lock(&self.ordered).add(load, self.store_ms());
        let write = RowContent {
            table: DUTY_TABLE,
            key: NOTICE_KEY.to_owned(),
            value: serde_json::to_vec(&loads).unwrap_or_default(),
        };
        let transaction = PartTransaction { writes: vec![write], ..PartTransaction::default() };
        if let Err(fault) = (self.store.transact)(transaction).await {
            // Hosts then see the version in the entry of the engine.
            log::info!(fault = fault.to_string(), target = order.target.id; "load_notice_failed");
        }
    }

    async fn send_order(self: &Arc<Self>, order: &WeightOrder, keeps_runs: bool) -> Option<(OrderAnswer, u64)> {
        let target = &order.target;
        let known = lock(&self.accepted)
            .iter()
            .find(|known| known.target == target.id && known.started_ms == target.started_ms)
            .map(|known| known.accepted);
        let accepted_before = if let Some(accepted) = known {
            accepted
        } else {
            let report = (self.calls.read_report)(target.address).await?;
            if report.is_busy {
                return None;
            }
            report.accepted
        };
        let (fence, _guard) = self.begin_act()?;
        let limit = lock(&self.lease).call_limit();
        let sent = (self.calls.send_order)(SentOrder {
            address: target.address,
            target: target.id.clone(),
            model: order.model.clone(),
            version: order.version,
            keeps_runs,
            accepted_before,
            holder: self.context.settings.host.clone(),
            fence,
        });
        let answer = tokio::time::timeout(limit, sent).await.unwrap_or(OrderAnswer::Unknown);
        Some((answer, accepted_before))
    }

    /// Writes the counts of this host, and reports windows while it holds the lease.
    pub async fn keep_usage(self: Arc<Self>) {
        let mut unwritten = Vec::new();
        let mut reported: Vec<WindowNumber> = Vec::new();
        let length = Duration::from_secs_f64(self.context.settings.usage_window_seconds);
        loop {
            tokio::time::sleep(SLOW_PERIOD).await;
            let now = wall_time();
            unwritten.extend(self.context.usage.take_before(self.context.usage.window_at(now)));
            let mut kept = Vec::new();
            for (window, counts) in std::mem::take(&mut unwritten) {
                let (host, life) = (&self.context.settings.host, self.context.incarnation);
                if write_counts(&self.store, host, life, window, &counts).await.is_err() {
                    kept.push((window, counts));
                }
            }
            unwritten = kept;
            if self.fence().is_none() {
                reported.clear();
                continue;
            }
            let ended = self.context.usage.window_at(now.saturating_sub(FREEZE_DELAY + length));
            for window in ended.saturating_sub(PAST_WINDOWS)..=ended {
                if !reported.contains(&window) && self.report_window(window).await {
                    reported.push(window);
                    reported.retain(|known| known + PAST_WINDOWS >= window);
                }
            }
        }
    }

    async fn report_window(self: &Arc<Self>, window: WindowNumber) -> bool {
        let counts = match freeze_window(&self.store, window).await {
            Ok(counts) => counts,
            Err(fault) => {
                log::warn!(window = window, fault = fault.to_string(); "usage_freeze_failed");
                return false;
            }
        };
        let Some((fence, _guard)) = self.begin_act() else { return false };
        let limit = lock(&self.lease).call_limit();
        let organisations = counts.len();
        let holder = self.context.settings.host.clone();
        let sent = (self.calls.send_usage)(SentUsage { window, counts, holder, fence });
        let is_accepted = tokio::time::timeout(limit, sent).await.unwrap_or(false);
        log::info!(window = window, organisations = organisations, fence = fence, accepted = is_accepted; "usage_report");
        is_accepted
    }

    /// Replaces targets that were lost for good, while this host holds the lease.
    pub async fn keep_supply(self: Arc<Self>) {
        let started_at = boot_time();
        let mut wanted: Option<Vec<SupplyLevel>> = None;
        let mut shortages: Vec<Shortage> = Vec::new();
        loop {
            tokio::time::sleep(SLOW_PERIOD).await;
            let now = boot_time();
            let view = self.context.view();
            let Some(services) = view.services.clone() else { continue };
            let is_settled = now.saturating_sub(started_at) >= SUPPLY_SETTLE;
            if self.fence().is_none() || !is_settled || now.saturating_sub(view.targets_read_at) > SUPPLY_SETTLE {
                wanted = None;
                shortages.clear();
                continue;
            }
            let listed = listed_levels(&view, &services);
            if wanted.is_none() {
                wanted = self.read_supply(&listed).await;
            }
            let Some(wanted) = &wanted else { continue };
            for level in plan_supply(wanted, &listed, &mut shortages, now) {
                self.order_supply(level).await;
            }
        }
    }

    /// Numbers to keep: those in the store, or those listed now when none are stored yet.
    async fn read_supply(&self, listed: &[SupplyLevel]) -> Option<Vec<SupplyLevel>> {
        if listed.is_empty() {
            return None;
        }
        let transaction = PartTransaction {
            part: String::new(),
            checks: vec![VersionCheck { table: SUPPLY_TABLE, key: "levels".to_owned(), version: 0 }],
            writes: vec![RowContent {
                table: SUPPLY_TABLE,
                key: "levels".to_owned(),
                value: serde_json::to_vec(listed).unwrap_or_default(),
            }],
        };
        match (self.store.transact)(transaction).await.ok()? {
            TransactionResult::Applied(_) => Some(listed.to_vec()),
            TransactionResult::Conflict(rows) => serde_json::from_slice(rows.first()?.value.as_deref()?).ok(),
        }
    }

    async fn order_supply(self: &Arc<Self>, level: SupplyLevel) {
        let Some((fence, _guard)) = self.begin_act() else { return };
        let limit = lock(&self.lease).call_limit();
        let holder = self.context.settings.host.clone();
        let sent = (self.calls.send_supply)(SentSupply { level: level.clone(), holder, fence });
        let is_accepted = tokio::time::timeout(limit, sent).await.unwrap_or(false);
        log::info!(
            service = level.service, domain = level.domain, count = level.count, fence = fence, accepted = is_accepted;
            "supply_order"
        );
    }
}

/// Targets that are listed, for each service whose number can be ordered.
fn listed_levels(view: &FleetView, services: &ServiceMap) -> Vec<SupplyLevel> {
    let mut levels: Vec<SupplyLevel> = Vec::new();
    for target in view.targets.iter().filter(|target| target.state == TargetState::Ready && !target.is_cheap) {
        if services.service(&target.service).is_none_or(|rule| rule.supply.is_none()) {
            continue;
        }
        let known = levels.iter_mut().find(|level| level.service == target.service && level.domain == target.domain);
        if let Some(level) = known {
            level.count += 1;
            continue;
        }
        levels.push(SupplyLevel { service: target.service.clone(), domain: target.domain.clone(), count: 1 });
    }
    levels
}

/// Loads in the newest notice among rows; `None` without a readable one.
fn find_notice(rows: &[StoredRow]) -> Option<Vec<LoadNotice>> {
    let value = rows.iter().rfind(|row| row.key == NOTICE_KEY)?.value.as_deref()?;
    match serde_json::from_slice(value) {
        Ok(loads) => Some(loads),
        Err(error) => {
            log::warn!(error = error.to_string(); "load_notice_unreadable");
            None
        }
    }
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
    keeper: Arc<DutyKeeper>,
}

impl ActGuard {
    fn new(keeper: &Arc<DutyKeeper>) -> Self {
        keeper.acting.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        Self { keeper: Arc::clone(keeper) }
    }
}

impl Drop for ActGuard {
    fn drop(&mut self) {
        self.keeper.acting.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
    }
}
