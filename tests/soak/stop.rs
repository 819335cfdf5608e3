//! Planned stop of a host while callers use it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use camphorspring_standins::RelayCommand;
use googletest::prelude::*;
use rustix::process::Signal;

use crate::installation::{CALLER_HOST, CALLER_KEY, SoakInstallation};
use crate::stand_ins::callers::{DEADLINE_HEADER, REQUEST_ID_HEADER, build_configuration, encode_job};
use crate::stand_ins::target::RUN_TIME_HEADER;

/// Delay of the bytes between the host and the store in each direction, so that a submission takes most of a second.
const STORE_DELAY_MILLIS: u64 = 400;

/// Time from the signal to the first request of a test. The stop limit is 8 s; the host stops accepting connections after
/// half of it, and ends after 95% of it at the latest.
const FIRST_REQUEST: Duration = Duration::from_millis(2800);

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Number of requests.
const REQUEST_COUNT: u32 = 11;

/// Time from the signal within which a request must be sent to count. A later one, as on a busy machine, may find that
/// the host accepts no connection any more.
const LAST_REQUEST: Duration = Duration::from_millis(3900);

/// Time that a request waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time that a request runs at its target, within the time-out of its route (5 s).
const RUN_TIME_MILLIS: u32 = 3600;

/// Time within which all hosts follow a change of the configuration.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RequestOutcome {
    /// First line of the answer.
    Answered(String),
    /// The connection ended without an answer.
    Cut,
    /// The request was not sent in time.
    TooLate,
}

/// Head and body of a request with a key.
fn format_request(path: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {CALLER_HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         {REQUEST_ID_HEADER}: {id}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a connection of its own.
fn send(address: &str, request: &str, stopped_at: Instant) -> RequestOutcome {
    let sent = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(request.as_bytes())?;
        Ok(stream)
    });
    if stopped_at.elapsed() > LAST_REQUEST {
        return RequestOutcome::TooLate;
    }
    let mut answer = Vec::new();
    // A read that fails after the answer is no fault: the host closes the connection.
    let _ = sent.map(|mut stream| stream.read_to_end(&mut answer));
    let answer = String::from_utf8_lossy(&answer);
    answer.lines().next().map_or(RequestOutcome::Cut, |line| RequestOutcome::Answered(line.to_owned()))
}

/// Stops the first host, and sends it requests while it stops; each is sent as the function formats it from its number.
fn send_during_stop(
    installation: &SoakInstallation,
    format: impl Fn(u32) -> String + Send + Sync,
) -> Vec<RequestOutcome> {
    let stopped_at = Instant::now();
    installation.signal_host(0, Signal::TERM);
    let url = installation.caller_url(0);
    let address = url.trim_start_matches("http://");
    let format = &format;
    std::thread::scope(|scope| {
        let requests = (0..REQUEST_COUNT).map(|number| {
            scope.spawn(move || {
                let start = FIRST_REQUEST + REQUEST_INTERVAL * number;
                std::thread::sleep(start.saturating_sub(stopped_at.elapsed()));
                send(address, &format(number), stopped_at)
            })
        });
        let requests: Vec<_> = requests.collect();
        requests.into_iter().map(|request| request.join().expect("the thread ends")).collect()
    })
}

/// Guards against a planned stop that cuts requests which the host has read: submissions arrive during the whole stop,
/// each on a connection of its own, and the store is slow.
#[gtest]
fn planned_stop_answers_every_request_it_has_read() {
    let installation = SoakInstallation::start(1_002);
    installation.hosts[0].store_relay.order(RelayCommand::Slow { delay_ms: STORE_DELAY_MILLIS });
    let outcomes = send_during_stop(&installation, |number| {
        let job = format!("stop-{number}");
        format_request("/batch/", &job, "", &encode_job(CALLER_HOST, &[(format!("{job}-0"), 5)]))
    });
    let is_allowed = |outcome: &RequestOutcome| match outcome {
        RequestOutcome::Answered(line) => line.contains(" 202 ") || line.contains(" 503 "),
        RequestOutcome::Cut => false,
        RequestOutcome::TooLate => true,
    };
    if !outcomes.iter().all(is_allowed) {
        eprintln!("{outcomes:?}, logs: {}", installation.keep_logs().display());
    }
    expect_that!(outcomes.iter().all(is_allowed), eq(true));
}

/// Guards against requests that a stopping host takes late and cannot finish: they run longer than the host, within the time
/// that their route allows, and their connections end without an answer.
#[gtest]
fn planned_stop_refuses_requests_that_it_cannot_finish() {
    let installation = SoakInstallation::start(1_003);
    let outcomes = send_during_stop(&installation, |number| {
        let path = if number % 2 == 0 { "/once/book" } else { "/plain/look" };
        let headers = format!("{DEADLINE_HEADER}: 6000\r\n{RUN_TIME_HEADER}: {RUN_TIME_MILLIS}\r\n");
        format_request(path, &format!("late-{number}"), &headers, "body")
    });
    let runs = installation.run_log.runs();
    for (number, outcome) in outcomes.iter().enumerate() {
        let id = format!("late-{number}");
        let has_run = runs.iter().any(|run| run.request_id == id);
        let is_allowed = match outcome {
            RequestOutcome::Answered(line) if line.contains(" 503 ") => !has_run,
            RequestOutcome::Answered(line) => line.contains(" 200 "),
            RequestOutcome::Cut => false,
            RequestOutcome::TooLate => true,
        };
        expect_that!(is_allowed, eq(true), "{id}, has run: {has_run}, {outcome:?}");
    }
}

/// Guards against a request that is cut with the process because its target works until the end of a planned stop: the caller
/// learns that the request may have run.
#[gtest]
fn planned_stop_answers_requests_that_targets_do_not_finish() {
    let installation = SoakInstallation::start(1_004);
    let mut configuration = build_configuration(2, CALLER_HOST, &[CALLER_KEY.to_owned()]);
    for route in configuration["route_list"].as_array_mut().expect("a list of routes") {
        route["timeout_ms"] = serde_json::json!(20_000);
    }
    installation.store.put_configuration(&configuration);
    std::thread::sleep(CONFIGURATION_TIME);
    let url = installation.caller_url(0);
    let headers = format!("{DEADLINE_HEADER}: 20000\r\n{RUN_TIME_HEADER}: 15000\r\n");
    let request = format_request("/once/book", "unfinished", &headers, "body");
    let outcome = std::thread::scope(|scope| {
        let sent = scope.spawn(|| {
            let mut stream = TcpStream::connect(url.trim_start_matches("http://")).expect("the host accepts");
            stream.write_all(request.as_bytes()).expect("the request is sent");
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
            String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
        });
        std::thread::sleep(Duration::from_millis(500));
        installation.signal_host(0, Signal::TERM);
        sent.join().expect("the thread ends")
    });
    expect_that!(outcome, contains_substring(" 502 "));
}
