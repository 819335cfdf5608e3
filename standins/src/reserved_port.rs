//! Ports for processes that must know their addresses before they start.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// A loopback port that is bound and not listening.
///
/// The kernel gives it to nobody else, refuses connections to it, and lets a listener that reuses addresses, as those
/// of the standard library do, bind it beside this one.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a free port.
    ///
    /// # Errors
    ///
    /// The kernel has no free port.
    pub fn new() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { address: socket.local_addr()?, _socket: socket })
    }

    /// The address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
