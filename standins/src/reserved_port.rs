//! Reserves ports for processes whose addresses must be known before they start.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// A loopback port that is bound but not listening; it is released when dropped.
///
/// The kernel assigns the port to no other socket that asks for a free one, and refuses connections to it. A listener
/// with `SO_REUSEADDR`, such as one of the standard library, can bind the port while it is reserved.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a free port on 127.0.0.1.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened, or no port is free.
    pub fn new() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self { address: socket.local_addr()?, _socket: socket })
    }

    /// Returns the loopback address with the reserved port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
