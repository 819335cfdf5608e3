//! A small HTTP/1.1 server with one thread a connection, a client that opens a connection for each call, and a TCP relay
//! that can hold all bytes back.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    }

    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| decode_percent(value)).unwrap_or_default()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub enum Reply {
    /// Status, headers and body.
    Full(u16, Vec<(String, String)>, Vec<u8>),
    /// The handler has written a whole response itself.
    Written,
    /// The connection is closed without a response.
    Close,
}

impl Reply {
    pub fn json(status: u16, body: &str) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Self::Full(status, headers, body.as_bytes().to_vec())
    }
}

pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> Reply + Send + Sync>;

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// An address that is free now, for a process that binds it itself, also after a restart. The port is below those that the
/// system gives to connections.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let start = 12_000 + u16::try_from(std::process::id() % 900).unwrap_or_default() * 20;
    loop {
        let port = start + TRIED.fetch_add(1, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

pub fn serve(listener: TcpListener, handler: Handler) -> SocketAddr {
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request, &mut stream) {
            Reply::Full(status, headers, body) => {
                let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Written => {}
            Reply::Close => return,
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], until_end: bool) -> Option<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value);
    let mut body = Vec::new();
    if find("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.split(';').next()?, 16).ok()?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..]).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(body);
            }
        }
    }
    if let Some(length) = find("content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    } else if until_end {
        reader.read_to_end(&mut body).ok()?;
    }
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Some(Request { method, path: path.to_owned(), query: query.to_owned(), headers, body })
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// How a call without a whole response ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made.
    NotConnected,
    /// The connection ended, or the response was cut off.
    Ended(String),
    /// No whole response in time.
    TimedOut,
}

pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, CallError> {
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout));
    let mut stream = connected.map_err(|_| CallError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let to_error = |error: std::io::Error| match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => CallError::TimedOut,
        _ => CallError::Ended(error.to_string()),
    };
    stream.write_all(&bytes).map_err(to_error)?;
    let started = Instant::now();
    let mut reader = BufReader::new(stream);
    let ended = || {
        if started.elapsed() >= timeout {
            CallError::TimedOut
        } else {
            CallError::Ended("the connection ended before a whole response".to_owned())
        }
    };
    let line = read_line(&mut reader).ok_or_else(ended)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(ended)?;
    let headers = read_headers(&mut reader).ok_or_else(ended)?;
    let body = read_body(&mut reader, &headers, true).ok_or_else(ended)?;
    Ok(Answer { status, body })
}

/// What a relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// No byte passes in either direction, and connections stay open, as behind a silent partition. Bytes whose sender has
    /// reset its connection meanwhile are lost.
    Silent,
    /// Like [`Self::Silent`]; afterwards bytes and new connections pass when TCP would send them again: 0.2 s, 0.6 s, 1.4 s and
    /// so on after the first time, and 1 s, 3 s and so on for a new connection.
    Dropping,
}

/// TCP relay in front of a server.
pub struct Relay {
    pub address: SocketAddr,
    link: Arc<AtomicU8>,
}

impl Relay {
    pub fn start(upstream: SocketAddr) -> Self {
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let link = Arc::new(AtomicU8::new(0));
        let state = Arc::clone(&link);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let state = Arc::clone(&state);
                std::thread::spawn(move || {
                    wait_until_open(&state, Instant::now(), Duration::from_secs(1));
                    if !matches!(near.take_error(), Ok(None)) {
                        return;
                    }
                    let Ok(far) = TcpStream::connect(upstream) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
                    let back = Arc::clone(&state);
                    std::thread::spawn(move || pump(far_copy, near_copy, &back));
                    pump(near, far, &state);
                });
            }
        });
        Self { address, link }
    }

    pub fn set(&self, link: Link) {
        let state = match link {
            Link::Open => 0,
            Link::Silent => 1,
            Link::Dropping => 2,
        };
        self.link.store(state, Ordering::SeqCst);
    }
}

/// Waits while no byte passes. `since` is when the bytes were first sent, and `first_retry` when TCP first sends them again.
fn wait_until_open(link: &AtomicU8, since: Instant, first_retry: Duration) {
    let mut has_dropped = false;
    loop {
        match link.load(Ordering::SeqCst) {
            0 => break,
            state => has_dropped |= state == 2,
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let mut retry = first_retry;
    while has_dropped && since.elapsed() > retry {
        retry = retry * 2 + first_retry;
    }
    if has_dropped {
        std::thread::sleep(retry.saturating_sub(since.elapsed()));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &AtomicU8) {
    let mut buffer = vec![0; 64 * 1024];
    let _ = from.set_read_timeout(Some(Duration::from_millis(10)));
    loop {
        // Bytes stay in the sender's connection until they may pass.
        let peeked = from.peek(&mut [0]);
        let is_quiet = peeked.as_ref().is_err_and(|error| {
            matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
        });
        if is_quiet && matches!(from.take_error(), Ok(None)) {
            continue;
        }
        wait_until_open(link, Instant::now(), Duration::from_millis(200));
        let is_open = matches!(from.take_error(), Ok(None));
        let count = if is_open && matches!(peeked, Ok(1..)) { from.read(&mut buffer).unwrap_or_default() } else { 0 };
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
