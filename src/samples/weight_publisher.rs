//! Publishes the released weight version of a service to its targets, while this host owns `weights/{service}`.
//!
//! The row of the service in the store holds the desired version. Orders name that version, not a change of the current
//! one, so that a repeated order does no harm. Each order carries the epoch of the owner. A new owner waits
//! [`ORDER_DEADLINE`] before its first order; by then the last switch of the previous owner has ended.

use std::sync::mpsc::{Receiver, Sender, channel};

use crate::control::ControlHandle;
use crate::generated::engine_messages::{EngineLoad, EngineOrder, OrderAction};
use crate::generated::services_text::TargetEntry;
use crate::prelude::*;
use crate::samples::weight_plan::{OrderOutcome, OutdatedTarget, RolloutCommand, WeightOrder, WeightPlan};
use crate::samples::weight_version::present_version;
use crate::store_client::http_agent;
use crate::store_client::store_access::StoreAccess;

/// Interval at which the desired version is read from the store and a batch of targets is probed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Most targets that one poll probes; further polls probe the others in turn.
const PROBE_BATCH: usize = 64;

/// Longest time that one probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to wait for the response to a staging. A staging that takes effect later does no harm: if it replaces
/// the staged desired version, the target is ordered to stage the desired version again before it switches.
const STAGE_TIMEOUT: Duration = Duration::from_mins(1);

/// Largest load report of a target; a longer one is ignored.
const MAX_REPORT_BYTES: u64 = 64 * 1024;

/// Name of the resource whose owner publishes the weights of a service.
#[must_use]
pub fn weights_resource(service: &str) -> String {
    format!("weights/{service}")
}

/// Function that receives a service and all its targets that do not run the desired version.
pub type OutdatedSink = Arc<dyn Fn(&str, Vec<OutdatedTarget>) + Send + Sync>;

/// Result of a probe or an order, from the thread that made the call.
enum PublisherMessage {
    Load { target: TargetId, load: EngineLoad },
    Outcome { order: WeightOrder, outcome: OrderOutcome },
}

/// Orders the targets of one service to the desired weight version.
pub struct WeightPublisher {
    service: ServiceId,
    control: ControlHandle,
    store: StoreAccess,
    clock: TimeSource,
    outdated_sink: OutdatedSink,
    plan: WeightPlan,
    /// Epoch of the ownership at the last advance; `None` while this host does not own the weights.
    owned_epoch: Option<LeaseEpoch>,
    owned_since: BootTime,
    last_poll: Option<BootTime>,
    /// Position of the first target that the next poll probes.
    next_probe: usize,
    sender: Sender<PublisherMessage>,
    inbox: Receiver<PublisherMessage>,
}

impl WeightPublisher {
    /// Creates a publisher that has read and sent nothing; [`WeightPublisher::advance`] does the work.
    #[must_use]
    pub fn new(
        service: &str,
        control: ControlHandle,
        store: StoreAccess,
        clock: TimeSource,
        outdated_sink: OutdatedSink,
    ) -> Self {
        // The channel needs no bound: each order and each probe in flight sends at most one message. The plan bounds
        // the orders in flight; `PROBE_BATCH` and `PROBE_TIMEOUT` bound the probes.
        let (sender, inbox) = channel();
        Self {
            service: service.to_owned(),
            control,
            store,
            clock,
            outdated_sink,
            plan: WeightPlan::new(),
            owned_epoch: None,
            owned_since: BootTime::ZERO,
            last_poll: None,
            next_probe: 0,
            sender,
            inbox,
        }
    }

    /// While this host owns the weights of the service: handles the responses that arrived, reads the desired version
    /// and starts probes when `POLL_INTERVAL` has passed, and starts the orders that are due. The caller repeats this
    /// several times a second.
    pub fn advance(&mut self) {
        let now = (self.clock)();
        let Some(epoch) = self.epoch(now) else {
            self.owned_epoch = None;
            return;
        };
        if self.owned_epoch != Some(epoch) {
            self.owned_epoch = Some(epoch);
            self.owned_since = now;
            self.plan = WeightPlan::new();
        }
        while let Ok(message) = self.inbox.try_recv() {
            self.handle_message(message, now);
        }
        if self.last_poll.is_none_or(|last| now.saturating_sub(last) >= POLL_INTERVAL) {
            self.last_poll = Some(now);
            self.poll(now);
        }
        if now.saturating_sub(self.owned_since) >= ORDER_DEADLINE {
            for order in self.plan.next_orders(now) {
                self.start_order(&order, epoch);
            }
        }
        (self.outdated_sink)(&self.service, self.plan.outdated_targets());
    }

    /// Epoch of the ownership; `None` when this host does not own the weights.
    fn epoch(&self, now: BootTime) -> Option<LeaseEpoch> {
        self.control.view().owned_resource(&weights_resource(&self.service), now).map(|owned| owned.epoch)
    }

    fn handle_message(&mut self, message: PublisherMessage, now: BootTime) {
        match message {
            PublisherMessage::Load { target, load } => self.plan.record_load(&target, &load, now),
            PublisherMessage::Outcome { order, outcome } => {
                if outcome != OrderOutcome::Done {
                    let target = order.target.as_str();
                    log::warn!(
                        service = self.service.as_str(), target_id = target, version = order.version,
                        order = format!("{:?}", order.command).as_str();
                        "weight_order_failed"
                    );
                }
                self.plan.record_outcome(&order, outcome, now);
            }
        }
    }

    /// Reads the desired version, updates the targets of the plan and starts the probes that are due.
    fn poll(&mut self, now: BootTime) {
        if let Ok(present) = present_version(&self.store, &self.service) {
            self.plan.set_desired(present.version, now);
        }
        let targets = self.service_targets();
        let ids: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        self.plan.set_targets(&ids);
        for offset in 0..PROBE_BATCH.min(targets.len()) {
            self.start_probe(&targets[(self.next_probe + offset) % targets.len()]);
        }
        self.next_probe = (self.next_probe + PROBE_BATCH) % targets.len().max(1);
    }

    fn service_targets(&self) -> Vec<TargetEntry> {
        let view = self.control.view();
        let targets = view.configuration.targets.iter().filter(|target| target.service == self.service);
        targets.cloned().collect()
    }

    fn start_probe(&self, target: &TargetEntry) {
        let (sender, target) = (self.sender.clone(), target.clone());
        spawn("weight-probe", move || {
            if let Some(load) = probe_target(&target.address) {
                let _ = sender.send(PublisherMessage::Load { target: target.id, load });
            }
        });
    }

    fn start_order(&mut self, order: &WeightOrder, epoch: LeaseEpoch) {
        let view = self.control.view();
        let address = view.configuration.target(&order.target).map(|target| target.address.clone());
        let (sender, control, clock) = (self.sender.clone(), self.control.clone(), self.clock.clone());
        let resource = weights_resource(&self.service);
        let sent_order = order.clone();
        let is_started = address.is_some_and(|address| {
            spawn("weight-order", move || {
                // The ownership is checked directly before the order is sent. It ends `LEASE_MARGIN` before the lease,
                // so that the `ORDER_DEADLINE` of a switch ends while the lease is still valid.
                let owned_epoch = control.view().owned_resource(&resource, clock()).map(|owned| owned.epoch);
                let is_held = owned_epoch == Some(epoch);
                let outcome = if is_held { send_order(&address, &sent_order, epoch) } else { OrderOutcome::Failed };
                let _ = sender.send(PublisherMessage::Outcome { order: sent_order, outcome });
            })
        });
        if !is_started {
            self.plan.record_outcome(order, OrderOutcome::Failed, (self.clock)());
        }
    }
}

fn probe_target(address: &str) -> Option<EngineLoad> {
    let agent = http_agent(CONNECT_TIMEOUT, PROBE_TIMEOUT);
    let mut response = agent.get(format!("http://{address}/v1/load")).call().ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.body_mut().with_config().limit(MAX_REPORT_BYTES).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn send_order(address: &str, order: &WeightOrder, epoch: LeaseEpoch) -> OrderOutcome {
    let (order_action, timeout) = match order.command {
        RolloutCommand::Stage => (OrderAction::StageWeights, STAGE_TIMEOUT),
        RolloutCommand::Switch => (OrderAction::SwitchWeights, ORDER_DEADLINE),
    };
    let body = EngineOrder { epoch, action: order_action, argument: order.version.to_string() };
    let agent = http_agent(CONNECT_TIMEOUT.min(timeout), timeout);
    match agent.post(format!("http://{address}/v1/orders")).send_json(&body) {
        Ok(response) if response.status().is_success() => OrderOutcome::Done,
        Ok(response) if response.status().as_u16() == 409 => OrderOutcome::Conflict,
        _ => OrderOutcome::Failed,
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> bool {
    std::thread::Builder::new().name(name.to_owned()).spawn(work).is_ok()
}
