//! Host processes with relays in front of their peer and platform connections, and the stand-ins around them.

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

/// Generous limit for conditions that hold within seconds on an idle machine.
const WAIT_LIMIT: Duration = Duration::from_secs(90);

/// Failure domains with targets.
const DOMAINS: [&str; 2] = ["north", "south"];

const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// Waits for a condition, and fails the test when it does not come true.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "waited too long until {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Status and body of an answer; status 0 when there was none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAnswer {
    pub status: u16,
    pub body: String,
}

impl CallAnswer {
    /// Result code of a refusal.
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

/// Hosts and stand-ins of one test; the processes are killed when it is dropped.
pub struct HostFleet {
    hosts: Vec<FleetHost>,
    pub platform: PlatformStandin,
    pub engines: Vec<EngineStandin>,
    desks: Vec<PlainStandin>,
    trackers: Vec<PlainStandin>,
    directory: TempDir,
    agent: Agent,
}

impl HostFleet {
    /// Starts the hosts and puts a services text with one engine in each failure domain in force.
    pub fn start(names: &[HostName]) -> Self {
        let platform = PlatformStandin::start(PlatformOptions::default()).unwrap();
        let engine = EngineOptions { token_time: Duration::from_millis(10), ..EngineOptions::default() };
        let engines = (0..2).map(|_| EngineStandin::start(engine.clone()).unwrap()).collect();
        let fleet = Self {
            hosts: names.iter().map(|name| FleetHost::prepare(*name, &platform)).collect(),
            platform,
            engines,
            desks: DOMAINS.iter().map(|_| PlainStandin::start(PlainOptions::default()).unwrap()).collect(),
            trackers: DOMAINS.iter().map(|_| PlainStandin::start(PlainOptions::default()).unwrap()).collect(),
            directory: tempfile::tempdir().unwrap(),
            agent: http_agent(Duration::from_secs(1), Duration::from_secs(20)),
        };
        fleet.platform.set_hosts(fleet.hosts.iter().map(|host| host.record.clone()).collect());
        for host in &fleet.hosts {
            host.start(fleet.directory.path());
        }
        fleet.apply_text();
        fleet
    }

    fn apply_text(&self) {
        let file = self.directory.path().join("services.yaml");
        std::fs::write(&file, self.services_text()).unwrap();
        let file = file.to_string_lossy().into_owned();
        wait_for("the services text is in force", || self.command(0, &["apply", &file]).status.success());
        wait_for("all hosts are ready", || {
            self.indices()
                .all(|index| self.status(index).is_some_and(|status| status.ready && status.configuration_version > 0))
        });
    }

    fn services_text(&self) -> String {
        let engines = self.engines.iter().zip(DOMAINS);
        let engines = engines.map(|(engine, domain)| target("scoring", domain, &engine.server().address().to_string()));
        let desks = self.desks.iter().zip(DOMAINS);
        let desks = desks.map(|(desk, domain)| target("desk", domain, &desk.server().address().to_string()));
        let trackers = self.trackers.iter().zip(DOMAINS);
        let trackers = trackers.map(|(page, domain)| target("tracking", domain, &page.server().address().to_string()));
        let targets: Vec<String> = engines.chain(desks).chain(trackers).collect();
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

    /// Positions of all hosts.
    pub fn indices(&self) -> std::ops::Range<usize> {
        0..self.hosts.len()
    }

    /// Runs an operator command at a host.
    pub fn command(&self, index: usize, arguments: &[&str]) -> Output {
        let url = format!("http://{}", self.hosts[index].record.operator_address);
        run_command(binary(), &url, OPERATOR_TOKEN, arguments).unwrap()
    }

    /// Grants a key; gives its id and the key.
    pub fn grant(&self, organisation: &str) -> (String, String) {
        let output = self.command(0, &["keys", "grant", organisation, "--json"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let answer: GrantAnswer = serde_json::from_slice(&output.stdout).unwrap();
        (answer.key_id, answer.key)
    }

    /// Status of a host, when it answers.
    pub fn status(&self, index: usize) -> Option<StatusAnswer> {
        let url = format!("http://{}/operator/status", self.hosts[index].record.operator_address);
        let answer = self.get(&url, OPERATOR_TOKEN);
        serde_json::from_str(&answer.body).ok()
    }

    /// Configuration version of a host.
    pub fn version(&self, index: usize) -> u64 {
        self.status(index).map_or(0, |status| status.configuration_version)
    }

    /// State of a host as another one sees it.
    pub fn state_seen(&self, index: usize, name: &str) -> String {
        let hosts = self.status(index).map(|status| status.hosts).unwrap_or_default();
        hosts.into_iter().find(|host| host.host == name).map(|host| host.state).unwrap_or_default()
    }

    /// Engine targets that a host sees as out.
    pub fn out_targets(&self, index: usize) -> usize {
        let targets = self.status(index).map(|status| status.targets).unwrap_or_default();
        targets.iter().filter(|target| target.out && target.service == "scoring").count()
    }

    /// Age of the newest store read that a host knows of.
    pub fn store_silence(&self, index: usize) -> Duration {
        let metrics = self.get(&format!("http://{}/metrics", self.hosts[index].record.operator_address), "").body;
        let line = metrics.lines().find(|line| line.starts_with("camphorspring_store_read_age_seconds"));
        let age = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        Duration::from_secs_f64(age.unwrap_or(0.0))
    }

    /// A completion with a prompt of its own.
    pub fn complete(&self, index: usize, key: &str) -> CallAnswer {
        self.complete_with(index, key, "how ready is pile 7?")
    }

    /// A completion of a prompt.
    pub fn complete_with(&self, index: usize, key: &str, prompt: &str) -> CallAnswer {
        let body = format!("{{\"model\":\"pile\",\"prompt\":\"{prompt}\",\"max_tokens\":2}}");
        let request = self.agent.post(self.caller_url(index, "/v1/completions"));
        read_answer(request.header("authorization", format!("Bearer {key}")).send(body.as_bytes()))
    }

    /// Whether a completion works on all hosts.
    pub fn all_complete(&self, key: &str) -> bool {
        self.indices().all(|index| self.complete(index, key).status == 200)
    }

    /// A booking.
    pub fn book(&self, index: usize, key: &str, idempotency_key: &str, body: &str) -> CallAnswer {
        let request = self.agent.post(self.caller_url(index, "/desk/bookings"));
        let request = request.header("authorization", format!("Bearer {key}"));
        read_answer(request.header("idempotency-key", idempotency_key).content_type("application/json").send(body))
    }

    /// The tracking page, without a key.
    pub fn track(&self, index: usize) -> CallAnswer {
        read_answer(self.agent.get(self.caller_url(index, "/track/parcels/4711")).call())
    }

    /// Status of the readiness route; 0 without an answer.
    pub fn ready(&self, index: usize) -> u16 {
        read_answer(self.agent.get(self.caller_url(index, "/ready")).call()).status
    }

    /// A streamed completion on a thread, which gives all that was received.
    pub fn open_stream(&self, index: usize, key: &str, number: usize, tokens: u32) -> JoinHandle<String> {
        let agent = http_agent(Duration::from_secs(1), WAIT_LIMIT);
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

    /// Orders a fault at all desks.
    pub fn fault_desks(&self, order: &FaultSpec) {
        for desk in &self.desks {
            desk.fault(order.clone());
        }
    }

    /// Executions of a booking.
    pub fn executions(&self, body: &str) -> u64 {
        self.desks.iter().map(|desk| desk.executions(body)).sum()
    }

    /// Completions that an engine was asked for.
    pub fn engine_runs(&self, engine: usize) -> u64 {
        self.engines[engine].records().total_runs()
    }

    /// Requests running on all engines.
    pub fn running_requests(&self) -> u32 {
        self.engines.iter().map(EngineStandin::open_requests).sum()
    }

    /// Whether a header of any request to a target contained `text`.
    pub fn targets_saw(&self, text: &str) -> bool {
        let plain = self.desks.iter().chain(&self.trackers);
        self.engines.iter().any(|engine| engine.records().has_header_text(text))
            || plain.into_iter().any(|service| service.headers().iter().any(|pair| pair.value.contains(text)))
    }

    /// Cuts all links between hosts, both ways.
    pub fn cut_all_links(&self) {
        for host in &self.hosts {
            host.peer_relay.order(RelayCommand::Cut { direction: RelayDirection::Both });
        }
    }

    /// Cuts a host off from the platform.
    pub fn cut_platform(&self, index: usize) {
        self.hosts[index].platform_relay.order(RelayCommand::Cut { direction: RelayDirection::Both });
    }

    /// Ends all cuts.
    pub fn restore_all(&self) {
        for host in &self.hosts {
            host.peer_relay.order(RelayCommand::Restore);
            host.platform_relay.order(RelayCommand::Restore);
        }
    }

    /// Kills a host without warning.
    pub fn kill(&self, index: usize) {
        self.hosts[index].process().kill();
    }

    /// Starts a killed host again.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index].start(self.directory.path());
    }

    /// Sends a signal to a host.
    pub fn signal(&self, index: usize, signal: Signal) {
        let id = self.hosts[index].process().id().expect("the host runs");
        let pid = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits for the end of a process; gives its exit status.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.hosts[index].process().wait_for_exit(WAIT_LIMIT)
    }

    fn caller_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[index].record.caller_address)
    }

    fn get(&self, url: &str, token: &str) -> CallAnswer {
        read_answer(self.agent.get(url).header("authorization", format!("Bearer {token}")).call())
    }
}

impl FleetHost {
    fn prepare(name: HostName, platform: &PlatformStandin) -> Self {
        let process = HostProcess::reserve(name).unwrap();
        let mut record = process.record();
        let peer_relay = relay(&record.peer_address);
        record.peer_address = peer_relay.address().to_string();
        let platform_relay = relay(&platform.server().address().to_string());
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
        self.process().start(binary(), directory, &self.shared).unwrap();
    }

    fn process(&self) -> std::sync::MutexGuard<'_, HostProcess> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_camphorspring"))
}

fn relay(upstream: &str) -> RelayStandin {
    let options = RelayOptions { address: "127.0.0.1:0".to_owned(), upstream: upstream.parse().unwrap() };
    RelayStandin::start(options).unwrap()
}

fn target(service: &str, domain: &str, address: &str) -> String {
    format!(
        "- {{id: {service}-{domain}, service: {service}, failure_domain: {domain}, address: \"{address}\", bears: 8, slots: 16}}\n"
    )
}

fn read_answer(response: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> CallAnswer {
    match response {
        Ok(mut response) => {
            let status = response.status().as_u16();
            let body = response.body_mut().read_to_string().unwrap_or_default();
            CallAnswer { status, body }
        }
        Err(error) => CallAnswer { status: 0, body: error.to_string() },
    }
}
