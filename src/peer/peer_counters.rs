//! Metrics of the links: bytes by direction and kind of frame, dropped frames, rejected links and open links.

use prometheus::{IntCounter, IntGauge, Registry};

use crate::generated::peer_messages::PeerFrame;

/// Estimated size of a WebSocket header, which is added to each frame: two fixed bytes, two bytes of extended length
/// and four bytes of mask. Actual headers have 2 to 14 bytes, by the length of the frame and whether it is masked.
const FRAME_HEADER_BYTES: u64 = 8;

/// Kind of a frame, by which bytes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// Gossip, configuration and withdrawn keys: the frames that the control module exchanges.
    Control,
    /// All other frames, such as permits, quarantine and usage.
    Other,
}

/// Returns the kind under which the bytes of a frame are counted.
#[must_use]
pub fn frame_kind(frame: &PeerFrame) -> FrameKind {
    match frame {
        PeerFrame::GossipRequest(_)
        | PeerFrame::GossipAnswer(_)
        | PeerFrame::SnapshotRequest(_)
        | PeerFrame::SnapshotPart(_)
        | PeerFrame::ChangesRequest(_)
        | PeerFrame::ChangesAnswer(_)
        | PeerFrame::WithdrawnKeys(_) => FrameKind::Control,
        _ => FrameKind::Other,
    }
}

/// Counters of one [`super::PeerNetwork`]. Byte counters include the estimated WebSocket headers.
#[derive(Debug)]
pub struct PeerCounters {
    /// Bytes of control frames that were handed to a link; a failed write is counted too.
    pub control_sent: IntCounter,
    /// Bytes of valid control frames received.
    pub control_received: IntCounter,
    /// Bytes of other frames that were handed to a link; a failed write is counted too.
    pub other_sent: IntCounter,
    /// Bytes of other valid frames received.
    pub other_received: IntCounter,
    /// Frames that were not queued because the queue was full, the host had neither a link nor an address, or the
    /// delay after a failed connection was not over.
    pub frames_dropped: IntCounter,
    /// Links closed because the exchange of hellos failed or a message was no valid frame.
    pub links_rejected: IntCounter,
    /// Links that are open now, whichever side opened them.
    pub links_open: IntGauge,
}

impl Default for PeerCounters {
    fn default() -> Self {
        Self {
            control_sent: create_counter("camphorspring_peer_control_sent_bytes", "Bytes of control frames sent"),
            control_received: create_counter(
                "camphorspring_peer_control_received_bytes",
                "Bytes of control frames received",
            ),
            other_sent: create_counter("camphorspring_peer_other_sent_bytes", "Bytes of other frames sent"),
            other_received: create_counter("camphorspring_peer_other_received_bytes", "Bytes of other frames received"),
            frames_dropped: create_counter("camphorspring_peer_frames_dropped", "Frames dropped before they were sent"),
            links_rejected: create_counter(
                "camphorspring_peer_links_rejected",
                "Links closed for a bad frame or hello",
            ),
            links_open: create_gauge("camphorspring_peer_links_open", "Open links"),
        }
    }
}

impl PeerCounters {
    /// Registers the metrics, except those whose name is registered already.
    pub fn register(&self, registry: &Registry) {
        for counter in [
            &self.control_sent,
            &self.control_received,
            &self.other_sent,
            &self.other_received,
            &self.frames_dropped,
            &self.links_rejected,
        ] {
            // A second registration of a name is ignored; it occurs in tests that run several hosts in one process.
            let _ = registry.register(Box::new(counter.clone()));
        }
        let _ = registry.register(Box::new(self.links_open.clone()));
    }

    pub(super) fn count_sent(&self, kind: FrameKind, bytes: usize) {
        let counter = if kind == FrameKind::Control { &self.control_sent } else { &self.other_sent };
        counter.inc_by(bytes as u64 + FRAME_HEADER_BYTES);
    }

    pub(super) fn count_received(&self, kind: FrameKind, bytes: usize) {
        let counter = if kind == FrameKind::Control { &self.control_received } else { &self.other_received };
        counter.inc_by(bytes as u64 + FRAME_HEADER_BYTES);
    }
}

// The names and help texts are constants of this file, so no input can make the `expect` calls panic.
fn create_counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("counter name is valid")
}

fn create_gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("gauge name is valid")
}
