//! Moves the bytes of one direction of a connection.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{RelayDirection, RelayState};

/// Bytes read at one time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Chunks under way; more wait in the kernel, which slows the sender.
const CHUNKS: usize = 256;

struct DueChunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Moves bytes until either side closes. The end of the stream passes like its bytes.
pub(super) async fn run_pump(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    direction: RelayDirection,
    state: watch::Receiver<RelayState>,
) {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    tokio::join!(read_chunks(reader, sender, state.clone()), write_chunks(writer, receiver, direction, state));
}

async fn read_chunks(mut reader: OwnedReadHalf, sender: mpsc::Sender<DueChunk>, state: watch::Receiver<RelayState>) {
    let mut buffer = vec![0; CHUNK_BYTES];
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
        if sender.send(DueChunk { due, bytes: buffer[..length].to_vec() }).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut writer: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<DueChunk>,
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
