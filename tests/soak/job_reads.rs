//! Reads of batch jobs by their submitters and by others, under changes of the configuration.

use std::time::{Duration, Instant};

use camphorspring::store_client::http_agent;
use googletest::prelude::*;
use serde_json::{Value, json};

use crate::installation::{CALLER_HOST, CALLER_KEY, HOST_COUNT, SoakInstallation};
use crate::stand_ins::callers::{
    REQUEST_ID_HEADER, build_configuration, decode_page, encode_job, format_job_path, format_results_path,
};

/// Key of an organisation that submits no job.
const OTHER_KEY: &str = "other-key";

/// Time within which all hosts follow a change of the configuration.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Time within which the results of a short job are listed.
const JOB_TIME: Duration = Duration::from_secs(20);

/// Sends a request with this key, if any; returns the status and the body, or 0 when there is no whole response.
fn call(method: &str, url: &str, key: Option<&str>, id: &str, body: Option<&str>) -> (u16, String) {
    let agent = http_agent(Duration::from_millis(500), Duration::from_secs(3));
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    request = request.header("host", CALLER_HOST).header(REQUEST_ID_HEADER, id);
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let request = request.body(body.unwrap_or_default().to_owned()).expect("the request is valid");
    let Ok(mut response) = agent.run(request) else { return (0, String::new()) };
    let text = response.body_mut().read_to_string().unwrap_or_default();
    (response.status().as_u16(), text)
}

fn submit(installation: &SoakInstallation, job: &str, key: Option<&str>) {
    let items: Vec<(String, u64)> = (0..4).map(|item| (format!("{job}-{item}"), 5)).collect();
    let url = format!("{}/batch/", installation.caller_url(0));
    let (status, _) = call("POST", &url, key, job, Some(&encode_job(CALLER_HOST, &items)));
    assert_eq!(status, 202, "{job} is not accepted");
}

/// Status of a read from the start, and the number of results of the page.
fn read(installation: &SoakInstallation, host: usize, job: &str, key: Option<&str>) -> (u16, usize) {
    let url = format!("{}{}", installation.caller_url(host), format_results_path(job, 0));
    let (status, body) = call("GET", &url, key, "read", None);
    (status, decode_page(&body).map_or(0, |(_, results)| results.len()))
}

fn wait_until_listed(installation: &SoakInstallation, job: &str, key: Option<&str>) {
    let deadline = Instant::now() + JOB_TIME;
    while read(installation, 1, job, key) != (200, 4) {
        assert!(Instant::now() < deadline, "the results of {job} are not listed");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Configuration of the soak with a second organisation.
fn build_with_two_organisations(version: u64, host: &str) -> Value {
    let mut configuration = build_configuration(version, host, &[CALLER_KEY.to_owned()]);
    configuration["tenants"] =
        json!([{"name": "lab", "api_keys": [CALLER_KEY]}, {"name": "other", "api_keys": [OTHER_KEY]}]);
    configuration
}

/// Guards against results that are gone with the route on which their job was accepted, the last one of its host name.
#[gtest]
fn results_outlive_the_route_of_their_job() {
    let installation = SoakInstallation::start(1_801);
    submit(&installation, "kept", Some(CALLER_KEY));
    wait_until_listed(&installation, "kept", Some(CALLER_KEY));
    installation.store.put_configuration(&build_with_two_organisations(2, "elsewhere.example"));
    std::thread::sleep(CONFIGURATION_TIME);
    let statuses = |job: &str, key: Option<&str>| -> Vec<(u16, usize)> {
        (0..HOST_COUNT).map(|host| read(&installation, host, job, key)).collect()
    };
    expect_that!(statuses("kept", Some(CALLER_KEY)), each(eq(&(200, 4))));
    // Another organisation, a caller without a key and an unknown job are refused as before.
    expect_that!(statuses("kept", Some(OTHER_KEY)), each(eq(&(404, 0))));
    expect_that!(statuses("kept", None), each(eq(&(401, 0))));
    expect_that!(statuses("never", Some(CALLER_KEY)), each(eq(&(404, 0))));
    let url = format!("{}{}", installation.caller_url(2), format_job_path("kept"));
    expect_that!(call("DELETE", &url, Some(CALLER_KEY), "end", None).0, eq(200));
}

/// Guards against a job that nobody can read, since it was accepted on a route that needs no key.
#[gtest]
fn jobs_on_open_routes_can_be_read_by_their_submitters() {
    let installation = SoakInstallation::start(1_802);
    let mut configuration = build_with_two_organisations(2, CALLER_HOST);
    for route in configuration["route_list"].as_array_mut().expect("a list of routes") {
        route["public"] = json!(true);
    }
    installation.store.put_configuration(&configuration);
    std::thread::sleep(CONFIGURATION_TIME);
    submit(&installation, "keyed", Some(CALLER_KEY));
    submit(&installation, "open", None);
    wait_until_listed(&installation, "keyed", Some(CALLER_KEY));
    wait_until_listed(&installation, "open", None);
    // The submitter's key belongs to the job that was handed in with it; the other job belongs to nobody.
    expect_that!(read(&installation, 2, "open", Some(CALLER_KEY)), eq((200, 4)));
    expect_that!(read(&installation, 2, "keyed", Some(OTHER_KEY)), eq((404, 0)));
    expect_that!(read(&installation, 2, "keyed", None), eq((401, 0)));
}
