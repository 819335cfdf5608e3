//! Processes of the product: started on loopback, and killed by their ids when their owner ends.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use camphorspring::generated::platform_messages::{HostRecord, HostState};

use crate::reserved_port::ReservedPort;

/// Period in which the end of a process is looked for.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Name and failure domain of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostName {
    /// Unique name.
    pub host: &'static str,
    /// Failure domain.
    pub failure_domain: &'static str,
}

/// Secrets and addresses that all hosts of an installation share.
#[derive(Debug, Clone)]
pub struct SharedSettings {
    /// Base URL of the platform.
    pub platform_url: String,
    /// Secret that hosts prove to each other.
    pub cluster_token: String,
    /// Bearer token of operator commands.
    pub operator_token: String,
    /// Length of a usage window in seconds.
    pub usage_window_seconds: u32,
    /// Time after the end of a usage window at which its figures are frozen, in seconds.
    pub usage_freeze_seconds: u32,
}

/// A host with reserved addresses, running or not.
#[derive(Debug)]
pub struct HostProcess {
    name: HostName,
    caller: ReservedPort,
    operator: ReservedPort,
    peer: ReservedPort,
    child: Option<Child>,
}

impl HostProcess {
    /// Reserves the addresses of a host.
    ///
    /// # Errors
    ///
    /// The kernel has no free port.
    pub fn reserve(name: HostName) -> io::Result<Self> {
        let (caller, operator, peer) = (ReservedPort::new()?, ReservedPort::new()?, ReservedPort::new()?);
        Ok(Self { name, caller, operator, peer, child: None })
    }

    /// Name of the host.
    #[must_use]
    pub fn name(&self) -> HostName {
        self.name
    }

    /// Base URL for callers.
    #[must_use]
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.caller.address())
    }

    /// Base URL for operators.
    #[must_use]
    pub fn operator_url(&self) -> String {
        format!("http://{}", self.operator.address())
    }

    /// Entry of the host list.
    #[must_use]
    pub fn record(&self) -> HostRecord {
        HostRecord {
            host: self.name.host.to_owned(),
            failure_domain: self.name.failure_domain.to_owned(),
            state: HostState::Live,
            peer_address: self.peer.address().to_string(),
            caller_address: self.caller.address().to_string(),
            operator_address: self.operator.address().to_string(),
        }
    }

    /// Writes the settings file and starts the process, whose output goes to a file beside it.
    ///
    /// # Errors
    ///
    /// A file cannot be written, or the binary cannot be started.
    pub fn start(&mut self, binary: &Path, directory: &Path, shared: &SharedSettings) -> io::Result<()> {
        let file = self.write_settings(directory, shared)?;
        let log = File::options().create(true).append(true).open(self.log_file(directory))?;
        let child = Command::new(binary)
            .arg("serve")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// File with the output of the process.
    #[must_use]
    pub fn log_file(&self, directory: &Path) -> PathBuf {
        directory.join(format!("{}.log", self.name.host))
    }

    /// Process id, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process was started and has not ended.
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

    /// Waits for the process to end by itself; its exit status, or `None` when it runs longer than `limit` or was ended
    /// by a signal.
    pub fn wait_for_exit(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        let child = self.child.as_mut()?;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return status.code(),
                Ok(None) if Instant::now() < end => std::thread::sleep(EXIT_POLL),
                _ => return None,
            }
        }
    }

    /// Kills the process without warning and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn write_settings(&self, directory: &Path, shared: &SharedSettings) -> io::Result<PathBuf> {
        let file = directory.join(format!("{}.yaml", self.name.host));
        let text = format!(
            "host: {}\nfailure_domain: {}\ncaller_address: {}\noperator_address: {}\npeer_address: {}\n\
             platform_url: {}\ncluster_token: {}\noperator_token: {}\nusage_window_seconds: {}\n\
             usage_freeze_seconds: {}\n",
            self.name.host,
            self.name.failure_domain,
            self.caller.address(),
            self.operator.address(),
            self.peer.address(),
            shared.platform_url,
            shared.cluster_token,
            shared.operator_token,
            shared.usage_window_seconds,
            shared.usage_freeze_seconds,
        );
        fs::write(&file, text)?;
        Ok(file)
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs an operator command of the product and returns its output.
///
/// # Errors
///
/// The binary cannot be started.
pub fn run_command(binary: &Path, host_url: &str, token: &str, arguments: &[&str]) -> io::Result<Output> {
    Command::new(binary)
        .args(arguments)
        .env("CAMPHORSPRING_HOST", host_url)
        .env("CAMPHORSPRING_TOKEN", token)
        .stdin(Stdio::null())
        .output()
}
