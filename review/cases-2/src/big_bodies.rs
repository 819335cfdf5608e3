//! A trainer hands in one step, whose body is within `max_body_bytes`. Other clients of its tenant request the bodies of single
//! items. The process of the host that they ask grows beyond `memory_mb`, and the platform kills it, again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::memory::watch;
use crate::record::Record;
use crate::site::{MAX_BODY_BYTES, Site, USUAL_ITEM_BYTES, item_body, job_body, step_items, submit};

/// Clients that request bodies, each once in this time.
const CLIENTS: usize = 4;
const REQUEST_TIME: Duration = Duration::from_secs(2);
const REQUESTS: usize = 5;

/// Client attempts for a body.
const ATTEMPTS: usize = 3;

const JOB: &str = "7c41e09b52d6a3f8";

/// Bytes of the body of an item: 28 MB for a step of 64 items.
const LARGE_ITEM_BYTES: usize = 330_000;

/// Events of an item, and the time that each takes.
const EVENTS: u64 = 28;
const EVENT_MS: u64 = 700;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let mut site = Site::start(record, 3, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"])?;
    let item_bytes = if has_trouble { LARGE_ITEM_BYTES } else { USUAL_ITEM_BYTES };
    let hosts: Vec<(String, SocketAddr)> = site.hosts.iter().map(|host| (host.name.clone(), host.callers)).collect();
    let body = job_body(&step_items("e5b2907c0000", item_bytes, EVENTS, EVENT_MS));
    assert!(body.len() < MAX_BODY_BYTES);
    let answer = submit(hosts[0].1, JOB, &body, Duration::from_secs(12)).map(|answer| answer.status());
    record.line(&format!("the step ({} bytes) at host {}: {answer:?}", body.len(), hosts[0].0));
    if answer != Some(202) {
        record.line("the step was not accepted, so the case cannot run");
        return None;
    }
    let waiting = Arc::new(AtomicUsize::new(CLIENTS));
    let started = Instant::now();
    for client in 0..CLIENTS {
        let (record, hosts, waiting) = (Arc::clone(record), hosts.clone(), Arc::clone(&waiting));
        std::thread::spawn(move || {
            for request in 0..REQUESTS {
                std::thread::sleep((REQUEST_TIME * request as u32).saturating_sub(started.elapsed()));
                let item = format!("e5b2907c0000{:04}", client * REQUESTS + request);
                read_body(&record, &hosts, client, &item, item_bytes);
            }
            waiting.fetch_sub(1, Ordering::SeqCst);
        });
    }
    Some(watch(record, &mut site.hosts, || waiting.load(Ordering::SeqCst) > 0))
}

/// Requests the body of an item; after no answer or a refusal again, at another node.
fn read_body(record: &Record, hosts: &[(String, SocketAddr)], client: usize, item: &str, item_bytes: usize) {
    for attempt in 0..ATTEMPTS {
        let (name, address) = &hosts[attempt % hosts.len()];
        let answer = item_body(*address, JOB, item);
        let answer_text = match &answer {
            None => "no answer".to_owned(),
            Some(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
        };
        record.line(&format!("client {client}: body of {item} at host {name}: {answer_text}"));
        if answer.is_some_and(|answer| answer.status() == 200 && answer.body.len() == item_bytes) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("client {client}: body of {item} is not read"));
}
