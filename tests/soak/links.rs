//! Hosts that lose their links to all targets, while callers, the store and the other hosts still reach them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use camphorspring_standins::{RelayCommand, RelayDirection};
use googletest::prelude::*;
use rustix::process::Signal;

use crate::installation::{CALLER_HOST, HOST_COUNT, START_TIMEOUT, SoakInstallation};
use crate::load::send_request;
use crate::stand_ins::callers::{
    DEADLINE_HEADER, REQUEST_ID_HEADER, WAIT_HEADER, decode_page, encode_job, format_results_path,
};
use crate::stand_ins::target::{EVENTS_HEADER, RUN_TIME_HEADER};

/// Time after the begin of a cut from which callers must be served.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time from the begin of a cut until it ends.
const CUT_TIME: Duration = Duration::from_secs(8);

const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Deadline of the requests; longer than the delay of one attempt that fails, shorter than the timeout for connections of one
/// second.
const DEADLINE_MS: &str = "800";

/// How the links of a host are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Open connections are reset, new ones are refused.
    Refused,
    /// Open connections live on, new ones are refused.
    RefusedOpenLive,
    /// Connections can be made and stay silent.
    Silent,
}

pub fn cut_links(installation: &SoakInstallation, host: usize, fault: LinkFault) {
    for link in &installation.hosts[host].target_links {
        match fault {
            LinkFault::Refused => {
                link.order(RelayCommand::Refuse);
                link.order(RelayCommand::Reset);
            }
            LinkFault::RefusedOpenLive => link.order(RelayCommand::Refuse),
            LinkFault::Silent => link.order(RelayCommand::Cut { direction: RelayDirection::Both }),
        }
    }
}

pub fn restore_links(installation: &SoakInstallation, host: usize) {
    for link in &installation.hosts[host].target_links {
        link.order(RelayCommand::Restore);
    }
}

/// First tries that were served, and all, at one kind of hosts.
#[derive(Debug, Default)]
struct ServedCount {
    served: AtomicUsize,
    all: AtomicUsize,
}

impl ServedCount {
    fn counts(&self) -> (usize, usize) {
        (self.served.load(Ordering::Relaxed), self.all.load(Ordering::Relaxed))
    }

    /// Whether two thirds or more were served.
    fn is_served(&self) -> bool {
        let (served, all) = self.counts();
        all > 0 && served * 3 >= all * 2
    }
}

/// Routes with the headers of their requests.
const ROUTES: [(&str, &[(&str, &str)]); 3] =
    [("/plain/look", &[]), ("/once/book", &[]), ("/stream/run", &[(EVENTS_HEADER, "3")])];

/// Cuts the links of hosts 0 and 1 while requests of all kinds arrive at all hosts; returns what was served at the cut hosts and
/// at the other one, from [`NOTICE_TIME`] after the begin of the cut on, and after its end.
fn run_cut(installation: &SoakInstallation, fault: LinkFault) -> [ServedCount; 3] {
    let counts = [ServedCount::default(), ServedCount::default(), ServedCount::default()];
    let cut_at = Instant::now() + Duration::from_secs(1);
    let end = cut_at + CUT_TIME + NOTICE_TIME;
    std::thread::scope(|scope| {
        for host in 0..HOST_COUNT {
            for (path, route_headers) in ROUTES {
                let counts = &counts;
                scope.spawn(move || {
                    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
                    for number in 0.. {
                        let sent_at = Instant::now();
                        if sent_at > end {
                            break;
                        }
                        let id = format!("cut-{fault:?}-{host}-{}-{number}", &path[1..4]);
                        let headers =
                            [&[(REQUEST_ID_HEADER, id.as_str()), (DEADLINE_HEADER, DEADLINE_MS)], route_headers]
                                .concat();
                        let url = format!("{}{path}", installation.caller_url(host));
                        let response = send_request(&agent, "POST", &url, &headers, Some(&id));
                        let is_cut = sent_at > cut_at + NOTICE_TIME && sent_at < cut_at + CUT_TIME;
                        let group = match host {
                            _ if sent_at > cut_at + CUT_TIME + Duration::from_secs(1) => Some(2),
                            0 | 1 if is_cut => Some(0),
                            _ if is_cut => Some(1),
                            _ => None,
                        };
                        if let Some(group) = group {
                            counts[group].all.fetch_add(1, Ordering::Relaxed);
                            let is_served = response.is_some_and(|response| response.status == 200);
                            counts[group].served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                        }
                        std::thread::sleep(REQUEST_INTERVAL);
                    }
                });
            }
        }
        std::thread::sleep(cut_at.saturating_duration_since(Instant::now()));
        cut_links(installation, 0, fault);
        cut_links(installation, 1, fault);
        std::thread::sleep(CUT_TIME);
        restore_links(installation, 0);
        restore_links(installation, 1);
    });
    counts
}

/// Guards against callers who are not served because their host has lost its links to all targets, and against a request that
/// may run once and runs twice on the way through another host.
#[gtest]
fn hosts_without_links_to_targets_serve_their_callers() {
    let faults = [LinkFault::Refused, LinkFault::RefusedOpenLive, LinkFault::Silent];
    std::thread::scope(|scope| {
        let runs = faults.map(|fault| {
            scope.spawn(move || {
                let installation = SoakInstallation::start_with_own_links(1_400);
                assert!((0..HOST_COUNT).all(|host| installation.wait_until_hosts_known(host, START_TIMEOUT)));
                let counts = run_cut(&installation, fault);
                (installation, fault, counts)
            })
        });
        for run in runs {
            let (installation, fault, counts) = run.join().expect("no run panics");
            eprintln!("{fault:?}: {:?}", counts.each_ref().map(ServedCount::counts));
            let is_served = counts.each_ref().map(ServedCount::is_served);
            if is_served != [true; 3] {
                eprintln!("logs: {}", installation.keep_logs().display());
            }
            expect_that!(is_served, eq([true; 3]), "{fault:?}");
            let mut once_ids: Vec<String> = installation.run_log.runs().into_iter().map(|run| run.request_id).collect();
            once_ids.retain(|id| id.contains("-onc-"));
            let all = once_ids.len();
            once_ids.sort();
            once_ids.dedup();
            expect_that!(once_ids.len(), eq(all), "requests that may run once, and their runs");
        }
    });
}

/// Guards against batch jobs that stand still because their owner has lost its links to all targets.
#[gtest]
fn jobs_of_hosts_without_links_to_targets_go_on() {
    const ITEM_COUNT: usize = 12;
    const ITEM_EVENTS: u64 = 300;
    /// An item takes 2.4 s.
    const JOB_TIMEOUT: Duration = Duration::from_secs(9);
    let installation = SoakInstallation::start_with_own_links(1_401);
    assert!((0..HOST_COUNT).all(|host| installation.wait_until_hosts_known(host, START_TIMEOUT)));
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let items: Vec<(String, u64)> = (0..ITEM_COUNT).map(|item| (format!("linked-{item}"), ITEM_EVENTS)).collect();
    let body = encode_job(CALLER_HOST, &items);
    let url = format!("{}/batch/", installation.caller_url(0));
    let response = send_request(&agent, "POST", &url, &[(REQUEST_ID_HEADER, "linked")], Some(&body));
    assert_eq!(response.map(|response| response.status), Some(202));
    let submitted_at = Instant::now();
    std::thread::sleep(Duration::from_millis(800));
    // The owner may be any host; two of three are cut off, and the job would not end if one of them kept it to itself.
    cut_links(&installation, 0, LinkFault::Silent);
    cut_links(&installation, 1, LinkFault::Refused);
    let mut listed = 0;
    while listed < ITEM_COUNT && submitted_at.elapsed() < JOB_TIMEOUT {
        let url = format!("{}{}", installation.caller_url(2), format_results_path("linked", listed));
        let page = send_request(&agent, "GET", &url, &[(WAIT_HEADER, "500")], None);
        let page = page.filter(|response| response.status == 200).and_then(|response| decode_page(&response.body));
        listed += page.map_or(0, |(_, results)| results.iter().filter(|result| result.is_completed).count());
    }
    if listed < ITEM_COUNT {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(listed, eq(ITEM_COUNT));
}

/// Guards against requests that run twice, or run although their status says that they did not, when the hosts that pass them
/// on are killed, stopped as planned, or frozen midway.
#[gtest]
fn requests_through_hosts_that_end_run_once_at_most() {
    const PEER_FAULTS: usize = 6;
    let installation = SoakInstallation::start_with_own_links(1_402);
    assert!((0..HOST_COUNT).all(|host| installation.wait_until_hosts_known(host, START_TIMEOUT)));
    cut_links(&installation, 0, LinkFault::Silent);
    let is_ending = AtomicBool::new(false);
    let (not_run, served) = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (installation, is_ending) = (&installation, &is_ending);
                scope.spawn(move || {
                    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
                    let (mut not_run, mut served) = (Vec::new(), 0);
                    for number in 0.. {
                        if is_ending.load(Ordering::Acquire) {
                            break;
                        }
                        let id = format!("ended-{caller}-{number}");
                        let url = format!("{}/once/book", installation.caller_url(0));
                        let headers =
                            [(REQUEST_ID_HEADER, id.as_str()), (DEADLINE_HEADER, DEADLINE_MS), (RUN_TIME_HEADER, "40")];
                        match send_request(&agent, "POST", &url, &headers, Some(&id)).map(|response| response.status) {
                            Some(200) => served += 1,
                            Some(429 | 503) => not_run.push(id),
                            _ => {}
                        }
                    }
                    (not_run, served)
                })
            })
            .collect();
        for fault in 0..PEER_FAULTS {
            std::thread::sleep(Duration::from_millis(900));
            let peer = 1 + fault % 2;
            match fault % 3 {
                0 => {
                    installation.kill_host(peer);
                    installation.start_host(peer);
                }
                1 => {
                    installation.restart_host(peer);
                }
                _ => {
                    installation.signal_host(peer, Signal::STOP);
                    std::thread::sleep(Duration::from_millis(900));
                    installation.signal_host(peer, Signal::CONT);
                }
            }
        }
        is_ending.store(true, Ordering::Release);
        let ended = callers.into_iter().map(|caller| caller.join().expect("no caller panics"));
        ended.fold((Vec::new(), 0), |(mut not_run, served), (ids, count)| {
            not_run.extend(ids);
            (not_run, served + count)
        })
    });
    // Requests that were held up in a frozen host must not run later either.
    std::thread::sleep(Duration::from_secs(2));
    let mut runs: Vec<String> = installation.run_log.runs().into_iter().map(|run| run.request_id).collect();
    runs.retain(|id| id.starts_with("ended-"));
    runs.sort();
    let repeated: Vec<&String> = runs.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| &pair[0]).collect();
    let falsely_refused: Vec<&String> = not_run.iter().filter(|id| runs.binary_search(id).is_ok()).collect();
    eprintln!("{served} served, {} refused, {} runs", not_run.len(), runs.len());
    if !repeated.is_empty() || !falsely_refused.is_empty() {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(repeated, is_empty());
    expect_that!(falsely_refused, is_empty());
    expect_that!(served, gt(100));
}
