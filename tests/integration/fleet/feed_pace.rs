//! Rate at which hosts read the change feeds of watched tables, and partitions of the hosts' rows.

use std::time::Duration;

use camphorspring::fleet::member_row::member_partition;
use camphorspring::row_store::table_watch::FeedPacer;
use googletest::prelude::*;

/// Milliseconds that a host pauses after an answer with changes, for each of the watched tables: hosts, targets, jobs,
/// leader tasks, operators.
const RULE_PAUSES: [u64; 5] = [400, 250, 60, 0, 0];

/// Reads per second of all `hosts` together. The tables of hosts and targets have changes at each read.
fn reads_per_second(hosts: u32) -> f64 {
    let pace = FeedPacer::default();
    pace.set_hosts(usize::try_from(hosts).expect("few hosts"));
    // An answer takes 5 ms. The table of jobs changes every 40 ms, that of leader tasks every 0.6 s, and that of
    // operators hardly ever.
    let table_rate = |pause: u64, next_change: u64| {
        let wait = Duration::from_millis(next_change).min(pace.wait(Duration::from_millis(500)));
        1.0 / (pace.pause(Duration::from_millis(pause)) + wait + Duration::from_millis(5)).as_secs_f64()
    };
    let [members, targets, jobs, leader_tasks, operators] = RULE_PAUSES;
    let host_rate = table_rate(members, 0)
        + table_rate(targets, 0)
        + table_rate(jobs, 40)
        + table_rate(leader_tasks, 600)
        + table_rate(operators, 10_000);
    host_rate * f64::from(hosts)
}

/// Guards against hosts that overload the store, which answers 6,000 reads per second; half of that is the bound here.
#[gtest]
fn reads_of_many_hosts_stay_within_what_the_store_answers() {
    expect_that!(reads_per_second(100), lt(3_000.0));
    expect_that!(reads_per_second(300), lt(3_000.0));
    expect_that!(reads_per_second(420), lt(3_000.0));
}

/// Guards against changes that a host learns too late when a connection dies: the bound is two seconds with 100 hosts
/// and three with 420.
#[gtest]
fn changes_are_known_in_time() {
    let known_after = |hosts: usize| {
        let pace = FeedPacer::default();
        pace.set_hosts(hosts);
        // The wait of a feed call on a dead connection, 1,200 ms for the timeout of that call and the backoff after the
        // failure, and the pause of the watch rule.
        pace.wait(Duration::from_millis(500)) + Duration::from_millis(1_200) + pace.pause(Duration::ZERO)
    };
    expect_that!(known_after(100), le(Duration::from_secs(2)));
    expect_that!(known_after(420), le(Duration::from_secs(3)));
}

/// Guards against an overload of one store partition, which applies 200 transactions per second, by the renewals of all
/// hosts' rows.
#[gtest]
fn rows_of_hosts_are_spread_over_partitions() {
    let mut partitions: Vec<String> = (0..420).map(|host| member_partition(&format!("edge-north-{host}"))).collect();
    partitions.sort_unstable();
    let most = partitions.chunk_by(|one, other| one == other).map(<[String]>::len).max();
    expect_that!(most, some(le(100)));
}
