//! The installation of the quick start: owns the three host processes, the stand-ins and the directory, and runs
//! operator commands and HTTP calls at the hosts.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use camphorspring::generated::caller_messages::{GrantAnswer, StatusAnswer};
use camphorspring::store_client::{StoreCallError, fault_of, http_agent};
use tempfile::TempDir;
use ureq::Agent;

use super::QuickstartOptions;
use super::check_list::CheckResult;
use super::standin_set::StandinSet;
use crate::host_process::{HostName, HostProcess, SharedSettings, run_command};

const HOSTS: [HostName; 3] = [
    HostName { host: "north-1", failure_domain: "north" },
    HostName { host: "north-2", failure_domain: "north" },
    HostName { host: "south-1", failure_domain: "south" },
];

/// Timeout for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Length of a usage window, short enough that one ends within the run.
const USAGE_WINDOW_SECONDS: u32 = 10;

/// Time from the end of a usage window until its figures are frozen, longer than the period in which hosts flush
/// usage, so that the window contains the last increments.
const USAGE_FREEZE_SECONDS: u32 = 6;

/// Caller keys that the quick start grants.
#[derive(Debug)]
pub(super) struct CallerKeys {
    /// Key of `readiness-lab`, which sends completions and steps.
    pub(super) lab: GrantAnswer,
    /// Key of `booking-desk`, which sends bookings.
    pub(super) desk: GrantAnswer,
    /// Second key of `booking-desk`, withdrawn by a check.
    pub(super) spare: GrantAnswer,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CallAnswer {
    pub(super) status: u16,
    pub(super) body: String,
}

/// Hosts, stand-ins and directory of one run.
pub(super) struct Installation {
    pub(super) standins: StandinSet,
    binary: PathBuf,
    /// `None` after [`Installation::remove_directory`].
    directory: Mutex<Option<TempDir>>,
    directory_path: PathBuf,
    shared: SharedSettings,
    hosts: Mutex<Vec<HostProcess>>,
    agent: Agent,
}

impl Installation {
    /// Starts the stand-ins, creates the directory and reserves the ports of the hosts, without starting a host.
    pub(super) fn prepare(options: &QuickstartOptions) -> io::Result<Self> {
        let mut directory = tempfile::Builder::new().prefix("camphorspring-quickstart-").tempdir()?;
        directory.disable_cleanup(options.should_keep_directory);
        let standins = StandinSet::start(options)?;
        let shared = SharedSettings {
            platform_url: standins.platform.url(),
            cluster_token: "quickstart-cluster-token".to_owned(),
            operator_token: "quickstart-operator-token".to_owned(),
            usage_window_seconds: USAGE_WINDOW_SECONDS,
            usage_freeze_seconds: USAGE_FREEZE_SECONDS,
        };
        let hosts = HOSTS.iter().map(|name| HostProcess::reserve(*name)).collect::<io::Result<Vec<_>>>()?;
        standins.platform.set_hosts(hosts.iter().map(HostProcess::record).collect());
        Ok(Self {
            standins,
            binary: options.binary.clone(),
            directory_path: directory.path().to_owned(),
            directory: Mutex::new(Some(directory)),
            shared,
            hosts: Mutex::new(hosts),
            agent: http_agent(Duration::from_secs(1), CALL_TIMEOUT),
        })
    }

    /// Path of the directory with settings and logs, also after its removal.
    pub(super) fn directory(&self) -> &Path {
        &self.directory_path
    }

    /// Makes [`Installation::remove_directory`] leave the directory in place, for the logs in it.
    pub(super) fn keep_directory(&self) {
        if let Some(directory) = self.directory.lock().expect("the directory is intact").as_mut() {
            directory.disable_cleanup(true);
        }
    }

    /// Removes the directory, unless the options or [`Installation::keep_directory`] ask to keep it.
    pub(super) fn remove_directory(&self) {
        drop(self.directory.lock().expect("the directory is intact").take());
    }

    /// Starts the hosts, applies the services text and waits until all hosts are ready with it. A host process
    /// that ends by itself before the text is applied is reported without waiting for the timeout.
    pub(super) fn start(&self) -> CheckResult {
        let start = Instant::now();
        for host in self.hosts.lock().expect("the hosts are intact").iter_mut() {
            host.start(&self.binary, &self.directory_path, &self.shared)
                .map_err(|error| format!("{} cannot be started: {error}", self.binary.display()))?;
        }
        let file = self.directory_path.join("services.yaml");
        let text = self.standins.build_services_text().map_err(|error| error.to_string())?;
        std::fs::write(&file, text).map_err(|error| error.to_string())?;
        let file = file.to_string_lossy().into_owned();
        let mut message = String::new();
        let mut is_applied = false;
        let waited = self.wait_until("the services text is in force", || {
            (is_applied, message) = self.apply_services_text(&file);
            is_applied || self.find_ended_host().is_some()
        });
        if let Some(name) = self.find_ended_host() {
            return Err(format!("{name} ended by itself"));
        }
        waited.map_err(|error| format!("{error}; {message}"))?;
        self.wait_for_hosts(1)?;
        Ok(format!("{message}; all hosts ready after {:.1} s", start.elapsed().as_secs_f64()))
    }

    /// Runs the operator command `apply`; returns whether it succeeded, and its output or error text.
    fn apply_services_text(&self, file: &str) -> (bool, String) {
        match self.run_operator_command(&["apply", file]) {
            Ok(output) if output.status.success() => (true, trim_output(&output.stdout)),
            Ok(output) => (false, trim_output(&output.stderr)),
            Err(error) => (false, error.to_string()),
        }
    }

    /// Name of a host whose process was started and ended without being killed. A process whose state cannot be read
    /// counts as running.
    fn find_ended_host(&self) -> Option<&'static str> {
        let mut hosts = self.hosts.lock().expect("the hosts are intact");
        let mut started = hosts.iter_mut().filter(|host| host.id().is_some());
        started.find_map(|host| (!host.is_running().unwrap_or(true)).then(|| host.name().host))
    }

    /// Grants the caller keys and waits until all running hosts have the highest configuration version that one
    /// of them reports.
    pub(super) fn grant_keys(&self) -> Result<CallerKeys, String> {
        let grant = |organisation: &str| -> Result<GrantAnswer, String> {
            let output = self
                .run_operator_command(&["keys", "grant", organisation, "--json"])
                .map_err(|error| error.to_string())?;
            if !output.status.success() {
                return Err(trim_output(&output.stderr));
            }
            serde_json::from_slice(&output.stdout).map_err(|error| error.to_string())
        };
        let keys =
            CallerKeys { lab: grant("readiness-lab")?, desk: grant("booking-desk")?, spare: grant("booking-desk")? };
        let version = self.statuses().iter().map(|status| status.configuration_version).max().unwrap_or(0);
        self.wait_for_hosts(version)?;
        Ok(keys)
    }

    /// One line each for the hosts, the keys of both organisations, the operator token, the directly reachable targets
    /// and the platform.
    pub(super) fn describe(&self, keys: &CallerKeys) -> Vec<String> {
        let hosts = self.hosts.lock().expect("the hosts are intact");
        let mut lines: Vec<String> = hosts.iter().map(describe_host).collect();
        lines.push(format!("key organisation=readiness-lab key={}", keys.lab.key));
        lines.push(format!("key organisation=booking-desk key={}", keys.desk.key));
        lines.push(format!("operator token={}", self.shared.operator_token));
        let standins = &self.standins;
        lines.push(format!("direct engine={} plain={}", standins.engines[0].url(), standins.desks[0].url()));
        lines.push(format!("platform url={}", standins.platform.url()));
        lines
    }

    /// Runs an operator command at the first host that has not been killed; fails when there is none or the binary
    /// cannot be started.
    pub(super) fn run_operator_command(&self, arguments: &[&str]) -> io::Result<Output> {
        let url = self.running_hosts().first().map(|host| host.operator_url.clone());
        let url = url.ok_or_else(|| io::Error::other("no host runs"))?;
        run_command(&self.binary, &url, &self.shared.operator_token, arguments)
    }

    /// Hosts that were started and not killed, also when their process ended by itself.
    pub(super) fn running_hosts(&self) -> Vec<RunningHost> {
        let hosts = self.hosts.lock().expect("the hosts are intact");
        let running = hosts.iter().filter(|host| host.id().is_some()).map(|host| RunningHost {
            name: host.name().host,
            caller_url: host.caller_url(),
            operator_url: host.operator_url(),
        });
        running.collect()
    }

    /// Kills a host; `None` when no host of this name was started, or it has been killed before.
    pub(super) fn kill_host(&self, name: &str) -> Option<()> {
        let mut hosts = self.hosts.lock().expect("the hosts are intact");
        let host = hosts.iter_mut().find(|host| host.name().host == name && host.id().is_some())?;
        host.kill();
        Some(())
    }

    /// Status of each running host; hosts without a readable response are left out.
    pub(super) fn statuses(&self) -> Vec<StatusAnswer> {
        let hosts = self.running_hosts();
        let statuses = hosts.iter().filter_map(|host| {
            let url = format!("{}/operator/status", host.operator_url);
            let answer = self.get(&url, Some(&self.shared.operator_token)).ok()?;
            serde_json::from_str(&answer.body).ok()
        });
        statuses.collect()
    }

    /// Sends a GET request, with `key` as bearer token if given. A response of any status is `Ok`.
    pub(super) fn get(&self, url: &str, key: Option<&str>) -> Result<CallAnswer, StoreCallError> {
        let mut request = self.agent.get(url);
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        read_answer(request.call())
    }

    /// Sends JSON in a POST request, with `key` as bearer token if given. A response of any status is `Ok`.
    pub(super) fn post(
        &self,
        url: &str,
        key: Option<&str>,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> Result<CallAnswer, StoreCallError> {
        let mut request = self.agent.post(url).content_type("application/json");
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(idempotency_key) = idempotency_key {
            request = request.header("idempotency-key", idempotency_key);
        }
        read_answer(request.send(body))
    }

    /// Waits until all running hosts are ready and have at least this configuration version.
    fn wait_for_hosts(&self, version: u64) -> Result<(), String> {
        let what = format!("all hosts are ready with version {version}");
        self.wait_until(&what, || {
            let statuses = self.statuses();
            statuses.len() == self.running_hosts().len()
                && statuses.iter().all(|status| status.ready && status.configuration_version >= version)
        })
    }

    /// Polls `condition` until it holds; an error with `what` in its text when it does not hold within the timeout.
    #[expect(clippy::unused_self, reason = "all waits of the quick start have the limit of the installation")]
    pub(super) fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) -> Result<(), String> {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition() {
            if Instant::now() > deadline {
                return Err(format!("waited {} s in vain until {what}", CONDITION_TIMEOUT.as_secs()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Kills all host processes and waits for their end.
    pub(super) fn kill_hosts(&self) {
        // A check that panicked may have poisoned the lock; the processes must be killed all the same.
        let mut hosts = self.hosts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        for host in hosts.iter_mut() {
            host.kill();
        }
    }
}

/// Name and base URLs of a host that was started and not killed.
#[derive(Debug, Clone)]
pub(super) struct RunningHost {
    pub(super) name: &'static str,
    pub(super) caller_url: String,
    operator_url: String,
}

fn describe_host(host: &HostProcess) -> String {
    let (name, id) = (host.name(), host.id().unwrap_or(0));
    let (caller, operator) = (host.caller_url(), host.operator_url());
    format!("host name={} domain={} pid={id} caller={caller} operator={operator}", name.host, name.failure_domain)
}

/// Text for the report about a call to a host that failed. The store client's error type also serves for these calls;
/// [`StoreCallError::NotSent`] includes connect timeouts and unknown host names.
pub(super) fn describe_error(host: &str, error: &StoreCallError) -> String {
    match error {
        StoreCallError::NotSent => format!("{host} refused the connection"),
        StoreCallError::AnswerLost => format!("{host} gave no answer"),
        StoreCallError::Refused(status) => format!("{host} answered with status {status}"),
        StoreCallError::Malformed => format!("the answer of {host} cannot be read"),
    }
}

/// Output of a command as text, without white space at both ends; invalid UTF-8 is replaced.
pub(super) fn trim_output(output: &[u8]) -> String {
    String::from_utf8_lossy(output).trim().to_owned()
}

fn read_answer(response: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> Result<CallAnswer, StoreCallError> {
    let mut response = response.map_err(|error| fault_of(&error))?;
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().map_err(|error| fault_of(&error))?;
    Ok(CallAnswer { status, body })
}
