//! Processes and stand-ins of one run.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use camphorspring_standins::reserved_port::ReservedPort;
use camphorspring_standins::server::StandinServer;
use camphorspring_standins::{FaultKind, FaultSpec, RelayCommand, RelayOptions, RelayStandin};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::stand_ins::callers::configuration;
use crate::stand_ins::engine::{RunLog, SoakEngine};
use crate::stand_ins::store::StoreStandin;

/// Hosts of a run.
pub const HOSTS: usize = 3;

/// Engines, then plain services.
const TARGETS: [(&str, &str); 5] =
    [("e1", "models"), ("e2", "models"), ("e3", "models"), ("d1", "desk"), ("d2", "desk")];

/// Host name that callers use.
pub const CALLER_HOST: &str = "soak.example";

/// Key of all callers.
pub const KEY: &str = "soak-key";

/// Period of the entries of targets.
const BEAT: Duration = Duration::from_millis(400);

/// Longest wait for a process to end by itself after SIGTERM; its limit is eight seconds.
const STOP_LIMIT: Duration = Duration::from_secs(9);

/// Longest wait for a host to be ready, or to know the others, at the start.
pub const START_LIMIT: Duration = Duration::from_secs(20);

/// A host with its addresses, running or not.
#[derive(Debug)]
pub struct SoakHost {
    name: String,
    caller: ReservedPort,
    readiness: ReservedPort,
    peer: ReservedPort,
    metrics: ReservedPort,
    /// Way to the store.
    pub store_link: RelayStandin,
    child: Mutex<Option<Child>>,
}

/// A target with the way to it.
#[derive(Debug)]
pub struct SoakTarget {
    service: &'static str,
    /// Target.
    pub engine: SoakEngine,
    /// Server, which plays faults.
    pub server: StandinServer,
    /// Way to it.
    pub link: RelayStandin,
}

/// Everything of one run.
#[derive(Debug)]
pub struct Installation {
    directory: TempDir,
    /// Store.
    pub store: StoreStandin,
    /// Server of the store, which plays faults.
    pub store_server: StandinServer,
    /// Hosts.
    pub hosts: Vec<SoakHost>,
    /// Targets.
    pub targets: Vec<SoakTarget>,
    /// Requests that began to run.
    pub book: RunLog,
    is_ended: Arc<AtomicBool>,
}

fn relay(upstream: std::net::SocketAddr) -> RelayStandin {
    RelayStandin::start(RelayOptions { address: "127.0.0.1:0".to_owned(), upstream }).expect("a relay starts")
}

impl Installation {
    /// Starts everything and waits until all hosts are ready.
    pub fn start(seed: u64) -> Self {
        let directory = tempfile::Builder::new().prefix(&format!("soak-{seed}-")).tempdir().expect("a directory");
        let (store, book) = (StoreStandin::new(), RunLog::default());
        let store_server = store.serve().expect("the store starts");
        store.put_configuration(&configuration(1, CALLER_HOST, &[KEY.to_owned()]));
        let targets = TARGETS.map(|(name, service)| {
            let engine = SoakEngine::new(name, &book);
            let server = engine.serve().expect("an engine starts");
            let link = relay(server.address());
            SoakTarget { service, engine, server, link }
        });
        let store_address = store_server.address();
        let hosts = (1..=HOSTS).map(|number| SoakHost {
            name: format!("host-{number}"),
            caller: ReservedPort::new().expect("a free port"),
            readiness: ReservedPort::new().expect("a free port"),
            peer: ReservedPort::new().expect("a free port"),
            metrics: ReservedPort::new().expect("a free port"),
            store_link: relay(store_address),
            child: Mutex::new(None),
        });
        let installation = Self {
            directory,
            store,
            store_server,
            hosts: hosts.collect(),
            targets: targets.into(),
            book,
            is_ended: Arc::new(AtomicBool::new(false)),
        };
        installation.beat_entries();
        (0..HOSTS).for_each(|host| installation.start_host(host));
        assert!(installation.wait_ready(START_LIMIT), "the hosts of seed {seed} did not start");
        installation
    }

    /// Renews the entries of targets in the background.
    fn beat_entries(&self) {
        let entries: Vec<_> = self
            .targets
            .iter()
            .map(|target| (target.engine.clone(), target.service, target.link.address().to_string()))
            .collect();
        let (store, is_ended) = (self.store.clone(), Arc::clone(&self.is_ended));
        std::thread::spawn(move || {
            let mut listed = vec![String::new(); entries.len()];
            for beat in 1.. {
                for ((engine, service, address), listed) in entries.iter().zip(&mut listed) {
                    let id = engine.id();
                    if *listed != id && !listed.is_empty() {
                        store.put_engine(listed, None);
                    }
                    store.put_engine(&id, Some(&engine.entry(service, address, "north", beat)));
                    *listed = id;
                }
                if is_ended.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(BEAT);
            }
        });
    }

    /// Starts the process of a host, unless it runs.
    pub fn start_host(&self, number: usize) {
        let host = &self.hosts[number];
        let mut child = host.child.lock().unwrap_or_else(PoisonError::into_inner);
        if child.is_some() {
            return;
        }
        let file = self.settings_file(number);
        let settings = format!(
            "host: {}\nfailure_domain: north\ncaller_address: {}\nreadiness_address: {}\npeer_address: {}\n\
             metrics_address: {}\nstore_address: {}\n",
            host.name,
            host.caller.address(),
            host.readiness.address(),
            host.peer.address(),
            host.metrics.address(),
            host.store_link.address(),
        );
        std::fs::write(&file, settings).expect("the settings are written");
        let log = self.directory.path().join(format!("{}.log", host.name));
        let log = File::options().create(true).append(true).open(log).expect("the log opens");
        let started = Command::new(env!("CARGO_BIN_EXE_camphorspring"))
            .arg("serve-platform")
            .env("CAMPHORSPRING_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log opens twice"))
            .stderr(log)
            .spawn();
        *child = Some(started.expect("the program starts"));
    }

    /// Settings file of a host; written anew at each start.
    pub fn settings_file(&self, number: usize) -> PathBuf {
        self.directory.path().join(format!("{}.yaml", self.hosts[number].name))
    }

    /// Log of a host so far.
    pub fn log_text(&self, number: usize) -> String {
        let file = self.directory.path().join(format!("{}.log", self.hosts[number].name));
        std::fs::read_to_string(file).expect("the log is there")
    }

    /// Kills the process of a host.
    pub fn kill_host(&self, number: usize) {
        let child = self.hosts[number].child.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(mut child) = child {
            // Both fail only for a process that has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process of a host.
    pub fn signal_host(&self, number: usize, signal: Signal) {
        let child = self.hosts[number].child.lock().unwrap_or_else(PoisonError::into_inner);
        let id = child.as_ref().and_then(|child| i32::try_from(child.id()).ok()).and_then(Pid::from_raw);
        if let Some(id) = id {
            // A process that has ended gets no signal.
            let _ = kill_process(id, signal);
        }
    }

    /// Stops a host as planned, waits for its end, and starts it again. Returns whether it ended in time.
    pub fn restart_host(&self, number: usize) -> bool {
        self.signal_host(number, Signal::TERM);
        let end = Instant::now() + STOP_LIMIT;
        let mut has_ended = false;
        while !has_ended && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(50));
            let mut child = self.hosts[number].child.lock().unwrap_or_else(PoisonError::into_inner);
            has_ended = child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        }
        self.kill_host(number);
        self.start_host(number);
        has_ended
    }

    /// Ends all faults and runs all hosts.
    pub fn restore(&self) {
        for host in 0..HOSTS {
            self.signal_host(host, Signal::CONT);
            self.start_host(host);
            self.hosts[host].store_link.order(RelayCommand::Restore);
        }
        self.store_server.fault(FaultSpec::new(FaultKind::Clear));
        for target in &self.targets {
            target.link.order(RelayCommand::Restore);
            target.server.fault(FaultSpec::new(FaultKind::Clear));
        }
    }

    /// Base URL of a host for callers.
    pub fn caller_url(&self, number: usize) -> String {
        format!("http://{}", self.hosts[number].caller.address())
    }

    /// Waits until all hosts say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let agent = http_agent(Duration::from_millis(500), Duration::from_secs(1));
        let is_ready = |host: &SoakHost| {
            let url = format!("http://{}/readyz", host.readiness.address());
            agent.get(&url).call().is_ok_and(|answer| answer.status() == 200)
        };
        let end = Instant::now() + limit;
        while !self.hosts.iter().all(is_ready) {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Waits until a host knows of all others.
    pub fn wait_known(&self, number: usize, limit: Duration) -> bool {
        let agent = http_agent(Duration::from_millis(500), Duration::from_secs(1));
        let url = format!("http://{}/metrics", self.hosts[number].metrics.address());
        let line = format!("camphorspring_live_hosts {HOSTS}");
        let end = Instant::now() + limit;
        loop {
            let text = agent.get(&url).call().ok().and_then(|mut answer| answer.body_mut().read_to_string().ok());
            if text.is_some_and(|text| text.lines().any(|known| known == line)) {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Copies the logs to a directory that stays.
    pub fn keep_logs(&self) -> PathBuf {
        let kept = tempfile::Builder::new().prefix("soak-logs-").tempdir().expect("a directory").keep();
        for file in std::fs::read_dir(self.directory.path()).into_iter().flatten().flatten() {
            if let Err(error) = std::fs::copy(file.path(), kept.join(file.file_name())) {
                eprintln!("{}: {error}", file.path().display());
            }
        }
        kept
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Release);
        (0..HOSTS).for_each(|host| self.kill_host(host));
    }
}
