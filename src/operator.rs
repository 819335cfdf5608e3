//! Operator interface: HTTP routes on the operator address of every host.
//!
//! Every route needs the operator token, except `/metrics`, `/health` and `/ready`, which monitoring reads. Changes and
//! most reads are functions in [`OperatorDependencies`], so that tests need no running control thread.

pub mod status_view;

use prometheus::Registry;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;

use crate::control::ControlHandle;
use crate::control::configuration_writer::PlacementKind;
use crate::generated::caller_messages::{
    ApplyAnswer, ApplyRequest, BurnAnswer, GrantAnswer, GrantRequest, PlacementRequest, RefusalList, TargetView,
    WithdrawAnswer,
};
use crate::generated::platform_messages::UsageFigure;
use crate::http_server::connection::error_reply;
use crate::http_server::{HttpRequest, HttpResponse, RequestHandler};
use crate::metrics::{HostGauges, render_metrics};
use crate::prelude::*;

/// Why an operator request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorError {
    /// Result code, which sets the HTTP status of the response.
    pub code: ResultCode,
    /// One line for each error, sent instead of the code's message; empty to send that message.
    pub details: Vec<String>,
}

impl From<ResultCode> for OperatorError {
    fn from(code: ResultCode) -> Self {
        Self { code, details: Vec::new() }
    }
}

/// Answer to an operator request, or the reason why there is none.
pub type OperatorResult<T> = Result<T, OperatorError>;

/// Function that carries out one kind of operator request on a server thread; it may block.
pub type OperatorFunction<Q, A> = Box<dyn Fn(Q) -> OperatorResult<A> + Send + Sync>;

/// Token, state and functions that the operator routes use. The functions may block.
pub struct OperatorDependencies {
    /// Operator token that a request must carry in its `authorization` header.
    pub token: String,
    /// Gives the current view of the control state.
    pub control: ControlHandle,
    /// Registry of the metrics that `/metrics` returns.
    pub registry: Registry,
    /// Gauges of the control state, set from the current view on each read of `/metrics`.
    pub gauges: HostGauges,
    /// Checks a services text and puts it in force.
    pub apply: OperatorFunction<ApplyRequest, ApplyAnswer>,
    /// Creates a key for an organisation.
    pub grant: OperatorFunction<GrantRequest, GrantAnswer>,
    /// Withdraws the key with this id, and waits for confirmations for a limited time.
    pub withdraw: OperatorFunction<KeyId, WithdrawAnswer>,
    /// Takes a failure domain or target out of rotation, or puts it back in rotation.
    pub place: OperatorFunction<(PlacementKind, PlacementRequest), ApplyAnswer>,
    /// Reads the usage of the window that starts at this second since the Unix epoch.
    pub usage: OperatorFunction<u64, Vec<UsageFigure>>,
    /// Counts of good and bad requests at this host by service-level objective, from which burn rates are computed.
    pub burn: Box<dyn Fn() -> BurnAnswer + Send + Sync>,
    /// Requests that this host refused recently.
    pub refusals: Box<dyn Fn() -> RefusalList + Send + Sync>,
    /// Targets of the configuration as this host sees them.
    pub targets: Box<dyn Fn() -> Vec<TargetView> + Send + Sync>,
}

/// Creates the handler that answers the requests on the operator address from `dependencies`.
#[must_use]
pub fn operator_handler(dependencies: OperatorDependencies) -> RequestHandler {
    Arc::new(move |request| handle_request(&dependencies, &request))
}

fn handle_request(dependencies: &OperatorDependencies, request: &HttpRequest) -> HttpResponse {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/metrics") => {
            dependencies.gauges.update(&dependencies.control.view(), boot_time());
            HttpResponse::whole(200, "text/plain; version=0.0.4", render_metrics(&dependencies.registry))
        }
        ("GET", "/health") => HttpResponse::whole(200, "text/plain", b"ok\n".to_vec()),
        ("GET", "/ready") => readiness_reply(&dependencies.control.view()),
        _ if !has_operator_token(dependencies, request) => error_reply(ResultCode::KeyMissing, ""),
        ("GET", path) => handle_get(dependencies, path),
        ("POST", path) => handle_post(dependencies, path, &request.body),
        _ => error_reply(ResultCode::BadMethod, ""),
    }
}

/// Creates the reply to a load balancer's check: 200 when the host may get new requests, and otherwise the error reply
/// of [`ResultCode::NotReady`].
#[must_use]
pub fn readiness_reply(view: &crate::control::ControlView) -> HttpResponse {
    if view.is_ready() {
        HttpResponse::whole(200, "text/plain", b"ready\n".to_vec())
    } else {
        error_reply(ResultCode::NotReady, "")
    }
}

fn has_operator_token(dependencies: &OperatorDependencies, request: &HttpRequest) -> bool {
    let token = request.header("authorization").and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    bool::from(token.as_bytes().ct_eq(dependencies.token.as_bytes()))
}

fn handle_get(dependencies: &OperatorDependencies, path: &str) -> HttpResponse {
    let view = dependencies.control.view();
    match path {
        "/operator/status" => {
            HttpResponse::json(200, &status_view::status_answer(&view, (dependencies.targets)(), boot_time()))
        }
        "/operator/configuration" => HttpResponse::json(200, &status_view::configuration_answer(&view)),
        "/operator/burn" => HttpResponse::json(200, &(dependencies.burn)()),
        "/operator/refusals" => HttpResponse::json(200, &(dependencies.refusals)()),
        _ => match path.strip_prefix("/operator/usage/").and_then(|window| window.parse().ok()) {
            Some(window) => result_reply((dependencies.usage)(window)),
            None => error_reply(ResultCode::NotFound, ""),
        },
    }
}

fn handle_post(dependencies: &OperatorDependencies, path: &str, body: &[u8]) -> HttpResponse {
    if let Some(key_id) = path.strip_prefix("/operator/keys/").and_then(|rest| rest.strip_suffix("/withdraw")) {
        return withdrawal_reply((dependencies.withdraw)(key_id.to_owned()));
    }
    match path {
        "/operator/apply" => result_reply(parse_body(body).and_then(|request| (dependencies.apply)(request))),
        "/operator/keys" => result_reply(parse_body(body).and_then(|request| (dependencies.grant)(request))),
        "/operator/domains" => placement_reply(dependencies, PlacementKind::Domain, body),
        "/operator/targets" => placement_reply(dependencies, PlacementKind::Target, body),
        _ => error_reply(ResultCode::NotFound, ""),
    }
}

fn placement_reply(dependencies: &OperatorDependencies, kind: PlacementKind, body: &[u8]) -> HttpResponse {
    result_reply(parse_body(body).and_then(|request| (dependencies.place)((kind, request))))
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> OperatorResult<T> {
    serde_json::from_slice(body)
        .map_err(|error| OperatorError { code: ResultCode::BadRequest, details: vec![error.to_string()] })
}

// A withdrawal that is in force on this host, but not stored or not confirmed by all failure domains, gets a status of
// its own. A script cannot mistake it for a complete withdrawal.
fn withdrawal_reply(result: OperatorResult<WithdrawAnswer>) -> HttpResponse {
    match result {
        Ok(answer) if !answer.stored || !answer.unconfirmed_domains.is_empty() => {
            HttpResponse::json(ResultCode::Unconfirmed.entry().status, &answer)
        }
        result => result_reply(result),
    }
}

fn result_reply<T: Serialize>(result: OperatorResult<T>) -> HttpResponse {
    match result {
        Ok(answer) => HttpResponse::json(200, &answer),
        Err(error) => operator_error_reply(&error),
    }
}

fn operator_error_reply(error: &OperatorError) -> HttpResponse {
    let entry = error.code.entry();
    let message = if error.details.is_empty() { entry.message.to_owned() } else { error.details.join("\n") };
    let body = serde_json::json!({
        "code": entry.number, "name": entry.name, "message": message, "ran": entry.ran.name(), "request_id": "",
    });
    HttpResponse::json(entry.status, &body)
}
