//! Clients, which send single requests, and trainers, which submit batch jobs. Each caller has its own connections and
//! checks the responses that it receives.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use ureq::Agent;

use crate::installation::{CALLER_HOST, CALLER_KEY, HOST_COUNT, SoakInstallation};
use crate::outcome_log::OutcomeLog;
use crate::stand_ins::callers::{
    DEADLINE_HEADER, REQUEST_ID_HEADER, ReadResult, STAMP_HEADER, WAIT_HEADER, decode_page, encode_job,
    format_grading_id, format_job_path, format_results_path,
};
use crate::stand_ins::target::{format_plain_body, format_stamp, is_whole_output};

/// Delay of a client between two requests.
const CLIENT_DELAY: Duration = Duration::from_millis(20);

/// Delay of a trainer before it repeats a submission or a read.
const TRAINER_DELAY: Duration = Duration::from_millis(200);

/// Maximum time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time from acceptance after which every host must know a job. Until then, a read may get status 404 or 410.
const JOB_VISIBILITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from acceptance within which all results of a job must be listed, faults and recovery included.
const JOB_TIMEOUT: Duration = Duration::from_secs(50);

/// Number of items of each job; every two consecutive items form a group.
const ITEMS_PER_JOB: u64 = 10;

/// State that all callers of one soak run share.
#[derive(Debug)]
pub struct CallerLoad {
    installation: Arc<SoakInstallation>,
    outcome_log: Arc<OutcomeLog>,
    /// Set when callers must stop sending requests and submitting jobs; trainers still read the jobs already accepted.
    pub is_ending: AtomicBool,
}

impl CallerLoad {
    /// Creates the state for callers of an installation, which record their outcomes in `outcome_log`.
    pub fn new(installation: Arc<SoakInstallation>, outcome_log: Arc<OutcomeLog>) -> Self {
        Self { installation, outcome_log, is_ending: AtomicBool::new(false) }
    }

    fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::Acquire)
    }
}

/// Response that was received completely.
#[derive(Debug)]
pub struct CallerResponse {
    /// HTTP status code; responses with an error status are kept as well.
    pub status: u16,
    is_stamped: bool,
    /// Complete body, decoded as text.
    pub body: String,
}

/// Sends a request with the callers' host name and key; `None` when no complete response with a readable
/// body arrived in time.
pub fn send_request(
    agent: &Agent,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: Option<&str>,
) -> Option<CallerResponse> {
    let mut request = ureq::http::Request::builder().method(method).uri(url).header("host", CALLER_HOST);
    request = request.header("authorization", format!("Bearer {CALLER_KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = match body {
        Some(body) => agent.run(request.body(body.to_owned()).ok()?),
        None => agent.run(request.body(()).ok()?),
    };
    let mut response = response.ok()?;
    let is_stamped = response.headers().contains_key(STAMP_HEADER);
    let body = response.body_mut().read_to_string().ok()?;
    Some(CallerResponse { status: response.status().as_u16(), is_stamped, body })
}

/// Sends requests of the repeatable and the at-most-once route to random hosts until the load ends.
pub fn run_client(load: &CallerLoad, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let agent = http_agent(Duration::from_millis(500), RESPONSE_TIMEOUT);
    let mut number = 0;
    while !load.is_ending() {
        number += 1;
        let id = format!("{seed:x}-{number:x}");
        let is_at_most_once = random.random_bool(0.5);
        let path = if is_at_most_once { "/once/book" } else { "/plain/look" };
        let url = format!("{}{path}", load.installation.caller_url(random.random_range(0..HOST_COUNT)));
        let response =
            send_request(&agent, "POST", &url, &[(REQUEST_ID_HEADER, &id), (DEADLINE_HEADER, "2000")], Some("body"));
        let status = response.as_ref().map(|response| response.status);
        load.outcome_log.record_request(&id, is_at_most_once, status);
        if let Some(response) = response.filter(|response| response.status == 200)
            && (!response.is_stamped || response.body != format_plain_body(&id))
        {
            load.outcome_log.record_violation(format!(
                "{id} got the response {:?}, stamped: {}",
                response.body, response.is_stamped
            ));
        }
        if let Some(status) = status.filter(|status| !(200..600).contains(status)) {
            load.outcome_log.record_violation(format!("{id} got the status {status}"));
        }
        if let Some(status @ (401 | 403 | 404)) = status {
            load.outcome_log
                .record_violation(format!("{id} was refused with {status}, but every configuration admits it"));
        }
        std::thread::sleep(CLIENT_DELAY);
    }
}

/// Submits one job after the other until the load ends, and reads, rereads and ends each of them.
pub fn run_trainer(load: &CallerLoad, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let agent = http_agent(Duration::from_millis(500), RESPONSE_TIMEOUT);
    let mut number = 0;
    while !load.is_ending() {
        number += 1;
        let job = format!("j{seed:x}-{number:x}");
        let items: Vec<(String, u64)> =
            (0..ITEMS_PER_JOB).map(|item| (format!("{job}-{item}"), random.random_range(3..500))).collect();
        if submit_job(load, &agent, &mut random, &job, &items) {
            let results = read_results(load, &agent, &mut random, &job, &items);
            load.outcome_log.record_job();
            check_reread(load, &agent, &mut random, &job, &results);
            let url = load.installation.caller_url(random.random_range(0..HOST_COUNT));
            // The soak goes on without the result of this call: a job that stays in the store disturbs no other.
            let _ = send_request(&agent, "DELETE", &format!("{url}{}", format_job_path(&job)), &[], None);
        }
    }
}

/// Submits a job repeatedly until a host accepts it; returns false when the load ends before that.
fn submit_job(load: &CallerLoad, agent: &Agent, random: &mut StdRng, job: &str, items: &[(String, u64)]) -> bool {
    let body = encode_job(CALLER_HOST, items);
    loop {
        let url = format!("{}/batch/", load.installation.caller_url(random.random_range(0..HOST_COUNT)));
        match send_request(agent, "POST", &url, &[(REQUEST_ID_HEADER, job)], Some(&body))
            .map(|response| response.status)
        {
            Some(202) => return true,
            None | Some(429 | 500..) => {}
            Some(status) => load.outcome_log.record_violation(format!("{job} was refused with {status}")),
        }
        if load.is_ending() {
            return false;
        }
        std::thread::sleep(TRAINER_DELAY);
    }
}

/// Reads the results of a job from random hosts until all items are listed or [`JOB_TIMEOUT`] has passed.
fn read_results(
    load: &CallerLoad,
    agent: &Agent,
    random: &mut StdRng,
    job: &str,
    items: &[(String, u64)],
) -> Vec<ReadResult> {
    let accepted_at = Instant::now();
    let mut results: Vec<ReadResult> = Vec::new();
    while results.len() < items.len() {
        let url = load.installation.caller_url(random.random_range(0..HOST_COUNT));
        let url = format!("{url}{}", format_results_path(job, results.len()));
        if let Some(response) = send_request(agent, "GET", &url, &[(WAIT_HEADER, "500")], None) {
            match (response.status, decode_page(&response.body)) {
                (200, Some((total, page))) => {
                    if total != items.len() {
                        load.outcome_log
                            .record_violation(format!("{job} has {total} items, {} were handed in", items.len()));
                    }
                    for result in &page {
                        check_result(load, job, items, &results, result);
                    }
                    results.extend(page);
                }
                (404 | 410, _) if accepted_at.elapsed() > JOB_VISIBILITY_TIMEOUT => {
                    load.outcome_log
                        .record_violation(format!("{job} was accepted, but a read got status {}", response.status));
                }
                _ => {}
            }
        }
        if accepted_at.elapsed() > JOB_TIMEOUT {
            load.outcome_log.record_violation(format!(
                "{job} has {} of {} results after {JOB_TIMEOUT:?}",
                results.len(),
                items.len()
            ));
            return results;
        }
        std::thread::sleep(TRAINER_DELAY);
    }
    results
}

fn check_result(load: &CallerLoad, job: &str, items: &[(String, u64)], earlier: &[ReadResult], result: &ReadResult) {
    let Some((id, events)) = items.iter().find(|(id, _)| *id == result.item) else {
        load.outcome_log.record_violation(format!("{job} lists {}, which is not in it", result.item));
        return;
    };
    if earlier.iter().any(|earlier| earlier.item == *id) {
        load.outcome_log.record_violation(format!("{job} lists {id} twice"));
    }
    let has_score = result.score == format_stamp(&format_grading_id(id));
    if !result.is_completed || !is_whole_output(id, *events, &result.text) || !has_score {
        load.outcome_log.record_violation(format!(
            "{job} lists {id} with {} bytes, completed: {}, score {:?}",
            result.text.len(),
            result.is_completed,
            result.score
        ));
    }
}

/// Reads the first page of a job once more and compares the results that it has with those read before. A read that
/// fails is not a violation, nor is a page with fewer results.
fn check_reread(load: &CallerLoad, agent: &Agent, random: &mut StdRng, job: &str, results: &[ReadResult]) {
    let url = load.installation.caller_url(random.random_range(0..HOST_COUNT));
    let response = send_request(agent, "GET", &format!("{url}{}", format_results_path(job, 0)), &[], None);
    let Some((_, page)) =
        response.filter(|response| response.status == 200).and_then(|response| decode_page(&response.body))
    else {
        return;
    };
    if page.iter().zip(results).any(|(reread, result)| reread != result) {
        load.outcome_log.record_violation(format!("{job} has other results when it is read again"));
    }
}
