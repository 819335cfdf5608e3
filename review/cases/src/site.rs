//! Hosts of the system as separate processes, started with the command of the deploy file, and the store, the engines and
//! the platform's API around them.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, CallError, Handler, Link, Relay, Reply, call, free_address, listen, serve};
use crate::json::{Json, encode_base64};
use crate::record::Record;
use crate::store::Store;

pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
pub const TENANT: &str = "huka270";
pub const MODEL: &str = "daka510000";
pub const ENGINES: &str = "huvo11a";
pub const DESK: &str = "wuno96b";

pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    pub peer: SocketAddr,
    pub store_link: Relay,
    /// Link to the peer address of the other hosts, in their order, as this host sees them.
    pub peer_links: Mutex<Vec<Relay>>,
    renamed: Arc<Mutex<Vec<(String, String)>>>,
    child: Mutex<Option<Child>>,
}

pub struct Site {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub record: Arc<Record>,
    duty_address: SocketAddr,
    folder: PathBuf,
}

/// Processes that were started and have not been waited for yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

fn send_signal(process: u32, signal: i32) {
    if let Ok(process) = i32::try_from(process) {
        // SAFETY: the call takes two numbers, and the process is one that this program started and has not waited for.
        unsafe { kill(process, signal) };
    }
}

/// Ends all processes that were started, when a case takes too long.
pub fn end_processes() {
    PROCESSES.lock().unwrap().iter().for_each(|process| send_signal(*process, SIGKILL));
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

impl Site {
    /// Starts the store and as many hosts as asked for, and waits until they are ready. `configuration` is in the store
    /// before they start.
    pub fn start(count: usize, configuration: &Json, record: Arc<Record>, store: Store) -> Self {
        store.put("op", "config", Some(configuration));
        let api_record = Arc::clone(&record);
        let api: Handler = Arc::new(move |request, _| {
            api_record.write(&format!(
                "the platform's API got {} of {}, fence {}",
                request.path,
                request.header("x-duty-holder"),
                request.header("x-fencing-token")
            ));
            Reply::json(200, "{}")
        });
        let duty_address = serve(listen(), api);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let hosts: Vec<Host> = (1..=count)
            .map(|number| {
                let name = format!("edge-moka-{number}");
                let renamed = Arc::new(Mutex::new(Vec::new()));
                let store_link = Relay::start(store.serve(&name, Arc::clone(&renamed)));
                Host {
                    name,
                    caller: free_address(),
                    ready: free_address(),
                    metrics: free_address(),
                    peer: free_address(),
                    store_link,
                    peer_links: Mutex::default(),
                    renamed,
                    child: Mutex::new(None),
                }
            })
            .collect();
        for host in &hosts {
            for other in hosts.iter().filter(|other| other.name != host.name) {
                let link = Relay::start(other.peer);
                host.renamed.lock().unwrap().push((other.peer.to_string(), link.address.to_string()));
                host.peer_links.lock().unwrap().push(link);
            }
        }
        let site = Self { store, hosts, record, duty_address, folder };
        (0..count).for_each(|host| site.start_host(host));
        for host in 0..count {
            assert!(site.wait_ready(host, Duration::from_secs(15)), "a host did not become ready");
        }
        // Until all hosts know each other.
        std::thread::sleep(Duration::from_millis(2500));
        site
    }

    /// Starts the process of a host with the command of the deploy file. The settings are what its template gives.
    pub fn start_host(&self, host: usize) {
        let host = &self.hosts[host];
        let file = self.folder.join(format!("{}.yaml", host.name));
        let template = std::fs::read_to_string("deploy/settings.yaml").expect("the template");
        let settings = template
            .replace("{{#cloud_api.address}}", "")
            .replace("{{/cloud_api.address}}", "")
            .replace("{{node_name}}", &host.name)
            .replace("{{zone}}", "moka")
            .replace("{{listen.frontend}}", &host.caller.to_string())
            .replace("{{listen.ready}}", &host.ready.to_string())
            .replace("{{ip}}:9464", &host.metrics.to_string())
            .replace("{{ip}}:{{internal_ports.0}}", &host.peer.to_string())
            .replace("{{platform.address}}", &host.store_link.address.to_string())
            .replace("{{cloud_api.address}}", &self.duty_address.to_string())
            .replace("{{bounds.lease_ms}}", "3000")
            .replace("{{bounds.report_window_s}}", "5")
            .replace("{{limits.cpu_share}}", "0.5")
            .replace("{{limits.link_mbps}}", "1000.0")
            .replace("{{bounds.status_s}}", "120")
            .replace("{{bounds.grace_s}}", "8");
        assert!(!settings.contains("{{"), "the template has a field that this script does not know");
        std::fs::write(&file, settings).expect("the settings are written");
        let log = self.folder.join(format!("{}.log", host.name));
        let log = File::options().create(true).append(true).open(log).expect("the log opens");
        let child = Command::new("target/release/camphorspring")
            .arg("serve-platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CAMPHORSPRING_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log opens twice"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.write(&format!("{} starts", host.name));
        PROCESSES.lock().unwrap().push(child.id());
        let former = host.child.lock().unwrap().replace(child);
        former.into_iter().for_each(end_child);
    }

    pub fn wait_ready(&self, host: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self.is_ready(host) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(30));
        }
        false
    }

    pub fn is_ready(&self, host: usize) -> bool {
        let headers = [("Host", "ready".to_owned())];
        let answer = call(self.hosts[host].ready, "GET", "/readyz", &headers, b"", Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn kill(&self, host: usize) {
        if let Some(child) = self.hosts[host].child.lock().unwrap().take() {
            end_child(child);
            self.record.write(&format!("{} is killed", self.hosts[host].name));
        }
    }

    /// Asks the process of a host to stop as planned.
    pub fn terminate(&self, host: usize) {
        if let Some(child) = self.hosts[host].child.lock().unwrap().as_ref() {
            send_signal(child.id(), SIGTERM);
            self.record.write(&format!("{} gets SIGTERM", self.hosts[host].name));
        }
    }

    pub fn has_ended(&self, host: usize) -> bool {
        let mut child = self.hosts[host].child.lock().unwrap();
        child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn host_named(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == name)
    }

    /// Sets the links of a host to the store and to the other hosts.
    pub fn set_links(&self, host: usize, link: Link) {
        self.hosts[host].store_link.set(link);
        self.hosts[host].peer_links.lock().unwrap().iter().for_each(|peer_link| peer_link.set(link));
        self.record.write(&format!("links of {} to the store and the other hosts: {link:?}", self.hosts[host].name));
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, configuration: &Json, what: &str) {
        self.store.put("op", "config", Some(configuration));
        self.record.write(&format!("the store acknowledges configuration {}: {what}", configuration.get("version")));
    }

    /// A call of a client to a host, with the key of the tenant.
    pub fn call(
        &self,
        host: usize,
        method: &str,
        target: &str,
        more: &[(&str, String)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let mut headers = vec![("Authorization", format!("Bearer {KEY}"))];
        headers.extend(more.iter().map(|(name, value)| (*name, value.clone())));
        let answer = call(self.hosts[host].caller, method, target, &headers, body, timeout);
        let end = match &answer {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body[..answer.body.len().min(300)]).into_owned();
                format!("{} {text}", answer.status)
            }
            Err(error) => format!("{error:?}"),
        };
        self.record.write(&format!("{method} {target} at {}: {end}", self.hosts[host].name));
        answer
    }

    /// Owner that the stored header of a batch job names.
    pub fn job_owner(&self, job: &str) -> Option<usize> {
        let row = self.store.rows("jobs").into_iter().find(|row| row.key == job)?;
        let header = Json::parse(&row.value?)?;
        self.host_named(header.get("owner").as_text())
    }
}

fn end_child(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    PROCESSES.lock().unwrap().retain(|known| *known != child.id());
}

/// Route of a configuration, with the fields of the users' pages.
pub fn rollout_route(name: &str, host: &str, prefix: &str, is_open: bool) -> Json {
    Json::map(vec![
        ("name", Json::text(name)),
        ("host", Json::text(host)),
        ("path_prefix", Json::text(prefix)),
        ("route_kind", Json::text("rollout")),
        ("timeout_ms", Json::number(10_000)),
        ("target_latency_ms", Json::number(400)),
        ("priority", Json::number(0)),
        ("service", Json::text(ENGINES)),
        ("max_attempts", Json::number(3)),
        ("max_queue_s", Json::number(40)),
        ("run_target_ms", Json::number(7500)),
        ("single_version", Json::Bool(false)),
        ("public", Json::Bool(is_open)),
        ("sticky", Json::Bool(true)),
        ("resumable", Json::Bool(true)),
    ])
}

pub fn plain_route(name: &str, host: &str, prefix: &str, kind: &str, timeout_ms: u64) -> Json {
    Json::map(vec![
        ("name", Json::text(name)),
        ("host", Json::text(host)),
        ("path_prefix", Json::text(prefix)),
        ("route_kind", Json::text(kind)),
        ("timeout_ms", Json::number(timeout_ms)),
        ("target_latency_ms", Json::number(150)),
        ("priority", Json::number(2)),
        ("service", Json::text(DESK)),
        ("max_attempts", Json::number(2)),
        ("public", Json::Bool(false)),
    ])
}

pub fn configuration(version: u64, routes: Vec<Json>) -> Json {
    let service = |name: &str, engine: Json| {
        let mut entries = vec![
            ("name", Json::text(name)),
            ("health_path", Json::text("/healthz")),
            ("max_conns", Json::number(150)),
            ("protocol", Json::text("h1")),
            ("tls", Json::Bool(false)),
            ("cold_start_s", Json::number(0)),
            ("cold_per_s", Json::number(0)),
        ];
        if engine != Json::Null {
            entries.push(("engine", engine));
        }
        Json::map(entries)
    };
    let models = Json::List(vec![Json::map(vec![("name", Json::text(MODEL))])]);
    let engine = Json::map(vec![
        ("slots", Json::number(12)),
        ("kv_capacity", Json::number(90_093)),
        ("models", models),
    ]);
    Json::map(vec![
        ("version", Json::number(version)),
        ("route_list", Json::List(routes)),
        ("services", Json::List(vec![service(ENGINES, engine), service(DESK, Json::Null)])),
        (
            "limits",
            Json::map(vec![
                ("max_header_bytes", Json::number(16_384)),
                ("max_body_bytes", Json::number(33_554_432)),
                ("header_timeout_ms", Json::number(3000)),
                ("idle_timeout_ms", Json::number(15_000)),
            ]),
        ),
        (
            "tenants",
            Json::List(vec![Json::map(vec![
                ("name", Json::text(TENANT)),
                ("api_keys", Json::List(vec![Json::text(KEY)])),
                ("priority", Json::number(1)),
            ])]),
        ),
    ])
}

/// Body that submits a batch job with these items.
pub fn job_body(prefix: &str, items: &[String]) -> Vec<u8> {
    let requests = items.iter().enumerate().map(|(position, item)| {
        Json::map(vec![
            ("id", Json::text(item)),
            ("path", Json::Text(format!("{prefix}{position}"))),
            (
                "headers",
                Json::map(vec![
                    ("X-Model", Json::text(MODEL)),
                    ("X-Token-Counts", Json::text("540,400")),
                    ("X-Prompt-Prefix", Json::Text(format!("9c2e41:300,{position:x}d07b8:240"))),
                ]),
            ),
            ("body", Json::Text(encode_base64(format!("body of {item}").as_bytes()))),
            ("token_count", Json::number(940)),
            ("group", Json::Text(format!("g{}", position / 4))),
        ])
    });
    let body = Json::map(vec![
        ("step", Json::number(0)),
        ("model", Json::text(MODEL)),
        ("min_version", Json::number(1)),
        ("target_groups", Json::number(items.len().div_ceil(4) as u64)),
        ("requests", Json::List(requests.collect())),
    ]);
    body.to_string().into_bytes()
}
