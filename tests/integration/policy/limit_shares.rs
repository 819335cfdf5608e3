//! Division of announced rate limits among the hosts.

use camphorspring::policy::limit_share::{HostHistory, HostWeight, LIMIT_WINDOW, SHARE_SETTLE_TIME, limit_share};
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::builders::{at, share_clock};

fn hosts(weights: &[u32]) -> Vec<HostWeight> {
    weights
        .iter()
        .enumerate()
        .map(|(index, weight)| HostWeight { host: format!("h{index:02}"), weight: *weight })
        .collect()
}

proptest! {
    /// Guards against shares that add up to more than the limit, or leave a part of it to nobody.
    #[test]
    fn shares_add_up_to_the_limit(
        weights in proptest::collection::vec(1_u32..64, 1..90),
        rate in 0_u64..200_000,
        turn in 0_u64..100,
    ) {
        let hosts = hosts(&weights);
        let sum: u64 = hosts.iter().map(|own| limit_share(rate, "e1", &own.host, &hosts, turn)).sum();
        prop_assert_eq!(sum, (rate * LIMIT_WINDOW.as_secs() / 1000).max(1));
    }

    /// Guards against more requests than the limit in some window: hosts join, leave and change their weights, and each
    /// host learns of a change at another time, up to two seconds late. Each host starts what it may at once.
    #[test]
    fn hosts_keep_to_the_limit_while_they_change(
        changes in proptest::collection::vec((500_u64..9_000, proptest::collection::vec(1_u32..33, 6)), 1..6),
        members in proptest::collection::vec(2_usize..=6, 6),
        delays in proptest::collection::vec(0_u64..2_000, 6),
        rate in 250_u64..20_000,
    ) {
        // At each change, the first hosts of a list of six are there, with these weights.
        let mut at_ms = 0;
        let mut views = vec![(0, hosts(&[1; 6]))];
        for ((pause, weights), count) in changes.iter().zip(&members) {
            at_ms += pause;
            views.push((at_ms, hosts(&weights[..*count])));
        }
        let allowed = (rate * LIMIT_WINDOW.as_secs() / 1000).max(1);
        let mut histories: Vec<HostHistory> = vec![HostHistory::default(); 6];
        let mut starts: Vec<Vec<u64>> = vec![Vec::new(); 6];
        let mut all_starts: Vec<u64> = Vec::new();
        for now in (0..at_ms + 20_000).step_by(100) {
            let present = views.iter().rfind(|(since, _)| *since <= now).map_or(6, |(_, hosts)| hosts.len());
            for (index, history) in histories.iter_mut().enumerate() {
                let known = views.iter().rev().find(|(since, _)| *since == 0 || since + delays[index] <= now);
                history.record(known.expect("the first view is old").1.clone(), at(now));
                if index >= present {
                    continue;
                }
                let host = format!("h{index:02}");
                let share = history.share(rate, "e1", &share_clock(&host, at(now)));
                let started = starts[index].iter().filter(|start| now - **start < 4_000).count() as u64;
                for _ in started..share {
                    starts[index].push(now);
                    all_starts.push(now);
                }
            }
            let in_window = all_starts.iter().filter(|start| now - **start < 4_000).count() as u64;
            // A host that joins is counted by the others up to two seconds later.
            let joins = views.windows(2).any(|pair| pair[1].1.len() > pair[0].1.len());
            let bound = if joins { allowed * 3 / 2 + 5 } else { allowed };
            prop_assert!(in_window <= bound, "{in_window} starts at {now} ms, allowed {bound}");
        }
    }
}

/// Guards against a host that uses a larger share at once, while another still uses it.
#[gtest]
fn larger_shares_take_effect_late_and_smaller_ones_at_once() {
    let mut history = HostHistory::default();
    let share = |history: &HostHistory, now| history.share(10_000, "e1", &share_clock("h00", at(now)));
    history.record(hosts(&[1, 1, 1, 1]), at(0));
    let mut shares = vec![share(&history, 5_000)];
    history.record(hosts(&[1]), at(6_000));
    shares.extend([6_000, 11_900, 12_100].map(|now| share(&history, now)));
    history.record(hosts(&[1, 1]), at(14_000));
    shares.push(share(&history, 14_000));
    expect_that!(SHARE_SETTLE_TIME, eq(at(6_000)));
    expect_that!(shares, eq(&vec![10, 10, 10, 40, 20]));
}

/// Guards against a limit below one request a window and host that some hosts can never use.
#[gtest]
fn low_limits_reach_each_host_in_turn() {
    let hosts = hosts(&[1; 9]);
    let can_ever_start =
        hosts.iter().map(|own| (0..9).any(|turn| limit_share(1_000, "e1", &own.host, &hosts, turn) > 0));
    expect_that!(can_ever_start.collect::<Vec<bool>>(), each(eq(&true)));
}

/// Guards against a host that keeps its share while it is cut off and the others divide the limit without it.
#[gtest]
fn cut_off_host_falls_back_to_half_of_an_equal_share() {
    let mut history = HostHistory::default();
    history.record(hosts(&[32, 1, 1, 1]), at(0));
    let mut clock = share_clock("h00", at(9_000));
    let connected = history.share(10_000, "e1", &clock);
    clock.renewed_at = at(1_000);
    expect_that!((connected, history.share(10_000, "e1", &clock)), eq((37, 5)));
}

/// Guards against a host that is killed and starts again within a window, and uses its share of a limit twice.
#[gtest]
fn host_that_starts_has_no_share_for_a_window() {
    let mut history = HostHistory::default();
    history.record(hosts(&[1, 1]), at(10_000));
    let shares = [10_000, 13_900, 14_000].map(|now| history.share(10_000, "e1", &share_clock("h00", at(now))));
    expect_that!(shares, eq([0, 0, 20]));
}
