//! Many devices read the answer to one question as a stream. Servers crash two at a time, so that some of the streams that were taken up
//! break off again before their first event.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, Work};
use crate::host::Host;
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::software_through_peers::{CALLER_HOST, KEY};
use crate::store::Store;

const HOSTS: usize = 4;
const SERVERS: usize = 12;
const ZONES: [&str; 3] = ["tt-south-a", "tt-south-b", "tt-south-c"];
const STREAMS: usize = 48;
/// Clients with questions of their own, which begin streams all the time.
const OTHERS: usize = 12;
const EVENTS: u64 = 100;
const PAUSE: Duration = Duration::from_millis(100);
/// Time from the arrival of a request to its first event, in which the server reads the prompt.
const PREFILL: Duration = Duration::from_millis(400);
/// Time that a client waits for a stream.
const DEADLINE: Duration = Duration::from_secs(12);
/// Time until a device takes up a stream that broke off.
const TAKE_UP: Duration = Duration::from_millis(200);
/// Further tries of a device after a refusal, as in the table of the site ("client's retries").
const RETRIES: usize = 1;
/// Times of the crashes after the begin of the streams; each takes two servers of twelve, for `DOWN`. In a cascade, these are any two
/// that read most prompts of streams that were just taken up, otherwise two that have not crashed yet.
const CRASHES: [(Duration, bool); 8] = [
    (Duration::from_millis(1500), false),
    (Duration::from_millis(2000), false),
    (Duration::from_millis(2500), false),
    (Duration::from_millis(3000), false),
    (Duration::from_millis(6700), false),
    (Duration::from_millis(7000), true),
    (Duration::from_millis(7200), true),
    (Duration::from_millis(7700), false),
];
const DOWN: Duration = Duration::from_millis(3500);

#[derive(Debug, Default, Clone)]
struct Reading {
    last: u64,
    is_whole: bool,
    taken_up: bool,
    /// Whether an event has come since the stream was last taken up.
    goes_on: bool,
    refusals: usize,
}

pub fn run(scratch: &Path, record: &Record, is_troubled: bool) -> Option<bool> {
    let store = Store::new();
    store.put(
        "op",
        "config",
        Some(&json!({
            "version": 1,
            "route_list": [{
                "name": "draft", "host": CALLER_HOST, "path_prefix": "/draft/", "route_kind": "streaming", "service": "bench-llm",
                "timeout_ms": 20000, "target_latency_ms": 400, "max_attempts": 3, "resumable": true,
            }],
            "services": [{"name": "bench-llm"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
            "tenants": [{"name": "huka270", "api_keys": [KEY.trim_start_matches("Bearer ")]}],
        })),
    );
    // Streams on each server that were taken up and have no event yet.
    let waiting: Arc<Vec<AtomicUsize>> = Arc::new((0..SERVERS).map(|_| AtomicUsize::new(0)).collect());
    let counts = Arc::clone(&waiting);
    let work: Work = Arc::new(move |engine: &Engine, request, connection, number| {
        let place: usize = engine.name.parse().unwrap_or_default();
        run_stream(engine, request, connection, number, &counts[place]);
    });
    let engines: Vec<Engine> = (0..SERVERS)
        .map(|number| {
            let zone = ZONES[number % 3];
            Engine::start(&format!("{number}"), "bench-llm", zone, "1.4", 12, false, &store, record, Arc::clone(&work))
        })
        .collect();
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|number| {
            let zone = ZONES[number % 3];
            let address = store.serve(Arc::default());
            Host::prepare(scratch, &format!("edge-{zone}-{}", number / 3 + 1), zone, address, address)
        })
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(15))) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.caller).collect();
    let is_ending = Arc::new(AtomicBool::new(false));
    let (begun, tried) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let started = Instant::now();
    let others: Vec<_> = (0..OTHERS)
        .map(|client| {
            let (addresses, is_ending) = (addresses.clone(), Arc::clone(&is_ending));
            let (begun, tried) = (Arc::clone(&begun), Arc::clone(&tried));
            std::thread::spawn(move || {
                for number in 0.. {
                    if is_ending.load(Ordering::Acquire) {
                        return;
                    }
                    let body = format!("question {client} {number}");
                    let id = format!("new-{client}-{number}");
                    let mut reading = Reading::default();
                    let address = addresses[(client + number) % HOSTS];
                    let status = read_part(address, &id, None, body.as_bytes(), 6, DEADLINE, &mut reading).0;
                    if started.elapsed() > CRASHES[0].0 {
                        tried.fetch_add(1, Ordering::Relaxed);
                        begun.fetch_add(usize::from(status == 200 && reading.last > 0), Ordering::Relaxed);
                    }
                    std::thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    let readings: Vec<Arc<Mutex<Reading>>> = (0..STREAMS).map(|_| Arc::default()).collect();
    let devices: Vec<_> = readings
        .iter()
        .enumerate()
        .map(|(number, reading)| {
            std::thread::sleep(Duration::from_millis(2));
            let (reading, addresses, record) = (Arc::clone(reading), addresses.clone(), record.clone());
            std::thread::spawn(move || read_stream(number, &addresses, &reading, &record))
        })
        .collect();
    if is_troubled {
        for (at, is_cascade) in CRASHES {
            std::thread::sleep(at.saturating_sub(started.elapsed()));
            let is_taken = |place: &usize| {
                let engine = &engines[*place];
                engine.is_up.load(Ordering::Acquire) && (is_cascade || engine.number() == 1)
            };
            let mut places: Vec<usize> = (0..SERVERS).filter(is_taken).collect();
            places.sort_by_key(|place| std::cmp::Reverse(waiting[*place].load(Ordering::Acquire)));
            for place in places.into_iter().take(2) {
                let count = waiting[place].load(Ordering::Acquire);
                record.write(&format!("{} crashes, with {count} streams that were just taken up", engines[place].id()));
                engines[place].crash(DOWN);
            }
        }
    }
    devices.into_iter().for_each(|device| drop(device.join()));
    is_ending.store(true, Ordering::Release);
    others.into_iter().for_each(|other| drop(other.join()));
    let readings: Vec<Reading> = readings.iter().map(|reading| reading.lock().unwrap().clone()).collect();
    for (number, reading) in readings.iter().enumerate() {
        record.write(&format!("draft-{number}: {reading:?}"));
    }
    let taken_up = readings.iter().filter(|reading| reading.taken_up).count();
    let went_on = readings.iter().filter(|reading| reading.taken_up && reading.goes_on).count();
    let whole = readings.iter().filter(|reading| reading.is_whole).count();
    let refusals: usize = readings.iter().map(|reading| reading.refusals).sum();
    let (begun, tried) = (begun.load(Ordering::Relaxed), tried.load(Ordering::Relaxed));
    record.say(&format!(
        "{STREAMS} streams, {whole} whole; {taken_up} were taken up, {went_on} of them go on, {refusals} refusals; {begun} of {tried} new \
         streams began"
    ));
    if tried < 12 || begun == 0 || (is_troubled && taken_up < 12) {
        return None;
    }
    // Under half of the share of new streams that begin.
    Some(taken_up < 12 || went_on * tried * 2 >= taken_up * begun)
}

fn run_stream(engine: &Engine, request: &Message, connection: &mut Connection, number: u64, waiting: &AtomicUsize) {
    let id = request.header("x-request-id").unwrap_or_default();
    let after: u64 = request.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    let events: u64 =
        request.header("x-token-counts").and_then(|value| value.split_once(',')?.1.parse().ok()).unwrap_or(EVENTS);
    engine.record.write(&format!("{} runs {id} after event {after}", engine.id()));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: {id}\r\n\
         X-Server-Stamp: s-{id}\r\nX-Weight-Versions: 1\r\n\r\n"
    );
    if connection.stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let taken_up = usize::from(after > 0);
    waiting.fetch_add(taken_up, Ordering::AcqRel);
    std::thread::sleep(PREFILL);
    waiting.fetch_sub(taken_up, Ordering::AcqRel);
    for event in after + 1..=events {
        if !engine.runs(number) {
            return;
        }
        let text = format!("id: {event}\ndata: {event}\n\n");
        if connection.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(PAUSE);
    }
    let _ = connection.stream.write_all(b"0\r\n\r\n");
}

/// Reads one answer; returns the status and the value of `Retry-After`.
fn read_part(
    address: SocketAddr,
    id: &str,
    resumes: Option<&str>,
    body: &[u8],
    events: u64,
    left: Duration,
    reading: &mut Reading,
) -> (u16, Option<f64>) {
    let (deadline, after, counts) = (left.as_millis().to_string(), reading.last.to_string(), format!("40,{events}"));
    let mut headers = vec![
        ("Host", CALLER_HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", &deadline),
        ("Authorization", KEY),
        ("X-Token-Counts", &counts),
    ];
    if let Some(first) = resumes {
        headers.extend([("Last-Event-Id", after.as_str()), ("Resumes", first)]);
    }
    let connection = http::open(address, "POST", "/draft/x", &headers, body, Duration::from_secs(2));
    let head = connection.and_then(|mut connection| Some((connection.read_head()?, connection)));
    let Some((head, mut connection)) = head else { return (0, None) };
    if head.status() != 200 {
        return (head.status(), head.header("retry-after").and_then(|value| value.parse().ok()));
    }
    while let Some(chunk) = connection.read_chunk() {
        if chunk.is_empty() {
            reading.is_whole = true;
            break;
        }
        let text = String::from_utf8_lossy(&chunk).into_owned();
        for id in text.lines().filter_map(|line| line.strip_prefix("id: ")) {
            reading.last = id.parse().unwrap_or(reading.last);
            reading.goes_on = true;
        }
    }
    (200, None)
}

fn read_stream(number: usize, addresses: &[SocketAddr], shared: &Mutex<Reading>, record: &Record) {
    let started = Instant::now();
    let mut reading = Reading::default();
    let first = format!("draft-{number}-1");
    let mut refusals = 0;
    for attempt in 1.. {
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left < Duration::from_millis(200) || refusals > RETRIES {
            break;
        }
        let id = format!("draft-{number}-{attempt}");
        let resumes = (reading.last > 0).then_some(first.as_str());
        reading.taken_up |= resumes.is_some();
        reading.goes_on = false;
        let before = reading.last;
        let address = addresses[(number + attempt) % HOSTS];
        let (status, wait) = read_part(address, &id, resumes, b"the question", EVENTS, left, &mut reading);
        record.write(&format!(
            "{id} after event {before} is answered {status}, up to event {}, wait {wait:?}",
            reading.last
        ));
        if reading.is_whole {
            break;
        }
        if status == 200 {
            refusals = 0;
            std::thread::sleep(TAKE_UP);
        } else {
            refusals += 1;
            reading.refusals += 1;
            let left = DEADLINE.saturating_sub(started.elapsed());
            std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.2)).min(left / 3));
        }
    }
    *shared.lock().unwrap() = reading;
}
