//! A server is replaced in place by another version of its software, under the id that it had, while hosts that are partitioned from
//! all servers carry streams of that server through other hosts.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, Work};
use crate::host::Host;
use crate::http::{self, Connection, Message};
use crate::link::{Link, OPEN, REFUSED};
use crate::record::Record;
use crate::store::Store;

pub const CALLER_HOST: &str = "ficu95.example";
pub const KEY: &str = "Bearer 2b9wu3fexd9dnn2ctnfz";
pub const ZONES: [&str; 2] = ["tt-south-a", "tt-south-b"];

/// Versions of the software before and after.
pub const OLD: &str = "1.4";
pub const NEW: &str = "1.5";

/// Time for which the replaced server does not listen.
const DOWN: Duration = Duration::from_millis(600);
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);
/// Time that a client waits for a stream.
const DEADLINE: Duration = Duration::from_secs(12);
/// Streams that the rule allows to hold events of two versions.
pub const ALLOWED: usize = 2;
const STREAMS: usize = 24;

/// What a client received of one stream, over its tries.
#[derive(Debug, Default)]
pub struct Received {
    pub last: u64,
    pub software: Vec<String>,
    pub is_whole: bool,
    pub tries: usize,
}

pub fn run(scratch: &Path, record: &Record, is_troubled: bool) -> Option<bool> {
    let store = Store::new();
    let mut stream = json!({
        "name": "draft", "host": CALLER_HOST, "path_prefix": "/draft/", "route_kind": "streaming", "service": "bench-llm",
        "target_latency_ms": 400, "max_attempts": 3, "resumable": true,
    });
    let look = json!({
        "name": "look", "host": CALLER_HOST, "path_prefix": "/look/", "route_kind": "idempotent", "service": "bench-llm",
        "timeout_ms": 5000, "target_latency_ms": 150, "max_attempts": 3,
    });
    stream["timeout_ms"] = json!(12000);
    store.put(
        "op",
        "config",
        Some(&json!({
            "version": 1,
            "route_list": [stream, look],
            "services": [{"name": "bench-llm"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "huka270", "api_keys": [KEY.trim_start_matches("Bearer ")]}],
        })),
    );
    let work: Work = Arc::new(|engine: &Engine, request, connection, number| {
        if request.path().starts_with("/draft/") {
            run_stream(engine, request, connection, number);
        } else {
            engine.answer_plain(request, connection, number, Duration::from_millis(20));
        }
    });
    // The last server of the old version is replaced; the others have the new one already.
    let engines: Vec<Engine> = (0..4)
        .map(|number| {
            let software = if number == 0 { OLD } else { NEW };
            let zone = ZONES[number % 2];
            Engine::start(
                &format!("{number}"),
                "bench-llm",
                zone,
                software,
                12,
                true,
                &store,
                record,
                Arc::clone(&work),
            )
        })
        .collect();
    let mut links: Vec<Link> = Vec::new();
    let mut hosts: Vec<Host> = (0..4)
        .map(|number| {
            let mut addresses = Vec::new();
            if number < 2 {
                for engine in &engines {
                    let link = Link::start(engine.address, Arc::clone(&engine.is_up));
                    addresses.push((engine.address, link.address));
                    links.push(link);
                }
            }
            let zone = ZONES[number / 2];
            let address = store.serve(Arc::new(addresses));
            Host::prepare(scratch, &format!("edge-{zone}-{}", number % 2 + 1), zone, address, address)
        })
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));

    // Other requests at all hosts, which also show the hosts of the first zone that they are cut off.
    let is_ending = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            let (caller, is_ending) = (host.caller, Arc::clone(&is_ending));
            std::thread::spawn(move || {
                for request in 0.. {
                    if is_ending.load(Ordering::Acquire) {
                        return;
                    }
                    let id = format!("look-{number}-{request}");
                    let headers = [
                        ("Host", CALLER_HOST),
                        ("X-Request-Id", &id),
                        ("X-Deadline-Ms", "2000"),
                        ("Authorization", KEY),
                    ];
                    let _ = http::send(caller, "POST", "/look/x", &headers, b"x", Duration::from_secs(2));
                    std::thread::sleep(Duration::from_millis(80));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    if is_troubled {
        record.write("the hosts of the first zone are partitioned from all servers");
        links.iter().for_each(|link| link.set_mode(REFUSED));
    }
    let cut_at = Instant::now();
    std::thread::sleep(Duration::from_secs(2));
    let received: Vec<Arc<Mutex<Received>>> = (0..STREAMS).map(|_| Arc::default()).collect();
    let addresses: Vec<SocketAddr> = hosts[..2].iter().map(|host| host.caller).collect();
    let clients: Vec<_> = received
        .iter()
        .enumerate()
        .map(|(number, received)| {
            std::thread::sleep(Duration::from_millis(20));
            let (received, addresses, record) = (Arc::clone(received), addresses.clone(), record.clone());
            std::thread::spawn(move || {
                let address_of = |attempt: usize| addresses[(number + attempt) % addresses.len()];
                read_stream(number, address_of, EVENTS, &received, &record);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1500));
    record.write(&format!("{} is replaced in place, by software {NEW}", engines[0].id()));
    *engines[0].software.lock().unwrap() = NEW.to_owned();
    engines[0].crash(DOWN);
    clients.into_iter().for_each(|client| drop(client.join()));
    record.write(&format!("the streams have ended; the partition has lasted {:?}", cut_at.elapsed()));
    links.iter().for_each(|link| link.set_mode(OPEN));
    is_ending.store(true, Ordering::Release);
    others.into_iter().for_each(|other| drop(other.join()));

    let (mut mixed, mut old, mut whole, mut taken_up) = (0, 0, 0, 0);
    for (number, received) in received.iter().enumerate() {
        let received = received.lock().unwrap();
        let mut versions = received.software.clone();
        versions.dedup();
        mixed += usize::from(versions.len() > 1);
        old += usize::from(versions.first().is_some_and(|version| version == OLD));
        whole += usize::from(received.is_whole);
        taken_up += usize::from(received.tries > 1);
        record.write(&format!(
            "draft-{number}: {} events of versions {versions:?}, whole: {}, {} tries",
            received.software.len(),
            received.is_whole,
            received.tries
        ));
    }
    record.say(&format!(
        "{STREAMS} streams, {old} began at software {OLD}, {taken_up} were taken up, {whole} ended whole; {mixed} hold events of two \
         versions, allowed {ALLOWED}"
    ));
    if old < 3 {
        return None;
    }
    Some(mixed <= ALLOWED)
}

/// Runs a stream on a server, from the event after `Last-Event-Id` on.
pub fn run_stream(engine: &Engine, request: &Message, connection: &mut Connection, number: u64) {
    let id = request.header("x-request-id").unwrap_or_default();
    let after: u64 = request.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    let software = engine.software.lock().unwrap().clone();
    engine.record.write(&format!("{} at software {software} runs {id} after event {after}", engine.id()));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
         X-Server-Stamp: s-{id}\r\nX-Weight-Versions: 1\r\n\r\n"
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    // The number of events that the client asks for.
    let events =
        request.header("x-token-counts").and_then(|value| value.split_once(',')?.1.parse().ok()).unwrap_or(EVENTS);
    for event in after + 1..=events {
        std::thread::sleep(PAUSE);
        if !engine.runs(number) {
            return;
        }
        let text = format!("id: {event}\ndata: {event}@{software}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if connection.stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
    let _ = connection.stream.write_all(b"0\r\n\r\n");
}

/// Reads one stream, and takes it up at the other host after each failure.
pub fn read_stream(
    number: usize,
    address_of: impl Fn(usize) -> SocketAddr,
    events: u64,
    received: &Mutex<Received>,
    record: &Record,
) {
    let started = Instant::now();
    let first = format!("draft-{number}-1");
    for attempt in 1.. {
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left < Duration::from_millis(100) {
            return;
        }
        let last = {
            let mut received = received.lock().unwrap();
            received.tries = attempt;
            received.last
        };
        let id = format!("draft-{number}-{attempt}");
        let (deadline, after, counts) = (left.as_millis().to_string(), last.to_string(), format!("40,{events}"));
        let mut headers = vec![
            ("Host", CALLER_HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", &deadline),
            ("Authorization", KEY),
            ("X-Token-Counts", &counts),
        ];
        if last > 0 {
            headers.extend([("Last-Event-Id", after.as_str()), ("Resumes", first.as_str())]);
        }
        let address = address_of(attempt);
        let patience = Duration::from_secs(2);
        let connection = http::open(address, "POST", "/draft/x", &headers, b"draft", patience);
        let head = connection.and_then(|mut connection| Some((connection.read_head()?, connection)));
        let status = head.as_ref().map_or(0, |(head, _)| head.status());
        record.write(&format!("{id} after event {last} is answered {status}"));
        let Some((head, mut connection)) = head else { continue };
        if status != 200 {
            let wait = head.header("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0.2);
            std::thread::sleep(Duration::from_secs_f64(wait).min(left / 3));
            continue;
        }
        let mut text = String::new();
        while let Some(chunk) = connection.read_chunk() {
            if chunk.is_empty() {
                received.lock().unwrap().is_whole = true;
                return;
            }
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = text.clone().split_once("\n\n") {
                let mut received = received.lock().unwrap();
                for line in event.lines() {
                    if let Some(value) = line.strip_prefix("id: ") {
                        received.last = value.parse().unwrap_or(received.last);
                    }
                    if let Some((_, software)) = line.strip_prefix("data: ").and_then(|data| data.split_once('@')) {
                        received.software.push(software.to_owned());
                    }
                }
                text = rest.to_owned();
            }
        }
    }
}
