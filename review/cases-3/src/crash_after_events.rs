//! Streams that crash each server that runs them, some time after they have begun. Servers differ in speed, so that the streams break
//! off after different numbers of events.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, Work};
use crate::host::Host;
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::software_through_peers::{CALLER_HOST, KEY, ZONES};
use crate::store::Store;

const HOSTS: usize = 4;
const SERVERS: u64 = 12;
/// Requests that crash servers, each sent by a client of its own.
const REQUESTS: usize = 4;
/// Time from the begin of a run until it crashes its server.
const LIFE: Duration = Duration::from_millis(1200);
/// Time for which a server that crashed is down.
const DOWN: Duration = Duration::from_secs(2);
/// Time after which a request comes again.
const AGAIN: Duration = Duration::from_millis(900);
const LENGTH: Duration = Duration::from_secs(95);
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
            }],
            "services": [{"name": "bench-llm"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "huka270", "api_keys": [KEY.trim_start_matches("Bearer ")]}],
        })),
    );
    let crashes: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let arrivals: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let (known_crashes, known_arrivals) = (Arc::clone(&crashes), Arc::clone(&arrivals));
    let work: Work = Arc::new(move |engine: &Engine, request, connection, number| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if body.starts_with("crash") {
            known_arrivals.lock().unwrap().push((body.clone(), Instant::now()));
        }
        let has_crashed = run_stream(engine, request, connection, number, is_troubled && body.starts_with("crash"));
        if has_crashed {
            known_crashes.lock().unwrap().push((body, Instant::now()));
        }
    });
    let engines: Vec<Engine> = (0..SERVERS)
        .map(|number| {
            let zone = ZONES[number as usize % 2];
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
    let clients: Vec<_> = (0..REQUESTS)
        .map(|client| {
            let (addresses, record) = (addresses.clone(), record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(client as u64 * 230));
                let body = format!("crash {client}");
                for attempt in 0.. {
                    if started.elapsed() >= LENGTH {
                        return;
                    }
                    let id = format!("crash-{client}-{attempt}");
                    let headers = [
                        ("Host", CALLER_HOST),
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "12000"),
                        ("Authorization", KEY),
                    ];
                    let address = addresses[(client + attempt) % addresses.len()];
                    let patience = Duration::from_secs(3);
                    let connection = http::open(address, "POST", "/draft/x", &headers, body.as_bytes(), patience);
                    let head = connection.and_then(|mut connection| Some((connection.read_head()?, connection)));
                    let status = head.as_ref().map_or(0, |(head, _)| head.status());
                    let (mut chunks, mut is_whole) = (0, false);
                    if let Some((_, mut connection)) = head.filter(|_| status == 200) {
                        while let Some(chunk) = connection.read_chunk() {
                            is_whole = chunk.is_empty();
                            if is_whole {
                                break;
                            }
                            chunks += 1;
                        }
                    }
                    record.write(&format!("{id} is answered {status}, {chunks} events, whole: {is_whole}"));
                    std::thread::sleep(AGAIN);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(engines);
    let (crashes, arrivals) = (crashes.lock().unwrap().clone(), arrivals.lock().unwrap().clone());
    let mut holds = true;
    for client in 0..REQUESTS {
        let body = format!("crash {client}");
        let times = |list: &[(String, Instant)]| -> Vec<Instant> {
            list.iter().filter(|(known, _)| *known == body).map(|(_, at)| *at).collect()
        };
        let (crashed, arrived) = (times(&crashes), times(&arrivals));
        let late = crashed
            .get(2)
            .map_or(0, |third| arrived.iter().filter(|at| at.saturating_duration_since(*third) > CONTACT).count());
        record.say(&format!(
            "request {client}: {} runs, {} crashes; {late} retries reached servers later than {CONTACT:?} after the third crash, \
             allowed {ALLOWED}",
            arrived.len(),
            crashed.len()
        ));
        holds &= late <= ALLOWED;
    }
    if arrivals.is_empty() || (is_troubled && crashes.len() < 3 * REQUESTS) {
        return None;
    }
    Some(holds)
}

/// Runs a stream at the pace of the server; returns whether it has crashed the server.
fn run_stream(engine: &Engine, request: &Message, connection: &mut Connection, number: u64, crashes: bool) -> bool {
    let id = request.header("x-request-id").unwrap_or_default();
    let started = Instant::now();
    // The slowest server takes three times as long as the fastest one.
    let place: u64 = engine.name.parse().unwrap_or_default();
    let pause = Duration::from_millis(30 + 60 * ((place * 5) % SERVERS) / (SERVERS - 1));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
         X-Server-Stamp: s-{id}\r\nX-Weight-Versions: 1\r\n\r\n"
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in 1..=40 {
        std::thread::sleep(pause);
        if !engine.runs(number) {
            return false;
        }
        if crashes && started.elapsed() >= LIFE {
            engine.record.write(&format!("{} has run {id} up to event {}, which crashes it", engine.id(), event - 1));
            engine.crash(DOWN);
            return true;
        }
        let text = format!("id: {event}\ndata: {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if connection.stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    let _ = connection.stream.write_all(b"0\r\n\r\n");
    false
}
