//! Tracks the attempts of store calls over several routes, and forwards store calls of other hosts.
//!
//! The method, path and body of a call of another host are forwarded unchanged, and only to the store that this host is
//! configured with. A host whose direct route to the store has failed reports this at once, so that the calling host
//! can use another peer.

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

/// Header of a response in which a host reports that it could not forward a call: `not_sent` or `answer_lost`.
pub const RELAY_ERROR_HEADER: &str = "camphorspring-relay-fault";

/// Value of [`RELAY_ERROR_HEADER`] for a call that was not sent to the store.
const NOT_SENT: &str = "not_sent";

/// Value of [`RELAY_ERROR_HEADER`] for a call that may have taken effect.
const ANSWER_LOST: &str = "answer_lost";

/// Timeout of a forwarded call: the wait of a feed call plus the time of a slow answer. Feed calls wait for half a
/// second with up to 100 hosts, and for at most one second with more hosts.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum body size of a forwarded call and of the store's response; enough for 1 MB of rows in encoded form.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time after which a connection of a peer without a call is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait after a failed accept, for example when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Router that all threads of a host share, so that each thread knows the failures seen by the others.
pub type SharedStoreRouter = Arc<Mutex<StoreRouter>>;

/// Runs `work` on a shared router while holding the lock.
pub fn with_store_router<T>(router: &Mutex<StoreRouter>, work: impl FnOnce(&mut StoreRouter) -> T) -> T {
    // A panic while the lock was held costs at worst one superfluous attempt on a failed route.
    work(&mut router.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Attempts of one call to the store, on one route after the other.
///
/// The call ends when it is answered, may not be repeated, or no other route is left.
#[derive(Debug)]
pub struct RoutedCall<'a> {
    router: &'a Mutex<StoreRouter>,
    /// Whether the call has no effect on the store, so that it may be repeated after a lost answer.
    is_read: bool,
    /// Number of attempts started.
    attempts: usize,
}

impl<'a> RoutedCall<'a> {
    /// Creates a call of which no attempt has started; `is_read` allows a repetition after a lost answer.
    #[must_use]
    pub fn new(router: &'a Mutex<StoreRouter>, is_read: bool) -> Self {
        Self { router, is_read, attempts: 0 }
    }

    /// Starts the next attempt and returns the route to use.
    pub fn next_route(&mut self) -> StoreRoute {
        self.attempts += 1;
        with_store_router(self.router, |router| router.next_route(boot_time()))
    }

    /// Records the result of an attempt; returns whether the result is final, so that no further attempt follows.
    pub fn is_done<T>(&self, route: StoreRoute, result: &Result<T, StoreCallError>) -> bool {
        let outcome = match result {
            Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => RouteOutcome::Refused,
            Err(StoreCallError::AnswerLost) => RouteOutcome::Lost,
            Ok(_) | Err(StoreCallError::Malformed) => RouteOutcome::Answered,
        };
        record_outcome(self.router, route, outcome);
        let can_repeat = outcome == RouteOutcome::Refused || (outcome == RouteOutcome::Lost && self.is_read);
        let has_alternative_route = with_store_router(self.router, |router| router.has_alternative_route(boot_time()));
        !can_repeat || !has_alternative_route || self.attempts > PEERS_PER_CALL
    }
}

/// Records the outcome of an attempt, and logs when the direct route fails or works again.
fn record_outcome(router: &Mutex<StoreRouter>, route: StoreRoute, outcome: RouteOutcome) {
    let (is_changed, has_failed) = with_store_router(router, |router| {
        (router.record(route, outcome, boot_time()), router.has_direct_route_failed())
    });
    if is_changed && has_failed {
        log::warn!(end:? = outcome; "store_unreachable_directly");
    } else if is_changed {
        log::info!("store_reachable_directly");
    }
}

/// Forwards the calls of peers to one store.
#[derive(Debug)]
struct StoreRelay {
    store: SocketAddr,
    router: SharedStoreRouter,
    pool: ConnectionPool,
}

/// Forwards the store calls of peers that arrive at `address` to `store`, until the process ends.
///
/// Logs an error and returns if the address cannot be bound.
pub async fn serve_peers(address: SocketAddr, store: SocketAddr, router: SharedStoreRouter) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string(), error = error.to_string(); "peer_listener_failed");
            return;
        }
    };
    let relay = Arc::new(StoreRelay { store, router, pool: ConnectionPool::new() });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let relay = Arc::clone(&relay);
                async move { Ok::<_, Infallible>(relay.forward(request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
            // Peers may close these connections at any time, so errors are ignored.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl StoreRelay {
    /// Forwards one call; a call that cannot be forwarded gets a response with [`RELAY_ERROR_HEADER`].
    async fn forward(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if with_store_router(&self.router, |router| router.has_direct_route_failed()) {
            return relay_error(NOT_SENT);
        }
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, MAX_BODY_BYTES).await else { return relay_error(NOT_SENT) };
        let mut builder = Request::builder().method(head.method).uri(head.uri).header("host", self.store.to_string());
        if !body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        let Ok(request) = builder.body(SendBody::new(body)) else { return relay_error(NOT_SENT) };
        let response = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await;
        response.unwrap_or_else(|_| relay_error(ANSWER_LOST))
    }

    async fn exchange(&self, request: Request<SendBody>) -> Response<Full<Bytes>> {
        let store_response = match self.pool.fetch(self.store, request, MAX_BODY_BYTES).await {
            Ok(response) => response,
            Err(ExchangeError::NotConnected) => return relay_error(NOT_SENT),
            Err(ExchangeError::Broken) => return relay_error(ANSWER_LOST),
        };
        let mut response = Response::new(Full::default());
        *response.status_mut() = store_response.status();
        *response.body_mut() = Full::new(store_response.into_body());
        response
    }
}

fn relay_error(kind: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response.headers_mut().insert(RELAY_ERROR_HEADER, hyper::header::HeaderValue::from_static(kind));
    response
}

/// Error that a host reported for a call that it could not forward; `None` when the response comes from the store.
#[must_use]
pub fn read_relay_error(headers: &hyper::HeaderMap) -> Option<ExchangeError> {
    let kind = headers.get(RELAY_ERROR_HEADER)?;
    Some(if kind == NOT_SENT { ExchangeError::NotConnected } else { ExchangeError::Broken })
}
