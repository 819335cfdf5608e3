//! Accepts connections on the main and the control port. While the main port is closed, a socket that is bound without
//! listening reserves it, so that the kernel does not assign the port to another process before it opens again.

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

/// Opens and closes the main port as `desired_port` says, until the server stops.
pub(super) async fn run_main_port(listener: StdListener, shared: Arc<ServerShared>) {
    let Ok(address) = listener.local_addr() else { return };
    let Ok(mut listener) = TcpListener::from_std(listener) else { return };
    loop {
        accept_while_open(&listener, &shared).await;
        // Set before the listener is dropped: when `desired_port` says open again meanwhile, `is_settled` must not
        // mistake the listener that is being closed for the reopened one.
        shared.is_closing.store(true, Ordering::SeqCst);
        drop(listener);
        // When this fails, the port is not reserved; `listen_again` retries until it can be bound.
        let reserved_socket = bind_port(address);
        shared.is_listening.store(false, Ordering::SeqCst);
        shared.is_closing.store(false, Ordering::SeqCst);
        let mut desired_port = shared.desired_port.subscribe();
        let Ok(state) = desired_port.wait_for(|state| state.is_open || state.is_stopped).await.map(|state| *state)
        else {
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

/// Accepts connections until `desired_port` says closed.
async fn accept_while_open(listener: &TcpListener, shared: &Arc<ServerShared>) {
    let mut desired_port = shared.desired_port.subscribe();
    loop {
        let generation = desired_port.borrow().generation;
        let accepted = tokio::select! {
            biased;
            _ = desired_port.wait_for(|state| !state.is_open) => return,
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
    let mut desired_port = shared.desired_port.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = desired_port.wait_for(|state| state.is_stopped) => return,
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

/// Binds a socket to `address` without listening, so that the kernel refuses connections to the address.
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
