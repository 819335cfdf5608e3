//! Response bodies, either complete or streamed in pieces through a bounded buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::prelude::*;

/// Why a piece of a streamed body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamSendError {
    /// The caller's connection is closed, or the server has dropped the body.
    ReaderGone,
    /// The buffer was full: [`BodySender::try_send`] fails at once, the other methods after [`SLOW_READER_LIMIT`].
    ReaderSlow,
}

enum BodyPiece {
    Data(Bytes),
    Finish,
}

/// Sending end of a streamed body. Dropping it without [`BodySender::finish`] aborts the response, so that the caller
/// can tell a broken stream from a complete one.
#[derive(Debug)]
pub struct BodySender {
    pieces: mpsc::Sender<BodyPiece>,
    runtime: Handle,
    send_timeout: Duration,
}

impl BodySender {
    /// Sends one piece; blocks while the buffer is full, so it must not be called in async code.
    ///
    /// # Errors
    ///
    /// The body was dropped with its connection, or the buffer stayed full for [`SLOW_READER_LIMIT`].
    pub fn send(&self, data: Vec<u8>) -> Result<(), StreamSendError> {
        self.send_piece(BodyPiece::Data(Bytes::from(data)))
    }

    /// Sends one piece if the buffer has room, without blocking.
    ///
    /// # Errors
    ///
    /// The body was dropped with its connection, or the buffer is full.
    pub fn try_send(&self, data: Vec<u8>) -> Result<(), StreamSendError> {
        self.pieces.try_send(BodyPiece::Data(Bytes::from(data))).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => StreamSendError::ReaderSlow,
            mpsc::error::TrySendError::Closed(_) => StreamSendError::ReaderGone,
        })
    }

    /// Ends the body as complete; blocks as [`BodySender::send`] does.
    ///
    /// # Errors
    ///
    /// The body was dropped with its connection, or the buffer stayed full for [`SLOW_READER_LIMIT`].
    pub fn finish(self) -> Result<(), StreamSendError> {
        self.send_piece(BodyPiece::Finish)
    }

    /// Whether the server has dropped the body, for example because the connection closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.pieces.is_closed()
    }

    fn send_piece(&self, piece: BodyPiece) -> Result<(), StreamSendError> {
        match self.pieces.try_send(piece) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(StreamSendError::ReaderGone),
            Err(mpsc::error::TrySendError::Full(piece)) => {
                // The timer needs the runtime's context, so the future is created inside `block_on`.
                let sent = self
                    .runtime
                    .block_on(async { tokio::time::timeout(self.send_timeout, self.pieces.send(piece)).await });
                match sent {
                    Ok(Ok(())) => Ok(()),
                    Ok(Err(_)) => Err(StreamSendError::ReaderGone),
                    Err(_) => Err(StreamSendError::ReaderSlow),
                }
            }
        }
    }
}

/// Response body as a handler returns it.
#[derive(Debug)]
pub enum ReplyBody {
    /// All bytes, sent with a `content-length`.
    Whole(Vec<u8>),
    /// Pieces that a [`BodySender`] sends while the response is written.
    Stream(PieceReceiver),
}

impl ReplyBody {
    /// Creates a streamed body with a buffer of [`STREAM_BUFFER`] pieces, and its sender.
    ///
    /// # Panics
    ///
    /// When called outside the context of a tokio runtime; a handler is always called inside one.
    #[must_use]
    pub fn streamed() -> (BodySender, Self) {
        let (pieces, receiver) = mpsc::channel(STREAM_BUFFER);
        let sender = BodySender { pieces, runtime: Handle::current(), send_timeout: SLOW_READER_LIMIT };
        (sender, Self::Stream(PieceReceiver { receiver, is_finished: false, is_flushed: false }))
    }
}

/// Receiving end of a streamed body, which the server reads while it writes the response.
#[derive(Debug)]
pub struct PieceReceiver {
    receiver: mpsc::Receiver<BodyPiece>,
    is_finished: bool,
    /// Whether an abort was already delayed by one poll, so that hyper could write the pieces that it buffers.
    is_flushed: bool,
}

impl std::fmt::Debug for BodyPiece {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Data(data) => write!(formatter, "Data({} bytes)", data.len()),
            Self::Finish => formatter.write_str("Finish"),
        }
    }
}

/// Body that hyper sends. The guard is dropped with the body, which lowers the count of requests.
pub(super) struct ServerBody {
    content: BodyContent,
    _guard: super::connection::RequestGuard,
}

enum BodyContent {
    Whole(Option<Bytes>),
    Stream(PieceReceiver),
}

impl ServerBody {
    pub(super) fn new(body: ReplyBody, guard: super::connection::RequestGuard) -> Self {
        let content = match body {
            ReplyBody::Whole(bytes) => BodyContent::Whole(Some(Bytes::from(bytes)).filter(|bytes| !bytes.is_empty())),
            ReplyBody::Stream(receiver) => BodyContent::Stream(receiver),
        };
        Self { content, _guard: guard }
    }
}

impl Body for ServerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.content {
            BodyContent::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            BodyContent::Stream(stream) if stream.is_finished => Poll::Ready(None),
            BodyContent::Stream(stream) => match stream.receiver.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(BodyPiece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(BodyPiece::Finish)) => {
                    stream.is_finished = true;
                    Poll::Ready(None)
                }
                // When a body returns an error, hyper drops the pieces that it has not written yet, such as the `error`
                // event of a stream. Pending once before the error makes hyper write them first.
                Poll::Ready(None) if !std::mem::replace(&mut stream.is_flushed, true) => {
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                Poll::Ready(None) => Poll::Ready(Some(Err(io::Error::other("the answer was aborted")))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            BodyContent::Whole(bytes) => bytes.is_none(),
            BodyContent::Stream(stream) => stream.is_finished,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            BodyContent::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            BodyContent::Stream(_) => SizeHint::default(),
        }
    }
}
