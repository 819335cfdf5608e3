//! HTTP server with bounds on everything that a caller can make it hold.
//!
//! Hyper parses on a small tokio runtime. Each request runs as blocking code on a thread of a bounded pool; when all
//! are taken, the caller gets a refusal at once. A bound is set on open connections, on the size and time of a
//! request head and body, and on the time that a caller may leave its answer unread.

pub mod body;
pub mod connection;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, watch};

use crate::prelude::*;
pub use body::{BodySender, ReplyBody, StreamSendError};

/// Bounds of one server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most open connections.
    pub connections: usize,
    /// Most requests handled at one time.
    pub requests: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Time within which a request head must arrive.
    pub header_time: Duration,
    /// Time within which a request body must arrive.
    pub body_time: Duration,
    /// Time that an answer may wait for a caller that does not read.
    pub write_time: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 2000,
            requests: 512,
            body: BODY_LIMIT,
            header_time: HEADER_TIME,
            body_time: BODY_TIME,
            write_time: SLOW_READER_LIMIT,
        }
    }
}

/// One request, read whole.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty when there is none.
    pub query: String,
    /// Headers in the order received, names in lower case.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Vec<u8>,
    /// Set when the caller's connection closed before the answer was complete.
    pub caller_gone: Arc<AtomicBool>,
}

impl HttpRequest {
    /// First value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|pair| pair.name == name).map(|pair| pair.value.as_str())
    }

    /// First value of a query parameter, as written.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    /// Whether the caller's connection is closed.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.caller_gone.load(Ordering::Acquire)
    }
}

/// One header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderPair {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Answer to one request.
#[derive(Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Headers; length and transfer coding are added by the server.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: ReplyBody,
}

impl HttpReply {
    /// Reply with a whole body.
    #[must_use]
    pub fn whole(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body: ReplyBody::Whole(body) }.with_header("content-type", content_type)
    }

    /// Reply with a JSON body.
    #[must_use]
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        Self::whole(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
    }

    /// Reply whose body is sent piece by piece.
    #[must_use]
    pub fn stream(status: u16, content_type: &str, body: ReplyBody) -> Self {
        Self { status, headers: Vec::new(), body }.with_header("content-type", content_type)
    }

    /// The same reply with one more header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(HeaderPair { name: name.to_owned(), value: value.to_owned() });
        self
    }
}

/// Function that answers requests; it runs on a thread of its own and may block.
pub type RequestHandler = Arc<dyn Fn(HttpRequest) -> HttpReply + Send + Sync>;

/// Counters of a server, read by metrics and by a planned stop.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Open connections.
    pub connections: AtomicUsize,
    /// Requests whose answer is not complete.
    pub requests: AtomicUsize,
    /// Connections closed because the limit was reached.
    pub rejected_connections: AtomicUsize,
    /// Requests refused because all threads were taken.
    pub rejected_requests: AtomicUsize,
}

/// A listening server. Dropping it does not stop it; call [`HttpServer::stop`].
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    counters: Arc<ServerCounters>,
    stop: watch::Sender<bool>,
}

impl HttpServer {
    /// Binds `address` and serves until stopped.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(runtime: &Runtime, address: &str, limits: ServerLimits, handler: RequestHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counters = Arc::new(ServerCounters::default());
        let (stop, stopped) = watch::channel(false);
        let shared = connection::ServerShared {
            handler,
            connection_permits: Arc::new(Semaphore::new(limits.connections)),
            request_permits: Arc::new(Semaphore::new(limits.requests)),
            limits,
            counters: Arc::clone(&counters),
        };
        runtime.spawn(connection::accept_connections(listener, Arc::new(shared), stopped));
        Ok(Self { address, counters, stop })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of this server.
    #[must_use]
    pub fn counters(&self) -> &Arc<ServerCounters> {
        &self.counters
    }

    /// Closes the listener and idle connections, and waits until all answers are complete.
    ///
    /// Returns whether they were complete within `limit`.
    #[expect(clippy::must_use_candidate, reason = "tests stop servers without asking")]
    pub fn stop(&self, limit: Duration) -> bool {
        let _ = self.stop.send(true);
        let deadline = boot_time() + limit;
        while self.counters.requests.load(Ordering::Acquire) > 0
            || self.counters.connections.load(Ordering::Acquire) > 0
        {
            if boot_time() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }
}
