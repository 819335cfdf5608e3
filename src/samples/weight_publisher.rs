//! Publishes weights to targets, as the owner of `weights/{service}`.
//!
//! The row of the service is the intent, and orders name absolute versions, so that a repeated order does no harm. Each
//! order carries the epoch; a new owner waits [`ORDER_DEADLINE`] before its first order, by which time the last switch
//! of the owner before has ended.

use std::sync::mpsc::{Receiver, Sender, channel};

use crate::control::ControlHandle;
use crate::generated::engine_messages::{EngineLoad, EngineOrder, OrderAction};
use crate::generated::services_text::TargetEntry;
use crate::prelude::*;
use crate::samples::weight_plan::{BehindTarget, OrderOutcome, RolloutCommand, WeightAction, WeightPlan};
use crate::samples::weight_version::present_version;
use crate::store_client::http_agent;
use crate::store_client::store_access::StoreAccess;

/// Period in which the wanted version is read and targets are probed.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// Targets that are probed in each period.
const PROBE_BATCH: usize = 64;

/// Longest time of one probe.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Longest time of a staging. A late one does no harm: the version is staged again when it is not the wanted one.
const STAGE_TIME: Duration = Duration::from_mins(1);

/// Largest answer of a target in bytes.
const ANSWER_LIMIT: u64 = 64 * 1024;

/// Name of the resource whose owner publishes the weights of a service.
#[must_use]
pub fn weights_resource(service: &str) -> String {
    format!("weights/{service}")
}

/// Function that takes the targets of a service that do not run the wanted version.
pub type BehindSink = Arc<dyn Fn(&str, Vec<BehindTarget>) + Send + Sync>;

enum PublisherMessage {
    Load { target: TargetId, load: EngineLoad },
    Outcome { action: WeightAction, outcome: OrderOutcome },
}

/// Publisher of one service's weights.
pub struct WeightPublisher {
    service: ServiceId,
    control: ControlHandle,
    store: StoreAccess,
    clock: TimeSource,
    behind: BehindSink,
    plan: WeightPlan,
    owned_epoch: Option<LeaseEpoch>,
    owned_since: BootTime,
    last_look: Option<BootTime>,
    next_probe: usize,
    sender: Sender<PublisherMessage>,
    inbox: Receiver<PublisherMessage>,
}

impl WeightPublisher {
    /// Publisher that knows nothing yet.
    #[must_use]
    pub fn new(
        service: &str,
        control: ControlHandle,
        store: StoreAccess,
        clock: TimeSource,
        behind: BehindSink,
    ) -> Self {
        // At most one message for each order and probe in flight, which the plan bounds.
        let (sender, inbox) = channel();
        Self {
            service: service.to_owned(),
            control,
            store,
            clock,
            behind,
            plan: WeightPlan::new(),
            owned_epoch: None,
            owned_since: BootTime::ZERO,
            last_look: None,
            next_probe: 0,
            sender,
            inbox,
        }
    }

    /// Does what is due while this host owns the service's weights. The caller repeats this several times a second.
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
            self.take_message(message, now);
        }
        if self.last_look.is_none_or(|last| now.saturating_sub(last) >= LOOK_PERIOD) {
            self.last_look = Some(now);
            self.look(now);
        }
        if now.saturating_sub(self.owned_since) >= ORDER_DEADLINE {
            for action in self.plan.next_actions(now) {
                self.start_order(&action, epoch);
            }
        }
        (self.behind)(&self.service, self.plan.behind());
    }

    fn epoch(&self, now: BootTime) -> Option<LeaseEpoch> {
        self.control.view().owned_resource(&weights_resource(&self.service), now).map(|owned| owned.epoch)
    }

    fn take_message(&mut self, message: PublisherMessage, now: BootTime) {
        match message {
            PublisherMessage::Load { target, load } => self.plan.take_load(&target, &load, now),
            PublisherMessage::Outcome { action, outcome } => {
                if outcome != OrderOutcome::Done {
                    let target = action.target.as_str();
                    log::warn!(
                        service = self.service.as_str(), target_id = target, version = action.version,
                        order = format!("{:?}", action.order).as_str();
                        "weight_order_failed"
                    );
                }
                self.plan.take_outcome(&action, outcome, now);
            }
        }
    }

    fn look(&mut self, now: BootTime) {
        if let Ok(present) = present_version(&self.store, &self.service) {
            self.plan.set_wanted(present.version, now);
        }
        let targets = self.targets();
        let ids: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        self.plan.set_targets(&ids);
        for offset in 0..PROBE_BATCH.min(targets.len()) {
            self.start_probe(&targets[(self.next_probe + offset) % targets.len()]);
        }
        self.next_probe = (self.next_probe + PROBE_BATCH) % targets.len().max(1);
    }

    fn targets(&self) -> Vec<TargetEntry> {
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

    fn start_order(&mut self, action: &WeightAction, epoch: LeaseEpoch) {
        let view = self.control.view();
        let address = view.configuration.target(&action.target).map(|target| target.address.clone());
        let (sender, control, clock) = (self.sender.clone(), self.control.clone(), self.clock.clone());
        let resource = weights_resource(&self.service);
        let order = action.clone();
        let is_started = address.is_some_and(|address| {
            spawn("weight-order", move || {
                // Checked as late as possible; the deadline of a switch then ends inside the lease.
                let owned_epoch = control.view().owned_resource(&resource, clock()).map(|owned| owned.epoch);
                let is_held = owned_epoch == Some(epoch);
                let outcome = if is_held { send_order(&address, &order, epoch) } else { OrderOutcome::Failed };
                let _ = sender.send(PublisherMessage::Outcome { action: order, outcome });
            })
        });
        if !is_started {
            self.plan.take_outcome(action, OrderOutcome::Failed, (self.clock)());
        }
    }
}

fn probe_target(address: &str) -> Option<EngineLoad> {
    let agent = http_agent(CONNECT_TIMEOUT, PROBE_LIMIT);
    let mut response = agent.get(format!("http://{address}/v1/load")).call().ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = response.body_mut().with_config().limit(ANSWER_LIMIT).read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn send_order(address: &str, action: &WeightAction, epoch: LeaseEpoch) -> OrderOutcome {
    let (order, limit) = match action.order {
        RolloutCommand::Stage => (OrderAction::StageWeights, STAGE_TIME),
        RolloutCommand::Switch => (OrderAction::SwitchWeights, ORDER_DEADLINE),
    };
    let body = EngineOrder { epoch, action: order, argument: action.version.to_string() };
    let agent = http_agent(CONNECT_TIMEOUT.min(limit), limit);
    match agent.post(format!("http://{address}/v1/orders")).send_json(&body) {
        Ok(response) if response.status().is_success() => OrderOutcome::Done,
        Ok(response) if response.status().as_u16() == 409 => OrderOutcome::Conflict,
        _ => OrderOutcome::Failed,
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> bool {
    std::thread::Builder::new().name(name.to_owned()).spawn(work).is_ok()
}
