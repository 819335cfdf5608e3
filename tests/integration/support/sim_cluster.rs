//! Several control states in one thread, connected by an in-memory queue under virtual time.
//!
//! Each host has its own clock, with an own start and rate. Links, the store and hosts can be made to fail at any
//! moment. All random choices come from one seed.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::control::control_state::{ControlAction, ControlState};
use camphorspring::control::store_call::{StoreCall, StoreCommand, StoreReport};
use camphorspring::control::{ControlEvent, ControlView, HostIdentity};
use camphorspring::generated::peer_messages::PeerFrame;
use camphorspring::generated::platform_messages::{HostRecord, HostState};
use camphorspring::store_client::StoreCallError;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::sim_store::SimStore;

/// Period of the simulated control threads.
const TICK: Duration = Duration::from_millis(200);

/// Time limit of a store call, as in the product.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// No effect, no answer; the host list, which is another service, answers.
    Down,
    /// Effect, no answer.
    AnswerLost,
    /// Answers after most of the time limit.
    Slow,
    /// No answer in time, and the effect only later.
    LateEffect,
}

/// What a link does with frames in one direction; the worse modes come later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkMode {
    Up,
    /// Each frame arrives twice, at different times.
    Duplicate,
    /// Frames overtake each other and take up to a second.
    Reorder,
    /// Frames that bring a host up to date are lost, as by a full queue; gossip passes.
    LoseUpdates,
    /// Frames wait until the link is up again, as in a send buffer.
    Held,
    Cut,
}

#[derive(Debug, Clone)]
enum SimEvent {
    Tick,
    Deliver(Box<ControlEvent>),
    StoreEffect(StoreCommand, Duration, bool),
}

pub struct SimHost {
    pub origin: HostIdentity,
    pub state: ControlState,
    /// View as published last.
    pub view: ControlView,
    pub is_alive: bool,
    pub is_frozen: bool,
    pub started_at: Duration,
    pub awake_since: Duration,
    pub store_cut: bool,
    pub store_since: Duration,
    life: u64,
    clock_start: Duration,
    clock_ppm: u32,
    waiting: Vec<SimEvent>,
}

impl SimHost {
    /// Reading of the host's clock.
    pub fn local(&self, now: Duration) -> Duration {
        self.clock_start + now * (1_000_000 + self.clock_ppm) / 1_000_000
    }
}

pub struct SimCluster {
    pub now: Duration,
    pub hosts: Vec<SimHost>,
    pub store: SimStore,
    pub store_mode: StoreMode,
    pub store_since: Duration,
    pub links: Vec<Vec<LinkMode>>,
    pub links_since: Vec<Vec<Duration>>,
    held: Vec<(usize, usize, ControlEvent)>,
    events: BTreeMap<(Duration, u64), (usize, u64, SimEvent)>,
    sequence: u64,
    generator: ChaCha8Rng,
}

impl SimCluster {
    /// Cluster with `size` hosts in each failure domain.
    pub fn new(domains: &[&str], size: usize, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let names = domains.iter().flat_map(|domain| (0..size).map(move |index| (format!("{domain}{index}"), *domain)));
        let hosts: Vec<SimHost> = names.map(|(name, domain)| create_host(&name, domain, &mut generator)).collect();
        let count = hosts.len();
        let mut cluster = Self {
            now: Duration::ZERO,
            hosts,
            store: SimStore::default(),
            store_mode: StoreMode::Up,
            store_since: Duration::ZERO,
            links: vec![vec![LinkMode::Up; count]; count],
            links_since: vec![vec![Duration::ZERO; count]; count],
            held: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            generator,
        };
        cluster.store.hosts = cluster.hosts.iter().map(host_record).collect();
        for host in 0..count {
            let delay = cluster.random_delay(1000);
            cluster.push(host, delay, SimEvent::Tick);
        }
        cluster
    }

    fn random_delay(&mut self, most_ms: u64) -> Duration {
        Duration::from_millis(self.generator.random_range(0..=most_ms))
    }

    fn push(&mut self, host: usize, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        let life = self.hosts[host].life;
        self.events.insert((self.now + delay, self.sequence), (host, life, event));
    }

    /// Runs until `end`; calls `check` after each event.
    pub fn run_until(&mut self, end: Duration, mut check: impl FnMut(&SimCluster)) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), (host, life, event)) = entry.remove_entry();
            self.now = time;
            self.step(host, life, event);
            check(self);
        }
        self.now = end;
    }

    fn step(&mut self, host: usize, life: u64, event: SimEvent) {
        if let SimEvent::StoreEffect(command, started_at, is_reported) = event {
            self.take_effect(host, life, &command, started_at, is_reported);
        } else if self.hosts[host].life != life || !self.hosts[host].is_alive {
            // The process that it was for is gone.
        } else if self.hosts[host].is_frozen {
            self.hosts[host].waiting.push(event);
        } else {
            self.run_host(host, event);
        }
    }

    fn run_host(&mut self, host: usize, event: SimEvent) {
        let local = self.hosts[host].local(self.now);
        let state = &mut self.hosts[host].state;
        let is_tick = matches!(event, SimEvent::Tick);
        let mut actions = match event {
            SimEvent::Deliver(event) => state.handle(*event, local),
            _ => Vec::new(),
        };
        actions.extend(state.tick(local));
        let view = state.view(local);
        self.hosts[host].view = view;
        self.execute(host, actions);
        if is_tick {
            self.push(host, TICK, SimEvent::Tick);
        }
    }

    fn execute(&mut self, host: usize, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send(to, frame) => {
                    let origin = self.hosts[host].origin.clone();
                    if let Some(target) = self.hosts.iter().position(|other| other.origin.host == to) {
                        self.send(host, target, ControlEvent::Frame(origin, Box::new(frame)));
                    }
                }
                ControlAction::Store(command) => self.call_store(host, command),
                ControlAction::SetAddresses(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: ControlEvent) {
        let short = Duration::from_millis(1) + self.random_delay(20);
        match self.links[from][to] {
            LinkMode::Cut => {}
            LinkMode::LoseUpdates if is_update(&event) => {}
            LinkMode::Held => self.held.push((from, to, event)),
            LinkMode::Up | LinkMode::LoseUpdates => self.push(to, short, SimEvent::Deliver(Box::new(event))),
            LinkMode::Duplicate => {
                let late = self.random_delay(2500);
                self.push(to, short, SimEvent::Deliver(Box::new(event.clone())));
                self.push(to, late, SimEvent::Deliver(Box::new(event)));
            }
            LinkMode::Reorder => {
                let late = self.random_delay(1000);
                self.push(to, late, SimEvent::Deliver(Box::new(event)));
            }
        }
    }

    fn call_store(&mut self, host: usize, command: StoreCommand) {
        let started_at = self.hosts[host].local(self.now);
        let delay = self.random_delay(20) + Duration::from_millis(1);
        let lost = Err(StoreCallError::AnswerLost);
        if self.hosts[host].store_cut {
            self.report(host, delay, command, started_at, Err(StoreCallError::NotSent));
            return;
        }
        let mode = if command.call == StoreCall::ListHosts { StoreMode::Up } else { self.store_mode };
        match mode {
            StoreMode::Up => self.push(host, delay, SimEvent::StoreEffect(command, started_at, true)),
            StoreMode::Slow => {
                let delay = delay + Duration::from_millis(1700);
                self.push(host, delay, SimEvent::StoreEffect(command, started_at, true));
            }
            StoreMode::Down => self.report(host, CALL_LIMIT, command, started_at, lost),
            StoreMode::AnswerLost => {
                self.push(host, delay, SimEvent::StoreEffect(command.clone(), started_at, false));
                self.report(host, CALL_LIMIT, command, started_at, lost);
            }
            StoreMode::LateEffect => {
                let late = CALL_LIMIT + self.random_delay(6000);
                self.push(host, late, SimEvent::StoreEffect(command.clone(), started_at, false));
                self.report(host, CALL_LIMIT, command, started_at, lost);
            }
        }
    }

    fn take_effect(&mut self, host: usize, life: u64, command: &StoreCommand, started_at: Duration, is_reported: bool) {
        let answer = self.store.execute(&command.call);
        if is_reported && self.hosts[host].life == life {
            let delay = self.random_delay(20) + Duration::from_millis(1);
            self.report(host, delay, command.clone(), started_at, Ok(answer));
        }
    }

    fn report(
        &mut self,
        host: usize,
        delay: Duration,
        command: StoreCommand,
        started_at: Duration,
        outcome: Result<camphorspring::control::store_call::StoreAnswer, StoreCallError>,
    ) {
        let report = StoreReport { purpose: command.purpose, started_at, outcome };
        self.push(host, delay, SimEvent::Deliver(Box::new(ControlEvent::Store(Box::new(report)))));
    }

    /// Gives an event to a host, as another thread of it would.
    pub fn post(&mut self, host: usize, event: ControlEvent) {
        self.push(host, Duration::ZERO, SimEvent::Deliver(Box::new(event)));
    }

    pub fn kill(&mut self, host: usize) {
        let now = self.now;
        let host = &mut self.hosts[host];
        host.is_alive = false;
        host.is_frozen = false;
        host.awake_since = now;
        host.waiting.clear();
        host.life += 1;
    }

    /// Starts a killed host as a new life that knows nothing.
    pub fn restart(&mut self, host: usize) {
        let seed = self.generator.random();
        let local = self.hosts[host].local(self.now);
        let now = self.now;
        let entry = &mut self.hosts[host];
        entry.origin.incarnation += 1 << 32;
        entry.state = ControlState::new(entry.origin.clone(), ChaCha8Rng::seed_from_u64(seed), local);
        entry.view = entry.state.view(local);
        entry.is_alive = true;
        entry.started_at = now;
        entry.awake_since = now;
        self.push(host, Duration::ZERO, SimEvent::Tick);
    }

    pub fn freeze(&mut self, host: usize) {
        self.hosts[host].is_frozen = true;
    }

    pub fn wake(&mut self, host: usize) {
        let now = self.now;
        let entry = &mut self.hosts[host];
        entry.is_frozen = false;
        entry.awake_since = now;
        let waiting = std::mem::take(&mut entry.waiting);
        for event in waiting {
            self.push(host, Duration::ZERO, event);
        }
    }

    pub fn set_link(&mut self, from: usize, to: usize, mode: LinkMode) {
        if is_passing(self.links[from][to]) != is_passing(mode) {
            self.links_since[from][to] = self.now;
        }
        self.links[from][to] = mode;
        if is_passing(mode) {
            let (released, kept) =
                std::mem::take(&mut self.held).into_iter().partition(|held| (held.0, held.1) == (from, to));
            self.held = kept;
            for (_, _, event) in released {
                self.push(to, Duration::from_millis(1), SimEvent::Deliver(Box::new(event)));
            }
        }
    }

    /// Makes the host list complete again.
    pub fn restore_hosts(&mut self) {
        self.store.hosts = self.hosts.iter().map(host_record).collect();
    }

    pub fn set_store(&mut self, mode: StoreMode) {
        if self.store_mode != mode {
            self.store_mode = mode;
            self.store_since = self.now;
        }
    }

    pub fn set_store_cut(&mut self, host: usize, is_cut: bool) {
        if self.hosts[host].store_cut != is_cut {
            self.hosts[host].store_cut = is_cut;
            self.hosts[host].store_since = self.now;
        }
    }
}

fn is_update(event: &ControlEvent) -> bool {
    let ControlEvent::Frame(_, frame) = event else { return false };
    matches!(**frame, PeerFrame::ChangesAnswer(_) | PeerFrame::WithdrawnKeys(_) | PeerFrame::SnapshotPart(_))
}

/// Whether gossip arrives within a second.
pub fn is_passing(mode: LinkMode) -> bool {
    !matches!(mode, LinkMode::Cut | LinkMode::Held)
}

fn create_host(name: &str, domain: &str, generator: &mut ChaCha8Rng) -> SimHost {
    let origin = HostIdentity {
        host: name.to_owned(),
        failure_domain: domain.to_owned(),
        incarnation: generator.random::<u32>().into(),
    };
    let clock_start = Duration::from_millis(generator.random_range(0..100_000_000));
    let seed = ChaCha8Rng::seed_from_u64(generator.random());
    let state = ControlState::new(origin.clone(), seed, clock_start);
    let view = state.view(clock_start);
    SimHost {
        origin,
        state,
        view,
        is_alive: true,
        is_frozen: false,
        started_at: Duration::ZERO,
        awake_since: Duration::ZERO,
        store_cut: false,
        store_since: Duration::ZERO,
        life: 0,
        clock_start,
        clock_ppm: generator.random_range(0..2000),
        waiting: Vec::new(),
    }
}

fn host_record(host: &SimHost) -> HostRecord {
    HostRecord {
        host: host.origin.host.clone(),
        failure_domain: host.origin.failure_domain.clone(),
        state: HostState::Live,
        peer_address: String::new(),
        caller_address: String::new(),
        operator_address: String::new(),
    }
}
