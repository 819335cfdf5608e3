//! Table of the known peers: for each host the address, the send queue and the earliest time of the next connection.

use tokio::sync::mpsc;

use super::PeerAddress;
use super::peer_counters::FrameKind;
use crate::prelude::*;

/// Most frames that wait in the send queue of one peer.
pub(super) const MAX_QUEUED_FRAMES: usize = 256;

/// Delay after the first failed connection; each further failure doubles the delay.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Upper bound of the delay after a failed connection. The bound is low, so that the hosts are connected again within
/// [`VIEW_AGE_LIMIT`] after a network partition has ended.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Encoded frame in a send queue.
#[derive(Debug)]
pub(super) struct OutgoingFrame {
    pub(super) kind: FrameKind,
    pub(super) bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct PeerEntry {
    host: HostId,
    address: Option<String>,
    /// Queue of the link on which frames to this host are sent; absent without such a link.
    queue: Option<mpsc::Sender<OutgoingFrame>>,
    link_number: u64,
    /// Delay after the last failed connection; zero after a link was opened by either side.
    retry_delay: Duration,
    /// No connection is opened before this time.
    retry_at: BootTime,
}

/// Outcome of [`PeerTable::send`].
#[derive(Debug)]
pub(super) enum QueueOutcome {
    /// The frame is in the queue of a link.
    Queued,
    /// The frame is in a new queue, for which the caller must open a connection.
    Connect(PendingConnection),
    /// The frame was dropped: the host has neither a link nor an address, the queue is full, or the delay after a
    /// failed connection is not over.
    Dropped,
}

/// Connection that the caller must open.
#[derive(Debug)]
pub(super) struct PendingConnection {
    pub(super) host: HostId,
    pub(super) address: String,
    pub(super) link_number: u64,
    pub(super) queue: mpsc::Receiver<OutgoingFrame>,
}

/// Peers that have an address or a link.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    /// Sorted by host.
    entries: Vec<PeerEntry>,
    last_link_number: u64,
}

impl PeerTable {
    /// Replaces all addresses. Links to hosts that have no address any more stay open.
    pub(super) fn set_addresses(&mut self, addresses: &[PeerAddress]) {
        for entry in &mut self.entries {
            entry.address = None;
        }
        for address in addresses {
            self.find_or_insert_entry(&address.host).address = Some(address.address.clone());
        }
        self.entries.retain(|entry| entry.address.is_some() || entry.queue.is_some());
    }

    /// Queues a frame for a host.
    pub(super) fn send(&mut self, host: &str, frame: OutgoingFrame, now: BootTime) -> QueueOutcome {
        let Ok(position) = self.find_position(host) else { return QueueOutcome::Dropped };
        let entry = &mut self.entries[position];
        if let Some(queue) = &entry.queue {
            match queue.try_send(frame) {
                Ok(()) => return QueueOutcome::Queued,
                Err(mpsc::error::TrySendError::Full(_)) => return QueueOutcome::Dropped,
                Err(mpsc::error::TrySendError::Closed(returned)) => {
                    entry.queue = None;
                    return self.connect(position, returned, now);
                }
            }
        }
        self.connect(position, frame, now)
    }

    /// Creates a queue that holds the frame, unless the entry has no address or its retry time is not reached.
    fn connect(&mut self, position: usize, frame: OutgoingFrame, now: BootTime) -> QueueOutcome {
        let entry = &mut self.entries[position];
        let Some(address) = entry.address.clone() else { return QueueOutcome::Dropped };
        if now < entry.retry_at {
            return QueueOutcome::Dropped;
        }
        let (sender, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        if sender.try_send(frame).is_err() {
            return QueueOutcome::Dropped;
        }
        self.last_link_number += 1;
        entry.queue = Some(sender);
        entry.link_number = self.last_link_number;
        QueueOutcome::Connect(PendingConnection {
            host: entry.host.clone(),
            address,
            link_number: self.last_link_number,
            queue,
        })
    }

    /// Makes an accepted link the one on which frames to the host are sent; returns the number of the link and the
    /// receiver of its queue. The queue of an earlier link to the host is closed.
    pub(super) fn replace_sending_link(&mut self, host: &str) -> (u64, mpsc::Receiver<OutgoingFrame>) {
        let (sender, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
        self.last_link_number += 1;
        let link_number = self.last_link_number;
        let entry = self.find_or_insert_entry(host);
        entry.queue = Some(sender);
        entry.link_number = link_number;
        entry.retry_delay = Duration::ZERO;
        entry.retry_at = BootTime::ZERO;
        (link_number, queue)
    }

    /// Resets the retry delay of a host.
    pub(super) fn record_connection_opened(&mut self, host: &str) {
        self.find_or_insert_entry(host).retry_delay = Duration::ZERO;
    }

    /// Doubles the retry delay of a host and sets the time before which no connection is opened.
    pub(super) fn record_connection_failure(&mut self, host: &str, now: BootTime) {
        let entry = self.find_or_insert_entry(host);
        entry.retry_delay = (entry.retry_delay * 2).clamp(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        entry.retry_at = now + entry.retry_delay;
    }

    /// Removes the queue of a closed link, unless a newer link has replaced that link; removes the entry when it has
    /// neither a queue nor an address.
    pub(super) fn record_link_closed(&mut self, host: &str, link_number: u64) {
        if let Ok(position) = self.find_position(host) {
            let entry = &mut self.entries[position];
            if entry.link_number == link_number {
                entry.queue = None;
            }
            if entry.queue.is_none() && entry.address.is_none() {
                self.entries.remove(position);
            }
        }
    }

    /// Removes all entries and closes their queues.
    pub(super) fn close_all(&mut self) {
        self.entries.clear();
    }

    fn find_position(&self, host: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.host.as_str().cmp(host))
    }

    fn find_or_insert_entry(&mut self, host: &str) -> &mut PeerEntry {
        let position = match self.find_position(host) {
            Ok(position) => position,
            Err(position) => {
                self.entries.insert(position, PeerEntry { host: host.to_owned(), ..PeerEntry::default() });
                position
            }
        };
        &mut self.entries[position]
    }
}
