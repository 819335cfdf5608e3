//! Gives target orders for the own failure domain, as the owner of `orders/{domain}`.
//!
//! The intent row is written first, on condition of the resource row; then the absolute set is ordered with the epoch
//! under an id that is derived from the intent, and repeated under the same id until there is an answer. A new owner
//! waits [`ORDER_DEADLINE`] and then orders the intent that it found, so that an order of the owner before it cannot
//! come after its own ones.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use crate::control::{ControlEvent, ControlHandle, ControlView};
use crate::generated::platform_messages::{OrderAnswer, TargetOrder};
use crate::generated::services_text::TargetEntry;
use crate::orders::order_intent::{OrderIntent, OrderLease, read_intent, write_intent};
use crate::orders::order_plan::{DomainDemand, DrainingTarget, OrderInputs, OrderPlan};
use crate::prelude::*;
use crate::samples::host_rank::{RANKS_KEEPING, RANKS_WANTING, host_rank, live_domain_hosts};
use crate::store_client::store_access::StoreAccess;
use crate::store_client::{StoreCallError, StoreClient, http_agent};

/// Function that gives the demand in a failure domain.
pub type DemandSource = Arc<dyn Fn(&str) -> DomainDemand + Send + Sync>;

/// Function that gives an order before [`ORDER_DEADLINE`] has passed.
pub type OrderSender = Arc<dyn Fn(&TargetOrder) -> Result<OrderAnswer, StoreCallError> + Send + Sync>;

/// Function that takes a target out (`true`) or back in on all hosts.
pub type PlacementSetter = Arc<dyn Fn(&str, bool) -> Result<(), ResultCode> + Send + Sync>;

/// Period of the keeper.
const KEEPER_TICK: Duration = Duration::from_secs(1);

/// Time for which a target must be back in before it counts as such: a placement whose answer was lost may still take
/// it out.
const RETURN_SETTLE: Duration = Duration::from_mins(1);

/// What the keeper uses.
#[derive(Clone)]
pub struct OrderDependencies {
    /// Access to the control thread.
    pub control: ControlHandle,
    /// Store.
    pub store: StoreAccess,
    /// Demand.
    pub demand: DemandSource,
    /// Gives orders.
    pub orders: OrderSender,
    /// Takes targets out and back in.
    pub placements: PlacementSetter,
    /// Clock.
    pub clock: TimeSource,
}

/// State of an owner under one epoch.
struct OwnedOrders {
    claim: OrderLease,
    since: BootTime,
    plan: OrderPlan,
    /// Intent in the store.
    intent: OrderIntent,
    intent_version: u64,
    /// Whether the platform accepted the intent under this epoch.
    is_ordered: bool,
    /// Targets that run again after a drain, and since when they are back in.
    returned: Vec<DrainingTarget>,
    /// Whether the intent must be read again, since a write of it was not confirmed.
    is_uncertain: bool,
}

/// Keeper of the orders of one host's failure domain.
pub struct OrderKeeper {
    parts: OrderDependencies,
    is_wanted: bool,
    owned: Option<OwnedOrders>,
    /// Epoch under which the platform refused an order because it knows a newer one.
    refused_epoch: Option<LeaseEpoch>,
}

/// Sender of orders to the platform, with the deadline of an order.
#[must_use]
pub fn order_sender(platform_url: &str) -> OrderSender {
    let agent = http_agent(ORDER_DEADLINE, ORDER_DEADLINE);
    let client = StoreClient::with_agent(platform_url, agent);
    Arc::new(move |order| client.order_targets(order))
}

impl OrderKeeper {
    /// Keeper without orders.
    #[must_use]
    pub fn new(parts: OrderDependencies) -> Self {
        Self { parts, is_wanted: false, owned: None, refused_epoch: None }
    }

    /// Starts the thread; it ends after `stop` is set.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn start(mut self, stop: Arc<AtomicBool>) -> std::io::Result<JoinHandle<()>> {
        std::thread::Builder::new().name("order-keeper".to_owned()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                self.advance();
                std::thread::sleep(KEEPER_TICK);
            }
        })
    }

    /// Does what is due.
    pub fn advance(&mut self) {
        let view = self.parts.control.view();
        self.update_wish(&view);
        let now = (self.parts.clock)();
        let Some(claim) = claim_orders(&view, now) else {
            self.owned = None;
            return;
        };
        if self.refused_epoch == Some(claim.epoch) {
            return;
        }
        if self.owned.as_ref().is_none_or(|owned| owned.claim != claim) {
            self.owned = self.begin(&view, claim, now);
        }
        let Some(mut owned) = self.owned.take() else { return };
        if now.saturating_sub(owned.since) >= ORDER_DEADLINE {
            self.advance_owned(&view, &mut owned, now);
        }
        self.owned = Some(owned).filter(|owned| !owned.is_uncertain);
    }

    fn update_wish(&mut self, view: &ControlView) {
        let resource = orders_resource(&view.failure_domain);
        let rank = host_rank(&resource, &view.host, &live_domain_hosts(view));
        let has_targets = view.configuration.targets.iter().any(|target| target.failure_domain == view.failure_domain);
        let limit = if self.is_wanted { RANKS_KEEPING } else { RANKS_WANTING };
        let is_wanted = rank < limit && has_targets && !view.is_leaving;
        if is_wanted != self.is_wanted {
            self.is_wanted = is_wanted;
            let event = if is_wanted { ControlEvent::RequestResource } else { ControlEvent::ReleaseResource };
            self.parts.control.send(event(resource));
        }
    }

    /// Starts from the last intent. Without one, all targets of the domain are taken to run, so that none is stopped
    /// without a drain.
    fn begin(&self, view: &ControlView, claim: OrderLease, now: BootTime) -> Option<OwnedOrders> {
        let found = read_intent(&self.parts.store, &claim.failure_domain).ok()?;
        let all = || domain_targets(view).into_iter().map(|target| target.id).collect();
        let intent = found.intent.unwrap_or_else(|| OrderIntent { running: all(), ..OrderIntent::default() });
        let plan = OrderPlan::new(intent.running.clone(), &intent.draining, now);
        log::info!(failure_domain = claim.failure_domain.as_str(), epoch = claim.epoch; "orders_owned");
        Some(OwnedOrders {
            claim,
            since: now,
            plan,
            intent,
            intent_version: found.version,
            is_ordered: false,
            returned: Vec::new(),
            is_uncertain: false,
        })
    }

    fn advance_owned(&mut self, view: &ControlView, owned: &mut OwnedOrders, now: BootTime) {
        let targets = domain_targets(view);
        let held_out = held_out(view, &targets, &owned.intent.taken_out);
        let demand = (self.parts.demand)(&view.failure_domain);
        let services = &view.configuration.services;
        owned.plan.decide(&OrderInputs { targets: &targets, held_out: &held_out, services, demand: &demand, now });
        note_returned(view, owned, now);
        let intent = next_intent(owned, now);
        let is_changed = OrderIntent { number: owned.intent.number, ..intent.clone() } != owned.intent;
        // Nothing is ordered that no intent in the store names.
        if (is_changed || owned.intent_version == 0) && !self.store_intent(owned, intent) {
            return;
        }
        self.set_placements(view, owned);
        if !owned.is_ordered {
            self.send_order(view, owned);
        }
    }

    /// Writes a changed intent; returns whether it is in the store.
    fn store_intent(&self, owned: &mut OwnedOrders, intent: OrderIntent) -> bool {
        let Ok(version) = write_intent(&self.parts.store, &owned.claim, &intent, owned.intent_version) else {
            owned.is_uncertain = true;
            return false;
        };
        let is_order_due = intent.running != owned.intent.running;
        owned.intent = intent;
        owned.intent_version = version;
        owned.is_ordered = owned.is_ordered && !is_order_due;
        true
    }

    /// Takes draining targets out, and those back in that run again after a drain.
    fn set_placements(&self, view: &ControlView, owned: &OwnedOrders) {
        let intent = &owned.intent;
        for target in &intent.taken_out {
            let is_out = view.configuration.out_targets.binary_search(target).is_ok();
            let shall_be_out = intent.draining.contains(target) || !intent.running.contains(target);
            if is_out != shall_be_out
                && let Err(code) = (self.parts.placements)(target, shall_be_out)
            {
                log::warn!(target_id = target.as_str(), code = code.number(); "target_placement_failed");
            }
        }
    }

    fn send_order(&mut self, view: &ControlView, owned: &mut OwnedOrders) {
        let claim = &owned.claim;
        let order = TargetOrder {
            order_id: format!("{}-{}-{}", claim.failure_domain, claim.epoch, owned.intent.number),
            failure_domain: claim.failure_domain.clone(),
            epoch: claim.epoch,
            host: view.host.clone(),
            running: owned.intent.running.clone(),
        };
        // Checked as late as possible; the order's deadline then ends inside the lease.
        if claim_orders(&self.parts.control.view(), (self.parts.clock)()).as_ref() != Some(claim) {
            return;
        }
        match (self.parts.orders)(&order) {
            Ok(answer) if answer.accepted => owned.is_ordered = true,
            Ok(answer) => {
                log::warn!(epoch = claim.epoch, highest_epoch = answer.highest_epoch; "target_order_refused");
                self.refused_epoch = Some(claim.epoch);
            }
            Err(fault) => {
                let fault = fault.to_string();
                log::warn!(order_id = order.order_id.as_str(), fault = fault.as_str(); "target_order_unanswered");
            }
        }
    }
}

fn claim_orders(view: &ControlView, now: BootTime) -> Option<OrderLease> {
    let owned = view.owned_resource(&orders_resource(&view.failure_domain), now)?;
    let failure_domain = view.failure_domain.clone();
    Some(OrderLease { failure_domain, epoch: owned.epoch, row_version: owned.row_version })
}

/// Name of the resource whose owner orders the targets of a failure domain.
#[must_use]
pub fn orders_resource(failure_domain: &str) -> String {
    format!("orders/{failure_domain}")
}

fn domain_targets(view: &ControlView) -> Vec<TargetEntry> {
    let targets = view.configuration.targets.iter().filter(|target| target.failure_domain == view.failure_domain);
    targets.cloned().collect()
}

/// Targets that an operator took out: out, and not by a drain of this keeper.
fn held_out(view: &ControlView, targets: &[TargetEntry], drained: &[TargetId]) -> Vec<TargetId> {
    let out = targets.iter().filter(|target| !view.configuration.is_in_rotation(target));
    out.map(|target| target.id.clone()).filter(|target| !drained.contains(target)).collect()
}

/// Notes which targets run again after a drain and are back in on this host's view.
fn note_returned(view: &ControlView, owned: &mut OwnedOrders, now: BootTime) {
    let is_back = |target: &TargetId| {
        let is_in_rotation = view.configuration.out_targets.binary_search(target).is_err();
        let is_draining = owned.plan.draining().iter().any(|draining| draining.target == *target);
        is_in_rotation && !is_draining && owned.plan.running().contains(target)
    };
    let back: Vec<TargetId> = owned.intent.taken_out.iter().filter(|target| is_back(target)).cloned().collect();
    owned.returned.retain(|returned| back.contains(&returned.target));
    for target in back {
        if !owned.returned.iter().any(|returned| returned.target == target) {
            owned.returned.push(DrainingTarget { target, since: now });
        }
    }
}

fn next_intent(owned: &OwnedOrders, now: BootTime) -> OrderIntent {
    let running = owned.plan.running().to_vec();
    let draining: Vec<TargetId> = owned.plan.draining().iter().map(|draining| draining.target.clone()).collect();
    let is_settled = |target: &TargetId| {
        let is_old = |returned: &DrainingTarget| now.saturating_sub(returned.since) >= RETURN_SETTLE;
        owned.returned.iter().any(|returned| returned.target == *target && is_old(returned))
    };
    let mut taken_out: Vec<TargetId> =
        owned.intent.taken_out.iter().filter(|target| !is_settled(target)).cloned().collect();
    taken_out.extend(draining.iter().cloned());
    taken_out.sort_unstable();
    taken_out.dedup();
    OrderIntent { number: owned.intent.number + 1, running, draining, taken_out }
}
