//! Demand of a failure domain, put together from the figures of the shards' homes.
//!
//! Each home sends its figures to the hosts that may own the domain's target orders. Figures that are not repeated
//! expire, and targets without figures are never stopped.

use std::sync::{Mutex, PoisonError};

use crate::control::{ControlHandle, ControlView};
use crate::generated::peer_messages::{PeerFrame, ShardDemand, TargetDemand};
use crate::generated::services_text::ServiceKind;
use crate::orders::order_keeper::orders_resource;
use crate::orders::order_plan::{DomainDemand, ServiceDemand, TargetUse};
use crate::peer::FrameSender;
use crate::prelude::*;
use crate::samples::host_rank::{RANKS_KEEPING, host_rank, live_domain_hosts};

/// Period in which homes send their figures.
pub const DEMAND_PERIOD: Duration = Duration::from_secs(5);

/// Time after which figures that were not repeated are dropped.
const DEMAND_EXPIRY: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
struct HeldDemand {
    heard_at: BootTime,
    demand: ShardDemand,
}

/// Figures of the own failure domain.
#[derive(Debug, Default)]
pub struct DemandTable {
    held: Mutex<Vec<HeldDemand>>,
}

impl DemandTable {
    /// Takes the figures of a shard; those of a former home are replaced.
    pub fn note(&self, demand: ShardDemand, now: BootTime) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.retain(|known| now.saturating_sub(known.heard_at) < DEMAND_EXPIRY);
        held.retain(|known| (&known.demand.service, known.demand.shard) != (&demand.service, demand.shard));
        held.push(HeldDemand { heard_at: now, demand });
    }

    /// Demand as far as it is known.
    #[must_use]
    pub fn demand(&self, view: &ControlView, now: BootTime) -> DomainDemand {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let mut demand = DomainDemand::default();
        for known in held.iter().filter(|known| now.saturating_sub(known.heard_at) < DEMAND_EXPIRY) {
            add_shard(&mut demand, &known.demand, view);
        }
        demand
    }
}

fn add_shard(demand: &mut DomainDemand, shard: &ShardDemand, view: &ControlView) {
    let running = shard.targets.iter().map(|target| target.running).sum::<u32>();
    if let Some(known) = demand.services.iter_mut().find(|known| known.service == shard.service) {
        known.queued += shard.queued;
        known.running += running;
    } else {
        let service = shard.service.clone();
        demand.services.push(ServiceDemand { service, queued: shard.queued, running });
    }
    let is_plain = view.configuration.service(&shard.service).is_none_or(|entry| entry.kind == ServiceKind::Plain);
    demand.targets.extend(shard.targets.iter().map(|target| target_use(target, is_plain)));
}

// Plain services report no load, so their targets count as up.
fn target_use(target: &TargetDemand, is_plain: bool) -> TargetUse {
    TargetUse { target: target.target.clone(), running: target.running, is_up: is_plain || target.reported }
}

/// Sends figures to the hosts that may own the domain's orders, and notes them here when this host is one of them.
pub fn send_demands(control: &ControlHandle, frames: &FrameSender, board: &DemandTable, demands: Vec<ShardDemand>) {
    let view = control.view();
    let hosts = live_domain_hosts(&view);
    let resource = orders_resource(&view.failure_domain);
    let owners: Vec<&HostId> = hosts.iter().filter(|host| host_rank(&resource, host, &hosts) < RANKS_KEEPING).collect();
    for demand in demands {
        for owner in &owners {
            if **owner == view.host {
                board.note(demand.clone(), boot_time());
            } else {
                frames(owner, PeerFrame::ShardDemand(demand.clone()));
            }
        }
    }
}
