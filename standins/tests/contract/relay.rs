//! Contract tests of the relay, with an echo server as upstream.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use camphorspring_standins::{RelayCommand, RelayDirection, RelayOptions, RelayStandin};
use googletest::prelude::*;

use super::support::{WAIT_LIMIT, post};

/// Wait after which a byte counts as held back; one that is not comes back much sooner.
const HELD_TIMEOUT: Duration = Duration::from_millis(200);

fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || echo_bytes(stream));
        }
    });
    address
}

fn echo_bytes(mut stream: TcpStream) {
    let mut byte = [0];
    while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
}

fn start_relay() -> RelayStandin {
    let options = RelayOptions { address: "127.0.0.1:0".to_owned(), upstream: start_echo_server() };
    RelayStandin::start(options).expect("a port")
}

/// Sends a byte and returns the one received; `None` when none arrives within `timeout` or the connection is closed.
fn exchange_byte(stream: &mut TcpStream, timeout: Duration) -> Option<u8> {
    stream.write_all(&[42]).ok()?;
    receive_byte(stream, timeout)
}

/// Returns the next byte; `None` when none arrives within `timeout` or the connection is closed.
fn receive_byte(stream: &mut TcpStream, timeout: Duration) -> Option<u8> {
    let mut byte = [0];
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    stream.read_exact(&mut byte).ok().map(|()| byte[0])
}

/// Guards against a cut that lets bytes pass, loses them, or closes the connection instead of holding them back.
#[googletest::test]
fn cut_holds_bytes_until_restored() {
    for direction in [RelayDirection::Forward, RelayDirection::Backward, RelayDirection::Both] {
        let relay = start_relay();
        let mut stream = TcpStream::connect(relay.address()).expect("a connection");
        expect_that!(exchange_byte(&mut stream, WAIT_LIMIT), some(eq(42)));
        relay.order(RelayCommand::Cut { direction });
        expect_that!(exchange_byte(&mut stream, HELD_TIMEOUT), none(), "{direction:?}");
        let mut second = TcpStream::connect(relay.address()).expect("a connection");
        expect_that!(exchange_byte(&mut second, HELD_TIMEOUT), none(), "{direction:?}");
        relay.order(RelayCommand::Restore);
        expect_that!(receive_byte(&mut stream, WAIT_LIMIT), some(eq(42)), "{direction:?}");
        expect_that!(receive_byte(&mut second, WAIT_LIMIT), some(eq(42)), "{direction:?}");
    }
}

/// Guards against commands over HTTP that have no effect, and against a delay that is not added in both directions.
#[googletest::test]
fn relay_is_slowed_and_reset_through_the_control_address() {
    let relay = start_relay();
    let url = format!("http://{}/relay", relay.control_address());
    let mut stream = TcpStream::connect(relay.address()).expect("a connection");
    expect_that!(exchange_byte(&mut stream, WAIT_LIMIT), some(eq(42)));
    post(&url, r#"{"action":"slow","delay_ms":60}"#, WAIT_LIMIT).expect("an answer");
    let start = Instant::now();
    expect_that!(exchange_byte(&mut stream, WAIT_LIMIT), some(eq(42)));
    expect_that!(start.elapsed(), ge(Duration::from_millis(120)));
    post(&url, r#"{"action":"reset"}"#, WAIT_LIMIT).expect("an answer");
    expect_that!(receive_byte(&mut stream, WAIT_LIMIT), none());
    let status = post(&url, r#"{"action":"cut"}"#, WAIT_LIMIT).expect("an answer").status;
    expect_that!(status, eq(400));
}
