//! HTTP interface for callers: authentication, completions, plain services, steps and weights.
//!
//! Completions and requests to plain services run through `traffic`; steps, batches and weight releases go to functions
//! of [`GatewayDependencies`]. The body of an error of the gateway has the number of the result code; an error response
//! of a plain service is passed on with its own status and body.

pub mod caller_key;
pub mod claimed_routes;
pub mod completions;
pub mod event_stream;
pub mod paths;
pub mod plain_routes;
pub mod request_metrics;
pub mod request_record;
pub mod step_routes;

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::Registry;

use crate::control::ControlView;
use crate::control::configuration::Configuration;
use crate::gateway::caller_key::Caller;
use crate::gateway::completions::CompletionRunTable;
use crate::gateway::plain_routes::PlainRunTable;
use crate::gateway::request_metrics::RequestMetrics;
use crate::gateway::request_record::RequestRecord;
use crate::generated::caller_messages::{StepAccepted, StepRequest};
use crate::http_server::connection::error_reply;
use crate::http_server::{HttpRequest, HttpResponse, RequestHandler};
use crate::prelude::*;
use crate::report::burn_recorder::BurnRecorder;
use crate::report::refusal_log::RefusalLog;
use crate::traffic::claim_store::ClaimStore;
use crate::traffic::engine_runner::RunnerDependencies;

/// Function that stores a trainer's step for an organisation and returns the number of groups, samples and shards.
pub type StepSubmitter = Arc<dyn Fn(&OrganisationId, StepRequest) -> Result<StepAccepted, ResultCode> + Send + Sync>;

/// Function that returns the next batch of a trainer's step as JSON.
///
/// The arguments are organisation, trainer, step, cursor and the longest time to block while there is no batch.
pub type BatchSource =
    Arc<dyn Fn(&OrganisationId, &str, u64, &str, Duration) -> Result<Vec<u8>, ResultCode> + Send + Sync>;

/// Function that makes a weight version the desired version of a service; the organisation is that of the caller.
pub type WeightReleaser = Arc<dyn Fn(&OrganisationId, &str, WeightVersion) -> Result<(), ResultCode> + Send + Sync>;

/// What the caller interface needs from the rest of the host.
#[derive(Clone)]
pub struct GatewayDependencies {
    /// Runs requests on targets, both engines and plain services.
    pub engine: RunnerDependencies,
    /// Idempotency claims of requests to routes that are not repeatable.
    pub claims: Arc<ClaimStore>,
    /// Called by `POST /v1/steps` after the checks of the request.
    pub submit_step: StepSubmitter,
    /// Called by `GET /v1/steps/{trainer}/{step}/batches`; blocks a request thread while it waits.
    pub next_batch: BatchSource,
    /// Called by `POST /v1/weights/{service}` after the checks of the request.
    pub release_weights: WeightReleaser,
    /// The request metrics are registered here; a metric whose name is taken stays unregistered.
    pub registry: Registry,
    /// Counts good and bad requests of the services that have an objective.
    pub objectives: Arc<BurnRecorder>,
    /// Receives each request that ended with another code than `Done`, for operators.
    pub refusals: Arc<RefusalLog>,
}

/// State that all requests of the caller port share.
pub struct Gateway {
    pub(crate) dependencies: GatewayDependencies,
    pub(crate) metrics: Arc<RequestMetrics>,
    pub(crate) completion_runs: Arc<CompletionRunTable>,
    pub(crate) plain_runs: Arc<PlainRunTable>,
    next_request_number: AtomicU64,
}

/// Builds the handler of the caller port.
#[must_use]
pub fn caller_handler(mut dependencies: GatewayDependencies) -> RequestHandler {
    let metrics = Arc::new(RequestMetrics::new(&dependencies.registry));
    install_retry_counter(&mut dependencies, &metrics);
    let gateway = Arc::new(Gateway {
        dependencies,
        metrics,
        completion_runs: Arc::new(CompletionRunTable::default()),
        plain_runs: Arc::new(PlainRunTable::default()),
        next_request_number: AtomicU64::new(1),
    });
    Arc::new(move |request| handle_request(&gateway, &request))
}

/// Replaces `try_retry` by a function that also counts each allowed retry in the metrics.
fn install_retry_counter(dependencies: &mut GatewayDependencies, metrics: &Arc<RequestMetrics>) {
    let (may_retry, metrics) = (Arc::clone(&dependencies.engine.retries.try_retry), Arc::clone(metrics));
    dependencies.engine.retries.try_retry = Arc::new(move |place| {
        let is_allowed = may_retry(place);
        if is_allowed {
            metrics.record_retry(place.service);
        }
        is_allowed
    });
}

/// A request that is being handled, with the time and the control view from its start.
pub(crate) struct RequestContext<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) request: &'a HttpRequest,
    /// Configuration, withdrawn keys and freshness as this host knew them when the handler was called.
    pub(crate) view: Arc<ControlView>,
    /// Time at which the handler was called; the caller's timeout counts from here.
    pub(crate) now: BootTime,
    /// Path with percent sequences decoded.
    pub(crate) path: String,
}

impl RequestContext<'_> {
    pub(crate) fn configuration(&self) -> &Configuration {
        &self.view.configuration
    }

    /// Authenticates the caller by the key in the request and adds the organisation to the record.
    pub(crate) fn authenticate(&self, record: &mut RequestRecord) -> Result<Caller, ResultCode> {
        let caller = caller_key::authenticate(&self.view, self.now, self.request)?;
        record.organisation.clone_from(&caller.organisation);
        Ok(caller)
    }

    /// Deadline from the timeout in the `x-request-deadline-ms` header, or from `default_timeout` without the header.
    ///
    /// The header's timeout is cut to [`MAX_REQUEST_TIMEOUT`]; one that is not a number is a bad request.
    pub(crate) fn deadline(&self, default_timeout: Duration) -> Result<BootTime, ResultCode> {
        let Some(value) = self.request.header("x-request-deadline-ms") else { return Ok(self.now + default_timeout) };
        let timeout_ms: u64 = value.trim().parse().map_err(|_| ResultCode::BadRequest)?;
        Ok(self.now + Duration::from_millis(timeout_ms).min(MAX_REQUEST_TIMEOUT))
    }
}

/// Longest timeout that a caller may ask for in `x-request-deadline-ms`.
pub const MAX_REQUEST_TIMEOUT: Duration = Duration::from_mins(20);

impl Gateway {
    /// Returns an id that is unique among all hosts: the incarnation of this host and a counter.
    pub(crate) fn new_request_id(&self, view: &ControlView) -> RequestId {
        format!("{:016x}-{:x}", view.incarnation, self.next_request_number.fetch_add(1, Ordering::Relaxed))
    }

    pub(crate) fn now(&self) -> BootTime {
        (self.dependencies.engine.clock)()
    }

    pub(crate) fn view(&self) -> Arc<ControlView> {
        (self.dependencies.engine.view)()
    }
}

fn handle_request(gateway: &Arc<Gateway>, request: &HttpRequest) -> HttpResponse {
    let view = gateway.view();
    let request_id = match request.header("x-request-id") {
        Some(id) if paths::is_identifier(id) => id.to_owned(),
        _ => gateway.new_request_id(&view),
    };
    let now = gateway.now();
    let mut record = RequestRecord::new(gateway, &request_id, now);
    let path = paths::decode_path(&request.path);
    let result = match path {
        Some(path) => {
            let context = RequestContext { gateway, request, view, now, path };
            route_request(&context, &mut record)
        }
        None => Err(ResultCode::BadRequest),
    };
    let reply = match result {
        Ok(GatewayResponse::Whole(reply)) => {
            record.finish(ResultCode::Done, reply.status);
            reply
        }
        Ok(GatewayResponse::Streamed(reply)) => reply,
        Err(code) => {
            record.finish(code, code.entry().status);
            error_reply(code, &request_id)
        }
    };
    reply.with_header("x-request-id", &request_id)
}

/// Response that is not an error of the gateway itself; the status can be an error of a target.
pub(crate) enum GatewayResponse {
    /// Complete response; [`handle_request`] finishes the record.
    Whole(HttpResponse),
    /// Response that a stream thread is still writing; that thread finishes the record.
    Streamed(HttpResponse),
}

fn route_request(context: &RequestContext<'_>, record: &mut RequestRecord) -> Result<GatewayResponse, ResultCode> {
    let segments: Vec<&str> = context.path.split('/').skip(1).collect();
    let method = context.request.method.as_str();
    match segments.as_slice() {
        ["health"] => check_method(method, &["GET", "HEAD"]).map(|()| build_text_reply("ok\n")),
        ["ready"] => {
            check_method(method, &["GET", "HEAD"])?;
            if context.view.is_ready() { Ok(build_text_reply("ready\n")) } else { Err(ResultCode::NotReady) }
        }
        ["v1", rest @ ..] => {
            check_ready(&context.view)?;
            route_v1_request(context, record, rest)
        }
        _ => {
            check_ready(&context.view)?;
            plain_routes::handle_route_request(context, record)
        }
    }
}

fn route_v1_request(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    segments: &[&str],
) -> Result<GatewayResponse, ResultCode> {
    let method = context.request.method.as_str();
    match segments {
        ["completions"] => {
            check_method(method, &["POST"])?;
            completions::handle_completion(context, record)
        }
        ["steps"] => {
            check_method(method, &["POST"])?;
            step_routes::handle_step_submission(context, record)
        }
        ["steps", trainer, step, "batches"] => {
            check_method(method, &["GET"])?;
            step_routes::handle_batch_poll(context, record, trainer, step)
        }
        ["weights", service] => {
            check_method(method, &["POST"])?;
            step_routes::handle_weight_release(context, record, service)
        }
        ["requests", idempotency_key] => {
            check_method(method, &["GET"])?;
            claimed_routes::handle_outcome_query(context, record, idempotency_key)
        }
        _ => Err(ResultCode::NotFound),
    }
}

/// Refuses until this host has the whole configuration; before, the routes and keys are not known.
fn check_ready(view: &ControlView) -> Result<(), ResultCode> {
    if view.is_initialised { Ok(()) } else { Err(ResultCode::NotReady) }
}

fn check_method(method: &str, allowed: &[&str]) -> Result<(), ResultCode> {
    if allowed.contains(&method) { Ok(()) } else { Err(ResultCode::BadMethod) }
}

fn build_text_reply(text: &str) -> GatewayResponse {
    GatewayResponse::Whole(HttpResponse::whole(200, "text/plain", text.as_bytes().to_vec()))
}

/// Refuses when a direct or indirect dependency of the service has no target in rotation or is not configured.
pub(crate) fn check_dependencies(configuration: &Configuration, service: &str) -> Result<(), ResultCode> {
    let mut pending = vec![service.to_owned()];
    let mut seen: Vec<String> = Vec::new();
    while let Some(name) = pending.pop() {
        let Some(entry) = configuration.service(&name) else { return Err(ResultCode::DependencyDown) };
        for dependency in &entry.depends_on {
            if seen.contains(dependency) {
                continue;
            }
            let is_usable = configuration
                .targets
                .iter()
                .any(|target| &target.service == dependency && configuration.is_in_rotation(target));
            if !is_usable {
                return Err(ResultCode::DependencyDown);
            }
            seen.push(dependency.clone());
            pending.push(dependency.clone());
        }
    }
    Ok(())
}
