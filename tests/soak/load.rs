//! Callers: each keeps its connections, and checks what it is answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use ureq::Agent;

use crate::installation::{CALLER_HOST, HOSTS, Installation, KEY};
use crate::ledger::OutcomeLog;
use crate::stand_ins::callers::{
    DEADLINE, REQUEST_ID, ReadResult, STAMP, WAIT, decode_page, end_path, job_body, results_path,
};
use crate::stand_ins::engine::{event_data, plain_body};

/// Pause between two requests of a plain caller.
const PLAIN_PAUSE: Duration = Duration::from_millis(20);

/// Pause of a trainer between two calls.
const TRAINER_PAUSE: Duration = Duration::from_millis(200);

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time for which an accepted job may be unknown to hosts.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after which every job is finished, faults and recovery included.
const JOB_LIMIT: Duration = Duration::from_secs(50);

/// Items of a job.
const ITEMS: u64 = 10;

/// What callers share.
#[derive(Debug)]
pub struct Load {
    installation: Arc<Installation>,
    ledger: Arc<OutcomeLog>,
    /// Whether no new work is begun.
    pub is_ending: AtomicBool,
}

impl Load {
    /// Load on an installation.
    pub fn new(installation: Arc<Installation>, ledger: Arc<OutcomeLog>) -> Self {
        Self { installation, ledger, is_ending: AtomicBool::new(false) }
    }

    fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::Acquire)
    }
}

/// An answer as far as it was read.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    is_stamped: bool,
    /// Whole body.
    pub body: String,
}

/// Sends a request; `None` when no whole answer came back.
pub fn call(agent: &Agent, method: &str, url: &str, headers: &[(&str, &str)], body: Option<&str>) -> Option<Answer> {
    let mut request = ureq::http::Request::builder().method(method).uri(url).header("host", CALLER_HOST);
    request = request.header("authorization", format!("Bearer {KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = match body {
        Some(body) => agent.run(request.body(body.to_owned()).ok()?),
        None => agent.run(request.body(()).ok()?),
    };
    let mut response = response.ok()?;
    let is_stamped = response.headers().contains_key(STAMP);
    let body = response.body_mut().read_to_string().ok()?;
    Some(Answer { status: response.status().as_u16(), is_stamped, body })
}

/// Sends plain requests to any host until the load ends.
pub fn run_plain_caller(load: &Load, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let agent = http_agent(Duration::from_millis(500), PATIENCE);
    let mut number = 0;
    while !load.is_ending() {
        number += 1;
        let id = format!("{seed:x}-{number:x}");
        let is_once = random.random_bool(0.5);
        let path = if is_once { "/once/book" } else { "/plain/look" };
        let url = format!("{}{path}", load.installation.caller_url(random.random_range(0..HOSTS)));
        let answer = call(&agent, "POST", &url, &[(REQUEST_ID, &id), (DEADLINE, "2000")], Some("body"));
        let status = answer.as_ref().map(|answer| answer.status);
        load.ledger.note_plain(&id, is_once, status);
        if let Some(answer) = answer.filter(|answer| answer.status == 200)
            && (!answer.is_stamped || answer.body != plain_body(&id))
        {
            load.ledger.broken(format!("{id} got the answer {:?}, signed: {}", answer.body, answer.is_stamped));
        }
        if let Some(status @ (401 | 403 | 404)) = status {
            load.ledger.broken(format!("{id} was refused with {status}, which every configuration allows"));
        }
        std::thread::sleep(PLAIN_PAUSE);
    }
}

/// Hands in one job after the other until the load ends, and reads each to its end.
pub fn run_trainer(load: &Load, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let agent = http_agent(Duration::from_millis(500), PATIENCE);
    let mut number = 0;
    while !load.is_ending() {
        number += 1;
        let job = format!("j{seed:x}-{number:x}");
        let items: Vec<(String, u64)> =
            (0..ITEMS).map(|item| (format!("{job}-{item}"), random.random_range(3..500))).collect();
        if hand_in(load, &agent, &mut random, &job, &items) {
            let results = read_all(load, &agent, &mut random, &job, &items);
            load.ledger.note_job();
            check_again(load, &agent, &mut random, &job, &results);
            let url = load.installation.caller_url(random.random_range(0..HOSTS));
            // A job that is not ended does no harm.
            let _ = call(&agent, "DELETE", &format!("{url}{}", end_path(&job)), &[], None);
        }
    }
}

/// Hands a job in until it is accepted; returns false when the load ends before.
fn hand_in(load: &Load, agent: &Agent, random: &mut StdRng, job: &str, items: &[(String, u64)]) -> bool {
    let body = job_body(items);
    loop {
        let url = format!("{}/batch/", load.installation.caller_url(random.random_range(0..HOSTS)));
        match call(agent, "POST", &url, &[(REQUEST_ID, job)], Some(&body)).map(|answer| answer.status) {
            Some(202) => return true,
            None | Some(429 | 500..) => {}
            Some(status) => load.ledger.broken(format!("{job} was refused with {status}")),
        }
        if load.is_ending() {
            return false;
        }
        std::thread::sleep(TRAINER_PAUSE);
    }
}

/// Reads a job at any host until all items are listed.
fn read_all(load: &Load, agent: &Agent, random: &mut StdRng, job: &str, items: &[(String, u64)]) -> Vec<ReadResult> {
    let accepted_at = Instant::now();
    let mut results: Vec<ReadResult> = Vec::new();
    while results.len() < items.len() {
        let url = load.installation.caller_url(random.random_range(0..HOSTS));
        let url = format!("{url}{}", results_path(job, results.len()));
        if let Some(answer) = call(agent, "GET", &url, &[(WAIT, "500")], None) {
            match (answer.status, decode_page(&answer.body)) {
                (200, Some((total, page))) => {
                    if total != items.len() {
                        load.ledger.broken(format!("{job} has {total} items, {} were handed in", items.len()));
                    }
                    for result in &page {
                        check_result(load, job, items, &results, result);
                    }
                    results.extend(page);
                }
                (404 | 410, _) if accepted_at.elapsed() > SETTLE_TIME => {
                    load.ledger.broken(format!("{job} was accepted and is answered {}", answer.status));
                }
                _ => {}
            }
        }
        if accepted_at.elapsed() > JOB_LIMIT {
            load.ledger.broken(format!("{job} has {} of {} results after {JOB_LIMIT:?}", results.len(), items.len()));
            return results;
        }
        std::thread::sleep(TRAINER_PAUSE);
    }
    results
}

fn check_result(load: &Load, job: &str, items: &[(String, u64)], earlier: &[ReadResult], result: &ReadResult) {
    let Some((id, events)) = items.iter().find(|(id, _)| *id == result.item) else {
        load.ledger.broken(format!("{job} lists {}, which is not in it", result.item));
        return;
    };
    if earlier.iter().any(|earlier| earlier.item == *id) {
        load.ledger.broken(format!("{job} lists {id} twice"));
    }
    let whole: Vec<String> = (1..=*events).map(|event| event_data(id, event)).collect();
    if !result.is_completed || result.text != whole.join("\n") {
        load.ledger.broken(format!(
            "{job} lists {id} with {} bytes, completed: {}",
            result.text.len(),
            result.is_completed
        ));
    }
}

/// Reads a finished job once more from the start.
fn check_again(load: &Load, agent: &Agent, random: &mut StdRng, job: &str, results: &[ReadResult]) {
    let url = load.installation.caller_url(random.random_range(0..HOSTS));
    let again = call(agent, "GET", &format!("{url}{}", results_path(job, 0)), &[], None);
    let Some((_, page)) = again.filter(|answer| answer.status == 200).and_then(|answer| decode_page(&answer.body))
    else {
        return;
    };
    if page.iter().zip(results).any(|(one, other)| one != other) {
        load.ledger.broken(format!("{job} has other results when it is read again"));
    }
}
