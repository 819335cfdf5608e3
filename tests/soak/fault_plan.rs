//! Faults of a seed and how they are played.

use std::time::{Duration, Instant};

use camphorspring_standins::{FaultKind, FaultSpec, RelayCommand, RelayDirection};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::installation::{CALLER_HOST, HOSTS, Installation, KEY};
use crate::stand_ins::callers::configuration;

/// Faults that a seed begins in a second, on average.
const FAULTS_PER_SECOND: f64 = 2.5;

/// Shortest and longest time of a fault: a host that is silent for four seconds loses its jobs to others.
const FAULT_MILLIS: std::ops::Range<u64> = 200..6_000;

/// What happens.
#[derive(Debug, Clone, Copy)]
pub enum SoakFault {
    /// A host is killed and started again.
    Kill(usize),
    /// All hosts are killed and started again.
    KillAll,
    /// A host stands still.
    Pause(usize),
    /// A host is stopped as planned and started again.
    Restart(usize),
    /// A host is told that its settings changed.
    Reload(usize),
    /// A host's way to the store is cut.
    CutStore(usize, RelayDirection),
    /// A host's way to the store is slow.
    SlowStore(usize),
    /// All connections of a host to the store are reset.
    ResetStore(usize),
    /// The store plays a fault for all hosts.
    Store(FaultKind),
    /// The store forgets its history.
    DropHistory,
    /// The configuration is replaced.
    Configure(u64),
    /// The way to a target is cut.
    CutTarget(usize, RelayDirection),
    /// All connections to a target are reset.
    ResetTarget(usize),
    /// A target plays a fault.
    Target(usize, FaultKind),
    /// A target starts again under another id.
    ReplaceTarget(usize),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    start: Duration,
    length: Duration,
    fault: SoakFault,
}

/// All faults of a seed, by start.
#[derive(Debug)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Plan of a seed.
    pub fn new(seed: u64, time: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a few dozen")]
        let count = (time.as_secs_f64() * FAULTS_PER_SECOND) as u64;
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|number| PlannedFault {
                start: time.mul_f64(random.random_range(0.0..1.0)),
                length: Duration::from_millis(random.random_range(FAULT_MILLIS)),
                fault: choose_fault(&mut random, number),
            })
            .collect();
        faults.sort_by_key(|fault| fault.start);
        Self { faults }
    }
}

fn choose_fault(random: &mut StdRng, number: u64) -> SoakFault {
    let host = random.random_range(0..HOSTS);
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

/// Plays all faults, those that overlap at the same time, and waits for their ends.
pub fn play(plan: &FaultPlan, installation: &Installation) {
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for planned in &plan.faults {
            std::thread::sleep(planned.start.saturating_sub(begun.elapsed()));
            scope.spawn(|| play_one(planned, installation));
        }
    });
}

fn play_one(planned: &PlannedFault, installation: &Installation) {
    let length = planned.length;
    let hold = || std::thread::sleep(length);
    match planned.fault {
        SoakFault::Kill(host) => {
            installation.kill_host(host);
            hold();
            installation.start_host(host);
        }
        SoakFault::KillAll => {
            (0..HOSTS).for_each(|host| installation.kill_host(host));
            hold();
            (0..HOSTS).for_each(|host| installation.start_host(host));
        }
        SoakFault::Pause(host) => {
            installation.signal_host(host, Signal::STOP);
            hold();
            installation.signal_host(host, Signal::CONT);
        }
        SoakFault::Restart(host) => {
            installation.restart_host(host);
        }
        SoakFault::Reload(host) => installation.signal_host(host, Signal::HUP),
        SoakFault::CutStore(host, direction) => {
            installation.hosts[host].store_link.order(RelayCommand::Cut { direction });
            hold();
            installation.hosts[host].store_link.order(RelayCommand::Restore);
        }
        SoakFault::SlowStore(host) => {
            installation.hosts[host].store_link.order(RelayCommand::Slow { delay_ms: 150 });
            hold();
            installation.hosts[host].store_link.order(RelayCommand::Restore);
        }
        SoakFault::ResetStore(host) => installation.hosts[host].store_link.order(RelayCommand::Reset),
        SoakFault::Store(kind) => {
            let order = FaultSpec { delay_ms: 400, ..FaultSpec::new(kind) };
            installation.store_server.fault(order.lasting(length));
            hold();
        }
        SoakFault::DropHistory => installation.store.drop_history(),
        SoakFault::Configure(version) => {
            let keys = [KEY.to_owned(), format!("other-{version}")];
            installation.store.put_configuration(&configuration(version, CALLER_HOST, &keys));
        }
        SoakFault::CutTarget(target, direction) => {
            installation.targets[target].link.order(RelayCommand::Cut { direction });
            hold();
            installation.targets[target].link.order(RelayCommand::Restore);
        }
        SoakFault::ResetTarget(target) => installation.targets[target].link.order(RelayCommand::Reset),
        SoakFault::Target(target, kind) => {
            installation.targets[target].server.fault(FaultSpec::new(kind).lasting(length));
            hold();
        }
        SoakFault::ReplaceTarget(target) => {
            installation.targets[target].engine.restart();
            installation.targets[target].link.order(RelayCommand::Reset);
        }
    }
}
