//! Streams that callers take up after they broke off, while engines of two versions of their software serve.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use camphorspring_standins::{FaultKind, FaultSpec, RelayCommand, RelayDirection};
use googletest::prelude::*;
use rustix::process::Signal;

use crate::installation::{CALLER_HOST, CALLER_KEY, HOST_COUNT, START_TIMEOUT, SoakInstallation};
use crate::software::{check_streams, engines, restart_all_hosts};
use crate::stand_ins::callers::{LAST_EVENT_HEADER, REQUEST_ID_HEADER, RESUMES_HEADER};
use crate::stand_ins::target::EVENTS_HEADER;

/// Number of streams that callers take up.
const STREAM_COUNT: usize = 12;

/// Events of a stream; at 8 ms an event, a stream lasts for 4 s.
const STREAM_EVENTS: u64 = 500;

/// Events after which the streams of a test break off.
const BROKEN_AFTER: u64 = 40;

/// Time in which a caller tries to take a stream up.
const TAKE_UP_TIME: Duration = Duration::from_secs(8);

/// Stream of events as a caller receives it.
struct CallerStream {
    status: String,
    lines: BufReader<TcpStream>,
}

impl CallerStream {
    /// Sends a request for a stream to a host; `None` when no response head arrives.
    fn open(installation: &SoakInstallation, host: usize, id: &str, resumed: Option<(&str, u64)>) -> Option<Self> {
        let address = installation.caller_url(host).replace("http://", "");
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let resumed = resumed.map_or(String::new(), |(first, event)| {
            format!("{RESUMES_HEADER}: {first}\r\n{LAST_EVENT_HEADER}: {event}\r\n")
        });
        let head = format!(
            "POST /stream/run HTTP/1.1\r\nhost: {CALLER_HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             {REQUEST_ID_HEADER}: {id}\r\n{EVENTS_HEADER}: {STREAM_EVENTS}\r\n{resumed}content-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let mut lines = BufReader::new(stream);
        let mut status = String::new();
        lines.read_line(&mut status).ok().filter(|length| *length > 0)?;
        Some(Self { status, lines })
    }

    fn is_ok(&self) -> bool {
        self.status.contains(" 200 ")
    }

    /// Reads events up to this number; returns the number of the last one read.
    fn read_until(&mut self, event: u64) -> u64 {
        let mut last = 0;
        let mut line = String::new();
        while last < event && self.lines.read_line(&mut line).is_ok_and(|length| length > 0) {
            last = line.trim().strip_prefix("id: ").and_then(|number| number.parse().ok()).unwrap_or(last);
            line.clear();
        }
        last
    }
}

/// Starts the streams of a test, each at a host of its own turn, and reads the first events of each.
fn begin_streams(installation: &SoakInstallation) -> Vec<CallerStream> {
    let mut streams = Vec::new();
    for number in 0..STREAM_COUNT {
        let id = format!("stream-{number}");
        let mut stream = CallerStream::open(installation, number % HOST_COUNT, &id, None).expect("the host answers");
        assert!(stream.is_ok(), "{}", stream.status);
        assert_eq!(stream.read_until(BROKEN_AFTER), BROKEN_AFTER);
        streams.push(stream);
    }
    streams
}

/// Takes the streams of [`begin_streams`] up at other hosts than before; returns how many went on to their last event.
fn take_streams_up(installation: &SoakInstallation) -> usize {
    let take_up = |number: usize| {
        let first = format!("stream-{number}");
        let started_at = Instant::now();
        for attempt in 1.. {
            let id = format!("{first}-{attempt}");
            let host = (number + attempt) % HOST_COUNT;
            let stream = CallerStream::open(installation, host, &id, Some((&first, BROKEN_AFTER)));
            if let Some(mut stream) = stream.filter(CallerStream::is_ok) {
                return stream.read_until(STREAM_EVENTS) == STREAM_EVENTS;
            }
            if started_at.elapsed() > TAKE_UP_TIME {
                return false;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    };
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAM_COUNT).map(|number| scope.spawn(move || take_up(number))).collect();
        callers.into_iter().map(|caller| usize::from(caller.join().expect("no caller panics"))).sum()
    })
}

/// Guards against a stream that goes on at another version of the software when its caller takes it up at a host that did
/// not begin it, also after all hosts were killed, and against take-ups that are refused though their version serves.
#[gtest]
fn streams_are_taken_up_at_the_version_that_began_them() {
    let installation = SoakInstallation::start(1_101);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let streams = begin_streams(&installation);
    engines(&installation)[0].standin.release("2");
    std::thread::sleep(Duration::from_secs(1));
    drop(streams);
    restart_all_hosts(&installation);
    let resumed = take_streams_up(&installation);
    check_streams(&installation);
    expect_that!(resumed, ge(STREAM_COUNT / 2));
}

/// Guards against a stream that goes on at the new version after the servers of the old one have left and all hosts were
/// killed.
#[gtest]
fn streams_of_a_version_that_has_left_are_refused() {
    let installation = SoakInstallation::start(1_102);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let streams = begin_streams(&installation);
    for engine in engines(&installation) {
        engine.standin.release("2");
    }
    std::thread::sleep(Duration::from_secs(1));
    drop(streams);
    restart_all_hosts(&installation);
    let resumed = take_streams_up(&installation);
    check_streams(&installation);
    expect_that!(resumed, eq(0));
}

/// Guards against a stream that goes on at another version of the software because the host at which its caller takes it up stood
/// still, or was cut off from the store, while engines of that version joined.
#[gtest]
fn streams_are_not_joined_at_a_host_that_is_out_of_step() {
    let installation = SoakInstallation::start(1_104);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    installation.signal_host(0, Signal::STOP);
    installation.hosts[1].store_relay.order(RelayCommand::Cut { direction: RelayDirection::Both });
    engines(&installation)[0].standin.release("2");
    engines(&installation)[1].standin.release("2");
    std::thread::sleep(Duration::from_secs(2));
    // Streams begin at both versions, at the host that is in step.
    let mut streams = Vec::new();
    for number in 0..STREAM_COUNT {
        let stream = CallerStream::open(&installation, 2, &format!("stream-{number}"), None);
        let mut stream = stream.filter(CallerStream::is_ok).expect("the host begins the stream");
        assert_eq!(stream.read_until(BROKEN_AFTER), BROKEN_AFTER);
        streams.push(stream);
    }
    drop(streams);
    installation.signal_host(0, Signal::CONT);
    let resumed = take_streams_up(&installation);
    check_streams(&installation);
    expect_that!(resumed, ge(STREAM_COUNT / 2));
}

/// Guards against callers who find an error, or the events of another run, in the middle of a stream, or whose broken stream looks
/// complete: the engine ends under the stream and all others answer with errors. The first host sends through its peers.
#[gtest]
fn broken_streams_end_without_further_text() {
    let installation = SoakInstallation::start_with_own_links(1_105);
    assert!((0..HOST_COUNT).all(|host| installation.wait_until_hosts_known(host, START_TIMEOUT)));
    for link in &installation.hosts[0].target_links {
        link.order(RelayCommand::Refuse);
    }
    let streams = begin_streams(&installation);
    for engine in engines(&installation) {
        engine.server.fault(FaultSpec::new(FaultKind::Refuse));
        engine.standin.restart();
    }
    let mut broken = 0;
    for (number, mut stream) in streams.into_iter().enumerate() {
        let mut rest = Vec::new();
        // A connection that is reset ends with an error, as it should.
        let _ = stream.lines.read_to_end(&mut rest);
        let rest = String::from_utf8_lossy(&rest);
        let is_event_line = |line: &str| {
            let is_chunk_size = !line.is_empty() && line.bytes().all(|byte| byte.is_ascii_hexdigit());
            let data = format!("data: stream-{number}:");
            line.is_empty() || is_chunk_size || line.starts_with("id: ") || line.starts_with(&data)
        };
        let other_lines: Vec<&str> = rest.lines().filter(|line| !is_event_line(line)).collect();
        expect_that!(other_lines, is_empty());
        // On a slow machine, the first streams have ended before the engines do.
        let has_last_event = rest.contains(&format!("id: {STREAM_EVENTS}\n"));
        expect_that!(rest.ends_with("\r\n0\r\n\r\n"), eq(has_last_event));
        broken += usize::from(!has_last_event);
    }
    expect_that!(broken, ge(STREAM_COUNT / 2));
}
