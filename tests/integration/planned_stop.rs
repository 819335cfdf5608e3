//! Which requests a stopping host takes.

use camphorspring::entry::planned_stop::{PlannedStop, StopTimes};
use googletest::prelude::*;

use crate::fleet::builders::at;

/// When the stops of the tests are requested, in milliseconds; the process is killed 8 s later.
const REQUESTED_AT: u64 = 10_000;

fn stop_times() -> StopTimes {
    StopTimes::new(at(REQUESTED_AT), at(8000))
}

/// Guards against requests that are taken and cannot be answered before the process ends, and against refusals of those that
/// can, and of all that come while the load balancer still sends requests.
#[gtest]
fn late_requests_are_taken_if_their_time_limit_is_early_enough() {
    let times = stop_times();
    let takes = |arrival: u64, limit: u64| {
        let arrived_at = REQUESTED_AT + arrival;
        times.takes_request(at(arrived_at + limit), at(arrived_at))
    };
    expect_that!(takes(2_400, 30_000), eq(true));
    let late = [(2_600, 4_000), (2_600, 5_000), (3_700, 9_000), (3_900, 2_000), (6_500, 800), (7_450, 100)];
    let taken = late.map(|(arrival, limit)| takes(arrival, limit));
    expect_that!(taken, eq([true, false, false, true, true, false]));
}

/// Guards against a process that is killed while it answers, and against connections that are closed before the load balancer
/// has noticed the stop.
#[gtest]
fn last_answers_are_sent_before_the_process_is_killed() {
    let times = stop_times();
    expect_that!(times.close_at, ge(at(REQUESTED_AT + 2_000)));
    expect_that!(times.release_at, lt(times.answer_by));
    expect_that!(times.answer_by, lt(times.exit_at));
    expect_that!(times.exit_at, lt(at(REQUESTED_AT + 7_800)));
}

/// Guards against a request that is sent to a target while the process ends, and that the process cannot wait for.
#[gtest]
fn ending_host_takes_no_request() {
    let stop = PlannedStop::default();
    expect_that!(stop.takes_request(at(90_000), at(0)), eq(true));
    stop.begin(stop_times());
    expect_that!(stop.takes_request(at(REQUESTED_AT + 20), at(REQUESTED_AT)), eq(true));
    stop.end();
    expect_that!(stop.takes_request(at(REQUESTED_AT + 20), at(REQUESTED_AT)), eq(false));
}
