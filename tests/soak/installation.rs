//! Hosts of one soak run, as processes, with the stand-ins of the store and the targets and the relays between
//! them.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use camphorspring_standins::reserved_port::ReservedPort;
use camphorspring_standins::server::StandinServer;
use camphorspring_standins::{FaultKind, FaultSpec, RelayCommand, RelayOptions, RelayStandin};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use crate::stand_ins::callers::build_configuration;
use crate::stand_ins::store::StoreStandin;
use crate::stand_ins::target::{RunLog, TargetStandin};

/// Number of hosts in an installation; their indexes start at 0.
pub const HOST_COUNT: usize = 3;

/// Name and service of each target: three model engines and two plain services.
const TARGETS: [(&str, &str); 5] =
    [("e1", "models"), ("e2", "models"), ("e3", "models"), ("d1", "desk"), ("d2", "desk")];

/// HTTP host name that callers use.
pub const CALLER_HOST: &str = "soak.example";

/// API key of all callers.
pub const CALLER_KEY: &str = "soak-key";

/// Interval at which targets renew their entries in the store.
const ENTRY_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout for the exit of a process after SIGTERM, longer than its setting `stop_limit_seconds`, whose default is 8 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);

/// Timeout at the start for a host to be ready, or to know all other hosts.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Environment variable with the path of an earlier build of the program. If set, the starts of the hosts take turns between that
/// build and the present one, so that both run side by side, and each takes over what the other one began.
const EARLIER_PROGRAM_VARIABLE: &str = "SOAK_EARLIER_PROGRAM";

/// Host with its reserved ports; its process may be running or not.
#[derive(Debug)]
pub struct SoakHost {
    name: String,
    caller_port: ReservedPort,
    readiness_port: ReservedPort,
    peer_port: ReservedPort,
    metrics_port: ReservedPort,
    /// Relay between this host and the store, which injects faults of this connection only.
    pub store_relay: RelayStandin,
    /// Links of this host to the targets, in their order, which inject faults of this host only; empty when all hosts share
    /// those of the targets.
    pub target_links: Vec<RelayStandin>,
    /// Server of the store at which this host sees its own links as the addresses of the targets.
    #[expect(dead_code, reason = "serves until the installation is dropped")]
    own_store_server: Option<StandinServer>,
    child: Mutex<Option<Child>>,
    /// Number of starts of the process so far.
    starts: AtomicUsize,
}

/// Target with its server and the relay that all hosts reach it through.
#[derive(Debug)]
pub struct SoakTarget {
    /// Service that the target runs.
    pub service: &'static str,
    /// Stand-in that runs the requests.
    pub standin: TargetStandin,
    /// Server of the stand-in, which injects faults of the target.
    pub server: StandinServer,
    /// Relay in front of the server, which injects faults of the connections; its address is the one in the entry.
    pub relay: RelayStandin,
}

/// Hosts, store and targets of one soak run. Dropping it kills the processes and removes the settings and logs.
#[derive(Debug)]
pub struct SoakInstallation {
    directory: TempDir,
    /// Stand-in of the store; through it, the soak writes rows as operators and targets do.
    pub store: StoreStandin,
    /// Server of the store, which injects faults that all hosts see.
    pub store_server: StandinServer,
    /// All [`HOST_COUNT`] hosts; methods name a host by its index here.
    pub hosts: Vec<SoakHost>,
    /// Targets in the order of `TARGETS`.
    pub targets: Vec<SoakTarget>,
    /// Runs that the targets have started, in the order of their starts.
    pub run_log: RunLog,
    should_stop: Arc<AtomicBool>,
}

fn start_relay(upstream: std::net::SocketAddr) -> RelayStandin {
    RelayStandin::start(RelayOptions { address: "127.0.0.1:0".to_owned(), upstream }).expect("a relay starts")
}

impl SoakInstallation {
    /// Starts the store, the targets and the hosts, and waits until all hosts are ready. Panics when one cannot start or
    /// is not ready in time.
    pub fn start(seed: u64) -> Self {
        Self::start_hosts(seed, false)
    }

    /// Like [`Self::start`], with links to the targets of its own for each host. Faults of `store_server` then concern no host.
    pub fn start_with_own_links(seed: u64) -> Self {
        Self::start_hosts(seed, true)
    }

    fn start_hosts(seed: u64, has_own_links: bool) -> Self {
        let directory = tempfile::Builder::new().prefix(&format!("soak-{seed}-")).tempdir().expect("a directory");
        let (store, run_log) = (StoreStandin::new(), RunLog::default());
        let store_server = store.serve().expect("the store starts");
        store.put_configuration(&build_configuration(1, CALLER_HOST, &[CALLER_KEY.to_owned()]));
        let targets = TARGETS.map(|(name, service)| {
            let standin = TargetStandin::new(name, &run_log);
            let server = standin.serve().expect("an engine starts");
            let relay = start_relay(server.address());
            SoakTarget { service, standin, server, relay }
        });
        let store_address = store_server.address();
        let hosts = (1..=HOST_COUNT).map(|number| {
            let links: Vec<RelayStandin> = if has_own_links {
                targets.iter().map(|target: &SoakTarget| start_relay(target.relay.address())).collect()
            } else {
                Vec::new()
            };
            let addresses = targets.iter().zip(&links);
            let addresses =
                addresses.map(|(target, link)| (target.relay.address().to_string(), link.address().to_string()));
            let own_store = has_own_links.then(|| store.with_addresses(addresses.collect()));
            let own_store_server = own_store.map(|store| store.serve().expect("the store starts"));
            let store_address = own_store_server.as_ref().map_or(store_address, StandinServer::address);
            SoakHost {
                name: format!("host-{number}"),
                caller_port: ReservedPort::new().expect("a free port"),
                readiness_port: ReservedPort::new().expect("a free port"),
                peer_port: ReservedPort::new().expect("a free port"),
                metrics_port: ReservedPort::new().expect("a free port"),
                store_relay: start_relay(store_address),
                target_links: links,
                own_store_server,
                child: Mutex::new(None),
                starts: AtomicUsize::new(0),
            }
        });
        let hosts = hosts.collect();
        let installation = Self {
            directory,
            store,
            store_server,
            hosts,
            targets: targets.into(),
            run_log,
            should_stop: Arc::new(AtomicBool::new(false)),
        };
        installation.renew_entries();
        (0..HOST_COUNT).for_each(|host| installation.start_host(host));
        assert!(installation.wait_until_ready(START_TIMEOUT), "the hosts of seed {seed} did not start");
        installation
    }

    /// Renews the entries of all targets on a thread of its own, until the installation is dropped. When the id of a
    /// target has changed, the entry of the earlier id is dropped.
    fn renew_entries(&self) {
        let entries: Vec<_> = self
            .targets
            .iter()
            .map(|target| (target.standin.clone(), target.service, target.relay.address().to_string()))
            .collect();
        let (store, should_stop) = (self.store.clone(), Arc::clone(&self.should_stop));
        std::thread::spawn(move || {
            let mut listed_ids = vec![String::new(); entries.len()];
            for sequence in 1.. {
                for ((standin, service, address), listed_id) in entries.iter().zip(&mut listed_ids) {
                    let id = standin.id();
                    if *listed_id != id && !listed_id.is_empty() {
                        store.put_target_entry(listed_id, None);
                    }
                    store.put_target_entry(&id, Some(&standin.build_entry(service, address, "north", sequence)));
                    *listed_id = id;
                }
                if should_stop.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(ENTRY_RENEWAL_INTERVAL);
            }
        });
    }

    /// Starts the process of a host. Does nothing when a process was started before and [`Self::kill_host`] was not
    /// called since, even if that process has exited by itself.
    pub fn start_host(&self, host: usize) {
        let soak_host = &self.hosts[host];
        let mut child = soak_host.child.lock().unwrap_or_else(PoisonError::into_inner);
        if child.is_some() {
            return;
        }
        let file = self.settings_path(host);
        let settings = format!(
            "host: {}\nfailure_domain: north\ncaller_address: {}\nreadiness_address: {}\npeer_address: {}\n\
             metrics_address: {}\nstore_address: {}\n",
            soak_host.name,
            soak_host.caller_port.address(),
            soak_host.readiness_port.address(),
            soak_host.peer_port.address(),
            soak_host.metrics_port.address(),
            soak_host.store_relay.address(),
        );
        std::fs::write(&file, settings).expect("the settings are written");
        let log = self.directory.path().join(format!("{}.log", soak_host.name));
        let log = File::options().create(true).append(true).open(log).expect("the log opens");
        let earlier_program = std::env::var_os(EARLIER_PROGRAM_VARIABLE);
        let is_earlier = (host + soak_host.starts.fetch_add(1, Ordering::Relaxed)).is_multiple_of(2);
        let program = earlier_program.filter(|_| is_earlier).unwrap_or(env!("CARGO_BIN_EXE_camphorspring").into());
        let started = Command::new(program)
            .arg("serve-platform")
            .env("CAMPHORSPRING_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log opens twice"))
            .stderr(log)
            .spawn();
        *child = Some(started.expect("the program starts"));
    }

    /// Path of the settings file of a host; each start of the process rewrites the file.
    pub fn settings_path(&self, host: usize) -> PathBuf {
        self.directory.path().join(format!("{}.yaml", self.hosts[host].name))
    }

    /// Reads the log of a host, which all its processes append to.
    pub fn read_log(&self, host: usize) -> String {
        let file = self.directory.path().join(format!("{}.log", self.hosts[host].name));
        std::fs::read_to_string(file).expect("the log is there")
    }

    /// Kills the process of a host, if there is one, and waits for its exit.
    pub fn kill_host(&self, host: usize) {
        let child = self.hosts[host].child.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(mut child) = child {
            // Both calls succeed also for a process that has exited already; other errors are ignored.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process of a host, if there is one.
    pub fn signal_host(&self, host: usize, signal: Signal) {
        let child = self.hosts[host].child.lock().unwrap_or_else(PoisonError::into_inner);
        let id = child.as_ref().and_then(|child| i32::try_from(child.id()).ok()).and_then(Pid::from_raw);
        if let Some(id) = id {
            // Fails only for a process that has exited.
            let _ = kill_process(id, signal);
        }
    }

    /// Stops a host by SIGTERM and starts it again. Returns whether the process exited within [`STOP_TIMEOUT`]; otherwise
    /// it is killed before the start.
    pub fn restart_host(&self, host: usize) -> bool {
        self.signal_host(host, Signal::TERM);
        let deadline = Instant::now() + STOP_TIMEOUT;
        let mut has_ended = false;
        while !has_ended && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(50));
            let mut child = self.hosts[host].child.lock().unwrap_or_else(PoisonError::into_inner);
            has_ended = child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        }
        self.kill_host(host);
        self.start_host(host);
        has_ended
    }

    /// Ends all faults of hosts, store and targets, and starts the hosts that were killed; see [`Self::start_host`].
    pub fn restore(&self) {
        for host in 0..HOST_COUNT {
            self.signal_host(host, Signal::CONT);
            self.start_host(host);
            self.hosts[host].store_relay.order(RelayCommand::Restore);
        }
        self.store_server.fault(FaultSpec::new(FaultKind::Clear));
        for target in &self.targets {
            target.relay.order(RelayCommand::Restore);
            target.server.fault(FaultSpec::new(FaultKind::Clear));
        }
    }

    /// Base URL at which a host serves callers.
    pub fn caller_url(&self, host: usize) -> String {
        format!("http://{}", self.hosts[host].caller_port.address())
    }

    /// Waits until all hosts report that they are ready; returns false after `timeout`.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let agent = http_agent(Duration::from_millis(500), Duration::from_secs(1));
        let is_ready = |host: &SoakHost| {
            let url = format!("http://{}/readyz", host.readiness_port.address());
            agent.get(&url).call().is_ok_and(|response| response.status() == 200)
        };
        let deadline = Instant::now() + timeout;
        while !self.hosts.iter().all(is_ready) {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Waits until a host counts all hosts as live in its metrics; returns false after `timeout`.
    pub fn wait_until_hosts_known(&self, host: usize, timeout: Duration) -> bool {
        let agent = http_agent(Duration::from_millis(500), Duration::from_secs(1));
        let url = format!("http://{}/metrics", self.hosts[host].metrics_port.address());
        let expected_line = format!("camphorspring_live_hosts {HOST_COUNT}");
        let deadline = Instant::now() + timeout;
        loop {
            let text = agent.get(&url).call().ok().and_then(|mut response| response.body_mut().read_to_string().ok());
            if text.is_some_and(|text| text.lines().any(|line| line == expected_line)) {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Copies the settings and logs of all hosts to a directory that is not removed, and returns its path.
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

impl Drop for SoakInstallation {
    fn drop(&mut self) {
        self.should_stop.store(true, Ordering::Release);
        (0..HOST_COUNT).for_each(|host| self.kill_host(host));
    }
}
