//! Pool of HTTP/1.1 connections to targets, to the store and to peers.
//!
//! A new connection costs a target a handshake, so connections are kept for reuse, up to the idle timeout that the
//! server announced or a default one. A request is sent again on another connection if the server had closed an idle
//! connection before any byte of the request was sent. After any other failure on a connection, the error says that the
//! request may have arrived.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

pub use crate::memory::SendBody;
use crate::prelude::*;
use crate::relay::read_budget::{BudgetedBody, BudgetedStream, MAX_PART_BYTES, ReadBudget};
use crate::relay::target_response::is_final_status;

/// Idle timeout that is assumed for a server that announced none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time before the idle timeout from which a connection is no longer reused, so that a request is not sent while the
/// server closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time within which a process must say which one it is.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);

/// Most bytes of the answer to that question.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Reason why a request has no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be made; the request was not sent.
    NotConnected,
    /// The connection broke after the request may have been sent, or the response body was cut off or too large.
    Broken,
    /// The server sent bytes that are no response, after the request may have been sent.
    Malformed,
}

/// Error of an exchange on a connection that was open, before the head of the response.
fn head_error(error: &hyper::Error) -> ExchangeError {
    if error.is_parse() { ExchangeError::Malformed } else { ExchangeError::Broken }
}

/// An open connection; dropping it resets the connection.
#[derive(Debug)]
pub struct PooledConnection {
    address: SocketAddr,
    sender: http1::SendRequest<SendBody>,
    driver: JoinHandle<()>,
    budget: ReadBudget,
    /// Start of the process at the other end, if it was asked for; it cannot change while the connection lives.
    started_ms: Option<u64>,
}

/// Process that must be at the other end of a connection, and how to ask which one is.
#[derive(Debug)]
pub struct ExpectedStart {
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Request for what the process says of itself.
    pub question: Request<SendBody>,
    /// Decodes the start from the answer.
    pub decode: fn(&[u8]) -> Option<u64>,
}

impl PooledConnection {
    /// Address that the connection was opened to: that of the target, or of a peer that passes requests on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks the process at the other end for its start; `None` when it does not tell.
    async fn ask_start(&mut self, question: Request<SendBody>, decode: fn(&[u8]) -> Option<u64>) -> Option<u64> {
        self.sender.ready().await.ok()?;
        self.budget.renew();
        let response = self.sender.send_request(question).await.ok()?;
        let (head, body) = self.take_head(response).into_parts();
        let body = read_body(body, MAX_REPORT_BYTES).await.ok()?;
        decode(&body).filter(|_| head.status.is_success())
    }

    /// Renews the budget for the body of a response whose head has arrived.
    fn take_head(&self, response: Response<Incoming>) -> Response<BudgetedBody> {
        self.budget.renew();
        response.map(|body| BudgetedBody::new(body, self.budget.clone()))
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        // Closes the socket at once, which makes the server cancel a request that is still running.
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    usable_until: BootTime,
}

/// A response whose body has not been read yet, and the connection on which the body arrives.
#[derive(Debug)]
pub struct Exchange {
    /// Head, and body still to be read.
    pub response: Response<BudgetedBody>,
    /// Connection to return with [`ConnectionPool::give_back`] once the body has been read to its end.
    pub connection: PooledConnection,
    /// Whether the connection was used before, so that a late response to an earlier request may arrive on it.
    pub is_reused: bool,
}

/// Idle connections for reuse, and counts of opened and reused connections.
#[derive(Debug)]
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle: Mutex<Vec<IdleConnection>>,
    opened: AtomicU64,
    reused: AtomicU64,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionPool {
    /// Creates a pool without connections; connections are opened on demand, within [`CONNECT_TIMEOUT`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            connect_timeout: CONNECT_TIMEOUT,
            idle: Mutex::default(),
            opened: AtomicU64::new(0),
            reused: AtomicU64::new(0),
        }
    }

    /// Creates a pool for targets, and for peers that pass requests on, whose connections must open within
    /// [`TARGET_CONNECT_TIMEOUT`].
    #[must_use]
    pub fn for_targets() -> Self {
        Self { connect_timeout: TARGET_CONNECT_TIMEOUT, ..Self::new() }
    }

    /// Number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Number of responses received on reused connections so far.
    #[must_use]
    pub fn reused(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }

    /// Addresses of the usable idle connections, sorted; an address occurs once for each of its connections.
    #[must_use]
    pub fn idle_addresses(&self) -> Vec<SocketAddr> {
        let now = boot_time();
        let Ok(idle) = self.idle.lock() else { return Vec::new() };
        let usable = idle.iter().filter(|entry| entry.usable_until > now && !entry.connection.sender.is_closed());
        let mut addresses: Vec<SocketAddr> = usable.map(|entry| entry.connection.address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Sends a request and waits for the head of the response, on an idle connection if there is one.
    ///
    /// Only connecting is limited in time, to the timeout of the pool.
    ///
    /// # Errors
    ///
    /// No connection could be made, or the connection broke, or carried no response, before the head of one arrived.
    pub async fn send(&self, address: SocketAddr, request: Request<SendBody>) -> Result<Exchange, ExchangeError> {
        let mut request = request;
        while let Some(mut connection) = self.take_idle(address) {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            connection.budget.renew();
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let response = connection.take_head(response);
                    self.reused.fetch_add(1, Ordering::Relaxed);
                    return Ok(Exchange { response, connection, is_reused: true });
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(head_error(error.error())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        let response = connection.sender.send_request(request).await.map_err(|error| head_error(&error))?;
        let response = connection.take_head(response);
        Ok(Exchange { response, connection, is_reused: false })
    }

    /// Like [`Self::send`], on a connection to the expected process only; `None`, and nothing was sent, when another process is at
    /// the other end, or does not say which one it is. A connection is asked once.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_to_start(
        &self,
        address: SocketAddr,
        request: Request<SendBody>,
        expected: ExpectedStart,
    ) -> Result<Option<Exchange>, ExchangeError> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        if connection.started_ms.is_none() {
            let asked =
                tokio::time::timeout(QUESTION_TIMEOUT, connection.ask_start(expected.question, expected.decode));
            connection.started_ms = asked.await.ok().flatten();
        }
        if connection.started_ms != Some(expected.started_ms) {
            return Ok(None);
        }
        connection.sender.ready().await.map_err(|_| ExchangeError::NotConnected)?;
        connection.budget.renew();
        let response = connection.sender.send_request(request).await.map_err(|error| head_error(&error))?;
        let response = connection.take_head(response);
        // The connection has carried the question, if nothing else.
        Ok(Some(Exchange { response, connection, is_reused: true }))
    }

    /// Sends a request, reads the whole response and keeps the connection for the default idle time.
    ///
    /// Only connecting is limited in time, to the timeout of the pool.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotConnected`] if no connection could be made. [`ExchangeError::Broken`] if the connection broke before the
    /// end of the response, or carried none, or if its status is none of HTTP, or its body is larger than `max_bytes`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<SendBody>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let sent = self.send(address, request).await;
        let Exchange { response, connection, .. } = sent.map_err(|error| match error {
            ExchangeError::Malformed => ExchangeError::Broken,
            error => error,
        })?;
        let (head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(ExchangeError::Broken);
        }
        let bytes = read_body(body, max_bytes).await?;
        self.give_back(connection, None);
        Ok(Response::from_parts(head, bytes))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, ExchangeError> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connect).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(ExchangeError::NotConnected)?;
        // With Nagle's algorithm, a small request could wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        // Closing the socket resets the connection. Otherwise the kernel would go on sending an abandoned request while
        // a link is cut, and the server would get it seconds later.
        if let Err(error) = stream.set_zero_linger() {
            log::warn!(address:% = address, error = error.to_string(); "linger_not_set");
        }
        self.opened.fetch_add(1, Ordering::Relaxed);
        let budget = ReadBudget::default();
        let stream = TokioIo::new(BudgetedStream::new(stream, budget.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_PART_BYTES).handshake(stream).await;
        let (sender, driver) = handshake.map_err(|_| ExchangeError::NotConnected)?;
        let driver = tokio::spawn(async move {
            // A broken connection is reported as the error of the exchange that uses the connection.
            let _ = driver.await;
        });
        Ok(PooledConnection { address, sender, driver, budget, started_ms: None })
    }

    /// Keeps a connection for reuse; the last response on the connection must have been read to its end.
    ///
    /// `idle_timeout` is the one that the server announced; `None` assumes a default. The connection is closed instead
    /// if the timeout is too short for reuse, or the server has closed the connection.
    pub fn give_back(&self, connection: PooledConnection, idle_timeout: Option<Duration>) {
        let reusable_time = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        if reusable_time.is_zero() || connection.sender.is_closed() {
            return;
        }
        let usable_until = boot_time() + reusable_time;
        if let Ok(mut idle) = self.idle.lock() {
            idle.push(IdleConnection { connection, usable_until });
        }
    }

    /// Whether the server has closed a connection that was idle for less than its timeout, as at the end of its process. Forgets
    /// these connections.
    #[must_use]
    pub fn has_lost_idle(&self, address: SocketAddr) -> bool {
        let now = boot_time();
        let Ok(mut idle) = self.idle.lock() else { return false };
        let is_lost = |entry: &IdleConnection| {
            let connection = &entry.connection;
            connection.address == address && entry.usable_until > now && connection.sender.is_closed()
        };
        let count = idle.len();
        idle.retain(|entry| !is_lost(entry));
        idle.len() < count
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = boot_time();
        let mut idle = self.idle.lock().ok()?;
        // Closed ones stay until their timeout, for `has_lost_idle`.
        idle.retain(|entry| entry.usable_until > now);
        // Reusing the most recently used connection lets surplus connections expire.
        let is_usable = |connection: &PooledConnection| connection.address == address && !connection.sender.is_closed();
        let position = idle.iter().rposition(|entry| is_usable(&entry.connection))?;
        Some(idle.remove(position).connection)
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// [`ExchangeError::Broken`] if the body was cut off or is larger than `max_bytes`.
pub async fn read_body<B: Body>(body: B, max_bytes: usize) -> Result<Bytes, ExchangeError>
where
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, max_bytes).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| ExchangeError::Broken)
}
