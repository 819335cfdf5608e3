//! All links of one host: listener, connections, address book.

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
use super::link::{HELLO_LIMIT, exchange_hello, link_config, run_link};
use super::peer_book::{Connection, OutgoingFrame, PeerBook, SendStep};
use super::peer_counters::kind_of;
use super::{FrameHandler, FrameSender, PeerAddress, PeerCounters};
use crate::control::HostIdentity;
use crate::generated::peer_messages::PeerFrame;
use crate::prelude::*;

/// Most links that peers may open to this host.
const ACCEPTED_LINKS: usize = 2048;

/// Wait after a failed accept, such as one for lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Path of the links.
const PEER_PATH: &str = "/peer";

/// Who this host is, for its hello.
#[derive(Debug, Clone)]
pub struct PeerCredentials {
    /// Host, failure domain and incarnation.
    pub origin: HostIdentity,
    /// Shared secret of all hosts.
    pub cluster_token: String,
}

pub(super) struct NetworkShared {
    pub(super) origin: HostIdentity,
    pub(super) cluster_token: String,
    pub(super) handler: FrameHandler,
    pub(super) counters: PeerCounters,
    book: Mutex<PeerBook>,
    runtime: Handle,
    stop: watch::Sender<bool>,
}

/// Links of one host.
#[derive(Clone)]
pub struct PeerNetwork {
    shared: Arc<NetworkShared>,
    address: SocketAddr,
}

impl PeerNetwork {
    /// Listens on `address`, and gives each frame that arrives to `handler`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(
        runtime: &Handle,
        address: &str,
        identity: PeerCredentials,
        handler: FrameHandler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(NetworkShared {
            origin: identity.origin,
            cluster_token: identity.cluster_token,
            handler,
            counters: PeerCounters::default(),
            book: Mutex::new(PeerBook::default()),
            runtime: runtime.clone(),
            stop,
        });
        runtime.spawn(accept_links(listener, Arc::clone(&shared), stopped));
        Ok(Self { shared, address })
    }

    /// Address that this host listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the links.
    #[must_use]
    pub fn counters(&self) -> &PeerCounters {
        &self.shared.counters
    }

    /// Replaces the address book; hosts that are not in it are not connected to.
    pub fn set_addresses(&self, addresses: &[PeerAddress]) {
        self.shared.book().set_addresses(addresses);
    }

    /// Function that sends frames on these links.
    #[must_use]
    pub fn sender(&self) -> FrameSender {
        let shared = Arc::clone(&self.shared);
        Arc::new(move |host, frame| send_frame(&shared, host, &frame))
    }

    /// Closes the listener and all links.
    pub fn stop(&self) {
        let _ = self.shared.stop.send(true);
        self.shared.book().close_all();
    }
}

impl NetworkShared {
    fn book(&self) -> MutexGuard<'_, PeerBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn send_frame(shared: &Arc<NetworkShared>, host: &str, frame: &PeerFrame) -> bool {
    let Ok(bytes) = encode_frame(frame) else {
        log::error!(peer = host, code = ResultCode::PeerFrame.number(); "peer_frame_too_large");
        return false;
    };
    let frame = OutgoingFrame { kind: kind_of(frame), bytes };
    let step = shared.book().send(host, frame, boot_time());
    match step {
        SendStep::Queued => true,
        SendStep::Connect(connection) => {
            shared.runtime.spawn(open_link(connection, Arc::clone(shared)));
            true
        }
        SendStep::Dropped => {
            shared.counters.frames_dropped.inc();
            false
        }
    }
}

async fn open_link(connection: Connection, shared: Arc<NetworkShared>) {
    let Connection { host, address, link_number, queue } = connection;
    match connect_peer(&host, &address, &shared).await {
        Ok((socket, origin)) => {
            shared.book().connection_opened(&host);
            shared.counters.links_open.inc();
            run_link(socket, &origin, &shared, queue, shared.stop.subscribe()).await;
            shared.counters.links_open.dec();
        }
        Err(code) => {
            log::debug!(peer = host.as_str(), address = address.as_str(), code = code.number(); "peer_connection_failed");
            shared.book().connection_failed(&host, boot_time());
        }
    }
    shared.book().link_closed(&host, link_number);
}

type ClientSocket = tokio_tungstenite::WebSocketStream<TcpStream>;

async fn connect_peer(
    host: &str,
    address: &str,
    shared: &NetworkShared,
) -> Result<(ClientSocket, HostIdentity), ResultCode> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = stream else { return Err(ResultCode::PeerFrame) };
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}{PEER_PATH}");
    let handshake = timeout(HELLO_LIMIT, client_async_with_config(url, stream, Some(link_config()))).await;
    let Ok(Ok((mut socket, _))) = handshake else { return Err(ResultCode::PeerFrame) };
    let origin = exchange_hello(&mut socket, shared).await.inspect_err(|code| reject_hello(shared, address, *code))?;
    if origin.host != host {
        // The address book lags: another host has taken this address.
        log::info!(peer = host, found = origin.host.as_str(), address = address; "peer_address_reused");
        return Err(ResultCode::PeerToken);
    }
    Ok((socket, origin))
}

async fn accept_links(listener: TcpListener, shared: Arc<NetworkShared>, mut stopped: watch::Receiver<bool>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let permits = Arc::new(Semaphore::new(ACCEPTED_LINKS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            serve_link(stream, address, &shared).await;
            drop(permit);
        });
    }
}

async fn serve_link(stream: TcpStream, address: SocketAddr, shared: &Arc<NetworkShared>) {
    let _ = stream.set_nodelay(true);
    let handshake = accept_hdr_async_with_config(stream, check_path, Some(link_config()));
    let Ok(Ok(mut socket)) = timeout(HELLO_LIMIT, handshake).await else { return };
    let origin = match exchange_hello(&mut socket, shared).await {
        Ok(origin) => origin,
        Err(code) => {
            reject_hello(shared, &address.to_string(), code);
            return;
        }
    };
    let (link_number, queue) = shared.book().adopt_link(&origin.host);
    shared.counters.links_open.inc();
    run_link(socket, &origin, shared, queue, shared.stop.subscribe()).await;
    shared.counters.links_open.dec();
    shared.book().link_closed(&origin.host, link_number);
}

fn reject_hello(shared: &NetworkShared, address: &str, code: ResultCode) {
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
