//! Releases of weight versions: a released version reaches all targets, and a replaced owner changes nothing on targets
//! that check the epoch.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use camphorspring::clock::{BootTime, boot_time};
use camphorspring::control::configuration::Configuration;
use camphorspring::control::control_view::OwnedResource;
use camphorspring::control::{ControlHandle, ControlView};
use camphorspring::generated::engine_messages::EngineLoad;
use camphorspring::generated::services_text::{ServiceKind, TargetEntry};
use camphorspring::options::services_text::parse_services;
use camphorspring::result_code::ResultCode;
use camphorspring::samples::weight_plan::{OrderOutcome, OutdatedTarget, RolloutCommand, WeightOrder, WeightPlan};
use camphorspring::samples::weight_publisher::WeightPublisher;
use camphorspring::samples::weight_release::release_weights;
use camphorspring::store_client::http_agent;
use camphorspring_standins::engine::{EngineControl, EngineOptions, EngineStandin};
use camphorspring_standins::weight_store::{WeightStoreOptions, WeightStoreStandin};
use googletest::prelude::*;

use crate::memory_store::{FaultyClient, LIVE_FAULTS, MemoryStore, StoreFault};

/// Engines of one service, and the store and configuration that publishers of its weights share.
struct WeightHarness {
    store: Arc<MemoryStore>,
    engines: Vec<EngineStandin>,
    configuration: Arc<Configuration>,
}

/// Publisher under test and the outdated targets that it last reported.
struct TestPublisher {
    publisher: WeightPublisher,
    outdated: Arc<Mutex<Vec<OutdatedTarget>>>,
}

impl WeightHarness {
    fn new(count: usize, options: &EngineOptions) -> Self {
        let engines: Vec<EngineStandin> = (0..count).map(|_| EngineStandin::start(options.clone()).unwrap()).collect();
        let text = include_str!("settings/valid/two_domains.yaml");
        let services = parse_services(text).unwrap();
        let template = services.targets[0].clone();
        let target = |(number, engine): (usize, &EngineStandin)| TargetEntry {
            id: format!("score-{number:02}"),
            address: engine.url().trim_start_matches("http://").to_owned(),
            ..template.clone()
        };
        let mut configuration = Configuration {
            services: services.services,
            targets: engines.iter().enumerate().map(target).collect(),
            ..Configuration::default()
        };
        configuration.services.sort_by(|left, right| left.name.cmp(&right.name));
        Self { store: Arc::default(), engines, configuration: Arc::new(configuration) }
    }

    /// View of a host that owns the weights with an epoch.
    fn view(&self, epoch: u64) -> ControlView {
        let mut view = ControlView::empty("host-a", "north", 1);
        view.configuration = self.configuration.clone();
        let name = "weights/scoring".to_owned();
        view.owned = vec![OwnedResource { name, epoch, row_version: epoch, valid_until: BootTime::MAX }];
        view
    }

    fn control(&self, epoch: u64) -> ControlHandle {
        ControlHandle::new(Arc::new(ArcSwap::from_pointee(self.view(epoch))), sync_channel(16).0)
    }

    fn publisher(&self, epoch: u64) -> TestPublisher {
        let outdated: Arc<Mutex<Vec<OutdatedTarget>>> = Arc::default();
        let sink = outdated.clone();
        let store = FaultyClient::new(&self.store, &[]).access();
        let publisher = WeightPublisher::new(
            "scoring",
            self.control(epoch),
            store,
            Arc::new(boot_time),
            Arc::new(move |_, targets| *sink.lock().unwrap() = targets),
        );
        TestPublisher { publisher, outdated }
    }

    fn release(&self, version: u64) -> std::result::Result<(), ResultCode> {
        let store = FaultyClient::new(&self.store, &[]).access();
        release_weights(&self.control(1), &store, "scoring", version)
    }

    fn versions(&self) -> Vec<u64> {
        self.engines.iter().map(EngineStandin::weight_version).collect()
    }
}

impl WeightHarness {
    /// Starts another engine in place of one; the target keeps its id and gets the new address.
    fn replace_engine(&mut self, position: usize, options: &EngineOptions) {
        let engine = EngineStandin::start(options.clone()).unwrap();
        let mut configuration = Configuration::clone(&self.configuration);
        engine.url().trim_start_matches("http://").clone_into(&mut configuration.targets[position].address);
        self.engines[position] = engine;
        self.configuration = Arc::new(configuration);
    }

    fn staged_version(&self, position: usize) -> Option<u64> {
        let url = format!("{}/v1/load", self.engines[position].url());
        let mut response = http_agent(Duration::from_secs(1), Duration::from_secs(1)).get(url).call().unwrap();
        let load: EngineLoad = serde_json::from_slice(&response.body_mut().read_to_vec().unwrap()).unwrap();
        load.staged_version
    }
}

impl TestPublisher {
    /// Advances the publisher until a condition on the outdated targets holds; returns whether it held within 30 s.
    fn advance_until(&mut self, condition: impl Fn(&[OutdatedTarget]) -> bool) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            self.publisher.advance();
            if condition(&self.outdated.lock().unwrap()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

/// Guards against a release that overloads the weight store, so that some targets never stage the version.
#[googletest::test]
fn released_version_reaches_all_targets_within_the_store_limit() {
    let weights = WeightStoreStandin::start(WeightStoreOptions { reads_per_second: 5, ..Default::default() }).unwrap();
    weights.set_latest(2);
    let options = EngineOptions { weight_store_url: Some(weights.url()), ..EngineOptions::default() };
    let harness = WeightHarness::new(8, &options);
    harness.release(2).unwrap();
    let mut publisher = harness.publisher(1);
    expect_that!(publisher.advance_until(<[OutdatedTarget]>::is_empty), eq(true));
    expect_that!(harness.versions(), each(eq(&2)));
}

/// Guards against targets that switch while another still stages, so that two versions serve a step for longer than
/// needed. One engine of three takes a second to stage.
#[googletest::test]
fn targets_switch_together() {
    let mut harness = WeightHarness::new(3, &EngineOptions::default());
    let slow = EngineOptions { stage_time: Duration::from_secs(1), ..EngineOptions::default() };
    harness.replace_engine(0, &slow);
    harness.release(2).unwrap();
    let mut publisher = harness.publisher(1);
    expect_that!(publisher.advance_until(|_| harness.versions().contains(&2)), eq(true));
    let has_switched = harness.engines[0].weight_version() == 2;
    expect_that!(has_switched || harness.staged_version(0) == Some(2), eq(true));
    expect_that!(publisher.advance_until(<[OutdatedTarget]>::is_empty), eq(true));
}

/// Guards against a number of concurrent stagings that does not fall while the weight store refuses reads. 200 targets
/// stage in virtual time from a store that allows 20 reads a second; each staging takes 0.1 s.
#[googletest::test]
fn stagings_adapt_to_the_weight_store() {
    let targets: Vec<String> = (0..200).map(|number| format!("score-{number:03}")).collect();
    let mut plan = WeightPlan::new();
    plan.set_targets(&targets);
    plan.set_desired(2, Duration::ZERO);
    let mut running: Vec<(Duration, WeightOrder)> = Vec::new();
    let (mut allowed, mut refused) = (0.0_f64, 0);
    let mut now = Duration::ZERO;
    while !plan.outdated_targets().is_empty() && now < Duration::from_mins(2) {
        now += Duration::from_millis(10);
        allowed = (allowed + 0.2).min(20.0);
        for (_, order) in running.extract_if(.., |(end, _)| *end <= now) {
            let is_refused = order.command == RolloutCommand::Stage && allowed < 1.0;
            if order.command == RolloutCommand::Stage && !is_refused {
                allowed -= 1.0;
            }
            refused += u32::from(is_refused);
            let outcome = if is_refused { OrderOutcome::Failed } else { OrderOutcome::Done };
            plan.record_outcome(&order, outcome, now);
        }
        let end = now + Duration::from_millis(100);
        running.extend(plan.next_orders(now).into_iter().map(|order| (end, order)));
    }
    expect_that!(plan.outdated_targets(), is_empty());
    expect_that!(now, le(Duration::from_secs(20)));
    expect_that!(refused, le(100));
}

/// Guards against a target that keeps its old version, or is not reported as outdated, after a failed switch.
#[googletest::test]
fn failed_switch_is_listed_and_repeated() {
    let harness = WeightHarness::new(3, &EngineOptions::default());
    harness.engines[1].control(EngineControl::FailSwitches { count: 2 });
    harness.release(2).unwrap();
    let mut publisher = harness.publisher(1);
    let is_only_second_outdated = |outdated: &[OutdatedTarget]| outdated.len() == 1 && outdated[0].target == "score-01";
    expect_that!(publisher.advance_until(is_only_second_outdated), eq(true));
    expect_that!(harness.versions(), eq(&vec![2, 1, 2]));
    expect_that!(publisher.advance_until(<[OutdatedTarget]>::is_empty), eq(true));
    expect_that!(harness.versions(), each(eq(&2)));
}

/// Guards against a restarted target that keeps serving its initial weights until the next release.
#[googletest::test]
fn restarted_target_is_staged_again() {
    let harness = WeightHarness::new(2, &EngineOptions::default());
    harness.release(3).unwrap();
    let mut publisher = harness.publisher(1);
    expect_that!(publisher.advance_until(<[OutdatedTarget]>::is_empty), eq(true));
    harness.engines[0].crash();
    harness.engines[0].restart();
    expect_that!(harness.engines[0].weight_version(), eq(1));
    expect_that!(publisher.advance_until(|_| harness.engines[0].weight_version() == 3), eq(true));
}

/// Guards against a replaced owner whose orders still take effect and could bring an old version back. The replaced
/// owner still believes that it owns the weights; targets that check the epoch refuse the order of the
/// replaced owner, here for a newer version.
#[googletest::test]
fn replaced_owner_is_refused_by_targets_that_check() {
    let harness = WeightHarness::new(2, &EngineOptions { checks_fencing: true, ..EngineOptions::default() });
    harness.release(2).unwrap();
    let mut successor = harness.publisher(2);
    expect_that!(successor.advance_until(<[OutdatedTarget]>::is_empty), eq(true));
    harness.release(3).unwrap();
    let mut replaced = harness.publisher(1);
    let is_refused = |_: &[OutdatedTarget]| {
        harness.engines.iter().all(|engine| engine.records().orders.iter().any(|trace| !trace.accepted))
    };
    expect_that!(replaced.advance_until(is_refused), eq(true));
    expect_that!(harness.versions(), each(eq(&2)));
}

/// Guards against a released version that decreases, and against a release that is refused although it took effect,
/// when a store call fails.
#[googletest::test]
fn released_version_only_increases_with_faults() {
    let problems = Mutex::new(Vec::new());
    let next = AtomicUsize::new(0);
    let cases: Vec<(u64, StoreFault)> =
        (0..3).flat_map(|call| LIVE_FAULTS.iter().map(move |fault| (call, *fault))).collect();
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    problems.lock().unwrap().extend(release_with_fault(*case));
                }
            });
        }
    });
    expect_that!(problems.into_inner().unwrap(), is_empty());
}

fn release_with_fault(fault: (u64, StoreFault)) -> Vec<String> {
    let harness = WeightHarness::new(0, &EngineOptions::default());
    let client = FaultyClient::new(&harness.store, &[fault]);
    let control = harness.control(1);
    let mut first = Err(ResultCode::StoreUnavailable);
    for _ in 0..3 {
        first = first.or_else(|_| release_weights(&control, &client.access(), "scoring", 5));
    }
    client.thaw();
    let older = harness.release(4);
    let row = harness.store.read("weights", "scoring").map(|row| row.value);
    let is_right =
        first.is_ok() && older == Err(ResultCode::ConfigurationConflict) && row.as_deref() == Some("{\"version\":5}");
    if is_right { Vec::new() } else { vec![format!("{fault:?}: {first:?} {older:?} {row:?}")] }
}

/// Guards against a release for a plain service, which has no weights.
#[googletest::test]
fn release_for_a_plain_service_is_refused() {
    let harness = WeightHarness::new(0, &EngineOptions::default());
    let is_plain = harness.configuration.service("grading").map(|entry| entry.kind) == Some(ServiceKind::Plain);
    expect_that!(is_plain, eq(true));
    let store = FaultyClient::new(&harness.store, &[]).access();
    expect_that!(release_weights(&harness.control(1), &store, "grading", 1), err(eq(ResultCode::NotFound)));
}
