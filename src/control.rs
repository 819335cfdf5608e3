//! Control state: configuration, keys, membership, freshness and leases.
//!
//! One thread owns all of it. Other threads read an immutable [`ControlView`] and send [`ControlEvent`]s.

pub mod configuration;
pub mod control_view;

use std::sync::mpsc::SyncSender;

use arc_swap::ArcSwap;

use crate::generated::peer_messages::PeerFrame;
use crate::prelude::*;
pub use control_view::ControlView;

/// Sender of a frame, as proved by its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerOrigin {
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
    Frame(PeerOrigin, Box<PeerFrame>),
    /// A configuration change was accepted by the store through this host; a poll is due at once.
    PollStore,
    /// An operator withdrew a key at this host; it acts at once.
    Withdraw(KeyId),
    /// This host shall own the resource when it is free.
    WantResource(String),
    /// This host shall not own the resource any more.
    DropResource(String),
    /// A planned stop began.
    Leave,
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

    /// Sends an event; returns whether the control thread is there to take it. Waits while its channel is full.
    #[expect(clippy::must_use_candidate, reason = "most senders need no answer")]
    pub fn send(&self, event: ControlEvent) -> bool {
        self.events.send(event).is_ok()
    }
}
