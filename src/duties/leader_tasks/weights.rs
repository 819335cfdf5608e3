//! Orders of weight versions, while this host holds the lease.

use crate::duties::leader_calls::{EngineOrderOutcome, SentOrder};
use crate::duties::leader_lease::DUTY_TABLE;
use crate::duties::leader_tasks::{DUTY_PERIOD, LeaderTasks, lock};
use crate::duties::weight_load_notice::{NOTICE_KEY, WeightLoadNotice};
use crate::duties::weight_rollout::{ORDER_PATIENCE, PendingOrder, WeightLoadOrder, plan_orders};
use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::{PartitionTransaction, RowContent};

/// Orders that an engine is known to have accepted.
#[derive(Debug, Clone)]
pub(super) struct AcceptedCount {
    target: TargetId,
    started_ms: Option<u64>,
    accepted: u64,
}

impl LeaderTasks {
    /// Brings engines to named versions until the process ends.
    pub async fn run_weight_rollout(self: Arc<Self>) {
        loop {
            // A named version is acted on at once.
            let mut views = self.context.view.clone();
            views.mark_unchanged();
            let _ = tokio::time::timeout(DUTY_PERIOD, views.changed()).await;
            let view = self.context.view();
            self.context.with_loads(|loads| lock(&self.noticed).apply_completed_loads(&view, loads, self.store_ms()));
            if self.fence().is_none() {
                lock(&self.pending).clear();
                lock(&self.accepted).clear();
                continue;
            }
            tokio::spawn(Arc::clone(&self).publish_loads());
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

    fn due_orders(&self, view: &FleetView, services: &ServiceMap) -> Vec<WeightLoadOrder> {
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

    async fn give_order(self: Arc<Self>, order: WeightLoadOrder, keeps_runs: bool) {
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
            self.note_load(&order);
        }
        let mut accepted = lock(&self.accepted);
        accepted.retain(|known| known.target != target.id);
        match answer {
            Some((EngineOrderOutcome::Accepted, before)) => accepted.push(AcceptedCount {
                target: target.id.clone(),
                started_ms: target.started_ms,
                accepted: before + 1,
            }),
            Some((EngineOrderOutcome::Holds, _)) => {}
            // An order without an answer is given again with the same count, so that at most one takes effect.
            _ => lock(&self.pending).retain(|known| known.target != target.id || known.model != order.model),
        }
    }

    /// Notes a load that began just now.
    fn note_load(&self, order: &WeightLoadOrder) {
        let load = WeightLoadNotice {
            target: order.target.id.clone(),
            started_ms: order.target.started_ms,
            model: order.model.clone(),
            version: order.version,
            done_ms: 0,
        };
        lock(&self.ordered).add(load, self.store_ms());
    }

    /// Tells all hosts of the loads that began since the last time.
    async fn publish_loads(self: Arc<Self>) {
        let rows = lock(&self.ordered).take_rows();
        if rows.is_empty() {
            return;
        }
        let writes = rows.iter().enumerate().map(|(number, loads)| RowContent {
            table: DUTY_TABLE,
            key: format!("{NOTICE_KEY}-{number}"),
            value: serde_json::to_vec(loads).unwrap_or_default(),
        });
        let transaction = PartitionTransaction { writes: writes.collect(), ..PartitionTransaction::default() };
        if let Err(fault) = (self.store.transact)(transaction).await {
            // Hosts then see the versions in the entries of the engines.
            log::info!(fault = fault.to_string(), rows = rows.len(); "load_notice_failed");
        }
    }

    async fn send_order(
        self: &Arc<Self>,
        order: &WeightLoadOrder,
        keeps_runs: bool,
    ) -> Option<(EngineOrderOutcome, u64)> {
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
        let answer = tokio::time::timeout(limit, sent).await.unwrap_or(EngineOrderOutcome::Unknown);
        Some((answer, accepted_before))
    }
}
