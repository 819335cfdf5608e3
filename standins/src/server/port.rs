//! The listening ports. A closed main port stays reserved, so that no other process gets it before it reopens.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

use super::ServerShared;
use super::connection::{PortKind, serve_connection};

/// Connections that the kernel queues before they are accepted.
const BACKLOG: u32 = 1024;

/// Wait after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(5);

pub(super) async fn run_main_port(listener: StdListener, shared: Arc<ServerShared>) {
    let Ok(address) = listener.local_addr() else { return };
    let Ok(mut listener) = TcpListener::from_std(listener) else { return };
    loop {
        accept_while_open(&listener, &shared).await;
        // Set before the port refuses: a restart must not take the listener that is being closed for the new one.
        shared.is_closing.store(true, Ordering::SeqCst);
        drop(listener);
        let reserved = bind_port(address);
        shared.is_listening.store(false, Ordering::SeqCst);
        shared.is_closing.store(false, Ordering::SeqCst);
        let mut port = shared.port.subscribe();
        let Ok(state) = port.wait_for(|state| state.is_open || state.is_stopped).await.map(|state| *state) else {
            return;
        };
        if state.is_stopped {
            return;
        }
        listener = listen_again(address).await;
        drop(reserved);
        shared.is_listening.store(true, Ordering::Release);
    }
}

async fn accept_while_open(listener: &TcpListener, shared: &Arc<ServerShared>) {
    let mut port = shared.port.subscribe();
    loop {
        let generation = port.borrow().generation;
        let accepted = tokio::select! {
            biased;
            _ = port.wait_for(|state| !state.is_open) => return,
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

pub(super) async fn run_control_port(listener: StdListener, shared: Arc<ServerShared>) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let mut port = shared.port.subscribe();
    loop {
        let accepted = tokio::select! {
            _ = port.wait_for(|state| state.is_stopped) => return,
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

/// A bound socket that does not listen: the kernel refuses connections to it.
fn bind_port(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match bind_port(address).and_then(|socket| socket.listen(BACKLOG)) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
