//! Caller interface: authentication, completions, plain services, steps and weights.
//!
//! Each request gets an id, is admitted or refused, and is carried out by `traffic` or by a function passed in.
//! Every refusal has a numbered code in an error body.

pub mod caller_key;
pub mod claimed_routes;
pub mod completions;
pub mod event_stream;
pub mod paths;
pub mod plain_routes;
pub mod request_metrics;
pub mod request_trace;
pub mod step_routes;

use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::Registry;

use crate::control::ControlView;
use crate::control::configuration::Configuration;
use crate::gateway::caller_key::Caller;
use crate::gateway::completions::CompletionRunTable;
use crate::gateway::plain_routes::PlainRunTable;
use crate::gateway::request_metrics::RequestMetrics;
use crate::gateway::request_trace::RequestTrace;
use crate::generated::caller_messages::{StepAccepted, StepRequest};
use crate::http_server::connection::error_reply;
use crate::http_server::{HttpReply, HttpRequest, RequestHandler};
use crate::prelude::*;
use crate::report::burn_recorder::BurnRecorder;
use crate::report::refusal_log::RefusalLog;
use crate::traffic::claim_store::ClaimStore;
use crate::traffic::engine_runner::RunnerDependencies;

/// Function that accepts a step.
pub type StepSubmit = Arc<dyn Fn(&OrganisationId, StepRequest) -> Result<StepAccepted, ResultCode> + Send + Sync>;

/// Function that gives the JSON text of the batch behind a cursor of a trainer's step, waiting at most as long as
/// asked.
pub type BatchSource =
    Arc<dyn Fn(&OrganisationId, &str, u64, &str, Duration) -> Result<Vec<u8>, ResultCode> + Send + Sync>;

/// Function that releases a weight version for a service.
pub type WeightReleaser = Arc<dyn Fn(&OrganisationId, &str, WeightVersion) -> Result<(), ResultCode> + Send + Sync>;

/// What the caller interface needs from the rest of the host.
#[derive(Clone)]
pub struct GatewayDependencies {
    /// Runs requests on targets.
    pub engine: RunnerDependencies,
    /// Claims of requests that may not be repeated.
    pub claims: Arc<ClaimStore>,
    /// Accepts steps.
    pub submit_step: StepSubmit,
    /// Gives batches of samples.
    pub next_batch: BatchSource,
    /// Releases weights.
    pub release_weights: WeightReleaser,
    /// Registry that gets the metrics.
    pub registry: Registry,
    /// Counts requests against their objectives.
    pub objectives: Arc<BurnRecorder>,
    /// Keeps recent refusals.
    pub refusals: Arc<RefusalLog>,
}

/// State shared by all requests.
pub struct Gateway {
    pub(crate) parts: GatewayDependencies,
    pub(crate) metrics: Arc<RequestMetrics>,
    pub(crate) completions: Arc<CompletionRunTable>,
    pub(crate) pages: Arc<PlainRunTable>,
    next_id: AtomicU64,
}

/// Builds the handler of the caller port.
#[must_use]
pub fn caller_handler(mut parts: GatewayDependencies) -> RequestHandler {
    let metrics = Arc::new(RequestMetrics::new(&parts.registry));
    count_retries(&mut parts, &metrics);
    let gateway = Arc::new(Gateway {
        parts,
        metrics,
        completions: Arc::new(CompletionRunTable::default()),
        pages: Arc::new(PlainRunTable::default()),
        next_id: AtomicU64::new(1),
    });
    Arc::new(move |request| handle_request(&gateway, &request))
}

/// Counts the retries of this interface that the budget allows.
fn count_retries(parts: &mut GatewayDependencies, metrics: &Arc<RequestMetrics>) {
    let (may_retry, metrics) = (Arc::clone(&parts.engine.retries.may_retry), Arc::clone(metrics));
    parts.engine.retries.may_retry = Arc::new(move |place| {
        let is_allowed = may_retry(place);
        if is_allowed {
            metrics.note_retry(place.service);
        }
        is_allowed
    });
}

/// A request that is being handled.
pub(crate) struct RequestContext<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) request: &'a HttpRequest,
    pub(crate) view: Arc<ControlView>,
    pub(crate) now: BootTime,
    /// Decoded path.
    pub(crate) path: String,
}

impl RequestContext<'_> {
    pub(crate) fn configuration(&self) -> &Configuration {
        &self.view.configuration
    }

    /// Identifies the caller by its key.
    pub(crate) fn authenticate(&self, trace: &mut RequestTrace) -> Result<Caller, ResultCode> {
        let caller = caller_key::authenticate(&self.view, self.now, self.request)?;
        trace.organisation.clone_from(&caller.organisation);
        Ok(caller)
    }

    /// Time limit from the caller's header, or the default, counted from now.
    pub(crate) fn deadline(&self, default: Duration) -> Result<BootTime, ResultCode> {
        let Some(value) = self.request.header("x-request-deadline-ms") else { return Ok(self.now + default) };
        let limit: u64 = value.trim().parse().map_err(|_| ResultCode::BadRequest)?;
        Ok(self.now + Duration::from_millis(limit).min(DEADLINE_LIMIT))
    }
}

/// Longest time that a caller may ask for.
pub const DEADLINE_LIMIT: Duration = Duration::from_mins(20);

impl Gateway {
    /// A new id, unique among all hosts: the incarnation of this host and a counter.
    pub(crate) fn new_id(&self, view: &ControlView) -> RequestId {
        format!("{:016x}-{:x}", view.incarnation, self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub(crate) fn now(&self) -> BootTime {
        (self.parts.engine.clock)()
    }

    pub(crate) fn view(&self) -> Arc<ControlView> {
        (self.parts.engine.view)()
    }
}

fn handle_request(gateway: &Arc<Gateway>, request: &HttpRequest) -> HttpReply {
    let view = gateway.view();
    let request_id = match request.header("x-request-id") {
        Some(id) if paths::is_token(id) => id.to_owned(),
        _ => gateway.new_id(&view),
    };
    let now = gateway.now();
    let mut trace = RequestTrace::new(gateway, &request_id, now);
    let path = paths::decode_path(&request.path);
    let result = match path {
        Some(path) => {
            let context = RequestContext { gateway, request, view, now, path };
            answer(&context, &mut trace)
        }
        None => Err(ResultCode::BadRequest),
    };
    let reply = match result {
        Ok(Answered::Whole(reply)) => {
            trace.finish(ResultCode::Done, reply.status);
            reply
        }
        Ok(Answered::Stream(reply)) => reply,
        Err(code) => {
            trace.finish(code, code.entry().status);
            error_reply(code, &request_id)
        }
    };
    reply.with_header("x-request-id", &request_id)
}

/// An answer; a streamed one finishes its own trace.
pub(crate) enum Answered {
    Whole(HttpReply),
    Stream(HttpReply),
}

fn answer(context: &RequestContext<'_>, trace: &mut RequestTrace) -> Result<Answered, ResultCode> {
    let segments: Vec<&str> = context.path.split('/').skip(1).collect();
    let method = context.request.method.as_str();
    match segments.as_slice() {
        ["health"] => allow(method, &["GET", "HEAD"]).map(|()| text_reply("ok\n")),
        ["ready"] => {
            allow(method, &["GET", "HEAD"])?;
            if context.view.is_ready() { Ok(text_reply("ready\n")) } else { Err(ResultCode::NotReady) }
        }
        ["v1", rest @ ..] => {
            check_ready(&context.view)?;
            answer_interface(context, trace, rest)
        }
        _ => {
            check_ready(&context.view)?;
            plain_routes::answer_route(context, trace)
        }
    }
}

fn answer_interface(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    segments: &[&str],
) -> Result<Answered, ResultCode> {
    let method = context.request.method.as_str();
    match segments {
        ["completions"] => {
            allow(method, &["POST"])?;
            completions::answer_completion(context, trace)
        }
        ["steps"] => {
            allow(method, &["POST"])?;
            step_routes::answer_submit(context, trace)
        }
        ["steps", trainer, step, "batches"] => {
            allow(method, &["GET"])?;
            step_routes::answer_batch(context, trace, trainer, step)
        }
        ["weights", service] => {
            allow(method, &["POST"])?;
            step_routes::answer_release(context, trace, service)
        }
        ["requests", key] => {
            allow(method, &["GET"])?;
            claimed_routes::answer_outcome(context, trace, key)
        }
        _ => Err(ResultCode::NotFound),
    }
}

/// A host that has not learned the whole configuration cannot tell which routes and keys there are.
fn check_ready(view: &ControlView) -> Result<(), ResultCode> {
    if view.is_initialised { Ok(()) } else { Err(ResultCode::NotReady) }
}

fn allow(method: &str, allowed: &[&str]) -> Result<(), ResultCode> {
    if allowed.contains(&method) { Ok(()) } else { Err(ResultCode::BadMethod) }
}

fn text_reply(text: &str) -> Answered {
    Answered::Whole(HttpReply::whole(200, "text/plain", text.as_bytes().to_vec()))
}

/// Refuses when a service that this one depends on, directly or not, has no target that is in.
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
