//! Control state: configuration, keys, membership, freshness and leases.
//!
//! One thread owns all of it. Other threads read an immutable [`ControlView`] and send [`ControlEvent`]s.

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

/// Sender of a frame, as proved by its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its present life.
    pub incarnation: Incarnation,
}

/// Something that the control thread must know.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A frame about control state came from a peer.
    Frame(HostIdentity, Box<PeerFrame>),
    /// A configuration change was accepted by the store through this host; a poll is due at once.
    PollStore,
    /// An operator withdrew a key at this host; it acts at once.
    Withdraw(KeyId),
    /// This host shall own the resource when it is free.
    RequestResource(String),
    /// This host shall not own the resource any more.
    ReleaseResource(String),
    /// A planned stop began.
    Leave,
    /// A helper thread has the result of a store call.
    Store(Box<store_call::StoreReport>),
    /// The control thread shall end.
    Stop,
}

/// Access to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    view: Arc<ArcSwap<ControlView>>,
    events: SyncSender<ControlEvent>,
}

impl ControlHandle {
    /// Handle for a thread that receives from the other end of `events` and stores into `view`.
    #[must_use]
    pub fn new(view: Arc<ArcSwap<ControlView>>, events: SyncSender<ControlEvent>) -> Self {
        Self { view, events }
    }

    /// The present view.
    #[must_use]
    pub fn view(&self) -> Arc<ControlView> {
        self.view.load_full()
    }

    /// Sends an event without waiting; returns whether it was taken. A lost frame is repeated by its sender's protocol.
    #[expect(clippy::must_use_candidate, reason = "frames may be lost anyway")]
    pub fn try_send(&self, event: ControlEvent) -> bool {
        self.events.try_send(event).is_ok()
    }

    /// Sends an event; returns whether the control thread is there to take it. Waits while its channel is full.
    #[expect(clippy::must_use_candidate, reason = "most senders need no answer")]
    pub fn send(&self, event: ControlEvent) -> bool {
        self.events.send(event).is_ok()
    }
}
