//! What an owner of a batch job concludes from a configuration that lacks the route of the job.

use std::sync::Arc;
use std::time::Duration;

use camphorspring::entry::host_context::HostContext;
use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::service_map::RouteRule;
use camphorspring::jobs::item_scheduler::{ItemScheduler, RunOutcome};
use camphorspring::jobs::job_record::{JobHeader, JobSpec};
use camphorspring::jobs::job_route::JobRoute;
use camphorspring::jobs::job_runner::{RunnerOutcome, run_job};
use camphorspring::jobs::job_store::{HeaderWrite, read_header, store_job};
use googletest::prelude::*;
use tokio::sync::watch;

use super::item_http::context_with_view;
use super::results::{header, item, wait_for};
use crate::fleet::builders::{at, plain_route, service_map, view};
use crate::jobs::plan::encode_job;

/// Time that a runner gets to give items up.
const RUN_TIME: Duration = Duration::from_millis(400);

/// View of a host that knows the operators' table up to a version of the store, and finds no route there.
fn view_without_route(operators_version: u64) -> FleetView {
    let services = Some(Arc::new(service_map(1, Vec::new())));
    FleetView { services, operators_version, ..view(Vec::new(), &["h1"], at(0)) }
}

/// Accepts a job of two items, and returns its header with the version of the row.
async fn accept_job(context: &HostContext) -> (JobHeader, u64) {
    let items = (0..2).map(item).collect();
    let spec = JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items };
    let header = header(2);
    match store_job(&context.store, &header, &encode_job(&spec)).await {
        Ok(HeaderWrite::Written(version)) => (header, version),
        other => panic!("the job is not stored: {other:?}"),
    }
}

/// Runs a job for [`RUN_TIME`]; returns why the runner ended, if it did, and the number of listed results.
fn run_for_a_while(view: FleetView) -> (Option<RunnerOutcome>, u32) {
    let (_sender, receiver) = watch::channel(Arc::new(view));
    let context = context_with_view(receiver);
    wait_for(async {
        let (header, version) = accept_job(&context).await;
        let outcome = tokio::time::timeout(RUN_TIME, run_job(Arc::clone(&context), header, version)).await.ok();
        let stored = read_header(&context.store, "j").await.expect("the store answers").expect("the job is stored");
        (outcome, stored.0.listed)
    })
}

/// Guards against items that are given up by an owner whose configuration is older than the job: it was cut off while the route
/// was added and the job accepted, and learns of the job first.
#[gtest]
fn items_are_kept_while_the_configuration_may_be_older_than_the_job() {
    expect_that!(run_for_a_while(view_without_route(0)), eq((None, 0)));
}

/// Guards against items of a removed route that wait for the time limit of their job.
#[gtest]
fn items_of_a_removed_route_are_given_up() {
    expect_that!(run_for_a_while(view_without_route(1)), eq((Some(RunnerOutcome::Listed), 2)));
}

/// Guards against an item that is given up after one failed run, by an owner that took the job over before it knew a
/// configuration, or by the rule of a configuration that is older than the job.
#[gtest]
fn failed_runs_count_by_a_configuration_as_new_as_the_job() {
    let spec = JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items: vec![item(0)] };
    let mut scheduler = ItemScheduler::new(&spec, u32::MAX);
    let route = RouteRule { name: "r".to_owned(), attempts: 2, ..plain_route() };
    let services = Some(Arc::new(service_map(1, vec![route])));
    let mut view = FleetView { services, operators_version: 4, ..view(Vec::new(), &["h1"], at(0)) };
    let mut give_ups = Vec::new();
    for job_version in [5, 5, 5, 4] {
        scheduler.set_max_failures(JobRoute::find(&view, "r", job_version).max_failures());
        give_ups.push(scheduler.record_run_end(0, RunOutcome::Failed, at(0)));
    }
    expect_that!(give_ups, eq(&vec![false, false, false, true]));
    view.services = None;
    expect_that!(JobRoute::find(&view, "r", 4), eq(JobRoute::Unknown));
}
