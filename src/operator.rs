//! Operator interface: HTTP routes on the operator address of every host.
//!
//! Every route needs the operator token, except `/metrics`, `/health` and `/ready`, which monitoring reads. What a
//! route does is passed in as functions, so that the interface is tested without a running control thread.

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
use crate::http_server::{HttpReply, HttpRequest, RequestHandler};
use crate::metrics::{HostGauges, render_metrics};
use crate::prelude::*;

/// Why an operator request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorError {
    /// Result code.
    pub code: ResultCode,
    /// One line for each error; empty when the code says it all.
    pub details: Vec<String>,
}

impl From<ResultCode> for OperatorError {
    fn from(code: ResultCode) -> Self {
        Self { code, details: Vec::new() }
    }
}

/// Result of an operator function.
pub type OperatorResult<T> = Result<T, OperatorError>;

/// Function that answers one kind of operator request.
pub type OperatorFunction<Q, A> = Box<dyn Fn(Q) -> OperatorResult<A> + Send + Sync>;

/// Everything that the operator routes use.
pub struct OperatorDependencies {
    /// Token that operators send.
    pub token: String,
    /// Control state.
    pub control: ControlHandle,
    /// Metrics.
    pub registry: Registry,
    /// Gauges of the control state.
    pub gauges: HostGauges,
    /// Applies a services text.
    pub apply: OperatorFunction<ApplyRequest, ApplyAnswer>,
    /// Grants a key.
    pub grant: OperatorFunction<GrantRequest, GrantAnswer>,
    /// Withdraws a key.
    pub withdraw: OperatorFunction<KeyId, WithdrawAnswer>,
    /// Takes a failure domain or target out or back.
    pub place: OperatorFunction<(PlacementKind, PlacementRequest), ApplyAnswer>,
    /// Usage of the window that starts at this second.
    pub usage: OperatorFunction<u64, Vec<UsageFigure>>,
    /// Objective counts of this host.
    pub burn: Box<dyn Fn() -> BurnAnswer + Send + Sync>,
    /// Recent refusals of this host.
    pub refusals: Box<dyn Fn() -> RefusalList + Send + Sync>,
    /// Targets as this host sees them.
    pub targets: Box<dyn Fn() -> Vec<TargetView> + Send + Sync>,
}

/// Handler of the operator address.
#[must_use]
pub fn operator_handler(parts: OperatorDependencies) -> RequestHandler {
    Arc::new(move |request| answer_request(&parts, &request))
}

fn answer_request(parts: &OperatorDependencies, request: &HttpRequest) -> HttpReply {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/metrics") => {
            parts.gauges.update(&parts.control.view(), boot_time());
            HttpReply::whole(200, "text/plain; version=0.0.4", render_metrics(&parts.registry))
        }
        ("GET", "/health") => HttpReply::whole(200, "text/plain", b"ok\n".to_vec()),
        ("GET", "/ready") => readiness(&parts.control.view()),
        _ if !is_operator(parts, request) => error_reply(ResultCode::KeyMissing, ""),
        ("GET", path) => answer_read(parts, path),
        ("POST", path) => answer_write(parts, path, &request.body),
        _ => error_reply(ResultCode::BadMethod, ""),
    }
}

/// Reply to the load balancer: ready hosts get new requests.
#[must_use]
pub fn readiness(view: &crate::control::ControlView) -> HttpReply {
    if view.is_ready() {
        HttpReply::whole(200, "text/plain", b"ready\n".to_vec())
    } else {
        error_reply(ResultCode::NotReady, "")
    }
}

fn is_operator(parts: &OperatorDependencies, request: &HttpRequest) -> bool {
    let token = request.header("authorization").and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    bool::from(token.as_bytes().ct_eq(parts.token.as_bytes()))
}

fn answer_read(parts: &OperatorDependencies, path: &str) -> HttpReply {
    let view = parts.control.view();
    match path {
        "/operator/status" => HttpReply::json(200, &status_view::status_answer(&view, (parts.targets)(), boot_time())),
        "/operator/configuration" => HttpReply::json(200, &status_view::configuration_answer(&view)),
        "/operator/burn" => HttpReply::json(200, &(parts.burn)()),
        "/operator/refusals" => HttpReply::json(200, &(parts.refusals)()),
        _ => match path.strip_prefix("/operator/usage/").and_then(|window| window.parse().ok()) {
            Some(window) => reply_of((parts.usage)(window)),
            None => error_reply(ResultCode::NotFound, ""),
        },
    }
}

fn answer_write(parts: &OperatorDependencies, path: &str, body: &[u8]) -> HttpReply {
    if let Some(key_id) = path.strip_prefix("/operator/keys/").and_then(|rest| rest.strip_suffix("/withdraw")) {
        return withdrawal_reply((parts.withdraw)(key_id.to_owned()));
    }
    match path {
        "/operator/apply" => reply_of(parse_body(body).and_then(|request| (parts.apply)(request))),
        "/operator/keys" => reply_of(parse_body(body).and_then(|request| (parts.grant)(request))),
        "/operator/domains" => placement_reply(parts, PlacementKind::Domain, body),
        "/operator/targets" => placement_reply(parts, PlacementKind::Target, body),
        _ => error_reply(ResultCode::NotFound, ""),
    }
}

fn placement_reply(parts: &OperatorDependencies, kind: PlacementKind, body: &[u8]) -> HttpReply {
    reply_of(parse_body(body).and_then(|request| (parts.place)((kind, request))))
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> OperatorResult<T> {
    serde_json::from_slice(body)
        .map_err(|error| OperatorError { code: ResultCode::BadRequest, details: vec![error.to_string()] })
}

// A withdrawal that is in force here and not confirmed everywhere has a status of its own, so that a script cannot
// take it for complete.
fn withdrawal_reply(result: OperatorResult<WithdrawAnswer>) -> HttpReply {
    match result {
        Ok(answer) if !answer.stored || !answer.unconfirmed_domains.is_empty() => {
            HttpReply::json(ResultCode::Unconfirmed.entry().status, &answer)
        }
        result => reply_of(result),
    }
}

fn reply_of<T: Serialize>(result: OperatorResult<T>) -> HttpReply {
    match result {
        Ok(answer) => HttpReply::json(200, &answer),
        Err(fault) => fault_reply(&fault),
    }
}

fn fault_reply(fault: &OperatorError) -> HttpReply {
    let entry = fault.code.entry();
    let message = if fault.details.is_empty() { entry.message.to_owned() } else { fault.details.join("\n") };
    let body = serde_json::json!({
        "code": entry.number, "name": entry.name, "message": message, "ran": entry.ran.name(), "request_id": "",
    });
    HttpReply::json(entry.status, &body)
}
