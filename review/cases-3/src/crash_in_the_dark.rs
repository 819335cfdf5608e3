//! A stream whose servers lose their power some events after they have begun to run it comes again and again. Its client leaves a
//! stream after a pause of two seconds, as the pages say.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, Work};
use crate::host::Host;
use crate::http;
use crate::record::Record;
use crate::software_through_peers::{CALLER_HOST, KEY, ZONES};
use crate::store::Store;

const HOSTS: usize = 4;
const SERVERS: usize = 12;
/// Number of the event after which the power goes.
const LAST_EVENT: u64 = 5;
const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(60);
/// Time for which a server without power is away.
const DOWN: Duration = Duration::from_secs(5);
/// Pause after which clients leave a stream: two seconds, or four times the objective of the route, which is 0.4 s.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time until a request comes again.
const AGAIN: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(45);
/// `contact_ms` of the rule, and the retries that it allows after that.
const CONTACT: Duration = Duration::from_secs(3);
const ALLOWED: usize = 3;

pub fn run(scratch: &Path, record: &Record, is_troubled: bool) -> Option<bool> {
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&json!({
            "version": 1,
            "route_list": [{
                "name": "draft", "host": CALLER_HOST, "path_prefix": "/draft/", "route_kind": "streaming", "service": "bench-llm",
                "timeout_ms": 12000, "target_latency_ms": 400, "max_attempts": 1,
            }, {
                "name": "book", "host": CALLER_HOST, "path_prefix": "/book/", "route_kind": "non_idempotent", "service": "bench-llm",
                "timeout_ms": 2000, "target_latency_ms": 400, "max_attempts": 1,
            }],
            "services": [{"name": "bench-llm"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "huka270", "api_keys": [KEY.trim_start_matches("Bearer ")]}],
        })),
    );
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let known = Arc::clone(&crashes);
    let work: Work = Arc::new(move |engine: &Engine, request, connection, number| {
        let id = request.header("x-request-id").unwrap_or_default();
        if request.path().starts_with("/book/") {
            engine.answer_plain(request, connection, number, Duration::from_millis(150));
            return;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
             X-Server-Stamp: s-{id}\r\nX-Weight-Versions: 1\r\n\r\n"
        );
        if connection.stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for event in 1..=EVENTS {
            std::thread::sleep(PAUSE);
            if !engine.runs(number) {
                return;
            }
            if is_troubled && event > LAST_EVENT && request.body == b"crash" {
                known.lock().unwrap().push(Instant::now());
                engine
                    .record
                    .write(&format!("{} has run {id} up to event {LAST_EVENT}, and loses its power", engine.id()));
                engine.lose_power(DOWN);
                return;
            }
            let text = format!("id: {event}\ndata: {event}\n\n");
            if connection.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
                return;
            }
        }
        let _ = connection.stream.write_all(b"0\r\n\r\n");
    });
    let engines: Vec<Engine> = (0..SERVERS)
        .map(|number| {
            let zone = ZONES[number % 2];
            Engine::start(&format!("{number}"), "bench-llm", zone, "1.4", 12, false, &store, record, Arc::clone(&work))
        })
        .collect();
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|number| {
            let zone = ZONES[number % 2];
            let address = store.serve(Arc::default());
            Host::prepare(scratch, &format!("edge-{zone}-{}", number / 2 + 1), zone, address, address)
        })
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.caller).collect();
    // Other streams, which show that the installation works.
    let others: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| {
            let address = *address;
            std::thread::spawn(move || {
                let mut whole = 0;
                for request in 0.. {
                    if started.elapsed() >= LENGTH {
                        break;
                    }
                    whole += usize::from(read_stream(address, &format!("sound-{number}-{request}"), b"sound").2);
                    std::thread::sleep(AGAIN);
                }
                whole
            })
        })
        .collect();
    // Requests that may run once, which end without an answer when their server loses its power.
    let bookings: Vec<_> = addresses
        .iter()
        .cycle()
        .take(HOSTS * 4)
        .enumerate()
        .map(|(number, address)| {
            let address = *address;
            std::thread::spawn(move || {
                let (mut booked, mut lost) = (0, 0);
                for request in 0.. {
                    if started.elapsed() >= LENGTH {
                        break;
                    }
                    let id = format!("book-{number}-{request}");
                    let headers = [
                        ("Host", CALLER_HOST),
                        ("X-Request-Id", &id),
                        ("X-Deadline-Ms", "2000"),
                        ("Authorization", KEY),
                    ];
                    match http::send(address, "POST", "/book/x", &headers, b"x", PATIENCE).map(|answer| answer.status())
                    {
                        Some(200) => booked += 1,
                        Some(429 | 503) => {}
                        _ => lost += 1,
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
                (booked, lost)
            })
        })
        .collect();
    let mut sent = 0;
    while started.elapsed() < LENGTH {
        let id = format!("crash-{sent}");
        let (status, events, is_whole) = read_stream(addresses[sent % HOSTS], &id, b"crash");
        record.write(&format!("{id} is answered {status}, {events} events, whole: {is_whole}"));
        sent += 1;
        std::thread::sleep(AGAIN);
    }
    let whole: usize = others.into_iter().map(|other| other.join().unwrap_or_default()).sum();
    let bookings: Vec<(usize, usize)> = bookings.into_iter().map(|other| other.join().unwrap_or_default()).collect();
    let (booked, lost) = bookings.iter().fold((0, 0), |(booked, lost), part| (booked + part.0, lost + part.1));
    drop(engines);
    let crashes = crashes.lock().unwrap().clone();
    let late = crashes
        .get(2)
        .map_or(0, |third| crashes.iter().filter(|at| at.saturating_duration_since(*third) > CONTACT).count());
    record.say(&format!(
        "{sent} times sent, {} servers lost their power under it; {late} of them later than {CONTACT:?} after the third, allowed {ALLOWED}",
        crashes.len()
    ));
    record.say(&format!(
        "{whole} other streams ended whole; {booked} bookings were answered, {lost} that may have run ended without an answer"
    ));
    if whole < 10 || (is_troubled && crashes.len() < 3) {
        return None;
    }
    Some(late <= ALLOWED)
}

/// Reads a stream until its end or a pause in which clients leave; returns the status, the number of events, and whether it is whole.
fn read_stream(address: SocketAddr, id: &str, body: &[u8]) -> (u16, usize, bool) {
    let headers = [("Host", CALLER_HOST), ("X-Request-Id", id), ("X-Deadline-Ms", "12000"), ("Authorization", KEY)];
    let connection = http::open(address, "POST", "/draft/x", &headers, body, PATIENCE);
    let head = connection.and_then(|mut connection| Some((connection.read_head()?, connection)));
    let Some((head, mut connection)) = head else { return (0, 0, false) };
    let mut events = 0;
    while let Some(chunk) = (head.status() == 200).then(|| connection.read_chunk()).flatten() {
        if chunk.is_empty() {
            return (200, events, true);
        }
        events += 1;
    }
    (head.status(), events, false)
}
