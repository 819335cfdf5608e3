//! Plan of random faults, drawn from a seed, and their injection into an installation.

use std::time::{Duration, Instant};

use camphorspring_standins::{FaultKind, FaultSpec, RelayCommand, RelayDirection};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::installation::{CALLER_HOST, CALLER_KEY, HOST_COUNT, SoakInstallation};
use crate::stand_ins::callers::build_configuration;

/// Average number of faults that start per second.
const FAULTS_PER_SECOND: f64 = 2.5;

/// Range of the lengths of faults in milliseconds. A host whose row in the store is unchanged for 3.5 s counts as gone,
/// and other hosts take over its jobs; the range lies on both sides of that time.
const FAULT_LENGTH_MILLIS: std::ops::Range<u64> = 200..6_000;

/// Kind of a fault, with the index of the affected host or target. The planned length is ignored by kinds that take
/// effect at one moment and by [`Self::Restart`], which lasts until the host is started again.
#[derive(Debug, Clone, Copy)]
pub enum SoakFault {
    /// The process of a host is killed, and started again at the end of the fault.
    Kill(usize),
    /// The processes of all hosts are killed, and started again at the end of the fault.
    KillAll,
    /// The process of a host is stopped by SIGSTOP and continued by SIGCONT.
    Pause(usize),
    /// A host is stopped by SIGTERM, which lets it finish its work, and is started again.
    Restart(usize),
    /// A host reads its settings again on SIGHUP; they are unchanged.
    Reload(usize),
    /// The relay between a host and the store holds back all bytes of a direction.
    CutStore(usize, RelayDirection),
    /// The relay between a host and the store delays all bytes.
    SlowStore(usize),
    /// The relay between a host and the store closes all connections.
    ResetStore(usize),
    /// The server of the store injects a fault into the calls of all hosts.
    Store(FaultKind),
    /// The store discards its history of changes, so that feeds cannot continue.
    DropHistory,
    /// An operator writes a configuration of this version, with one more key.
    Configure(u64),
    /// The relay in front of a target holds back all bytes of a direction.
    CutTarget(usize, RelayDirection),
    /// The relay in front of a target closes all connections.
    ResetTarget(usize),
    /// The server of a target injects a fault into all requests.
    Target(usize, FaultKind),
    /// A target restarts under another id, and its connections are closed.
    ReplaceTarget(usize),
}

/// Fault with its start, counted from the start of the plan, and its length.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    start: Duration,
    length: Duration,
    fault: SoakFault,
}

/// All faults of a seed, sorted by start.
#[derive(Debug)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of a seed; all start within `window`.
    pub fn new(seed: u64, window: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a few dozen")]
        let count = (window.as_secs_f64() * FAULTS_PER_SECOND) as u64;
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|number| PlannedFault {
                start: window.mul_f64(random.random_range(0.0..1.0)),
                length: Duration::from_millis(random.random_range(FAULT_LENGTH_MILLIS)),
                fault: choose_fault(&mut random, number),
            })
            .collect();
        faults.sort_by_key(|fault| fault.start);
        Self { faults }
    }
}

fn choose_fault(random: &mut StdRng, number: u64) -> SoakFault {
    let host = random.random_range(0..HOST_COUNT);
    let target = random.random_range(0..5);
    let directions = [RelayDirection::Forward, RelayDirection::Backward, RelayDirection::Both];
    let direction = *directions.choose(random).expect("there are three");
    let store_kinds = [FaultKind::Refuse, FaultKind::AnswerLost, FaultKind::Freeze, FaultKind::Down, FaultKind::Slow];
    let store_kind = *store_kinds.choose(random).expect("there are five");
    let target_kinds = [FaultKind::AnswerLost, FaultKind::Freeze, FaultKind::Down];
    let target_kind = *target_kinds.choose(random).expect("there are three");
    match random.random_range(0..26) {
        0 | 1 => SoakFault::Kill(host),
        2 => SoakFault::KillAll,
        3 | 4 => SoakFault::Pause(host),
        5 | 6 => SoakFault::Restart(host),
        7 => SoakFault::Reload(host),
        8 | 9 => SoakFault::CutStore(host, direction),
        10 => SoakFault::SlowStore(host),
        11 => SoakFault::ResetStore(host),
        12 | 13 => SoakFault::Store(store_kind),
        14 => SoakFault::DropHistory,
        15 => SoakFault::Configure(number + 2),
        16 | 17 => SoakFault::CutTarget(target, direction),
        18 | 19 => SoakFault::ResetTarget(target),
        20..=23 => SoakFault::Target(target, target_kind),
        _ => SoakFault::ReplaceTarget(target),
    }
}

/// Injects each fault at its start, overlapping ones concurrently, and returns when all have ended.
pub fn inject_faults(plan: &FaultPlan, installation: &SoakInstallation) {
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for planned in &plan.faults {
            std::thread::sleep(planned.start.saturating_sub(started_at.elapsed()));
            scope.spawn(|| inject_fault(planned, installation));
        }
    });
}

fn inject_fault(planned: &PlannedFault, installation: &SoakInstallation) {
    let length = planned.length;
    let wait = || std::thread::sleep(length);
    match planned.fault {
        SoakFault::Kill(host) => {
            installation.kill_host(host);
            wait();
            installation.start_host(host);
        }
        SoakFault::KillAll => {
            (0..HOST_COUNT).for_each(|host| installation.kill_host(host));
            wait();
            (0..HOST_COUNT).for_each(|host| installation.start_host(host));
        }
        SoakFault::Pause(host) => {
            installation.signal_host(host, Signal::STOP);
            wait();
            installation.signal_host(host, Signal::CONT);
        }
        SoakFault::Restart(host) => {
            installation.restart_host(host);
        }
        SoakFault::Reload(host) => installation.signal_host(host, Signal::HUP),
        SoakFault::CutStore(host, direction) => {
            installation.hosts[host].store_relay.order(RelayCommand::Cut { direction });
            wait();
            installation.hosts[host].store_relay.order(RelayCommand::Restore);
        }
        SoakFault::SlowStore(host) => {
            installation.hosts[host].store_relay.order(RelayCommand::Slow { delay_ms: 150 });
            wait();
            installation.hosts[host].store_relay.order(RelayCommand::Restore);
        }
        SoakFault::ResetStore(host) => installation.hosts[host].store_relay.order(RelayCommand::Reset),
        SoakFault::Store(kind) => {
            let spec = FaultSpec { delay_ms: 400, ..FaultSpec::new(kind) };
            installation.store_server.fault(spec.lasting(length));
            wait();
        }
        SoakFault::DropHistory => installation.store.drop_history(),
        SoakFault::Configure(version) => {
            let keys = [CALLER_KEY.to_owned(), format!("other-{version}")];
            installation.store.put_configuration(&build_configuration(version, CALLER_HOST, &keys));
        }
        SoakFault::CutTarget(target, direction) => {
            installation.targets[target].relay.order(RelayCommand::Cut { direction });
            wait();
            installation.targets[target].relay.order(RelayCommand::Restore);
        }
        SoakFault::ResetTarget(target) => installation.targets[target].relay.order(RelayCommand::Reset),
        SoakFault::Target(target, kind) => {
            installation.targets[target].server.fault(FaultSpec::new(kind).lasting(length));
            wait();
        }
        SoakFault::ReplaceTarget(target) => {
            let standin = &installation.targets[target].standin;
            standin.release(if standin.software() == "1" { "2" } else { "1" });
            installation.targets[target].relay.order(RelayCommand::Reset);
        }
    }
}
