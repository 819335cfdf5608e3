//! Plans which targets of a failure domain shall run, from demand and cost.
//!
//! The plan names all targets that shall run, not changes. Capacity is added at once, cheapest first. It is taken away
//! only after [`SURPLUS_DELAY`] of surplus, and a target is drained before it is stopped. A service that has targets of
//! the firm tier in rotation always keeps one of these, since targets of the cheap tier may all disappear at a few
//! seconds' notice.

use crate::generated::services_text::{ServiceEntry, ServiceKind, TargetEntry, TargetTier};
use crate::prelude::*;

/// Time for which a demand is remembered; capacity follows the highest remembered demand.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(30);

/// Time for which a service must have surplus targets before one is drained.
pub const SURPLUS_DELAY: Duration = Duration::from_mins(1);

/// Time within which all hosts shall have applied a change that takes a target out of rotation. A draining target is
/// not stopped earlier.
pub const DRAIN_DELAY: Duration = Duration::from_secs(11);

/// Time after which an ordered target that has not come up counts as unavailable, and others are ordered in its place.
pub const START_TIMEOUT: Duration = Duration::from_mins(1);

/// Capacity in percent of the demand, for engine services with a service-level objective.
const OBJECTIVE_CAPACITY_PERCENT: u64 = 130;

/// Capacity in percent of the demand, for other engine services.
const DEFAULT_CAPACITY_PERCENT: u64 = 110;

/// At most the running targets of a service divided by this may drain at a time, rounded down, but at least one.
const DRAIN_DIVISOR: usize = 4;

/// Demand of a service in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceDemand {
    /// Service name.
    pub service: ServiceId,
    /// Number of requests that wait for a permit.
    pub queued: u32,
    /// Number of requests that run.
    pub running: u32,
}

/// Use of one target, as its coordinator reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetUse {
    /// Target id.
    pub target: TargetId,
    /// Number of requests that run on the target.
    pub running: u32,
    /// Whether the target has reported its load lately; always true for plain services.
    pub is_up: bool,
}

/// Demand in a failure domain, as far as reports of it have come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainDemand {
    /// Demand of each service with a report.
    pub services: Vec<ServiceDemand>,
    /// Use of each target with a report. A configured target without one is never stopped.
    pub targets: Vec<TargetUse>,
}

/// A target with the time since which it is in some state, such as draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedTarget {
    /// Target id.
    pub target: TargetId,
    /// Time at which the state began for the owner of the orders; a new owner starts over.
    pub since: BootTime,
}

/// Inputs of one update of an [`OrderPlan`].
#[derive(Debug, Clone, Copy)]
pub struct OrderInputs<'a> {
    /// All targets of the failure domain in the configuration.
    pub targets: &'a [TargetEntry],
    /// Targets that an operator took out of rotation. Those of engine services are neither started nor newly drained.
    pub operator_out: &'a [TargetId],
    /// All services in the configuration.
    pub services: &'a [ServiceEntry],
    /// Demand in the failure domain; gaps in it keep targets from being drained.
    pub demand: &'a DomainDemand,
    /// Time of the update; never earlier than that of the one before.
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
struct PendingTarget {
    target: TargetId,
    since: BootTime,
}

/// Plan of the targets that shall run in one failure domain.
#[derive(Debug, Clone, Default)]
pub struct OrderPlan {
    running: Vec<TargetId>,
    draining: Vec<TimedTarget>,
    samples: Vec<DemandSample>,
    surplus: Vec<ServiceSurplus>,
    /// Running targets that have not come up since their start, or went down.
    pending: Vec<PendingTarget>,
}

impl OrderPlan {
    /// Creates a plan from the sets of the latest intent. All drains begin anew at `now`.
    #[must_use]
    pub fn new(mut running: Vec<TargetId>, draining: &[TargetId], now: BootTime) -> Self {
        running.sort_unstable();
        let drain = |target: &TargetId| TimedTarget { target: target.clone(), since: now };
        Self { running, draining: draining.iter().map(drain).collect(), ..Self::default() }
    }

    /// Targets that shall run, sorted.
    #[must_use]
    pub fn running(&self) -> &[TargetId] {
        &self.running
    }

    /// Targets that are draining. They are also in [`OrderPlan::running`] until they are stopped.
    #[must_use]
    pub fn draining(&self) -> &[TimedTarget] {
        &self.draining
    }

    /// Updates the running and draining targets: stops what has drained, starts what the demand needs, drains a lasting
    /// surplus. Targets that are not in the configuration any more are dropped.
    pub fn update(&mut self, inputs: &OrderInputs<'_>) {
        self.record_demand(inputs);
        self.update_pending(inputs);
        let is_known = |target: &TargetId| inputs.targets.iter().any(|entry| entry.id == *target);
        self.running.retain(is_known);
        self.draining.retain(|draining| is_known(&draining.target));
        self.stop_drained(inputs);
        for service in inputs.services {
            let targets: Vec<&TargetEntry> =
                inputs.targets.iter().filter(|target| target.service == service.name).collect();
            match service.kind {
                ServiceKind::Plain => targets.iter().for_each(|target| self.start_target(&target.id, inputs.now)),
                ServiceKind::Engine => self.update_service(service, &targets, inputs),
            }
        }
    }

    fn update_service(&mut self, service: &ServiceEntry, targets: &[&TargetEntry], inputs: &OrderInputs<'_>) {
        let usable: Vec<&TargetEntry> =
            targets.iter().copied().filter(|target| !inputs.operator_out.contains(&target.id)).collect();
        let wanted = self.choose_targets(service, &usable, inputs);
        for target in &wanted {
            self.start_target(target, inputs.now);
        }
        self.draining.retain(|draining| !wanted.contains(&draining.target));
        let surplus: Vec<&TargetEntry> = usable
            .iter()
            .copied()
            .filter(|target| !wanted.contains(&target.id) && self.is_running(&target.id))
            .filter(|target| !self.is_draining(&target.id))
            .filter(|_| self.is_use_known(&usable, inputs))
            .collect();
        let should_drain = self.update_surplus(&service.name, surplus.is_empty(), inputs.now);
        if should_drain {
            self.drain_surplus(&usable, surplus, inputs.now);
        }
    }

    /// Whether the reports cover all running targets of a service that no operator took out. With gaps, for example
    /// after a coordinator died, they show less demand than there is, and no target may be drained because of them.
    fn is_use_known(&self, usable: &[&TargetEntry], inputs: &OrderInputs<'_>) -> bool {
        let is_known = |target: &str| inputs.demand.targets.iter().any(|target_use| target_use.target == target);
        usable.iter().all(|target| !self.is_running(&target.id) || is_known(&target.id))
    }

    /// Chooses the targets that shall run for a service: the firm target with the lowest price of a slot, then the
    /// others by this price, until the capacity is enough. Of equal prices, running targets come first.
    fn choose_targets(
        &self,
        service: &ServiceEntry,
        usable: &[&TargetEntry],
        inputs: &OrderInputs<'_>,
    ) -> Vec<TargetId> {
        let needed = self.needed_slots(service);
        let mut order: Vec<&TargetEntry> = usable.to_vec();
        order.sort_by(|left, right| {
            let price = slot_price(left).total_cmp(&slot_price(right));
            let preference = self.is_running(&right.id).cmp(&self.is_running(&left.id));
            price.then(preference).then(left.id.cmp(&right.id))
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
            // An unavailable target stays ordered, but its slots do not count, so that others are ordered too.
            if !self.is_unavailable(&target.id, inputs.now) {
                slots += u64::from(target.slots);
            }
        }
        wanted
    }

    fn needed_slots(&self, service: &ServiceEntry) -> u64 {
        let samples = self.samples.iter().filter(|sample| sample.service == service.name);
        let peak = samples.map(|sample| sample.requests).max().unwrap_or_default();
        let percent = if service.objective.is_some() { OBJECTIVE_CAPACITY_PERCENT } else { DEFAULT_CAPACITY_PERCENT };
        (peak * percent).div_ceil(100).max(1)
    }

    fn record_demand(&mut self, inputs: &OrderInputs<'_>) {
        for demand in &inputs.demand.services {
            let requests = u64::from(demand.queued) + u64::from(demand.running);
            self.samples.push(DemandSample { service: demand.service.clone(), at: inputs.now, requests });
        }
        self.samples.retain(|sample| inputs.now.saturating_sub(sample.at) <= DEMAND_WINDOW);
    }

    /// Removes targets that came up, and adds running targets that are down. Their time to come up begins now.
    fn update_pending(&mut self, inputs: &OrderInputs<'_>) {
        let is_up = |target: &str| {
            inputs.demand.targets.iter().any(|target_use| target_use.target == target && target_use.is_up)
        };
        self.pending.retain(|pending| !is_up(&pending.target));
        for target_use in inputs.demand.targets.iter().filter(|target_use| !target_use.is_up) {
            let is_recorded = self.pending.iter().any(|pending| pending.target == target_use.target);
            if !is_recorded && self.is_running(&target_use.target) {
                self.pending.push(PendingTarget { target: target_use.target.clone(), since: inputs.now });
            }
        }
    }

    fn is_unavailable(&self, target: &str, now: BootTime) -> bool {
        let is_late = |pending: &PendingTarget| now.saturating_sub(pending.since) >= START_TIMEOUT;
        self.pending.iter().any(|pending| pending.target == target && is_late(pending))
    }

    /// Stops targets that have drained for [`DRAIN_DELAY`] and are idle or down, according to the reports.
    fn stop_drained(&mut self, inputs: &OrderInputs<'_>) {
        let is_idle = |target: &str| {
            inputs
                .demand
                .targets
                .iter()
                .any(|target_use| target_use.target == target && (target_use.running == 0 || !target_use.is_up))
        };
        let is_done = |draining: &TimedTarget| {
            inputs.now.saturating_sub(draining.since) >= DRAIN_DELAY && is_idle(&draining.target)
        };
        let done: Vec<TargetId> =
            self.draining.iter().filter(|draining| is_done(draining)).map(|draining| draining.target.clone()).collect();
        self.running.retain(|target| !done.contains(target));
        self.draining.retain(|draining| !done.contains(&draining.target));
        self.pending.retain(|pending| !done.contains(&pending.target));
    }

    /// Records the beginning or end of a surplus of a service; returns whether one has lasted for [`SURPLUS_DELAY`].
    fn update_surplus(&mut self, service: &str, has_ended: bool, now: BootTime) -> bool {
        let position = self.surplus.iter().position(|surplus| surplus.service == service);
        match (position, has_ended) {
            (Some(position), true) => {
                self.surplus.remove(position);
                false
            }
            (None, false) => {
                self.surplus.push(ServiceSurplus { service: service.to_owned(), since: now });
                false
            }
            (Some(position), false) => now.saturating_sub(self.surplus[position].since) >= SURPLUS_DELAY,
            (None, true) => false,
        }
    }

    /// Starts to drain surplus targets of a service, those with the highest price of a slot first, as many as
    /// [`DRAIN_DIVISOR`] allows.
    fn drain_surplus(&mut self, usable: &[&TargetEntry], mut surplus: Vec<&TargetEntry>, now: BootTime) {
        let running = usable.iter().filter(|target| self.is_running(&target.id)).count();
        let draining = usable.iter().filter(|target| self.is_draining(&target.id)).count();
        let allowed = (running / DRAIN_DIVISOR).max(1).saturating_sub(draining);
        surplus.sort_by(|left, right| slot_price(right).total_cmp(&slot_price(left)).then(left.id.cmp(&right.id)));
        for target in surplus.into_iter().take(allowed) {
            self.draining.push(TimedTarget { target: target.id.clone(), since: now });
        }
    }

    fn start_target(&mut self, target: &str, now: BootTime) {
        if let Err(position) = self.running.binary_search_by(|other| other.as_str().cmp(target)) {
            self.running.insert(position, target.to_owned());
            self.pending.push(PendingTarget { target: target.to_owned(), since: now });
        }
    }

    fn is_running(&self, target: &str) -> bool {
        self.running.binary_search_by(|other| other.as_str().cmp(target)).is_ok()
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
