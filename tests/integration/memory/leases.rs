//! Which lease yields to another one when a budget is used up.

use camphorspring::memory::lease_table::{ConnectionRoom, LeaseKind, LeaseTable, YieldRule};
use googletest::prelude::*;

use crate::fleet::builders::at;

const KIB: usize = 1024;

/// Table of 1 MiB and four connections, of which large leases may use seven eighths.
fn table() -> LeaseTable {
    LeaseTable::new(1024 * KIB, 4)
}

/// Guards against large bodies that keep ordinary requests out: a part of the budget is for small leases.
#[gtest]
fn large_leases_leave_room_for_small_ones() {
    let mut table = table();
    let (large, other, small) =
        (table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)));
    expect_that!(table.grow(large, 896 * KIB, at(0)).is_granted, eq(true));
    expect_that!(table.grow(other, 129 * KIB, at(0)).is_granted, eq(false));
    expect_that!(table.grow(small, 128 * KIB, at(0)).is_granted, eq(true));
    expect_that!(table.used(), eq(1024 * KIB));
}

/// Guards against bodies that stop short of their end and keep the rest out, and against a body that is cut while it
/// arrives.
#[gtest]
fn stalled_leases_yield_and_others_do_not() {
    let mut table = table();
    let (first, second, third) =
        (table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)));
    table.grow(first, 400 * KIB, at(0));
    table.grow(second, 400 * KIB, at(0));
    expect_that!(table.grow(third, 400 * KIB, at(900)).is_granted, eq(false));
    table.record_progress(first, 16 * KIB, at(900));
    let decision = table.grow(third, 400 * KIB, at(1_000));
    expect_that!((decision.is_granted, decision.yielded), eq(&(true, vec![second])));
    expect_that!(
        table.set_rule(second, YieldRule::Never, at(1_000)),
        eq(false),
        "a lease that has yielded does not settle"
    );
    expect_that!(table.grow(second, 1, at(1_000)).is_granted, eq(false));
}

/// Guards against a body that holds its memory by single bytes.
#[gtest]
fn single_bytes_are_no_progress() {
    let mut table = table();
    let (slow, next) = (table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)));
    table.grow(slow, 800 * KIB, at(0));
    for time in 1..=1_000 {
        table.record_progress(slow, 1, at(time));
    }
    expect_that!(table.grow(next, 800 * KIB, at(1_000)).yielded, eq(&vec![slow]));
}

/// Guards against complete requests that are ended, and against memory of jobs that keeps small requests out.
#[gtest]
fn settled_leases_and_kept_memory_do_not_yield() {
    let mut table = table();
    let (settled, large, small) =
        (table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)));
    table.grow(settled, 600 * KIB, at(0));
    table.set_rule(settled, YieldRule::Never, at(0));
    expect_that!(table.keep(200 * KIB), eq(true));
    expect_that!(table.keep(900 * KIB), eq(false), "a further job waits");
    expect_that!(table.grow(large, 200 * KIB, at(60_000)).is_granted, eq(false));
    expect_that!(table.grow(small, 100 * KIB, at(60_000)).is_granted, eq(true));
    table.release_kept(200 * KIB);
    expect_that!(table.grow(large, 200 * KIB, at(60_000)).is_granted, eq(true));
}

/// Guards against a limit of connections that keeps newcomers out, and against the end of a connection that has a request
/// to answer.
#[gtest]
fn idle_connections_yield_to_new_ones() {
    let mut table = table();
    let mut ids = Vec::new();
    for time in 0..4 {
        expect_that!(table.make_room_for_connection(at(time)), eq(ConnectionRoom::Free));
        let id = table.add(LeaseKind::Connection, at(time));
        table.grow(id, 16 * KIB, at(time));
        ids.push(id);
    }
    table.set_rule(ids[0], YieldRule::Never, at(4));
    let room = table.make_room_for_connection(at(5));
    expect_that!(room, eq(ConnectionRoom::Ending(Some(ids[1]))), "the one that has been idle longest");
    expect_that!(
        table.make_room_for_connection(at(5)),
        eq(ConnectionRoom::Ending(None)),
        "its descriptor is still open"
    );
    table.remove(ids[1]);
    expect_that!(table.make_room_for_connection(at(6)), eq(ConnectionRoom::Free));
    expect_that!((table.connections(), table.used()), eq((3, 48 * KIB)));
    let last = table.add(LeaseKind::Connection, at(6));
    for id in [ids[2], ids[3], last] {
        table.set_rule(id, YieldRule::Never, at(6));
    }
    expect_that!(table.make_room_for_connection(at(60_000)), eq(ConnectionRoom::Refused), "all have requests");
}

/// Guards against clients that never read their answers and keep others out, and against the end of one that reads.
#[gtest]
fn connections_blocked_by_their_client_yield_once_stalled() {
    let mut table = LeaseTable::new(1024 * KIB, 2);
    let (reading, blocked) = (table.add(LeaseKind::Connection, at(0)), table.add(LeaseKind::Connection, at(0)));
    for id in [reading, blocked] {
        table.grow_by_held(id, 256 * KIB, at(0));
        table.set_rule(id, YieldRule::WhenStalled, at(0));
    }
    table.set_rule(reading, YieldRule::WhenStalled, at(900));
    expect_that!(table.make_room_for_connection(at(999)), eq(ConnectionRoom::Refused));
    expect_that!(table.make_room_for_connection(at(1_000)), eq(ConnectionRoom::Ending(Some(blocked))));
}

/// Guards against memory that is held without being counted: nothing else is granted beyond the budget.
#[gtest]
fn held_bytes_count_beyond_the_budget() {
    let mut table = table();
    let (holder, other) = (table.add(LeaseKind::Body, at(0)), table.add(LeaseKind::Body, at(0)));
    table.set_rule(holder, YieldRule::Never, at(0));
    expect_that!(table.grow_by_held(holder, 2048 * KIB, at(0)).is_granted, eq(true));
    expect_that!((table.used(), table.grow(other, 1, at(0)).is_granted), eq((2048 * KIB, false)));
    table.remove(holder);
    expect_that!(table.grow(other, 1, at(0)).is_granted, eq(true));
}

/// Guards against buffers that only save a retry and take the memory of requests.
#[gtest]
fn optional_bytes_leave_half_of_the_budget() {
    let mut table = table();
    let lease = table.add(LeaseKind::Body, at(0));
    expect_that!(table.grow_optionally(lease, 512 * KIB), eq(true));
    expect_that!(table.grow_optionally(lease, 1), eq(false));
    expect_that!(table.grow(lease, 384 * KIB, at(0)).is_granted, eq(true));
}
