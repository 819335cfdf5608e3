//! Checks with callers other than the trainer: keys, bookings, the tracking page, a stream, and the usage reported
//! for them.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

use camphorspring::generated::caller_messages::{CompletionAnswer, ErrorBody};
use camphorspring::generated::platform_messages::UsageReport;
use camphorspring::store_client::http_agent;

use super::check_list::CheckResult;
use super::installation::{CallAnswer, CallerKeys, Installation, RunningHost, describe_error, trim_output};
use crate::engine::completion_text;

/// Number of requests for the tracking page.
const PAGE_REFRESHES: usize = 20;

/// Length of the streamed completion in tokens.
const STREAM_TOKENS: u32 = 40;

const STREAM_SEED: u64 = 11;

const STREAM_PROMPT: &str = "Tell the desk when pile 7 is ready.";

/// Checks that a wrong key is refused, and that all hosts refuse a withdrawn key with status 401 and a result code
/// within the timeout of [`Installation::wait_until`].
pub(super) fn check_refusals(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    let hosts = installation.running_hosts();
    let wrong = request_completion(installation, &hosts[0], "cs_0000000000000000_0000000000000000")?;
    let wrong_name = parse_refusal(&wrong)?;
    let before = request_completion(installation, &hosts[0], &keys.spare.key)?;
    if before.status != 200 {
        return Err(format!("a granted key got status {}: {}", before.status, before.body));
    }
    let output = installation
        .run_operator_command(&["keys", "withdraw", &keys.spare.key_id])
        .map_err(|error| error.to_string())?;
    if !output.status.success() {
        return Err(format!("keys withdraw: {}", trim_output(&output.stderr)));
    }
    let start = Instant::now();
    let mut withdrawn_name = String::new();
    installation.wait_until("all hosts refuse the withdrawn key", || {
        hosts.iter().all(|host| {
            let answer = request_completion(installation, host, &keys.spare.key);
            let name = answer.ok().and_then(|answer| parse_refusal(&answer).ok());
            withdrawn_name = name.clone().unwrap_or_default();
            name.is_some()
        })
    })?;
    let time = start.elapsed().as_secs_f64();
    Ok(format!("wrong key: {wrong_name}; withdrawn key: {withdrawn_name} on all hosts after {time:.1} s"))
}

fn request_completion(installation: &Installation, host: &RunningHost, key: &str) -> Result<CallAnswer, String> {
    let body = r#"{"model":"pile-readiness","prompt":"Is it ready?","max_tokens":2}"#;
    let url = format!("{}/v1/completions", host.caller_url);
    installation.post(&url, Some(key), None, body).map_err(|error| describe_error(host.name, &error))
}

/// Result code and name of a response that refuses the key; an error when the status is not 401.
fn parse_refusal(answer: &CallAnswer) -> Result<String, String> {
    if answer.status != 401 {
        return Err(format!("status {} in place of a refusal: {}", answer.status, answer.body));
    }
    let error: ErrorBody = serde_json::from_str(&answer.body).map_err(|error| error.to_string())?;
    Ok(format!("{} {}", error.code, error.name))
}

/// Checks that a booking is executed once when two devices send it with the same idempotency key through two hosts,
/// and that both get the same response.
pub(super) fn check_booking(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    let hosts = installation.running_hosts();
    let body = r#"{"bags":3,"place":"roadside 12"}"#;
    let answers: Vec<Result<CallAnswer, String>> = thread::scope(|scope| {
        let devices: Vec<_> = [&hosts[0], &hosts[2]]
            .into_iter()
            .map(|host| scope.spawn(move || send_booking(installation, host, &keys.desk.key, body)))
            .collect();
        devices.into_iter().map(|device| device.join().unwrap_or_else(|_| Err("the device panicked".into()))).collect()
    });
    let answers = answers.into_iter().collect::<Result<Vec<_>, _>>()?;
    let executions = installation.standins.count_executions(body);
    if executions != 1 {
        return Err(format!("{executions} executions of one booking; answers {answers:?}"));
    }
    if answers[0] != answers[1] || answers[0].status != 201 {
        return Err(format!("the devices got {answers:?}"));
    }
    Ok(format!("one execution; both devices got {}", answers[0].body))
}

/// Sends a booking, and repeats it with the same idempotency key after a failed call or a status that asks for a
/// retry (409, 425, 429 or 503).
fn send_booking(installation: &Installation, host: &RunningHost, key: &str, body: &str) -> Result<CallAnswer, String> {
    let url = format!("{}/desk/bookings", host.caller_url);
    let mut last = Err("no answer".to_owned());
    installation
        .wait_until("the booking is answered", || {
            let answer = installation.post(&url, Some(key), Some("device-order-1"), body);
            last = answer.map_err(|error| describe_error(host.name, &error));
            last.as_ref().is_ok_and(|answer| !matches!(answer.status, 409 | 425 | 429 | 503))
        })
        .map_err(|error| format!("{error}: {last:?}"))?;
    last
}

/// Checks that all hosts serve a page on an open route without a key, always with the same body.
pub(super) fn check_tracking(installation: &Installation) -> CheckResult {
    let hosts = installation.running_hosts();
    let mut slowest = Duration::ZERO;
    let mut expected: Option<String> = None;
    for host in hosts.iter().cycle().take(PAGE_REFRESHES) {
        let start = Instant::now();
        let answer = installation.get(&format!("{}/track/parcels/4711", host.caller_url), None);
        let answer = answer.map_err(|error| describe_error(host.name, &error))?;
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

/// Text of a streamed completion, and the time from the request to the arrival of each event.
#[derive(Debug, Default)]
struct StreamTimes {
    text: String,
    times: Vec<Duration>,
    /// Number of weight version spans in the last event.
    versions: usize,
    /// Whether the end mark `[DONE]` arrived.
    is_done: bool,
}

/// Checks that a streamed completion arrives complete, with weight versions, in at least 10 events,
/// the last at least 100 ms after the first.
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
    // A host that buffers the stream and sends it at once delivers all events, but at nearly the same time.
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

/// Checks that no request to an engine, desk or tracker had the secret of a caller key in a header.
pub(super) fn check_target_headers(installation: &Installation, keys: &CallerKeys) -> CheckResult {
    for grant in [&keys.lab, &keys.desk, &keys.spare] {
        let secret = grant.key.rsplit('_').next().unwrap_or(&grant.key);
        if installation.standins.has_header_text(secret) {
            return Err(format!("a target got the key {}", grant.key_id));
        }
    }
    Ok("none arrived at a target".to_owned())
}

/// Checks that the usage of both organisations is reported, and that a repeated report has the same content.
pub(super) fn check_usage(installation: &Installation) -> CheckResult {
    let platform = &installation.standins.platform;
    let mut organisations: Vec<String> = Vec::new();
    let waited = installation.wait_until("the usage of both organisations is reported", || {
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
    let requests: u64 = reports.iter().flat_map(|record| read_report(&record.text)).map(|figure| figure.requests).sum();
    let mut ids: Vec<&str> = reports.iter().map(|record| record.report_id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    // Requests on open routes belong to no organisation and are reported under an empty name.
    let names: Vec<&str> =
        organisations.iter().map(|name| if name.is_empty() { "open routes" } else { name }).collect();
    Ok(format!("{} windows reported, {requests} requests of {}", ids.len(), names.join(", ")))
}

/// Organisations with at least one request in a report.
fn reported_organisations(report: &str) -> Vec<String> {
    read_report(report).into_iter().filter(|figure| figure.requests > 0).map(|figure| figure.organisation).collect()
}

/// Figures of a report; none when its text is not a valid report.
fn read_report(report: &str) -> Vec<camphorspring::generated::platform_messages::UsageFigure> {
    serde_json::from_str::<UsageReport>(report).map(|report| report.figures).unwrap_or_default()
}
