//! Cold start quotas of targets, and backoff after failures.

use camphorspring::fleet::target_load::{LoadTable, cold_start_quota};
use googletest::prelude::*;

use crate::fleet::builders::at;

/// Guards against hosts that together start more requests on a cold target than its rate allows, whatever their number.
#[gtest]
fn cold_allowances_sum_to_the_rate_at_most() {
    for count in [1_usize, 2, 9, 10, 11, 12, 86, 300] {
        let names: Vec<String> = (0..count).map(|index| format!("h{index}")).collect();
        let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
        let sum: u32 = hosts.iter().map(|host| cold_start_quota(11.0, "e1", host, &hosts)).sum();
        expect_that!(sum, le(11), "with {count} hosts");
        expect_that!(sum, ge(1), "with {count} hosts");
    }
}

/// Guards against a target that gets no work although it serves again, and against a backoff that grows without bound.
#[gtest]
fn backoff_grows_to_a_bound_and_ends_with_a_success() {
    let mut loads = LoadTable::new();
    let backoffs: Vec<u128> = (0..6)
        .map(|_| {
            loads.record_failure("e1", at(1000));
            loads.entry("e1").paused_until.as_millis() - 1000
        })
        .collect();
    expect_that!(backoffs, eq(&vec![250, 500, 1000, 2000, 2000, 2000]));
    loads.record_success("e1", Some(0.03));
    expect_that!(loads.entry("e1").paused_until, eq(at(0)));
}
