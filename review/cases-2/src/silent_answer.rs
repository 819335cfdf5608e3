//! A host is stopped as planned while it passes on a large answer. The engine is silent for a while in the middle of the answer, and
//! the host ends the answer there.

use std::sync::Arc;
use std::time::Duration;

use crate::engine::{BYTES, SILENT_MS};
use crate::host::SIGTERM;
use crate::http::call;
use crate::record::Record;
use crate::site::{CALLER_HOST, Site, bearer};

/// Bytes of an answer, and the time for which the engine is silent after three quarters of them.
const ANSWER_BYTES: usize = 480_000;
const SILENT: Duration = Duration::from_millis(2500);

/// Requests, each on a connection of its own, sent this long after the SIGTERM.
const REQUESTS: usize = 3;
const SEND_AFTER: Duration = Duration::from_millis(300);

/// Time that the client waits; the route allows 10 s.
const DEADLINE: Duration = Duration::from_secs(6);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let mut site = Site::start(record, 3, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"])?;
    let address = site.hosts[0].callers;
    if has_trouble {
        site.hosts[0].signal(SIGTERM);
    }
    std::thread::sleep(SEND_AFTER);
    let threads: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = Arc::clone(record);
            std::thread::spawn(move || {
                let (bearer, id) = (bearer(), format!("9c41d07be2a3{number:04}"));
                let (bytes, silent) = (ANSWER_BYTES.to_string(), SILENT.as_millis().to_string());
                let deadline = DEADLINE.as_millis().to_string();
                let headers = [
                    ("Host", CALLER_HOST),
                    ("Authorization", bearer.as_str()),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", deadline.as_str()),
                    (BYTES, bytes.as_str()),
                    (SILENT_MS, silent.as_str()),
                ];
                let sent_at = record.now();
                let answer = call(address, "POST", "/lohu930/2f", &headers, Some(b"export"), DEADLINE);
                let is_whole = answer.as_ref().is_some_and(|answer| answer.whole && answer.status() == 200);
                record.line(&format!(
                    "request {id}: status {:?}, {}, {:.3} s after it was sent",
                    answer.as_ref().map(|answer| answer.status()),
                    if is_whole { "whole" } else { "not whole: the connection ended within the answer" },
                    record.now() - sent_at
                ));
                is_whole
            })
        })
        .collect();
    let lost = threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|is_whole| !is_whole).count();
    // Beside planned work the rule counts such answers on kept connections only, and more than three of them.
    let is_counted =
        if has_trouble { "around planned work" } else { "without planned work, which the rule does not count" };
    record.line(&format!("{lost} of {REQUESTS} requests ended without a complete answer {is_counted}"));
    Some(has_trouble && lost > 0)
}
