//! Server for callers, and the balancer's readiness checks.
//!
//! A planned stop first makes the host not ready and asks callers to close their connections; connections end once
//! their requests are answered.

use std::convert::Infallible;
use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::entry::host_context::HostContext;
use crate::prelude::*;
use crate::relay::reply::{ResponseBody, text_reply};

/// Wait after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Time that a connection may be idle before a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Function that answers a caller's request.
pub type CallerHandler = Arc<
    dyn Fn(Request<Incoming>) -> std::pin::Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>> + Send + Sync,
>;

/// Accepts connections until the process ends; `closing` turns true when open connections must end.
pub async fn serve_callers(
    context: Arc<HostContext>,
    listener: TcpListener,
    handler: CallerHandler,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(Arc::clone(&context), stream, Arc::clone(&handler), closing.clone()));
            }
            Err(error) => {
                log::warn!(error = error.to_string(); "accept_failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve_connection(
    context: Arc<HostContext>,
    stream: TcpStream,
    handler: CallerHandler,
    mut closing: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = context.view().services.as_ref().map(|services| services.limits);
    let idle_time = limits.map_or(DEFAULT_IDLE, |limits| limits.idle_time);
    let service = service_fn(move |request: Request<Incoming>| {
        let response = handler(request);
        let context = Arc::clone(&context);
        async move {
            let mut response = response.await;
            if context.is_stopping() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also bounds the time between two requests, which the operator sets.
        .header_read_timeout(idle_time)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A caller that broke off is no event of its own: its request is cancelled with the connection.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Function that answers a small question, such as a readiness check or a read of the metrics.
pub type StatusHandler = Arc<dyn Fn() -> (StatusCode, Vec<u8>) + Send + Sync>;

/// Answers every request at an address with `answer`, until the process ends.
pub async fn serve_status(address: SocketAddr, answer: StatusHandler) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string(), error = error.to_string(); "status_listener_failed");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let (status, body) = answer();
                async move { Ok::<_, Infallible>(text_reply(status, bytes::Bytes::from(body))) }
            });
            let builder = http1::Builder::new();
            // Those who ask close these connections as they like.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
