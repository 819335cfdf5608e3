//! Engines of several versions of their software side by side: what two of them generate does not fit together.

use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use googletest::prelude::*;

use crate::installation::{CALLER_HOST, HOST_COUNT, START_TIMEOUT, SoakInstallation, SoakTarget};
use crate::load::send_request;
use crate::stand_ins::callers::{REQUEST_ID_HEADER, WAIT_HEADER, decode_page, encode_job, format_results_path};
use crate::stand_ins::target::is_whole_output;

/// Engines of the installation.
pub fn engines(installation: &SoakInstallation) -> Vec<&SoakTarget> {
    installation.targets.iter().filter(|target| target.service == "models").collect()
}

/// Fails the test with the logs kept when streams were joined from two versions.
pub fn check_streams(installation: &SoakInstallation) {
    let joined = installation.run_log.joined_streams();
    if !joined.is_empty() {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(joined, is_empty());
}

/// Kills all hosts, starts them again and waits until they are ready.
pub fn restart_all_hosts(installation: &SoakInstallation) {
    (0..HOST_COUNT).for_each(|host| installation.kill_host(host));
    (0..HOST_COUNT).for_each(|host| installation.start_host(host));
    assert!(installation.wait_until_ready(START_TIMEOUT), "the hosts do not start again");
}

/// Guards against outputs of items that are joined from two versions of the software, when engines are replaced by a new
/// one, the owner is killed or all hosts are, and against items that are never run again because their version has left.
#[gtest]
fn items_go_on_at_the_version_that_began_them() {
    const ITEM_COUNT: usize = 24;
    const ITEM_EVENTS: u64 = 700;
    const JOB_TIMEOUT: Duration = Duration::from_secs(40);
    let installation = SoakInstallation::start(1_103);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let items: Vec<(String, u64)> = (0..ITEM_COUNT).map(|item| (format!("kept-{item}"), ITEM_EVENTS)).collect();
    let url = format!("{}/batch/", installation.caller_url(0));
    let body = encode_job(CALLER_HOST, &items);
    let response = send_request(&agent, "POST", &url, &[(REQUEST_ID_HEADER, "kept")], Some(&body));
    assert_eq!(response.map(|response| response.status), Some(202));
    std::thread::sleep(Duration::from_secs(2));
    engines(&installation)[0].standin.release("2");
    std::thread::sleep(Duration::from_secs(2));
    restart_all_hosts(&installation);
    std::thread::sleep(Duration::from_secs(2));
    engines(&installation)[1].standin.release("2");
    engines(&installation)[2].standin.release("3");
    let started_at = Instant::now();
    let mut outputs: Vec<bool> = Vec::new();
    while outputs.len() < ITEM_COUNT && started_at.elapsed() < JOB_TIMEOUT {
        let url = format!("{}{}", installation.caller_url(1), format_results_path("kept", outputs.len()));
        let page = send_request(&agent, "GET", &url, &[(WAIT_HEADER, "500")], None);
        let page = page.filter(|response| response.status == 200).and_then(|response| decode_page(&response.body));
        let results = page.map_or_else(Vec::new, |(_, results)| results);
        outputs.extend(results.iter().map(|result| is_whole_output(&result.item, ITEM_EVENTS, &result.text)));
    }
    check_streams(&installation);
    expect_that!(outputs, eq(&vec![true; ITEM_COUNT]));
}
