//! Rate limits that targets announce: what a host knows of them, and its share.

use camphorspring::fleet::fleet_view::{FleetView, MemberEntry};
use camphorspring::fleet::member_row::WaitingCount;
use camphorspring::fleet::target_limit::LimitNotice;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::relay::attempt_plan::{ChoiceContext, choose_target};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, share_clock, view};

fn notice(target: &str, rate: Option<u64>, at_ms: u64) -> LimitNotice {
    LimitNotice { target: target.to_owned(), rate, at_ms }
}

/// View of engine `e1` and four hosts, in which host `h1` has `waiting` items and the others have none.
fn view_with_backlog(waiting: u32, now: u64) -> FleetView {
    let mut view = view(vec![engine("e1", 1)], &["h1", "h2", "h3", "h4"], at(now));
    let mut members: Vec<MemberEntry> = view.members.to_vec();
    members[0].row.waiting = vec![WaitingCount { service: "models".to_owned(), count: waiting }];
    view.members = members.into();
    view
}

/// Requests that host `h1` may start on `e1`, which takes 5 a second, once its share of the limit is settled.
fn settled_allowance(waiting: u32) -> Option<u32> {
    let mut loads = LoadTable::new();
    loads.limits.merge(notice("e1", Some(5_000), 1_000));
    for now in [1_000, 8_000] {
        loads.shares.record_hosts(&view_with_backlog(waiting, now), "h1", at(now));
    }
    loads.limit_allowance(&engine("e1", 1), &share_clock("h1", at(8_000)))
}

/// Guards against a host whose items all wait, and which gets no larger share of a limit because none of them runs.
#[gtest]
fn waiting_items_raise_the_share_of_a_limit() {
    expect_that!([settled_allowance(0), settled_allowance(60)], eq([Some(5), Some(20)]));
}

/// Guards against requests that are left out of the count of a limit, and against a count that never ends.
#[gtest]
fn all_requests_of_a_window_count_against_a_limit() {
    let mut loads = LoadTable::new();
    loads.limits.merge(notice("e1", Some(5_000), 1_000));
    loads.shares.record_hosts(&view(vec![engine("e1", 1)], &["h1"], at(1_000)), "h1", at(1_000));
    let allowance = |loads: &mut LoadTable, now| loads.limit_allowance(&engine("e1", 1), &share_clock("h1", at(now)));
    let before = allowance(&mut loads, 1_000);
    loads.start("e1", true, false, at(1_100));
    loads.end("e1", true);
    loads.record_arrival("e1", at(1_200));
    let counted = allowance(&mut loads, 1_300);
    expect_that!([before, counted, allowance(&mut loads, 5_300)], eq([Some(20), Some(18), Some(20)]));
}

/// Guards against an earlier notice that arrives late and brings back a limit that has ended.
#[gtest]
fn ended_limit_stays_ended() {
    let mut loads = LoadTable::new();
    let limits = &mut loads.limits;
    let changes = [
        limits.merge(notice("e1", Some(2_000), 1_000)),
        limits.merge(notice("e1", None, 3_000)),
        limits.merge(notice("e1", Some(2_000), 2_000)),
    ];
    expect_that!((changes, limits.rate("e1")), eq(([true, true, false], None)));
}

/// Guards against a target that is left out for good because nobody sends it the request that would show that its limit
/// has ended.
#[gtest]
fn limit_is_tested_again_when_no_response_confirms_it() {
    let targets = [engine("e1", 1), engine("e2", 1)];
    let mut loads = LoadTable::new();
    loads.limits.merge(notice("e1", Some(2_000), 1_000));
    loads.shares.record_hosts(&view(targets.to_vec(), &["h1"], at(1_000)), "h1", at(1_000));
    // The other target is the busier one, so that only the limit speaks against the first.
    loads.start("e2", false, false, at(1_000));
    let mut choose = |now| {
        let clock = share_clock("h1", at(now));
        let context = ChoiceContext { domain: "north", hosts: &["h1"], cold_rate: 11.0, clock };
        choose_target(targets.iter(), &[], &mut loads, &context).map(|target| target.id.clone())
    };
    expect_that!([choose(1_500), choose(7_000)], eq(&[Some("e2".to_owned()), Some("e1".to_owned())]));
}
