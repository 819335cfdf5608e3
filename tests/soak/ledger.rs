//! What callers were told, and the promises it is checked against.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;

use crate::installation::{HOSTS, Installation};
use crate::load::call;
use crate::stand_ins::callers::{DEADLINE, REQUEST_ID};

/// Time after the last fault in which all hosts serve again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

#[derive(Debug)]
struct PlainOutcome {
    id: String,
    is_once: bool,
    status: Option<u16>,
}

/// Outcomes and broken promises of a run.
#[derive(Debug)]
pub struct OutcomeLog {
    plain: Mutex<Vec<PlainOutcome>>,
    broken: Mutex<Vec<String>>,
    jobs: Mutex<usize>,
}

impl OutcomeLog {
    /// Empty ledger.
    pub fn new() -> Self {
        Self { plain: Mutex::new(Vec::new()), broken: Mutex::new(Vec::new()), jobs: Mutex::new(0) }
    }

    /// Records a broken promise.
    pub fn broken(&self, text: String) {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner).push(text);
    }

    /// All broken promises.
    pub fn violations(&self) -> Vec<String> {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records how a plain request ended; `None` stands for no whole answer.
    pub fn note_plain(&self, id: &str, is_once: bool, status: Option<u16>) {
        let outcome = PlainOutcome { id: id.to_owned(), is_once, status };
        self.plain.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
    }

    /// Records a job that was read to its end.
    pub fn note_job(&self) {
        *self.jobs.lock().unwrap_or_else(PoisonError::into_inner) += 1;
    }

    /// What the callers did, in one line.
    pub fn summary(&self) -> String {
        let plain = self.plain.lock().unwrap_or_else(PoisonError::into_inner);
        let with = |status| plain.iter().filter(|outcome| outcome.status == status).count();
        let jobs = *self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        format!("requests={} served={} unanswered={} jobs={jobs}", plain.len(), with(Some(200)), with(None))
    }

    /// Waits until all hosts serve; each must within the limit.
    pub fn check_recovery(&self, installation: &Installation) {
        let begun = Instant::now();
        let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
        for host in 0..HOSTS {
            let url = format!("{}/plain/look", installation.caller_url(host));
            let serves = |attempt: u32| {
                let id = format!("recovery-{host}-{attempt}");
                call(&agent, "POST", &url, &[(REQUEST_ID, &id), (DEADLINE, "2000")], Some("body"))
                    .is_some_and(|answer| answer.status == 200)
            };
            let mut attempt = 0;
            while !serves(attempt) {
                attempt += 1;
                if begun.elapsed() > RECOVERY_LIMIT {
                    self.broken(format!("host {host} does not serve {RECOVERY_LIMIT:?} after the last fault"));
                    break;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }

    /// Checks what was told against what ran.
    pub fn check_runs(&self, installation: &Installation) {
        let mut runs = installation.book.runs();
        for run in &runs {
            if run.has_key || run.organisation != "lab" {
                self.broken(format!("{} ran for {:?}, key passed on: {}", run.request, run.organisation, run.has_key));
            }
        }
        runs.sort_by(|one, other| one.request.cmp(&other.request));
        let count = |id: &str| {
            let first = runs.partition_point(|run| run.request.as_str() < id);
            runs[first..].iter().take_while(|run| run.request == id).count()
        };
        for outcome in self.plain.lock().unwrap_or_else(PoisonError::into_inner).iter().filter(|it| it.is_once) {
            let count = count(&outcome.id);
            if count > 1 {
                self.broken(format!("{} may run once and ran {count} times", outcome.id));
            }
            if count > 0 && outcome.status.is_some_and(|status| NOT_RUN.contains(&status)) {
                self.broken(format!(
                    "{} ran, and its caller was told by {:?} that it did not",
                    outcome.id, outcome.status
                ));
            }
        }
    }
}
