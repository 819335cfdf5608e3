//! Operator interface: token check, malformed bodies, and errors that reach the operator as result codes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use arc_swap::ArcSwap;
use camphorspring::control::{ControlHandle, ControlView};
use camphorspring::generated::caller_messages::{ApplyAnswer, BurnAnswer, GrantAnswer, RefusalList, WithdrawAnswer};
use camphorspring::http_server::{HeaderPair, HttpRequest, HttpResponse, ReplyBody, RequestHandler};
use camphorspring::metrics::HostGauges;
use camphorspring::operator::{OperatorDependencies, OperatorError, operator_handler};
use camphorspring::result_code::ResultCode;

const TOKEN: &str = "operator-token-for-tests";

fn build_dependencies() -> OperatorDependencies {
    let view = ControlView::empty("host-1", "north", 7);
    let (events, _) = std::sync::mpsc::sync_channel(1);
    let registry = prometheus::Registry::new();
    OperatorDependencies {
        token: TOKEN.to_owned(),
        control: ControlHandle::new(Arc::new(ArcSwap::from_pointee(view)), events),
        gauges: HostGauges::new(&registry),
        registry,
        apply: Box::new(|request| match request.text.as_str() {
            "bad" => Err(OperatorError {
                code: ResultCode::TextInvalid,
                details: vec!["line 1: a".to_owned(), "line 2: b".to_owned()],
            }),
            _ => Ok(ApplyAnswer { version: 3, changed_items: 1 }),
        }),
        grant: Box::new(|_| Ok(GrantAnswer { key_id: "k1".to_owned(), key: "cs_k1_secret".to_owned() })),
        withdraw: Box::new(|key_id| {
            let unconfirmed_domains = if key_id == "k1" { Vec::new() } else { vec!["south".to_owned()] };
            Ok(WithdrawAnswer { key_id, stored: true, unconfirmed_domains })
        }),
        place: Box::new(|_| Err(ResultCode::StoreUnavailable.into())),
        usage: Box::new(|_| Ok(Vec::new())),
        burn: Box::new(|| BurnAnswer {
            host: "host-1".to_owned(),
            failure_domain: "north".to_owned(),
            kept_minutes: 1,
            entries: Vec::new(),
        }),
        refusals: Box::new(|| RefusalList { refusals: Vec::new() }),
        targets: Box::new(Vec::new),
    }
}

fn send_request(handler: &RequestHandler, method: &str, path: &str, token: &str, body: &str) -> String {
    let authorization = HeaderPair { name: "authorization".to_owned(), value: format!("Bearer {token}") };
    let reply = handler(HttpRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: String::new(),
        headers: vec![authorization],
        body: body.as_bytes().to_vec(),
        caller_gone: Arc::new(AtomicBool::new(false)),
    });
    format_reply(&reply)
}

fn format_reply(reply: &HttpResponse) -> String {
    match &reply.body {
        ReplyBody::Whole(body) => format!("{} {}", reply.status, String::from_utf8_lossy(body)),
        ReplyBody::Stream(_) => format!("{} stream", reply.status),
    }
}

/// Guards against operator routes that work without the token, and against errors that reach the operator without their
/// result code.
#[test]
fn operator_routes_return_result_codes() {
    let handler = operator_handler(build_dependencies());
    let cases: [(&str, &str, &str, &str); 11] = [
        ("GET", "/operator/status", "wrong", ""),
        ("POST", "/operator/apply", "", "{\"text\":\"ok\"}"),
        ("POST", "/operator/apply", TOKEN, "{\"text\":\"ok\"}"),
        ("POST", "/operator/apply", TOKEN, "{\"text\":\"bad\"}"),
        ("POST", "/operator/apply", TOKEN, "{\"text\":"),
        ("POST", "/operator/keys/k1/withdraw", TOKEN, "{}"),
        ("POST", "/operator/keys/k2/withdraw", TOKEN, "{}"),
        ("POST", "/operator/domains", TOKEN, "{\"name\":\"north\",\"out\":true}"),
        ("GET", "/operator/usage/x", TOKEN, ""),
        ("DELETE", "/operator/keys", TOKEN, ""),
        ("GET", "/ready", "", ""),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(method, path, token, body)| {
            format!("{method} {path}: {}", send_request(&handler, method, path, token, body))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
