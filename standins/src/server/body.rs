//! Bodies of answers: whole, or streamed with an explicit end, so that a broken stream is told from a complete one.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces that wait for a slow reader.
const STREAM_PIECES: usize = 64;

#[derive(Debug)]
enum StreamPiece {
    Data(Bytes),
    Finish,
}

/// Writing end of a streamed body. Dropping it without [`StreamWriter::finish`] breaks the connection.
#[derive(Debug)]
pub struct StreamWriter {
    pieces: mpsc::Sender<StreamPiece>,
}

impl StreamWriter {
    /// Writes one piece; `false` when the reader is gone.
    pub async fn write(&self, data: Vec<u8>) -> bool {
        self.pieces.send(StreamPiece::Data(Bytes::from(data))).await.is_ok()
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        let _ = self.pieces.send(StreamPiece::Finish).await;
    }

    /// Waits until the reader is gone.
    pub async fn wait_for_disconnect(&self) {
        self.pieces.closed().await;
    }
}

/// Body of an answer.
#[derive(Debug)]
pub enum ResponseContent {
    /// All bytes at once.
    Whole(Bytes),
    /// Pieces as they are written by a [`StreamWriter`].
    Stream(StreamReader),
}

impl ResponseContent {
    /// A streamed body and its writer.
    #[must_use]
    pub fn streamed() -> (StreamWriter, Self) {
        let (pieces, receiver) = mpsc::channel(STREAM_PIECES);
        (StreamWriter { pieces }, Self::Stream(StreamReader { pieces: receiver, is_finished: false }))
    }
}

/// Reading end of a streamed body.
#[derive(Debug)]
pub struct StreamReader {
    pieces: mpsc::Receiver<StreamPiece>,
    is_finished: bool,
}

/// Body handed to hyper.
pub(super) enum ServerBody {
    Whole(Option<Bytes>),
    Stream(StreamReader),
}

impl ServerBody {
    pub(super) fn new(content: ResponseContent) -> Self {
        match content {
            ResponseContent::Whole(bytes) => Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty())),
            ResponseContent::Stream(reader) => Self::Stream(reader),
        }
    }
}

impl Body for ServerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let stream = match &mut *self {
            Self::Whole(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) if stream.is_finished => return Poll::Ready(None),
            Self::Stream(stream) => stream,
        };
        match stream.pieces.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(StreamPiece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(StreamPiece::Finish)) => {
                stream.is_finished = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(io::Error::other("the stream was broken off")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.is_finished,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
