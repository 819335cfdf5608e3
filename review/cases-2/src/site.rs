//! The installation of a script: store, engines and hosts, the configuration, and the calls of trainers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::engine::{EVENT_MS, EVENTS, Engine};
use crate::host::{Host, wait_ready};
use crate::http::{Message, call};
use crate::json::{Json, base64, object};
use crate::record::Record;
use crate::store::Store;

pub const CALLER_HOST: &str = "ficu95.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
pub const TENANT: &str = "huka270";

/// Value of `limits.max_body_bytes`, as in the site file (`body_bytes`).
pub const MAX_BODY_BYTES: usize = 33_554_432;

/// Bytes of the body of an item, as in the site file (`req_bytes`).
pub const USUAL_ITEM_BYTES: usize = 600;

/// `max_queue_s` of the batch route, as in the site file (`keep_s`).
pub const MAX_QUEUE_S: f64 = 40.0;

pub struct Site {
    pub hosts: Vec<Host>,
    pub engines: Vec<Arc<Engine>>,
    folder: PathBuf,
}

/// An item as a trainer hands it in.
pub struct Item {
    pub id: String,
    pub events: u64,
    pub event_ms: u64,
    pub body: Vec<u8>,
    pub group: String,
}

impl Site {
    /// Starts a store, `engines` model engines of 12 slots, one plain engine of 6, and one host in each of `zones`; `None` when the hosts
    /// do not start.
    pub fn start(record: &Arc<Record>, engines: usize, zones: &[&str]) -> Option<Site> {
        let folder = std::env::temp_dir().join(format!("camphorspring-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new();
        let store_address = store.serve();
        store.put("op", "config", Some(&configuration()));
        let engine_zones = ["tt-south-a", "tt-south-b", "tt-south-c"].iter().cycle();
        let engines = (0..engines).zip(engine_zones).map(|(number, zone)| {
            let (id, models) = (format!("i-7f3a91{number:02}"), ["daka510000"]);
            Engine::start(&id, "bench-llm", zone, 12, &models, &store, record)
        });
        let engines = engines.collect();
        Engine::start("i-02d9e6b4", "post-desk", "tt-south-a", 6, &[], &store, record);
        let hosts = zones.iter().enumerate().map(|(number, zone)| {
            Host::new(&format!("edge-{zone}-{}", number + 1), zone, store_address, None, &folder, record)
        });
        let mut site = Site { hosts: hosts.collect(), engines, folder };
        if !site.hosts.iter_mut().all(Host::start) || !wait_ready(&site.hosts) {
            record.line("the hosts do not start");
            return None;
        }
        // The hosts learn of each other with their next renewals.
        std::thread::sleep(Duration::from_millis(2500));
        record.line("all hosts are ready");
        Some(site)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration() -> Json {
    let route = |name: &str, kind: &str, service: &str| {
        object([
            ("name", name.into()),
            ("resumable", (kind == "streaming").into()),
            ("host", CALLER_HOST.into()),
            ("path_prefix", format!("/{name}/").into()),
            ("route_kind", kind.into()),
            ("service", service.into()),
            ("timeout_ms", 10_000.0.into()),
            ("target_latency_ms", 400.0.into()),
            ("max_attempts", 3.0.into()),
            ("run_target_ms", 7500.0.into()),
            ("max_queue_s", MAX_QUEUE_S.into()),
            ("priority", 0.0.into()),
        ])
    };
    object([
        ("version", 3.0.into()),
        (
            "route_list",
            vec![
                route("pufi791", "rollout", "bench-llm"),
                route("tesi402", "streaming", "bench-llm"),
                route("lohu930", "idempotent", "post-desk"),
            ]
            .into(),
        ),
        (
            "services",
            vec![
                object([
                    ("name", "bench-llm".into()),
                    ("engine", object([("models", vec![object([("name", "daka510000".into())])].into())])),
                ]),
                object([("name", "post-desk".into())]),
            ]
            .into(),
        ),
        (
            "limits",
            object([
                ("max_header_bytes", 16_384.0.into()),
                ("max_body_bytes", (MAX_BODY_BYTES as f64).into()),
                ("header_timeout_ms", 5000.0.into()),
                ("idle_timeout_ms", 15_000.0.into()),
            ]),
        ),
        ("tenants", vec![object([("name", TENANT.into()), ("api_keys", vec![KEY.into()].into())])].into()),
    ])
}

/// Items of a step: 8 groups of 8, as in the site file. `prefix` begins their ids.
pub fn step_items(prefix: &str, item_bytes: usize, events: u64, event_ms: u64) -> Vec<Item> {
    let item = |number| Item {
        id: format!("{prefix}{number:04}"),
        events,
        event_ms,
        body: vec![b'x'; item_bytes],
        group: format!("g100{}a", number / 8),
    };
    (0..64).map(item).collect()
}

/// Body of a batch job.
pub fn job_body(items: &[Item]) -> Vec<u8> {
    let requests = items.iter().map(|item| {
        object([
            ("id", item.id.as_str().into()),
            ("path", "/pufi791/3/91c4".into()),
            (
                "headers",
                object([
                    ("X-Model", "daka510000".into()),
                    ("X-Token-Counts", "1016,400".into()),
                    (EVENTS, item.events.to_string().into()),
                    (EVENT_MS, item.event_ms.to_string().into()),
                ]),
            ),
            ("body", base64(&item.body).into()),
            ("token_count", 1416.0.into()),
            ("group", item.group.as_str().into()),
        ])
    });
    let job = object([
        ("step", 0.0.into()),
        ("model", "daka510000".into()),
        ("min_version", 1.0.into()),
        ("target_groups", 1.0.into()),
        ("requests", requests.collect::<Vec<Json>>().into()),
    ]);
    job.to_string().into_bytes()
}

pub fn bearer() -> String {
    format!("Bearer {KEY}")
}

/// Hands a batch job in at a host; `None` when no answer comes in time.
pub fn submit(host: SocketAddr, job: &str, body: &[u8], timeout: Duration) -> Option<Message> {
    let bearer = bearer();
    let deadline = timeout.as_millis().to_string();
    let headers = [
        ("Host", CALLER_HOST),
        ("Authorization", bearer.as_str()),
        ("X-Request-Id", job),
        ("X-Deadline-Ms", deadline.as_str()),
        ("Content-Type", "application/json"),
    ];
    call(host, "POST", "/pufi791/7c41e0", &headers, Some(body), timeout)
}

/// Results of a job from a position on: the id, state and text of each; `None` without an answer.
pub fn read_results(host: SocketAddr, job: &str, after: usize) -> Option<Vec<(String, String, String)>> {
    let bearer = bearer();
    let headers = [("Host", CALLER_HOST), ("Authorization", bearer.as_str()), ("X-Wait-Ms", "500")];
    let path = format!("/lots/{job}?after={after}");
    let answer =
        call(host, "GET", &path, &headers, None, Duration::from_secs(3)).filter(|answer| answer.status() == 200)?;
    let page = Json::parse(&answer.body)?;
    let text = |result: &Json, name: &str| result.get(name).text().to_owned();
    let results = page.get("results").list().iter();
    Some(results.map(|result| (text(result, "id"), text(result, "state"), text(result, "text"))).collect())
}
