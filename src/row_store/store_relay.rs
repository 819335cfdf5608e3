//! Passes calls of other hosts on to the store.
//!
//! Calls are passed on as they are, to the address of the own store only. A host whose own way to the store has failed
//! says so at once, so that its peer asks another one.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::prelude::*;
use crate::relay::connection_pool::{ConnectionPool, ExchangeError, SendBody, read_body};
use crate::row_store::StoreCallError;
use crate::row_store::store_router::{PEERS_PER_CALL, RouteOutcome, StoreRoute, StoreRouter};

/// Header of an answer that is the relay's own: `not_sent` or `answer_lost`.
pub const RELAY_FAULT: &str = "camphorspring-relay-fault";

/// Value of [`RELAY_FAULT`] for a call that did not reach the store.
const NOT_SENT: &str = "not_sent";

/// Value of [`RELAY_FAULT`] for a call that may have taken effect.
const ANSWER_LOST: &str = "answer_lost";

/// Longest time of a call: that of a feed, half a second, and of a slow answer.
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// Largest call or answer in bytes: 1 MB of rows, encoded.
const BYTE_LIMIT: usize = 4 * 1024 * 1024;

/// Time for which a connection of a peer is kept without a call.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Path to the store that the threads of a host share.
pub type SharedStoreRouter = Arc<Mutex<StoreRouter>>;

/// Works on a shared path.
pub fn with_store_router<T>(path: &Mutex<StoreRouter>, work: impl FnOnce(&mut StoreRouter) -> T) -> T {
    // A panic while the lock was held leaves a way that is tried once more than needed.
    work(&mut path.lock().unwrap_or_else(PoisonError::into_inner))
}

/// One call to the store, which goes one way after the other until it is answered, may not be repeated, or no other way
/// is left.
#[derive(Debug)]
pub struct RoutedCall<'a> {
    path: &'a Mutex<StoreRouter>,
    is_read: bool,
    tries: usize,
}

impl<'a> RoutedCall<'a> {
    /// Call that was not sent yet; one that reads may be repeated after a lost answer.
    #[must_use]
    pub fn new(path: &'a Mutex<StoreRouter>, is_read: bool) -> Self {
        Self { path, is_read, tries: 0 }
    }

    /// Way of the next try.
    pub fn next_route(&mut self) -> StoreRoute {
        self.tries += 1;
        with_store_router(self.path, |path| path.next_route(boot_time()))
    }

    /// Records how a try ended; returns whether its result is that of the call.
    pub fn is_done<T>(&self, way: StoreRoute, result: &Result<T, StoreCallError>) -> bool {
        let end = match result {
            Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => RouteOutcome::Refused,
            Err(StoreCallError::AnswerLost) => RouteOutcome::Lost,
            Ok(_) | Err(StoreCallError::Malformed) => RouteOutcome::Answered,
        };
        record_end(self.path, way, end);
        let may_repeat = end == RouteOutcome::Refused || (end == RouteOutcome::Lost && self.is_read);
        let has_alternative_route = with_store_router(self.path, |path| path.has_alternative_route(boot_time()));
        !may_repeat || !has_alternative_route || self.tries > PEERS_PER_CALL
    }
}

/// Records how a call ended, and logs when the direct way is lost or back.
fn record_end(path: &Mutex<StoreRouter>, way: StoreRoute, end: RouteOutcome) {
    let (is_changed, is_bad) =
        with_store_router(path, |path| (path.record(way, end, boot_time()), path.has_direct_failed()));
    if is_changed && is_bad {
        log::warn!(end:? = end; "store_unreachable_directly");
    } else if is_changed {
        log::info!("store_reachable_directly");
    }
}

#[derive(Debug)]
struct StoreRelay {
    store: SocketAddr,
    path: SharedStoreRouter,
    pool: ConnectionPool,
}

/// Passes on the calls of peers that arrive at `address`, until the process ends.
pub async fn serve_peers(address: SocketAddr, store: SocketAddr, path: SharedStoreRouter) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string(), error = error.to_string(); "peer_listener_failed");
            return;
        }
    };
    let relay = Arc::new(StoreRelay { store, path, pool: ConnectionPool::new() });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let relay = Arc::clone(&relay);
                async move { Ok::<_, Infallible>(relay.pass_on(request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIME);
            // Peers close these connections as they like.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl StoreRelay {
    async fn pass_on(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if with_store_router(&self.path, |path| path.has_direct_failed()) {
            return fault(NOT_SENT);
        }
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, BYTE_LIMIT).await else { return fault(NOT_SENT) };
        let mut sent = Request::builder().method(head.method).uri(head.uri).header("host", self.store.to_string());
        if !body.is_empty() {
            sent = sent.header("content-type", "application/json");
        }
        let Ok(sent) = sent.body(SendBody::new(body)) else { return fault(NOT_SENT) };
        let answered = tokio::time::timeout(CALL_LIMIT, self.exchange(sent)).await;
        answered.unwrap_or_else(|_| fault(ANSWER_LOST))
    }

    async fn exchange(&self, request: Request<SendBody>) -> Response<Full<Bytes>> {
        let answer = match self.pool.fetch(self.store, request, BYTE_LIMIT).await {
            Ok(answer) => answer,
            Err(ExchangeError::NotConnected) => return fault(NOT_SENT),
            Err(ExchangeError::Broken) => return fault(ANSWER_LOST),
        };
        let mut response = Response::new(Full::default());
        *response.status_mut() = answer.status();
        *response.body_mut() = Full::new(answer.into_body());
        response
    }
}

fn fault(kind: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response.headers_mut().insert(RELAY_FAULT, hyper::header::HeaderValue::from_static(kind));
    response
}

/// Fault of an answer that is the relay's own; `None` for one of the store.
#[must_use]
pub fn read_relay_error(headers: &hyper::HeaderMap) -> Option<ExchangeError> {
    let kind = headers.get(RELAY_FAULT)?;
    Some(if kind == NOT_SENT { ExchangeError::NotConnected } else { ExchangeError::Broken })
}
