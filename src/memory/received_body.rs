//! Bodies in memory, as segments of one size.
//!
//! The segments of a body are allocated as its bytes arrive and are never joined, so that a body is in memory once, however
//! it was divided into chunks and whatever length its sender had announced.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{BufReader, Read};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use serde::de::DeserializeSeed;

use super::{MemoryBudget, MemoryExhausted, MemoryLease};
use crate::prelude::*;

/// Size of a segment in bytes. The allocator can use the memory of one for the next one.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Size of the first allocation for a body in bytes, which holds most requests.
const FIRST_BYTES: usize = 2 * 1024;

/// Bytes of a body after which its progress is recorded; a chunk may have one byte.
const PROGRESS_INTERVAL_BYTES: usize = 4 * 1024;

/// Size up to which a body is copied into one buffer to be decoded, which is faster.
const MAX_JOINED_BYTES: usize = 1024 * 1024;

/// Time for which a refused body is still read, so that its sender gets the answer before the connection is reset.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Most bytes of a refused body that are still read.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Most bytes that the HTTP library buffers of a connection that brings a body of several segments.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Reason why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveError {
    /// The body is larger than its limit.
    TooLarge,
    /// The connection broke, or the bytes are no body.
    Broken,
    /// There is no memory for the body now.
    NoMemory,
}

impl From<MemoryExhausted> for ReceiveError {
    fn from(_: MemoryExhausted) -> Self {
        Self::NoMemory
    }
}

/// Complete body; clones share its bytes and its lease.
#[derive(Debug, Clone, Default)]
pub struct ReceivedBody {
    segments: Vec<Bytes>,
    lease: Option<Arc<MemoryLease>>,
}

impl From<Bytes> for ReceivedBody {
    fn from(bytes: Bytes) -> Self {
        Self { segments: vec![bytes], lease: None }
    }
}

impl From<Vec<Bytes>> for ReceivedBody {
    fn from(segments: Vec<Bytes>) -> Self {
        Self { segments, lease: None }
    }
}

impl ReceivedBody {
    /// Size in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Whether the body has no byte.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Parts of the body, in order.
    #[must_use]
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Copies the body into one buffer.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        self.segments.concat()
    }

    /// Copies the body into one buffer, which the lease covers.
    #[must_use]
    pub fn into_vec(self) -> (Vec<u8>, Option<Arc<MemoryLease>>) {
        (self.to_vec(), self.lease)
    }

    /// Decodes the body as JSON. The segments of a large body are dropped one by one as they are decoded.
    ///
    /// # Errors
    ///
    /// The body is not JSON, or not of the expected form.
    pub fn decode_json<V>(self, seed: impl for<'de> DeserializeSeed<'de, Value = V>) -> serde_json::Result<V> {
        if self.len() <= MAX_JOINED_BYTES {
            let bytes = self.to_vec();
            let mut decoder = serde_json::Deserializer::from_slice(&bytes);
            let value = seed.deserialize(&mut decoder)?;
            return decoder.end().map(|()| value);
        }
        let reader = BufReader::with_capacity(SEGMENT_BYTES, self.into_reader());
        let mut decoder = serde_json::Deserializer::from_reader(reader);
        let value = seed.deserialize(&mut decoder)?;
        decoder.end().map(|()| value)
    }

    /// Reader that gives the memory of each segment back once it was read.
    #[must_use]
    pub fn into_reader(self) -> SegmentReader {
        SegmentReader { segments: self.segments.into(), lease: self.lease }
    }
}

/// Reader of segments; drops each one once it was read.
#[derive(Debug)]
pub struct SegmentReader {
    segments: VecDeque<Bytes>,
    lease: Option<Arc<MemoryLease>>,
}

impl Read for SegmentReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        while let Some(segment) = self.segments.front_mut() {
            if segment.is_empty() {
                self.segments.pop_front();
                if let Some(lease) = &self.lease {
                    lease.shrink(SEGMENT_BYTES);
                }
                continue;
            }
            let length = segment.len().min(buffer.len());
            buffer[..length].copy_from_slice(&segment.split_to(length));
            return Ok(length);
        }
        Ok(0)
    }
}

/// Body that is sent to a target, to the store or to a peer; complete, so that an unsent request can be sent again.
#[derive(Debug, Clone, Default)]
pub struct SendBody {
    segments: VecDeque<Bytes>,
    _lease: Option<Arc<MemoryLease>>,
}

impl SendBody {
    /// Body of these bytes.
    #[must_use]
    pub fn new(bytes: Bytes) -> Self {
        ReceivedBody::from(bytes).into()
    }
}

impl From<ReceivedBody> for SendBody {
    fn from(body: ReceivedBody) -> Self {
        let segments = body.segments.into_iter().filter(|segment| !segment.is_empty()).collect();
        Self { segments, _lease: body.lease }
    }
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.segments.pop_front().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.segments.iter().map(|segment| segment.len() as u64).sum())
    }
}

/// Receives a whole body of up to `max_bytes`, with a lease from `budget`. The body may be ended to make room for others
/// as long as it is not complete.
///
/// # Errors
///
/// See [`ReceiveError`]; what has arrived is dropped, and the rest of the body is still to be read from `body`.
pub async fn receive_body<B>(
    budget: &Arc<MemoryBudget>,
    body: &mut B,
    max_bytes: usize,
) -> Result<ReceivedBody, ReceiveError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(ReceivedBody::default());
    }
    let lease = budget.lease_body();
    tokio::select! {
        biased;
        () = lease.wait_yielded() => return Err(ReceiveError::NoMemory),
        result = collect_segments(&lease, body, max_bytes) => result?,
    }
    if !lease.settle() {
        return Err(ReceiveError::NoMemory);
    }
    Ok(ReceivedBody { segments: lease.take_segments(), lease: Some(Arc::new(lease)) })
}

async fn collect_segments<B>(lease: &MemoryLease, body: &mut B, max_bytes: usize) -> Result<(), ReceiveError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut total = 0;
    let mut unrecorded = 0;
    let mut segment = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReceiveError::Broken)?;
        let mut data = frame.data_ref().map_or(&[][..], |data| data);
        total += data.len();
        if total > max_bytes {
            return Err(ReceiveError::TooLarge);
        }
        unrecorded += data.len();
        if unrecorded >= PROGRESS_INTERVAL_BYTES {
            lease.record_progress(std::mem::take(&mut unrecorded));
        }
        while !data.is_empty() {
            if segment.len() == segment.capacity() {
                make_space(lease, &mut segment)?;
            }
            let length = data.len().min(segment.capacity() - segment.len());
            segment.extend_from_slice(&data[..length]);
            data = &data[length..];
        }
    }
    lease.push_segment(segment.freeze());
    Ok(())
}

/// Makes space in a segment that is full: a small one grows, and a large one is replaced by the next one.
fn make_space(lease: &MemoryLease, segment: &mut BytesMut) -> Result<(), MemoryExhausted> {
    let capacity = segment.capacity();
    if capacity >= SEGMENT_BYTES {
        lease.grow(SEGMENT_BYTES)?;
        lease.push_segment(std::mem::replace(segment, BytesMut::with_capacity(SEGMENT_BYTES)).freeze());
    } else {
        let next_capacity = (capacity * 4).clamp(FIRST_BYTES, SEGMENT_BYTES);
        let buffers = if next_capacity == SEGMENT_BYTES { READ_BUFFER_BYTES } else { 0 };
        lease.grow(next_capacity - capacity + buffers)?;
        let mut larger = BytesMut::with_capacity(next_capacity);
        larger.extend_from_slice(segment);
        *segment = larger;
    }
    Ok(())
}

/// Reads on for a while after a refusal, without keeping anything. Closing a connection with unread bytes resets it, and the
/// sender might lose the answer.
pub fn linger<B>(budget: &Arc<MemoryBudget>, mut body: B)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    let lease = budget.lease_body();
    if body.is_end_stream() || lease.grow(READ_BUFFER_BYTES).is_err() {
        return;
    }
    tokio::spawn(async move {
        let read = async {
            let mut total = 0;
            while let Some(Ok(frame)) = body.frame().await
                && total < LINGER_BYTES
            {
                total += frame.data_ref().map_or(0, Bytes::len);
            }
        };
        tokio::select! {
            () = read => {}
            () = tokio::time::sleep(LINGER_TIME) => {}
            () = lease.wait_yielded() => {}
        }
    });
}
