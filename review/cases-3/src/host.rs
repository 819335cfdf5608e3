//! The hosts of an installation: processes of the product, with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http;

pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// Loopback addresses of a machine of its own, so that no connection of another process takes its ports meanwhile.
fn machine_addresses() -> [SocketAddr; 4] {
    const PORTS: [u16; 4] = [8405, 8406, 9464, 7660];
    let process = std::process::id();
    loop {
        let number = MACHINES.fetch_add(1, Ordering::Relaxed);
        let ip = [127, 1 + (process % 250) as u8, 1 + (process / 250 % 250) as u8, 1 + (number % 250) as u8];
        let addresses = PORTS.map(|port| SocketAddr::from((ip, port)));
        if addresses.iter().all(|address| TcpListener::bind(address).is_ok()) {
            return addresses;
        }
    }
}

static MACHINES: AtomicU32 = AtomicU32::new(0);

/// Words of `run` in the deploy file.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a command");
    run.trim_end_matches('"').split(' ').map(str::to_owned).collect()
}

impl Host {
    /// Writes the settings of a host, as the template of the deploy file gives them on a small deployment.
    pub fn prepare(directory: &Path, name: &str, zone: &str, store: SocketAddr, duty: SocketAddr) -> Self {
        let [caller, readiness, metrics, peer] = machine_addresses();
        let settings = directory.join(format!("{name}.yaml"));
        let text = format!(
            "host: \"{name}\"\nfailure_domain: \"{zone}\"\ncaller_address: \"{caller}\"\nreadiness_address: \"{readiness}\"\n\
             metrics_address: \"{metrics}\"\npeer_address: \"{peer}\"\nstore_address: \"{store}\"\nduty_address: \"{duty}\"\n\
             duty_turn_ms: 3000\nusage_window_seconds: 5\nprocessor_cores: 0.5\nlink_megabits: 1000.0\n\
             result_keep_seconds: 120\nstop_limit_seconds: 8\n"
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let log = directory.join(format!("{name}.log"));
        Self { name: name.to_owned(), caller, readiness, child: None, settings, log }
    }

    pub fn start(&mut self) {
        let words = run_command();
        let log = File::options().create(true).append(true).open(&self.log).expect("the log opens");
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("CAMPHORSPRING_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log opens"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    pub fn wait_ready(&self, patience: Duration) -> bool {
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            let answer =
                http::send(self.readiness, "GET", "/readyz", &[("Host", "ready")], b"", Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
