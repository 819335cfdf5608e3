//! Relay, with an echo service behind it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use camphorspring_standins::{RelayCommand, RelayDirection, RelayOptions, RelayStandin};
use googletest::prelude::*;

use super::support::{WAIT_LIMIT, post};

/// Time in which a byte passes unless it is held back.
const HELD: Duration = Duration::from_millis(200);

fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || echo(stream));
        }
    });
    address
}

fn echo(mut stream: TcpStream) {
    let mut byte = [0];
    while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
}

fn start_relay() -> RelayStandin {
    let options = RelayOptions { address: "127.0.0.1:0".to_owned(), upstream: start_echo() };
    RelayStandin::start(options).expect("a port")
}

/// Sends a byte; `None` when it does not come back within `limit`.
fn exchange(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    stream.write_all(&[42]).ok()?;
    receive(stream, limit)
}

fn receive(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    let mut byte = [0];
    stream.set_read_timeout(Some(limit)).expect("a timeout");
    stream.read_exact(&mut byte).ok().map(|()| byte[0])
}

/// Guards against a cut that lets bytes pass, loses them, or closes the connection.
#[googletest::test]
fn cut_holds_bytes_until_restored() {
    for direction in [RelayDirection::Forward, RelayDirection::Backward, RelayDirection::Both] {
        let relay = start_relay();
        let mut stream = TcpStream::connect(relay.address()).expect("a connection");
        expect_that!(exchange(&mut stream, WAIT_LIMIT), some(eq(42)));
        relay.order(RelayCommand::Cut { direction });
        expect_that!(exchange(&mut stream, HELD), none(), "{direction:?}");
        let mut second = TcpStream::connect(relay.address()).expect("a connection");
        expect_that!(exchange(&mut second, HELD), none(), "{direction:?}");
        relay.order(RelayCommand::Restore);
        expect_that!(receive(&mut stream, WAIT_LIMIT), some(eq(42)), "{direction:?}");
        expect_that!(receive(&mut second, WAIT_LIMIT), some(eq(42)), "{direction:?}");
    }
}

/// Guards against orders by HTTP that have no effect, and against latency that is not added.
#[googletest::test]
fn relay_is_slowed_and_reset_through_the_control_address() {
    let relay = start_relay();
    let url = format!("http://{}/relay", relay.control_address());
    let mut stream = TcpStream::connect(relay.address()).expect("a connection");
    expect_that!(exchange(&mut stream, WAIT_LIMIT), some(eq(42)));
    post(&url, r#"{"action":"slow","delay_ms":60}"#, WAIT_LIMIT).expect("an answer");
    let start = Instant::now();
    expect_that!(exchange(&mut stream, WAIT_LIMIT), some(eq(42)));
    expect_that!(start.elapsed(), ge(Duration::from_millis(120)));
    post(&url, r#"{"action":"reset"}"#, WAIT_LIMIT).expect("an answer");
    expect_that!(receive(&mut stream, WAIT_LIMIT), none());
    let status = post(&url, r#"{"action":"cut"}"#, WAIT_LIMIT).expect("an answer").status;
    expect_that!(status, eq(400));
}
