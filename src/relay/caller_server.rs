//! HTTP servers for callers, for the readiness checks of the load balancer, and for metrics.
//!
//! A planned stop first makes the host report that it is not ready and asks callers to close their connections.
//! Connections are then closed once their requests have been answered; a new connection still gets one answer. At last no
//! connection is accepted any more, and the host waits for the requests that it has read.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::entry::host_context::HostContext;
use crate::memory::{ConnectionLease, LeasedBody, MemoryBudget, accept_connection};
use crate::prelude::*;
use crate::relay::read_budget::{BudgetedBody, MAX_PART_BYTES, ReadBudget, accepted_stream};
use crate::relay::reply::{ResponseBody, code_reply, text_reply};

/// Most bytes of a request line, which the limit of a head does not count.
const MAX_REQUEST_LINE_BYTES: usize = 8 * 1024;

/// Bytes of a header field beside its name and its value: a colon, a space and the end of the line.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// Time within which a request for the status must arrive on a connection.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle timeout of connections that are accepted before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Function that handles a caller's request; dropping the returned future cancels the request.
pub type CallerHandler = Arc<
    dyn Fn(Request<BudgetedBody>) -> std::pin::Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>
        + Send
        + Sync,
>;

/// Phase of a host's life, as far as callers' connections are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Connections are kept open for further requests.
    Serving,
    /// Each connection is closed after the request that it is handling, or at once if idle; a new one after its first.
    Closing,
    /// No further connection is accepted.
    Refusing,
}

/// Accepts callers' connections until the phase is [`ServerPhase::Refusing`] and those that wait have been accepted.
pub async fn serve_callers(
    context: Arc<HostContext>,
    listener: TcpListener,
    handler: CallerHandler,
    mut phase: watch::Receiver<ServerPhase>,
) {
    loop {
        let connection = tokio::select! {
            biased;
            connection = accept_connection(&listener, &context.memory) => connection,
            _ = phase.wait_for(|phase| *phase == ServerPhase::Refusing) => return,
        };
        tokio::spawn(serve_connection(Arc::clone(&context), connection, Arc::clone(&handler), phase.clone()));
    }
}

/// Counts a connection from its first request until the connection ends; during a planned stop, connections end with
/// the request that they are handling.
#[derive(Debug)]
struct BusyConnection(Arc<HostContext>);

impl BusyConnection {
    fn new(context: &Arc<HostContext>) -> Self {
        context.busy_connections.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(context))
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.busy_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_connection(
    context: Arc<HostContext>,
    (stream, lease): (TcpStream, Arc<ConnectionLease>),
    handler: CallerHandler,
    mut phase: watch::Receiver<ServerPhase>,
) {
    let _ = stream.set_nodelay(true);
    // A shutdown of a connection without a request would close it at once, although its request may be on the way.
    let mut is_closing = *phase.borrow() >= ServerPhase::Closing;
    let busy = OnceLock::new();
    let limits = context.view().services.as_ref().map(|services| services.limits);
    let idle_time = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_time);
    let max_part_bytes =
        limits.map_or(MAX_PART_BYTES, |limits| limits.head_bytes.saturating_add(MAX_REQUEST_LINE_BYTES));
    let budget = ReadBudget::for_parts(max_part_bytes.max(MAX_PART_BYTES)).with_lease(Arc::clone(&lease));
    let stream = accepted_stream(stream, budget.clone());
    let service_lease = Arc::clone(&lease);
    let service = service_fn(move |request: Request<Incoming>| {
        busy.get_or_init(|| BusyConnection::new(&context));
        budget.renew();
        let lease = Arc::clone(&service_lease);
        lease.begin_request(!request.body().is_end_stream());
        let services = context.view().services.clone();
        let is_head_too_large = services.is_some_and(|services| head_size(&request) > services.limits.head_bytes);
        let mut request = request.map(|body| BudgetedBody::new(body, budget.clone()));
        request.extensions_mut().insert(Arc::clone(&lease));
        let response = (!is_head_too_large).then(|| handler(request));
        let context = Arc::clone(&context);
        async move {
            let response = match response {
                Some(response) => response.await,
                None => code_reply(ResultCode::HeadTooLarge, None),
            };
            let mut response = response.map(|body| LeasedBody::new(body, lease));
            if is_head_too_large {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            if context.is_stopping() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The operator configures this timeout; it covers the wait for the next request and the arrival of its head.
        .header_read_timeout(idle_time)
        .max_buf_size(max_part_bytes)
        .half_close(false)
        .keep_alive(!is_closing)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // A disconnect needs no log line; dropping the connection cancels the caller's request.
            _ = connection.as_mut() => return,
            () = lease.wait_yielded() => return,
            _ = phase.wait_for(|phase| *phase >= ServerPhase::Closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Size of the header fields of a request, in bytes as sent.
fn head_size<B>(request: &Request<B>) -> usize {
    let fields = request.headers().iter();
    fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES).sum()
}

/// Function that returns the status and body of a readiness check or a read of the metrics.
pub type StatusHandler = Arc<dyn Fn() -> (StatusCode, Vec<u8>) + Send + Sync>;

/// Answers every request at an address with the result of `handler`, until the process ends.
///
/// Logs an error and returns if the address cannot be bound.
pub async fn serve_status(address: SocketAddr, memory: Arc<MemoryBudget>, handler: StatusHandler) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string(), error = error.to_string(); "status_listener_failed");
            return;
        }
    };
    loop {
        let (stream, lease) = accept_connection(&listener, &memory).await;
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let budget = ReadBudget::default().with_lease(Arc::clone(&lease));
            let stream = accepted_stream(stream, budget.clone());
            let service = service_fn(move |_: Request<Incoming>| {
                budget.renew();
                let (status, body) = handler();
                async move { Ok::<_, Infallible>(text_reply(status, bytes::Bytes::from(body))) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(STATUS_TIMEOUT).max_buf_size(HEADER_LIMIT);
            // Clients may close these connections at any time, so errors are ignored.
            tokio::select! {
                _ = builder.serve_connection(TokioIo::new(stream), service) => {}
                () = lease.wait_yielded() => {}
            }
        });
    }
}
