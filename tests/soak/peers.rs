//! Hosts that reach the store through others only.

use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use camphorspring_standins::{RelayCommand, RelayDirection};
use googletest::prelude::*;

use crate::installation::{Installation, START_LIMIT};
use crate::load::call;
use crate::stand_ins::callers::{REQUEST_ID, WAIT, decode_page, job_body, results_path};

/// Time after which a host has noticed that its way to the store is cut.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time in which the job is done: its longest item takes 0.4 s.
const JOB_TIME: Duration = Duration::from_secs(6);

/// Guards against steps that stand still, or are refused, at a host that the store does not serve while its peers are
/// served.
#[gtest]
fn host_cut_off_from_the_store_works_through_its_peers() {
    let installation = Installation::start(1_000);
    // A host that is cut off before it knows of others has no peers to ask.
    assert!(installation.wait_known(0, START_LIMIT), "the first host does not learn of the others");
    installation.hosts[0].store_link.order(RelayCommand::Cut { direction: RelayDirection::Both });
    std::thread::sleep(NOTICE_TIME);
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let url = installation.caller_url(0);
    let items: Vec<(String, u64)> = (0..8).map(|item| (format!("cut-{item}"), 50)).collect();
    let body = job_body(&items);
    let begun = Instant::now();
    let accepted = call(&agent, "POST", &format!("{url}/batch/"), &[(REQUEST_ID, "cut")], Some(&body));
    let accepted = accepted.map(|answer| answer.status);
    let mut results = 0;
    while results < items.len() && begun.elapsed() < JOB_TIME {
        let path = results_path("cut", results);
        let answer = call(&agent, "GET", &format!("{url}{path}"), &[(WAIT, "500")], None);
        let page = answer.filter(|answer| answer.status == 200).and_then(|answer| decode_page(&answer.body));
        results += page.map_or(0, |(_, page)| page.len());
    }
    if accepted != Some(202) || results < items.len() {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(accepted, some(eq(202)));
    expect_that!(results, eq(items.len()));
}
