//! Counters of the links: bytes by direction and kind of frame, and links by state.

use prometheus::{IntCounter, IntGauge, Registry};

use crate::generated::peer_messages::PeerFrame;

/// Bytes that the WebSocket header adds to a short frame: two, two for a longer length, and four for the mask.
const HEADER_BYTES: u64 = 8;

/// Whether a frame belongs to control or to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// Gossip, configuration and withdrawn keys.
    Control,
    /// Permits, quarantine and usage.
    Other,
}

/// Kind of a frame.
#[must_use]
pub fn kind_of(frame: &PeerFrame) -> FrameKind {
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

/// Counters of one [`super::PeerNetwork`].
#[derive(Debug)]
pub struct PeerCounters {
    /// Bytes of control frames sent.
    pub control_sent: IntCounter,
    /// Bytes of control frames received.
    pub control_received: IntCounter,
    /// Bytes of other frames sent.
    pub other_sent: IntCounter,
    /// Bytes of other frames received.
    pub other_received: IntCounter,
    /// Frames dropped because a queue was full or a link was down.
    pub frames_dropped: IntCounter,
    /// Links closed because of a malformed frame or hello.
    pub links_rejected: IntCounter,
    /// Open links.
    pub links_open: IntGauge,
}

impl Default for PeerCounters {
    fn default() -> Self {
        Self {
            control_sent: counter("camphorspring_peer_control_sent_bytes", "Bytes of control frames sent"),
            control_received: counter("camphorspring_peer_control_received_bytes", "Bytes of control frames received"),
            other_sent: counter("camphorspring_peer_other_sent_bytes", "Bytes of other frames sent"),
            other_received: counter("camphorspring_peer_other_received_bytes", "Bytes of other frames received"),
            frames_dropped: counter("camphorspring_peer_frames_dropped", "Frames dropped before they were sent"),
            links_rejected: counter("camphorspring_peer_links_rejected", "Links closed for a bad frame or hello"),
            links_open: gauge("camphorspring_peer_links_open", "Open links"),
        }
    }
}

impl PeerCounters {
    /// Registers all counters.
    pub fn register(&self, registry: &Registry) {
        for counter in [
            &self.control_sent,
            &self.control_received,
            &self.other_sent,
            &self.other_received,
            &self.frames_dropped,
            &self.links_rejected,
        ] {
            // A second registration, as in tests with several hosts in one process, keeps the first.
            let _ = registry.register(Box::new(counter.clone()));
        }
        let _ = registry.register(Box::new(self.links_open.clone()));
    }

    pub(super) fn count_sent(&self, kind: FrameKind, bytes: usize) {
        let counter = if kind == FrameKind::Control { &self.control_sent } else { &self.other_sent };
        counter.inc_by(bytes as u64 + HEADER_BYTES);
    }

    pub(super) fn count_received(&self, kind: FrameKind, bytes: usize) {
        let counter = if kind == FrameKind::Control { &self.control_received } else { &self.other_received };
        counter.inc_by(bytes as u64 + HEADER_BYTES);
    }
}

// The names are constants of this file, which a test of the rendered text covers, so creation cannot fail.
fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("counter name is valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("gauge name is valid")
}
