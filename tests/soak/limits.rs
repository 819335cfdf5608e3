//! Targets that announce a rate limit, which all hosts together must keep to.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use googletest::prelude::*;

use crate::installation::{CALLER_HOST, HOST_COUNT, START_TIMEOUT, SoakInstallation, SoakTarget};
use crate::load::send_request;
use crate::stand_ins::callers::{
    DEADLINE_HEADER, REQUEST_ID_HEADER, WAIT_HEADER, decode_page, encode_job, format_results_path,
};
use crate::stand_ins::target::Arrival;

/// Time from the first response that names a limit until the limit must be kept.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Window in which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Factor by which the requests of a window may exceed what the limit allows.
const ALLOWED_FACTOR: f64 = 1.5;

/// Number of requests that a window may have beyond that.
const ALLOWED_EXCESS: f64 = 5.0;

/// Time for which the targets name a limit.
const LIMITED_TIME: Duration = Duration::from_secs(12);

/// Number of clients that send requests to the plain route, one after the other.
const CLIENT_COUNT: usize = 6;

/// Most requests in a window of the arrivals that must keep to `rate_limit`.
fn most_in_window(arrivals: &[Arrival], rate_limit: f64) -> usize {
    let limited: Vec<Instant> =
        arrivals.iter().filter(|arrival| arrival.rate_limit == Some(rate_limit)).map(|arrival| arrival.at).collect();
    let Some(first) = limited.first() else { return 0 };
    let kept: Vec<Instant> = limited.iter().copied().filter(|at| *at - *first >= NOTICE_TIME).collect();
    let count = |start: &Instant| kept.iter().filter(|at| **at >= *start && **at - *start < WINDOW).count();
    kept.iter().map(count).max().unwrap_or_default()
}

fn allowed_in_window(rate_limit: f64) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive number")]
    let allowed = (rate_limit * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_EXCESS) as usize;
    allowed
}

fn set_limits(targets: &[&SoakTarget], rate_limit: Option<f64>) {
    for target in targets {
        target.standin.set_rate_limit(rate_limit);
    }
}

/// Names `rate_limit` at all targets of a service and returns, for each, the most requests in a window; `load` runs until
/// the limit ends, and is told so by its argument.
fn run_limited(
    installation: &SoakInstallation,
    service: &str,
    rate_limit: f64,
    load: impl Fn(&AtomicBool) + Send + Sync,
) -> Vec<usize> {
    let targets: Vec<&SoakTarget> = installation.targets.iter().filter(|target| target.service == service).collect();
    let is_ending = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| load(&is_ending));
        std::thread::sleep(Duration::from_secs(1));
        set_limits(&targets, Some(rate_limit));
        std::thread::sleep(LIMITED_TIME);
        set_limits(&targets, None);
        is_ending.store(true, Ordering::Release);
    });
    let counts: Vec<usize> =
        targets.iter().map(|target| most_in_window(&target.standin.arrivals(), rate_limit)).collect();
    if counts.iter().any(|count| *count > allowed_in_window(rate_limit)) {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    counts
}

/// Sends plain requests to all hosts in turn until `is_ending`; returns how many were answered with 200.
fn send_plain_requests(installation: &SoakInstallation, client: usize, is_ending: &AtomicBool) -> usize {
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let mut served = 0;
    for number in 0.. {
        if is_ending.load(Ordering::Acquire) {
            break;
        }
        let url = format!("{}/plain/look", installation.caller_url((client + number) % HOST_COUNT));
        let id = format!("limited-{client}-{number}");
        let headers = [(REQUEST_ID_HEADER, id.as_str()), (DEADLINE_HEADER, "2000")];
        let response = send_request(&agent, "POST", &url, &headers, Some("body"));
        served += usize::from(response.is_some_and(|response| response.status == 200));
        std::thread::sleep(Duration::from_millis(20));
    }
    served
}

/// Guards against plain targets that get more requests than the limit that they announce: each host on its own, and one
/// that restarts meanwhile and has forgotten the limit. The limit must leave some requests served.
#[gtest]
fn plain_targets_get_no_more_than_they_announce() {
    const RATE_LIMIT: f64 = 2.0;
    let installation = SoakInstallation::start(1_001);
    let served = AtomicUsize::new(0);
    let load = |is_ending: &AtomicBool| {
        std::thread::scope(|scope| {
            for client in 0..CLIENT_COUNT {
                let (installation, served) = (&installation, &served);
                scope.spawn(move || {
                    served.fetch_add(send_plain_requests(installation, client, is_ending), Ordering::Relaxed)
                });
            }
            std::thread::sleep(Duration::from_secs(6));
            installation.kill_host(1);
            installation.start_host(1);
        });
    };
    let counts = run_limited(&installation, "desk", RATE_LIMIT, load);
    expect_that!(counts, each(le(&allowed_in_window(RATE_LIMIT))));
    expect_that!(served.into_inner(), gt(20));
}

/// Guards against engines that get more items of batch jobs than the limit that they announce, also when the jobs change
/// their owner meanwhile, and against items that are not run once the limit has ended.
#[gtest]
fn engines_get_no_more_items_than_they_announce() {
    const RATE_LIMIT: f64 = 3.0;
    const JOB_COUNT: usize = 3;
    const ITEM_COUNT: usize = 120;
    const JOB_TIMEOUT: Duration = Duration::from_secs(40);
    let installation = SoakInstallation::start(1_002);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let submit_jobs = |_: &AtomicBool| {
        for job in 0..JOB_COUNT {
            // Long items occupy their slots for some time, so that items start during the whole test.
            let items: Vec<(String, u64)> =
                (0..ITEM_COUNT).map(|item| (format!("limited-{job}-{item}"), 40 + 60 * (item as u64 % 3))).collect();
            let url = format!("{}/batch/", installation.caller_url(job % HOST_COUNT));
            let id = format!("limited-{job}");
            let body = encode_job(CALLER_HOST, &items);
            let response = send_request(&agent, "POST", &url, &[(REQUEST_ID_HEADER, &id)], Some(&body));
            assert_eq!(response.map(|response| response.status), Some(202));
        }
        std::thread::sleep(Duration::from_secs(7));
        installation.kill_host(0);
        installation.start_host(0);
    };
    let counts = run_limited(&installation, "models", RATE_LIMIT, submit_jobs);
    expect_that!(counts, each(le(&allowed_in_window(RATE_LIMIT))));
    let started_at = Instant::now();
    let read_count = |job: usize| {
        let mut count = 0;
        while count < ITEM_COUNT && started_at.elapsed() < JOB_TIMEOUT {
            let path = format_results_path(&format!("limited-{job}"), count);
            let url = format!("{}{path}", installation.caller_url(job % HOST_COUNT));
            let response = send_request(&agent, "GET", &url, &[(WAIT_HEADER, "500")], None);
            let page = response.filter(|response| response.status == 200);
            count += page.and_then(|page| decode_page(&page.body)).map_or(0, |(_, results)| results.len());
        }
        count
    };
    expect_that!((0..JOB_COUNT).map(read_count).collect::<Vec<usize>>(), each(eq(&ITEM_COUNT)));
}
