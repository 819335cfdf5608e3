//! Leases of connections: accepts connections, and counts the bytes of heads that have not ended.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};
use tokio::net::{TcpListener, TcpStream};

use super::lease_table::YieldRule;
use super::{MemoryBudget, MemoryExhausted, MemoryLease};
use crate::prelude::*;

/// Bytes that each connection counts for: its state and its first read buffer.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Part of [`CONNECTION_BYTES`] for the read buffer.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Wait after a failed accept, for example when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Lease of a connection, which yields to others while the connection has no complete request.
#[derive(Debug)]
pub struct ConnectionLease {
    lease: MemoryLease,
    /// Bytes that have arrived since the program took the last part of a message.
    buffered: AtomicUsize,
    /// Bytes that wait for the other end to read.
    unsent: AtomicUsize,
    /// Whether the other end does not read at present.
    is_blocked: AtomicBool,
    /// Whether the head of a request has arrived, and its response has not been handed over whole.
    has_request: AtomicBool,
    /// Whether that request is complete.
    is_busy: AtomicBool,
}

impl ConnectionLease {
    fn new(lease: MemoryLease) -> Self {
        Self {
            lease,
            buffered: AtomicUsize::new(0),
            unsent: AtomicUsize::new(0),
            is_blocked: AtomicBool::new(false),
            has_request: AtomicBool::new(false),
            is_busy: AtomicBool::new(false),
        }
    }

    /// Counts bytes that were read from the connection. Those of a body are counted by the lease of the body.
    ///
    /// # Errors
    ///
    /// There is no memory for a head of this size.
    pub fn record_read(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        self.lease.record_progress(bytes);
        if self.has_request.load(Ordering::Acquire) {
            return Ok(());
        }
        let before = self.buffered.fetch_add(bytes, Ordering::AcqRel);
        let excess = |length: usize| length.saturating_sub(READ_BUFFER_BYTES);
        match excess(before + bytes) - excess(before) {
            0 => Ok(()),
            growth => self.lease.grow(growth),
        }
    }

    /// Gives back the bytes of a part of a message, since the program took it.
    pub fn record_part(&self) {
        let excess = self.buffered.swap(0, Ordering::AcqRel).saturating_sub(READ_BUFFER_BYTES);
        if excess > 0 {
            self.lease.shrink(excess);
        }
    }

    /// The head of a request has arrived.
    pub fn begin_request(&self, has_body: bool) {
        self.has_request.store(true, Ordering::Release);
        if !has_body {
            self.settle();
        }
    }

    /// A complete request has arrived: the connection stays until it is answered.
    pub fn settle(&self) {
        self.set_busy(true);
    }

    fn end_request(&self) {
        self.has_request.store(false, Ordering::Release);
        self.set_busy(false);
    }

    fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Release);
        if !self.is_blocked.load(Ordering::Acquire) {
            self.apply_rule();
        }
    }

    fn apply_rule(&self) {
        let is_busy = self.is_busy.load(Ordering::Acquire);
        // A connection that has yielded ends, whatever has arrived on it.
        let _ = self.lease.set_rule(if is_busy { YieldRule::Never } else { YieldRule::Always });
    }

    /// Records the outcome of a write, and how many bytes are left to write. A connection whose other end does not read yields
    /// even while its request is answered.
    pub fn record_write(&self, is_blocked: bool, unsent: usize) {
        let before = self.unsent.swap(unsent, Ordering::AcqRel);
        if unsent > before {
            self.lease.grow_by_held(unsent - before);
        } else if before > unsent {
            self.lease.shrink(before - unsent);
        }
        let was_blocked = self.is_blocked.swap(is_blocked, Ordering::AcqRel);
        if is_blocked && (!was_blocked || unsent < before) {
            let _ = self.lease.set_rule(YieldRule::WhenStalled);
        } else if was_blocked && !is_blocked {
            self.apply_rule();
        }
    }

    /// Whether a line on clients that do not behave may be logged now.
    #[must_use]
    pub fn may_log(&self) -> bool {
        self.lease.budget().may_log()
    }

    /// Waits until the connection has to make room for another one.
    pub async fn wait_yielded(&self) {
        self.lease.wait_yielded().await;
    }
}

/// Accepts the next connection for which there is room; closes others.
pub async fn accept_connection(
    listener: &TcpListener,
    budget: &Arc<MemoryBudget>,
) -> (TcpStream, Arc<ConnectionLease>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Ok(lease) = budget.lease_connection(CONNECTION_BYTES).await {
                    return (stream, Arc::new(ConnectionLease::new(lease)));
                }
            }
            Err(error) => {
                let ended = budget.end_idle_connection();
                if budget.may_log() {
                    log::warn!(error = error.to_string(), idle_connection_ended = ended; "accept_failed");
                }
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Body of a response; once it is sent or dropped, its connection yields to others again.
#[derive(Debug)]
pub struct LeasedBody<B> {
    body: B,
    lease: Arc<ConnectionLease>,
}

impl<B> LeasedBody<B> {
    /// Body of a response on the connection with this lease.
    #[must_use]
    pub fn new(body: B, lease: Arc<ConnectionLease>) -> Self {
        Self { body, lease }
    }
}

impl<B> Drop for LeasedBody<B> {
    fn drop(&mut self) {
        self.lease.end_request();
    }
}

impl<B: Body + Unpin> Body for LeasedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
