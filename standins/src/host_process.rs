//! Runs host processes of the product on loopback; each is killed when its [`HostProcess`] is dropped.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use camphorspring::generated::platform_messages::{HostRecord, HostState};

use crate::reserved_port::ReservedPort;

/// Interval between two checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Name and failure domain of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostName {
    /// Name of the host, unique in the installation.
    pub host: &'static str,
    /// Name of the failure domain that the host belongs to.
    pub failure_domain: &'static str,
}

/// Settings that all hosts of an installation share.
#[derive(Debug, Clone)]
pub struct SharedSettings {
    /// Base URL at which the hosts reach the platform, without a trailing slash.
    pub platform_url: String,
    /// Secret by which the hosts authenticate each other.
    pub cluster_token: String,
    /// Bearer token that operator commands must carry.
    pub operator_token: String,
    /// Length of a usage window, in seconds.
    pub usage_window_seconds: u32,
    /// Delay from the end of a usage window until its figures are frozen, in seconds.
    pub usage_freeze_seconds: u32,
}

/// A host with reserved ports; its process may be started and killed several times.
#[derive(Debug)]
pub struct HostProcess {
    name: HostName,
    caller_port: ReservedPort,
    operator_port: ReservedPort,
    peer_port: ReservedPort,
    child: Option<Child>,
}

impl HostProcess {
    /// Reserves the ports of a host without starting the process.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened, or no port is free.
    pub fn reserve(name: HostName) -> io::Result<Self> {
        let (caller_port, operator_port, peer_port) =
            (ReservedPort::new()?, ReservedPort::new()?, ReservedPort::new()?);
        Ok(Self { name, caller_port, operator_port, peer_port, child: None })
    }

    /// Returns the name and failure domain of the host.
    #[must_use]
    pub fn name(&self) -> HostName {
        self.name
    }

    /// Returns the base URL for callers, without a trailing slash.
    #[must_use]
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.caller_port.address())
    }

    /// Returns the base URL for operators, without a trailing slash.
    #[must_use]
    pub fn operator_url(&self) -> String {
        format!("http://{}", self.operator_port.address())
    }

    /// Returns the entry for the host list of the platform, in state live whether or not the process runs.
    #[must_use]
    pub fn record(&self) -> HostRecord {
        HostRecord {
            host: self.name.host.to_owned(),
            failure_domain: self.name.failure_domain.to_owned(),
            state: HostState::Live,
            peer_address: self.peer_port.address().to_string(),
            caller_address: self.caller_port.address().to_string(),
            operator_address: self.operator_port.address().to_string(),
        }
    }

    /// Writes the settings file to `directory` and starts the process; its output is appended to
    /// [`HostProcess::log_file`].
    ///
    /// An earlier process must have been killed before, since it would run on without an owner.
    ///
    /// # Errors
    ///
    /// The settings or the log file cannot be written, or the binary cannot be started.
    pub fn start(&mut self, binary: &Path, directory: &Path, shared: &SharedSettings) -> io::Result<()> {
        let settings_file = self.write_settings(directory, shared)?;
        let log = File::options().create(true).append(true).open(self.log_file(directory))?;
        let child = Command::new(binary)
            .arg("serve")
            .arg(settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the path of the file in `directory` that receives the output of the process.
    #[must_use]
    pub fn log_file(&self, directory: &Path) -> PathBuf {
        directory.join(format!("{}.log", self.name.host))
    }

    /// Returns the id of the process last started, also when it has ended by itself; `None` before the first start and
    /// after [`HostProcess::kill`].
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process was started and has not ended.
    ///
    /// # Errors
    ///
    /// The state of the process cannot be read.
    pub fn is_running(&mut self) -> io::Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Waits for the process to end by itself and returns its exit code.
    ///
    /// `None` means that it still runs after `timeout`, was ended by a signal, is not started, or cannot be checked.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        let child = self.child.as_mut()?;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return status.code(),
                Ok(None) if Instant::now() < deadline => std::thread::sleep(EXIT_POLL_INTERVAL),
                _ => return None,
            }
        }
    }

    /// Kills the process with SIGKILL and waits for its end; no effect when none is started.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn write_settings(&self, directory: &Path, shared: &SharedSettings) -> io::Result<PathBuf> {
        let settings_file = directory.join(format!("{}.yaml", self.name.host));
        let text = format!(
            "host: {}\nfailure_domain: {}\ncaller_address: {}\noperator_address: {}\npeer_address: {}\n\
             platform_url: {}\ncluster_token: {}\noperator_token: {}\nusage_window_seconds: {}\n\
             usage_freeze_seconds: {}\n",
            self.name.host,
            self.name.failure_domain,
            self.caller_port.address(),
            self.operator_port.address(),
            self.peer_port.address(),
            shared.platform_url,
            shared.cluster_token,
            shared.operator_token,
            shared.usage_window_seconds,
            shared.usage_freeze_seconds,
        );
        fs::write(&settings_file, text)?;
        Ok(settings_file)
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs an operator command of the product against `host_url`; returns its exit status and output once it has ended.
///
/// # Errors
///
/// The binary cannot be started, or its output cannot be read.
pub fn run_command(binary: &Path, host_url: &str, token: &str, arguments: &[&str]) -> io::Result<Output> {
    Command::new(binary)
        .args(arguments)
        .env("CAMPHORSPRING_HOST", host_url)
        .env("CAMPHORSPRING_TOKEN", token)
        .stdin(Stdio::null())
        .output()
}
