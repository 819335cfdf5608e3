//! Control state: configuration, keys, membership, freshness and leases.
//!
//! The control thread owns this state. Other threads read an immutable [`ControlView`] and send [`ControlEvent`]s.

pub mod authentication;
pub mod configuration;
pub mod configuration_log;
pub mod configuration_snapshot;
pub mod configuration_writer;
pub mod control_state;
pub mod control_thread;
pub mod control_view;
pub mod freshness;
pub mod gossip_plan;
pub mod host_session;
pub mod incarnation;
pub mod lease_table;
pub mod member_table;
pub mod stable_hash;
pub mod store_call;
pub mod store_poll;
pub mod withdrawal_tracker;
pub mod withdrawn_set;

use std::sync::mpsc::SyncSender;

use arc_swap::ArcSwap;

use crate::generated::peer_messages::PeerFrame;
use crate::prelude::*;
pub use control_thread::{ControlSettings, start_control};
pub use control_view::ControlView;

/// Identity of a host process: of this one, or of a peer as authenticated by the hello frame of the link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Configured host name, unique in the installation.
    pub host: HostId,
    /// Failure domain by the settings of the host. Hosts of one domain track the heartbeats of each other.
    pub failure_domain: DomainId,
    /// Incarnation of the process, see [`incarnation`].
    pub incarnation: Incarnation,
}

/// Input of the control thread.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A peer sent a frame about control state.
    Frame(HostIdentity, Box<PeerFrame>),
    /// The store accepted a configuration change written by this host; poll the store at once.
    PollStore,
    /// An operator withdrew this key at this host; refuse the key at once and tell the other hosts.
    Withdraw(KeyId),
    /// Try to own the resource until it is released; ignored after [`ControlEvent::Leave`].
    RequestResource(String),
    /// Stop trying to own the resource, and release it if this host owns it.
    ReleaseResource(String),
    /// A planned stop of this host began; announce it and release all resources.
    Leave,
    /// A helper thread finished a store call.
    Store(Box<store_call::StoreReport>),
    /// End the control thread.
    Stop,
}

/// Access of other threads to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    view: Arc<ArcSwap<ControlView>>,
    events: SyncSender<ControlEvent>,
}

impl ControlHandle {
    /// Handle for a control thread that receives from the other end of `events` and publishes to `view`.
    #[must_use]
    pub fn new(view: Arc<ArcSwap<ControlView>>, events: SyncSender<ControlEvent>) -> Self {
        Self { view, events }
    }

    /// View that the control thread published last.
    #[must_use]
    pub fn view(&self) -> Arc<ControlView> {
        self.view.load_full()
    }

    /// Sends an event without blocking. Returns `false` if the queue is full or the control thread has ended; the event
    /// is then dropped. Use this only for frames, which later gossip makes up for.
    #[expect(clippy::must_use_candidate, reason = "frames may be lost anyway")]
    pub fn try_send(&self, event: ControlEvent) -> bool {
        self.events.try_send(event).is_ok()
    }

    /// Sends an event and blocks while the queue is full. Returns `false` if the control thread has ended.
    #[expect(clippy::must_use_candidate, reason = "most senders need no answer")]
    pub fn send(&self, event: ControlEvent) -> bool {
        self.events.send(event).is_ok()
    }
}
