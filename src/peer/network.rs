//! All links of one host. Owns the listener, opens connections to peers on demand and keeps the address book.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::{accept_hdr_async_with_config, client_async_with_config};

use super::frame_codec::encode_frame;
use super::link::{HELLO_TIMEOUT, exchange_hello, link_config, run_link};
use super::peer_counters::frame_kind;
use super::peer_table::{OutgoingFrame, PeerTable, PendingConnection, QueueOutcome};
use super::{FrameHandler, FrameSender, PeerAddress, PeerCounters};
use crate::control::HostIdentity;
use crate::generated::peer_messages::PeerFrame;
use crate::memory::{ConnectionLease, MemoryBudget, accept_connection};
use crate::prelude::*;

/// Most links that other hosts may have open to this host at a time; further connections are dropped.
const MAX_ACCEPTED_LINKS: usize = 2048;

/// URL path of the WebSocket upgrade request.
const PEER_PATH: &str = "/peer";

/// What a host states and proves in its hello.
#[derive(Debug, Clone)]
pub struct PeerCredentials {
    /// Identity of this host.
    pub origin: HostIdentity,
    /// Shared secret of all hosts.
    pub cluster_token: String,
}

pub(super) struct NetworkShared {
    pub(super) identity: HostIdentity,
    pub(super) cluster_token: String,
    pub(super) handler: FrameHandler,
    pub(super) counters: PeerCounters,
    peers: Mutex<PeerTable>,
    runtime: Handle,
    stop: watch::Sender<bool>,
}

/// Handle of all links of one host; clones share the same links.
#[derive(Clone)]
pub struct PeerNetwork {
    shared: Arc<NetworkShared>,
    address: SocketAddr,
}

impl PeerNetwork {
    /// Listens on `address` and passes each frame that arrives to `handler`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the listener cannot be set up.
    pub fn start(
        runtime: &Handle,
        address: &str,
        credentials: PeerCredentials,
        handler: FrameHandler,
        memory: Arc<MemoryBudget>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(NetworkShared {
            identity: credentials.origin,
            cluster_token: credentials.cluster_token,
            handler,
            counters: PeerCounters::default(),
            peers: Mutex::new(PeerTable::default()),
            runtime: runtime.clone(),
            stop,
        });
        runtime.spawn(accept_links(listener, Arc::clone(&shared), memory, stopped));
        Ok(Self { shared, address })
    }

    /// Address that the listener is bound to, with the actual port when port 0 was asked for.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of all links, open and closed, since the start.
    #[must_use]
    pub fn counters(&self) -> &PeerCounters {
        &self.shared.counters
    }

    /// Replaces the address book. No connection is opened to a host that is not in it; links that are open stay.
    pub fn set_addresses(&self, addresses: &[PeerAddress]) {
        self.shared.lock_peers().set_addresses(addresses);
    }

    /// Returns a function that queues frames for other hosts and opens connections as needed.
    #[must_use]
    pub fn sender(&self) -> FrameSender {
        let shared = Arc::clone(&self.shared);
        Arc::new(move |host, frame| send_frame(&shared, host, &frame))
    }

    /// Tells the listener and all links to close; returns without waiting for them.
    pub fn stop(&self) {
        let _ = self.shared.stop.send(true);
        self.shared.lock_peers().close_all();
    }
}

impl NetworkShared {
    fn lock_peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send_frame(shared: &Arc<NetworkShared>, host: &str, frame: &PeerFrame) -> bool {
    let Ok(bytes) = encode_frame(frame) else {
        // Also logged, under the same name, for a frame that cannot be encoded.
        log::error!(peer = host, code = ResultCode::PeerFrame.number(); "peer_frame_too_large");
        return false;
    };
    let frame = OutgoingFrame { kind: frame_kind(frame), bytes };
    let outcome = shared.lock_peers().send(host, frame, boot_time());
    match outcome {
        QueueOutcome::Queued => true,
        QueueOutcome::Connect(connection) => {
            shared.runtime.spawn(open_link(connection, Arc::clone(shared)));
            true
        }
        QueueOutcome::Dropped => {
            shared.counters.frames_dropped.inc();
            false
        }
    }
}

async fn open_link(connection: PendingConnection, shared: Arc<NetworkShared>) {
    let PendingConnection { host, address, link_number, queue } = connection;
    match connect_peer(&host, &address, &shared).await {
        Ok((socket, peer_identity)) => {
            shared.lock_peers().record_connection_opened(&host);
            shared.counters.links_open.inc();
            run_link(socket, &peer_identity, &shared, queue, shared.stop.subscribe()).await;
            shared.counters.links_open.dec();
        }
        Err(code) => {
            log::debug!(peer = host.as_str(), address = address.as_str(), code = code.number(); "peer_connection_failed");
            shared.lock_peers().record_connection_failure(&host, boot_time());
        }
    }
    shared.lock_peers().record_link_closed(&host, link_number);
}

type ClientSocket = tokio_tungstenite::WebSocketStream<TcpStream>;

async fn connect_peer(
    host: &str,
    address: &str,
    shared: &NetworkShared,
) -> Result<(ClientSocket, HostIdentity), ResultCode> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    // The code only appears in the debug log line; a failed connection or handshake has no code of its own.
    let Ok(Ok(stream)) = stream else { return Err(ResultCode::PeerFrame) };
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}{PEER_PATH}");
    let handshake = timeout(HELLO_TIMEOUT, client_async_with_config(url, stream, Some(link_config()))).await;
    let Ok(Ok((mut socket, _))) = handshake else { return Err(ResultCode::PeerFrame) };
    let peer_identity =
        exchange_hello(&mut socket, shared).await.inspect_err(|code| record_rejected_hello(shared, address, *code))?;
    if peer_identity.host != host {
        // The address book is out of date: another host now uses this address. That host has proved the token, but not
        // as the expected host, so the code is the one for a wrong proof.
        log::info!(peer = host, found = peer_identity.host.as_str(), address = address; "peer_address_reused");
        return Err(ResultCode::PeerToken);
    }
    Ok((socket, peer_identity))
}

async fn accept_links(
    listener: TcpListener,
    shared: Arc<NetworkShared>,
    memory: Arc<MemoryBudget>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let accept_limit = Arc::new(Semaphore::new(MAX_ACCEPTED_LINKS));
    loop {
        let (stream, lease) = tokio::select! {
            accepted = accept_connection(&listener, &memory) => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let Ok(accept_permit) = Arc::clone(&accept_limit).try_acquire_owned() else { continue };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            tokio::select! {
                () = serve_link(stream, &lease, &shared) => {}
                () = lease.wait_yielded() => {}
            }
            drop(accept_permit);
        });
    }
}

async fn serve_link(stream: TcpStream, lease: &ConnectionLease, shared: &Arc<NetworkShared>) {
    let address = stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
    let _ = stream.set_nodelay(true);
    let handshake = accept_hdr_async_with_config(stream, check_path, Some(link_config()));
    let Ok(Ok(mut socket)) = timeout(HELLO_TIMEOUT, handshake).await else { return };
    let peer_identity = match exchange_hello(&mut socket, shared).await {
        Ok(peer_identity) => peer_identity,
        Err(code) => {
            record_rejected_hello(shared, &address, code);
            return;
        }
    };
    // A link to a host that has proved itself stays.
    lease.settle();
    let (link_number, queue) = shared.lock_peers().replace_sending_link(&peer_identity.host);
    shared.counters.links_open.inc();
    run_link(socket, &peer_identity, shared, queue, shared.stop.subscribe()).await;
    shared.counters.links_open.dec();
    shared.lock_peers().record_link_closed(&peer_identity.host, link_number);
}

fn record_rejected_hello(shared: &NetworkShared, address: &str, code: ResultCode) {
    shared.counters.links_rejected.inc();
    log::warn!(address = address, code = code.number(); "peer_hello_rejected");
}

#[expect(clippy::result_large_err, reason = "the signature is set by the WebSocket library")]
fn check_path(request: &Request, response: Response) -> Result<Response, ErrorResponse> {
    if request.uri().path() == PEER_PATH {
        return Ok(response);
    }
    let mut refusal = ErrorResponse::new(None);
    *refusal.status_mut() = tokio_tungstenite::tungstenite::http::StatusCode::NOT_FOUND;
    Err(refusal)
}
