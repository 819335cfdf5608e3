//! Accepts connections on the main and the control port. While the main port is closed, a socket that is bound without
//! listening reserves it, so that no other process gets the port before it opens again.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

use super::ServerShared;
use super::connection::{PortKind, serve_connection};

/// Connections that the kernel queues until they are accepted.
const MAX_PENDING_CONNECTIONS: u32 = 1024;

/// Delay after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Opens and closes the main port as `port_state` says, until the server stops.
pub(super) async fn run_main_port(listener: StdListener, shared: Arc<ServerShared>) {
    let Ok(address) = listener.local_addr() else { return };
    let Ok(mut listener) = TcpListener::from_std(listener) else { return };
    loop {
        accept_while_open(&listener, &shared).await;
        // Set before the listener is dropped: when `port_state` says open again meanwhile, `is_settled` must not take
        // the listener that is being closed for the next one.
        shared.is_closing.store(true, Ordering::SeqCst);
        drop(listener);
        let reserved_socket = bind_port(address);
        shared.is_listening.store(false, Ordering::SeqCst);
        shared.is_closing.store(false, Ordering::SeqCst);
        let mut port_state = shared.port_state.subscribe();
        let Ok(state) = port_state.wait_for(|state| state.is_open || state.is_stopped).await.map(|state| *state) else {
            return;
        };
        if state.is_stopped {
            return;
        }
        listener = listen_again(address).await;
        drop(reserved_socket);
        shared.is_listening.store(true, Ordering::Release);
    }
}

/// Accepts connections until `port_state` says closed.
async fn accept_while_open(listener: &TcpListener, shared: &Arc<ServerShared>) {
    let mut port_state = shared.port_state.subscribe();
    loop {
        let generation = port_state.borrow().generation;
        let accepted = tokio::select! {
            biased;
            _ = port_state.wait_for(|state| !state.is_open) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(shared), PortKind::Main, generation));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Accepts connections on the control port until the server stops.
pub(super) async fn run_control_port(listener: StdListener, shared: Arc<ServerShared>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let mut port_state = shared.port_state.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = port_state.wait_for(|state| state.is_stopped) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&shared), PortKind::Control, 0));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Binds a socket without listening, so that the kernel refuses connections to it.
fn bind_port(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Listens on a reserved address, and retries until that succeeds.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match bind_port(address).and_then(|socket| socket.listen(MAX_PENDING_CONNECTIONS)) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
