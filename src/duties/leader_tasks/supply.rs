//! Leader task that requests new targets in place of lost ones.

use crate::duties::leader_calls::ScalingRequest;
use crate::duties::leader_tasks::{LeaderTasks, SLOW_CHECK_INTERVAL, lock};
use crate::duties::supply_plan::{SUPPLY_TABLE, Shortage, TargetCount, plan_scaling};
use crate::fleet::fleet_view::{FleetView, TargetState};
use crate::fleet::service_map::ServiceMap;
use crate::prelude::*;
use crate::row_store::{PartitionTransaction, RowContent, TransactionResult, VersionCheck};

/// Delay after the start of the host before it counts the ready targets and compares them with the wanted counts. Also
/// the greatest age of a target list that it counts.
const SETTLE_DELAY: Duration = Duration::from_secs(3);

impl LeaderTasks {
    /// Requests replacements of targets that were lost for good, while this host holds the lease; runs until the
    /// process ends.
    pub async fn run_target_scaling(self: Arc<Self>) {
        let started_at = boot_time();
        let mut wanted: Option<Vec<TargetCount>> = None;
        let mut shortages: Vec<Shortage> = Vec::new();
        loop {
            tokio::time::sleep(SLOW_CHECK_INTERVAL).await;
            let now = boot_time();
            let view = self.context.view();
            let Some(services) = view.services.clone() else { continue };
            let is_settled = now.saturating_sub(started_at) >= SETTLE_DELAY;
            if self.fence().is_none() || !is_settled || now.saturating_sub(view.targets_read_at) > SETTLE_DELAY {
                wanted = None;
                shortages.clear();
                continue;
            }
            let ready = count_ready_targets(&view, &services);
            if wanted.is_none() {
                wanted = self.read_wanted_counts(&ready).await;
            }
            let Some(wanted) = &wanted else { continue };
            for target_count in plan_scaling(wanted, &ready, &mut shortages, now) {
                self.request_targets(target_count).await;
            }
        }
    }

    /// Returns the target counts to keep: those in the store, or when none are stored yet, the counts of the ready
    /// targets, which are then stored. `None` without ready targets, or when the store gave no readable result.
    async fn read_wanted_counts(&self, ready: &[TargetCount]) -> Option<Vec<TargetCount>> {
        if ready.is_empty() {
            return None;
        }
        let transaction = PartitionTransaction {
            checks: vec![VersionCheck { table: SUPPLY_TABLE, key: "levels".to_owned(), version: 0 }],
            writes: vec![RowContent {
                table: SUPPLY_TABLE,
                key: "levels".to_owned(),
                value: serde_json::to_vec(ready).unwrap_or_default(),
            }],
            ..PartitionTransaction::default()
        };
        match (self.store.transact)(transaction).await.ok()? {
            TransactionResult::Applied(_) => Some(ready.to_vec()),
            TransactionResult::Conflict(rows) => serde_json::from_slice(rows.first()?.value.as_deref()?).ok(),
        }
    }

    async fn request_targets(self: &Arc<Self>, target_count: TargetCount) {
        let Some((fence, _guard)) = self.begin_call() else { return };
        let timeout = lock(&self.lease).call_timeout();
        let holder = self.context.settings.host.clone();
        let sent = (self.calls.send_scaling_request)(ScalingRequest { level: target_count.clone(), holder, fence });
        let is_accepted = tokio::time::timeout(timeout, sent).await.unwrap_or(false);
        log::info!(
            service = target_count.service, domain = target_count.domain, count = target_count.count,
            fence = fence, accepted = is_accepted;
            "supply_order"
        );
    }
}

/// Counts the ready targets that are not on spot capacity (`is_cheap`), by service and failure domain, for the services
/// whose targets can be requested.
fn count_ready_targets(view: &FleetView, services: &ServiceMap) -> Vec<TargetCount> {
    let mut target_counts: Vec<TargetCount> = Vec::new();
    for target in view.targets.iter().filter(|target| target.state == TargetState::Ready && !target.is_cheap) {
        if services.service(&target.service).is_none_or(|rule| rule.supply.is_none()) {
            continue;
        }
        let known = target_counts
            .iter_mut()
            .find(|target_count| target_count.service == target.service && target_count.domain == target.domain);
        if let Some(target_count) = known {
            target_count.count += 1;
            continue;
        }
        target_counts.push(TargetCount { service: target.service.clone(), domain: target.domain.clone(), count: 1 });
    }
    target_counts
}
