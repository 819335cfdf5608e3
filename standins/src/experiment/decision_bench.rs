//! Benchmark of the dispatch code on one host that coordinates all targets of a domain: time of a decision and memory
//! of the coordinator's state, by the number of targets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorspring::control::ControlView;
use camphorspring::dispatch::dispatch_core::{CoreAction, DispatchCore};
use camphorspring::dispatch::{PermitCompletion, PermitRequirements};
use camphorspring::generated::peer_messages::PermitOutcome;
use camphorspring::policy::shard_map::mix_hash;
use camphorspring::prelude::SHARE_INCREASE_DELAY;

use crate::experiment::measures::percentile;
use crate::experiment::product_router::{CLOCK_START, build_configuration, build_host_view};
use crate::experiment::user_workload::{EngineSpec, OrganisationSpec, SCORING, SERVICE_NAMES, UserWorkload};

/// Numbers of targets of the one domain; each is measured with a new host.
const TARGET_COUNTS: [usize; 4] = [30, 100, 300, 1100];

/// Number of organisations, whose requests alternate.
const ORGANISATION_COUNT: usize = 8;

/// Number of requests that wait while all slots are in use.
const WAITING: usize = 500;

/// Number of prefix hashes of a request.
const PREFIXES: usize = 8;

/// Number of measured decisions for each number of targets.
const DECISIONS: usize = 20_000;

/// Runs the benchmark and prints the figures. `state_kib` is how much the resident memory of the process has grown, and
/// 0 when the system does not tell.
pub fn run_decision_bench() {
    println!("one release and the grant that follows, {WAITING} requests waiting, {PREFIXES} prefix hashes each");
    for targets in TARGET_COUNTS {
        let mut bench = DecisionBench::new(targets);
        let before = read_resident_kib();
        bench.fill_slots();
        let held = bench.tickets.len();
        let mut times = bench.measure_decisions();
        let mean = times.iter().sum::<f64>() / (times.len() as f64);
        let (median, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
        let tick = bench.measure_tick_micros();
        let grown = read_resident_kib().saturating_sub(before);
        println!(
            "targets={targets} permits={held} mean_us={mean:.2} median_us={median:.2} p99_us={p99:.2} tick_us={tick:.0} state_kib={grown}"
        );
    }
}

struct DecisionBench {
    core: DispatchCore,
    view: Arc<ControlView>,
    now: Duration,
    /// Tickets of the permits that are held.
    tickets: Vec<u64>,
    /// Number of requests started so far.
    request_count: u64,
    /// Number of slots of all targets together.
    slots: usize,
}

impl DecisionBench {
    fn new(targets: usize) -> Self {
        let workload = build_workload(targets);
        let configuration = Arc::new(build_configuration(&workload));
        let view = Arc::new(build_host_view(&workload, &["host-0".to_owned()], 0, &configuration));
        let mut core = DispatchCore::new(&view, SHARE_INCREASE_DELAY);
        let mut now = CLOCK_START;
        // More than `SHARE_INCREASE_DELAY`, so that the host uses its full capacity shares.
        for _ in 0..14 {
            now += Duration::from_secs(1);
            core.tick(&view, now);
        }
        Self { core, view, now, tickets: Vec::new(), request_count: 0, slots: targets * 8 }
    }

    /// Starts as many requests as there are slots, and [`WAITING`] more.
    fn fill_slots(&mut self) {
        for _ in 0..self.slots + WAITING {
            self.start_request();
        }
    }

    fn start_request(&mut self) {
        self.request_count += 1;
        // Eight successive requests form a group with the same prefixes.
        let group = mix_hash(self.request_count / 8);
        let requirements = PermitRequirements {
            request_id: String::new(),
            organisation: format!("organisation-{}", self.request_count % ORGANISATION_COUNT as u64),
            service: SERVICE_NAMES[SCORING].to_owned(),
            expected_tokens: 200,
            prefix_hashes: (0..PREFIXES as u64).map(|block| mix_hash(group ^ block)).collect(),
            firm_only: false,
            deadline: Some(self.now + Duration::from_mins(16)),
            excluded_targets: Vec::new(),
            least_version: None,
            wait: Duration::from_mins(16),
        };
        let (_, actions) = self.core.start(&self.view, self.now, Arc::new(requirements));
        self.record_grants(actions);
    }

    fn record_grants(&mut self, actions: Vec<CoreAction>) {
        for action in actions {
            if let CoreAction::Resolve(_, Ok(permit)) = action {
                self.tickets.push(permit.ticket);
            }
        }
    }

    /// Times of releases with the grant that follows each, in microseconds. After each release a new request starts,
    /// which is not timed.
    fn measure_decisions(&mut self) -> Vec<f64> {
        let mut times = Vec::with_capacity(DECISIONS);
        for round in 0..DECISIONS {
            self.now += Duration::from_micros(50);
            let position = mix_hash(round as u64) as usize % self.tickets.len();
            let ticket = self.tickets.swap_remove(position);
            let completion = PermitCompletion {
                outcome: PermitOutcome::Finished,
                tokens: 180,
                first_token: Duration::from_millis(20),
                total: Duration::from_secs(2),
            };
            let start = Instant::now();
            let actions = self.core.release(&self.view, self.now, ticket, completion);
            self.record_grants(actions);
            times.push(start.elapsed().as_secs_f64() * 1e6);
            self.start_request();
        }
        times
    }

    /// Mean time of a tick in microseconds.
    fn measure_tick_micros(&mut self) -> f64 {
        let start = Instant::now();
        for _ in 0..20 {
            self.now += Duration::from_millis(100);
            let actions = self.core.tick(&self.view, self.now);
            self.record_grants(actions);
        }
        start.elapsed().as_secs_f64() * 1e6 / 20.0
    }
}

fn build_workload(targets: usize) -> UserWorkload {
    let engine = |index: usize| EngineSpec {
        id: format!("target-{index:05}"),
        service: SCORING,
        domain: 0,
        is_firm: index.is_multiple_of(3),
        bears: 8,
        slots: 8,
        token_time: Duration::from_millis(8),
        price: 1.0,
    };
    let organisation = |index: usize| OrganisationSpec {
        name: format!("organisation-{index}"),
        weight: 1.0,
        trainer: None,
        scorings: 0.0,
        pages: 0.0,
    };
    UserWorkload {
        name: "bench",
        domains: 1,
        domain_hosts: 1,
        engines: (0..targets).map(engine).collect(),
        organisations: (0..ORGANISATION_COUNT).map(organisation).collect(),
        burst: None,
    }
}

/// Resident memory of this process in KiB; 0 when the system does not tell.
fn read_resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
