//! Bounds the bytes that a connection brings without a part of a message.
//!
//! The HTTP library reads and parses for as long as bytes arrive. Interim responses, digits of a chunk size and the like
//! never reach the program, so that a faulty sender of these would occupy the thread that serves all callers, and timers
//! would be late. A connection therefore has a budget of bytes. Each part of a message that the program takes, a head or
//! a frame of a body, renews the budget; once it is used up, reads fail and the connection ends.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_io_timeout::TimeoutStream;

use crate::memory::{ConnectionLease, MemoryExhausted};
use crate::prelude::*;

/// Largest head of a message, and largest part of a body that is read at once, in bytes.
pub const MAX_PART_BYTES: usize = 32 * 1024;

/// Size of a budget in parts: the library reads up to two parts ahead, and a head may follow some interim ones.
const BUDGET_PARTS: usize = 4;

/// Bytes that a connection may still bring until the program takes a part of a message.
#[derive(Debug, Clone)]
pub struct ReadBudget {
    /// Size of the whole budget.
    bytes: usize,
    left: Arc<AtomicUsize>,
    /// Lease of a connection that was accepted; `None` for one that this host has opened.
    lease: Option<Arc<ConnectionLease>>,
}

impl Default for ReadBudget {
    fn default() -> Self {
        Self::for_parts(MAX_PART_BYTES)
    }
}

impl ReadBudget {
    /// Whole budget of a connection that brings parts of up to this many bytes.
    #[must_use]
    pub fn for_parts(part_bytes: usize) -> Self {
        let bytes = part_bytes.saturating_mul(BUDGET_PARTS);
        Self { bytes, left: Arc::new(AtomicUsize::new(bytes)), lease: None }
    }

    /// Adds the lease of a connection that was accepted, which counts the bytes too.
    #[must_use]
    pub fn with_lease(self, lease: Arc<ConnectionLease>) -> Self {
        Self { lease: Some(lease), ..self }
    }

    /// Restores the whole budget, since the program took a part of a message.
    pub fn renew(&self) {
        self.left.store(self.bytes, Ordering::Relaxed);
        if let Some(lease) = &self.lease {
            lease.record_part();
        }
    }

    /// Tells the lease what became of a write of this many bytes.
    fn record_write(&self, written: &Poll<std::io::Result<usize>>, bytes: usize) {
        let Some(lease) = &self.lease else { return };
        match written {
            Poll::Pending => lease.record_write(true, bytes),
            Poll::Ready(Ok(written)) => lease.record_write(false, bytes.saturating_sub(*written)),
            // The connection ends.
            Poll::Ready(Err(_)) => {}
        }
    }

    /// Takes bytes out of the budget; returns false when it does not have as many.
    fn spend(&self, bytes: usize) -> bool {
        let left = self.left.load(Ordering::Relaxed).checked_sub(bytes);
        self.left.store(left.unwrap_or_default(), Ordering::Relaxed);
        left.is_some()
    }
}

/// Socket whose reads fail once its budget is used up.
#[derive(Debug)]
pub struct BudgetedStream {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    budget: ReadBudget,
}

impl BudgetedStream {
    /// Wraps a connected socket.
    #[must_use]
    pub fn new(stream: TcpStream, budget: ReadBudget) -> Self {
        let peer = stream.peer_addr().ok();
        Self { stream, peer, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let length = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - length;
        let leased = self.budget.lease.as_ref().map(|lease| lease.record_read(bytes));
        if leased == Some(Err(MemoryExhausted)) {
            return Poll::Ready(Err(std::io::ErrorKind::OutOfMemory.into()));
        }
        if self.budget.spend(bytes) {
            return Poll::Ready(Ok(()));
        }
        if self.budget.lease.as_ref().is_none_or(|lease| lease.may_log()) {
            log::warn!(peer:? = self.peer, budget = self.budget.bytes; "bytes_without_end");
        }
        Poll::Ready(Err(std::io::Error::new(
            std::io::ErrorKind::InvalidData,
            "too many bytes without a part of a message",
        )))
    }
}

impl AsyncWrite for BudgetedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.budget.record_write(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.budget.record_write(&written, buffers.iter().map(|buffer| buffer.len()).sum());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Socket that was accepted, whose writes fail when the other end does not read for [`SLOW_READER_LIMIT`].
pub type AcceptedStream = Pin<Box<TimeoutStream<BudgetedStream>>>;

/// Wraps a socket that was accepted.
#[must_use]
pub fn accepted_stream(stream: TcpStream, budget: ReadBudget) -> AcceptedStream {
    let mut stream = TimeoutStream::new(BudgetedStream::new(stream, budget));
    stream.set_write_timeout(Some(SLOW_READER_LIMIT));
    Box::pin(stream)
}

/// Body that renews the budget of its connection with each frame.
#[derive(Debug)]
pub struct BudgetedBody {
    body: Incoming,
    budget: ReadBudget,
}

impl BudgetedBody {
    /// Wraps a body that arrives on a connection with this budget.
    #[must_use]
    pub fn new(body: Incoming, budget: ReadBudget) -> Self {
        Self { body, budget }
    }
}

impl Body for BudgetedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.budget.renew();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
