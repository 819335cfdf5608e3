//! HTTP/1.1 on blocking sockets: a server with a thread for each connection, and a client for single requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Message as received; names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Path with the query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut position) = (Vec::new(), 0);
    while position < bytes.len() {
        let hex = (bytes[position] == b'%').then(|| text.get(position + 1..position + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            position += 3;
        } else {
            decoded.push(bytes[position]);
            position += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reader of one connection.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> bool {
        let mut part = [0; 16384];
        match self.stream.read(&mut part) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&part[..length]);
                true
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return String::from_utf8(line[..end].to_vec()).ok();
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn read_bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Option<Message> {
        let first = self.read_line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Some(Message { line: first, headers, body: Vec::new() });
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads one chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(self.read_line()?.split(';').next()?.trim(), 16).ok()?;
        let chunk = self.read_bytes(size)?;
        self.read_line()?;
        Some(chunk)
    }

    /// Reads a whole message; `None` when it does not arrive whole.
    pub fn read_message(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        } else if let Some(length) = message.header("content-length").and_then(|length| length.parse().ok()) {
            message.body = self.read_bytes(length)?;
        }
        Some(message)
    }
}

/// Bytes of a whole response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection and sends a request on it.
pub fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Option<Connection> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    Some(Connection::new(stream))
}

/// Sends a request on a new connection; `None` without a whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Option<Message> {
    let started = Instant::now();
    let message = open(address, method, path, headers, body, patience)?.read_message();
    message.filter(|_| started.elapsed() < patience + Duration::from_secs(1))
}
