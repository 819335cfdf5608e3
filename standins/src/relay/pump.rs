//! Copies the bytes of one direction of a connection, with the delay and the cuts of the relay.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{RelayDirection, RelayState};

/// Size of the read buffer and of the largest chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Chunks held in one direction. Beyond that, the relay stops reading, and TCP flow control slows the sender.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Bytes that wait for the delay and for the end of a cut.
struct DelayedChunk {
    /// Earliest time to write the bytes.
    due: Instant,
    bytes: Vec<u8>,
}

/// Copies bytes until the reader ends or the writer fails. The end of the stream is passed on after the last byte.
pub(super) async fn copy_direction(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    direction: RelayDirection,
    state: watch::Receiver<RelayState>,
) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::join!(read_chunks(reader, sender, state.clone()), write_chunks(writer, receiver, direction, state));
}

/// Queues the bytes of the reader until it ends or fails, or until the writer has failed.
async fn read_chunks(
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<DelayedChunk>,
    state: watch::Receiver<RelayState>,
) {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            () = sender.closed() => return,
        };
        let Ok(length) = read else { return };
        if length == 0 {
            return;
        }
        let due = Instant::now() + state.borrow().delay;
        if sender.send(DelayedChunk { due, bytes: buffer[..length].to_vec() }).await.is_err() {
            return;
        }
    }
}

/// Writes the queued chunks when they are due and their direction is not cut, then closes the writer.
async fn write_chunks(
    mut writer: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<DelayedChunk>,
    direction: RelayDirection,
    mut state: watch::Receiver<RelayState>,
) {
    while let Some(chunk) = receiver.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        if state.wait_for(|state| !state.is_cut(direction)).await.is_err() {
            return;
        }
        if writer.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    // A cut also holds back the end of the stream.
    let _ = state.wait_for(|state| !state.is_cut(direction)).await;
    let _ = writer.shutdown().await;
}
