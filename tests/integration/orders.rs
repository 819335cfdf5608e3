//! Target orders: capacity follows demand at low cost, and the platform gets orders of one owner only.

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
    DRAIN_SETTLE, DomainDemand, OrderInputs, OrderPlan, START_LIMIT, SURPLUS_HOLD, ServiceDemand, TargetUse,
};
use camphorspring::store_client::StoreCallError;
use googletest::prelude::*;
use proptest::prelude::prop_assert;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::memory_store::{FATAL_FAULTS, FaultyClient, LIVE_FAULTS, MemoryStore, StoreFault};

/// Engines `firm-1` and `cheap-1` to `cheap-4` with 4 slots each, and the plain target `desk-1`.
fn sample_targets() -> Vec<TargetEntry> {
    let text = include_str!("settings/valid/two_domains.yaml");
    let pattern = parse_services(text).unwrap().targets[0].clone();
    let target = |id: &str, service: &str, tier, price| TargetEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        tier: Some(tier),
        price_per_hour: price,
        slots: 4,
        ..pattern.clone()
    };
    let mut targets =
        vec![target("firm-1", "scoring", TargetTier::Firm, 4.0), target("desk-1", "desk", TargetTier::Firm, 1.0)];
    targets.extend((1..=4).map(|number| target(&format!("cheap-{number}"), "scoring", TargetTier::Cheap, 1.0)));
    targets.sort_by(|left, right| left.id.cmp(&right.id));
    targets
}

fn sample_services() -> Vec<ServiceEntry> {
    let text = include_str!("settings/valid/two_domains.yaml");
    let mut services = parse_services(text).unwrap().services;
    services.sort_by(|left, right| left.name.cmp(&right.name));
    services
}

/// Demand for the engine service, with the given targets up and `busy` of them running something.
fn demand(running: u32, up: &[String], busy: &[&str]) -> DomainDemand {
    let services = vec![ServiceDemand { service: "scoring".to_owned(), queued: 0, running }];
    let target =
        |id: &String| TargetUse { target: id.clone(), running: u32::from(busy.contains(&id.as_str())), is_up: true };
    DomainDemand { services, targets: up.iter().map(target).collect() }
}

struct PlanWorld {
    plan: OrderPlan,
    targets: Vec<TargetEntry>,
    services: Vec<ServiceEntry>,
    now: BootTime,
}

impl PlanWorld {
    fn new(running: &[&str]) -> Self {
        let running = running.iter().map(|id| (*id).to_owned()).collect();
        let now = Duration::from_secs(1000);
        Self { plan: OrderPlan::new(running, &[], now), targets: sample_targets(), services: sample_services(), now }
    }

    fn decide(&mut self, demand: &DomainDemand, after: Duration) {
        self.now += after;
        let (targets, services) = (&self.targets, &self.services);
        self.plan.decide(&OrderInputs { targets, held_out: &[], services, demand, now: self.now });
    }

    /// Decides every second for some time, with all running targets up.
    fn run(&mut self, running: u32, busy: &[&str], seconds: u64) {
        for _ in 0..seconds {
            let up = self.plan.running().to_vec();
            self.decide(&demand(running, &up, busy), Duration::from_secs(1));
        }
    }
}

/// Guards against capacity that comes late or dear: it follows demand at once, with one firm target and then the
/// cheapest ones.
#[googletest::test]
fn capacity_grows_at_once_and_cheaply() {
    let mut world = PlanWorld::new(&["desk-1", "firm-1"]);
    world.run(3, &[], 1);
    expect_that!(world.plan.running(), eq(&["desk-1", "firm-1"].map(str::to_owned)));
    world.run(8, &[], 1);
    expect_that!(world.plan.running(), eq(&["cheap-1", "cheap-2", "desk-1", "firm-1"].map(str::to_owned)));
}

/// Guards against targets that are stopped at the first dip, or while they work.
#[googletest::test]
fn surplus_is_drained_after_a_while_and_stopped_when_idle() {
    let mut world = PlanWorld::new(&["cheap-1", "cheap-2", "desk-1", "firm-1"]);
    world.run(8, &[], 1);
    world.run(1, &["cheap-2"], SURPLUS_HOLD.as_secs() + 20);
    expect_that!(world.plan.draining(), is_empty());
    world.run(1, &["cheap-2"], 15);
    expect_that!(world.plan.running().len(), eq(4));
    let draining: Vec<&str> = world.plan.draining().iter().map(|draining| draining.target.as_str()).collect();
    expect_that!(draining, elements_are![eq(&"cheap-1")]);
    world.run(1, &["cheap-2"], 300);
    expect_that!(world.plan.running(), eq(&["cheap-2", "desk-1", "firm-1"].map(str::to_owned)));
    world.run(1, &[], DRAIN_SETTLE.as_secs() + 1);
    expect_that!(world.plan.running(), eq(&["desk-1", "firm-1"].map(str::to_owned)));
}

/// Guards against targets that are drained because the home of some of them is silent and the demand seems small.
#[googletest::test]
fn figures_with_gaps_take_nothing_away() {
    let mut world = PlanWorld::new(&["cheap-1", "cheap-2", "desk-1", "firm-1"]);
    let known = ["cheap-1", "firm-1"].map(str::to_owned);
    for _ in 0..300 {
        world.decide(&demand(1, &known, &[]), Duration::from_secs(1));
    }
    expect_that!(world.plan.draining(), is_empty());
    expect_that!(world.plan.running().len(), eq(4));
}

/// Guards against a service without capacity when cheap targets cannot be had.
#[googletest::test]
fn unavailable_cheap_targets_are_replaced() {
    let mut world = PlanWorld::new(&["desk-1", "firm-1"]);
    let up = ["desk-1", "firm-1"].map(str::to_owned);
    let mut wanted = demand(8, &up, &[]);
    world.decide(&wanted, Duration::from_secs(1));
    let absent = |id: &str| TargetUse { target: id.to_owned(), running: 0, is_up: false };
    wanted.targets.extend(["cheap-1", "cheap-2"].map(absent));
    world.decide(&wanted, Duration::from_secs(1));
    expect_that!(world.plan.running().len(), eq(4));
    world.decide(&wanted, START_LIMIT);
    expect_that!(world.plan.running().len(), eq(6));
}

/// Guards against a set below the demand, a set without the last firm target, and targets that are stopped while they
/// work or without a drain, under random demand.
#[googletest::test]
fn plan_keeps_its_rules_under_random_demand() {
    let seed = 20_261_204_u64;
    println!("seed {seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config { cases: 200, ..Config::default() }, rng);
    let steps = proptest::collection::vec((0_u32..25, 1_u64..90, 0_usize..6), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut world = PlanWorld::new(&["cheap-3", "desk-1", "firm-1"]);
        for (running, seconds, busy) in steps {
            let before = world.plan.running().to_vec();
            let drained: Vec<String> = world.plan.draining().iter().map(|draining| draining.target.clone()).collect();
            let busy_target = before.get(busy).cloned().unwrap_or_default();
            let demand = demand(running, &before, &[&busy_target]);
            world.decide(&demand, Duration::from_secs(seconds));
            let after = world.plan.running();
            let stopped: Vec<&String> = before.iter().filter(|id| !after.contains(id)).collect();
            prop_assert!(stopped.iter().all(|id| drained.contains(id)), "stopped without a drain: {stopped:?}");
            prop_assert!(!stopped.contains(&&busy_target), "stopped while it works: {busy_target}");
            prop_assert!(after.contains(&"firm-1".to_owned()) && after.contains(&"desk-1".to_owned()));
            let working = after.iter().filter(|id| id.as_str() != "desk-1").count() - world.plan.draining().len();
            prop_assert!(working >= 5 || working * 4 >= running as usize, "{running} requests, {working} targets");
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// A platform that takes orders as the real one does, without a fencing check.
#[derive(Default)]
struct OrderIntake {
    orders: Mutex<Vec<TargetOrder>>,
    calls: AtomicU64,
}

/// What happens to one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendFault {
    LostRequest,
    LostAnswer,
}

struct KeeperHost {
    keeper: OrderKeeper,
    client: Arc<FaultyClient>,
}

struct OrderWorld {
    store: Arc<MemoryStore>,
    intake: Arc<OrderIntake>,
    clock_ms: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
}

impl OrderWorld {
    fn new() -> Self {
        let clock_ms = Arc::new(AtomicU64::new(1_000_000));
        Self { store: Arc::default(), intake: Arc::default(), clock_ms, running: Arc::default() }
    }

    fn host(&self, name: &str, faults: &[(u64, StoreFault)], send: Option<(u64, SendFault)>) -> KeeperHost {
        let resource = "orders/north".to_owned();
        let epoch = self.store.read("resources", &resource).map_or(0, |row| row.version) + 1;
        self.store.set("resources", &resource, "{}");
        let mut view = ControlView::empty(name, "north", 1);
        let configuration =
            Configuration { services: sample_services(), targets: sample_targets(), ..Configuration::default() };
        view.configuration = Arc::new(configuration);
        view.owned = vec![OwnedResource { name: resource, epoch, row_version: epoch, valid_until: BootTime::MAX }];
        let client = FaultyClient::new(&self.store, faults);
        let (clock_ms, running, intake) = (self.clock_ms.clone(), self.running.clone(), self.intake.clone());
        let keeper = OrderKeeper::new(OrderDependencies {
            control: ControlHandle::new(Arc::new(ArcSwap::from_pointee(view)), sync_channel(16).0),
            store: client.access(),
            demand: Arc::new(move |_| {
                let running = u32::try_from(running.load(Ordering::SeqCst)).unwrap();
                let up: Vec<String> = sample_targets().into_iter().map(|target| target.id).collect();
                demand(running, &up, &[])
            }),
            orders: Arc::new(move |order| intake.take(order, send)),
            placements: Arc::new(|_, _| Ok(())),
            clock: Arc::new(move || Duration::from_millis(clock_ms.load(Ordering::SeqCst))),
        });
        KeeperHost { keeper, client }
    }

    fn advance(&self, host: &mut KeeperHost, seconds: u64) {
        for _ in 0..seconds {
            self.clock_ms.fetch_add(1000, Ordering::SeqCst);
            host.keeper.advance();
        }
    }
}

impl OrderIntake {
    fn take(
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

/// One owner with faults, then a successor; returns what is wrong with the orders.
fn order_with(faults: &[(u64, StoreFault)], send: Option<(u64, SendFault)>) -> Vec<String> {
    let world = OrderWorld::new();
    let small = OrderIntent { running: ["desk-1", "firm-1"].map(str::to_owned).to_vec(), ..OrderIntent::default() };
    world.store.set("order_intents", "north", &serde_json::to_string(&small).unwrap());
    let mut first = world.host("first", faults, send);
    for running in [2, 5, 8, 12, 18] {
        world.running.store(running, Ordering::SeqCst);
        world.advance(&mut first, 4);
    }
    world.advance(&mut first, 10);
    let is_alive = !first.client.is_stopped();
    let mut problems = Vec::new();
    if is_alive {
        check_intent(&world, 1, &mut problems);
    }
    let mut second = world.host("second", &[], None);
    let before = world.intake.orders.lock().unwrap().len();
    world.advance(&mut second, 1);
    if world.intake.orders.lock().unwrap().len() != before {
        problems.push("the successor did not wait".to_owned());
    }
    world.advance(&mut second, 10);
    check_intent(&world, 2, &mut problems);
    first.client.thaw();
    problems
}

/// The last order must be the intent in the store, and each id must stand for one set.
fn check_intent(world: &OrderWorld, epoch: u64, problems: &mut Vec<String>) {
    let orders = world.intake.orders.lock().unwrap();
    let store = FaultyClient::new(&world.store, &[]).access();
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

/// Guards against orders that no intent covers, that differ under one id, or that are missing, when a store call or an
/// order fails.
#[googletest::test]
fn orders_follow_the_intent_with_faults() {
    let faults: Vec<StoreFault> =
        LIVE_FAULTS.into_iter().chain(FATAL_FAULTS).filter(|fault| *fault != StoreFault::Frozen).collect();
    let mut problems = order_with(&[], None);
    for call in 0..8 {
        for fault in &faults {
            let found = order_with(&[(call, *fault)], None);
            problems.extend(found.into_iter().map(|problem| format!("{fault:?} at {call}: {problem}")));
        }
        for send in [SendFault::LostRequest, SendFault::LostAnswer] {
            let found = order_with(&[], Some((call, send)));
            problems.extend(found.into_iter().map(|problem| format!("{send:?} at {call}: {problem}")));
        }
    }
    expect_that!(problems, is_empty());
}

/// Guards against a replaced owner that changes the intent or gives orders for a changed set.
#[googletest::test]
fn replaced_owner_changes_nothing() {
    let world = OrderWorld::new();
    let mut first = world.host("first", &[], None);
    world.running.store(2, Ordering::SeqCst);
    world.advance(&mut first, 300);
    expect_that!(world.intake.orders.lock().unwrap().last().unwrap().running.len(), eq(2));
    let mut second = world.host("second", &[], None);
    world.advance(&mut second, 5);
    let before = world.store.read("order_intents", "north");
    let orders = world.intake.orders.lock().unwrap().len();
    world.running.store(18, Ordering::SeqCst);
    world.advance(&mut first, 10);
    expect_that!(world.store.read("order_intents", "north"), eq(&before));
    let late = world.intake.orders.lock().unwrap()[orders..].to_vec();
    let changed: Vec<&TargetOrder> = late.iter().filter(|order| order.running.len() > 2).collect();
    expect_that!(changed, is_empty());
}
