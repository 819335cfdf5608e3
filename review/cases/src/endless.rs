//! Case about bytes without end.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, EngineOptions};
use crate::http::call;
use crate::record::Record;
use crate::site::{DESK, ENGINES, KEY, MODEL, Site, configuration, job_body, plain_route, rollout_route};
use crate::store::Store;

const HOST: &str = "post.example";

/// `timeout_ms` of the route of the plain requests, and the time after it in which they must be answered.
const TIMEOUT: Duration = Duration::from_millis(2000);
const SLACK: Duration = Duration::from_millis(500);

const STEPS: usize = 8;
const CLIENTS: usize = 9;

/// A plain request at a host: how long it was without an answer, and the status that it got.
struct Outcome {
    host: usize,
    time: Duration,
    status: u16,
}

/// One of twelve engines answers four in ten items with interim heads that never end. Requests of other callers, to sound
/// servers of a plain service, are measured meanwhile.
pub fn bytes_without_end(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::new();
    let runs = Arc::new(Mutex::new(Vec::new()));
    let start = |id: String, is_engine: bool, endless_in_ten: u64| {
        let options = EngineOptions {
            id,
            service: if is_engine { ENGINES } else { DESK }.to_owned(),
            zone: "moka".to_owned(),
            model: is_engine.then(|| MODEL.to_owned()),
            events: 28,
            pause: Duration::from_millis(40),
            work: Duration::from_millis(25),
            failing: None,
            endless_in_ten,
        };
        Engine::start(options, &store, &record, &runs);
    };
    for number in 1..=12 {
        start(format!("i-{number}"), true, if number == 1 && has_trouble { 4 } else { 0 });
    }
    (1..=4).for_each(|number| start(format!("d-{number}"), false, 0));
    let routes = vec![
        plain_route("r-desk", HOST, "/desk/", "idempotent", 2000),
        rollout_route("r-steps", HOST, "/steps/", false),
    ];
    let site = Arc::new(Site::start(3, &configuration(1, routes), Arc::clone(&record), store.clone()));
    let has_ended = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Mutex::new(Vec::<Outcome>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (site, has_ended, outcomes) = (Arc::clone(&site), Arc::clone(&has_ended), Arc::clone(&outcomes));
            std::thread::spawn(move || {
                for number in 1.. {
                    if has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let host = client % site.hosts.len();
                    let headers = [
                        ("Host", HOST.to_owned()),
                        ("Authorization", format!("Bearer {KEY}")),
                        ("X-Request-Id", format!("client{client}-{number}")),
                        ("X-Deadline-Ms", TIMEOUT.as_millis().to_string()),
                    ];
                    let sent_at = Instant::now();
                    let address = site.hosts[host].caller;
                    let answer = call(address, "POST", "/desk/1", &headers, b"a lookup", Duration::from_secs(8));
                    let status = answer.map(|answer| answer.status).unwrap_or_default();
                    let outcome = Outcome { host, time: sent_at.elapsed(), status };
                    site.record.write(&format!(
                        "client{client}-{number} at {}: {status} after {} ms",
                        site.hosts[host].name,
                        outcome.time.as_millis()
                    ));
                    outcomes.lock().unwrap().push(outcome);
                    std::thread::sleep(Duration::from_millis(600));
                }
            })
        })
        .collect();
    for step in 0..STEPS {
        let job = format!("step{step}");
        let items: Vec<String> = (0..96).map(|item| format!("{job}-item{item}")).collect();
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Request-Id", job.clone()),
            ("X-Deadline-Ms", "4000".to_owned()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let body = job_body("/steps/", &items);
        let _ = site.call(step % 3, "POST", &format!("/steps/{job}"), &headers, &body, Duration::from_secs(6));
        std::thread::sleep(Duration::from_secs(4));
    }
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let late: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.time > TIMEOUT).collect();
    let too_late = late.iter().filter(|outcome| outcome.time > TIMEOUT + SLACK).count();
    let longest = late.iter().max_by_key(|outcome| outcome.time);
    record.write(&format!("{} plain requests, {} unanswered at timeout_ms, {too_late} of them 0.5 s later", outcomes.len(), late.len()));
    let mut broken = Vec::new();
    if let Some(longest) = longest
        && 2 * too_late > late.len()
    {
        broken.push(format!(
            "CONFIG: of {} requests to sound servers that were unanswered at their route's timeout_ms (2 s), {too_late} had no \
             answer 0.5 s later; the longest waited {} ms at {} and got {}",
            late.len(),
            longest.time.as_millis(),
            site.hosts[longest.host].name,
            longest.status
        ));
    }
    Verdict { broken }
}
