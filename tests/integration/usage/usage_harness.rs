//! Hosts that count and report usage, with a store and a report receiver in memory and clocks that the test sets.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use camphorspring::control::control_view::OwnedResource;
use camphorspring::control::{ControlHandle, ControlView};
use camphorspring::generated::platform_messages::{HostRecord, HostState, UsageReport};
use camphorspring::store_client::StoreCallError;
use camphorspring::usage::UsageEvent;
use camphorspring::usage::UsageTiming;
use camphorspring::usage::usage_keeper::{UsageDependencies, UsageKeeper};
use camphorspring::usage::usage_rows::{WindowStart, window_resource};
use camphorspring::usage::window_closer::ReportSender;

use crate::memory_store::{FaultyClient, MemoryStore, StoreFault};

/// Start of the window in which the wall clock of a new fixture stands.
pub const FIRST_WINDOW: WindowStart = 1_800_000_000;

/// Fault of one report on its way to the platform; the sender gets an error in both cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// The report does not reach the platform.
    LostRequest,
    /// The report reaches the platform.
    LostAnswer,
}

/// Clocks, store and report receiver that the hosts of a test share.
#[derive(Default)]
pub struct UsageFixture {
    pub store: Arc<MemoryStore>,
    pub boot_ms: Arc<AtomicU64>,
    pub wall: Arc<AtomicU64>,
    /// Reports that reached the platform, in the order of their arrival.
    pub reports: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Number of reports sent so far by all hosts.
    sends: Arc<AtomicU64>,
    /// Keeper that handles the frames of all hosts; without one, frames are lost.
    receiver: Arc<Mutex<Option<Arc<UsageKeeper>>>>,
}

/// Host with a store client of its own, on which faults are injected.
pub struct UsageHost {
    pub client: Arc<FaultyClient>,
    pub keeper: Arc<UsageKeeper>,
    /// Threads that had not ended when their host was stopped by a fault.
    pub paused: Mutex<Vec<JoinHandle<()>>>,
    view: Arc<ArcSwap<ControlView>>,
}

impl UsageHost {
    /// Lets the paused threads continue and waits until they have ended. Store calls that faults have delayed take
    /// effect meanwhile.
    pub fn resume(&self) {
        self.client.thaw();
        for thread in self.paused.lock().unwrap().drain(..) {
            thread.join().unwrap();
        }
    }
}

impl UsageFixture {
    pub fn new() -> Self {
        let fixture = Self::default();
        fixture.wall.store(FIRST_WINDOW + 10, Ordering::SeqCst);
        fixture.boot_ms.store(1_000_000, Ordering::SeqCst);
        fixture
    }

    pub fn advance(&self, seconds: u64) {
        self.boot_ms.fetch_add(seconds * 1000, Ordering::SeqCst);
        self.wall.fetch_add(seconds, Ordering::SeqCst);
    }

    /// Makes a host the receiver of the frames of all hosts.
    pub fn set_replica_receiver(&self, host: &UsageHost) {
        *self.receiver.lock().unwrap() = Some(host.keeper.clone());
    }

    pub fn create_host(
        &self,
        name: &str,
        faults: &[(u64, StoreFault)],
        send_fault: Option<(u64, SendFault)>,
    ) -> UsageHost {
        let mut view = ControlView::empty(name, "north", 7);
        view.listed = Arc::new(vec![create_host_record(name, "north"), create_host_record("peer", "south")]);
        let view = Arc::new(ArcSwap::from_pointee(view));
        let client = FaultyClient::new(&self.store, faults);
        let (boot_ms, wall, receiver) = (self.boot_ms.clone(), self.wall.clone(), self.receiver.clone());
        let keeper = UsageKeeper::new(UsageDependencies {
            control: ControlHandle::new(view.clone(), sync_channel(1024).0),
            store: client.access(),
            frames: Arc::new(move |_, frame| {
                if let Some(receiver) = receiver.lock().unwrap().as_ref() {
                    receiver.handle_frame(&frame);
                }
                true
            }),
            reports: self.create_sender(send_fault),
            clock: Arc::new(move || Duration::from_millis(boot_ms.load(Ordering::SeqCst))),
            wall: Arc::new(move || wall.load(Ordering::SeqCst)),
            timing: UsageTiming::default(),
        });
        UsageHost { client, keeper, paused: Mutex::default(), view }
    }

    fn create_sender(&self, fault: Option<(u64, SendFault)>) -> ReportSender {
        let (reports, sends) = (self.reports.clone(), self.sends.clone());
        Arc::new(move |bytes| {
            let number = sends.fetch_add(1, Ordering::SeqCst);
            let fault = fault.filter(|(call, _)| *call == number).map(|(_, fault)| fault);
            if fault != Some(SendFault::LostRequest) {
                reports.lock().unwrap().push(bytes.to_vec());
            }
            if fault.is_some() { Err(StoreCallError::AnswerLost) } else { Ok(()) }
        })
    }

    /// Makes a host the owner of a window. Writes the resource row of the window, whose version is the epoch and
    /// increases with each write.
    pub fn make_owner(&self, host: &UsageHost, window: WindowStart) {
        let name = window_resource(window);
        let epoch = self.store.read("resources", &name).map_or(0, |row| row.version) + 1;
        self.store.set("resources", &name, "{}");
        let mut view = ControlView::clone(&host.view.load());
        let owned = OwnedResource { name, epoch, row_version: epoch, valid_until: Duration::MAX };
        view.owned.retain(|other| other.name != owned.name);
        view.owned.push(owned);
        view.owned.sort_by(|left, right| left.name.cmp(&right.name));
        host.view.store(Arc::new(view));
    }

    /// Finds problems of the reports so far: two contents for one window, or another total of tokens than expected.
    pub fn find_problems(&self, expected_tokens: u64) -> Vec<String> {
        let mut reports = self.reports.lock().unwrap().clone();
        reports.sort_unstable();
        reports.dedup();
        let reports: Vec<UsageReport> = reports.iter().map(|bytes| serde_json::from_slice(bytes).unwrap()).collect();
        let mut ids: Vec<&str> = reports.iter().map(|report| report.report_id.as_str()).collect();
        ids.sort_unstable();
        let mut problems = Vec::new();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            problems.push(format!("a window was reported with two contents: {ids:?}"));
        }
        let tokens: u64 = reports.iter().flat_map(|report| &report.figures).map(|figure| figure.tokens).sum();
        if tokens != expected_tokens {
            problems.push(format!("{tokens} tokens were reported of {expected_tokens}"));
        }
        problems
    }
}

fn create_host_record(host: &str, domain: &str) -> HostRecord {
    HostRecord {
        host: host.to_owned(),
        failure_domain: domain.to_owned(),
        state: HostState::Live,
        peer_address: String::new(),
        caller_address: String::new(),
        operator_address: String::new(),
    }
}

pub fn create_event(tokens: u64) -> UsageEvent {
    UsageEvent {
        organisation: "north-crew".to_owned(),
        service: "scoring".to_owned(),
        requests: 1,
        tokens,
        target_time: Duration::from_millis(5),
    }
}
