//! Target orders: the plan follows demand at low cost, and the platform gets orders of one owner at a time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use camphorspring::clock::BootTime;
use camphorspring::control::configuration::Configuration;
use camphorspring::control::control_view::OwnedResource;
use camphorspring::control::{ControlHandle, ControlView};
use camphorspring::generated::platform_messages::{OrderAnswer, TargetOrder};
use camphorspring::generated::services_text::{ServiceEntry, TargetEntry, TargetTier};
use camphorspring::options::services_text::parse_services;
use camphorspring::orders::order_intent::{OrderIntent, read_intent};
use camphorspring::orders::order_keeper::{OrderDependencies, OrderKeeper};
use camphorspring::orders::order_plan::{
    DRAIN_DELAY, DomainDemand, OrderInputs, OrderPlan, START_TIMEOUT, SURPLUS_DELAY, ServiceDemand, TargetUse,
};
use camphorspring::store_client::StoreCallError;
use googletest::prelude::*;
use proptest::prelude::prop_assert;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::memory_store::{FATAL_FAULTS, FaultyClient, LIVE_FAULTS, MemoryStore, StoreFault};

/// Builds the engines `firm-1` and `cheap-1` to `cheap-4`, and the plain target `desk-1`, with 4 slots each.
fn build_targets() -> Vec<TargetEntry> {
    let text = include_str!("settings/valid/two_domains.yaml");
    let template = parse_services(text).unwrap().targets[0].clone();
    let target = |id: &str, service: &str, tier, price| TargetEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        tier: Some(tier),
        price_per_hour: price,
        slots: 4,
        ..template.clone()
    };
    let mut targets =
        vec![target("firm-1", "scoring", TargetTier::Firm, 4.0), target("desk-1", "desk", TargetTier::Firm, 1.0)];
    targets.extend((1..=4).map(|number| target(&format!("cheap-{number}"), "scoring", TargetTier::Cheap, 1.0)));
    targets.sort_by(|left, right| left.id.cmp(&right.id));
    targets
}

fn build_services() -> Vec<ServiceEntry> {
    let text = include_str!("settings/valid/two_domains.yaml");
    let mut services = parse_services(text).unwrap().services;
    services.sort_by(|left, right| left.name.cmp(&right.name));
    services
}

/// Builds a demand of `running` requests for the engine service; the targets `up` are up, and each of `busy` runs one.
fn build_demand(running: u32, up: &[String], busy: &[&str]) -> DomainDemand {
    let services = vec![ServiceDemand { service: "scoring".to_owned(), queued: 0, running }];
    let target =
        |id: &String| TargetUse { target: id.clone(), running: u32::from(busy.contains(&id.as_str())), is_up: true };
    DomainDemand { services, targets: up.iter().map(target).collect() }
}

struct PlanSimulation {
    plan: OrderPlan,
    targets: Vec<TargetEntry>,
    services: Vec<ServiceEntry>,
    now: BootTime,
}

impl PlanSimulation {
    fn new(running: &[&str]) -> Self {
        let running = running.iter().map(|id| (*id).to_owned()).collect();
        let now = Duration::from_secs(1000);
        Self { plan: OrderPlan::new(running, &[], now), targets: build_targets(), services: build_services(), now }
    }

    fn update(&mut self, demand: &DomainDemand, after: Duration) {
        self.now += after;
        let (targets, services) = (&self.targets, &self.services);
        self.plan.update(&OrderInputs { targets, operator_out: &[], services, demand, now: self.now });
    }

    /// Updates the plan every second for some time, with `running` requests and all running targets up.
    fn run(&mut self, running: u32, busy: &[&str], seconds: u64) {
        for _ in 0..seconds {
            let up = self.plan.running().to_vec();
            self.update(&build_demand(running, &up, busy), Duration::from_secs(1));
        }
    }
}

/// Guards against capacity that is added late, and against dear targets where cheap ones would do: after one firm
/// target, the cheapest ones must be added.
#[googletest::test]
fn capacity_grows_at_once_and_cheaply() {
    let mut simulation = PlanSimulation::new(&["desk-1", "firm-1"]);
    simulation.run(3, &[], 1);
    expect_that!(simulation.plan.running(), eq(&["desk-1", "firm-1"].map(str::to_owned)));
    simulation.run(8, &[], 1);
    expect_that!(simulation.plan.running(), eq(&["cheap-1", "cheap-2", "desk-1", "firm-1"].map(str::to_owned)));
}

/// Guards against targets that are drained as soon as the demand falls, or stopped while requests run on them.
#[googletest::test]
fn surplus_is_drained_after_a_while_and_stopped_when_idle() {
    let mut simulation = PlanSimulation::new(&["cheap-1", "cheap-2", "desk-1", "firm-1"]);
    simulation.run(8, &[], 1);
    simulation.run(1, &["cheap-2"], SURPLUS_DELAY.as_secs() + 20);
    expect_that!(simulation.plan.draining(), is_empty());
    simulation.run(1, &["cheap-2"], 15);
    expect_that!(simulation.plan.running().len(), eq(4));
    let draining: Vec<&str> = simulation.plan.draining().iter().map(|draining| draining.target.as_str()).collect();
    expect_that!(draining, elements_are![eq(&"cheap-1")]);
    simulation.run(1, &["cheap-2"], 300);
    expect_that!(simulation.plan.running(), eq(&["cheap-2", "desk-1", "firm-1"].map(str::to_owned)));
    simulation.run(1, &[], DRAIN_DELAY.as_secs() + 1);
    expect_that!(simulation.plan.running(), eq(&["desk-1", "firm-1"].map(str::to_owned)));
}

/// Guards against targets that are drained because the coordinator of some of them sends no reports, so that the known
/// demand is too small.
#[googletest::test]
fn incomplete_demand_drains_nothing() {
    let mut simulation = PlanSimulation::new(&["cheap-1", "cheap-2", "desk-1", "firm-1"]);
    let known = ["cheap-1", "firm-1"].map(str::to_owned);
    for _ in 0..300 {
        simulation.update(&build_demand(1, &known, &[]), Duration::from_secs(1));
    }
    expect_that!(simulation.plan.draining(), is_empty());
    expect_that!(simulation.plan.running().len(), eq(4));
}

/// Guards against a service that lacks capacity because the cheap targets ordered for it do not come up.
#[googletest::test]
fn unavailable_targets_are_replaced() {
    let mut simulation = PlanSimulation::new(&["desk-1", "firm-1"]);
    let up = ["desk-1", "firm-1"].map(str::to_owned);
    let mut demand = build_demand(8, &up, &[]);
    simulation.update(&demand, Duration::from_secs(1));
    let absent = |id: &str| TargetUse { target: id.to_owned(), running: 0, is_up: false };
    demand.targets.extend(["cheap-1", "cheap-2"].map(absent));
    simulation.update(&demand, Duration::from_secs(1));
    expect_that!(simulation.plan.running().len(), eq(4));
    simulation.update(&demand, START_TIMEOUT);
    expect_that!(simulation.plan.running().len(), eq(6));
}

/// Guards against plans that, under random demand, have less capacity than the demand or lack the firm target or the
/// plain one, and against targets that are stopped without a drain or while a request runs on them.
#[googletest::test]
fn plan_covers_random_demand() {
    let seed = 20_261_204_u64;
    println!("seed {seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config { cases: 200, ..Config::default() }, rng);
    let steps = proptest::collection::vec((0_u32..25, 1_u64..90, 0_usize..6), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut simulation = PlanSimulation::new(&["cheap-3", "desk-1", "firm-1"]);
        for (running, seconds, busy) in steps {
            let before = simulation.plan.running().to_vec();
            let drained: Vec<String> =
                simulation.plan.draining().iter().map(|draining| draining.target.clone()).collect();
            let busy_target = before.get(busy).cloned().unwrap_or_default();
            let demand = build_demand(running, &before, &[&busy_target]);
            simulation.update(&demand, Duration::from_secs(seconds));
            let after = simulation.plan.running();
            let stopped: Vec<&String> = before.iter().filter(|id| !after.contains(id)).collect();
            prop_assert!(stopped.iter().all(|id| drained.contains(id)), "stopped without a drain: {stopped:?}");
            prop_assert!(!stopped.contains(&&busy_target), "stopped while it works: {busy_target}");
            prop_assert!(after.contains(&"firm-1".to_owned()) && after.contains(&"desk-1".to_owned()));
            let working = after.iter().filter(|id| id.as_str() != "desk-1").count() - simulation.plan.draining().len();
            prop_assert!(working >= 5 || working * 4 >= running as usize, "{running} requests, {working} targets");
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Stand-in for the platform that accepts every order; it does not check the fencing number.
#[derive(Default)]
struct OrderReceiver {
    orders: Mutex<Vec<TargetOrder>>,
    calls: AtomicU64,
}

/// What is lost when an order is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendFault {
    /// The order does not arrive.
    LostRequest,
    /// The order arrives, and the answer to it is lost.
    LostAnswer,
}

struct KeeperHost {
    keeper: OrderKeeper,
    client: Arc<FaultyClient>,
}

struct OrderSimulation {
    store: Arc<MemoryStore>,
    receiver: Arc<OrderReceiver>,
    clock_ms: Arc<AtomicU64>,
    /// Requests that run on engines, for the demand.
    requests: Arc<AtomicU64>,
}

impl OrderSimulation {
    fn new() -> Self {
        let clock_ms = Arc::new(AtomicU64::new(1_000_000));
        Self { store: Arc::default(), receiver: Arc::default(), clock_ms, requests: Arc::default() }
    }

    /// Starts a host as the new owner. `faults` hit the store calls, and `send_fault` hits the order, with
    /// these numbers. Store calls and orders each count from 0.
    fn start_host(&self, name: &str, faults: &[(u64, StoreFault)], send_fault: Option<(u64, SendFault)>) -> KeeperHost {
        let resource = "orders/north".to_owned();
        let epoch = self.store.read("resources", &resource).map_or(0, |row| row.version) + 1;
        self.store.set("resources", &resource, "{}");
        let mut view = ControlView::empty(name, "north", 1);
        let configuration =
            Configuration { services: build_services(), targets: build_targets(), ..Configuration::default() };
        view.configuration = Arc::new(configuration);
        view.owned = vec![OwnedResource { name: resource, epoch, row_version: epoch, valid_until: BootTime::MAX }];
        let client = FaultyClient::new(&self.store, faults);
        let (clock_ms, requests, receiver) = (self.clock_ms.clone(), self.requests.clone(), self.receiver.clone());
        let keeper = OrderKeeper::new(OrderDependencies {
            control: ControlHandle::new(Arc::new(ArcSwap::from_pointee(view)), sync_channel(16).0),
            store: client.access(),
            demand: Arc::new(move |_| {
                let requests = u32::try_from(requests.load(Ordering::SeqCst)).unwrap();
                let up: Vec<String> = build_targets().into_iter().map(|target| target.id).collect();
                build_demand(requests, &up, &[])
            }),
            orders: Arc::new(move |order| receiver.receive(order, send_fault)),
            placements: Arc::new(|_, _| Ok(())),
            clock: Arc::new(move || Duration::from_millis(clock_ms.load(Ordering::SeqCst))),
        });
        KeeperHost { keeper, client }
    }

    /// Advances the clock and the keeper of `host` by one second at a time.
    fn advance(&self, host: &mut KeeperHost, seconds: u64) {
        for _ in 0..seconds {
            self.clock_ms.fetch_add(1000, Ordering::SeqCst);
            host.keeper.advance();
        }
    }
}

impl OrderReceiver {
    fn receive(
        &self,
        order: &TargetOrder,
        fault: Option<(u64, SendFault)>,
    ) -> std::result::Result<OrderAnswer, StoreCallError> {
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        let fault = fault.filter(|(number, _)| *number == call).map(|(_, fault)| fault);
        if fault != Some(SendFault::LostRequest) {
            self.orders.lock().unwrap().push(order.clone());
        }
        match fault {
            Some(_) => Err(StoreCallError::AnswerLost),
            None => Ok(OrderAnswer { accepted: true, highest_epoch: order.epoch }),
        }
    }
}

/// Runs an owner with faults while the demand rises, then a successor without faults. Returns what is wrong with the
/// orders.
fn run_orders(faults: &[(u64, StoreFault)], send_fault: Option<(u64, SendFault)>) -> Vec<String> {
    let simulation = OrderSimulation::new();
    let first_intent =
        OrderIntent { running: ["desk-1", "firm-1"].map(str::to_owned).to_vec(), ..OrderIntent::default() };
    simulation.store.set("order_intents", "north", &serde_json::to_string(&first_intent).unwrap());
    let mut first = simulation.start_host("first", faults, send_fault);
    for requests in [2, 5, 8, 12, 18] {
        simulation.requests.store(requests, Ordering::SeqCst);
        simulation.advance(&mut first, 4);
    }
    simulation.advance(&mut first, 10);
    let is_alive = !first.client.is_stopped();
    let mut problems = Vec::new();
    if is_alive {
        check_orders(&simulation, 1, &mut problems);
    }
    let mut second = simulation.start_host("second", &[], None);
    let before = simulation.receiver.orders.lock().unwrap().len();
    simulation.advance(&mut second, 1);
    if simulation.receiver.orders.lock().unwrap().len() != before {
        problems.push("the successor did not wait".to_owned());
    }
    simulation.advance(&mut second, 10);
    check_orders(&simulation, 2, &mut problems);
    first.client.thaw();
    problems
}

/// Adds a problem when the last order is not that of the intent in the store under `epoch`, the intent does not cover
/// the demand, or one order id stands for two sets.
fn check_orders(simulation: &OrderSimulation, epoch: u64, problems: &mut Vec<String>) {
    let orders = simulation.receiver.orders.lock().unwrap();
    let store = FaultyClient::new(&simulation.store, &[]).access();
    let intent: Option<OrderIntent> = read_intent(&store, "north").unwrap().intent;
    let last = orders.last().map(|order| (order.epoch, order.running.clone()));
    if last != intent.clone().map(|intent| (epoch, intent.running)) {
        problems.push(format!("the last order is {last:?}, the intent {intent:?}"));
    }
    if intent.is_none_or(|intent| intent.running.len() < 6) {
        problems.push("the demand is not covered".to_owned());
    }
    for order in orders.iter() {
        let is_other = |other: &&TargetOrder| other.order_id == order.order_id && other.running != order.running;
        problems.extend(orders.iter().find(is_other).map(|other| format!("{} stands for two sets", other.order_id)));
    }
}

/// Guards against the following when a store call or an order fails: a last order that differs from the intent in the
/// store, an intent that does not cover the demand, different orders under one id, and a successor that orders without
/// waiting.
#[googletest::test]
fn orders_follow_the_intent_with_faults() {
    let faults: Vec<StoreFault> =
        LIVE_FAULTS.into_iter().chain(FATAL_FAULTS).filter(|fault| *fault != StoreFault::Frozen).collect();
    let mut problems = run_orders(&[], None);
    for call in 0..8 {
        for fault in &faults {
            let found = run_orders(&[(call, *fault)], None);
            problems.extend(found.into_iter().map(|problem| format!("{fault:?} at {call}: {problem}")));
        }
        for send_fault in [SendFault::LostRequest, SendFault::LostAnswer] {
            let found = run_orders(&[], Some((call, send_fault)));
            problems.extend(found.into_iter().map(|problem| format!("{send_fault:?} at {call}: {problem}")));
        }
    }
    expect_that!(problems, is_empty());
}

/// Guards against an owner that, after another host took over, changes the intent or orders a changed set.
#[googletest::test]
fn replaced_owner_changes_nothing() {
    let simulation = OrderSimulation::new();
    let mut first = simulation.start_host("first", &[], None);
    simulation.requests.store(2, Ordering::SeqCst);
    simulation.advance(&mut first, 300);
    expect_that!(simulation.receiver.orders.lock().unwrap().last().unwrap().running.len(), eq(2));
    let mut second = simulation.start_host("second", &[], None);
    simulation.advance(&mut second, 5);
    let before = simulation.store.read("order_intents", "north");
    let orders = simulation.receiver.orders.lock().unwrap().len();
    simulation.requests.store(18, Ordering::SeqCst);
    simulation.advance(&mut first, 10);
    expect_that!(simulation.store.read("order_intents", "north"), eq(&before));
    let late_orders = simulation.receiver.orders.lock().unwrap()[orders..].to_vec();
    let changed: Vec<&TargetOrder> = late_orders.iter().filter(|order| order.running.len() > 2).collect();
    expect_that!(changed, is_empty());
}
