//! Every fault at every step of a scenario, over the pure control states.

use std::sync::Mutex;
use std::time::Duration;

use camphorspring::control::ControlEvent;
use camphorspring::control::configuration::{KIND_KEY, KIND_ORGANISATION, KIND_TARGET_OUT, KeyRecord};
use camphorspring::control::gossip_plan::{GossipPlan, GossipRole};
use camphorspring::control::store_call::{CONFIGURATION_TABLE, WITHDRAWN_TABLE, row_check, row_write, version_key};
use camphorspring::control::store_poll::LogRow;
use camphorspring::generated::peer_messages::ConfigurationItem;
use googletest::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::invariant_checks::{HostIsland, InvariantChecks, RESOURCE, admits};
use crate::support::sim_cluster::{LinkMode, SimCluster, SimHost, StoreMode};

/// First withdrawn at host 0, second at host 4, third never.
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

/// Time from the last action or the end of the last fault to the end of a scenario, in which everything heals. It
/// covers a takeover and the deferred write of a withdrawal.
const HEAL_TIME: Duration = Duration::from_secs(20);

/// Time of the last action.
const LAST_ACTION: Duration = Duration::from_secs(20);

/// Threads that run scenarios.
const RUN_THREADS: usize = 4;

/// Moments at which faults begin: before, at and after each action of the scenario.
const STEPS_MS: [u64; 9] = [3000, 4900, 6000, 9000, 12_900, 13_001, 13_300, 15_950, 19_990];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Freeze,
    CutBothWays,
    CutOutgoing,
    CutIncoming,
    CutAndStore,
    CutDomain,
    HoldFrames,
    LoseUpdates,
    Duplicate,
    Reorder,
    StoreDown,
    StoreAnswerLost,
    StoreSlow,
    StoreLateEffect,
    StoreCut,
    KillAndStoreDown,
    FreezeAndStoreAnswerLost,
    HostListWrong,
}

const FAULTS: [FaultKind; 19] = [
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::CutBothWays,
    FaultKind::CutOutgoing,
    FaultKind::CutIncoming,
    FaultKind::CutAndStore,
    FaultKind::CutDomain,
    FaultKind::HoldFrames,
    FaultKind::LoseUpdates,
    FaultKind::Duplicate,
    FaultKind::Reorder,
    FaultKind::StoreDown,
    FaultKind::StoreAnswerLost,
    FaultKind::StoreSlow,
    FaultKind::StoreLateEffect,
    FaultKind::StoreCut,
    FaultKind::KillAndStoreDown,
    FaultKind::FreezeAndStoreAnswerLost,
    FaultKind::HostListWrong,
];

/// Host that a fault hits, by its role when the fault begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Victim {
    Acceptor,
    Poller,
    Owner,
    Other,
}

const VICTIMS: [Victim; 4] = [Victim::Acceptor, Victim::Poller, Victim::Owner, Victim::Other];

#[derive(Debug, Clone, Copy)]
struct PlannedFault {
    kind: FaultKind,
    victim: Victim,
    begin: Duration,
    length: Duration,
}

#[derive(Debug)]
struct PlannedRun {
    seed: u64,
    faults: Vec<PlannedFault>,
}

struct Scenario {
    cluster: SimCluster,
    checks: InvariantChecks,
    running: Vec<(PlannedFault, usize)>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let cluster = SimCluster::new(&["a", "b", "c"], 3, seed);
        let checks = InvariantChecks::new(&KEYS, cluster.hosts.len());
        Self { cluster, checks, running: Vec::new() }
    }

    /// Runs the scenario with the faults given.
    fn run(&mut self, faults: &[PlannedFault]) {
        let mut moments: Vec<(Duration, usize, Moment)> = Vec::new();
        for (at, action) in [(5000, 0), (8000, 1), (13_000, 2), (16_000, 3), (20_000, 4)] {
            moments.push((Duration::from_millis(at), 0, Moment::Action(action)));
        }
        for (index, fault) in faults.iter().enumerate() {
            moments.push((fault.begin, index, Moment::Begin));
            moments.push((fault.begin + fault.length, index, Moment::End));
        }
        moments.sort_by_key(|(at, _, _)| *at);
        for (at, index, moment) in moments {
            self.run_until(at);
            match moment {
                Moment::Action(action) => self.act(action),
                Moment::Begin => self.begin(faults[index]),
                Moment::End => self.end(faults[index]),
            }
            self.checks.check_all(&self.cluster);
        }
        let healed = faults.iter().map(|fault| fault.begin + fault.length).max().unwrap_or_default();
        self.run_until(healed.max(LAST_ACTION) + HEAL_TIME);
    }

    fn run_until(&mut self, end: Duration) {
        let checks = &mut self.checks;
        self.cluster.run_until(end, |cluster| checks.check(cluster));
    }

    fn act(&mut self, action: usize) {
        match action {
            0 => self.change(key_items()),
            1 => {
                for host in 0..self.cluster.hosts.len() {
                    self.cluster.post(host, ControlEvent::RequestResource(RESOURCE.to_owned()));
                }
            }
            2 => self.withdraw(0, KEYS[0]),
            3 => self.change(vec![item(KIND_TARGET_OUT, "t1", "true")]),
            _ => self.withdraw(4, KEYS[1]),
        }
    }

    /// Withdraws a key at a host, or at the next one when it is dead, as an operator does whose command failed.
    fn withdraw(&mut self, host: usize, key: &str) {
        let count = self.cluster.hosts.len();
        let candidates = (0..count).map(|step| (host + step) % count);
        let acceptor = candidates.into_iter().find(|host| self.cluster.hosts[*host].is_alive).unwrap_or(host);
        self.cluster.post(acceptor, ControlEvent::Withdraw(key.to_owned()));
    }

    /// Puts a change in the log, as an operator at a host that is not affected would.
    fn change(&mut self, items: Vec<ConfigurationItem>) {
        let version = self.cluster.store.count(CONFIGURATION_TABLE) as u64 + 1;
        let key = version_key(version);
        let row = LogRow { author: "test".to_owned(), items };
        let checks = [row_check(CONFIGURATION_TABLE, &key, 0)];
        let writes = [row_write(CONFIGURATION_TABLE, &key, &row)];
        assert!(self.cluster.store.transact("test", &checks, &writes).applied);
    }

    fn victim(&self, victim: Victim) -> usize {
        let hosts = &self.cluster.hosts;
        let found = match victim {
            Victim::Acceptor => Some(0),
            Victim::Other => Some(4),
            Victim::Poller => hosts.iter().position(|host| {
                let view = &host.view;
                let plan = GossipPlan::new(&view.host, &view.failure_domain, &view.members, &view.listed);
                plan.role() == GossipRole::Poller
            }),
            Victim::Owner => {
                hosts.iter().position(|host| host.view.owned_resource(RESOURCE, host.local(self.cluster.now)).is_some())
            }
        };
        found.unwrap_or(8)
    }

    fn begin(&mut self, fault: PlannedFault) {
        let host = self.victim(fault.victim);
        self.running.push((fault, host));
        match fault.kind {
            FaultKind::Kill => self.cluster.kill(host),
            FaultKind::Freeze | FaultKind::FreezeAndStoreAnswerLost => self.cluster.freeze(host),
            FaultKind::HostListWrong => {
                let domain = self.cluster.hosts[host].origin.failure_domain.clone();
                self.cluster.store.hosts.retain(|record| record.failure_domain != domain);
            }
            _ => {}
        }
        self.set_conditions();
        if fault.kind == FaultKind::KillAndStoreDown {
            self.cluster.kill(host);
            self.cluster.restart(host);
        }
    }

    fn end(&mut self, fault: PlannedFault) {
        let position = self.running.iter().position(|(running, _)| running.begin == fault.begin);
        let (_, host) = self.running.swap_remove(position.expect("the fault has begun"));
        self.set_conditions();
        match fault.kind {
            FaultKind::Kill => self.cluster.restart(host),
            FaultKind::Freeze | FaultKind::FreezeAndStoreAnswerLost => self.cluster.wake(host),
            FaultKind::HostListWrong => self.cluster.restore_hosts(),
            _ => {}
        }
    }

    /// Sets links and store as the faults that are running demand; of two modes of a link the worse one holds.
    fn set_conditions(&mut self) {
        let count = self.cluster.hosts.len();
        let mut links = vec![vec![LinkMode::Up; count]; count];
        let mut cut_hosts = vec![false; count];
        let mut store = StoreMode::Up;
        for (fault, host) in &self.running {
            mark_links(*fault, *host, &mut links);
            let inside = inside_of(*fault, *host, count);
            for one in inside.iter().filter(|_| is_store_cut(fault.kind)) {
                cut_hosts[*one] = true;
            }
            store = store_mode(fault.kind).unwrap_or(store);
        }
        for (from, row) in links.iter().enumerate() {
            for (to, mode) in row.iter().enumerate() {
                self.cluster.set_link(from, to, *mode);
            }
        }
        for (host, is_cut) in cut_hosts.iter().enumerate() {
            self.cluster.set_store_cut(host, *is_cut);
        }
        self.cluster.set_store(store);
        let islands = self.running.iter().filter(|(fault, _)| is_island(fault.kind));
        let islands =
            islands.map(|(fault, host)| HostIsland { hosts: inside_of(*fault, *host, count), since: fault.begin });
        self.checks.islands = islands.collect();
    }

    /// After everything has healed, all hosts agree, admit the right keys, and one owns the resource.
    fn check_end(&mut self) {
        let version = self.cluster.store.count(CONFIGURATION_TABLE) as u64;
        let mut owners = 0;
        for (index, host) in self.cluster.hosts.iter().enumerate() {
            let local = host.local(self.cluster.now);
            let admitted = KEYS.map(|key| admits(&host.view, local, key));
            owners += usize::from(host.view.owned_resource(RESOURCE, local).is_some());
            if host.view.configuration.version != version || admitted != [false, false, true] {
                let found = host.view.configuration.version;
                self.checks.violations.push(format!("end: host {index} has version {found} and admits {admitted:?}"));
            }
        }
        if owners != 1 || self.cluster.store.count(WITHDRAWN_TABLE) != 2 {
            let stored = self.cluster.store.count(WITHDRAWN_TABLE);
            self.checks.violations.push(format!("end: {owners} owners, {stored} withdrawals in the store"));
        }
    }
}

/// Whether a fault hits one host and not all alike.
fn has_victim(kind: FaultKind) -> bool {
    let hits_all = matches!(kind, FaultKind::Duplicate | FaultKind::Reorder);
    let is_store = matches!(
        kind,
        FaultKind::StoreDown | FaultKind::StoreAnswerLost | FaultKind::StoreSlow | FaultKind::StoreLateEffect
    );
    !hits_all && !is_store
}

fn is_island(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::CutAndStore | FaultKind::CutDomain)
}

fn is_store_cut(kind: FaultKind) -> bool {
    is_island(kind) || matches!(kind, FaultKind::StoreCut | FaultKind::LoseUpdates)
}

fn store_mode(kind: FaultKind) -> Option<StoreMode> {
    match kind {
        FaultKind::StoreDown | FaultKind::KillAndStoreDown => Some(StoreMode::Down),
        FaultKind::StoreAnswerLost | FaultKind::FreezeAndStoreAnswerLost => Some(StoreMode::AnswerLost),
        FaultKind::StoreSlow => Some(StoreMode::Slow),
        FaultKind::StoreLateEffect => Some(StoreMode::LateEffect),
        _ => None,
    }
}

/// Hosts whose links to all others a fault affects.
fn inside_of(fault: PlannedFault, host: usize, count: usize) -> Vec<usize> {
    let domain = host / 3;
    match fault.kind {
        FaultKind::CutDomain => (domain * 3..domain * 3 + 3).collect(),
        FaultKind::Duplicate | FaultKind::Reorder => (0..count).collect(),
        _ => vec![host],
    }
}

fn mark_links(fault: PlannedFault, host: usize, links: &mut [Vec<LinkMode>]) {
    let count = links.len();
    let mode = match fault.kind {
        FaultKind::CutBothWays
        | FaultKind::CutOutgoing
        | FaultKind::CutIncoming
        | FaultKind::CutAndStore
        | FaultKind::CutDomain => LinkMode::Cut,
        FaultKind::HoldFrames => LinkMode::Held,
        FaultKind::LoseUpdates => LinkMode::LoseUpdates,
        FaultKind::Duplicate => LinkMode::Duplicate,
        FaultKind::Reorder => LinkMode::Reorder,
        _ => return,
    };
    let inside = inside_of(fault, host, count);
    let is_whole = inside.len() == count;
    for one in &inside {
        for other in (0..count).filter(|other| other != one && (is_whole || !inside.contains(other))) {
            if fault.kind != FaultKind::CutIncoming {
                links[*one][other] = links[*one][other].max(mode);
            }
            if fault.kind != FaultKind::CutOutgoing {
                links[other][*one] = links[other][*one].max(mode);
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Moment {
    Action(usize),
    Begin,
    End,
}

fn item(kind: &str, name: &str, value: &str) -> ConfigurationItem {
    ConfigurationItem { kind: kind.to_owned(), name: name.to_owned(), value: Some(value.to_owned()) }
}

fn key_items() -> Vec<ConfigurationItem> {
    let mut items = vec![item(KIND_ORGANISATION, "o1", r#"{"name":"o1","weight":1.0}"#)];
    for key in KEYS {
        let record = KeyRecord { key_id: key.to_owned(), organisation: "o1".to_owned(), secret_sha256: String::new() };
        items.push(item(KIND_KEY, key, &serde_json::to_string(&record).unwrap()));
    }
    items
}

/// Runs one scenario; returns what was violated.
fn run_scenario(seed: u64, faults: &[PlannedFault]) -> (Vec<String>, u64) {
    let mut scenario = Scenario::new(seed);
    scenario.run(faults);
    scenario.check_end();
    (scenario.checks.violations, scenario.checks.refusals)
}

fn describe(seed: u64, faults: &[PlannedFault], violations: &[String]) -> String {
    let first: Vec<&String> = violations.iter().take(3).collect();
    format!("seed {seed}, {faults:?}: {} violations, first {first:?}", violations.len())
}

/// Guards against a scenario that violates an invariant, or refuses work, without any fault.
#[googletest::test]
fn scenario_without_faults_holds() {
    for seed in 1..=20 {
        let (violations, refusals) = run_scenario(seed, &[]);
        expect_that!(violations, is_empty(), "seed {seed}");
        expect_that!(refusals, eq(0), "seed {seed}");
    }
}

/// Guards against hosts that know nothing and make each other look fresh, after all of them restarted in an outage of
/// the store.
#[googletest::test]
fn restarted_hosts_do_not_confirm_each_other() {
    let mut scenario = Scenario::new(1);
    scenario.run_until(Duration::from_secs(5));
    scenario.act(0);
    scenario.run_until(Duration::from_secs(15));
    scenario.cluster.set_store(StoreMode::Down);
    for host in 0..scenario.cluster.hosts.len() {
        scenario.cluster.kill(host);
        scenario.cluster.restart(host);
    }
    let mut fresh = 0;
    scenario.cluster.run_until(Duration::from_secs(35), |cluster| {
        fresh += cluster.hosts.iter().filter(|host| host.view.is_fresh(host.local(cluster.now))).count();
    });
    expect_that!(fresh, eq(0));
    let listed = scenario.cluster.hosts.iter().all(|host| host.view.domains.len() == 3);
    expect_that!(listed, eq(true), "the hosts know each other");
    scenario.cluster.set_store(StoreMode::Up);
    scenario.run_until(Duration::from_secs(45));
    let is_ready = |host: &SimHost| admits(&host.view, host.local(scenario.cluster.now), KEYS[2]);
    expect_that!(scenario.cluster.hosts.iter().all(is_ready), eq(true));
}

/// Guards against a host that was cut off while a key was withdrawn, and after that neither learns of it from its peers
/// nor honours other keys, because the withdrawal is older than those that gossip carries.
#[googletest::test]
fn host_learns_old_withdrawals_from_peers() {
    let mut scenario = Scenario::new(2);
    scenario.run_until(Duration::from_secs(5));
    scenario.act(0);
    scenario.run_until(Duration::from_secs(15));
    let begin = Duration::from_secs(15);
    let cut = PlannedFault { kind: FaultKind::CutAndStore, victim: Victim::Other, begin, length: begin };
    let outage = PlannedFault { kind: FaultKind::StoreDown, begin: begin + Duration::from_millis(1), ..cut };
    scenario.begin(cut);
    scenario.begin(outage);
    scenario.withdraw(0, KEYS[0]);
    scenario.run_until(Duration::from_secs(45));
    scenario.end(cut);
    scenario.run_until(Duration::from_secs(53));
    expect_that!(scenario.checks.violations, is_empty());
    let host = &scenario.cluster.hosts[4];
    let local = host.local(scenario.cluster.now);
    expect_that!(KEYS.map(|key| admits(&host.view, local, key)), eq([false, true, true]));
}

/// Guards against a fault at some step after which a withdrawn key works, a configuration goes back or differs, two
/// hosts own a resource, a cut-off or restarted host admits work, or the hosts do not recover.
#[googletest::test]
fn every_fault_at_every_step() {
    let mut runs = Vec::new();
    for kind in FAULTS {
        let victims = if has_victim(kind) { &VICTIMS[..] } else { &VICTIMS[..1] };
        for victim in victims.iter().copied() {
            for step in STEPS_MS {
                for length in [3, 14] {
                    let (begin, length) = (Duration::from_millis(step), Duration::from_secs(length));
                    let seed = 100 + runs.len() as u64;
                    runs.push(PlannedRun { seed, faults: vec![PlannedFault { kind, victim, begin, length }] });
                }
            }
        }
    }
    expect_that!(run_all(&runs), is_empty());
}

/// Guards against two faults at once, at random moments, that together break what each alone does not.
#[googletest::test]
fn two_faults_at_once() {
    let base = std::env::var("CONTROL_FAULT_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(7000);
    println!("seeds from {base}; set CONTROL_FAULT_SEED to change");
    let runs: Vec<PlannedRun> = (base..base + 150).map(plan_two_faults).collect();
    expect_that!(run_all(&runs), is_empty());
}

fn plan_two_faults(seed: u64) -> PlannedRun {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut faults: Vec<PlannedFault> = (0..2).map(|_| random_fault(&mut generator)).collect();
    if faults[0].kind == faults[1].kind || faults[0].begin == faults[1].begin {
        faults.truncate(1);
    }
    PlannedRun { seed, faults }
}

/// Runs all scenarios on a few threads; describes those that violate an invariant.
fn run_all(runs: &[PlannedRun]) -> Vec<String> {
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        let failures = &failures;
        for chunk in runs.chunks(runs.len().div_ceil(RUN_THREADS)) {
            scope.spawn(move || {
                for run in chunk {
                    let (violations, _) = run_scenario(run.seed, &run.faults);
                    if !violations.is_empty() {
                        failures.lock().unwrap().push(describe(run.seed, &run.faults, &violations));
                    }
                }
            });
        }
    });
    failures.into_inner().unwrap()
}

fn random_fault(generator: &mut ChaCha8Rng) -> PlannedFault {
    PlannedFault {
        kind: *FAULTS.choose(generator).unwrap_or(&FaultKind::Kill),
        victim: *VICTIMS.choose(generator).unwrap_or(&Victim::Other),
        begin: Duration::from_millis(generator.random_range(2000..21_000)),
        length: Duration::from_millis(generator.random_range(500..14_000)),
    }
}
