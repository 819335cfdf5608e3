//! Orders for targets, while this host holds the lease.

use crate::duties::leader_calls::ScalingRequest;
use crate::duties::leader_tasks::{LeaderTasks, SLOW_PERIOD, lock};
use crate::duties::supply_plan::{SUPPLY_TABLE, Shortage, TargetCount, plan_supply};
use crate::fleet::fleet_view::{FleetView, TargetState};
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::{PartitionTransaction, RowContent, TransactionResult, VersionCheck};

/// Time after the start of a host at which the number of targets is taken for the one to keep.
const SUPPLY_SETTLE: Duration = Duration::from_secs(3);

impl LeaderTasks {
    /// Replaces targets that were lost for good, while this host holds the lease.
    pub async fn run_target_scaling(self: Arc<Self>) {
        let started_at = boot_time();
        let mut wanted: Option<Vec<TargetCount>> = None;
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
    async fn read_supply(&self, listed: &[TargetCount]) -> Option<Vec<TargetCount>> {
        if listed.is_empty() {
            return None;
        }
        let transaction = PartitionTransaction {
            checks: vec![VersionCheck { table: SUPPLY_TABLE, key: "levels".to_owned(), version: 0 }],
            writes: vec![RowContent {
                table: SUPPLY_TABLE,
                key: "levels".to_owned(),
                value: serde_json::to_vec(listed).unwrap_or_default(),
            }],
            ..PartitionTransaction::default()
        };
        match (self.store.transact)(transaction).await.ok()? {
            TransactionResult::Applied(_) => Some(listed.to_vec()),
            TransactionResult::Conflict(rows) => serde_json::from_slice(rows.first()?.value.as_deref()?).ok(),
        }
    }

    async fn order_supply(self: &Arc<Self>, level: TargetCount) {
        let Some((fence, _guard)) = self.begin_act() else { return };
        let limit = lock(&self.lease).call_limit();
        let holder = self.context.settings.host.clone();
        let sent = (self.calls.send_scaling_request)(ScalingRequest { level: level.clone(), holder, fence });
        let is_accepted = tokio::time::timeout(limit, sent).await.unwrap_or(false);
        log::info!(
            service = level.service, domain = level.domain, count = level.count, fence = fence, accepted = is_accepted;
            "supply_order"
        );
    }
}

/// Targets that are listed, for each service whose number can be ordered.
fn listed_levels(view: &FleetView, services: &ServiceMap) -> Vec<TargetCount> {
    let mut levels: Vec<TargetCount> = Vec::new();
    for target in view.targets.iter().filter(|target| target.state == TargetState::Ready && !target.is_cheap) {
        if services.service(&target.service).is_none_or(|rule| rule.supply.is_none()) {
            continue;
        }
        let known = levels.iter_mut().find(|level| level.service == target.service && level.domain == target.domain);
        if let Some(level) = known {
            level.count += 1;
            continue;
        }
        levels.push(TargetCount { service: target.service.clone(), domain: target.domain.clone(), count: 1 });
    }
    levels
}
