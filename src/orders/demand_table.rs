//! Demand in a failure domain, summed up from the reports of the coordinators of its dispatch shards.
//!
//! Each coordinator reports the demand of its shards to the hosts that may own the target orders of the domain. A
//! report that is not repeated expires. A configured target that no report names is never stopped.

use std::sync::{Mutex, PoisonError};

use crate::control::{ControlHandle, ControlView};
use crate::generated::peer_messages::{PeerFrame, ShardDemand, TargetDemand};
use crate::generated::services_text::ServiceKind;
use crate::orders::order_keeper::orders_resource;
use crate::orders::order_plan::{DomainDemand, ServiceDemand, TargetUse};
use crate::peer::FrameSender;
use crate::prelude::*;
use crate::samples::host_rank::{RETAINING_RANKS, host_rank, live_domain_hosts};

/// Period in which a coordinator reports the demand of its shards.
pub const DEMAND_PERIOD: Duration = Duration::from_secs(5);

/// Time after which a report that was not repeated is ignored.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
struct ReceivedDemand {
    received_at: BootTime,
    demand: ShardDemand,
}

/// Latest demand report of each dispatch shard of the failure domain of this host.
#[derive(Debug, Default)]
pub struct DemandTable {
    received: Mutex<Vec<ReceivedDemand>>,
}

impl DemandTable {
    /// Records the report of a shard. It replaces the former one of the shard, also that of another coordinator.
    pub fn note(&self, demand: ShardDemand, now: BootTime) {
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.retain(|other| now.saturating_sub(other.received_at) < DEMAND_TIMEOUT);
        received.retain(|other| (&other.demand.service, other.demand.shard) != (&demand.service, demand.shard));
        received.push(ReceivedDemand { received_at: now, demand });
    }

    /// Sum of the reports that have not expired.
    #[must_use]
    pub fn demand(&self, view: &ControlView, now: BootTime) -> DomainDemand {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let mut demand = DomainDemand::default();
        for report in received.iter().filter(|report| now.saturating_sub(report.received_at) < DEMAND_TIMEOUT) {
            add_shard(&mut demand, &report.demand, view);
        }
        demand
    }
}

fn add_shard(demand: &mut DomainDemand, shard: &ShardDemand, view: &ControlView) {
    let running = shard.targets.iter().map(|target| target.running).sum::<u32>();
    if let Some(total) = demand.services.iter_mut().find(|total| total.service == shard.service) {
        total.queued += shard.queued;
        total.running += running;
    } else {
        let service = shard.service.clone();
        demand.services.push(ServiceDemand { service, queued: shard.queued, running });
    }
    let is_plain = view.configuration.service(&shard.service).is_none_or(|entry| entry.kind == ServiceKind::Plain);
    demand.targets.extend(shard.targets.iter().map(|target| build_target_use(target, is_plain)));
}

// Targets of plain services report no load, so they count as up.
fn build_target_use(target: &TargetDemand, is_plain: bool) -> TargetUse {
    TargetUse { target: target.target.clone(), running: target.running, is_up: is_plain || target.reported }
}

/// Sends demand reports of the shards that this host coordinates to the hosts that may own the target orders of its
/// failure domain. When this host is one of them, it records the reports in `table`.
pub fn send_demands(control: &ControlHandle, frames: &FrameSender, table: &DemandTable, demands: Vec<ShardDemand>) {
    let view = control.view();
    let hosts = live_domain_hosts(&view);
    let resource = orders_resource(&view.failure_domain);
    let candidates: Vec<&HostId> =
        hosts.iter().filter(|host| host_rank(&resource, host, &hosts) < RETAINING_RANKS).collect();
    for demand in demands {
        for candidate in &candidates {
            if **candidate == view.host {
                table.note(demand.clone(), boot_time());
            } else {
                frames(candidate, PeerFrame::ShardDemand(demand.clone()));
            }
        }
    }
}
