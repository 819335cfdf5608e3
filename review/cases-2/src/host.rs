//! A host of the system: the program of the deploy file as a process, with settings as its template gives them.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
    pub starts: u32,
}

/// Repository root: the programs start there.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("a working directory")
}

/// Ports that were given out so far.
static PORTS: AtomicU16 = AtomicU16::new(0);

/// A port that is free now, outside the range from which the kernel takes ports for outgoing connections.
fn free_port() -> SocketAddr {
    let first = (std::process::id() % 400) as u16 * 25;
    loop {
        let number = PORTS.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + (first + number) % 10_000));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Host {
    /// Host with its settings file in `folder`; its process is not started yet.
    pub fn new(
        name: &str,
        zone: &str,
        store: SocketAddr,
        duties: Option<SocketAddr>,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Host {
        let [callers, readiness, metrics, peers] = std::array::from_fn(|_| free_port());
        let settings = folder.join(format!("{name}.yaml"));
        let duties = duties.map_or_else(String::new, |address| format!("duty_address: \"{address}\"\n"));
        // deploy/settings.yaml, filled in with the settings that DEPLOY.md and the site file give.
        let text = format!(
            "host: \"{name}\"\nfailure_domain: \"{zone}\"\ncaller_address: \"{callers}\"\n\
             readiness_address: \"{readiness}\"\nmetrics_address: \"{metrics}\"\npeer_address: \"{peers}\"\n\
             store_address: \"{store}\"\n{duties}duty_turn_ms: 3000\nusage_window_seconds: 5\nprocessor_cores: 0.5\n\
             link_megabits: 1000.0\nresult_keep_seconds: 120\nstop_limit_seconds: 8\n"
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = folder.join(format!("{name}.log"));
        Host {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            log,
            child: None,
            record: Arc::clone(record),
            starts: 0,
        }
    }

    /// Starts the process with the command of the deploy file; returns whether that was possible.
    pub fn start(&mut self) -> bool {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log opens");
        let child = Command::new(root().join("target/release/camphorspring"))
            .arg("serve-platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CAMPHORSPRING_NODE_FILE", &self.settings)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log opens twice"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else { return false };
        self.starts += 1;
        self.record.line(&format!("host {} starts (process {})", self.name, child.id()));
        self.child = Some(child);
        true
    }

    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
        {
            self.record.line(&format!("signal {signal} to host {}", self.name));
            // SAFETY: the process is a child of this one and has not been waited for, so that the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process runs; the end of one is recorded once.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        match child.try_wait() {
            Ok(Some(status)) => {
                self.record.line(&format!("the process of host {} has ended by itself: {status}", self.name));
                self.child = None;
                false
            }
            _ => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory of the process in use now, in MB.
    pub fn memory_mb(&self) -> f64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|value| value.parse::<f64>().ok()).unwrap_or_default() / 1024.0
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET", "/readyz", &[("Host", "ready")], None, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready; returns whether they are in time.
pub fn wait_ready(hosts: &[Host]) -> bool {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
