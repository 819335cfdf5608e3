//! The engines of a service are upgraded one after the other, each in place: it ends, and starts again under its id with other
//! software. Clients take the streams that break up again. Streams go on at the other software version.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::{EVENT_MS, EVENTS};
use crate::http::stream;
use crate::record::Record;
use crate::site::{CALLER_HOST, Site, bearer};

const ENGINES: usize = 12;

/// Engines that are upgraded, zone by zone, and the time that each is away, within the share and length of `release` and `srv_crash` in the
/// site file.
const UPGRADES: [usize; 5] = [0, 3, 6, 9, 1];
const AWAY: Duration = Duration::from_secs(1);

/// Streams, each of 60 events of 140 ms.
const STREAMS: usize = 100;
const STREAM_EVENTS: u64 = 60;
const STREAM_EVENT_MS: u64 = 140;

/// Tries to take one stream up.
const TAKE_UPS: usize = 8;

/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> bool {
    let site = Site::start(record, ENGINES, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"]);
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    let running = Arc::new(AtomicUsize::new(STREAMS));
    let outputs = Arc::new(Mutex::new(Vec::new()));
    for number in 0..STREAMS {
        let (record, hosts, running, outputs) =
            (Arc::clone(record), hosts.clone(), Arc::clone(&running), Arc::clone(&outputs));
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(12 * number as u64));
            let output = follow_stream(&record, &hosts, number);
            outputs.lock().unwrap().push((number, output));
            running.fetch_sub(1, Ordering::SeqCst);
        });
    }
    std::thread::sleep(Duration::from_millis(1500));
    if has_trouble {
        for engine in UPGRADES.map(|number| &site.engines[number]) {
            engine.end();
            std::thread::sleep(AWAY);
            engine.start_again("v2");
        }
    }
    let deadline = Instant::now() + Duration::from_secs(40);
    while running.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut outputs = outputs.lock().unwrap().clone();
    outputs.sort();
    let mut joined = 0;
    for (number, output) in outputs {
        let versions = |version: &str| output.iter().filter(|data: &&String| data.ends_with(version)).count();
        let (old, new) = (versions("@v1"), versions("@v2"));
        if old > 0 && new > 0 {
            joined += 1;
            record.line(&format!("stream {number} holds {old} events of software v1 and {new} of v2"));
        }
    }
    record.line(&format!("{joined} streams hold events of two software versions; the rule allows {ALLOWED}"));
    joined > ALLOWED
}

/// Reads a stream to its end, and takes it up at another host whenever it breaks; returns the data of its events.
fn follow_stream(record: &Record, hosts: &[SocketAddr], number: usize) -> Vec<String> {
    let (bearer, events, event_ms) = (bearer(), STREAM_EVENTS.to_string(), STREAM_EVENT_MS.to_string());
    let first = format!("9c41d07be2{number:04}00");
    let mut output: Vec<String> = Vec::new();
    for attempt in 0..=TAKE_UPS {
        let id = format!("9c41d07be2{number:04}{attempt:02}");
        let last = output.len().to_string();
        let mut headers = vec![
            ("Host", CALLER_HOST),
            ("Authorization", bearer.as_str()),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "30000"),
            ("X-Model", "daka510000"),
            (EVENTS, events.as_str()),
            (EVENT_MS, event_ms.as_str()),
        ];
        if !output.is_empty() {
            headers.extend([("Last-Event-Id", last.as_str()), ("Resumes", first.as_str())]);
        }
        let host = hosts[(number + attempt) % hosts.len()];
        let (status, whole) = stream(host, "/tesi402/8b", &headers, format!("prompt {number}").as_bytes(), |line| {
            if let Some(data) = line.strip_prefix("data: ") {
                output.push(data.to_owned());
            }
        });
        if whole {
            return output;
        }
        record.line(&format!("stream {number}: attempt {id} ends with status {status} after event {}", output.len()));
        if status != 200 {
            std::thread::sleep(Duration::from_millis(400));
        }
    }
    output
}
