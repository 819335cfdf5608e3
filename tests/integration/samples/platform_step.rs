//! A step over the platform stand-in, with hosts that discover shards. The test grants the ownership of shards in place
//! of the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::Duration;

use arc_swap::ArcSwap;
use camphorspring::clock::BootTime;
use camphorspring::control::control_view::OwnedResource;
use camphorspring::control::lease_table::ResourceRow;
use camphorspring::control::{ControlEvent, ControlHandle, ControlView};
use camphorspring::generated::caller_messages::SampleBatch;
use camphorspring::samples::StepService;
use camphorspring::store_client::StoreClient;
use camphorspring::store_client::store_access::{StoreAccess, row_check, row_write};
use camphorspring_standins::faults::{FaultKind, FaultSpec};
use camphorspring_standins::platform::{PlatformOptions, PlatformStandin};
use googletest::prelude::*;

use super::step_harness::{ORGANISATION, StepHarness, TRAINER, clock, grader_source};

struct TestHost {
    service: StepService,
    stop: Arc<AtomicBool>,
}

impl Drop for TestHost {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn start_host(name: &str, harness: &StepHarness, platform: &PlatformStandin) -> TestHost {
    let mut view = ControlView::empty(name, "north", 1);
    view.configuration = harness.configuration.clone();
    let view = Arc::new(ArcSwap::from_pointee(view));
    let (sender, inbox) = sync_channel(64);
    let store = StoreAccess::of_client(&StoreClient::new(&platform.url()));
    let control = ControlHandle::new(view.clone(), sender);
    let service = StepService::new(control, store.clone(), harness.engine.new_runner(), grader_source(), clock());
    let name = name.to_owned();
    std::thread::spawn(move || grant_resources(&name, &inbox, &store, &view));
    let stop = Arc::new(AtomicBool::new(false));
    service.start_keeper(stop.clone()).unwrap();
    TestHost { service, stop }
}

/// Grants this host each resource that it requests and that has no row yet, so that of several hosts the first to
/// request a resource becomes the owner.
fn grant_resources(host: &str, inbox: &Receiver<ControlEvent>, store: &StoreAccess, view: &ArcSwap<ControlView>) {
    while let Ok(event) = inbox.recv() {
        let mut changed = ControlView::clone(&view.load());
        match event {
            ControlEvent::RequestResource(name) => {
                let row = ResourceRow { owner: host.to_owned(), incarnation: 1, epoch: 1 };
                let value = serde_json::to_string(&row).unwrap();
                let attempt = || {
                    let writes = vec![row_write("resources", &name, value.clone())];
                    (store.transact)(&format!("{host}-{name}"), vec![row_check("resources", &name, 0)], writes)
                };
                let answer = (0..5).map(|_| attempt()).find(std::result::Result::is_ok);
                if answer.is_some_and(|answer| answer.is_ok_and(|answer| answer.applied)) {
                    let owned = OwnedResource { name, epoch: 1, row_version: 1, valid_until: BootTime::MAX };
                    changed.owned.push(owned);
                }
            }
            ControlEvent::ReleaseResource(name) => changed.owned.retain(|owned| owned.name != name),
            _ => {}
        }
        changed.owned.sort_by(|left, right| left.name.cmp(&right.name));
        view.store(Arc::new(changed));
    }
}

/// Guards against steps that only work over the in-memory store, and against more than six store writes for a batch.
/// The stand-in loses three responses and refuses three object calls.
#[googletest::test]
fn step_is_delivered_over_the_platform() {
    let harness = StepHarness::new(64, 32);
    let platform = PlatformStandin::start(PlatformOptions::default()).unwrap();
    let hosts: Vec<TestHost> = ["host-a", "host-b"].iter().map(|name| start_host(name, &harness, &platform)).collect();
    platform.fault(FaultSpec::new(FaultKind::AnswerLost).on("/table/transact").after(3).times(3));
    platform.fault(FaultSpec::new(FaultKind::Refuse).on("/objects").after(5).times(3));
    let mut accepted = hosts[0].service.submit_step(ORGANISATION, &harness.request);
    for _ in 0..3 {
        accepted = accepted.or_else(|_| hosts[1].service.submit_step(ORGANISATION, &harness.request));
    }
    expect_that!(accepted.unwrap().shards, eq(8));
    let mut cursor = String::new();
    let mut batches = Vec::new();
    for number in 0..400 {
        let service = &hosts[number % 2].service;
        let Ok(content) = service.next_batch(ORGANISATION, TRAINER, 7, &cursor, Duration::from_secs(2)) else {
            continue;
        };
        let batch: SampleBatch = serde_json::from_slice(&content).unwrap();
        cursor.clone_from(&batch.cursor);
        batches.push(content);
        if batch.complete {
            break;
        }
    }
    expect_that!(harness.find_problems(&batches), is_empty());
    let rows = platform.read_table("manifest").len();
    let counts = platform.counts();
    println!("manifest rows {rows}, {counts:?}");
    // Six writes for each batch with its delivery; three for each of the eight shards, to open, own and close it; and
    // 60 as a margin for the step's row and repeated calls.
    expect_that!(counts.writes, le(u64::try_from(rows).unwrap() * 6 + 8 * 3 + 60));
}
