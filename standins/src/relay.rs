//! TCP relay between two addresses, which plays network faults: cuts in one or both directions, and latency.
//!
//! While a direction is cut, its bytes wait and connections stay open, as with lost packets that are sent again.
//! New connections are established only while neither direction is cut.

mod pump;

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::runtime::shared_runtime;
use crate::server::{HttpRequest, HttpResponse, StandinServer, immediate};

/// Wait after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayDirection {
    /// From the connecting side to the upstream.
    Forward,
    /// From the upstream to the connecting side.
    Backward,
    /// Both.
    Both,
}

/// Order to a relay, as the body of `POST /relay` at its control address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum RelayCommand {
    /// Holds back the bytes of a direction.
    Cut {
        /// Direction.
        direction: RelayDirection,
    },
    /// Delays the bytes of both directions.
    Slow {
        /// Delay of each direction in milliseconds.
        delay_ms: u64,
    },
    /// Closes all connections.
    Reset,
    /// Ends cuts and delays.
    Restore,
}

/// Options of a relay.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Address to listen on.
    pub address: String,
    /// Address to connect to.
    pub upstream: SocketAddr,
}

/// Faults in force.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RelayState {
    forward_cut: bool,
    backward_cut: bool,
    delay: Duration,
    /// Changes whenever all connections must close.
    generation: u64,
    is_stopped: bool,
}

impl RelayState {
    fn apply(&mut self, order: RelayCommand) {
        match order {
            RelayCommand::Cut { direction } => {
                self.forward_cut |= direction != RelayDirection::Backward;
                self.backward_cut |= direction != RelayDirection::Forward;
            }
            RelayCommand::Slow { delay_ms } => self.delay = Duration::from_millis(delay_ms),
            RelayCommand::Reset => self.generation += 1,
            RelayCommand::Restore => {
                self.forward_cut = false;
                self.backward_cut = false;
                self.delay = Duration::ZERO;
            }
        }
    }

    fn is_cut(&self, direction: RelayDirection) -> bool {
        match direction {
            RelayDirection::Forward => self.forward_cut,
            RelayDirection::Backward => self.backward_cut,
            RelayDirection::Both => self.forward_cut || self.backward_cut,
        }
    }
}

/// A running relay; it stops when dropped.
pub struct RelayStandin {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
    upstream: Arc<Mutex<SocketAddr>>,
    control: StandinServer,
}

impl std::fmt::Debug for RelayStandin {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("RelayStandin").field("address", &self.address).finish_non_exhaustive()
    }
}

impl RelayStandin {
    /// Starts a relay.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(options: RelayOptions) -> io::Result<Self> {
        let RelayOptions { address, upstream } = options;
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(RelayState::default());
        let control_state = state.clone();
        let handler = immediate(move |call| take_order(call, &control_state));
        let control = StandinServer::start("127.0.0.1:0", handler)?;
        let upstream = Arc::new(Mutex::new(upstream));
        shared_runtime().spawn(accept_connections(listener, Arc::clone(&upstream), state.subscribe()));
        Ok(Self { address, state, upstream, control })
    }

    /// Address to connect to instead of the upstream.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the relayed service.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Address of the HTTP interface that takes a [`RelayCommand`] as `POST /relay`.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Puts a fault in force, or ends it.
    pub fn order(&self, order: RelayCommand) {
        self.state.send_modify(|state| state.apply(order));
    }

    /// Connects new connections to another upstream, such as a replaced process.
    ///
    /// # Panics
    ///
    /// A task of the relay panicked.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("the address is intact") = upstream;
    }
}

impl Drop for RelayStandin {
    fn drop(&mut self) {
        self.state.send_modify(|state| {
            state.is_stopped = true;
            state.generation += 1;
        });
    }
}

fn take_order(call: &HttpRequest, state: &watch::Sender<RelayState>) -> HttpResponse {
    if call.method != "POST" || call.path != "/relay" {
        return HttpResponse::error(404, "no such path");
    }
    match serde_json::from_slice::<RelayCommand>(&call.body) {
        Ok(order) => {
            state.send_modify(|state| state.apply(order));
            HttpResponse::json(200, &serde_json::json!({}))
        }
        Err(error) => HttpResponse::error(400, &error.to_string()),
    }
}

async fn accept_connections(
    listener: StdListener,
    upstream: Arc<Mutex<SocketAddr>>,
    mut state: watch::Receiver<RelayState>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    loop {
        let accepted = tokio::select! {
            _ = state.wait_for(|state| state.is_stopped) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&upstream), state.clone()));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, upstream: Arc<Mutex<SocketAddr>>, mut state: watch::Receiver<RelayState>) {
    let generation = state.borrow().generation;
    let relayed = state.clone();
    tokio::select! {
        _ = state.wait_for(|state| state.generation != generation) => {}
        () = relay(stream, &upstream, relayed) => {}
    }
}

async fn relay(stream: TcpStream, upstream: &Mutex<SocketAddr>, mut state: watch::Receiver<RelayState>) {
    if state.wait_for(|state| !state.is_cut(RelayDirection::Both)).await.is_err() {
        return;
    }
    let address = *upstream.lock().expect("the address is intact");
    let Ok(target) = TcpStream::connect(address).await else { return };
    let _ = stream.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (stream_reader, stream_writer) = stream.into_split();
    let (target_reader, target_writer) = target.into_split();
    tokio::join!(
        pump::run_pump(stream_reader, target_writer, RelayDirection::Forward, state.clone()),
        pump::run_pump(target_reader, stream_writer, RelayDirection::Backward, state),
    );
}
