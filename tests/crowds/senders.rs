//! Clients that send requests which never end, or many at once, and stay connected.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a client gives up a write that the host does not read, and stays connected. It ends the sending, not the test.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Most bytes that a client hands over in one write.
const WRITE_BYTES: usize = 256 * 1024;

/// Most clients that send at the same time.
const PARALLEL_CLIENTS: usize = 40;

/// How a client sends a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyForm {
    /// With its length; all of it, or all but the last byte.
    Sized { is_whole: bool },
    /// In chunks of this many bytes, without the last chunk.
    Chunked { chunk_bytes: usize },
}

/// Bytes of a request with a body of this size, and `head` without its last headers.
pub fn format_body(head: &str, form: BodyForm, body: &[u8]) -> Vec<u8> {
    let mut request = head.as_bytes().to_vec();
    match form {
        BodyForm::Sized { is_whole } => {
            request.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
            request.extend_from_slice(&body[..body.len() - usize::from(!is_whole)]);
        }
        BodyForm::Chunked { chunk_bytes } => {
            request.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
            for chunk in body.chunks(chunk_bytes) {
                request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                request.extend_from_slice(chunk);
                request.extend_from_slice(b"\r\n");
            }
        }
    }
    request
}

fn send(address: SocketAddr, request: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    for part in request.chunks(WRITE_BYTES) {
        // A host may refuse the request and close the connection at any point.
        if stream.write_all(part).is_err() {
            break;
        }
    }
    Some(stream)
}

/// Sends the same request on up to `count` connections, which stay open until they are dropped.
pub fn send_crowd(address: SocketAddr, count: usize, request: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    while streams.len() < count {
        let parallel = PARALLEL_CLIENTS.min(count - streams.len());
        let sent = std::thread::scope(|scope| {
            let senders: Vec<_> = (0..parallel).map(|_| scope.spawn(|| send(address, request))).collect();
            senders.into_iter().filter_map(|sender| sender.join().expect("the client ends")).collect::<Vec<_>>()
        });
        // A host that accepts no connection any more is found by the checks.
        if sent.is_empty() {
            break;
        }
        streams.extend(sent);
    }
    streams
}
