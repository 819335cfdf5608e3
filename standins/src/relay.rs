//! TCP relay between two addresses that injects network faults: cuts in one or both directions, and latency.
//!
//! While a direction is cut, its bytes are held back and connections stay open, as when lost packets are retransmitted.
//! A new connection is accepted at any time, but connected to the upstream only while neither direction is cut.

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

/// Delay after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Direction that a cut affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayDirection {
    /// From the client to the upstream.
    Forward,
    /// From the upstream to the client.
    Backward,
    /// Forward and backward.
    Both,
}

/// Command to a relay, also as the JSON body of `POST /relay` at the control address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum RelayCommand {
    /// Holds back the bytes of a direction until [`RelayCommand::Restore`], in addition to cuts in force.
    Cut {
        /// Direction to hold back, in all connections.
        direction: RelayDirection,
    },
    /// Delays the bytes that arrive from now on, in both directions.
    Slow {
        /// Delay in each direction, in milliseconds; replaces an earlier delay.
        delay_ms: u64,
    },
    /// Closes all connections with clients and with the upstream; new ones are accepted.
    Reset,
    /// Refuses new connections until [`RelayCommand::Restore`]; open ones go on.
    Refuse,
    /// Ends cuts, refusals and the delay. Bytes held back by a cut are sent; bytes queued with a delay keep it.
    Restore,
}

/// Addresses between which a [`RelayStandin`] copies bytes.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Address to listen on; port 0 chooses a free one.
    pub address: String,
    /// Address that connections are relayed to.
    pub upstream: SocketAddr,
}

/// Faults in force at a relay, and the signals that end its connections.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RelayState {
    is_forward_cut: bool,
    is_backward_cut: bool,
    delay: Duration,
    /// Number of times that all connections were closed; a connection ends when the number changes.
    generation: u64,
    intake: RelayIntake,
}

/// What happens to new connections of clients.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum RelayIntake {
    #[default]
    Accepting,
    Refusing,
    Stopped,
}

impl RelayState {
    fn apply(&mut self, command: RelayCommand) {
        match command {
            RelayCommand::Cut { direction } => {
                self.is_forward_cut |= direction != RelayDirection::Backward;
                self.is_backward_cut |= direction != RelayDirection::Forward;
            }
            RelayCommand::Slow { delay_ms } => self.delay = Duration::from_millis(delay_ms),
            RelayCommand::Reset => self.generation += 1,
            RelayCommand::Refuse => self.intake = RelayIntake::Refusing,
            RelayCommand::Restore => {
                self.is_forward_cut = false;
                self.is_backward_cut = false;
                self.intake = RelayIntake::Accepting;
                self.delay = Duration::ZERO;
            }
        }
    }

    /// Returns whether a direction is cut; for both, whether at least one is.
    fn is_cut(&self, direction: RelayDirection) -> bool {
        match direction {
            RelayDirection::Forward => self.is_forward_cut,
            RelayDirection::Backward => self.is_backward_cut,
            RelayDirection::Both => self.is_forward_cut || self.is_backward_cut,
        }
    }
}

/// Handle of a running relay, which stops and closes its connections when the handle is dropped.
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
    /// Starts a relay and its control server.
    ///
    /// # Errors
    ///
    /// The address is invalid, or a port cannot be bound or configured.
    pub fn start(options: RelayOptions) -> io::Result<Self> {
        let RelayOptions { address, upstream } = options;
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(RelayState::default());
        let control_state = state.clone();
        let handler = immediate(move |request| handle_control_request(request, &control_state));
        let control = StandinServer::start("127.0.0.1:0", handler)?;
        let upstream = Arc::new(Mutex::new(upstream));
        shared_runtime().spawn(accept_connections(listener, Arc::clone(&upstream), state.subscribe()));
        Ok(Self { address, state, upstream, control })
    }

    /// Returns the address to connect to instead of the upstream.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of an HTTP upstream through the relay, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the main address of the control server, which accepts a [`RelayCommand`] as `POST /relay`.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Applies a command.
    pub fn order(&self, command: RelayCommand) {
        self.state.send_modify(|state| state.apply(command));
    }

    /// Relays connections from now on to another upstream, such as that of a replacement process; established ones keep
    /// theirs.
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
            state.intake = RelayIntake::Stopped;
            state.generation += 1;
        });
    }
}

/// Applies the command in the body of `POST /relay`; 400 for an invalid body, 404 for other requests.
fn handle_control_request(request: &HttpRequest, state: &watch::Sender<RelayState>) -> HttpResponse {
    if request.method != "POST" || request.path != "/relay" {
        return HttpResponse::error(404, "no such path");
    }
    match serde_json::from_slice::<RelayCommand>(&request.body) {
        Ok(command) => {
            state.send_modify(|state| state.apply(command));
            HttpResponse::json(200, &serde_json::json!({}))
        }
        Err(error) => HttpResponse::error(400, &error.to_string()),
    }
}

/// Accepts connections until the relay stops.
async fn accept_connections(
    listener: StdListener,
    upstream: Arc<Mutex<SocketAddr>>,
    mut state: watch::Receiver<RelayState>,
) {
    let Ok(mut listener) = TcpListener::from_std(listener) else { return };
    let Ok(address) = listener.local_addr() else { return };
    loop {
        let accepted = tokio::select! {
            _ = state.wait_for(|state| state.intake != RelayIntake::Accepting) => None,
            accepted = listener.accept() => Some(accepted),
        };
        let Some(accepted) = accepted else {
            drop(listener);
            let ended = state.wait_for(|state| state.intake != RelayIntake::Refusing).await;
            if ended.map_or(true, |state| state.intake == RelayIntake::Stopped) {
                return;
            }
            listener = loop {
                match TcpListener::bind(address).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            };
            continue;
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, Arc::clone(&upstream), state.clone()));
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Relays one connection until it ends by itself or all connections are closed.
async fn serve_connection(
    client_stream: TcpStream,
    upstream: Arc<Mutex<SocketAddr>>,
    mut state: watch::Receiver<RelayState>,
) {
    let generation = state.borrow().generation;
    let relay_state = state.clone();
    tokio::select! {
        _ = state.wait_for(|state| state.generation != generation) => {}
        () = relay_connection(client_stream, &upstream, relay_state) => {}
    }
}

/// Connects to the upstream once no direction is cut, and copies bytes until both directions have ended. Closes the
/// connection of the client when the upstream cannot be reached.
async fn relay_connection(
    client_stream: TcpStream,
    upstream: &Mutex<SocketAddr>,
    mut state: watch::Receiver<RelayState>,
) {
    if state.wait_for(|state| !state.is_cut(RelayDirection::Both)).await.is_err() {
        return;
    }
    let address = *upstream.lock().expect("the address is intact");
    let Ok(upstream_stream) = TcpStream::connect(address).await else { return };
    let _ = client_stream.set_nodelay(true);
    let _ = upstream_stream.set_nodelay(true);
    let (client_reader, client_writer) = client_stream.into_split();
    let (upstream_reader, upstream_writer) = upstream_stream.into_split();
    tokio::join!(
        pump::copy_direction(client_reader, upstream_writer, RelayDirection::Forward, state.clone()),
        pump::copy_direction(upstream_reader, client_writer, RelayDirection::Backward, state),
    );
}
