//! Bodies of responses: complete, or streamed with an explicit end that distinguishes a complete stream from a broken
//! one.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces queued for a slow reader; the writer waits while the queue is full.
const MAX_QUEUED_PIECES: usize = 64;

/// Entry of the queue between writer and reader.
#[derive(Debug)]
enum StreamPiece {
    Data(Bytes),
    Finish,
}

/// Writing end of a streamed body. When it is dropped without [`StreamWriter::finish`], the connection is closed in the
/// middle of the body.
#[derive(Debug)]
pub struct StreamWriter {
    pieces: mpsc::Sender<StreamPiece>,
}

impl StreamWriter {
    /// Queues one piece of the body, after waiting for room. Returns `false` when the connection is closed.
    pub async fn write(&self, data: Vec<u8>) -> bool {
        self.pieces.send(StreamPiece::Data(Bytes::from(data))).await.is_ok()
    }

    /// Ends the body as complete; no effect when the connection is closed.
    pub async fn finish(self) {
        let _ = self.pieces.send(StreamPiece::Finish).await;
    }

    /// Waits until the connection is closed.
    pub async fn wait_for_disconnect(&self) {
        self.pieces.closed().await;
    }
}

/// Body of a response, complete at once or written while it is sent.
#[derive(Debug)]
pub enum ResponseContent {
    /// The complete body, sent with its length.
    Whole(Bytes),
    /// Pieces, sent as a [`StreamWriter`] writes them.
    Stream(StreamReader),
}

impl ResponseContent {
    /// Creates a streamed body and the writer for it.
    #[must_use]
    pub fn streamed() -> (StreamWriter, Self) {
        let (pieces, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
        (StreamWriter { pieces }, Self::Stream(StreamReader { pieces: receiver, is_finished: false }))
    }
}

/// Reading end of a streamed body, which the server reads.
#[derive(Debug)]
pub struct StreamReader {
    pieces: mpsc::Receiver<StreamPiece>,
    is_finished: bool,
}

/// Body in the form that hyper polls. An empty complete body is `Whole(None)`, so that it counts as ended at once.
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
