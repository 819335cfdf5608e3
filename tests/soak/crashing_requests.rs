//! Requests that crash the targets that run them, and sound ones under which targets crash by chance.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use camphorspring_standins::{RelayCommand, RelayDirection};
use googletest::prelude::*;

use crate::installation::{HOST_COUNT, START_TIMEOUT, SoakInstallation};
use crate::load::send_request;
use crate::stand_ins::callers::{DEADLINE_HEADER, REQUEST_ID_HEADER};
use crate::stand_ins::target::{CRASHING_BODY, EVENTS_HEADER, RUN_TIME_HEADER, SILENTLY_CRASHING_BODY};

/// Times that a caller sends the same request, each time with another id.
const SUBMISSION_COUNT: usize = 44;

const SUBMISSION_INTERVAL: Duration = Duration::from_millis(250);

/// Crashes after which the request must be known at all hosts.
const KNOWN_CRASHES: usize = 3;

/// Time after these crashes from which further ones are counted.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Crashes that may follow later than that.
const ALLOWED_CRASHES: usize = 3;

/// Status of a request that was held back.
const HELD_STATUS: u16 = 429;

/// Statuses that say that a request has not run; a host that starts sends the second one.
const NOT_RUN_STATUSES: [Option<u16>; 2] = [Some(HELD_STATUS), Some(503)];

/// Statuses of the crashing request and of a sound one on the same path, and the crashes of targets.
#[derive(Debug)]
struct CrashTally {
    late_crashes: usize,
    all_crashes: usize,
    /// Statuses of the submissions that may have run.
    other_statuses: Vec<Option<u16>>,
    sound_served: usize,
}

/// Sends a request with this body, which crashes targets, to all hosts in turn, and a sound one beside it. `disturb` is called
/// before each submission.
fn submit_crashing_request(
    installation: &SoakInstallation,
    path: &str,
    crashing_body: &str,
    headers: &[(&str, &str)],
    disturb: impl Fn(usize),
) -> CrashTally {
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let send = |host: usize, id: &str, body: &str| {
        let url = format!("{}{path}", installation.caller_url(host));
        // The first value of a header counts.
        let headers = [headers, &[(REQUEST_ID_HEADER, id), (DEADLINE_HEADER, "2000")]].concat();
        send_request(&agent, "POST", &url, &headers, Some(body)).map(|response| response.status)
    };
    let sound_served = AtomicUsize::new(0);
    let mut statuses = Vec::new();
    for number in 0..SUBMISSION_COUNT {
        disturb(number);
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            scope.spawn(|| {
                let status = send((number + 1) % HOST_COUNT, &format!("sound-{number}"), "sound");
                sound_served.fetch_add(usize::from(status == Some(200)), Ordering::Relaxed);
            });
            statuses.push(send(number % HOST_COUNT, &format!("crash-{number}"), crashing_body));
        });
        std::thread::sleep(SUBMISSION_INTERVAL.saturating_sub(started_at.elapsed()));
    }
    let crashes = installation.run_log.crash_times(path);
    let known_at = crashes.get(KNOWN_CRASHES - 1);
    let is_late = |crash: &&Instant| known_at.is_some_and(|known_at| **crash > *known_at + NOTICE_TIME);
    CrashTally {
        late_crashes: crashes.iter().filter(is_late).count(),
        all_crashes: crashes.len(),
        other_statuses: statuses.into_iter().filter(|status| !NOT_RUN_STATUSES.contains(status)).collect(),
        sound_served: sound_served.into_inner(),
    }
}

fn check_tally(installation: &SoakInstallation, name: &str, tally: &CrashTally) {
    eprintln!("{name}: {tally:?}");
    if tally.late_crashes > ALLOWED_CRASHES || tally.sound_served < SUBMISSION_COUNT * 3 / 4 {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(tally.late_crashes, le(ALLOWED_CRASHES), "{name}");
    expect_that!(tally.sound_served, ge(SUBMISSION_COUNT * 3 / 4), "{name}");
    // A submission that crashed no target was refused as not run.
    expect_that!(tally.other_statuses.len(), le(tally.all_crashes), "{name}");
}

/// Guards against a request that ends one target after another because its caller sends it again, to any host and with a new
/// id, and against a sound request on the same path that is refused with it.
#[gtest]
fn request_that_crashes_targets_is_not_sent_on() {
    let routes: [(&str, &[(&str, &str)]); 3] =
        [("/plain/look", &[]), ("/once/book", &[]), ("/stream/run", &[(EVENTS_HEADER, "5")])];
    std::thread::scope(|scope| {
        let runs = routes.map(|(path, headers)| {
            scope.spawn(move || {
                let installation = SoakInstallation::start(1_300);
                assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "a host does not learn of the others");
                let tally = submit_crashing_request(&installation, path, CRASHING_BODY, headers, |_| {});
                (installation, path, tally)
            })
        });
        for run in runs {
            let (installation, path, tally) = run.join().expect("no run panics");
            check_tally(&installation, path, &tally);
        }
    });
}

/// Guards against hosts that do not know of a crashing request: one that was killed and started again, and one that cannot
/// reach the store.
#[gtest]
fn hosts_that_restart_or_lose_the_store_know_crashing_requests() {
    let installation = SoakInstallation::start(1_303);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let disturb = |number: usize| match number {
        2 => installation.hosts[1].store_relay.order(RelayCommand::Cut { direction: RelayDirection::Both }),
        12 | 24 => {
            installation.kill_host(0);
            installation.start_host(0);
            assert!(installation.wait_until_ready(START_TIMEOUT), "the host does not start again");
        }
        _ => {}
    };
    let tally = submit_crashing_request(&installation, "/once/book", CRASHING_BODY, &[], disturb);
    check_tally(&installation, "killed and cut off", &tally);
}

/// Guards against a request that ends targets without breaking their connections, so that callers wait until their deadline.
#[gtest]
fn request_that_ends_targets_silently_is_not_sent_on() {
    let installation = SoakInstallation::start(1_305);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let tally = submit_crashing_request(
        &installation,
        "/once/book",
        SILENTLY_CRASHING_BODY,
        &[(DEADLINE_HEADER, "400")],
        |_| {},
    );
    check_tally(&installation, "silent", &tally);
}

/// Guards against a sound request that is taken for the cause of crashes: callers repeat it all the time at all hosts, so that
/// it is in flight in each crash of a burst.
#[gtest]
fn repeated_request_outlives_a_burst_of_crashes() {
    const CLIENT_COUNT: usize = 6;
    const BURST_CRASHES: usize = 16;
    let installation = SoakInstallation::start(1_304);
    assert!(installation.wait_until_hosts_known(0, START_TIMEOUT), "the first host does not learn of the others");
    let burst_end = std::sync::OnceLock::new();
    let after_burst = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CLIENT_COUNT)
            .map(|client| {
                let (installation, burst_end) = (&installation, &burst_end);
                scope.spawn(move || {
                    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
                    let mut after_burst = Vec::new();
                    for number in 0.. {
                        let ended_at: Option<&Instant> = burst_end.get();
                        if ended_at.is_some_and(|at| at.elapsed() > Duration::from_secs(5)) {
                            break;
                        }
                        let url = format!("{}/plain/look", installation.caller_url((client + number) % HOST_COUNT));
                        let id = format!("polled-{client}-{number}");
                        let headers =
                            [(REQUEST_ID_HEADER, id.as_str()), (DEADLINE_HEADER, "2000"), (RUN_TIME_HEADER, "60")];
                        let response = send_request(&agent, "GET", &url, &headers, None);
                        if ended_at.is_some_and(|at| at.elapsed() > NOTICE_TIME) {
                            after_burst.push(response.map(|response| response.status));
                        }
                    }
                    after_burst
                })
            })
            .collect();
        std::thread::sleep(Duration::from_secs(1));
        let desks: Vec<_> = installation.targets.iter().filter(|target| target.service == "desk").collect();
        for crash in 0..BURST_CRASHES {
            desks[crash % desks.len()].standin.crash();
            std::thread::sleep(Duration::from_millis(100));
        }
        burst_end.set(Instant::now()).expect("the burst ends once");
        callers.into_iter().flat_map(|caller| caller.join().expect("no caller panics")).collect::<Vec<Option<u16>>>()
    });
    let held = after_burst.iter().filter(|status| **status == Some(HELD_STATUS)).count();
    if held > 0 {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(held, eq(0));
    expect_that!(after_burst.iter().filter(|status| **status == Some(200)).count(), ge(after_burst.len() * 9 / 10));
}
