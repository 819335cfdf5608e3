//! Address book and send queues, one entry a host.

use tokio::sync::mpsc;

use super::PeerAddress;
use super::peer_counters::FrameKind;
use crate::prelude::*;

/// Frames that wait for one peer.
pub(super) const QUEUE_FRAMES: usize = 256;

/// First delay after a failed connection.
const RETRY_FIRST: Duration = Duration::from_millis(200);

/// Longest delay after failed connections; short, so that a healed partition is noticed within the view age limit.
const RETRY_LAST: Duration = Duration::from_secs(2);

/// An encoded frame.
#[derive(Debug)]
pub(super) struct OutgoingFrame {
    pub(super) kind: FrameKind,
    pub(super) bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct PeerEntry {
    host: HostId,
    address: Option<String>,
    queue: Option<mpsc::Sender<OutgoingFrame>>,
    link_number: u64,
    retry_delay: Duration,
    retry_at: BootTime,
}

/// What the sender of a frame must do.
#[derive(Debug)]
pub(super) enum SendStep {
    /// The frame is queued.
    Queued,
    /// The frame is queued on a new queue, for which a connection must be opened.
    Connect(Connection),
    /// The frame is dropped.
    Dropped,
}

/// A connection to open.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) host: HostId,
    pub(super) address: String,
    pub(super) link_number: u64,
    pub(super) queue: mpsc::Receiver<OutgoingFrame>,
}

/// All known peers, sorted by host.
#[derive(Debug, Default)]
pub(super) struct PeerBook {
    entries: Vec<PeerEntry>,
    last_link: u64,
}

impl PeerBook {
    /// Replaces all addresses; open links of hosts that are not listed stay until they are idle.
    pub(super) fn set_addresses(&mut self, addresses: &[PeerAddress]) {
        for entry in &mut self.entries {
            entry.address = None;
        }
        for address in addresses {
            self.entry_mut(&address.host).address = Some(address.address.clone());
        }
        self.entries.retain(|entry| entry.address.is_some() || entry.queue.is_some());
    }

    pub(super) fn send(&mut self, host: &str, frame: OutgoingFrame, now: BootTime) -> SendStep {
        let Ok(position) = self.position(host) else { return SendStep::Dropped };
        let entry = &mut self.entries[position];
        if let Some(queue) = &entry.queue {
            match queue.try_send(frame) {
                Ok(()) => return SendStep::Queued,
                Err(mpsc::error::TrySendError::Full(_)) => return SendStep::Dropped,
                Err(mpsc::error::TrySendError::Closed(returned)) => {
                    entry.queue = None;
                    return self.connect(position, returned, now);
                }
            }
        }
        self.connect(position, frame, now)
    }

    fn connect(&mut self, position: usize, frame: OutgoingFrame, now: BootTime) -> SendStep {
        let entry = &mut self.entries[position];
        let Some(address) = entry.address.clone() else { return SendStep::Dropped };
        if now < entry.retry_at {
            return SendStep::Dropped;
        }
        let (sender, queue) = mpsc::channel(QUEUE_FRAMES);
        if sender.try_send(frame).is_err() {
            return SendStep::Dropped;
        }
        self.last_link += 1;
        entry.queue = Some(sender);
        entry.link_number = self.last_link;
        SendStep::Connect(Connection { host: entry.host.clone(), address, link_number: self.last_link, queue })
    }

    /// Makes an accepted link the one that frames to its host are sent on.
    pub(super) fn adopt_link(&mut self, host: &str) -> (u64, mpsc::Receiver<OutgoingFrame>) {
        let (sender, queue) = mpsc::channel(QUEUE_FRAMES);
        self.last_link += 1;
        let link_number = self.last_link;
        let entry = self.entry_mut(host);
        entry.queue = Some(sender);
        entry.link_number = link_number;
        entry.retry_delay = Duration::ZERO;
        entry.retry_at = BootTime::ZERO;
        (link_number, queue)
    }

    pub(super) fn connection_opened(&mut self, host: &str) {
        self.entry_mut(host).retry_delay = Duration::ZERO;
    }

    /// Delays the next connection after a failed one.
    pub(super) fn connection_failed(&mut self, host: &str, now: BootTime) {
        let entry = self.entry_mut(host);
        entry.retry_delay = (entry.retry_delay * 2).clamp(RETRY_FIRST, RETRY_LAST);
        entry.retry_at = now + entry.retry_delay;
    }

    /// Forgets the queue of a closed link, unless a newer link took its place.
    pub(super) fn link_closed(&mut self, host: &str, link_number: u64) {
        if let Ok(position) = self.position(host) {
            let entry = &mut self.entries[position];
            if entry.link_number == link_number {
                entry.queue = None;
            }
            if entry.queue.is_none() && entry.address.is_none() {
                self.entries.remove(position);
            }
        }
    }

    /// Drops all queues, which lets their links close.
    pub(super) fn close_all(&mut self) {
        self.entries.clear();
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.host.as_str().cmp(host))
    }

    fn entry_mut(&mut self, host: &str) -> &mut PeerEntry {
        let position = match self.position(host) {
            Ok(position) => position,
            Err(position) => {
                self.entries.insert(position, PeerEntry { host: host.to_owned(), ..PeerEntry::default() });
                position
            }
        };
        &mut self.entries[position]
    }
}
