//! Engines that crash again and again under the same items of a batch job.

use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use googletest::prelude::*;

use crate::installation::{CALLER_HOST, START_TIMEOUT, SoakInstallation};
use crate::load::send_request;
use crate::software::{check_streams, engines};
use crate::stand_ins::callers::{REQUEST_ID_HEADER, WAIT_HEADER, decode_page, encode_job, format_results_path};
use crate::stand_ins::target::format_event_data;

/// Items of the job, each of which runs for about 3 s.
const ITEM_COUNT: usize = 12;

const ITEM_EVENTS: u64 = 400;

/// Crashes in the burst; the engines take turns, so that each item sees several.
const CRASH_COUNT: usize = 24;

const CRASH_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which all items must be listed after the last crash.
const CALM_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against items that are given up or never placed again because several engines crashed under them: items that are
/// handed in for later never crash engines by themselves.
#[gtest]
fn items_under_which_engines_crashed_are_still_owed() {
    let installation = SoakInstallation::start(1_201);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let items: Vec<(String, u64)> = (0..ITEM_COUNT).map(|item| (format!("owed-{item}"), ITEM_EVENTS)).collect();
    let url = format!("{}/batch/", installation.caller_url(0));
    let body = encode_job(CALLER_HOST, &items);
    let response = send_request(&agent, "POST", &url, &[(REQUEST_ID_HEADER, "owed")], Some(&body));
    assert_eq!(response.map(|response| response.status), Some(202));
    let engines = engines(&installation);
    for crash in 0..CRASH_COUNT {
        std::thread::sleep(CRASH_INTERVAL);
        engines[crash % engines.len()].standin.restart();
    }
    let calm_since = Instant::now();
    let mut texts: Vec<(String, String)> = Vec::new();
    while texts.len() < ITEM_COUNT && calm_since.elapsed() < CALM_TIMEOUT {
        let url = format!("{}{}", installation.caller_url(1), format_results_path("owed", texts.len()));
        let page = send_request(&agent, "GET", &url, &[(WAIT_HEADER, "500")], None);
        let page = page.filter(|response| response.status == 200).and_then(|response| decode_page(&response.body));
        let results = page.map_or_else(Vec::new, |(_, results)| results);
        texts.extend(results.into_iter().map(|result| (result.item, result.text)));
    }
    texts.sort();
    let whole_text = |id: &str| -> String {
        (1..=ITEM_EVENTS).map(|event| format_event_data(id, event, "1")).collect::<Vec<String>>().join("\n")
    };
    let mut expected: Vec<(String, String)> = items.iter().map(|(id, _)| (id.clone(), whole_text(id))).collect();
    expected.sort();
    check_streams(&installation);
    expect_that!(texts, eq(&expected));
}
