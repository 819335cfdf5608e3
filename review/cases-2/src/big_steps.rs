//! Three trainers hand their steps in at the same moment, each with a body within `max_body_bytes`. The process of the host that
//! takes them grows beyond `memory_mb`, and the platform kills it, again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::memory::watch;
use crate::record::Record;
use crate::site::{MAX_BODY_BYTES, Site, USUAL_ITEM_BYTES, job_body, step_items, submit};

/// Trainers, each with a batch job each 4 s, as in the site file.
const TRAINERS: usize = 3;
const STEP_TIME: Duration = Duration::from_secs(4);
const STEPS: usize = 4;

/// Time for which a trainer tries to hand a step in, the deadline of its kind of request.
const DEADLINE: Duration = Duration::from_secs(12);

/// Client attempts for a step.
const ATTEMPTS: usize = 4;

/// Bytes of the body of an item: 20 MB for a step of 64 items.
const LARGE_ITEM_BYTES: usize = 240_000;

/// Events of an item, and the time that each takes.
const EVENTS: u64 = 28;
const EVENT_MS: u64 = 20;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let mut site = Site::start(record, 3, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"])?;
    let item_bytes = if has_trouble { LARGE_ITEM_BYTES } else { USUAL_ITEM_BYTES };
    let hosts: Vec<(String, SocketAddr)> = site.hosts.iter().map(|host| (host.name.clone(), host.callers)).collect();
    let waiting = Arc::new(AtomicUsize::new(TRAINERS));
    let started = Instant::now();
    for trainer in 0..TRAINERS {
        let (record, hosts, waiting) = (Arc::clone(record), hosts.clone(), Arc::clone(&waiting));
        std::thread::spawn(move || {
            for step in 0..STEPS {
                std::thread::sleep((STEP_TIME * step as u32).saturating_sub(started.elapsed()));
                hand_in(&record, &hosts, trainer, step, item_bytes);
            }
            waiting.fetch_sub(1, Ordering::SeqCst);
        });
    }
    Some(watch(record, &mut site.hosts, || waiting.load(Ordering::SeqCst) > 0))
}

/// Hands a step in; after no answer or a refusal again, at another node.
fn hand_in(record: &Record, hosts: &[(String, SocketAddr)], trainer: usize, step: usize, item_bytes: usize) {
    let body = job_body(&step_items(&format!("e5b2907c{trainer}{step:03}"), item_bytes, EVENTS, EVENT_MS));
    assert!(body.len() < MAX_BODY_BYTES);
    let job = format!("7c41e09b52d6{trainer}{step:03}");
    let started = Instant::now();
    for attempt in 0..ATTEMPTS {
        let (name, address) = &hosts[attempt % hosts.len()];
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left.is_zero() {
            break;
        }
        let answer = submit(*address, &job, &body, left).map(|answer| answer.status());
        let answer_text = answer.map_or("no answer".to_owned(), |status| status.to_string());
        record.line(&format!("trainer {trainer}: step {step} ({} bytes) at host {name}: {answer_text}", body.len()));
        if answer == Some(202) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("trainer {trainer}: step {step} is not accepted"));
}
