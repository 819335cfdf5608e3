//! Targets that say in their responses, and not in their entries, that they are about to stop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use googletest::prelude::*;

use crate::installation::{CALLER_HOST, HOST_COUNT, START_TIMEOUT, SoakInstallation};
use crate::load::send_request;
use crate::stand_ins::callers::{DEADLINE_HEADER, REQUEST_ID_HEADER, encode_job};
use crate::stand_ins::target::EVENTS_HEADER;

/// Time after which a leaving target gets no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time for which requests are sent after that.
const WATCH_TIME: Duration = Duration::from_secs(3);

const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Sends requests of all kinds, and short batch jobs whose items are graded, to all hosts until `is_ending`.
fn send_load(installation: &SoakInstallation, is_ending: &AtomicBool) {
    let routes: [(&str, &[(&str, &str)]); 3] =
        [("/plain/look", &[]), ("/once/book", &[]), ("/stream/run", &[(EVENTS_HEADER, "3")])];
    std::thread::scope(|scope| {
        for host in 0..HOST_COUNT {
            scope.spawn(move || {
                let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
                for number in 0.. {
                    if is_ending.load(Ordering::Acquire) {
                        break;
                    }
                    let (path, headers) = routes[number % routes.len()];
                    let id = format!("leaving-{host}-{number}");
                    let headers = [&[(REQUEST_ID_HEADER, id.as_str()), (DEADLINE_HEADER, "2000")], headers].concat();
                    let url = format!("{}{path}", installation.caller_url(host));
                    send_request(&agent, "POST", &url, &headers, Some(&id));
                    if number % 10 == 0 {
                        let job = format!("leaving-job-{host}-{number}");
                        let items: Vec<(String, u64)> = (0..6).map(|item| (format!("{job}-{item}"), 3)).collect();
                        let url = format!("{}/batch/", installation.caller_url(host));
                        let body = encode_job(CALLER_HOST, &items);
                        send_request(&agent, "POST", &url, &[(REQUEST_ID_HEADER, &job)], Some(&body));
                    }
                    std::thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
    });
}

/// Guards against requests, streams, items and gradings that are still sent to a target that says that it leaves, and against
/// a target that gets nothing any more after it has started again under its id.
#[gtest]
fn targets_that_leave_get_no_more_requests() {
    let installation = SoakInstallation::start(1_500);
    assert!((0..HOST_COUNT).all(|host| installation.wait_until_hosts_known(host, START_TIMEOUT)));
    let is_ending = AtomicBool::new(false);
    // A model engine and a plain service.
    let leaving = [&installation.targets[0].standin, &installation.targets[3].standin];
    let count_since = |since: Instant| -> Vec<usize> {
        let arrivals = leaving.iter().map(|standin| standin.arrivals());
        arrivals.map(|arrivals| arrivals.iter().filter(|arrival| arrival.at > since).count()).collect()
    };
    let (before, after, again) = std::thread::scope(|scope| {
        scope.spawn(|| send_load(&installation, &is_ending));
        let started_at = Instant::now();
        std::thread::sleep(Duration::from_secs(2));
        let before = count_since(started_at);
        for standin in leaving {
            standin.leave();
        }
        std::thread::sleep(DRAIN_TIME);
        let drained_at = Instant::now();
        std::thread::sleep(WATCH_TIME);
        let after = count_since(drained_at);
        let restarted_at = Instant::now();
        for standin in leaving {
            standin.restart_under_same_id();
        }
        std::thread::sleep(WATCH_TIME);
        is_ending.store(true, Ordering::Release);
        (before, after, count_since(restarted_at))
    });
    if after != vec![0, 0] {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(before, each(gt(&5)));
    expect_that!(after, eq(&vec![0, 0]));
    expect_that!(again, each(gt(&5)));
}
