//! Sends target orders for the failure domain of this host, as the owner of the resource `orders/{domain}`.
//!
//! The owner first writes the order intent, on condition that the resource row is unchanged. It then orders the
//! complete set of targets, with the epoch and an id derived from the intent, and repeats the order under this id until
//! it is answered. A new owner waits for [`ORDER_DEADLINE`] before its first order, so that no order of the previous
//! owner arrives after it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use crate::control::{ControlEvent, ControlHandle, ControlView};
use crate::generated::platform_messages::{OrderAnswer, TargetOrder};
use crate::generated::services_text::TargetEntry;
use crate::orders::order_intent::{OrderIntent, OrderLease, read_intent, write_intent};
use crate::orders::order_plan::{DomainDemand, OrderInputs, OrderPlan, TimedTarget};
use crate::prelude::*;
use crate::samples::host_rank::{REQUESTING_RANKS, RETAINING_RANKS, host_rank, live_domain_hosts};
use crate::store_client::store_access::StoreAccess;
use crate::store_client::{StoreCallError, StoreClient, http_agent};

/// Function that returns the current demand in the failure domain of the given name.
pub type DemandSource = Arc<dyn Fn(&str) -> DomainDemand + Send + Sync>;

/// Function that sends an order to the platform and gives up after [`ORDER_DEADLINE`].
pub type OrderSender = Arc<dyn Fn(&TargetOrder) -> Result<OrderAnswer, StoreCallError> + Send + Sync>;

/// Function that takes a target out of rotation (`true`) or puts it back in, on all hosts.
pub type PlacementSetter = Arc<dyn Fn(&str, bool) -> Result<(), ResultCode> + Send + Sync>;

/// Period in which the keeper updates plan, intent and order.
const KEEPER_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a target must be back in rotation before the intent stops naming it as taken out: an earlier call
/// that takes it out may still take effect after its answer was lost.
const RETURN_DELAY: Duration = Duration::from_mins(1);

/// Dependencies of an [`OrderKeeper`]; tests replace them.
#[derive(Clone)]
pub struct OrderDependencies {
    /// Control thread, which requests the resource of the orders and publishes the view.
    pub control: ControlHandle,
    /// Store that has the intents.
    pub store: StoreAccess,
    /// Source of the demand that the plan follows.
    pub demand: DemandSource,
    /// Sends an order to the platform.
    pub orders: OrderSender,
    /// Takes targets out of rotation and puts them back in.
    pub placements: PlacementSetter,
    /// Clock that leases and delays are measured by.
    pub clock: TimeSource,
}

/// State of the owner of the orders under one lease.
struct OwnedOrders {
    lease: OrderLease,
    owned_since: BootTime,
    plan: OrderPlan,
    /// Latest intent in the store; with version 0, a substitute for a missing row.
    intent: OrderIntent,
    intent_version: u64,
    /// Whether the platform accepted an order of this intent under this epoch.
    is_ordered: bool,
    /// Targets that run again after a drain, with the times at which they were back in rotation.
    returned: Vec<TimedTarget>,
    /// Whether the intent must be read again because a write of it failed and may have taken effect.
    is_uncertain: bool,
}

/// Requests and uses the ownership of the target orders of one host's failure domain.
pub struct OrderKeeper {
    dependencies: OrderDependencies,
    is_requested: bool,
    owned: Option<OwnedOrders>,
    /// Epoch under which the platform refused an order since it knows a newer one; no more orders are sent under it.
    refused_epoch: Option<LeaseEpoch>,
}

/// Creates a function that sends orders to the platform at this URL, with [`ORDER_DEADLINE`] as the timeout.
#[must_use]
pub fn order_sender(platform_url: &str) -> OrderSender {
    let agent = http_agent(ORDER_DEADLINE, ORDER_DEADLINE);
    let client = StoreClient::with_agent(platform_url, agent);
    Arc::new(move |order| client.order_targets(order))
}

impl OrderKeeper {
    /// Creates a keeper that has not requested the ownership of the orders.
    #[must_use]
    pub fn new(dependencies: OrderDependencies) -> Self {
        Self { dependencies, is_requested: false, owned: None, refused_epoch: None }
    }

    /// Starts a thread that calls [`OrderKeeper::advance`] every second until `stop` is set, which it reads between the
    /// calls.
    ///
    /// # Errors
    ///
    /// The system could not start the thread.
    pub fn start(mut self, stop: Arc<AtomicBool>) -> std::io::Result<JoinHandle<()>> {
        std::thread::Builder::new().name("order-keeper".to_owned()).spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                self.advance();
                std::thread::sleep(KEEPER_PERIOD);
            }
        })
    }

    /// Updates the request for ownership; as the owner, updates plan, intent, rotation and order, as far as they are
    /// due.
    pub fn advance(&mut self) {
        let view = self.dependencies.control.view();
        self.update_request(&view);
        let now = (self.dependencies.clock)();
        let Some(lease) = find_order_lease(&view, now) else {
            self.owned = None;
            return;
        };
        if self.refused_epoch == Some(lease.epoch) {
            return;
        }
        if self.owned.as_ref().is_none_or(|owned| owned.lease != lease) {
            self.owned = self.resume_orders(&view, lease, now);
        }
        let Some(mut owned) = self.owned.take() else { return };
        if now.saturating_sub(owned.owned_since) >= ORDER_DEADLINE {
            self.advance_owned(&view, &mut owned, now);
        }
        self.owned = Some(owned).filter(|owned| !owned.is_uncertain);
    }

    fn update_request(&mut self, view: &ControlView) {
        let resource = orders_resource(&view.failure_domain);
        let rank = host_rank(&resource, &view.host, &live_domain_hosts(view));
        let has_targets = view.configuration.targets.iter().any(|target| target.failure_domain == view.failure_domain);
        let limit = if self.is_requested { RETAINING_RANKS } else { REQUESTING_RANKS };
        let is_requested = rank < limit && has_targets && !view.is_leaving;
        if is_requested != self.is_requested {
            self.is_requested = is_requested;
            let event = if is_requested { ControlEvent::RequestResource } else { ControlEvent::ReleaseResource };
            self.dependencies.control.send(event(resource));
        }
    }

    /// Resumes from the latest intent. Without one, all targets of the domain are assumed to run, so that none is
    /// stopped without a drain. `None` when the intent cannot be read.
    fn resume_orders(&self, view: &ControlView, lease: OrderLease, now: BootTime) -> Option<OwnedOrders> {
        let found = read_intent(&self.dependencies.store, &lease.failure_domain).ok()?;
        let all = || domain_targets(view).into_iter().map(|target| target.id).collect();
        let intent = found.intent.unwrap_or_else(|| OrderIntent { running: all(), ..OrderIntent::default() });
        let plan = OrderPlan::new(intent.running.clone(), &intent.draining, now);
        log::info!(failure_domain = lease.failure_domain.as_str(), epoch = lease.epoch; "orders_owned");
        Some(OwnedOrders {
            lease,
            owned_since: now,
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
        let operator_out = operator_out(view, &targets, &owned.intent.taken_out);
        let demand = (self.dependencies.demand)(&view.failure_domain);
        let services = &view.configuration.services;
        owned.plan.update(&OrderInputs {
            targets: &targets,
            operator_out: &operator_out,
            services,
            demand: &demand,
            now,
        });
        record_returned(view, owned, now);
        let intent = next_intent(owned, now);
        let is_changed = OrderIntent { number: owned.intent.number, ..intent.clone() } != owned.intent;
        // Only a set that an intent in the store names may be ordered.
        if (is_changed || owned.intent_version == 0) && !self.store_intent(owned, intent) {
            return;
        }
        self.set_placements(view, owned);
        if !owned.is_ordered {
            self.send_order(view, owned);
        }
    }

    /// Writes a changed intent; returns whether the write was confirmed.
    fn store_intent(&self, owned: &mut OwnedOrders, intent: OrderIntent) -> bool {
        let Ok(version) = write_intent(&self.dependencies.store, &owned.lease, &intent, owned.intent_version) else {
            owned.is_uncertain = true;
            return false;
        };
        let is_order_due = intent.running != owned.intent.running;
        owned.intent = intent;
        owned.intent_version = version;
        owned.is_ordered = owned.is_ordered && !is_order_due;
        true
    }

    /// Takes targets out of rotation that are draining or were stopped after a drain, and puts those back in that run
    /// again.
    fn set_placements(&self, view: &ControlView, owned: &OwnedOrders) {
        let intent = &owned.intent;
        for target in &intent.taken_out {
            let is_out = view.configuration.out_targets.binary_search(target).is_ok();
            let should_be_out = intent.draining.contains(target) || !intent.running.contains(target);
            if is_out != should_be_out
                && let Err(code) = (self.dependencies.placements)(target, should_be_out)
            {
                log::warn!(target_id = target.as_str(), code = code.number(); "target_placement_failed");
            }
        }
    }

    fn send_order(&mut self, view: &ControlView, owned: &mut OwnedOrders) {
        let lease = &owned.lease;
        let order = TargetOrder {
            order_id: format!("{}-{}-{}", lease.failure_domain, lease.epoch, owned.intent.number),
            failure_domain: lease.failure_domain.clone(),
            epoch: lease.epoch,
            host: view.host.clone(),
            running: owned.intent.running.clone(),
        };
        // The lease is checked as late as possible. `find_order_lease` gives none in the last LEASE_MARGIN of the
        // lease, so ORDER_DEADLINE ends within the lease.
        if find_order_lease(&self.dependencies.control.view(), (self.dependencies.clock)()).as_ref() != Some(lease) {
            return;
        }
        match (self.dependencies.orders)(&order) {
            Ok(answer) if answer.accepted => owned.is_ordered = true,
            Ok(answer) => {
                log::warn!(epoch = lease.epoch, highest_epoch = answer.highest_epoch; "target_order_refused");
                self.refused_epoch = Some(lease.epoch);
            }
            Err(error) => {
                let error = error.to_string();
                log::warn!(order_id = order.order_id.as_str(), fault = error.as_str(); "target_order_unanswered");
            }
        }
    }
}

fn find_order_lease(view: &ControlView, now: BootTime) -> Option<OrderLease> {
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

/// Targets that an operator took out of rotation: those of `targets` that are out and not in `drained`.
fn operator_out(view: &ControlView, targets: &[TargetEntry], drained: &[TargetId]) -> Vec<TargetId> {
    let out = targets.iter().filter(|target| !view.configuration.is_in_rotation(target));
    out.map(|target| target.id.clone()).filter(|target| !drained.contains(target)).collect()
}

/// Records which targets run again after a drain and are back in rotation in the view of this host.
fn record_returned(view: &ControlView, owned: &mut OwnedOrders, now: BootTime) {
    let has_returned = |target: &TargetId| {
        let is_in_rotation = view.configuration.out_targets.binary_search(target).is_err();
        let is_draining = owned.plan.draining().iter().any(|draining| draining.target == *target);
        is_in_rotation && !is_draining && owned.plan.running().contains(target)
    };
    let returned_targets: Vec<TargetId> =
        owned.intent.taken_out.iter().filter(|target| has_returned(target)).cloned().collect();
    owned.returned.retain(|returned| returned_targets.contains(&returned.target));
    for target in returned_targets {
        if !owned.returned.iter().any(|returned| returned.target == target) {
            owned.returned.push(TimedTarget { target, since: now });
        }
    }
}

fn next_intent(owned: &OwnedOrders, now: BootTime) -> OrderIntent {
    let running = owned.plan.running().to_vec();
    let draining: Vec<TargetId> = owned.plan.draining().iter().map(|draining| draining.target.clone()).collect();
    let is_settled = |target: &TargetId| {
        let is_old = |returned: &TimedTarget| now.saturating_sub(returned.since) >= RETURN_DELAY;
        owned.returned.iter().any(|returned| returned.target == *target && is_old(returned))
    };
    let mut taken_out: Vec<TargetId> =
        owned.intent.taken_out.iter().filter(|target| !is_settled(target)).cloned().collect();
    taken_out.extend(draining.iter().cloned());
    taken_out.sort_unstable();
    taken_out.dedup();
    OrderIntent { number: owned.intent.number + 1, running, draining, taken_out }
}
