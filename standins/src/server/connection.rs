//! Serves one connection: reads the requests, injects the faults and sends the responses of the handler.

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

/// Number of milliseconds for which the response to a fault request waits for the main port to open or close. When the
/// port needs longer, the response is sent anyway.
const MAX_SETTLE_MILLIS: u32 = 1000;

/// Port through which a connection came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PortKind {
    Main,
    Control,
}

/// Serves a connection until the client closes it or the server ends it: a connection of the main port when the
/// generation is no longer `generation`, one of the control port when the server stops.
pub(super) async fn serve_connection(stream: TcpStream, shared: Arc<ServerShared>, kind: PortKind, generation: u64) {
    let _ = stream.set_nodelay(true);
    let mut desired_port = shared.desired_port.subscribe();
    let service = service_fn(move |incoming| handle_request(incoming, Arc::clone(&shared), kind));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let closed_by_server = async {
        let _ = match kind {
            PortKind::Main => desired_port.wait_for(|state| state.generation != generation).await,
            PortKind::Control => desired_port.wait_for(|state| state.is_stopped).await,
        };
    };
    tokio::select! {
        _ = connection => {}
        () = closed_by_server => {}
    }
}

async fn handle_request(
    incoming: Request<Incoming>,
    shared: Arc<ServerShared>,
    kind: PortKind,
) -> io::Result<Response<ServerBody>> {
    let request = read_request(incoming).await?;
    if request.method == "POST" && request.path == "/fault" {
        return into_response(handle_fault_request(&request, &shared).await);
    }
    let fault = if kind == PortKind::Main { shared.faults.choose_for_request(&request.path) } else { None };
    match fault.map(|fault| fault.kind) {
        Some(FaultKind::Down) => return Err(connection_close_error()),
        Some(FaultKind::Refuse) => return into_response(HttpResponse::error(503, "refused by a fault order")),
        _ => {}
    }
    // The handler runs in a separate task, which continues when the client closes the connection, as on a server that
    // does not notice the disconnection.
    let task = tokio::spawn(run_handler(request, Arc::clone(&shared), fault));
    let response = task.await.map_err(io::Error::other)?;
    if fault.is_some_and(|fault| fault.kind == FaultKind::AnswerLost) {
        return Err(connection_close_error());
    }
    into_response(response)
}

/// Calls the handler, after the delay of a slow fault or the end of a freeze.
async fn run_handler(request: HttpRequest, shared: Arc<ServerShared>, fault: Option<ChosenFault>) -> HttpResponse {
    match fault {
        Some(fault) if fault.kind == FaultKind::Slow => tokio::time::sleep(fault.delay).await,
        Some(fault) if fault.kind == FaultKind::Freeze => shared.faults.wait_for_end(fault).await,
        _ => {}
    }
    (shared.handler)(request).await
}

/// Applies the fault in the body and responds when the main port is open or closed accordingly; 400 for an invalid
/// body.
async fn handle_fault_request(request: &HttpRequest, shared: &Arc<ServerShared>) -> HttpResponse {
    match serde_json::from_slice::<FaultSpec>(&request.body) {
        Ok(spec) => shared.apply_fault(spec),
        Err(error) => return HttpResponse::error(400, &error.to_string()),
    }
    for _ in 0..MAX_SETTLE_MILLIS {
        if shared.is_settled() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    HttpResponse::json(200, &serde_json::json!({}))
}

async fn read_request(incoming: Request<Incoming>) -> io::Result<HttpRequest> {
    let (head, body) = incoming.into_parts();
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

fn into_response(response: HttpResponse) -> io::Result<Response<ServerBody>> {
    let mut builder = Response::builder().status(response.status).header("content-type", response.content_type);
    for pair in response.headers {
        builder = builder.header(pair.name, pair.value);
    }
    builder.body(ServerBody::new(response.content)).map_err(io::Error::other)
}

/// Creates an error that makes hyper close the connection without a response.
fn connection_close_error() -> io::Error {
    io::Error::other("closed without an answer")
}
