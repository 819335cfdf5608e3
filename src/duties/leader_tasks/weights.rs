//! Leader task that orders engines to load weight versions, and the notices of these loads, which every host applies.

use crate::duties::leader_calls::{EngineOrderOutcome, SentOrder};
use crate::duties::leader_lease::DUTY_TABLE;
use crate::duties::leader_tasks::{CHECK_INTERVAL, LeaderTasks, lock};
use crate::duties::weight_load_notice::{NOTICE_KEY_PREFIX, WeightLoadNotice};
use crate::duties::weight_rollout::{ORDER_TIMEOUT, PendingOrder, WeightLoadOrder, plan_orders};
use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::{PartitionTransaction, RowContent};

/// Number of weight orders that an engine is known to have accepted since the engine started.
#[derive(Debug, Clone)]
pub(super) struct AcceptedCount {
    target: TargetId,
    started_ms: Option<u64>,
    accepted: u64,
}

impl LeaderTasks {
    /// Applies the published loads, and orders engines to the announced versions while this host holds the lease; runs
    /// until the process ends.
    pub async fn run_weight_rollout(self: Arc<Self>) {
        loop {
            // A change of the view, such as a newly announced version, is handled at once.
            let mut views = self.context.view.clone();
            views.mark_unchanged();
            let _ = tokio::time::timeout(CHECK_INTERVAL, views.changed()).await;
            let view = self.context.view();
            self.context
                .with_loads(|loads| lock(&self.published_loads).apply_completed_loads(&view, loads, self.store_ms()));
            if self.fence().is_none() {
                lock(&self.pending_orders).clear();
                lock(&self.accepted_counts).clear();
                continue;
            }
            tokio::spawn(Arc::clone(&self).publish_loads());
            let Some(services) = view.services.clone() else { continue };
            for order in self.collect_due_orders(&view, &services) {
                lock(&self.pending_orders).push(PendingOrder {
                    target: order.target.id.clone(),
                    started_ms: order.target.started_ms,
                    model: order.model.clone(),
                    version: order.version,
                    given_at: boot_time(),
                });
                // Running requests end first when the output of a request must have a single weight version.
                let is_single = services.routes.iter().any(|route| route.is_single_version);
                tokio::spawn(Arc::clone(&self).execute_order(order, !is_single));
            }
        }
    }

    /// Drops pending orders that were carried out, timed out, or went to a target that has gone or restarted; returns
    /// the orders to send now.
    fn collect_due_orders(&self, view: &FleetView, services: &ServiceMap) -> Vec<WeightLoadOrder> {
        let now = boot_time();
        let mut pending = lock(&self.pending_orders);
        pending.retain(|order| {
            let is_settled = view.target(&order.target).is_none_or(|target| {
                target.started_ms != order.started_ms
                    || target.model_version(&order.model).is_some_and(|version| version >= order.version)
            });
            !is_settled && now.saturating_sub(order.given_at) < ORDER_TIMEOUT
        });
        let mut orders = Vec::new();
        for service in &services.services {
            let Some(engine) = &service.engine else { continue };
            let engines: Vec<&TargetEntry> = view.usable_targets(&service.name).collect();
            orders.extend(plan_orders(&engines, &engine.models, &view.versions, &pending, now));
        }
        orders
    }

    /// Sends an order and records the answer.
    async fn execute_order(self: Arc<Self>, order: WeightLoadOrder, keeps_runs: bool) {
        let target = &order.target;
        // The semaphore is never closed.
        let _slot = self.order_slots.acquire().await;
        let answer = self.send_order(&order, keeps_runs).await;
        log::info!(
            target = target.id, model = order.model, version = order.version,
            reported:? = target.model_version(&order.model), answer:? = answer,
            targets_age_ms = whole_millis(boot_time().saturating_sub(self.context.view().targets_read_at));
            "weight_order"
        );
        if matches!(answer, Some((EngineOrderOutcome::Accepted, _))) {
            self.record_load(&order);
        }
        let mut accepted = lock(&self.accepted_counts);
        accepted.retain(|known| known.target != target.id);
        match answer {
            Some((EngineOrderOutcome::Accepted, before)) => accepted.push(AcceptedCount {
                target: target.id.clone(),
                started_ms: target.started_ms,
                accepted: before + 1,
            }),
            Some((EngineOrderOutcome::Holds, _)) => {}
            // The order is no longer pending, so it is planned again, with the count that the engine then reports. This
            // is safe when only the answer was lost: the engine then is busy with the order, or has the version.
            _ => lock(&self.pending_orders).retain(|known| known.target != target.id || known.model != order.model),
        }
    }

    /// Records a load that began just now, to be published.
    fn record_load(&self, order: &WeightLoadOrder) {
        let load = WeightLoadNotice {
            target: order.target.id.clone(),
            started_ms: order.target.started_ms,
            model: order.model.clone(),
            version: order.version,
            done_ms: 0,
        };
        lock(&self.ordered_loads).add(load, self.store_ms());
    }

    /// Publishes the recent loads to all hosts, if some began since the last publication.
    async fn publish_loads(self: Arc<Self>) {
        let rows = lock(&self.ordered_loads).rows_to_publish();
        if rows.is_empty() {
            return;
        }
        let writes = rows.iter().enumerate().map(|(number, loads)| RowContent {
            table: DUTY_TABLE,
            key: format!("{NOTICE_KEY_PREFIX}-{number}"),
            value: serde_json::to_vec(loads).unwrap_or_default(),
        });
        let transaction = PartitionTransaction { writes: writes.collect(), ..PartitionTransaction::default() };
        if let Err(error) = (self.store.transact)(transaction).await {
            // Hosts see the versions in the entries of the engines instead, though later.
            log::info!(fault = error.to_string(), rows = rows.len(); "load_notice_failed");
        }
    }

    /// Sends an order with the count that the engine must have; returns the answer and that count. `None` when the
    /// count is not known, the engine is busy, or this host may not act.
    async fn send_order(
        self: &Arc<Self>,
        order: &WeightLoadOrder,
        keeps_runs: bool,
    ) -> Option<(EngineOrderOutcome, u64)> {
        let target = &order.target;
        let known = lock(&self.accepted_counts)
            .iter()
            .find(|known| known.target == target.id && known.started_ms == target.started_ms)
            .map(|known| known.accepted);
        let accepted_before = if let Some(accepted) = known {
            accepted
        } else {
            self.context.with_loads(|loads| loads.record_arrival(&target.id, boot_time()));
            let report = (self.calls.read_report)(target.address).await?;
            if report.is_busy {
                return None;
            }
            report.accepted
        };
        let (fence, _guard) = self.begin_call()?;
        // Not held back by a rate limit, but counted against it.
        self.context.with_loads(|loads| loads.record_arrival(&target.id, boot_time()));
        let timeout = lock(&self.lease).call_timeout();
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
        let answer = tokio::time::timeout(timeout, sent).await.unwrap_or(EngineOrderOutcome::Unknown);
        Some((answer, accepted_before))
    }
}
