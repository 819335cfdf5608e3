//! Hosts that reach the store only through their peers.

use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use camphorspring_standins::{RelayCommand, RelayDirection};
use googletest::prelude::*;

use crate::installation::{CALLER_HOST, START_TIMEOUT, SoakInstallation};
use crate::load::send_request;
use crate::stand_ins::callers::{REQUEST_ID_HEADER, WAIT_HEADER, decode_page, encode_job, format_results_path};

/// Time after which a host has detected that its connection to the store is cut.
const CUT_DETECTION_DELAY: Duration = Duration::from_secs(3);

/// Time from the submission within which all results must be listed; an item takes 0.4 s.
const JOB_TIMEOUT: Duration = Duration::from_secs(6);

/// Guards against batch jobs that are refused or make no progress at a host that has lost its connection to the store,
/// while its peers still reach the store.
#[gtest]
fn host_cut_off_from_the_store_works_through_its_peers() {
    let installation = SoakInstallation::start(1_000);
    // A host that is cut off before it knows other hosts has no peer to send its calls through.
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    installation.hosts[0].store_relay.order(RelayCommand::Cut { direction: RelayDirection::Both });
    std::thread::sleep(CUT_DETECTION_DELAY);
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let url = installation.caller_url(0);
    let items: Vec<(String, u64)> = (0..8).map(|item| (format!("cut-{item}"), 50)).collect();
    let body = encode_job(CALLER_HOST, &items);
    let submitted_at = Instant::now();
    let submission_status =
        send_request(&agent, "POST", &format!("{url}/batch/"), &[(REQUEST_ID_HEADER, "cut")], Some(&body));
    let submission_status = submission_status.map(|response| response.status);
    let mut result_count = 0;
    while result_count < items.len() && submitted_at.elapsed() < JOB_TIMEOUT {
        let path = format_results_path("cut", result_count);
        let response = send_request(&agent, "GET", &format!("{url}{path}"), &[(WAIT_HEADER, "500")], None);
        let page = response.filter(|response| response.status == 200).and_then(|response| decode_page(&response.body));
        result_count += page.map_or(0, |(_, page)| page.len());
    }
    if submission_status != Some(202) || result_count < items.len() {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(submission_status, some(eq(202)));
    expect_that!(result_count, eq(items.len()));
}
