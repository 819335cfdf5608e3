//! Requests that reach the expected start of a target only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use camphorspring::relay::connection_pool::{ConnectionPool, ExpectedStart, SendBody};
use googletest::prelude::*;
use hyper::Request;

use super::answers::run;

/// Starts a target that says that it started at 7 ms, and records the paths that are asked for.
fn serve_target() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let paths = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&paths);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection is accepted");
            let seen = Arc::clone(&seen);
            std::thread::spawn(move || {
                let (mut head, mut byte) = (Vec::new(), [0]);
                while stream.read(&mut byte).is_ok_and(|count| count == 1) {
                    head.push(byte[0]);
                    if head.ends_with(b"\r\n\r\n") {
                        let text = String::from_utf8_lossy(&head).into_owned();
                        seen.lock().unwrap().push(text.split(' ').nth(1).unwrap_or_default().to_owned());
                        head.clear();
                        // The client may have closed the connection.
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7");
                    }
                }
            });
        }
    });
    (address, paths)
}

fn expected(started_ms: u64) -> ExpectedStart {
    let question = Request::get("/report").header("host", "e").body(SendBody::default()).expect("the request is valid");
    ExpectedStart { started_ms, question, decode: |body| std::str::from_utf8(body).ok()?.parse().ok() }
}

/// Guards against an output that goes on at a target that has started again, under its id, with another software.
#[gtest]
fn request_does_not_reach_another_start() {
    let (address, paths) = serve_target();
    let pool = ConnectionPool::new();
    let request = || Request::post("/run").header("host", "e").body(SendBody::default()).expect("the request is valid");
    let sent = run(async {
        let other = pool.send_to_start(address, request(), expected(5)).await.expect("the target answers");
        let same = pool.send_to_start(address, request(), expected(7)).await.expect("the target answers");
        let exchange = same.expect("it is the expected start");
        pool.give_back(exchange.connection, None);
        let again = pool.send_to_start(address, request(), expected(7)).await.expect("the target answers");
        (other.is_some(), again.is_some())
    });
    expect_that!(sent, eq((false, true)));
    let paths = paths.lock().unwrap().clone();
    expect_that!(paths, eq(&["/report", "/report", "/run", "/run"]), "a connection is asked once");
}
