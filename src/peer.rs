//! Links between hosts: CBOR frames over WebSocket.

use crate::control::PeerOrigin;
use crate::generated::peer_messages::PeerFrame;
use crate::prelude::*;

/// Function that takes every frame from a peer; it must not block.
pub type FrameHandler = Arc<dyn Fn(&PeerOrigin, PeerFrame) + Send + Sync>;

/// Address of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Host.
    pub host: HostId,
    /// IP address and port of its peer listener.
    pub address: String,
}
