//! Which targets of a failure domain shall run, from demand and cost.
//!
//! The plan is absolute: it names all targets that shall run. Capacity is added at once, cheapest first, and taken away
//! only after [`SURPLUS_HOLD`] of surplus, and only from targets that were drained first. A service keeps one firm
//! target when it has any, since cheap ones may all disappear at a few seconds' notice.

use crate::generated::services_text::{ServiceEntry, ServiceKind, TargetEntry, TargetTier};
use crate::prelude::*;

/// Time over which the highest demand counts.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(30);

/// Time for which there must be a surplus before a target is drained.
pub const SURPLUS_HOLD: Duration = Duration::from_mins(1);

/// Time after which a placement is in force on all hosts.
pub const DRAIN_SETTLE: Duration = Duration::from_secs(11);

/// Time after which a target that was ordered and does not come up counts as unavailable.
pub const START_LIMIT: Duration = Duration::from_mins(1);

/// Capacity in hundredths of the demand for services with an objective.
const OBJECTIVE_CAPACITY: u64 = 130;

/// Capacity in hundredths of the demand for other services.
const PLAIN_CAPACITY: u64 = 110;

/// One in this many running targets of a service is drained at one time.
const DRAIN_SHARE: usize = 4;

/// Demand of a service in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDemand {
    /// Service.
    pub service: ServiceId,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
}

/// Use of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetUse {
    /// Target.
    pub target: TargetId,
    /// Requests that run on it.
    pub running: u32,
    /// Whether it answers.
    pub is_up: bool,
}

/// Demand in a failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainDemand {
    /// Services.
    pub services: Vec<ServiceDemand>,
    /// Targets, as far as they are known. One that is not known is never stopped.
    pub targets: Vec<TargetUse>,
}

/// A target that gets no new work and shall stop when it is idle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainingTarget {
    /// Target.
    pub target: TargetId,
    /// Since when.
    pub since: BootTime,
}

/// What one decision is made from.
#[derive(Debug, Clone, Copy)]
pub struct OrderInputs<'a> {
    /// Targets of the failure domain.
    pub targets: &'a [TargetEntry],
    /// Targets that an operator took out; they are left as they are.
    pub held_out: &'a [TargetId],
    /// Services.
    pub services: &'a [ServiceEntry],
    /// Demand.
    pub demand: &'a DomainDemand,
    /// Time.
    pub now: BootTime,
}

#[derive(Debug, Clone)]
struct DemandSample {
    service: ServiceId,
    at: BootTime,
    requests: u64,
}

#[derive(Debug, Clone)]
struct ServiceSurplus {
    service: ServiceId,
    since: BootTime,
}

#[derive(Debug, Clone)]
struct StartedTarget {
    target: TargetId,
    since: BootTime,
}

/// Plan for the targets of one failure domain.
#[derive(Debug, Clone, Default)]
pub struct OrderPlan {
    running: Vec<TargetId>,
    draining: Vec<DrainingTarget>,
    samples: Vec<DemandSample>,
    surplus: Vec<ServiceSurplus>,
    started: Vec<StartedTarget>,
}

impl OrderPlan {
    /// Plan that goes on from the sets of the last intent.
    #[must_use]
    pub fn new(mut running: Vec<TargetId>, draining: &[TargetId], now: BootTime) -> Self {
        running.sort_unstable();
        let drain = |target: &TargetId| DrainingTarget { target: target.clone(), since: now };
        Self { running, draining: draining.iter().map(drain).collect(), ..Self::default() }
    }

    /// Targets that shall run, sorted.
    #[must_use]
    pub fn running(&self) -> &[TargetId] {
        &self.running
    }

    /// Targets that are drained; they run until they are idle.
    #[must_use]
    pub fn draining(&self) -> &[DrainingTarget] {
        &self.draining
    }

    /// Decides anew.
    pub fn decide(&mut self, inputs: &OrderInputs<'_>) {
        self.note_demand(inputs);
        self.note_started(inputs);
        let is_known = |target: &TargetId| inputs.targets.iter().any(|entry| entry.id == *target);
        self.running.retain(is_known);
        self.draining.retain(|draining| is_known(&draining.target));
        self.stop_drained(inputs);
        for service in inputs.services {
            let targets: Vec<&TargetEntry> =
                inputs.targets.iter().filter(|target| target.service == service.name).collect();
            match service.kind {
                ServiceKind::Plain => targets.iter().for_each(|target| self.start(&target.id, inputs.now)),
                ServiceKind::Engine => self.decide_service(service, &targets, inputs),
            }
        }
    }

    fn decide_service(&mut self, service: &ServiceEntry, targets: &[&TargetEntry], inputs: &OrderInputs<'_>) {
        let usable: Vec<&TargetEntry> =
            targets.iter().copied().filter(|target| !inputs.held_out.contains(&target.id)).collect();
        let wanted = self.wanted_targets(service, &usable, inputs);
        for target in &wanted {
            self.start(target, inputs.now);
        }
        self.draining.retain(|draining| !wanted.contains(&draining.target));
        let surplus: Vec<&TargetEntry> = usable
            .iter()
            .copied()
            .filter(|target| !wanted.contains(&target.id) && self.is_running(&target.id))
            .filter(|target| !self.is_draining(&target.id))
            .filter(|_| self.is_use_known(&usable, inputs))
            .collect();
        let is_held = self.hold_surplus(&service.name, surplus.is_empty(), inputs.now);
        if is_held {
            self.drain_some(&usable, surplus, inputs.now);
        }
    }

    /// Whether the figures cover all running targets of a service. Figures with gaps, such as after a home has died,
    /// show less demand than there is, and nothing may be taken away on their ground.
    fn is_use_known(&self, usable: &[&TargetEntry], inputs: &OrderInputs<'_>) -> bool {
        let is_known = |target: &str| inputs.demand.targets.iter().any(|known| known.target == target);
        usable.iter().all(|target| !self.is_running(&target.id) || is_known(&target.id))
    }

    /// Targets that shall run for a service: one firm target first, then by price of a slot until the capacity is
    /// enough. Of equal prices those that run stay.
    fn wanted_targets(
        &self,
        service: &ServiceEntry,
        usable: &[&TargetEntry],
        inputs: &OrderInputs<'_>,
    ) -> Vec<TargetId> {
        let needed = self.needed_slots(service);
        let mut order: Vec<&TargetEntry> = usable.to_vec();
        order.sort_by(|left, right| {
            let price = slot_price(left).total_cmp(&slot_price(right));
            let stays = self.is_running(&right.id).cmp(&self.is_running(&left.id));
            price.then(stays).then(left.id.cmp(&right.id))
        });
        if let Some(position) = order.iter().position(|target| is_firm(target)) {
            let firm = order.remove(position);
            order.insert(0, firm);
        }
        let mut wanted = Vec::new();
        let mut slots = 0;
        for target in order {
            if slots >= needed {
                break;
            }
            wanted.push(target.id.clone());
            // A target that does not come up stays ordered, and others are ordered in its place.
            if !self.is_unavailable(&target.id, inputs.now) {
                slots += u64::from(target.slots);
            }
        }
        wanted
    }

    fn needed_slots(&self, service: &ServiceEntry) -> u64 {
        let samples = self.samples.iter().filter(|sample| sample.service == service.name);
        let peak = samples.map(|sample| sample.requests).max().unwrap_or_default();
        let hundredths = if service.objective.is_some() { OBJECTIVE_CAPACITY } else { PLAIN_CAPACITY };
        (peak * hundredths).div_ceil(100).max(1)
    }

    fn note_demand(&mut self, inputs: &OrderInputs<'_>) {
        for demand in &inputs.demand.services {
            let requests = u64::from(demand.queued) + u64::from(demand.running);
            self.samples.push(DemandSample { service: demand.service.clone(), at: inputs.now, requests });
        }
        self.samples.retain(|sample| inputs.now.saturating_sub(sample.at) <= DEMAND_WINDOW);
    }

    /// Forgets the start of targets that came up.
    fn note_started(&mut self, inputs: &OrderInputs<'_>) {
        let is_up = |target: &str| inputs.demand.targets.iter().any(|known| known.target == target && known.is_up);
        self.started.retain(|started| !is_up(&started.target));
        for known in inputs.demand.targets.iter().filter(|known| !known.is_up) {
            let is_noted = self.started.iter().any(|started| started.target == known.target);
            if !is_noted && self.is_running(&known.target) {
                self.started.push(StartedTarget { target: known.target.clone(), since: inputs.now });
            }
        }
    }

    fn is_unavailable(&self, target: &str, now: BootTime) -> bool {
        let is_late = |started: &StartedTarget| now.saturating_sub(started.since) >= START_LIMIT;
        self.started.iter().any(|started| started.target == target && is_late(started))
    }

    /// Stops targets that were drained for long enough and are known to be idle.
    fn stop_drained(&mut self, inputs: &OrderInputs<'_>) {
        let is_idle = |target: &str| {
            inputs.demand.targets.iter().any(|known| known.target == target && (known.running == 0 || !known.is_up))
        };
        let is_done = |draining: &DrainingTarget| {
            inputs.now.saturating_sub(draining.since) >= DRAIN_SETTLE && is_idle(&draining.target)
        };
        let done: Vec<TargetId> =
            self.draining.iter().filter(|draining| is_done(draining)).map(|draining| draining.target.clone()).collect();
        self.running.retain(|target| !done.contains(target));
        self.draining.retain(|draining| !done.contains(&draining.target));
        self.started.retain(|started| !done.contains(&started.target));
    }

    /// Whether the surplus of a service has lasted for long enough.
    fn hold_surplus(&mut self, service: &str, is_none: bool, now: BootTime) -> bool {
        let position = self.surplus.iter().position(|surplus| surplus.service == service);
        match (position, is_none) {
            (Some(position), true) => {
                self.surplus.remove(position);
                false
            }
            (None, false) => {
                self.surplus.push(ServiceSurplus { service: service.to_owned(), since: now });
                false
            }
            (Some(position), false) => now.saturating_sub(self.surplus[position].since) >= SURPLUS_HOLD,
            (None, true) => false,
        }
    }

    /// Drains the dearest surplus targets of a service, a few at a time.
    fn drain_some(&mut self, usable: &[&TargetEntry], mut surplus: Vec<&TargetEntry>, now: BootTime) {
        let running = usable.iter().filter(|target| self.is_running(&target.id)).count();
        let draining = usable.iter().filter(|target| self.is_draining(&target.id)).count();
        let allowed = (running / DRAIN_SHARE).max(1).saturating_sub(draining);
        surplus.sort_by(|left, right| slot_price(right).total_cmp(&slot_price(left)).then(left.id.cmp(&right.id)));
        for target in surplus.into_iter().take(allowed) {
            self.draining.push(DrainingTarget { target: target.id.clone(), since: now });
        }
    }

    fn start(&mut self, target: &str, now: BootTime) {
        if let Err(position) = self.running.binary_search_by(|known| known.as_str().cmp(target)) {
            self.running.insert(position, target.to_owned());
            self.started.push(StartedTarget { target: target.to_owned(), since: now });
        }
    }

    fn is_running(&self, target: &str) -> bool {
        self.running.binary_search_by(|known| known.as_str().cmp(target)).is_ok()
    }

    fn is_draining(&self, target: &str) -> bool {
        self.draining.iter().any(|draining| draining.target == target)
    }
}

fn is_firm(target: &TargetEntry) -> bool {
    target.tier != Some(TargetTier::Cheap)
}

fn slot_price(target: &TargetEntry) -> f64 {
    target.price_per_hour / f64::from(target.slots.max(1))
}
