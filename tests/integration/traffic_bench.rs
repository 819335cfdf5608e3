//! Test bench of the gateway and traffic tests: targets with scripted faults, and a gateway that sends requests to
//! them. All run in the test process; permits come from a simple replacement of the dispatch module.

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
use camphorspring::http_server::{HttpRequest, HttpResponse, HttpServer, ReplyBody, RequestHandler, ServerLimits};
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

/// What a scripted target does with one run. Plain targets know only `None`, `DieAfter`, `Status` and `Slow`, and
/// respond without a fault to the others.
#[derive(Debug, Clone)]
pub enum TargetFault {
    /// Responds without a fault.
    None,
    /// Aborts the response and closes the connection after this many pieces; a plain target does so before any body.
    DieAfter(u32),
    /// Responds with this HTTP status.
    Status(u16),
    /// Sends the piece with this index without a weight version.
    Unstamped(u32),
    /// Sends each piece twice.
    Repeat,
    /// Sends the pieces from this index on with the id of another request.
    Crossed(u32),
    /// Does not send the piece with this index.
    Gap(u32),
    /// Waits this long before each piece, or before the response of a plain target.
    Slow(Duration),
}

/// HTTP target that records all requests and applies the next scripted fault to each run.
pub struct ScriptedTarget {
    /// Host and port of the target.
    pub address: String,
    /// All requests so far, cancel, export and import calls included; a request is added after its response is built.
    pub requests: Arc<Mutex<Vec<HttpRequest>>>,
    /// Faults of the next runs, in order; empty means no fault.
    pub faults: Arc<Mutex<VecDeque<TargetFault>>>,
    _server: HttpServer,
}

/// Text of the token with this index.
pub fn token_text(index: u32) -> String {
    format!("t{index} ")
}

/// Text of a completion of this many tokens.
pub fn whole_text(tokens: u32) -> String {
    (0..tokens).map(token_text).collect()
}

impl ScriptedTarget {
    /// Starts an engine that sends pieces with weight version `version`.
    pub fn engine(runtime: &Runtime, version: u64) -> Self {
        Self::start(runtime, move |request, fault| build_engine_reply(request, fault, version))
    }

    /// Starts a target of a plain service that responds with `name` and the method, path, query and body of the
    /// request.
    pub fn plain(runtime: &Runtime, name: &'static str) -> Self {
        Self::start(runtime, move |request, fault| build_plain_reply(request, &fault, name))
    }

    fn start(
        runtime: &Runtime,
        build_reply: impl Fn(&HttpRequest, TargetFault) -> HttpResponse + Send + Sync + 'static,
    ) -> Self {
        let requests: Arc<Mutex<Vec<HttpRequest>>> = Arc::default();
        let faults: Arc<Mutex<VecDeque<TargetFault>>> = Arc::default();
        let (recorded_requests, next_faults) = (Arc::clone(&requests), Arc::clone(&faults));
        let handler: RequestHandler = Arc::new(move |request| {
            let is_run = !is_auxiliary_call(&request.path);
            let fault = if is_run { next_faults.lock().unwrap().pop_front() } else { None };
            let reply = build_reply(&request, fault.unwrap_or(TargetFault::None));
            recorded_requests.lock().unwrap().push(request);
            reply
        });
        let server = HttpServer::start(runtime, "127.0.0.1:0", ServerLimits::default(), handler).unwrap();
        Self { address: server.address().to_string(), requests, faults, _server: server }
    }

    /// Appends faults for the next runs.
    pub fn script(&self, faults: impl IntoIterator<Item = TargetFault>) {
        self.faults.lock().unwrap().extend(faults);
    }

    /// Number of requests so far without cancel, export and import calls.
    pub fn runs(&self) -> usize {
        let requests = self.requests.lock().unwrap();
        requests.iter().filter(|request| !is_auxiliary_call(&request.path)).count()
    }
}

fn is_auxiliary_call(path: &str) -> bool {
    path.starts_with("/v1/kv/") || path.ends_with("/cancel")
}

/// Builds a reply whose body is aborted at once, so that the connection closes without a complete response.
fn build_aborted_reply() -> HttpResponse {
    let (_, body) = ReplyBody::streamed();
    HttpResponse::stream(200, "text/plain", body)
}

fn build_plain_reply(request: &HttpRequest, fault: &TargetFault, name: &str) -> HttpResponse {
    match fault {
        TargetFault::DieAfter(_) => return build_aborted_reply(),
        TargetFault::Status(status) => return HttpResponse::whole(*status, "text/plain", b"failed".to_vec()),
        TargetFault::Slow(delay) => std::thread::sleep(*delay),
        _ => {}
    }
    let mut text = format!("{name} {} {}?{} ", request.method, request.path, request.query).into_bytes();
    text.extend_from_slice(&request.body);
    HttpResponse::whole(200, "text/plain", text).with_header("set-cookie", "a=b")
}

fn build_engine_reply(request: &HttpRequest, fault: TargetFault, version: u64) -> HttpResponse {
    if let Some(id) = request.path.strip_prefix("/v1/kv/export/") {
        return HttpResponse::json(200, &serde_json::json!({ "kv_handle": id, "tokens": 1 }));
    }
    if request.path == "/v1/kv/import" {
        return HttpResponse::whole(200, "application/json", request.body.clone());
    }
    if request.path != "/v1/completions" {
        return HttpResponse::json(404, &"none");
    }
    if let TargetFault::Status(status) = fault {
        return HttpResponse::json(status, &"failed");
    }
    let Ok(request) = serde_json::from_slice::<EngineRequest>(&request.body) else {
        return HttpResponse::json(400, &"malformed");
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
            let event = build_piece_event(&request, index, &fault, version);
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
    HttpResponse::stream(200, "text/event-stream", body)
}

fn build_piece_event(request: &EngineRequest, index: u32, fault: &TargetFault, version: u64) -> Vec<u8> {
    let is_crossed = matches!(fault, TargetFault::Crossed(from) if index >= *from);
    let is_unstamped = matches!(fault, TargetFault::Unstamped(unstamped) if *unstamped == index);
    let piece = EnginePiece {
        request_id: if is_crossed { "another".to_owned() } else { request.request_id.clone() },
        index,
        text: token_text(index),
        tokens: 1,
        weight_version: (!is_unstamped).then_some(version),
        software: None,
        finish_reason: (index + 1 == request.max_tokens).then(|| "length".to_owned()),
    };
    format!("data: {}\n\n", serde_json::to_string(&piece).unwrap()).into_bytes()
}

/// Gateway on a free port, with a control view that tests can change.
pub struct GatewayBench {
    _runtime: Runtime,
    /// Host and port of the gateway.
    pub address: String,
    /// Control view that the gateway reads.
    pub view: Arc<ArcSwap<ControlView>>,
    /// Usage events so far, in the order in which the runs ended.
    pub usage: Arc<Mutex<Vec<UsageEvent>>>,
    /// Completions of all permits released so far, in order.
    pub reports: Arc<Mutex<Vec<PermitCompletion>>>,
    /// Recorder of how far the services meet their objectives.
    pub objectives: Arc<BurnRecorder>,
    /// Metrics of the gateway.
    pub registry: prometheus::Registry,
    /// Dependencies of the runs that the gateway starts.
    pub runner: RunnerDependencies,
    /// Code that the permit acquirer returns instead of a permit; `None` grants permits.
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

/// Target to configure: its service, id and address. All targets are in failure domain `east`.
pub struct PlacedTarget<'a> {
    pub service: &'a str,
    pub id: &'a str,
    pub address: &'a str,
}

fn build_configuration(targets: &[PlacedTarget<'_>]) -> Configuration {
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

/// Builds a permit acquirer without queues and limits: it grants the target with the lowest id that is of the service,
/// in rotation and not excluded.
fn build_permit_acquirer(
    view: Arc<ArcSwap<ControlView>>,
    reports: Arc<Mutex<Vec<PermitCompletion>>>,
    permit_refusal: Arc<Mutex<Option<ResultCode>>>,
) -> PermitAcquirer {
    Arc::new(move |requirements: &PermitRequirements| {
        if let Some(code) = *permit_refusal.lock().unwrap() {
            return Err(code);
        }
        let view = view.load_full();
        let configuration = &view.configuration;
        let mut targets = configuration.targets.iter();
        let target = targets.find(|target| {
            target.service == requirements.service
                && configuration.is_in_rotation(target)
                && !requirements.excluded_targets.contains(&target.id)
        });
        let target = target.ok_or(ResultCode::NoTarget)?.clone();
        let reports = Arc::clone(&reports);
        Ok(Permit::new(target, Box::new(move |completion| reports.lock().unwrap().push(completion))))
    })
}

impl GatewayBench {
    /// Starts a gateway with these targets and an unlimited retry budget. `platform_url` is the base address of the
    /// platform store, which holds the idempotency claims.
    pub fn start(targets: &[PlacedTarget<'_>], platform_url: &str) -> Self {
        Self::start_with(targets, platform_url, &|_| {})
    }

    /// Starts a gateway as [`GatewayBench::start`] does, with a retry policy that `change` modified.
    pub fn start_with(targets: &[PlacedTarget<'_>], platform_url: &str, change: &dyn Fn(&mut RetryPolicy)) -> Self {
        let mut retries = RetryPolicy::unlimited(Arc::new(|| 0.5));
        change(&mut retries);
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let mut view = ControlView::empty("host-1", "east", 7);
        view.configuration = Arc::new(build_configuration(targets));
        view.is_initialised = true;
        // A read time in the future keeps the view fresh during the whole test.
        view.store_read_at = Some(boot_time() + Duration::from_hours(1));
        let view = Arc::new(ArcSwap::from_pointee(view));
        let usage: Arc<Mutex<Vec<UsageEvent>>> = Arc::default();
        let reports: Arc<Mutex<Vec<PermitCompletion>>> = Arc::default();
        let permit_refusal: Arc<Mutex<Option<ResultCode>>> = Arc::default();
        let quarantine_view = Arc::clone(&view);
        let crashes = CrashQuarantine::new(
            Arc::new(move || quarantine_view.load_full()),
            Arc::new(boot_time),
            Arc::new(|_, _| true),
        );
        let (current_view, recorded_usage) = (Arc::clone(&view), Arc::clone(&usage));
        let engine = RunnerDependencies {
            permits: build_permit_acquirer(Arc::clone(&view), Arc::clone(&reports), Arc::clone(&permit_refusal)),
            view: Arc::new(move || current_view.load_full()),
            usage: Arc::new(move |event| recorded_usage.lock().unwrap().push(event)),
            retries,
            clock: Arc::new(boot_time),
            crashes,
        };
        let claims =
            ClaimStore::start(StoreClient::new(platform_url), Arc::clone(&engine.view), Arc::clone(&engine.clock));
        let registry = prometheus::Registry::new();
        let objectives = Arc::new(BurnRecorder::new("host-1", "north", Duration::ZERO));
        let runner = engine.clone();
        let dependencies = GatewayDependencies {
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
        let handler = caller_handler(dependencies);
        let server = HttpServer::start(&runtime, "127.0.0.1:0", ServerLimits::default(), handler).unwrap();
        let address = server.address().to_string();
        Self {
            _runtime: runtime,
            address,
            view,
            usage,
            reports,
            objectives,
            registry,
            runner,
            permit_refusal,
            _server: server,
        }
    }

    /// Replaces the control view by a copy that `change` modified.
    pub fn change_view(&self, change: impl FnOnce(&mut ControlView)) {
        let mut view = ControlView::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }

    /// Sends a request to the gateway and returns the status and the body.
    pub fn send(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> (u16, String) {
        send_request(&self.address, method, path, headers, body)
    }

    /// Sends a completion request with [`NORTH_KEY`] and returns the status and the body.
    pub fn complete(&self, body: &str) -> (u16, String) {
        let authorization = format!("Bearer {NORTH_KEY}");
        self.send("POST", "/v1/completions", &[("authorization", &authorization)], body.as_bytes())
    }
}

/// Sends a request and returns the status and the body. The body is cut short without an error if the response is
/// aborted.
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

/// Waits until `condition` holds. Panics with `what` after 30 seconds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = boot_time() + Duration::from_secs(30);
    while !condition() {
        assert!(boot_time() < deadline, "still waiting: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
