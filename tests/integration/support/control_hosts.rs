//! Hosts with real links and control threads in one process, for tests and the control bench.

use std::time::{Duration, Instant};

use camphorspring::control::configuration_writer::ConfigurationWriter;
use camphorspring::control::control_thread::{control_frame_handler, create_control};
use camphorspring::control::{ControlEvent, ControlHandle, ControlSettings, HostIdentity, start_control};
use camphorspring::generated::platform_messages::{HostRecord, HostState};
use camphorspring::memory::MemoryBudget;
use camphorspring::peer::{PeerCredentials, PeerNetwork};
use camphorspring::store_client::StoreClient;
use tokio::runtime::Handle;

/// Timeout of [`wait_for`]. The conditions hold within seconds on an idle machine; the rest allows for a busy one.
pub const WAIT_LIMIT: Duration = Duration::from_mins(1);

const CLUSTER_TOKEN: &str = "a cluster token for tests";

/// Control thread, peer links and store client of one host. Dropping it ends the host as a crash does.
pub struct ControlHost {
    pub origin: HostIdentity,
    pub handle: ControlHandle,
    pub network: PeerNetwork,
    pub client: StoreClient,
}

impl ControlHost {
    /// Starts a host whose peer links listen on an ephemeral port. `incarnation` is also the random seed.
    pub fn start(runtime: &Handle, platform_url: &str, name: &str, failure_domain: &str, incarnation: u64) -> Self {
        let origin = HostIdentity { host: name.to_owned(), failure_domain: failure_domain.to_owned(), incarnation };
        let client = StoreClient::new(platform_url);
        let (handle, inbox) = create_control(&origin);
        let handler = control_frame_handler(handle.clone(), std::sync::Arc::new(|_, _| {}));
        let credentials = PeerCredentials { origin: origin.clone(), cluster_token: CLUSTER_TOKEN.to_owned() };
        let network =
            PeerNetwork::start(runtime, "127.0.0.1:0", credentials, handler, MemoryBudget::new(1 << 26, 4096))
                .expect("a port is free");
        let settings = ControlSettings { origin: origin.clone(), seed: incarnation };
        start_control(inbox, settings, &client, network.clone()).expect("threads can be started");
        Self { origin, handle, network, client }
    }

    /// Entry for the host list of the platform.
    pub fn record(&self) -> HostRecord {
        let address = self.network.address().to_string();
        HostRecord {
            host: self.origin.host.clone(),
            failure_domain: self.origin.failure_domain.clone(),
            state: HostState::Live,
            peer_address: address.clone(),
            caller_address: address.clone(),
            operator_address: address,
        }
    }

    pub fn writer(&self) -> ConfigurationWriter {
        ConfigurationWriter::new(self.handle.clone(), self.client.clone())
    }

    /// Ends the host as a crash does, without an announcement to its peers.
    pub fn crash(&self) {
        self.handle.send(ControlEvent::Stop);
        self.network.stop();
    }
}

impl Drop for ControlHost {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// The condition does not hold within [`WAIT_LIMIT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
