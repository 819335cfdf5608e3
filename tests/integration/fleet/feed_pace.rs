//! Pace at which hosts follow tables.

use std::time::Duration;

use camphorspring::fleet::member_row::member_part;
use camphorspring::row_store::table_watch::FeedPacer;
use googletest::prelude::*;

/// Pauses of the rules for hosts, targets, jobs, duties and the operators' table, in milliseconds.
const PAUSES: [u64; 5] = [400, 250, 60, 0, 0];

/// Reads a second of a number of hosts while all tables but the operators' change all the time.
fn reads_per_second(hosts: u32) -> f64 {
    let pace = FeedPacer::default();
    pace.set_hosts(usize::try_from(hosts).expect("few hosts"));
    // Answers take 5 ms. Changes of duties come each 0.6 s, those of operators hardly ever.
    let call = |pause: u64, next_change: u64| {
        let wait = Duration::from_millis(next_change).min(pace.wait(Duration::from_millis(500)));
        1.0 / (pace.pause(Duration::from_millis(pause)) + wait + Duration::from_millis(5)).as_secs_f64()
    };
    let [members, targets, jobs, duties, operators] = PAUSES;
    let host = call(members, 0) + call(targets, 0) + call(jobs, 40) + call(duties, 600) + call(operators, 10_000);
    host * f64::from(hosts)
}

/// Guards against hosts that press the store beyond the 6,000 reads a second that it answers.
#[gtest]
fn reads_of_many_hosts_stay_within_what_the_store_answers() {
    expect_that!(reads_per_second(100), lt(3_000.0));
    expect_that!(reads_per_second(300), lt(3_000.0));
    expect_that!(reads_per_second(420), lt(3_000.0));
}

/// Guards against changes that are known too late: within two seconds on a small installation, three on a large one,
/// also when a connection dies.
#[gtest]
fn changes_are_known_in_time() {
    let known_after = |hosts: usize| {
        let pace = FeedPacer::default();
        pace.set_hosts(hosts);
        // A feed call that meets a dead connection, the limit of a call, the pause after it, and that of the rule.
        pace.wait(Duration::from_millis(500)) + Duration::from_millis(1_200) + pace.pause(Duration::ZERO)
    };
    expect_that!(known_after(100), le(Duration::from_secs(2)));
    expect_that!(known_after(420), le(Duration::from_secs(3)));
}

/// Guards against the rows of all hosts in one part of the store, which applies 200 transactions a second.
#[gtest]
fn rows_of_hosts_are_spread_over_parts() {
    let mut parts: Vec<String> = (0..420).map(|host| member_part(&format!("edge-north-{host}"))).collect();
    parts.sort_unstable();
    let most = parts.chunk_by(|one, other| one == other).map(<[String]>::len).max();
    expect_that!(most, some(le(100)));
}
