//! What callers other than the trainer do, and what they must get.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

use camphorspring::generated::caller_messages::{CompletionAnswer, ErrorBody};
use camphorspring::generated::platform_messages::UsageReport;
use camphorspring::store_client::http_agent;

use super::check_list::CheckResult;
use super::installation::{CallAnswer, CallerKeys, Installation, RunningHost, describe_fault, trimmed};
use crate::engine::completion_text;

/// Refreshes of the tracking page.
const PAGE_REFRESHES: usize = 20;

/// Tokens of the streamed completion.
const STREAM_TOKENS: u32 = 40;

/// Seed of the streamed completion.
const STREAM_SEED: u64 = 11;

/// Prompt of the streamed completion.
const STREAM_PROMPT: &str = "Tell the desk when pile 7 is ready.";

/// A wrong key is refused; a withdrawn key is refused by all hosts within seconds, with the reason.
pub(super) fn check_refusals(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    let hosts = installation.running_hosts();
    let wrong = ask_completion(installation, &hosts[0], "cs_0000000000000000_0000000000000000")?;
    let wrong_name = refusal_name(&wrong)?;
    let before = ask_completion(installation, &hosts[0], &keys.spare.key)?;
    if before.status != 200 {
        return Err(format!("a granted key got status {}: {}", before.status, before.body));
    }
    let output = installation.command(&["keys", "withdraw", &keys.spare.key_id]).map_err(|error| error.to_string())?;
    if !output.status.success() {
        return Err(format!("keys withdraw: {}", trimmed(&output.stderr)));
    }
    let start = Instant::now();
    let mut withdrawn_name = String::new();
    installation.wait("all hosts refuse the withdrawn key", || {
        hosts.iter().all(|host| {
            let answer = ask_completion(installation, host, &keys.spare.key);
            let name = answer.ok().and_then(|answer| refusal_name(&answer).ok());
            withdrawn_name = name.clone().unwrap_or_default();
            name.is_some()
        })
    })?;
    let time = start.elapsed().as_secs_f64();
    Ok(format!("wrong key: {wrong_name}; withdrawn key: {withdrawn_name} on all hosts after {time:.1} s"))
}

fn ask_completion(installation: &Installation, host: &RunningHost, key: &str) -> Result<CallAnswer, String> {
    let body = r#"{"model":"pile-readiness","prompt":"Is it ready?","max_tokens":2}"#;
    let url = format!("{}/v1/completions", host.caller_url);
    installation.post(&url, Some(key), None, body).map_err(|fault| describe_fault(host.name, &fault))
}

/// Name of the result code of a refusal for its key.
fn refusal_name(answer: &CallAnswer) -> Result<String, String> {
    if answer.status != 401 {
        return Err(format!("status {} in place of a refusal: {}", answer.status, answer.body));
    }
    let error: ErrorBody = serde_json::from_str(&answer.body).map_err(|error| error.to_string())?;
    Ok(format!("{} {}", error.code, error.name))
}

/// Two devices send one booking with the same idempotency key through two hosts.
pub(super) fn check_booking(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    let hosts = installation.running_hosts();
    let body = r#"{"bags":3,"place":"roadside 12"}"#;
    let answers: Vec<Result<CallAnswer, String>> = thread::scope(|scope| {
        let devices: Vec<_> = [&hosts[0], &hosts[2]]
            .into_iter()
            .map(|host| scope.spawn(move || book(installation, host, &keys.desk.key, body)))
            .collect();
        devices.into_iter().map(|device| device.join().unwrap_or_else(|_| Err("the device panicked".into()))).collect()
    });
    let answers = answers.into_iter().collect::<Result<Vec<_>, _>>()?;
    let executions = installation.standins.executions(body);
    if executions != 1 {
        return Err(format!("{executions} executions of one booking; answers {answers:?}"));
    }
    if answers[0] != answers[1] || answers[0].status != 201 {
        return Err(format!("the devices got {answers:?}"));
    }
    Ok(format!("one execution; both devices got {}", answers[0].body))
}

/// Sends a booking until it has an answer; only the statuses that ask for it are repeated, with the same key.
fn book(installation: &Installation, host: &RunningHost, key: &str, body: &str) -> Result<CallAnswer, String> {
    let url = format!("{}/desk/bookings", host.caller_url);
    let mut last = Err("no answer".to_owned());
    installation
        .wait("the booking is answered", || {
            let answer = installation.post(&url, Some(key), Some("device-order-1"), body);
            last = answer.map_err(|fault| describe_fault(host.name, &fault));
            last.as_ref().is_ok_and(|answer| !matches!(answer.status, 409 | 425 | 429 | 503))
        })
        .map_err(|error| format!("{error}: {last:?}"))?;
    last
}

/// A page on an open route is refreshed without a key, on all hosts in turn.
pub(super) fn check_tracking(installation: &Installation) -> CheckResult {
    let hosts = installation.running_hosts();
    let mut slowest = Duration::ZERO;
    let mut expected: Option<String> = None;
    for host in hosts.iter().cycle().take(PAGE_REFRESHES) {
        let start = Instant::now();
        let answer = installation.get(&format!("{}/track/parcels/4711", host.caller_url), None);
        let answer = answer.map_err(|fault| describe_fault(host.name, &fault))?;
        slowest = slowest.max(start.elapsed());
        if answer.status != 200 {
            return Err(format!("{} answered {}: {}", host.name, answer.status, answer.body));
        }
        if expected.get_or_insert_with(|| answer.body.clone()) != &answer.body {
            return Err(format!("the page changed to {}", answer.body));
        }
    }
    let page = expected.unwrap_or_default();
    Ok(format!("{PAGE_REFRESHES} refreshes without a key, slowest {} ms: {page}", slowest.as_millis()))
}

/// Pieces of a stream with the times at which they arrived.
#[derive(Debug, Default)]
struct StreamTimes {
    text: String,
    times: Vec<Duration>,
    versions: usize,
    is_done: bool,
}

/// A streamed completion arrives piece by piece, complete and labelled.
pub(super) fn check_stream(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    let hosts = installation.running_hosts();
    let stream = read_stream(&hosts[1], &keys.lab.key)?;
    if !stream.is_done || stream.text != completion_text(STREAM_PROMPT, STREAM_SEED, 0, STREAM_TOKENS) {
        return Err(format!("the stream is not complete: {stream:?}"));
    }
    if stream.versions == 0 {
        return Err("the last event has no weight versions".to_owned());
    }
    let (first, last) = (stream.times[0], stream.times[stream.times.len() - 1]);
    // A stream that is held back and sent at once has pieces, but no time between them.
    let spread = last.saturating_sub(first);
    if stream.times.len() < 10 || spread < Duration::from_millis(100) {
        return Err(format!("{} pieces within {spread:?}", stream.times.len()));
    }
    let (pieces, first, spread) = (stream.times.len(), first.as_millis(), spread.as_millis());
    Ok(format!("{pieces} pieces over {spread} ms, the first after {first} ms; weight versions named"))
}

fn read_stream(host: &RunningHost, key: &str) -> Result<StreamTimes, String> {
    let body = serde_json::json!({
        "model": "pile-readiness", "prompt": STREAM_PROMPT, "max_tokens": STREAM_TOKENS, "stream": true,
        "seed": STREAM_SEED,
    });
    let agent = http_agent(Duration::from_secs(1), Duration::from_secs(20));
    let start = Instant::now();
    let request = agent.post(format!("{}/v1/completions", host.caller_url));
    let response = request.header("authorization", format!("Bearer {key}")).send_json(&body);
    let response = response.map_err(|error| error.to_string())?;
    let status = response.status();
    let mut stream = StreamTimes::default();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.map_err(|error| format!("the stream broke off: {error}"))?;
        if !status.is_success() {
            return Err(format!("status {status}: {line}"));
        }
        match line.strip_prefix("data: ") {
            Some("[DONE]") => stream.is_done = true,
            Some(json) => {
                let event: CompletionAnswer = serde_json::from_str(json).map_err(|error| error.to_string())?;
                stream.times.push(start.elapsed());
                stream.text.extend(event.choices.iter().map(|choice| choice.text.as_str()));
                stream.versions = event.weight_versions.len();
            }
            None => {}
        }
    }
    Ok(stream)
}

/// No target got a caller's key.
pub(super) fn check_target_headers(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    for grant in [&keys.lab, &keys.desk, &keys.spare] {
        let secret = grant.key.rsplit('_').next().unwrap_or(&grant.key);
        if installation.standins.has_header_text(secret) {
            return Err(format!("a target got the key {}", grant.key_id));
        }
    }
    Ok("none arrived at a target".to_owned())
}

/// A usage window with the work of both organisations is reported, always with the same bytes.
pub(super) fn check_usage(installation: &Installation) -> CheckResult {
    let platform = &installation.standins.platform;
    let mut organisations: Vec<String> = Vec::new();
    let waited = installation.wait("the usage of both organisations is reported", || {
        organisations = platform.reports().iter().flat_map(|record| reported_organisations(&record.text)).collect();
        organisations.sort();
        organisations.dedup();
        ["booking-desk", "readiness-lab"].iter().all(|name| organisations.iter().any(|known| known == name))
    });
    waited.map_err(|error| format!("{error}; reported: {organisations:?}"))?;
    let reports = platform.reports();
    if let Some(record) = reports.iter().find(|record| !record.equals_first) {
        return Err(format!("report {} was sent with two contents", record.report_id));
    }
    let requests: u64 = reports.iter().flat_map(|record| read_report(&record.text)).map(|count| count.requests).sum();
    let mut ids: Vec<&str> = reports.iter().map(|record| record.report_id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    // Requests on open routes belong to no organisation.
    let names: Vec<&str> =
        organisations.iter().map(|name| if name.is_empty() { "open routes" } else { name }).collect();
    Ok(format!("{} windows reported, {requests} requests of {}", ids.len(), names.join(", ")))
}

fn reported_organisations(report: &str) -> Vec<String> {
    read_report(report).into_iter().filter(|count| count.requests > 0).map(|count| count.organisation).collect()
}

fn read_report(report: &str) -> Vec<camphorspring::generated::platform_messages::UsageFigure> {
    serde_json::from_str::<UsageReport>(report).map(|report| report.figures).unwrap_or_default()
}
