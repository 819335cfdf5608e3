//! Tracks the attempts of store calls over several routes, and forwards store calls of other hosts.
//!
//! The method, path and body of a call of another host are forwarded unchanged, and only to the store that this host is
//! configured with. A host whose direct route to the store has failed reports this at once, so that the calling host
//! can use another peer.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};

use crate::memory::{ConnectionLease, MemoryBudget, linger, receive_body};
use crate::prelude::*;
use crate::relay::connection_pool::{ConnectionPool, ExchangeError, SendBody};
use crate::relay::read_budget::BudgetedBody;
use crate::relay::reply::{ResponseBody, whole_body};
use crate::row_store::StoreCallError;
use crate::row_store::store_router::{PEERS_PER_CALL, RouteOutcome, StoreRoute, StoreRouter};

/// Header of a response in which a host reports that it could not forward a call: `not_sent`, `answer_lost` or `no_answer`.
pub const RELAY_ERROR_HEADER: &str = "camphorspring-relay-fault";

/// Value of [`RELAY_ERROR_HEADER`] for a call that was not sent to the store.
const NOT_SENT: &str = "not_sent";

/// Value of [`RELAY_ERROR_HEADER`] for a call that may have taken effect.
const ANSWER_LOST: &str = "answer_lost";

/// Value of [`RELAY_ERROR_HEADER`] for a request that a target answered with bytes that are no response. Hosts that do not know it
/// take it for [`ANSWER_LOST`].
const NO_ANSWER: &str = "no_answer";

/// Timeout of a forwarded call: the wait of a feed call plus the time of a slow answer. Feed calls wait for half a
/// second with up to 100 hosts, and for at most one second with more hosts.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum body size of a forwarded call and of the store's response; enough for 1 MB of rows in encoded form.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

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
pub struct StoreRelay {
    store: SocketAddr,
    router: SharedStoreRouter,
    pool: ConnectionPool,
    memory: Arc<MemoryBudget>,
}

impl StoreRelay {
    /// Creates a relay to `store` with a connection pool of its own, for use on the calling thread.
    #[must_use]
    pub fn new(store: SocketAddr, router: SharedStoreRouter, memory: Arc<MemoryBudget>) -> Self {
        Self { store, router, pool: ConnectionPool::new(), memory }
    }

    /// Forwards one call; a call that cannot be forwarded gets a response with [`RELAY_ERROR_HEADER`].
    pub async fn forward(&self, request: Request<BudgetedBody>) -> Response<ResponseBody> {
        if with_store_router(&self.router, |router| router.has_direct_route_failed()) {
            return relay_error(ExchangeError::NotConnected);
        }
        let (head, mut body) = request.into_parts();
        let received = receive_body(&self.memory, &mut body, MAX_BODY_BYTES);
        let Ok(Ok(received)) = tokio::time::timeout(CALL_TIMEOUT, received).await else {
            linger(&self.memory, body);
            return relay_error(ExchangeError::NotConnected);
        };
        if let Some(connection) = head.extensions.get::<Arc<ConnectionLease>>() {
            connection.settle();
        }
        let mut builder = Request::builder().method(head.method).uri(head.uri).header("host", self.store.to_string());
        if !received.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        let Ok(request) = builder.body(SendBody::from(received)) else {
            return relay_error(ExchangeError::NotConnected);
        };
        let response = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await;
        response.unwrap_or_else(|_| relay_error(ExchangeError::Broken))
    }

    async fn exchange(&self, request: Request<SendBody>) -> Response<ResponseBody> {
        let store_response = match self.pool.fetch(self.store, request, MAX_BODY_BYTES).await {
            Ok(response) => response,
            Err(error) => return relay_error(error),
        };
        let status = store_response.status();
        let mut response = Response::new(whole_body(store_response.into_body()));
        *response.status_mut() = status;
        response
    }
}

/// Response of a host that could not forward a call.
#[must_use]
pub fn relay_error(error: ExchangeError) -> Response<ResponseBody> {
    let kind = match error {
        ExchangeError::NotConnected => NOT_SENT,
        ExchangeError::Broken => ANSWER_LOST,
        ExchangeError::Malformed => NO_ANSWER,
    };
    let mut response = Response::new(whole_body(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response.headers_mut().insert(RELAY_ERROR_HEADER, hyper::header::HeaderValue::from_static(kind));
    response
}

/// Error that a host reported for a call that it could not forward; `None` when the response comes from the store.
#[must_use]
pub fn read_relay_error(headers: &hyper::HeaderMap) -> Option<ExchangeError> {
    let kind = headers.get(RELAY_ERROR_HEADER)?.as_bytes();
    Some(match kind {
        _ if kind == NOT_SENT.as_bytes() => ExchangeError::NotConnected,
        _ if kind == NO_ANSWER.as_bytes() => ExchangeError::Malformed,
        _ => ExchangeError::Broken,
    })
}
