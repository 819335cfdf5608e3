//! Server for the other hosts of the installation: passes on their calls to the store, and their requests to targets.

use std::convert::Infallible;
use std::net::SocketAddr;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::entry::host_context::HostContext;
use crate::memory::{LeasedBody, accept_connection};
use crate::prelude::*;
use crate::relay::connection_pool::ConnectionPool;
use crate::relay::read_budget::{BudgetedBody, MAX_PART_BYTES, ReadBudget, accepted_stream};
use crate::relay::reply::ResponseBody;
use crate::relay::request_forward::forward_request;
use crate::relay::target_relay::TARGET_HEADER;
use crate::row_store::store_relay::{SharedStoreRouter, StoreRelay};

/// Time after which a connection of a peer without a call is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What the connections of all peers use.
#[derive(Debug)]
struct PeerServer {
    context: Arc<HostContext>,
    store_relay: StoreRelay,
    /// Connections to targets for requests of peers, on the thread of the server.
    pool: Arc<ConnectionPool>,
}

impl PeerServer {
    async fn answer(&self, request: Request<BudgetedBody>) -> Response<ResponseBody> {
        if request.headers().contains_key(TARGET_HEADER) {
            forward_request(&self.context, &self.pool, request).await
        } else {
            self.store_relay.forward(request).await
        }
    }
}

/// Serves the peers that connect to `address`, until the process ends; `store` is the address of the store.
///
/// Logs an error and returns if the address cannot be bound.
pub async fn serve_peers(context: Arc<HostContext>, address: SocketAddr, store: SocketAddr, router: SharedStoreRouter) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address = address.to_string(), error = error.to_string(); "peer_listener_failed");
            return;
        }
    };
    let pool = Arc::new(ConnectionPool::for_targets());
    let store_relay = StoreRelay::new(store, router, Arc::clone(&context.memory));
    let server = Arc::new(PeerServer { context, store_relay, pool });
    loop {
        let (stream, lease) = accept_connection(&listener, &server.context.memory).await;
        let _ = stream.set_nodelay(true);
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            let budget = ReadBudget::default().with_lease(Arc::clone(&lease));
            let stream = accepted_stream(stream, budget.clone());
            let service_lease = Arc::clone(&lease);
            let service = service_fn(move |request: Request<Incoming>| {
                let (server, lease) = (Arc::clone(&server), Arc::clone(&service_lease));
                budget.renew();
                lease.begin_request(!request.body().is_end_stream());
                let mut request = request.map(|body| BudgetedBody::new(body, budget.clone()));
                request.extensions_mut().insert(Arc::clone(&lease));
                async move {
                    let response = server.answer(request).await;
                    Ok::<_, Infallible>(response.map(|body| LeasedBody::new(body, lease)))
                }
            });
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .half_close(false)
                .max_buf_size(MAX_PART_BYTES);
            // Peers may close these connections at any time, so errors are ignored.
            tokio::select! {
                _ = builder.serve_connection(TokioIo::new(stream), service) => {}
                () = lease.wait_yielded() => {}
            }
        });
    }
}
