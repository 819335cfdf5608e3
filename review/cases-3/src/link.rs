//! Link between one host and one server: a TCP proxy that can be cut.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The link carries bytes.
pub const OPEN: u8 = 0;
/// Connections are reset, and new ones are refused.
pub const REFUSED: u8 = 1;

/// Interval at which a port looks whether it has to open or close.
const PORT_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts a link to `upstream`. While `is_up` is false, the server's machine refuses connections, and so does the link.
    pub fn start(upstream: SocketAddr, is_up: Arc<AtomicBool>) -> Self {
        let mut listener = Some(TcpListener::bind("127.0.0.1:0").expect("a free port"));
        let address = listener.as_ref().and_then(|listener| listener.local_addr().ok()).expect("an address");
        let link = Self { address, mode: Arc::default(), streams: Arc::default() };
        let this = link.clone();
        std::thread::spawn(move || {
            loop {
                let is_open = is_up.load(Ordering::Acquire) && this.mode.load(Ordering::Acquire) == OPEN;
                if !is_open && listener.take().is_some() {
                    this.close_streams();
                }
                if is_open && listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let Some(listener) = &listener else {
                    std::thread::sleep(PORT_INTERVAL);
                    continue;
                };
                let _ = listener.set_nonblocking(true);
                match listener.accept() {
                    Ok((stream, _)) => this.carry(stream, upstream),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::sleep(PORT_INTERVAL),
                    Err(_) => {}
                }
            }
        });
        link
    }

    pub fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::Release);
    }

    fn close_streams(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn carry(&self, client: TcpStream, upstream: SocketAddr) {
        let _ = client.set_nonblocking(false);
        let _ = client.set_nodelay(true);
        let Ok(server) = TcpStream::connect_timeout(&upstream, Duration::from_millis(500)) else { return };
        let _ = server.set_nodelay(true);
        for (from, to) in [(&client, &server), (&server, &client)] {
            let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
            self.streams.lock().unwrap().extend(from.try_clone());
            std::thread::spawn(move || {
                let mut part = [0; 65536];
                loop {
                    let length = match from.read(&mut part) {
                        Ok(length) if length > 0 => length,
                        _ => 0,
                    };
                    if length == 0 || to.write_all(&part[..length]).is_err() {
                        break;
                    }
                }
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            });
        }
    }
}
