//! Simulation of several control states in one thread under virtual time, with an in-memory queue as the network.
//!
//! Each host has a clock with a random start and rate. Tests make links, the store and hosts fail at any time. All
//! random choices come from one seed.

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

/// Interval between two ticks of a simulated control thread.
const TICK_PERIOD: Duration = Duration::from_millis(200);

/// Timeout of a store call, the same as `PLATFORM_CALL_TIMEOUT`.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Reaction of the store to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Calls have no effect and no answer, except for the host list, which is another service.
    Down,
    /// Calls take effect without an answer.
    AnswerLost,
    /// Answers arrive shortly before the timeout of the call.
    Slow,
    /// Calls have no answer, and take effect after the timeout.
    LateEffect,
}

/// Treatment of frames by one direction of a link, in ascending order of harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkMode {
    Up,
    /// Each frame arrives twice, at different times.
    Duplicate,
    /// Frames are delayed by up to a second each, and so overtake each other.
    Reorder,
    /// Frames with changes, snapshots or withdrawn keys are lost, as with a full send queue; gossip passes.
    LoseUpdates,
    /// Frames are held, as in a send buffer, until the link passes frames again.
    Held,
    Cut,
}

#[derive(Debug, Clone)]
enum SimEvent {
    Tick,
    Deliver(Box<ControlEvent>),
    /// A call takes effect. With it: its start by the clock of the host, and whether the host gets the answer.
    StoreEffect(StoreCommand, Duration, bool),
}

pub struct SimHost {
    pub origin: HostIdentity,
    pub state: ControlState,
    /// View after the last event of the host.
    pub view: ControlView,
    pub is_alive: bool,
    /// Whether the process is paused; the events for it are kept until it resumes.
    pub is_frozen: bool,
    /// Virtual time of the last start.
    pub started_at: Duration,
    /// Virtual time since which the host has been running; not meaningful while it is dead or frozen.
    pub running_since: Duration,
    pub is_store_cut: bool,
    /// Virtual time of the last change of `is_store_cut`.
    pub store_steady_since: Duration,
    /// Number of processes of the host that were killed. An event for an earlier process has a lower count and is
    /// dropped, except that a store call still takes effect.
    kill_count: u64,
    clock_start: Duration,
    /// Excess of the rate of the clock over that of virtual time, in parts per million.
    clock_ppm: u32,
    waiting_events: Vec<SimEvent>,
}

impl SimHost {
    /// Time by the host's clock at the virtual time `now`.
    pub fn local_time(&self, now: Duration) -> Duration {
        self.clock_start + now * (1_000_000 + self.clock_ppm) / 1_000_000
    }
}

pub struct SimCluster {
    pub now: Duration,
    pub hosts: Vec<SimHost>,
    pub store: SimStore,
    pub store_mode: StoreMode,
    /// Virtual time of the last change of `store_mode`.
    pub store_steady_since: Duration,
    /// Mode of each direction of a link, by sender and receiver.
    pub links: Vec<Vec<LinkMode>>,
    /// Virtual time at which the link direction last began or ceased to pass frames.
    pub links_steady_since: Vec<Vec<Duration>>,
    /// Frames on links in [`LinkMode::Held`], with sender and receiver.
    held_frames: Vec<(usize, usize, ControlEvent)>,
    /// Events by virtual time and order of creation, with the host and its kill count.
    events: BTreeMap<(Duration, u64), (usize, u64, SimEvent)>,
    event_count: u64,
    generator: ChaCha8Rng,
}

impl SimCluster {
    /// Cluster with `size` hosts in each failure domain, named after the domain and a number.
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
            store_steady_since: Duration::ZERO,
            links: vec![vec![LinkMode::Up; count]; count],
            links_steady_since: vec![vec![Duration::ZERO; count]; count],
            held_frames: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            generator,
        };
        cluster.store.hosts = cluster.hosts.iter().map(build_host_record).collect();
        for host in 0..count {
            let delay = cluster.random_delay(1000);
            cluster.push_event(host, delay, SimEvent::Tick);
        }
        cluster
    }

    fn random_delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.generator.random_range(0..=max_ms))
    }

    fn push_event(&mut self, host: usize, delay: Duration, event: SimEvent) {
        self.event_count += 1;
        let kill_count = self.hosts[host].kill_count;
        self.events.insert((self.now + delay, self.event_count), (host, kill_count, event));
    }

    /// Runs all events up to the virtual time `end`, and calls `check` after each one.
    pub fn run_until(&mut self, end: Duration, mut check: impl FnMut(&SimCluster)) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), (host, kill_count, event)) = entry.remove_entry();
            self.now = time;
            self.run_event(host, kill_count, event);
            check(self);
        }
        self.now = end;
    }

    fn run_event(&mut self, host: usize, kill_count: u64, event: SimEvent) {
        if let SimEvent::StoreEffect(command, started_at, is_reported) = event {
            self.apply_store_effect(host, kill_count, &command, started_at, is_reported);
        } else if self.hosts[host].kill_count != kill_count || !self.hosts[host].is_alive {
            // The process that the event was for has been killed.
        } else if self.hosts[host].is_frozen {
            self.hosts[host].waiting_events.push(event);
        } else {
            self.run_host(host, event);
        }
    }

    fn run_host(&mut self, host: usize, event: SimEvent) {
        let local_now = self.hosts[host].local_time(self.now);
        let state = &mut self.hosts[host].state;
        let is_tick = matches!(event, SimEvent::Tick);
        let mut actions = match event {
            SimEvent::Deliver(event) => state.handle(*event, local_now),
            _ => Vec::new(),
        };
        actions.extend(state.tick(local_now));
        let view = state.view(local_now);
        self.hosts[host].view = view;
        self.execute(host, actions);
        if is_tick {
            self.push_event(host, TICK_PERIOD, SimEvent::Tick);
        }
    }

    fn execute(&mut self, host: usize, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send(to, frame) => {
                    let origin = self.hosts[host].origin.clone();
                    if let Some(receiver) = self.hosts.iter().position(|other| other.origin.host == to) {
                        self.send_event(host, receiver, ControlEvent::Frame(origin, Box::new(frame)));
                    }
                }
                ControlAction::Store(command) => self.call_store(host, command),
                ControlAction::SetAddresses(_) => {}
            }
        }
    }

    fn send_event(&mut self, from: usize, to: usize, event: ControlEvent) {
        let short_delay = Duration::from_millis(1) + self.random_delay(20);
        match self.links[from][to] {
            LinkMode::Cut => {}
            LinkMode::LoseUpdates if is_update(&event) => {}
            LinkMode::Held => self.held_frames.push((from, to, event)),
            LinkMode::Up | LinkMode::LoseUpdates => {
                self.push_event(to, short_delay, SimEvent::Deliver(Box::new(event)));
            }
            LinkMode::Duplicate => {
                let late_delay = self.random_delay(2500);
                self.push_event(to, short_delay, SimEvent::Deliver(Box::new(event.clone())));
                self.push_event(to, late_delay, SimEvent::Deliver(Box::new(event)));
            }
            LinkMode::Reorder => {
                let late_delay = self.random_delay(1000);
                self.push_event(to, late_delay, SimEvent::Deliver(Box::new(event)));
            }
        }
    }

    fn call_store(&mut self, host: usize, command: StoreCommand) {
        let started_at = self.hosts[host].local_time(self.now);
        let delay = self.random_delay(20) + Duration::from_millis(1);
        let lost = Err(StoreCallError::AnswerLost);
        if self.hosts[host].is_store_cut {
            self.push_report(host, delay, command, started_at, Err(StoreCallError::NotSent));
            return;
        }
        let mode = if command.call == StoreCall::ListHosts { StoreMode::Up } else { self.store_mode };
        match mode {
            StoreMode::Up => self.push_event(host, delay, SimEvent::StoreEffect(command, started_at, true)),
            StoreMode::Slow => {
                let delay = delay + Duration::from_millis(1700);
                self.push_event(host, delay, SimEvent::StoreEffect(command, started_at, true));
            }
            StoreMode::Down => self.push_report(host, CALL_TIMEOUT, command, started_at, lost),
            StoreMode::AnswerLost => {
                self.push_event(host, delay, SimEvent::StoreEffect(command.clone(), started_at, false));
                self.push_report(host, CALL_TIMEOUT, command, started_at, lost);
            }
            StoreMode::LateEffect => {
                let late_delay = CALL_TIMEOUT + self.random_delay(6000);
                self.push_event(host, late_delay, SimEvent::StoreEffect(command.clone(), started_at, false));
                self.push_report(host, CALL_TIMEOUT, command, started_at, lost);
            }
        }
    }

    fn apply_store_effect(
        &mut self,
        host: usize,
        kill_count: u64,
        command: &StoreCommand,
        started_at: Duration,
        is_reported: bool,
    ) {
        let answer = self.store.execute(&command.call);
        if is_reported && self.hosts[host].kill_count == kill_count {
            let delay = self.random_delay(20) + Duration::from_millis(1);
            self.push_report(host, delay, command.clone(), started_at, Ok(answer));
        }
    }

    fn push_report(
        &mut self,
        host: usize,
        delay: Duration,
        command: StoreCommand,
        started_at: Duration,
        outcome: Result<camphorspring::control::store_call::StoreAnswer, StoreCallError>,
    ) {
        let report = StoreReport { purpose: command.purpose, started_at, outcome };
        self.push_event(host, delay, SimEvent::Deliver(Box::new(ControlEvent::Store(Box::new(report)))));
    }

    /// Passes an event to a host as another thread of the host does.
    pub fn post_event(&mut self, host: usize, event: ControlEvent) {
        self.push_event(host, Duration::ZERO, SimEvent::Deliver(Box::new(event)));
    }

    pub fn kill_host(&mut self, host: usize) {
        let now = self.now;
        let host = &mut self.hosts[host];
        host.is_alive = false;
        host.is_frozen = false;
        host.running_since = now;
        host.waiting_events.clear();
        host.kill_count += 1;
    }

    /// Starts a killed host again, with a higher incarnation and an empty state.
    pub fn restart_host(&mut self, host: usize) {
        let seed = self.generator.random();
        let local_now = self.hosts[host].local_time(self.now);
        let now = self.now;
        let entry = &mut self.hosts[host];
        entry.origin.incarnation += 1 << 32;
        entry.state = ControlState::new(entry.origin.clone(), ChaCha8Rng::seed_from_u64(seed), local_now);
        entry.view = entry.state.view(local_now);
        entry.is_alive = true;
        entry.started_at = now;
        entry.running_since = now;
        self.push_event(host, Duration::ZERO, SimEvent::Tick);
    }

    pub fn freeze_host(&mut self, host: usize) {
        self.hosts[host].is_frozen = true;
    }

    pub fn resume_host(&mut self, host: usize) {
        let now = self.now;
        let entry = &mut self.hosts[host];
        entry.is_frozen = false;
        entry.running_since = now;
        let waiting_events = std::mem::take(&mut entry.waiting_events);
        for event in waiting_events {
            self.push_event(host, Duration::ZERO, event);
        }
    }

    pub fn set_link(&mut self, from: usize, to: usize, mode: LinkMode) {
        if is_passing(self.links[from][to]) != is_passing(mode) {
            self.links_steady_since[from][to] = self.now;
        }
        self.links[from][to] = mode;
        if is_passing(mode) {
            let (released, kept) = std::mem::take(&mut self.held_frames)
                .into_iter()
                .partition(|held_frame| (held_frame.0, held_frame.1) == (from, to));
            self.held_frames = kept;
            for (_, _, event) in released {
                self.push_event(to, Duration::from_millis(1), SimEvent::Deliver(Box::new(event)));
            }
        }
    }

    /// Puts all hosts back into the host list of the store.
    pub fn restore_host_list(&mut self) {
        self.store.hosts = self.hosts.iter().map(build_host_record).collect();
    }

    pub fn set_store_mode(&mut self, mode: StoreMode) {
        if self.store_mode != mode {
            self.store_mode = mode;
            self.store_steady_since = self.now;
        }
    }

    pub fn set_store_cut(&mut self, host: usize, is_cut: bool) {
        if self.hosts[host].is_store_cut != is_cut {
            self.hosts[host].is_store_cut = is_cut;
            self.hosts[host].store_steady_since = self.now;
        }
    }
}

fn is_update(event: &ControlEvent) -> bool {
    let ControlEvent::Frame(_, frame) = event else { return false };
    matches!(**frame, PeerFrame::ChangesAnswer(_) | PeerFrame::WithdrawnKeys(_) | PeerFrame::SnapshotPart(_))
}

/// Whether gossip frames arrive, within about a second.
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
        running_since: Duration::ZERO,
        is_store_cut: false,
        store_steady_since: Duration::ZERO,
        kill_count: 0,
        clock_start,
        clock_ppm: generator.random_range(0..2000),
        waiting_events: Vec::new(),
    }
}

fn build_host_record(host: &SimHost) -> HostRecord {
    HostRecord {
        host: host.origin.host.clone(),
        failure_domain: host.origin.failure_domain.clone(),
        state: HostState::Live,
        peer_address: String::new(),
        caller_address: String::new(),
        operator_address: String::new(),
    }
}
