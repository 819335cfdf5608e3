//! Kept HTTP/1.1 connections to targets and to the store.
//!
//! A new connection costs a target a handshake, so connections are kept for as long as the other side announced. A
//! request that met a connection closed in between, before any byte was sent, goes out again on another one; in any
//! other case the caller of the pool learns that the request may have arrived.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::prelude::*;

/// Body of a request to a target.
pub type SendBody = Full<Bytes>;

/// Idle time after which a connection is not used again when the other side announced none.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Time before the announced idle limit at which a connection is given up, so that a request does not cross the close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Why an exchange gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection was made; the request was not sent.
    NotConnected,
    /// The request was sent, at least in part, and the connection broke.
    Broken,
}

/// One open connection.
#[derive(Debug)]
pub struct PooledConnection {
    address: SocketAddr,
    sender: http1::SendRequest<SendBody>,
    driver: JoinHandle<()>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // Closes the socket at once, which cancels what the target still does for it.
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    usable_until: BootTime,
}

/// An answer and the connection that it arrives on.
#[derive(Debug)]
pub struct Exchange {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    /// Connection; given back once the body was read to its end.
    pub connection: PooledConnection,
}

/// Connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicU64,
    reused: AtomicU64,
}

impl ConnectionPool {
    /// Empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Requests sent on a kept connection so far.
    #[must_use]
    pub fn reused(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }

    /// Addresses with usable idle connections, one entry for each, sorted.
    #[must_use]
    pub fn idle_addresses(&self) -> Vec<SocketAddr> {
        let now = boot_time();
        let Ok(idle) = self.idle.lock() else { return Vec::new() };
        let usable = idle.iter().filter(|entry| entry.usable_until > now && !entry.connection.sender.is_closed());
        let mut addresses: Vec<SocketAddr> = usable.map(|entry| entry.connection.address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Sends a request and waits for the head of the answer. Time limits are the caller's.
    ///
    /// # Errors
    ///
    /// No connection was made, or it broke.
    pub async fn send(&self, address: SocketAddr, request: Request<SendBody>) -> Result<Exchange, ExchangeError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(address) {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    self.reused.fetch_add(1, Ordering::Relaxed);
                    return Ok(Exchange { response, connection });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Broken),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        let response = connection.sender.send_request(request).await.map_err(|_| ExchangeError::Broken)?;
        Ok(Exchange { response, connection })
    }

    /// Sends a request, reads the whole answer of at most `limit` bytes and keeps the connection.
    ///
    /// # Errors
    ///
    /// No connection was made, or it broke before the end of the answer.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<SendBody>,
        limit: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let Exchange { response, connection } = self.send(address, request).await?;
        let (head, body) = response.into_parts();
        let bytes = read_body(body, limit).await?;
        self.give_back(connection, None);
        Ok(Response::from_parts(head, bytes))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, ExchangeError> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(ExchangeError::NotConnected)?;
        // Without it, a small request may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        self.opened.fetch_add(1, Ordering::Relaxed);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| ExchangeError::NotConnected)?;
        let driver = tokio::spawn(async move {
            // A broken connection shows as the fault of the exchange on it.
            let _ = driver.await;
        });
        Ok(PooledConnection { address, sender, driver })
    }

    /// Keeps a connection whose last answer was read to its end; `idle_limit` is what the other side announced.
    pub fn give_back(&self, connection: PooledConnection, idle_limit: Option<Duration>) {
        let limit = idle_limit.unwrap_or(DEFAULT_IDLE_LIMIT).saturating_sub(IDLE_MARGIN);
        if limit.is_zero() || connection.sender.is_closed() {
            return;
        }
        let usable_until = boot_time() + limit;
        if let Ok(mut idle) = self.idle.lock() {
            idle.push(IdleConnection { connection, usable_until });
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = boot_time();
        let mut idle = self.idle.lock().ok()?;
        idle.retain(|entry| entry.usable_until > now && !entry.connection.sender.is_closed());
        // The one used last stays warm longest; the others can expire.
        let position = idle.iter().rposition(|entry| entry.connection.address == address)?;
        Some(idle.remove(position).connection)
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// The body was cut off or is larger.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ExchangeError> {
    let collected = Limited::new(body, limit).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| ExchangeError::Broken)
}
