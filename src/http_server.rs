//! HTTP server that bounds the memory, threads and connections that callers can occupy.
//!
//! Hyper reads requests on a tokio runtime; each handler call then blocks a thread of the runtime's blocking pool. A
//! request beyond [`ServerLimits::requests`] is refused at once. Open connections, the size and arrival time of request
//! heads and bodies, and the time that a response may stay unread are bounded too.

pub mod body;
pub mod connection;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, watch};

use crate::memory::MemoryBudget;
use crate::prelude::*;
pub use body::{BodySender, ReplyBody, StreamSendError};

/// What one server accepts before it refuses requests or closes connections.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most open connections; an idle one is closed for a further one, or the further one if none is idle.
    pub connections: usize,
    /// Most handler calls at one time; a further request is refused with `HostBusy`.
    pub requests: usize,
    /// Largest request body in bytes; a larger one is refused with `TooLarge`.
    pub body_bytes: usize,
    /// Time within which a whole request head must arrive; then the connection is closed.
    pub header_timeout: Duration,
    /// Time within which a whole request body must arrive after its head; a later one is refused with `BadRequest`.
    pub body_timeout: Duration,
    /// Longest time that a write to a connection may wait for the caller to read; then the connection is closed.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 2000,
            requests: 512,
            body_bytes: BODY_LIMIT,
            header_timeout: HEADER_TIME,
            body_timeout: BODY_TIME,
            write_timeout: SLOW_READER_LIMIT,
        }
    }
}

/// Request whose head and body were received completely.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method as received; methods are case-sensitive.
    pub method: String,
    /// Path as received, without the query; percent sequences are not decoded.
    pub path: String,
    /// Query as received, without the question mark; empty when there is none.
    pub query: String,
    /// Headers, with the values of one name in the order received.
    pub headers: Vec<HeaderPair>,
    /// Body with any transfer coding removed; empty when there is none.
    pub body: Vec<u8>,
    /// Set when the connection closed or the response was sent completely; read by [`HttpRequest::is_abandoned`].
    pub caller_gone: Arc<AtomicBool>,
}

impl HttpRequest {
    /// First value of a header; `name` must be in lower case. `None` when the header is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|pair| pair.name == name).map(|pair| pair.value.as_str())
    }

    /// First value of a query parameter, not decoded; `None` when the parameter is missing or has no `=`.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    /// Whether the connection has closed while the handler runs. Also true once the response was sent completely.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.caller_gone.load(Ordering::Acquire)
    }
}

/// Header of a request or response; a header with several lines is one pair for each line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderPair {
    /// Name; in lower case when the header was received.
    pub name: String,
    /// Value; received bytes that are not UTF-8 are replaced.
    pub value: String,
}

/// Response that a handler returns. An invalid status or header turns it into status 500 with an empty body.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code, from 100 to 999.
    pub status: u16,
    /// Headers except `content-length` and `transfer-encoding`, which the server adds.
    pub headers: Vec<HeaderPair>,
    /// Body; a [`BodySender`] can send further pieces of a streamed body after the handler has returned.
    pub body: ReplyBody,
}

impl HttpResponse {
    /// Creates a response with all bytes of the body and this `content-type`.
    #[must_use]
    pub fn whole(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body: ReplyBody::Whole(body) }.with_header("content-type", content_type)
    }

    /// Creates a response with `value` as JSON; the body is empty when `value` cannot be serialised.
    #[must_use]
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        Self::whole(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
    }

    /// Creates a response from a body of [`ReplyBody::streamed`], whose pieces are sent as they come.
    #[must_use]
    pub fn stream(status: u16, content_type: &str, body: ReplyBody) -> Self {
        Self { status, headers: Vec::new(), body }.with_header("content-type", content_type)
    }

    /// Adds a header; an earlier header of this name is kept.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(HeaderPair { name: name.to_owned(), value: value.to_owned() });
        self
    }
}

/// Function that handles requests; called on a thread of the runtime's blocking pool, so that it may block.
pub type RequestHandler = Arc<dyn Fn(HttpRequest) -> HttpResponse + Send + Sync>;

/// Counts of connections and requests of a server, read by metrics and by [`HttpServer::stop`].
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections that are open now.
    pub connections: AtomicUsize,
    /// Requests whose response is not complete and whose connection is open.
    pub requests: AtomicUsize,
    /// Idle connections closed since the start because another one needed their place or their memory.
    pub rejected_connections: AtomicUsize,
    /// Requests refused since the start because [`ServerLimits::requests`] was reached.
    pub rejected_requests: AtomicUsize,
}

/// Server that listens on one address. Dropping it closes the listener and idle connections as [`HttpServer::stop`]
/// does, but does not wait for responses that are not complete.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    counters: Arc<ServerCounters>,
    stop: watch::Sender<bool>,
}

impl HttpServer {
    /// Binds `address` and starts to serve it on `runtime`.
    ///
    /// # Errors
    ///
    /// The address cannot be resolved or bound, or a system call on the listener fails.
    pub fn start(runtime: &Runtime, address: &str, limits: ServerLimits, handler: RequestHandler) -> io::Result<Self> {
        let memory = MemoryBudget::for_machine(None, limits.connections);
        Self::start_with_memory(runtime, address, limits, handler, memory)
    }

    /// Like [`Self::start`], with memory and connections from a budget that several servers share.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with_memory(
        runtime: &Runtime,
        address: &str,
        limits: ServerLimits,
        handler: RequestHandler,
        memory: Arc<MemoryBudget>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let counters = Arc::new(ServerCounters::default());
        let (stop, stopped) = watch::channel(false);
        let state = connection::ServerState {
            handler,
            memory,
            request_permits: Arc::new(Semaphore::new(limits.requests)),
            limits,
            counters: Arc::clone(&counters),
        };
        runtime.spawn(connection::accept_connections(listener, Arc::new(state), stopped));
        Ok(Self { address, counters, stop })
    }

    /// Bound address; the port is the assigned one when port 0 was asked for.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts of this server, updated while it runs.
    #[must_use]
    pub fn counters(&self) -> &Arc<ServerCounters> {
        &self.counters
    }

    /// Closes the listener and idle connections, and waits until all responses are complete and all connections closed.
    ///
    /// Returns `false` when `timeout` passed before; the open connections are then still served.
    #[expect(clippy::must_use_candidate, reason = "tests stop servers without asking")]
    pub fn stop(&self, timeout: Duration) -> bool {
        let _ = self.stop.send(true);
        let deadline = boot_time() + timeout;
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
