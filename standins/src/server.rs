//! HTTP server of the stand-ins.
//!
//! The product's server responds to every request. A stand-in must also be able to refuse connections, to close them
//! without a response and to break them in the middle of a response, so this server uses hyper directly. Each stand-in
//! has two ports, which serve the same requests: the main port injects the faults, and the control port injects none
//! and stays reachable while the main port is closed.

mod body;
mod connection;
mod port;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use camphorspring::http_server::HeaderPair;
use camphorspring::store_client::decode_key;
use hyper::body::Bytes;
use tokio::sync::watch;

use crate::faults::{FaultInjector, FaultSpec};
use crate::runtime::shared_runtime;
pub use body::{ResponseContent, StreamWriter};

/// Longest wait for the main port to open or close.
const PORT_CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP request with its complete body.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method as received, such as `GET`.
    pub method: String,
    /// Path without the query, still percent-encoded.
    pub path: String,
    /// Query without the question mark, still percent-encoded; empty when absent.
    pub query: String,
    /// Headers, with the names in lower case.
    pub headers: Vec<HeaderPair>,
    /// Bytes as received; empty when the request has no body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the percent-decoded segments of the path, without empty ones.
    #[must_use]
    pub fn segments(&self) -> Vec<String> {
        self.path.split('/').filter(|segment| !segment.is_empty()).map(decode_key).collect()
    }

    /// Returns the percent-decoded value of the first query parameter `name`; `None` when it is absent or has no `=`.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_key(value))
    }

    /// Returns the first value of the header `name`, which must be in lower case; `None` when absent.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|pair| pair.name == name).map(|pair| pair.value.as_str())
    }
}

/// Response of a handler, which the server sends unless a fault prevents it.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code; with a number outside 100 to 999, the connection is closed without a response.
    pub status: u16,
    /// Media type, sent as the `content-type` header.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<HeaderPair>,
    /// Body, complete or streamed.
    pub content: ResponseContent,
}

impl HttpResponse {
    /// Creates a response with a JSON body; the body is empty when `value` cannot be serialised.
    #[must_use]
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", Bytes::from(body))
    }

    /// Creates a response whose complete body is `body`.
    #[must_use]
    pub fn bytes(status: u16, content_type: &'static str, body: Bytes) -> Self {
        Self::with_content(status, content_type, ResponseContent::Whole(body))
    }

    /// Creates a response with a complete or streamed body and no further headers.
    #[must_use]
    pub fn with_content(status: u16, content_type: &'static str, content: ResponseContent) -> Self {
        Self { status, content_type, headers: Vec::new(), content }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(HeaderPair { name: name.to_owned(), value: value.to_owned() });
        self
    }

    /// Creates an error response with the JSON body `{"error": message}`.
    #[must_use]
    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }
}

/// Future that yields the response to one request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;

/// Function that handles the requests of both ports; neither it nor its future may block the thread, since all
/// stand-ins of a process share a few worker threads.
pub type CallHandler = Arc<dyn Fn(HttpRequest) -> AnswerFuture + Send + Sync>;

/// Makes a handler of a function that responds without waiting.
pub fn immediate(handler: impl Fn(&HttpRequest) -> HttpResponse + Send + Sync + 'static) -> CallHandler {
    Arc::new(move |request| {
        let response = handler(&request);
        Box::pin(async move { response })
    })
}

/// State that the main port is to reach, set by faults, crashes and the end of the server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DesiredPort {
    is_open: bool,
    /// Whether the server was dropped, which also ends the control port.
    is_stopped: bool,
    /// Number of times that all connections of the main port were closed; a connection ends when the number changes.
    generation: u64,
}

/// State that the handle, the ports and the connections of a server share.
pub(crate) struct ServerShared {
    handler: CallHandler,
    faults: FaultInjector,
    desired_port: watch::Sender<DesiredPort>,
    is_crashed: AtomicBool,
    /// Whether the main port listens, which follows `desired_port` with a delay.
    is_listening: AtomicBool,
    /// Whether the listener of the main port is being closed.
    is_closing: AtomicBool,
}

impl ServerShared {
    /// Sets in `desired_port` whether the main port is to be open, which a crash or a fault in force prevents.
    fn update_port(&self) {
        let is_open = !self.is_crashed.load(Ordering::Acquire) && !self.faults.should_close_port();
        self.desired_port.send_if_modified(|state| {
            let has_changed = state.is_open != is_open;
            if has_changed && !is_open {
                state.generation += 1;
            }
            state.is_open = is_open;
            has_changed
        });
    }

    /// Returns whether the main port is open or closed as `desired_port` says.
    fn is_settled(&self) -> bool {
        !self.is_closing.load(Ordering::SeqCst)
            && self.desired_port.borrow().is_open == self.is_listening.load(Ordering::SeqCst)
    }

    /// Applies a fault and updates the main port now and at the end of the fault.
    pub(crate) fn apply_fault(self: &Arc<Self>, spec: FaultSpec) {
        let duration = spec.duration_ms.map(Duration::from_millis);
        self.faults.apply(spec);
        self.update_port();
        if let Some(duration) = duration {
            let shared = Arc::clone(self);
            shared_runtime().spawn(async move {
                tokio::time::sleep(duration).await;
                shared.update_port();
            });
        }
    }

    /// Closes the main port and all its connections.
    pub(crate) fn crash(&self) {
        self.is_crashed.store(true, Ordering::Release);
        self.update_port();
    }

    /// Ends a [`ServerShared::crash`]; the main port opens unless a fault closes it.
    pub(crate) fn restart(&self) {
        self.is_crashed.store(false, Ordering::Release);
        self.update_port();
    }

    pub(crate) fn is_crashed(&self) -> bool {
        self.is_crashed.load(Ordering::Acquire)
    }
}

/// Handle of a running server, which stops when the handle is dropped.
pub struct StandinServer {
    address: SocketAddr,
    control_address: SocketAddr,
    shared: Arc<ServerShared>,
}

impl std::fmt::Debug for StandinServer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("StandinServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl StandinServer {
    /// Serves `handler` on `address`, such as `127.0.0.1:0`, and on a free control port of the same IP address.
    ///
    /// # Errors
    ///
    /// The address is invalid, or one of the two ports cannot be bound or configured.
    pub fn start(address: &str, handler: CallHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let control_listener = TcpListener::bind((address.ip(), 0))?;
        let control_address = control_listener.local_addr()?;
        let desired_port = DesiredPort { is_open: true, is_stopped: false, generation: 0 };
        let shared = Arc::new(ServerShared {
            handler,
            faults: FaultInjector::new(),
            desired_port: watch::Sender::new(desired_port),
            is_crashed: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            is_closing: AtomicBool::new(false),
        });
        listener.set_nonblocking(true)?;
        control_listener.set_nonblocking(true)?;
        shared_runtime().spawn(port::run_main_port(listener, Arc::clone(&shared)));
        shared_runtime().spawn(port::run_control_port(control_listener, Arc::clone(&shared)));
        Ok(Self { address, control_address, shared })
    }

    /// Returns the address of the main port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the main port, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the base URL of the control port, without a trailing slash.
    #[must_use]
    pub fn control_url(&self) -> String {
        format!("http://{}", self.control_address)
    }

    /// Returns the address of the control port, which has the IP address of the main port.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Applies a fault, or ends faults for [`FaultKind::Clear`](crate::FaultKind::Clear).
    ///
    /// Blocks until the main port is open or closed as the faults require, for five seconds at most.
    pub fn fault(&self, spec: FaultSpec) {
        self.shared.apply_fault(spec);
        self.wait_until_settled();
    }

    /// Closes all connections of the main port and refuses new ones until [`StandinServer::restart`].
    pub fn crash(&self) {
        self.shared.crash();
        self.wait_until_settled();
    }

    /// Ends a [`StandinServer::crash`]; the main port opens unless a fault closes it.
    pub fn restart(&self) {
        self.shared.restart();
        self.wait_until_settled();
    }

    pub(crate) fn shared(&self) -> &Arc<ServerShared> {
        &self.shared
    }

    /// Blocks until the main port is open or closed as `desired_port` says, or the timeout is over.
    fn wait_until_settled(&self) {
        let deadline = Instant::now() + PORT_CHANGE_TIMEOUT;
        while !self.shared.is_settled() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.shared.desired_port.send_modify(|state| {
            state.is_open = false;
            state.is_stopped = true;
            state.generation += 1;
        });
    }
}
