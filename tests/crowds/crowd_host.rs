//! A host process with little memory and few descriptors, and the stand-ins that it needs.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use camphorspring_standins::reserved_port::ReservedPort;
use camphorspring_standins::server::StandinServer;
use camphorspring_standins::{PlatformOptions, PlatformStandin};
use serde_json::json;
use tempfile::TempDir;

use crate::stand_ins::callers::{REQUEST_ID_HEADER, build_configuration};
use crate::stand_ins::store::StoreStandin;
use crate::stand_ins::target::{RunLog, TargetStandin};

/// HTTP host name that callers use.
pub const CALLER_HOST: &str = "crowd.example";

/// API key of all callers.
pub const CALLER_KEY: &str = "crowd-key";

/// Memory of the machine of the host, in megabytes.
pub const MEMORY_MEGABYTES: u64 = 64;

/// Most descriptors that the process may open.
pub const MAX_DESCRIPTORS: usize = 512;

/// Largest body of a request to `serve-platform`, in bytes.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Largest body of a request to `serve`, in bytes.
pub const GATEWAY_BODY_BYTES: usize = 1024 * 1024;

/// Longest wait for a condition that a busy machine reaches too; only a host that hangs exceeds it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Time without a change of its memory after which the bounds are checked beside the crowd. It bounds nothing: a host that reads on
/// later is found by the check after the crowd, since the peak of the memory stays.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

/// Timeout of one attempt of an ordinary request, after which the caller tries again.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval at which the target renews its entry in the store.
const ENTRY_RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Held by the test that runs, since a crowd must not share the machine with another one.
static TURN: Mutex<()> = Mutex::new(());

/// Head and body of a request with a key.
pub fn format_request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {CALLER_HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         {REQUEST_ID_HEADER}: {id}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// First line of the answer to the bytes of a request, sent on a connection of its own; empty without an answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut answer = Vec::new();
    let exchanged = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
        stream.set_write_timeout(Some(REQUEST_TIMEOUT))?;
        stream.write_all(request)?;
        let mut buffer = [0; 1024];
        while !answer.contains(&b'\n') {
            let length = stream.read(&mut buffer)?;
            if length == 0 {
                break;
            }
            answer.extend_from_slice(&buffer[..length]);
        }
        Ok(())
    });
    if exchanged.is_err() && answer.is_empty() {
        return String::new();
    }
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

/// Number of bytes of the answer to a request that closes its connection, with the head.
pub fn count_answer_bytes(address: SocketAddr, request: &[u8]) -> usize {
    let mut answer = Vec::new();
    let exchanged = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
        stream.write_all(request)?;
        stream.read_to_end(&mut answer)
    });
    // A connection that breaks shows in the number.
    exchanged.map_or(answer.len(), |_| answer.len())
}

/// Waits until a condition holds; panics after a generous time.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited too long for: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Running host. Dropping it kills the process, which the test started.
#[derive(Debug)]
pub struct CrowdHost {
    child: Child,
    caller_port: ReservedPort,
    peer_port: ReservedPort,
    /// Port for metrics, and in `serve` for operators.
    status_port: ReservedPort,
    readiness_port: ReservedPort,
    /// Request that is answered with 200 while the host serves.
    ordinary_request: String,
    should_stop: Arc<AtomicBool>,
    directory: TempDir,
    _servers: Vec<StandinServer>,
    _platform: Option<PlatformStandin>,
    _turn: MutexGuard<'static, ()>,
}

fn spawn(directory: &Path, command: &str, settings: &str) -> Child {
    let file = directory.join("settings.yaml");
    std::fs::write(&file, settings).expect("the settings are written");
    let log = File::create(directory.join("host.log")).expect("the log opens");
    // The limit on descriptors holds for the shell and what it executes.
    let script = format!("ulimit -n {MAX_DESCRIPTORS} && exec \"$0\" \"$@\"");
    let mut process = Command::new("sh");
    process.arg("-c").arg(script).arg(env!("CARGO_BIN_EXE_camphorspring")).arg(command);
    if command == "serve" {
        process.arg(&file);
    }
    process
        .env("CAMPHORSPRING_NODE_FILE", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log opens twice"))
        .stderr(log)
        .spawn()
        .expect("the program starts")
}

fn reserve() -> ReservedPort {
    ReservedPort::new().expect("a free port")
}

impl CrowdHost {
    /// Starts a host with `serve-platform`, a store and a target, and waits until it answers.
    pub fn start_in_installation() -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = tempfile::tempdir().expect("a directory");
        let store = StoreStandin::new();
        let store_server = store.serve().expect("the store starts");
        let mut configuration = build_configuration(1, CALLER_HOST, &[CALLER_KEY.to_owned()]);
        configuration["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
        store.put_configuration(&configuration);
        let should_stop = Arc::new(AtomicBool::new(false));
        let mut servers = Vec::new();
        for (name, service) in [("d1", "desk"), ("e1", "models")] {
            let target = TargetStandin::new(name, &RunLog::default());
            let server = target.serve().expect("a target starts");
            let address = server.address().to_string();
            servers.push(server);
            let (store, should_stop) = (store.clone(), Arc::clone(&should_stop));
            std::thread::spawn(move || {
                for sequence in 1.. {
                    let entry = target.build_entry(service, &address, "north", sequence);
                    store.put_target_entry(&target.id(), Some(&entry));
                    if should_stop.load(Ordering::Acquire) {
                        return;
                    }
                    std::thread::sleep(ENTRY_RENEWAL_INTERVAL);
                }
            });
        }
        let (caller_port, peer_port, status_port, readiness_port) = (reserve(), reserve(), reserve(), reserve());
        let settings = format!(
            "host: host-1\nfailure_domain: north\ncaller_address: {}\nreadiness_address: {}\npeer_address: {}\n\
             metrics_address: {}\nstore_address: {}\nmemory_megabytes: {MEMORY_MEGABYTES}\n",
            caller_port.address(),
            readiness_port.address(),
            peer_port.address(),
            status_port.address(),
            store_server.address(),
        );
        servers.push(store_server);
        let child = spawn(directory.path(), "serve-platform", &settings);
        let host = Self {
            child,
            caller_port,
            peer_port,
            status_port,
            readiness_port,
            ordinary_request: format_request("POST", "/plain/ask", "ordinary", "", "ask"),
            should_stop,
            directory,
            _servers: servers,
            _platform: None,
            _turn: turn,
        };
        host.wait_until_answered();
        host
    }

    /// Starts a host with `serve` and a platform, and waits until it answers.
    pub fn start_with_gateway() -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = tempfile::tempdir().expect("a directory");
        let platform = PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
        let (caller_port, peer_port, status_port) = (reserve(), reserve(), reserve());
        let settings = format!(
            "host: host-1\nfailure_domain: north\ncaller_address: {}\noperator_address: {}\npeer_address: {}\n\
             platform_url: http://{}\ncluster_token: cluster-token-of-the-tests\n\
             operator_token: operator-token-of-the-tests\nmemory_megabytes: {MEMORY_MEGABYTES}\n\
             connection_limit: 128\n",
            caller_port.address(),
            status_port.address(),
            peer_port.address(),
            platform.server().address(),
        );
        let child = spawn(directory.path(), "serve", &settings);
        let host = Self {
            child,
            caller_port,
            peer_port,
            status_port,
            readiness_port: reserve(),
            ordinary_request: format_request("GET", "/health", "ordinary", "", ""),
            should_stop: Arc::default(),
            directory,
            _servers: Vec::new(),
            _platform: Some(platform),
            _turn: turn,
        };
        host.wait_until_answered();
        host
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_port.address()
    }

    /// Address for other hosts.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_port.address()
    }

    /// Address for metrics, and in `serve` for operators.
    pub fn status_address(&self) -> SocketAddr {
        self.status_port.address()
    }

    /// Address for readiness checks of `serve-platform`.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_port.address()
    }

    /// Waits until an ordinary request is answered with 200. A caller that is refused or cut off tries again.
    pub fn wait_until_answered(&self) {
        wait_until("the answer to an ordinary request", || {
            exchange(self.caller_address(), self.ordinary_request.as_bytes()).contains(" 200 ")
        });
    }

    fn status_value(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Waits until the host has read what it reads of a crowd: until its memory does not grow any more.
    pub fn wait_until_quiet(&self) {
        let (mut known, mut since) = (None, Instant::now());
        wait_until("a steady size of the process", || {
            let present = self.status_value("VmHWM");
            if present != known {
                (known, since) = (present, Instant::now());
            }
            since.elapsed() >= QUIET_PERIOD
        });
    }

    /// Checks that the process lives, has stayed within the memory of its machine and has descriptors left.
    pub fn check_limits(&mut self) {
        let exit = self.child.try_wait().expect("the state of the process is read");
        let log = || std::fs::read_to_string(self.directory.path().join("host.log")).unwrap_or_default();
        assert!(exit.is_none(), "the process has ended ({exit:?}):\n{}", log());
        let peak = self.status_value("VmHWM").expect("the process has a peak of its memory") / 1024;
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the descriptors are listed");
        let descriptors = files.count();
        eprintln!("peak memory {peak} MB, {descriptors} descriptors");
        assert!(peak < MEMORY_MEGABYTES, "{peak} MB were used on a machine of {MEMORY_MEGABYTES} MB");
        assert!(descriptors < MAX_DESCRIPTORS, "all {descriptors} descriptors are in use");
    }
}

impl Drop for CrowdHost {
    fn drop(&mut self) {
        self.should_stop.store(true, Ordering::Release);
        // Both calls succeed also for a process that has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
