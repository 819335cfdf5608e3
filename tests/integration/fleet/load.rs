//! Cold start quotas of targets, and backoff after failures.

use std::sync::Arc;

use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::policy::limit_share::{HostWeight, cold_start_quota};
use camphorspring::relay::attempt_plan::{ChoiceContext, choose_target};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, member, share_clock, view};

/// Guards against hosts that together start more requests on a cold target than its rate allows, whatever their number.
#[gtest]
fn cold_allowances_sum_to_the_rate_at_most() {
    for count in [1_usize, 2, 9, 10, 11, 12, 86, 300] {
        let hosts: Vec<HostWeight> =
            (0..count).map(|index| HostWeight { host: format!("h{index}"), weight: 1 }).collect();
        let sum: u32 = hosts.iter().map(|own| cold_start_quota(11.0, "e1", &own.host, &hosts)).sum();
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

/// Requests that nine hosts start together on a cold engine within one second, which takes 11, at `since_outage` after a store
/// outage of 20 s. `renewed` of the hosts have renewed their rows since.
fn cold_starts_after_outage(since_outage: u64, renewed: usize) -> usize {
    let names: Vec<String> = (1..=9).map(|number| format!("h{number}")).collect();
    let mut target = engine("e1", 1);
    target.cold_until = at(60_000);
    let mut count = 0;
    for own in &names {
        let mut loads = LoadTable::new();
        let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
        for now in [1_000, 10_000] {
            loads.shares.record_hosts(&view(vec![target.clone()], &hosts, at(now)), own, at(now));
        }
        let now = at(30_000 + since_outage);
        let seen = names.iter().enumerate().map(|(host, name)| {
            let is_renewed = host < renewed || name == own;
            member(name, 1, if is_renewed { now } else { at(10_000) })
        });
        let view = FleetView { members: Arc::new(seen.collect()), ..view(vec![target.clone()], &[], now) };
        loads.shares.record_hosts(&view, own, now);
        let context = ChoiceContext { domain: "north", cold_rate: 11.0, clock: share_clock(own, now) };
        while let Some(target) = choose_target([&target].into_iter(), &[], &mut loads, &context) {
            loads.start(&target.id, false, true, now);
            count += 1;
        }
    }
    count
}

/// Guards against a cold engine that gets several times its rate right after a store outage, because hosts whose rows are
/// not renewed yet count as gone. The bound is one and a half times the rate, and five.
#[gtest]
fn cold_quota_holds_right_after_a_store_outage() {
    let starts = [0, 3, 8].map(|renewed| cold_starts_after_outage(100, renewed));
    expect_that!(starts.to_vec(), each(le(&21)));
    expect_that!(starts.to_vec(), each(ge(&5)));
}
