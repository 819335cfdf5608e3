//! HTTP client that keeps connections open between requests and holds thousands of streams.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Connection that carries one request at a time.
type LoadConnection = SendRequest<Full<Bytes>>;

/// Connections to one address that are idle.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<LoadConnection>>,
}

/// Answer that is being read.
pub(super) struct OpenAnswer {
    pub(super) status: u16,
    response: Response<Incoming>,
    connection: LoadConnection,
}

impl ConnectionPool {
    /// Pool for a base URL such as `http://127.0.0.1:8080`.
    pub(super) fn new(url: &str) -> io::Result<Self> {
        let text = url.trim_start_matches("http://").trim_end_matches('/');
        let address =
            text.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, format!("{url} is no URL")))?;
        Ok(Self { address, idle: Mutex::new(Vec::new()) })
    }

    pub(super) async fn send(&self, request: Request<Full<Bytes>>) -> io::Result<OpenAnswer> {
        let mut connection = self.connect().await?;
        connection.ready().await.map_err(io::Error::other)?;
        let response = connection.send_request(request).await.map_err(io::Error::other)?;
        Ok(OpenAnswer { status: response.status().as_u16(), response, connection })
    }

    pub(super) fn request(&self, method: &str, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(path).header("host", self.address.to_string())
    }

    async fn connect(&self) -> io::Result<LoadConnection> {
        loop {
            let idle = self.idle.lock().expect("the pool is intact").pop();
            match idle {
                Some(connection) if !connection.is_closed() => return Ok(connection),
                Some(_) => {}
                None => break,
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Reads the next bytes of a body; `None` at its end.
    pub(super) async fn read(&self, answer: &mut OpenAnswer) -> io::Result<Option<Bytes>> {
        loop {
            match answer.response.frame().await {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(io::Error::other(error)),
            }
        }
    }

    /// Reads the rest of a body and keeps the connection.
    pub(super) async fn read_all(&self, mut answer: OpenAnswer) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(data) = self.read(&mut answer).await? {
            body.extend_from_slice(&data);
        }
        self.keep(answer);
        Ok(body)
    }

    /// Keeps the connection of an answer that was read to its end.
    pub(super) fn keep(&self, answer: OpenAnswer) {
        self.idle.lock().expect("the pool is intact").push(answer.connection);
    }
}
