//! Time of a decision and memory of a home's state, by number of targets in one domain.

use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorspring::control::ControlView;
use camphorspring::dispatch::dispatch_core::{CoreAction, DispatchCore};
use camphorspring::dispatch::{PermitCompletion, PermitRequirements};
use camphorspring::generated::peer_messages::PermitOutcome;
use camphorspring::policy::shard_map::mix_hash;
use camphorspring::prelude::SHARE_SETTLE;

use crate::experiment::measures::percentile;
use crate::experiment::product_router::{CLOCK_START, configuration, host_view};
use crate::experiment::user_workload::{EngineSpec, OrganisationSpec, SCORING, SERVICE_NAMES, UserWorkload};

/// Numbers of targets.
const TARGET_COUNTS: [usize; 4] = [30, 100, 300, 1100];

/// Organisations that ask.
const ORGANISATIONS: usize = 8;

/// Requests that wait behind those that run.
const WAITING: usize = 500;

/// Prefix hashes of a request.
const PREFIXES: usize = 8;

/// Measured decisions for each number of targets.
const DECISIONS: usize = 20_000;

/// Prints decision times and memory.
pub fn run_decision_bench() {
    println!("one release and the grant that follows, {WAITING} requests waiting, {PREFIXES} prefix hashes each");
    for targets in TARGET_COUNTS {
        let mut bench = DecisionBench::new(targets);
        let before = resident_kib();
        bench.fill();
        let held = bench.tickets.len();
        let mut times = bench.measure();
        let mean = times.iter().sum::<f64>() / (times.len() as f64);
        let (median, p99) = (percentile(&mut times, 0.5), percentile(&mut times, 0.99));
        let tick = bench.tick_micros();
        let grown = resident_kib().saturating_sub(before);
        println!(
            "targets={targets} permits={held} mean_us={mean:.2} median_us={median:.2} p99_us={p99:.2} tick_us={tick:.0} state_kib={grown}"
        );
    }
}

struct DecisionBench {
    core: DispatchCore,
    view: Arc<ControlView>,
    now: Duration,
    tickets: Vec<u64>,
    next: u64,
    slots: usize,
}

impl DecisionBench {
    fn new(targets: usize) -> Self {
        let workload = bench_workload(targets);
        let configuration = Arc::new(configuration(&workload));
        let view = Arc::new(host_view(&workload, &["host-0".to_owned()], 0, &configuration));
        let mut core = DispatchCore::new(&view, SHARE_SETTLE);
        let mut now = CLOCK_START;
        for _ in 0..14 {
            now += Duration::from_secs(1);
            core.tick(&view, now);
        }
        Self { core, view, now, tickets: Vec::new(), next: 0, slots: targets * 8 }
    }

    /// Takes all slots and lets requests wait.
    fn fill(&mut self) {
        for _ in 0..self.slots + WAITING {
            self.start();
        }
    }

    fn start(&mut self) {
        self.next += 1;
        let group = mix_hash(self.next / 8);
        let ask = PermitRequirements {
            request_id: String::new(),
            organisation: format!("organisation-{}", self.next % ORGANISATIONS as u64),
            service: SERVICE_NAMES[SCORING].to_owned(),
            expected_tokens: 200,
            prefix_hashes: (0..PREFIXES as u64).map(|block| mix_hash(group ^ block)).collect(),
            firm_only: false,
            deadline: Some(self.now + Duration::from_mins(16)),
            excluded_targets: Vec::new(),
            least_version: None,
            wait: Duration::from_mins(16),
        };
        let (_, actions) = self.core.start(&self.view, self.now, Arc::new(ask));
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<CoreAction>) {
        for action in actions {
            if let CoreAction::Settle(_, Ok(granted)) = action {
                self.tickets.push(granted.ticket);
            }
        }
    }

    /// Times of one release with the grant that follows, and one new request, in microseconds.
    fn measure(&mut self) -> Vec<f64> {
        let mut times = Vec::with_capacity(DECISIONS);
        for round in 0..DECISIONS {
            self.now += Duration::from_micros(50);
            let position = mix_hash(round as u64) as usize % self.tickets.len();
            let ticket = self.tickets.swap_remove(position);
            let report = PermitCompletion {
                outcome: PermitOutcome::Finished,
                tokens: 180,
                first_token: Duration::from_millis(20),
                total: Duration::from_secs(2),
            };
            let start = Instant::now();
            let actions = self.core.release(&self.view, self.now, ticket, report);
            self.take(actions);
            times.push(start.elapsed().as_secs_f64() * 1e6);
            self.start();
        }
        times
    }

    fn tick_micros(&mut self) -> f64 {
        let start = Instant::now();
        for _ in 0..20 {
            self.now += Duration::from_millis(100);
            let actions = self.core.tick(&self.view, self.now);
            self.take(actions);
        }
        start.elapsed().as_secs_f64() * 1e6 / 20.0
    }
}

fn bench_workload(targets: usize) -> UserWorkload {
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
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        burst: None,
    }
}

/// Resident memory of this process in KiB; 0 where the system does not say.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
