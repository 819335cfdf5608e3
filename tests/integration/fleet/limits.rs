//! Rate limits that targets announce: what a host knows of them, and its share.

use std::sync::Arc;

use camphorspring::fleet::fleet_view::{FleetView, MemberEntry};
use camphorspring::fleet::member_row::WaitingCount;
use camphorspring::fleet::target_limit::LimitNotice;
use camphorspring::fleet::target_load::LoadTable;
use camphorspring::policy::limit_share::ShareClock;
use camphorspring::relay::attempt_plan::{ChoiceContext, choose_target};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, member, share_clock, view};

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
    expect_that!([settled_allowance(0), settled_allowance(60)], eq([Some(5), Some(19)]));
}

/// Guards against requests that are left out of the count of a limit, and against a count that never ends.
#[gtest]
fn all_requests_of_a_window_count_against_a_limit() {
    let mut loads = LoadTable::new();
    loads.limits.merge(notice("e1", Some(5_000), 1_000));
    loads.shares.record_hosts(&view(vec![engine("e1", 1)], &["h1"], at(1_000)), "h1", at(1_000));
    let allowance = |loads: &mut LoadTable, now| loads.limit_allowance(&engine("e1", 1), &share_clock("h1", at(now)));
    let before = allowance(&mut loads, 6_000);
    loads.start("e1", true, false, at(6_100));
    loads.end("e1", true);
    loads.record_arrival("e1", at(6_200));
    let counted = allowance(&mut loads, 6_300);
    expect_that!([before, counted, allowance(&mut loads, 10_300)], eq([Some(20), Some(18), Some(20)]));
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

/// Guards against a limit that is forgotten because the entry of its target is missing for a moment, and against notices of
/// targets that have left which are kept for good.
#[gtest]
fn limit_outlives_a_missing_entry() {
    let mut limits = LoadTable::new().limits;
    limits.merge(notice("e1", Some(2_000), 10_000));
    let known = [11_000, 29_000, 31_000].map(|now| {
        limits.retain_known(&view(Vec::new(), &["h1"], at(now)), at(now));
        limits.rate("e1")
    });
    expect_that!(known, eq([Some(2_000), Some(2_000), None]));
}

/// Guards against a host that starts again and knows no limit, because it alone had published it.
#[gtest]
fn two_hosts_publish_each_limit() {
    let mut limits = LoadTable::new().limits;
    limits.merge(notice("e1", Some(2_000), 10_000));
    let publishes = |count: usize| {
        let mut view = view(Vec::new(), &["h1", "h2", "h3"], at(10_000));
        let mut members: Vec<MemberEntry> = view.members.to_vec();
        for member in &mut members[..count] {
            member.row.limits = vec![notice("e1", Some(2_000), 9_000)];
        }
        view.members = members.into();
        limits.notices_to_publish(&view, "h3").len()
    };
    expect_that!([publishes(0), publishes(1), publishes(2)], eq([1, 1, 0]));
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
        let context = ChoiceContext { domain: "north", cold_rate: 11.0, clock };
        choose_target(targets.iter(), &[], &mut loads, &context).map(|target| target.id.clone())
    };
    expect_that!([choose(1_500), choose(7_000)], eq(&[Some("e2".to_owned()), Some("e1".to_owned())]));
}

/// How the store treats the hosts that it turns away.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StoreAccess {
    /// Neither reads nor writes succeed.
    None,
    /// Reads succeed, so that a host sees its own row grow old.
    ReadOnly,
}

/// Nine hosts start all that they may on a target that takes 30 requests a second; from 20 s on, the store turns `count` of them
/// away. Returns the most requests of all hosts in 4 s.
fn most_starts_with_hosts_turned_away(count: usize, access: StoreAccess) -> usize {
    const TURNED_AWAY_AT: u64 = 20_000;
    let names: Vec<String> = (1..=9).map(|number| format!("h{number}")).collect();
    let mut loads: Vec<LoadTable> = names.iter().map(|_| LoadTable::new()).collect();
    let mut starts: Vec<u64> = Vec::new();
    let mut most = 0;
    for now in (1_000..45_000).step_by(250) {
        let renewed_at = |host: usize| at(if host < count { now.min(TURNED_AWAY_AT) } else { now });
        let members = names.iter().enumerate().map(|(host, name)| member(name, 1, renewed_at(host)));
        let view = FleetView { members: Arc::new(members.collect()), ..view(vec![engine("e1", 1)], &[], at(now)) };
        for (host, name) in names.iter().enumerate() {
            loads[host].limits.merge(notice("e1", Some(30_000), now));
            if access == StoreAccess::ReadOnly || renewed_at(host) == at(now) {
                loads[host].shares.record_hosts(&view, name, at(now));
            }
            let clock = ShareClock { renewed_at: renewed_at(host), ..share_clock(name, at(now)) };
            for _ in 0..loads[host].limit_allowance(&engine("e1", 1), &clock).unwrap_or_default() {
                loads[host].start("e1", false, false, at(now));
                starts.push(now);
            }
        }
        most = most.max(starts.iter().filter(|start| now - **start < 4_000).count());
    }
    most
}

/// Guards against hosts that the store turns away and that keep their shares of a limit, while the others divide the limit
/// without them. 30 requests a second allow 185 in 4 s: one and a half times as many, and five.
#[gtest]
fn hosts_turned_away_by_the_store_and_the_others_keep_to_the_limit_together() {
    for access in [StoreAccess::None, StoreAccess::ReadOnly] {
        for count in [1, 4, 6, 8, 9] {
            let most = most_starts_with_hosts_turned_away(count, access);
            expect_that!(most, le(185), "{count} hosts, {access:?}");
            expect_that!(most, ge(100), "{count} hosts, {access:?}");
        }
    }
}
