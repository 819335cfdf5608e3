//! A small HTTP/1.1 server with a thread for each connection, and a client with a connection for each call.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message was complete.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| header.1.as_str())
    }

    fn word(&self, position: usize) -> &str {
        self.start.split(' ').nth(position).unwrap_or_default()
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| decode(pair.1))
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a message; of a response, also one whose body ends with the connection.
fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Message> {
    let mut message = Message { start: line(reader)?, ..Message::default() };
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    let read = if is_chunked {
        read_chunks(reader, &mut message.body)
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)
    } else if is_response {
        reader.read_to_end(&mut message.body).map(|_| ())
    } else {
        Ok(())
    };
    message.whole = read.is_ok();
    Ok(message)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let size = usize::from_str_radix(line(reader)?.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !line(reader)?.is_empty() {}
            return Ok(());
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        line(reader)?;
    }
}

/// Writes a whole response.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Answers a request; an error ends the connection.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// A server on one port, which can be stopped and started again there.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    /// Count of the stops; a connection of an earlier start is closed.
    stops: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts on a free loopback port.
    pub fn start(handler: Handler) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Server { address, handler, stops: Arc::default(), connections: Arc::default() };
        server.accept(listener);
        server
    }

    /// Ends as a process does: connections are closed, and further ones are refused.
    pub fn stop(&self) {
        self.stops.fetch_add(1, Ordering::SeqCst);
        // The listener is closed by its thread.
        std::thread::sleep(ACCEPT_PAUSE * 4);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Listens again at the same address after a stop.
    pub fn start_again(&self) {
        self.accept(TcpListener::bind(self.address).expect("the port is still free"));
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("the listener can be polled");
        let start = self.stops.load(Ordering::SeqCst);
        let (handler, stops, connections) =
            (Arc::clone(&self.handler), Arc::clone(&self.stops), Arc::clone(&self.connections));
        std::thread::spawn(move || {
            while stops.load(Ordering::SeqCst) == start {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || serve_connection(stream, &handler));
            }
        });
    }
}

/// Pause between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Ok(request) = read_message(&mut reader, false) {
        if !request.whole || handler(&request, &mut writer).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

/// Serves on a free loopback port until the process ends.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

/// Encodes the head of a request.
pub fn request_head(method: &str, path: &str, headers: &[(&str, &str)], length: Option<usize>) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(length) = length {
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Sends a request on a new connection and reads the response; `None` when there is no response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&[u8]>,
    timeout: Duration,
) -> Option<Message> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request_head(method, path, headers, body.map(<[u8]>::len)).as_bytes()).ok()?;
    if let Some(body) = body {
        stream.write_all(body).ok()?;
    }
    stream
        .set_read_timeout(Some(deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))))
        .ok()?;
    let message = read_message(&mut BufReader::new(stream.try_clone().ok()?), true).ok()?;
    // A response with a length is whole; the connection is not needed any more.
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = io::sink().flush();
    let _ = stream.read(&mut [0; 1]);
    Some(message)
}

/// Sends a request on a new connection and passes the lines of its chunked answer on as they arrive; returns the status (0 without
/// an answer) and whether the answer is whole.
pub fn stream(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    mut on_line: impl FnMut(&str),
) -> (u16, bool) {
    let mut status = 0;
    let mut read = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(request_head("POST", path, headers, Some(body.len())).as_bytes())?;
        stream.write_all(body)?;
        let mut reader = BufReader::new(stream);
        let start = line(&mut reader)?;
        status = start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
        let mut is_chunked = false;
        loop {
            let line = line(&mut reader)?.to_ascii_lowercase();
            is_chunked |= line.starts_with("transfer-encoding:") && line.contains("chunked");
            if line.is_empty() {
                break;
            }
        }
        let mut rest = String::new();
        while is_chunked {
            let size = usize::from_str_radix(line(&mut reader)?.trim(), 16).map_err(io::Error::other)?;
            if size == 0 {
                return Ok(true);
            }
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            line(&mut reader)?;
            rest.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = rest.find('\n') {
                on_line(rest[..end].trim_end_matches('\r'));
                rest.drain(..=end);
            }
        }
        Ok(false)
    };
    let whole = read().unwrap_or(false);
    (status, whole)
}
