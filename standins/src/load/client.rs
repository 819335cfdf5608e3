//! HTTP client that reuses idle connections and can hold thousands of streams open.

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

/// Idle connections to one address; opens a new one when none is idle.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<LoadConnection>>,
}

/// Response whose body is being read, with the connection that it occupies.
pub(super) struct OpenResponse {
    pub(super) status: u16,
    http_response: Response<Incoming>,
    connection: LoadConnection,
}

impl ConnectionPool {
    /// Empty pool for a base URL such as `http://127.0.0.1:8080`; `http://` may be missing.
    ///
    /// Fails for host names, paths and other schemes.
    pub(super) fn new(url: &str) -> io::Result<Self> {
        let text = url.trim_start_matches("http://").trim_end_matches('/');
        let address =
            text.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, format!("{url} is no URL")))?;
        Ok(Self { address, idle: Mutex::new(Vec::new()) })
    }

    /// Sends a request on an idle or new connection and waits for the head of the response.
    pub(super) async fn send(&self, request: Request<Full<Bytes>>) -> io::Result<OpenResponse> {
        let mut connection = self.connect().await?;
        connection.ready().await.map_err(io::Error::other)?;
        let http_response = connection.send_request(request).await.map_err(io::Error::other)?;
        Ok(OpenResponse { status: http_response.status().as_u16(), http_response, connection })
    }

    /// Builder of a request to the address of the pool; `path` may have a query.
    pub(super) fn request_builder(&self, method: &str, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(path).header("host", self.address.to_string())
    }

    async fn connect(&self) -> io::Result<LoadConnection> {
        loop {
            let idle = self.idle.lock().expect("the pool lock is not poisoned").pop();
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
    pub(super) async fn read(&self, response: &mut OpenResponse) -> io::Result<Option<Bytes>> {
        loop {
            match response.http_response.frame().await {
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

    /// Reads the rest of a body and returns the connection to the pool.
    pub(super) async fn read_all(&self, mut response: OpenResponse) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(data) = self.read(&mut response).await? {
            body.extend_from_slice(&data);
        }
        self.release(response);
        Ok(body)
    }

    /// Returns the connection of a response to the pool; the body must have been read to its end.
    pub(super) fn release(&self, response: OpenResponse) {
        self.idle.lock().expect("the pool lock is not poisoned").push(response.connection);
    }
}
