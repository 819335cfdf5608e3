//! Links between hosts: CBOR frames over WebSocket.

pub mod frame_codec;
mod link;
pub mod network;
mod peer_book;
pub mod peer_counters;

use crate::control::HostIdentity;
use crate::generated::peer_messages::PeerFrame;
use crate::prelude::*;
pub use network::{PeerCredentials, PeerNetwork};
pub use peer_counters::PeerCounters;

/// Function that takes every frame from a peer; it must not block.
pub type FrameHandler = Arc<dyn Fn(&HostIdentity, PeerFrame) + Send + Sync>;

/// Address of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Host.
    pub host: HostId,
    /// IP address and port of its peer listener.
    pub address: String,
}

/// Function that queues a frame for a host; it does not block, and returns whether the host is known and its queue
/// has room. A queued frame may still be lost, so every exchange must tolerate loss and repetition.
pub type FrameSender = Arc<dyn Fn(&str, PeerFrame) -> bool + Send + Sync>;
