//! Links between hosts, which carry CBOR frames over WebSocket. A link opens with a hello from each side; either side
//! can then send frames.

pub mod frame_codec;
mod link;
pub mod network;
pub mod peer_counters;
mod peer_table;

use crate::control::HostIdentity;
use crate::generated::peer_messages::PeerFrame;
use crate::prelude::*;
pub use network::{PeerCredentials, PeerNetwork};
pub use peer_counters::PeerCounters;

/// Function that handles each frame of a peer; runs on the task of the link and must not block.
pub type FrameHandler = Arc<dyn Fn(&HostIdentity, PeerFrame) + Send + Sync>;

/// Entry of the address book of [`PeerNetwork`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Name that the peer must state in its hello.
    pub host: HostId,
    /// IP address and port of the peer listener.
    pub address: String,
}

/// Function that queues a frame for a host without blocking and returns whether the frame was queued. `false` means
/// that the frame is too large, the host has neither a link nor an address, its queue is full, or the delay after a
/// failed connection is not over. A queued frame may still be lost, so every exchange must tolerate loss and
/// repetition.
pub type FrameSender = Arc<dyn Fn(&str, PeerFrame) -> bool + Send + Sync>;
