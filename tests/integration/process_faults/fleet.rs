//! Starts host processes together with stand-ins for the platform and the targets. The peer and platform connections of
//! each host pass through relays, so that a test can cut them.

use std::io::Read;
use std::path::Path;
use std::process::Output;
use std::sync::{Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use camphorspring::generated::caller_messages::{GrantAnswer, StatusAnswer};
use camphorspring::generated::platform_messages::HostRecord;
use camphorspring::store_client::http_agent;
use camphorspring_standins::host_process::{HostName, HostProcess, SharedSettings, run_command};
use camphorspring_standins::{
    EngineOptions, EngineStandin, FaultSpec, PlainOptions, PlainStandin, PlatformOptions, PlatformStandin,
    RelayCommand, RelayDirection, RelayOptions, RelayStandin,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tempfile::TempDir;
use ureq::Agent;

/// Timeout for conditions that hold within seconds on an idle machine; generous, so that a loaded machine passes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Failure domains that have one target of each service.
const DOMAINS: [&str; 2] = ["north", "south"];

const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// Polls a condition until it holds; panics with `what` when it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited too long until {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Status and body of a response. Without a response the status is 0 and the body is the text of the error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResponse {
    pub status: u16,
    pub body: String,
}

impl CallResponse {
    /// Result code of a refusal; `None` when the body is not JSON or has no number as its code.
    pub fn code(&self) -> Option<u64> {
        serde_json::from_str::<Value>(&self.body).ok()?["code"].as_u64()
    }
}

struct FleetHost {
    process: Mutex<HostProcess>,
    shared: SharedSettings,
    record: HostRecord,
    peer_relay: RelayStandin,
    platform_relay: RelayStandin,
}

/// Hosts and stand-ins of one test; dropping it kills the host processes.
pub struct HostFleet {
    hosts: Vec<FleetHost>,
    pub platform: PlatformStandin,
    pub engines: Vec<EngineStandin>,
    booking_services: Vec<PlainStandin>,
    tracking_services: Vec<PlainStandin>,
    directory: TempDir,
    agent: Agent,
}

impl HostFleet {
    /// Starts the hosts, and applies a services text with one target of each service in each failure domain. Returns
    /// once all hosts are ready with that configuration.
    pub fn start(names: &[HostName]) -> Self {
        let platform = PlatformStandin::start(PlatformOptions::default()).unwrap();
        let engine = EngineOptions { token_time: Duration::from_millis(10), ..EngineOptions::default() };
        let engines = (0..2).map(|_| EngineStandin::start(engine.clone()).unwrap()).collect();
        let fleet = Self {
            hosts: names.iter().map(|name| FleetHost::prepare(*name, &platform)).collect(),
            platform,
            engines,
            booking_services: DOMAINS.iter().map(|_| PlainStandin::start(PlainOptions::default()).unwrap()).collect(),
            tracking_services: DOMAINS.iter().map(|_| PlainStandin::start(PlainOptions::default()).unwrap()).collect(),
            directory: tempfile::tempdir().unwrap(),
            agent: http_agent(Duration::from_secs(1), Duration::from_secs(20)),
        };
        fleet.platform.set_hosts(fleet.hosts.iter().map(|host| host.record.clone()).collect());
        for host in &fleet.hosts {
            host.start(fleet.directory.path());
        }
        fleet.apply_services_text();
        fleet
    }

    fn apply_services_text(&self) {
        let file = self.directory.path().join("services.yaml");
        std::fs::write(&file, self.build_services_text()).unwrap();
        let file = file.to_string_lossy().into_owned();
        wait_for("the services text is in force", || self.run_command(0, &["apply", &file]).status.success());
        wait_for("all hosts are ready", || {
            self.host_indices().all(|index| {
                self.fetch_status(index).is_some_and(|status| status.ready && status.configuration_version > 0)
            })
        });
    }

    fn build_services_text(&self) -> String {
        let engines = self.engines.iter().zip(DOMAINS);
        let engines =
            engines.map(|(engine, domain)| format_target("scoring", domain, &engine.server().address().to_string()));
        let bookings = self.booking_services.iter().zip(DOMAINS);
        let bookings =
            bookings.map(|(service, domain)| format_target("desk", domain, &service.server().address().to_string()));
        let tracking = self.tracking_services.iter().zip(DOMAINS);
        let tracking = tracking
            .map(|(service, domain)| format_target("tracking", domain, &service.server().address().to_string()));
        let targets: Vec<String> = engines.chain(bookings).chain(tracking).collect();
        format!(
            "services:\n\
             - {{name: scoring, kind: engine, model: pile, objective: {{latency_ms: 5000, good_share: 0.99}}}}\n\
             - {{name: desk, kind: plain}}\n\
             - {{name: tracking, kind: plain}}\n\
             routes:\n\
             - {{path: /desk, service: desk, repeatable: false, timeout_ms: 30000}}\n\
             - {{path: /track, service: tracking, open: true}}\n\
             organisations:\n\
             - {{name: lab}}\n\
             targets:\n{}",
            targets.join("")
        )
    }

    /// Indices of all hosts, in the order given to [`Self::start`].
    pub fn host_indices(&self) -> std::ops::Range<usize> {
        0..self.hosts.len()
    }

    /// Runs an operator command against a host, and waits for its end.
    pub fn run_command(&self, index: usize, arguments: &[&str]) -> Output {
        let url = format!("http://{}", self.hosts[index].record.operator_address);
        run_command(binary_path(), &url, OPERATOR_TOKEN, arguments).unwrap()
    }

    /// Grants a key to an organisation at the first host; returns the key id and the key.
    pub fn grant_key(&self, organisation: &str) -> (String, String) {
        let output = self.run_command(0, &["keys", "grant", organisation, "--json"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let answer: GrantAnswer = serde_json::from_slice(&output.stdout).unwrap();
        (answer.key_id, answer.key)
    }

    /// Status that a host reports; `None` without a valid response.
    pub fn fetch_status(&self, index: usize) -> Option<StatusAnswer> {
        let url = format!("http://{}/operator/status", self.hosts[index].record.operator_address);
        let response = self.send_get(&url, OPERATOR_TOKEN);
        serde_json::from_str(&response.body).ok()
    }

    /// Configuration version in force on a host; 0 when it does not respond.
    pub fn configuration_version(&self, index: usize) -> u64 {
        self.fetch_status(index).map_or(0, |status| status.configuration_version)
    }

    /// State of the host `name` as the host at `index` reports it; empty when the latter does not respond or does not
    /// know `name`.
    pub fn peer_state(&self, index: usize, name: &str) -> String {
        let hosts = self.fetch_status(index).map(|status| status.hosts).unwrap_or_default();
        hosts.into_iter().find(|host| host.host == name).map(|host| host.state).unwrap_or_default()
    }

    /// Number of engines that a host reports as out of rotation.
    pub fn count_out_engines(&self, index: usize) -> usize {
        let targets = self.fetch_status(index).map(|status| status.targets).unwrap_or_default();
        targets.iter().filter(|target| target.out && target.service == "scoring").count()
    }

    /// Age of the newest store read in the view of a host, from the metrics; zero without a response. Panics when the
    /// age is unknown, which the metric shows as -1.
    pub fn store_read_age(&self, index: usize) -> Duration {
        let metrics = self.send_get(&format!("http://{}/metrics", self.hosts[index].record.operator_address), "").body;
        let line = metrics.lines().find(|line| line.starts_with("camphorspring_store_read_age_seconds"));
        let age = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        Duration::from_secs_f64(age.unwrap_or(0.0))
    }

    /// Sends a completion request with a fixed prompt.
    pub fn send_completion(&self, index: usize, key: &str) -> CallResponse {
        self.send_prompt(index, key, "how ready is pile 7?")
    }

    /// Sends a completion request for at most two tokens.
    pub fn send_prompt(&self, index: usize, key: &str, prompt: &str) -> CallResponse {
        let body = format!("{{\"model\":\"pile\",\"prompt\":\"{prompt}\",\"max_tokens\":2}}");
        let request = self.agent.post(self.caller_url(index, "/v1/completions"));
        read_response(request.header("authorization", format!("Bearer {key}")).send(body.as_bytes()))
    }

    /// Whether a completion request with this key succeeds on every host; stops at the first that fails.
    pub fn is_key_accepted_by_all(&self, key: &str) -> bool {
        self.host_indices().all(|index| self.send_completion(index, key).status == 200)
    }

    /// Sends a booking, a request that must run at most once for each idempotency key.
    pub fn send_booking(&self, index: usize, key: &str, idempotency_key: &str, body: &str) -> CallResponse {
        let request = self.agent.post(self.caller_url(index, "/desk/bookings"));
        let request = request.header("authorization", format!("Bearer {key}"));
        read_response(request.header("idempotency-key", idempotency_key).content_type("application/json").send(body))
    }

    /// Requests a tracking page, which is on an open route, without a key.
    pub fn fetch_tracking_page(&self, index: usize) -> CallResponse {
        read_response(self.agent.get(self.caller_url(index, "/track/parcels/4711")).call())
    }

    /// HTTP status of the readiness route; 0 without a response.
    pub fn readiness_status(&self, index: usize) -> u16 {
        read_response(self.agent.get(self.caller_url(index, "/ready")).call()).status
    }

    /// Starts a thread that requests a streamed completion, and returns all text received until the stream ends.
    pub fn start_stream(&self, index: usize, key: &str, number: usize, tokens: u32) -> JoinHandle<String> {
        let agent = http_agent(Duration::from_secs(1), WAIT_TIMEOUT);
        let url = self.caller_url(index, "/v1/completions");
        let key = key.to_owned();
        std::thread::spawn(move || {
            let body = format!(
                "{{\"model\":\"pile\",\"prompt\":\"stream {number}\",\"max_tokens\":{tokens},\"stream\":true}}"
            );
            let request = agent.post(url).header("authorization", format!("Bearer {key}"));
            let mut text = String::new();
            if let Ok(mut response) = request.send(body.as_bytes()) {
                let _ = response.body_mut().as_reader().read_to_string(&mut text);
            }
            text
        })
    }

    /// Puts a fault in force at all booking services.
    pub fn set_booking_fault(&self, fault: &FaultSpec) {
        for service in &self.booking_services {
            service.fault(fault.clone());
        }
    }

    /// Number of times that the booking services have run a booking with this body.
    pub fn booking_executions(&self, body: &str) -> u64 {
        self.booking_services.iter().map(|service| service.executions(body)).sum()
    }

    /// Number of completions that an engine has started.
    pub fn engine_runs(&self, engine: usize) -> u64 {
        self.engines[engine].records().total_runs()
    }

    /// Number of requests on all engines, waiting ones included.
    pub fn open_requests(&self) -> u32 {
        self.engines.iter().map(EngineStandin::open_requests).sum()
    }

    /// Whether any target has received a request with `text` in a header value.
    pub fn any_target_received(&self, text: &str) -> bool {
        let plain = self.booking_services.iter().chain(&self.tracking_services);
        self.engines.iter().any(|engine| engine.records().has_header_text(text))
            || plain.into_iter().any(|service| service.headers().iter().any(|pair| pair.value.contains(text)))
    }

    /// Cuts the links between all hosts in both directions.
    pub fn cut_all_links(&self) {
        for host in &self.hosts {
            host.peer_relay.order(RelayCommand::Cut { direction: RelayDirection::Both });
        }
    }

    /// Cuts the connections between a host and the platform in both directions.
    pub fn cut_platform(&self, index: usize) {
        self.hosts[index].platform_relay.order(RelayCommand::Cut { direction: RelayDirection::Both });
    }

    /// Restores all links that were cut.
    pub fn restore_links(&self) {
        for host in &self.hosts {
            host.peer_relay.order(RelayCommand::Restore);
            host.platform_relay.order(RelayCommand::Restore);
        }
    }

    /// Kills a host without warning.
    pub fn kill(&self, index: usize) {
        self.hosts[index].lock_process().kill();
    }

    /// Starts a killed host again.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index].start(self.directory.path());
    }

    /// Sends a signal to a host; panics when the host does not run.
    pub fn send_signal(&self, index: usize, signal: Signal) {
        let id = self.hosts[index].lock_process().id().expect("the host runs");
        let pid = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits for a host process to exit by itself; `None` after [`WAIT_TIMEOUT`] or when a signal ended the process.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.hosts[index].lock_process().wait_for_exit(WAIT_TIMEOUT)
    }

    fn caller_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[index].record.caller_address)
    }

    fn send_get(&self, url: &str, token: &str) -> CallResponse {
        read_response(self.agent.get(url).header("authorization", format!("Bearer {token}")).call())
    }
}

impl FleetHost {
    /// Reserves the addresses of a host and starts its relays, but not its process.
    fn prepare(name: HostName, platform: &PlatformStandin) -> Self {
        let process = HostProcess::reserve(name).unwrap();
        let mut record = process.record();
        let peer_relay = start_relay(&record.peer_address);
        record.peer_address = peer_relay.address().to_string();
        let platform_relay = start_relay(&platform.server().address().to_string());
        let shared = SharedSettings {
            platform_url: platform_relay.url(),
            cluster_token: "cluster-token-of-the-tests".to_owned(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            usage_window_seconds: 300,
            usage_freeze_seconds: 30,
        };
        Self { process: Mutex::new(process), shared, record, peer_relay, platform_relay }
    }

    fn start(&self, directory: &Path) {
        self.lock_process().start(binary_path(), directory, &self.shared).unwrap();
    }

    fn lock_process(&self) -> std::sync::MutexGuard<'_, HostProcess> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn binary_path() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_camphorspring"))
}

fn start_relay(upstream: &str) -> RelayStandin {
    let options = RelayOptions { address: "127.0.0.1:0".to_owned(), upstream: upstream.parse().unwrap() };
    RelayStandin::start(options).unwrap()
}

fn format_target(service: &str, domain: &str, address: &str) -> String {
    format!(
        "- {{id: {service}-{domain}, service: {service}, failure_domain: {domain}, address: \"{address}\", bears: 8, slots: 16}}\n"
    )
}

fn read_response(response: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> CallResponse {
    match response {
        Ok(mut response) => {
            let status = response.status().as_u16();
            let body = response.body_mut().read_to_string().unwrap_or_default();
            CallResponse { status, body }
        }
        Err(error) => CallResponse { status: 0, body: error.to_string() },
    }
}
