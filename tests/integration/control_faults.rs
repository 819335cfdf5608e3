//! Scenarios of key withdrawals, a configuration change and a lease on simulated hosts, with faults at chosen and
//! random times.

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

use crate::support::invariant_checks::{HostIsland, InvariantChecks, RESOURCE, admits_key};
use crate::support::sim_cluster::{LinkMode, SimCluster, SimHost, StoreMode};

/// Keys of a scenario: the first is withdrawn at host 0, the second at host 4, the third never.
const KEYS: [&str; 3] = ["k1", "k2", "k3"];

/// Time that the hosts have to recover after the last action or fault, before the final state is checked. Enough for a
/// takeover and for the delayed write of a withdrawal.
const HEAL_TIME: Duration = Duration::from_secs(20);

/// Virtual time of the last action of a scenario.
const LAST_ACTION_AT: Duration = Duration::from_secs(20);

/// Threads among which the scenarios are divided.
const RUN_THREADS: usize = 4;

/// Virtual times at which faults begin, in milliseconds. The actions of a scenario are at 5, 8, 13, 16 and 20 s.
const FAULT_TIMES_MS: [u64; 9] = [3000, 4900, 6000, 9000, 12_900, 13_001, 13_300, 15_950, 19_990];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Freeze,
    CutBothWays,
    CutOutgoing,
    CutIncoming,
    /// Cuts all links of one host, and its link to the store.
    CutHost,
    /// Cuts the links of a failure domain to the others and to the store.
    CutDomain,
    HoldFrames,
    /// Loses frames with changes and withdrawn keys, and cuts the link to the store.
    LoseUpdates,
    Duplicate,
    Reorder,
    StoreDown,
    StoreAnswerLost,
    StoreSlow,
    StoreLateEffect,
    /// Cuts the link of one host to the store.
    StoreCut,
    /// Restarts the host at once, while the store is down.
    KillAndStoreDown,
    FreezeAndStoreAnswerLost,
    /// Removes the failure domain of the host from the host list.
    HostListWrong,
}

const FAULTS: [FaultKind; 19] = [
    FaultKind::Kill,
    FaultKind::Freeze,
    FaultKind::CutBothWays,
    FaultKind::CutOutgoing,
    FaultKind::CutIncoming,
    FaultKind::CutHost,
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

/// Host that a fault hits, by the role of the host when the fault begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Victim {
    /// Host 0, at which the first key is withdrawn.
    Withdrawer,
    /// A host that polls the store for its failure domain.
    Poller,
    /// Owner of the resource.
    Owner,
    /// Host 4, at which the second key is withdrawn.
    Other,
}

const VICTIMS: [Victim; 4] = [Victim::Withdrawer, Victim::Poller, Victim::Owner, Victim::Other];

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
    active_faults: Vec<(PlannedFault, usize)>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let cluster = SimCluster::new(&["a", "b", "c"], 3, seed);
        let checks = InvariantChecks::new(&KEYS, cluster.hosts.len());
        Self { cluster, checks, active_faults: Vec::new() }
    }

    /// Runs the actions and the given faults in the order of their times, and then waits for the recovery.
    fn run(&mut self, faults: &[PlannedFault]) {
        let mut steps: Vec<(Duration, usize, ScenarioStep)> = Vec::new();
        // The numbered actions are those of `run_action`.
        for (at, action) in [(5000, 0), (8000, 1), (13_000, 2), (16_000, 3), (20_000, 4)] {
            steps.push((Duration::from_millis(at), 0, ScenarioStep::Action(action)));
        }
        for (index, fault) in faults.iter().enumerate() {
            steps.push((fault.begin, index, ScenarioStep::Begin));
            steps.push((fault.begin + fault.length, index, ScenarioStep::End));
        }
        steps.sort_by_key(|(at, _, _)| *at);
        for (at, index, step) in steps {
            self.run_until(at);
            match step {
                ScenarioStep::Action(action) => self.run_action(action),
                ScenarioStep::Begin => self.begin_fault(faults[index]),
                ScenarioStep::End => self.end_fault(faults[index]),
            }
            self.checks.check_all(&self.cluster);
        }
        let healed_at = faults.iter().map(|fault| fault.begin + fault.length).max().unwrap_or_default();
        self.run_until(healed_at.max(LAST_ACTION_AT) + HEAL_TIME);
    }

    fn run_until(&mut self, end: Duration) {
        let checks = &mut self.checks;
        self.cluster.run_until(end, |cluster| checks.check(cluster));
    }

    /// Runs one action: 0 grants the keys, 1 requests the resource at all hosts, 2 and 4 withdraw a key, 3 changes the
    /// configuration.
    fn run_action(&mut self, action: usize) {
        match action {
            0 => self.append_change(build_key_items()),
            1 => {
                for host in 0..self.cluster.hosts.len() {
                    self.cluster.post_event(host, ControlEvent::RequestResource(RESOURCE.to_owned()));
                }
            }
            2 => self.withdraw_key(0, KEYS[0]),
            3 => self.append_change(vec![build_item(KIND_TARGET_OUT, "t1", "true")]),
            _ => self.withdraw_key(4, KEYS[1]),
        }
    }

    /// Withdraws a key at a host, or at the next live one if that host is dead, as an operator repeats a failed command
    /// elsewhere.
    fn withdraw_key(&mut self, host: usize, key: &str) {
        let count = self.cluster.hosts.len();
        let candidates = (0..count).map(|offset| (host + offset) % count);
        let live_host = candidates.into_iter().find(|host| self.cluster.hosts[*host].is_alive).unwrap_or(host);
        self.cluster.post_event(live_host, ControlEvent::Withdraw(key.to_owned()));
    }

    /// Writes a change to the configuration log directly, as a host outside all faults would.
    fn append_change(&mut self, items: Vec<ConfigurationItem>) {
        let version = self.cluster.store.count_rows(CONFIGURATION_TABLE) as u64 + 1;
        let key = version_key(version);
        let row = LogRow { author: "test".to_owned(), items };
        let checks = [row_check(CONFIGURATION_TABLE, &key, 0)];
        let writes = [row_write(CONFIGURATION_TABLE, &key, &row)];
        assert!(self.cluster.store.transact("test", &checks, &writes).applied);
    }

    fn find_victim(&self, victim: Victim) -> usize {
        let hosts = &self.cluster.hosts;
        let found = match victim {
            Victim::Withdrawer => Some(0),
            Victim::Other => Some(4),
            Victim::Poller => hosts.iter().position(|host| {
                let view = &host.view;
                let plan = GossipPlan::new(&view.host, &view.failure_domain, &view.members, &view.listed);
                plan.role() == GossipRole::Poller
            }),
            Victim::Owner => hosts
                .iter()
                .position(|host| host.view.owned_resource(RESOURCE, host.local_time(self.cluster.now)).is_some()),
        };
        // Without a poller or an owner, the last host is hit.
        found.unwrap_or(8)
    }

    fn begin_fault(&mut self, fault: PlannedFault) {
        let host = self.find_victim(fault.victim);
        self.active_faults.push((fault, host));
        match fault.kind {
            FaultKind::Kill => self.cluster.kill_host(host),
            FaultKind::Freeze | FaultKind::FreezeAndStoreAnswerLost => self.cluster.freeze_host(host),
            FaultKind::HostListWrong => {
                let domain = self.cluster.hosts[host].origin.failure_domain.clone();
                self.cluster.store.hosts.retain(|record| record.failure_domain != domain);
            }
            _ => {}
        }
        self.apply_active_faults();
        if fault.kind == FaultKind::KillAndStoreDown {
            self.cluster.kill_host(host);
            self.cluster.restart_host(host);
        }
    }

    fn end_fault(&mut self, fault: PlannedFault) {
        let position = self.active_faults.iter().position(|(active, _)| active.begin == fault.begin);
        let (_, host) = self.active_faults.swap_remove(position.expect("the fault has begun"));
        self.apply_active_faults();
        match fault.kind {
            FaultKind::Kill => self.cluster.restart_host(host),
            FaultKind::Freeze | FaultKind::FreezeAndStoreAnswerLost => self.cluster.resume_host(host),
            FaultKind::HostListWrong => self.cluster.restore_host_list(),
            _ => {}
        }
    }

    /// Sets the links and the store to the modes that the active faults require. If two faults affect one link, the
    /// more harmful mode applies.
    fn apply_active_faults(&mut self) {
        let count = self.cluster.hosts.len();
        let mut links = vec![vec![LinkMode::Up; count]; count];
        let mut cut_hosts = vec![false; count];
        let mut store = StoreMode::Up;
        for (fault, host) in &self.active_faults {
            apply_link_mode(*fault, *host, &mut links);
            let affected = affected_hosts(*fault, *host, count);
            for affected_host in affected.iter().filter(|_| cuts_store(fault.kind)) {
                cut_hosts[*affected_host] = true;
            }
            store = store_mode_of(fault.kind).unwrap_or(store);
        }
        for (from, row) in links.iter().enumerate() {
            for (to, mode) in row.iter().enumerate() {
                self.cluster.set_link(from, to, *mode);
            }
        }
        for (host, is_cut) in cut_hosts.iter().enumerate() {
            self.cluster.set_store_cut(host, *is_cut);
        }
        self.cluster.set_store_mode(store);
        let islands = self.active_faults.iter().filter(|(fault, _)| isolates_hosts(fault.kind));
        let islands =
            islands.map(|(fault, host)| HostIsland { hosts: affected_hosts(*fault, *host, count), since: fault.begin });
        self.checks.islands = islands.collect();
    }

    /// Checks the state after the recovery: all hosts have the newest version, refuse the withdrawn keys and admit the
    /// third; one host owns the resource; the store has both withdrawals.
    fn check_final_state(&mut self) {
        let version = self.cluster.store.count_rows(CONFIGURATION_TABLE) as u64;
        let mut owners = 0;
        for (index, host) in self.cluster.hosts.iter().enumerate() {
            let local_now = host.local_time(self.cluster.now);
            let admitted = KEYS.map(|key| admits_key(&host.view, local_now, key));
            owners += usize::from(host.view.owned_resource(RESOURCE, local_now).is_some());
            if host.view.configuration.version != version || admitted != [false, false, true] {
                let found = host.view.configuration.version;
                self.checks.violations.push(format!("end: host {index} has version {found} and admits {admitted:?}"));
            }
        }
        if owners != 1 || self.cluster.store.count_rows(WITHDRAWN_TABLE) != 2 {
            let stored = self.cluster.store.count_rows(WITHDRAWN_TABLE);
            self.checks.violations.push(format!("end: {owners} owners, {stored} withdrawals in the store"));
        }
    }
}

/// Whether the effect of a fault depends on the victim.
fn depends_on_victim(kind: FaultKind) -> bool {
    let hits_all = matches!(kind, FaultKind::Duplicate | FaultKind::Reorder);
    let is_store_fault = matches!(
        kind,
        FaultKind::StoreDown | FaultKind::StoreAnswerLost | FaultKind::StoreSlow | FaultKind::StoreLateEffect
    );
    !hits_all && !is_store_fault
}

/// Whether a fault leaves the affected hosts without the store and all other hosts.
fn isolates_hosts(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::CutHost | FaultKind::CutDomain)
}

/// Whether a fault also cuts the link to the store. With [`FaultKind::LoseUpdates`], the hosts could otherwise read the
/// lost updates from the store.
fn cuts_store(kind: FaultKind) -> bool {
    isolates_hosts(kind) || matches!(kind, FaultKind::StoreCut | FaultKind::LoseUpdates)
}

fn store_mode_of(kind: FaultKind) -> Option<StoreMode> {
    match kind {
        FaultKind::StoreDown | FaultKind::KillAndStoreDown => Some(StoreMode::Down),
        FaultKind::StoreAnswerLost | FaultKind::FreezeAndStoreAnswerLost => Some(StoreMode::AnswerLost),
        FaultKind::StoreSlow => Some(StoreMode::Slow),
        FaultKind::StoreLateEffect => Some(StoreMode::LateEffect),
        _ => None,
    }
}

/// Hosts that a fault cuts off from others or from the store, or whose links to others it impairs.
fn affected_hosts(fault: PlannedFault, host: usize, count: usize) -> Vec<usize> {
    let domain = host / 3;
    match fault.kind {
        FaultKind::CutDomain => (domain * 3..domain * 3 + 3).collect(),
        FaultKind::Duplicate | FaultKind::Reorder => (0..count).collect(),
        _ => vec![host],
    }
}

fn apply_link_mode(fault: PlannedFault, host: usize, links: &mut [Vec<LinkMode>]) {
    let count = links.len();
    let mode = match fault.kind {
        FaultKind::CutBothWays
        | FaultKind::CutOutgoing
        | FaultKind::CutIncoming
        | FaultKind::CutHost
        | FaultKind::CutDomain => LinkMode::Cut,
        FaultKind::HoldFrames => LinkMode::Held,
        FaultKind::LoseUpdates => LinkMode::LoseUpdates,
        FaultKind::Duplicate => LinkMode::Duplicate,
        FaultKind::Reorder => LinkMode::Reorder,
        _ => return,
    };
    let affected = affected_hosts(fault, host, count);
    let affects_all = affected.len() == count;
    for affected_host in &affected {
        for other in (0..count).filter(|other| other != affected_host && (affects_all || !affected.contains(other))) {
            if fault.kind != FaultKind::CutIncoming {
                links[*affected_host][other] = links[*affected_host][other].max(mode);
            }
            if fault.kind != FaultKind::CutOutgoing {
                links[other][*affected_host] = links[other][*affected_host].max(mode);
            }
        }
    }
}

/// Entry in the timeline of a scenario: an action by number, or the begin or end of a fault.
#[derive(Debug, Clone, Copy)]
enum ScenarioStep {
    Action(usize),
    Begin,
    End,
}

fn build_item(kind: &str, name: &str, value: &str) -> ConfigurationItem {
    ConfigurationItem { kind: kind.to_owned(), name: name.to_owned(), value: Some(value.to_owned()) }
}

fn build_key_items() -> Vec<ConfigurationItem> {
    let mut items = vec![build_item(KIND_ORGANISATION, "o1", r#"{"name":"o1","weight":1.0}"#)];
    for key in KEYS {
        let record = KeyRecord { key_id: key.to_owned(), organisation: "o1".to_owned(), secret_sha256: String::new() };
        items.push(build_item(KIND_KEY, key, &serde_json::to_string(&record).unwrap()));
    }
    items
}

/// Runs one scenario; returns the violations, and the number of refusals of the key that is never withdrawn.
fn run_scenario(seed: u64, faults: &[PlannedFault]) -> (Vec<String>, u64) {
    let mut scenario = Scenario::new(seed);
    scenario.run(faults);
    scenario.check_final_state();
    (scenario.checks.violations, scenario.checks.last_key_refusals)
}

fn describe_failure(seed: u64, faults: &[PlannedFault], violations: &[String]) -> String {
    let first: Vec<&String> = violations.iter().take(3).collect();
    format!("seed {seed}, {faults:?}: {} violations, first {first:?}", violations.len())
}

/// Guards against hosts that violate an invariant or refuse a valid key although there is no fault.
#[googletest::test]
fn scenario_without_faults_holds() {
    for seed in 1..=20 {
        let (violations, refusals) = run_scenario(seed, &[]);
        expect_that!(violations, is_empty(), "seed {seed}");
        expect_that!(refusals, eq(0), "seed {seed}");
    }
}

/// Guards against hosts that make each other look fresh without the configuration, after all of them were restarted
/// while the store was down.
#[googletest::test]
fn restarted_hosts_do_not_confirm_each_other() {
    let mut scenario = Scenario::new(1);
    scenario.run_until(Duration::from_secs(5));
    scenario.run_action(0);
    scenario.run_until(Duration::from_secs(15));
    scenario.cluster.set_store_mode(StoreMode::Down);
    for host in 0..scenario.cluster.hosts.len() {
        scenario.cluster.kill_host(host);
        scenario.cluster.restart_host(host);
    }
    let mut fresh_view_count = 0;
    scenario.cluster.run_until(Duration::from_secs(35), |cluster| {
        fresh_view_count +=
            cluster.hosts.iter().filter(|host| host.view.is_fresh(host.local_time(cluster.now))).count();
    });
    expect_that!(fresh_view_count, eq(0));
    let has_all_domains = scenario.cluster.hosts.iter().all(|host| host.view.domains.len() == 3);
    expect_that!(has_all_domains, eq(true), "the hosts know each other");
    scenario.cluster.set_store_mode(StoreMode::Up);
    scenario.run_until(Duration::from_secs(45));
    let is_ready = |host: &SimHost| admits_key(&host.view, host.local_time(scenario.cluster.now), KEYS[2]);
    expect_that!(scenario.cluster.hosts.iter().all(is_ready), eq(true));
}

/// Guards against a host that was cut off while a key was withdrawn, and afterwards does not learn the withdrawal or
/// refuses all keys. When the links are back, gossip frames no longer carry the withdrawal, and the store is down.
#[googletest::test]
fn host_learns_old_withdrawals_from_peers() {
    let mut scenario = Scenario::new(2);
    scenario.run_until(Duration::from_secs(5));
    scenario.run_action(0);
    scenario.run_until(Duration::from_secs(15));
    let begin = Duration::from_secs(15);
    let cut = PlannedFault { kind: FaultKind::CutHost, victim: Victim::Other, begin, length: begin };
    let outage = PlannedFault { kind: FaultKind::StoreDown, begin: begin + Duration::from_millis(1), ..cut };
    scenario.begin_fault(cut);
    scenario.begin_fault(outage);
    scenario.withdraw_key(0, KEYS[0]);
    scenario.run_until(Duration::from_secs(45));
    scenario.end_fault(cut);
    scenario.run_until(Duration::from_secs(53));
    expect_that!(scenario.checks.violations, is_empty());
    let host = &scenario.cluster.hosts[4];
    let local_now = host.local_time(scenario.cluster.now);
    expect_that!(KEYS.map(|key| admits_key(&host.view, local_now, key)), eq([false, true, true]));
}

/// Guards against a single fault after which a withdrawn key is admitted, a configuration goes back or differs between
/// hosts, two hosts own a resource, a cut-off or restarted host admits requests, or the hosts do not recover.
#[googletest::test]
fn every_fault_at_every_step() {
    let mut runs = Vec::new();
    for kind in FAULTS {
        let victims = if depends_on_victim(kind) { &VICTIMS[..] } else { &VICTIMS[..1] };
        for victim in victims.iter().copied() {
            for begin_ms in FAULT_TIMES_MS {
                for length in [3, 14] {
                    let (begin, length) = (Duration::from_millis(begin_ms), Duration::from_secs(length));
                    let seed = 100 + runs.len() as u64;
                    runs.push(PlannedRun { seed, faults: vec![PlannedFault { kind, victim, begin, length }] });
                }
            }
        }
    }
    expect_that!(run_all(&runs), is_empty());
}

/// Guards against pairs of faults, at random times, that violate an invariant together. If both have the same kind or
/// time, the run has only the first one.
#[googletest::test]
fn two_faults_at_once() {
    let base = std::env::var("CONTROL_FAULT_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(7000);
    println!("seeds from {base}; set CONTROL_FAULT_SEED to change");
    let runs: Vec<PlannedRun> = (base..base + 150).map(plan_two_faults).collect();
    expect_that!(run_all(&runs), is_empty());
}

fn plan_two_faults(seed: u64) -> PlannedRun {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut faults: Vec<PlannedFault> = (0..2).map(|_| draw_fault(&mut generator)).collect();
    if faults[0].kind == faults[1].kind || faults[0].begin == faults[1].begin {
        faults.truncate(1);
    }
    PlannedRun { seed, faults }
}

/// Runs all scenarios on [`RUN_THREADS`] threads; describes those that violate an invariant.
fn run_all(runs: &[PlannedRun]) -> Vec<String> {
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        let failures = &failures;
        for chunk in runs.chunks(runs.len().div_ceil(RUN_THREADS)) {
            scope.spawn(move || {
                for run in chunk {
                    let (violations, _) = run_scenario(run.seed, &run.faults);
                    if !violations.is_empty() {
                        failures.lock().unwrap().push(describe_failure(run.seed, &run.faults, &violations));
                    }
                }
            });
        }
    });
    failures.into_inner().unwrap()
}

fn draw_fault(generator: &mut ChaCha8Rng) -> PlannedFault {
    PlannedFault {
        kind: *FAULTS.choose(generator).unwrap_or(&FaultKind::Kill),
        victim: *VICTIMS.choose(generator).unwrap_or(&Victim::Other),
        begin: Duration::from_millis(generator.random_range(2000..21_000)),
        length: Duration::from_millis(generator.random_range(500..14_000)),
    }
}
