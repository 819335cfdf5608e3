//! Connections of the server: accepts them, reads requests, calls the handler and sends the responses.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio_io_timeout::TimeoutStream;

use super::body::ServerBody;
use super::{HeaderPair, HttpRequest, HttpResponse, RequestHandler, ServerCounters, ServerLimits};
use crate::generated::caller_messages::{ErrorBody, ErrorBodyRan};
use crate::memory::{
    ConnectionLease, LeasedBody, MemoryBudget, MemoryLease, ReceiveError, accept_connection, linger, receive_body,
};
use crate::prelude::*;
use crate::relay::read_budget::{BudgetedBody, BudgetedStream, ReadBudget};

/// Parts of a server that all its connections share.
pub(super) struct ServerState {
    pub(super) handler: RequestHandler,
    pub(super) memory: Arc<MemoryBudget>,
    pub(super) request_permits: Arc<Semaphore>,
    pub(super) limits: ServerLimits,
    pub(super) counters: Arc<ServerCounters>,
}

pub(super) async fn accept_connections(
    listener: TcpListener,
    state: Arc<ServerState>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let (stream, lease) = tokio::select! {
            accepted = accept_connection(&listener, &state.memory) => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let state = Arc::clone(&state);
        let stopped = stopped.clone();
        tokio::spawn(async move {
            state.counters.connections.fetch_add(1, Ordering::AcqRel);
            tokio::select! {
                () = serve_connection(stream, &lease, &state, stopped) => {}
                () = lease.wait_yielded() => {
                    state.counters.rejected_connections.fetch_add(1, Ordering::Relaxed);
                }
            }
            state.counters.connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    lease: &Arc<ConnectionLease>,
    state: &Arc<ServerState>,
    mut stopped: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let budget = ReadBudget::default().with_lease(Arc::clone(lease));
    let mut stream = TimeoutStream::new(BudgetedStream::new(stream, budget.clone()));
    stream.set_write_timeout(Some(state.limits.write_timeout));
    let (service_state, service_lease) = (Arc::clone(state), Arc::clone(lease));
    let service = service_fn(move |request: Request<Incoming>| {
        budget.renew();
        service_lease.begin_request(!request.body().is_end_stream());
        let request = request.map(|body| BudgetedBody::new(body, budget.clone()));
        handle_request(request, Arc::clone(&service_state), Arc::clone(&service_lease))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(state.limits.header_timeout)
        .max_buf_size(HEADER_LIMIT)
        .keep_alive(true)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stopped| *stopped) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Counts a request until the guard is dropped: the response was sent completely, or the connection closed.
pub(super) struct RequestGuard {
    counters: Arc<ServerCounters>,
    caller_gone: Arc<AtomicBool>,
}

impl RequestGuard {
    fn new(counters: &Arc<ServerCounters>) -> Self {
        counters.requests.fetch_add(1, Ordering::AcqRel);
        Self { counters: Arc::clone(counters), caller_gone: Arc::new(AtomicBool::new(false)) }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.caller_gone.store(true, Ordering::Release);
        self.counters.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn handle_request(
    request: Request<BudgetedBody>,
    state: Arc<ServerState>,
    lease: Arc<ConnectionLease>,
) -> Result<Response<LeasedBody<ServerBody>>, Infallible> {
    let guard = RequestGuard::new(&state.counters);
    let reply = match read_request(request, &state, &guard).await {
        Ok((request, body_lease)) => {
            lease.settle();
            let reply = run_handler(request, &state).await;
            drop(body_lease);
            reply
        }
        Err(code) => refusal_reply(code).with_header("connection", "close"),
    };
    Ok(into_response(reply, guard).map(|body| LeasedBody::new(body, lease)))
}

async fn run_handler(request: HttpRequest, state: &Arc<ServerState>) -> HttpResponse {
    let Ok(permit) = Arc::clone(&state.request_permits).try_acquire_owned() else {
        state.counters.rejected_requests.fetch_add(1, Ordering::Relaxed);
        return refusal_reply(ResultCode::HostBusy);
    };
    let handler = Arc::clone(&state.handler);
    let task = tokio::task::spawn_blocking(move || {
        let reply = handler(request);
        drop(permit);
        reply
    });
    task.await.unwrap_or_else(|_| refusal_reply(ResultCode::Internal))
}

async fn read_request(
    request: Request<BudgetedBody>,
    state: &ServerState,
    guard: &RequestGuard,
) -> Result<(HttpRequest, Option<Arc<MemoryLease>>), ResultCode> {
    let (head, mut body) = request.into_parts();
    let receiving = receive_body(&state.memory, &mut body, state.limits.body_bytes);
    let received = match tokio::time::timeout(state.limits.body_timeout, receiving).await {
        Ok(Ok(received)) => received,
        failed => {
            linger(&state.memory, body);
            return Err(match failed {
                Ok(Err(ReceiveError::TooLarge)) => ResultCode::TooLarge,
                Ok(Err(ReceiveError::NoMemory)) => ResultCode::HostBusy,
                _ => ResultCode::BadRequest,
            });
        }
    };
    let (body, lease) = received.into_vec();
    let headers = head.headers.iter().map(|(name, value)| HeaderPair {
        name: name.as_str().to_owned(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    let request = HttpRequest {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: headers.collect(),
        body,
        caller_gone: Arc::clone(&guard.caller_gone),
    };
    Ok((request, lease))
}

fn refusal_reply(code: ResultCode) -> HttpResponse {
    error_reply(code, "")
}

/// Creates an error response: the status of the code, an [`ErrorBody`] as JSON, and a `retry-after` of one second for
/// status 429 and 503.
///
/// `request_id` is empty when the request failed before it got an id.
#[must_use]
pub fn error_reply(code: ResultCode, request_id: &str) -> HttpResponse {
    let entry = code.entry();
    let ran = match entry.ran {
        ExecutionStatus::NotRun => ErrorBodyRan::No,
        ExecutionStatus::Ran => ErrorBodyRan::Yes,
        ExecutionStatus::Unknown => ErrorBodyRan::Unknown,
    };
    let body = ErrorBody {
        code: entry.number,
        name: entry.name.to_owned(),
        message: entry.message.to_owned(),
        ran,
        request_id: request_id.to_owned(),
    };
    let reply = HttpResponse::json(entry.status, &body);
    if matches!(entry.status, 429 | 503) { reply.with_header("retry-after", "1") } else { reply }
}

fn into_response(reply: HttpResponse, guard: RequestGuard) -> Response<ServerBody> {
    let mut builder = Response::builder().status(reply.status);
    for pair in &reply.headers {
        builder = builder.header(&pair.name, &pair.value);
    }
    let body = ServerBody::new(reply.body, guard);
    builder.body(body).unwrap_or_else(|_| fallback_response())
}

/// Returns an empty response with status 500, for a reply whose status or headers are not valid HTTP.
///
/// The guard of the request was dropped with the invalid response, so the new guard counts in unused counters.
fn fallback_response() -> Response<ServerBody> {
    let counters = Arc::new(ServerCounters::default());
    let body = ServerBody::new(super::ReplyBody::Whole(Vec::new()), RequestGuard::new(&counters));
    let mut response = Response::new(body);
    *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
    response
}
