//! Measures how many threads and connections of the server are held by callers that send only half a request head.
//!
//! Run with `cargo run --release --example http_connections`.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorspring::http_server::{HttpResponse, HttpServer, ReplyBody, ServerLimits};

/// Number of connections that send only half a request head.
const HALF_HEADS: usize = 500;

fn count_threads() -> usize {
    std::fs::read_dir("/proc/self/task").map_or(0, Iterator::count)
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("runtime");
    let handler = Arc::new(|_| {
        let (sender, body) = ReplyBody::streamed();
        std::thread::spawn(move || {
            for _ in 0..5 {
                std::thread::sleep(Duration::from_millis(200));
                let _ = sender.send(b"piece\n".to_vec());
            }
            let _ = sender.finish();
        });
        HttpResponse::stream(200, "text/plain", body)
    });
    let server = HttpServer::start(&runtime, "127.0.0.1:0", ServerLimits::default(), handler).expect("listener");
    print_arrival_times(&server);
    println!("threads before: {}", count_threads());
    let streams: Vec<TcpStream> = (0..HALF_HEADS).map(|_| send_half_head(&server)).collect();
    std::thread::sleep(Duration::from_secs(2));
    println!("threads with {HALF_HEADS} half heads: {}", count_threads());
    std::thread::sleep(Duration::from_secs(6));
    let open = streams.iter().filter(|stream| is_open(stream)).count();
    println!("after 8 s: threads {}, connections still open {open}", count_threads());
}

/// Reads a streamed response and prints when each part arrives.
fn print_arrival_times(server: &HttpServer) {
    let start = Instant::now();
    let mut stream = TcpStream::connect(server.address()).expect("connection");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").expect("request");
    let mut buffer = [0; 4096];
    while let Ok(length) = stream.read(&mut buffer) {
        if length == 0 {
            break;
        }
        println!("read {length} bytes after {} ms", start.elapsed().as_millis());
    }
}

fn send_half_head(server: &HttpServer) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).expect("connection");
    stream.write_all(b"GET / HTTP/1.1\r\nhost:").expect("half a head");
    stream
}

fn is_open(stream: &TcpStream) -> bool {
    let mut stream = stream;
    let mut buffer = [0; 1];
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    matches!(stream.read(&mut buffer), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
