//! One connection: requests, the faults that apply to them, and their answers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use camphorspring::http_server::HeaderPair;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::body::ServerBody;
use super::{HttpRequest, HttpResponse, ServerShared};
use crate::faults::{ChosenFault, FaultKind, FaultSpec};

/// Longest wait for the port after a fault order; the order holds anyway.
const SETTLE_TURNS: u32 = 1000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PortKind {
    Main,
    Control,
}

pub(super) async fn serve_connection(stream: TcpStream, shared: Arc<ServerShared>, kind: PortKind, generation: u64) {
    let _ = stream.set_nodelay(true);
    let mut port = shared.port.subscribe();
    let service = service_fn(move |request| answer(request, Arc::clone(&shared), kind));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let closed = async {
        let _ = match kind {
            PortKind::Main => port.wait_for(|state| state.generation != generation).await,
            PortKind::Control => port.wait_for(|state| state.is_stopped).await,
        };
    };
    tokio::select! {
        _ = connection => {}
        () = closed => {}
    }
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<ServerShared>,
    kind: PortKind,
) -> io::Result<Response<ServerBody>> {
    let call = read_call(request).await?;
    if call.method == "POST" && call.path == "/fault" {
        return into_response(take_fault(&call, &shared).await);
    }
    let fault = if kind == PortKind::Main { shared.faults.choose(&call.path) } else { None };
    match fault.map(|fault| fault.kind) {
        Some(FaultKind::Down) => return Err(without_answer()),
        Some(FaultKind::Refuse) => return into_response(HttpResponse::error(503, "refused by a fault order")),
        _ => {}
    }
    // A task of its own goes on when the caller has closed the connection, as a server behind a network would.
    let task = tokio::spawn(run_call(call, Arc::clone(&shared), fault));
    let answer = task.await.map_err(io::Error::other)?;
    if fault.is_some_and(|fault| fault.kind == FaultKind::AnswerLost) {
        return Err(without_answer());
    }
    into_response(answer)
}

async fn run_call(call: HttpRequest, shared: Arc<ServerShared>, fault: Option<ChosenFault>) -> HttpResponse {
    match fault {
        Some(fault) if fault.kind == FaultKind::Slow => tokio::time::sleep(fault.delay).await,
        Some(fault) if fault.kind == FaultKind::Freeze => shared.faults.wait_for_end(fault).await,
        _ => {}
    }
    (shared.handler)(call).await
}

async fn take_fault(call: &HttpRequest, shared: &Arc<ServerShared>) -> HttpResponse {
    match serde_json::from_slice::<FaultSpec>(&call.body) {
        Ok(order) => shared.apply_fault(order),
        Err(error) => return HttpResponse::error(400, &error.to_string()),
    }
    for _ in 0..SETTLE_TURNS {
        if shared.is_settled() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    HttpResponse::json(200, &serde_json::json!({}))
}

async fn read_call(request: Request<Incoming>) -> io::Result<HttpRequest> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let headers = head.headers.iter().map(|(name, value)| HeaderPair {
        name: name.as_str().to_owned(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    Ok(HttpRequest {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: headers.collect(),
        body,
    })
}

fn into_response(answer: HttpResponse) -> io::Result<Response<ServerBody>> {
    let mut response = Response::builder().status(answer.status).header("content-type", answer.content_type);
    for pair in answer.headers {
        response = response.header(pair.name, pair.value);
    }
    response.body(ServerBody::new(answer.content)).map_err(io::Error::other)
}

/// Error that makes hyper close the connection.
fn without_answer() -> io::Error {
    io::Error::other("closed without an answer")
}
