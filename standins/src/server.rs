//! HTTP server of the stand-ins.
//!
//! The product's server always answers. A stand-in must also be able to refuse connections, close them without an
//! answer and break them in the middle of one, so this server sits directly on hyper. Each stand-in has two ports:
//! the main one, which plays the faults, and a control one, which stays reachable while the main one is down.

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

/// Longest wait for the port to open or close.
const PORT_LIMIT: Duration = Duration::from_secs(5);

/// One request, read whole.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: String,
    /// Path without the query, as sent.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers in the order received, names in lower case.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Decoded segments of the path.
    #[must_use]
    pub fn segments(&self) -> Vec<String> {
        self.path.split('/').filter(|segment| !segment.is_empty()).map(decode_key).collect()
    }

    /// Decoded value of a query parameter.
    #[must_use]
    pub fn query_value(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode_key(value))
    }

    /// First value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|pair| pair.name == name).map(|pair| pair.value.as_str())
    }
}

/// Answer of a stand-in.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Headers beside the content type.
    pub headers: Vec<HeaderPair>,
    /// Body.
    pub content: ResponseContent,
}

impl HttpResponse {
    /// Answer with a JSON body.
    #[must_use]
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", Bytes::from(body))
    }

    /// Answer with bytes.
    #[must_use]
    pub fn bytes(status: u16, content_type: &'static str, body: Bytes) -> Self {
        Self::with_content(status, content_type, ResponseContent::Whole(body))
    }

    /// Answer with a body that may be streamed.
    #[must_use]
    pub fn with_content(status: u16, content_type: &'static str, content: ResponseContent) -> Self {
        Self { status, content_type, headers: Vec::new(), content }
    }

    /// The same answer with one more header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(HeaderPair { name: name.to_owned(), value: value.to_owned() });
        self
    }

    /// Answer that says in words why there is no other.
    #[must_use]
    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }
}

/// Future of an answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;

/// Function that answers requests; it must not block its thread.
pub type CallHandler = Arc<dyn Fn(HttpRequest) -> AnswerFuture + Send + Sync>;

/// Wraps a function that needs no waiting.
pub fn immediate(handler: impl Fn(&HttpRequest) -> HttpResponse + Send + Sync + 'static) -> CallHandler {
    Arc::new(move |call| {
        let answer = handler(&call);
        Box::pin(async move { answer })
    })
}

/// State of the main port.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PortState {
    is_open: bool,
    is_stopped: bool,
    /// Changes whenever all connections must close.
    generation: u64,
}

pub(crate) struct ServerShared {
    handler: CallHandler,
    faults: FaultInjector,
    port: watch::Sender<PortState>,
    is_crashed: AtomicBool,
    is_listening: AtomicBool,
    /// Whether the listener is being closed.
    is_closing: AtomicBool,
}

impl ServerShared {
    /// Opens or closes the port as the faults and crashes in force say.
    fn update_port(&self) {
        let is_open = !self.is_crashed.load(Ordering::Acquire) && !self.faults.closes_port();
        self.port.send_if_modified(|state| {
            let is_changed = state.is_open != is_open;
            if is_changed && !is_open {
                state.generation += 1;
            }
            state.is_open = is_open;
            is_changed
        });
    }

    fn is_settled(&self) -> bool {
        !self.is_closing.load(Ordering::SeqCst)
            && self.port.borrow().is_open == self.is_listening.load(Ordering::SeqCst)
    }

    pub(crate) fn apply_fault(self: &Arc<Self>, order: FaultSpec) {
        let duration = order.duration_ms.map(Duration::from_millis);
        self.faults.apply(order);
        self.update_port();
        if let Some(duration) = duration {
            let shared = Arc::clone(self);
            shared_runtime().spawn(async move {
                tokio::time::sleep(duration).await;
                shared.update_port();
            });
        }
    }

    /// Closes all connections and the port.
    pub(crate) fn crash(&self) {
        self.is_crashed.store(true, Ordering::Release);
        self.update_port();
    }

    /// Opens the port again after [`ServerShared::crash`].
    pub(crate) fn restart(&self) {
        self.is_crashed.store(false, Ordering::Release);
        self.update_port();
    }

    pub(crate) fn is_crashed(&self) -> bool {
        self.is_crashed.load(Ordering::Acquire)
    }
}

/// A listening server; it stops when dropped.
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
    /// Binds `address`, such as `127.0.0.1:0`, and serves until dropped.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: &str, handler: CallHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let control = TcpListener::bind((address.ip(), 0))?;
        let control_address = control.local_addr()?;
        let state = PortState { is_open: true, is_stopped: false, generation: 0 };
        let shared = Arc::new(ServerShared {
            handler,
            faults: FaultInjector::new(),
            port: watch::Sender::new(state),
            is_crashed: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
            is_closing: AtomicBool::new(false),
        });
        listener.set_nonblocking(true)?;
        control.set_nonblocking(true)?;
        shared_runtime().spawn(port::run_main_port(listener, Arc::clone(&shared)));
        shared_runtime().spawn(port::run_control_port(control, Arc::clone(&shared)));
        Ok(Self { address, control_address, shared })
    }

    /// Address of the main port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the main port.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Base URL of the control port, which plays no faults.
    #[must_use]
    pub fn control_url(&self) -> String {
        format!("http://{}", self.control_address)
    }

    /// Address of the control port.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Puts a fault in force; on return the port is open or closed accordingly.
    pub fn fault(&self, order: FaultSpec) {
        self.shared.apply_fault(order);
        self.settle();
    }

    /// Closes all connections and refuses new ones until [`StandinServer::restart`].
    pub fn crash(&self) {
        self.shared.crash();
        self.settle();
    }

    /// Opens the port again.
    pub fn restart(&self) {
        self.shared.restart();
        self.settle();
    }

    pub(crate) fn shared(&self) -> &Arc<ServerShared> {
        &self.shared
    }

    fn settle(&self) {
        let deadline = Instant::now() + PORT_LIMIT;
        while !self.shared.is_settled() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.shared.port.send_modify(|state| {
            state.is_open = false;
            state.is_stopped = true;
            state.generation += 1;
        });
    }
}
