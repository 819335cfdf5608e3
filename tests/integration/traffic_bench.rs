//! In-process parts for tests of the gateway and of traffic: targets with scripted faults, and a gateway over them.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use camphorspring::clock::boot_time;
use camphorspring::control::ControlView;
use camphorspring::control::configuration::{Configuration, KeyRecord};
use camphorspring::dispatch::{Permit, PermitAcquirer, PermitCompletion, PermitRequirements};
use camphorspring::gateway::{GatewayDependencies, caller_handler};
use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use camphorspring::generated::services_text::ServicesText;
use camphorspring::http_server::{HttpReply, HttpRequest, HttpServer, ReplyBody, RequestHandler, ServerLimits};
use camphorspring::report::burn_recorder::BurnRecorder;
use camphorspring::result_code::ResultCode;
use camphorspring::store_client::StoreClient;
use camphorspring::traffic::claim_store::ClaimStore;
use camphorspring::traffic::crash_quarantine::CrashQuarantine;
use camphorspring::traffic::engine_runner::RunnerDependencies;
use camphorspring::traffic::retry_policy::RetryPolicy;
use camphorspring::usage::UsageEvent;
use sha2::{Digest, Sha256};
use tokio::runtime::Runtime;

/// Key of organisation `north`.
pub const NORTH_KEY: &str = "cs_north1_secret-of-north";
/// Second key of organisation `north`.
pub const NORTH_KEY_2: &str = "cs_north2_other-secret";
/// Key of organisation `south`.
pub const SOUTH_KEY: &str = "cs_south1_secret-of-south";

/// What a target does with one request.
#[derive(Debug, Clone)]
pub enum TargetFault {
    /// Answers well.
    None,
    /// Closes the connection after this many pieces, or before an answer when 0.
    DieAfter(u32),
    /// Refuses with this status.
    Status(u16),
    /// Leaves the stamp off the piece with this index.
    Unstamped(u32),
    /// Sends each piece twice.
    Repeat,
    /// Sends pieces of another request from this index on.
    Crossed(u32),
    /// Skips the piece with this index.
    Gap(u32),
    /// Waits this long before each piece.
    Slow(Duration),
}

/// A target: records what it got, and plays one fault for each request, then none.
pub struct ScriptedTarget {
    pub address: String,
    pub requests: Arc<Mutex<Vec<HttpRequest>>>,
    pub faults: Arc<Mutex<VecDeque<TargetFault>>>,
    _server: HttpServer,
}

/// Text of the token with this index.
pub fn token_text(index: u32) -> String {
    format!("t{index} ")
}

/// Text of a whole completion.
pub fn whole_text(tokens: u32) -> String {
    (0..tokens).map(token_text).collect()
}

impl ScriptedTarget {
    /// Starts an engine that stamps `version`.
    pub fn engine(runtime: &Runtime, version: u64) -> Self {
        Self::start(runtime, move |request, fault| engine_reply(request, fault, version))
    }

    /// Starts a plain service that answers with its name and the body it got.
    pub fn plain(runtime: &Runtime, name: &'static str) -> Self {
        Self::start(runtime, move |request, fault| plain_reply(request, &fault, name))
    }

    fn start(
        runtime: &Runtime,
        answer: impl Fn(&HttpRequest, TargetFault) -> HttpReply + Send + Sync + 'static,
    ) -> Self {
        let requests: Arc<Mutex<Vec<HttpRequest>>> = Arc::default();
        let faults: Arc<Mutex<VecDeque<TargetFault>>> = Arc::default();
        let (seen, script) = (Arc::clone(&requests), Arc::clone(&faults));
        let handler: RequestHandler = Arc::new(move |request| {
            let is_run = !is_side_call(&request.path);
            let fault = if is_run { script.lock().unwrap().pop_front() } else { None };
            let reply = answer(&request, fault.unwrap_or(TargetFault::None));
            seen.lock().unwrap().push(request);
            reply
        });
        let server = HttpServer::start(runtime, "127.0.0.1:0", ServerLimits::default(), handler).unwrap();
        Self { address: server.address().to_string(), requests, faults, _server: server }
    }

    /// Faults of the next requests.
    pub fn script(&self, faults: impl IntoIterator<Item = TargetFault>) {
        self.faults.lock().unwrap().extend(faults);
    }

    /// Requests that were run, without cancel and KV calls.
    pub fn runs(&self) -> usize {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|request| !is_side_call(&request.path)).count()
    }
}

fn is_side_call(path: &str) -> bool {
    path.starts_with("/v1/kv/") || path.ends_with("/cancel")
}

/// A reply whose body breaks off at once, so that the connection closes without an answer that can be used.
fn aborted_reply() -> HttpReply {
    let (_, body) = ReplyBody::streamed();
    HttpReply::stream(200, "text/plain", body)
}

fn plain_reply(request: &HttpRequest, fault: &TargetFault, name: &str) -> HttpReply {
    match fault {
        TargetFault::DieAfter(_) => return aborted_reply(),
        TargetFault::Status(status) => return HttpReply::whole(*status, "text/plain", b"failed".to_vec()),
        TargetFault::Slow(delay) => std::thread::sleep(*delay),
        _ => {}
    }
    let mut text = format!("{name} {} {}?{} ", request.method, request.path, request.query).into_bytes();
    text.extend_from_slice(&request.body);
    HttpReply::whole(200, "text/plain", text).with_header("set-cookie", "a=b")
}

fn engine_reply(request: &HttpRequest, fault: TargetFault, version: u64) -> HttpReply {
    if let Some(id) = request.path.strip_prefix("/v1/kv/export/") {
        return HttpReply::json(200, &serde_json::json!({ "kv_handle": id, "tokens": 1 }));
    }
    if request.path == "/v1/kv/import" {
        return HttpReply::whole(200, "application/json", request.body.clone());
    }
    if request.path != "/v1/completions" {
        return HttpReply::json(404, &"none");
    }
    if let TargetFault::Status(status) = fault {
        return HttpReply::json(status, &"failed");
    }
    let Ok(request) = serde_json::from_slice::<EngineRequest>(&request.body) else {
        return HttpReply::json(400, &"malformed");
    };
    let (sender, body) = ReplyBody::streamed();
    std::thread::spawn(move || {
        for index in request.resume_tokens..request.max_tokens {
            if matches!(fault, TargetFault::DieAfter(pieces) if index - request.resume_tokens >= pieces) {
                return;
            }
            if let TargetFault::Slow(delay) = fault {
                std::thread::sleep(delay);
            }
            if matches!(fault, TargetFault::Gap(gap) if gap == index) {
                continue;
            }
            let event = piece_event(&request, index, &fault, version);
            let copies = if matches!(fault, TargetFault::Repeat) { 2 } else { 1 };
            for _ in 0..copies {
                if sender.send(event.clone()).is_err() {
                    return;
                }
            }
        }
        if !matches!(fault, TargetFault::DieAfter(_)) {
            let _ = sender.send(b"data: [DONE]\n\n".to_vec());
        }
        let _ = sender.finish();
    });
    HttpReply::stream(200, "text/event-stream", body)
}

fn piece_event(request: &EngineRequest, index: u32, fault: &TargetFault, version: u64) -> Vec<u8> {
    let is_crossed = matches!(fault, TargetFault::Crossed(from) if index >= *from);
    let is_unstamped = matches!(fault, TargetFault::Unstamped(unstamped) if *unstamped == index);
    let piece = EnginePiece {
        request_id: if is_crossed { "another".to_owned() } else { request.request_id.clone() },
        index,
        text: token_text(index),
        tokens: 1,
        weight_version: (!is_unstamped).then_some(version),
        finish_reason: (index + 1 == request.max_tokens).then(|| "length".to_owned()),
    };
    format!("data: {}\n\n", serde_json::to_string(&piece).unwrap()).into_bytes()
}

/// A gateway on a port of its own, over a view that tests can change.
pub struct GatewayBench {
    _runtime: Runtime,
    pub address: String,
    pub view: Arc<ArcSwap<ControlView>>,
    pub usage: Arc<Mutex<Vec<UsageEvent>>>,
    pub reports: Arc<Mutex<Vec<PermitCompletion>>>,
    pub objectives: Arc<BurnRecorder>,
    pub registry: prometheus::Registry,
    /// Answer of the permit source instead of a permit.
    pub permit_refusal: Arc<Mutex<Option<ResultCode>>>,
    _server: HttpServer,
}

/// Services, routes and organisations of all gateway tests, without targets.
pub const SERVICES: &str = r#"{
  "services": [
    {"name": "scoring", "kind": "engine", "model": "pile", "objective": {"latency_ms": 60000, "good_share": 0.99}},
    {"name": "drafting", "kind": "engine", "model": "draft", "depends_on": ["grading"]},
    {"name": "grading", "kind": "plain"},
    {"name": "desk", "kind": "plain"}
  ],
  "routes": [
    {"path": "/desk", "service": "desk"},
    {"path": "/desk/bookings", "service": "desk", "repeatable": false, "timeout_ms": 2000},
    {"path": "/track", "service": "desk", "open": true}
  ],
  "organisations": [{"name": "north"}, {"name": "south"}],
  "targets": []
}"#;

/// A target of a service at an address.
pub struct PlacedTarget<'a> {
    pub service: &'a str,
    pub id: &'a str,
    pub address: &'a str,
}

fn configuration(targets: &[PlacedTarget<'_>]) -> Configuration {
    let text: ServicesText = serde_json::from_str(SERVICES).unwrap();
    let mut configuration = Configuration { version: 1, services: text.services, ..Configuration::default() };
    configuration.routes = text.routes;
    configuration.organisations = text.organisations;
    configuration.services.sort_by(|a, b| a.name.cmp(&b.name));
    for target in targets {
        let entry = serde_json::json!({
            "id": target.id, "service": target.service, "failure_domain": "east", "address": target.address
        });
        configuration.targets.push(serde_json::from_value(entry).unwrap());
    }
    configuration.targets.sort_by(|a, b| a.id.cmp(&b.id));
    for (key, organisation) in [(NORTH_KEY, "north"), (NORTH_KEY_2, "north"), (SOUTH_KEY, "south")] {
        let (key_id, secret) = key.strip_prefix("cs_").unwrap().split_once('_').unwrap();
        let digest = Sha256::digest(secret.as_bytes());
        let mut secret_sha256 = String::new();
        for byte in digest {
            write!(secret_sha256, "{byte:02x}").unwrap();
        }
        configuration.keys.push(KeyRecord {
            key_id: key_id.to_owned(),
            organisation: organisation.to_owned(),
            secret_sha256,
        });
    }
    configuration
}

/// Targets of the service in the view, least id first, without those excluded.
fn first_target_source(
    view: Arc<ArcSwap<ControlView>>,
    reports: Arc<Mutex<Vec<PermitCompletion>>>,
    refusal: Arc<Mutex<Option<ResultCode>>>,
) -> PermitAcquirer {
    Arc::new(move |ask: &PermitRequirements| {
        if let Some(code) = *refusal.lock().unwrap() {
            return Err(code);
        }
        let view = view.load_full();
        let configuration = &view.configuration;
        let mut targets = configuration.targets.iter();
        let target = targets.find(|target| {
            target.service == ask.service
                && configuration.is_in_rotation(target)
                && !ask.excluded_targets.contains(&target.id)
        });
        let target = target.ok_or(ResultCode::NoTarget)?.clone();
        let reports = Arc::clone(&reports);
        Ok(Permit::new(target, Box::new(move |report| reports.lock().unwrap().push(report))))
    })
}

impl GatewayBench {
    /// Gateway over these targets, with a platform at `platform_url`.
    pub fn start(targets: &[PlacedTarget<'_>], platform_url: &str) -> Self {
        Self::start_with(targets, platform_url, &|_| {})
    }

    /// The same with a changed retry policy.
    pub fn start_with(targets: &[PlacedTarget<'_>], platform_url: &str, change: &dyn Fn(&mut RetryPolicy)) -> Self {
        let mut retries = RetryPolicy::unlimited(Arc::new(|| 0.5));
        change(&mut retries);
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let mut view = ControlView::empty("host-1", "east", 7);
        view.configuration = Arc::new(configuration(targets));
        view.is_initialised = true;
        view.store_read_at = Some(boot_time() + Duration::from_hours(1));
        let view = Arc::new(ArcSwap::from_pointee(view));
        let usage: Arc<Mutex<Vec<UsageEvent>>> = Arc::default();
        let reports: Arc<Mutex<Vec<PermitCompletion>>> = Arc::default();
        let permit_refusal: Arc<Mutex<Option<ResultCode>>> = Arc::default();
        let crash_view = Arc::clone(&view);
        let crashes =
            CrashQuarantine::new(Arc::new(move || crash_view.load_full()), Arc::new(boot_time), Arc::new(|_, _| true));
        let (view_source, usage_sink) = (Arc::clone(&view), Arc::clone(&usage));
        let engine = RunnerDependencies {
            permits: first_target_source(Arc::clone(&view), Arc::clone(&reports), Arc::clone(&permit_refusal)),
            view: Arc::new(move || view_source.load_full()),
            usage: Arc::new(move |event| usage_sink.lock().unwrap().push(event)),
            retries,
            clock: Arc::new(boot_time),
            crashes,
        };
        let claims =
            ClaimStore::start(StoreClient::new(platform_url), Arc::clone(&engine.view), Arc::clone(&engine.clock));
        let registry = prometheus::Registry::new();
        let objectives = Arc::new(BurnRecorder::new("host-1", "north", Duration::ZERO));
        let parts = GatewayDependencies {
            engine,
            claims,
            submit_step: Arc::new(|_, _| Err(ResultCode::NotFound)),
            next_batch: Arc::new(|organisation, trainer, step, cursor, _| {
                Ok(format!("{organisation} {trainer} {step} {cursor}").into_bytes())
            }),
            release_weights: Arc::new(|_, _, _| Ok(())),
            registry: registry.clone(),
            objectives: Arc::clone(&objectives),
            refusals: Arc::default(),
        };
        let handler = caller_handler(parts);
        let server = HttpServer::start(&runtime, "127.0.0.1:0", ServerLimits::default(), handler).unwrap();
        let address = server.address().to_string();
        Self { _runtime: runtime, address, view, usage, reports, objectives, registry, permit_refusal, _server: server }
    }

    /// Replaces the view by a changed copy.
    pub fn change_view(&self, change: impl FnOnce(&mut ControlView)) {
        let mut view = ControlView::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }

    /// Sends a request and gives status and body.
    pub fn send(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> (u16, String) {
        send_request(&self.address, method, path, headers, body)
    }

    /// Sends a completion for organisation `north`.
    pub fn complete(&self, body: &str) -> (u16, String) {
        let authorization = format!("Bearer {NORTH_KEY}");
        self.send("POST", "/v1/completions", &[("authorization", &authorization)], body.as_bytes())
    }
}

/// Sends a request and gives status and body; the body ends early when the answer was aborted.
pub fn send_request(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> (u16, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .timeout_global(Some(Duration::from_mins(1)))
        .build()
        .into();
    let mut request = ureq::http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = if body.is_empty() {
        agent.run(request.body(()).unwrap()).unwrap()
    } else {
        agent.run(request.body(body).unwrap()).unwrap()
    };
    let status = response.status().as_u16();
    let mut text = Vec::new();
    let _ = std::io::Read::read_to_end(&mut response.body_mut().as_reader(), &mut text);
    (status, String::from_utf8_lossy(&text).into_owned())
}

/// Waits until a condition holds; fails after a generous limit.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = boot_time() + Duration::from_secs(30);
    while !condition() {
        assert!(boot_time() < end, "still waiting: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
