//! A failure domain that is partitioned and rejoined while requests run.

use std::time::Duration;

use camphorspring::control::control_view::MemberState;
use camphorspring::prelude::*;
use googletest::prelude::*;

use super::network::{SimNetwork, ask, configuration};

const HOSTS: [(&str, &str); 5] =
    [("host-1", "north"), ("host-2", "north"), ("host-3", "north"), ("host-4", "north"), ("host-5", "north")];

/// Splits the hosts into random groups and cuts the links between groups at once. Returns the view changes by which the
/// hosts notice, each due within [`DEAD_AFTER`].
fn split_hosts(network: &mut SimNetwork, groups: usize) -> Vec<ViewChange> {
    let group_of_host: Vec<usize> = HOSTS.iter().map(|_| network.random(groups)).collect();
    network.cut.clear();
    for left in 0..HOSTS.len() {
        for right in 0..left {
            if group_of_host[left] != group_of_host[right] {
                network.cut.push((HOSTS[left].0.to_owned(), HOSTS[right].0.to_owned()));
            }
        }
    }
    let limit = usize::try_from(DEAD_AFTER.as_millis()).unwrap();
    let change = |host: usize, network: &mut SimNetwork| {
        let at = network.now + Duration::from_millis(network.random(limit) as u64);
        let seen = (0..HOSTS.len()).filter(|other| group_of_host[*other] == group_of_host[host]).collect();
        ViewChange { host, at, seen }
    };
    (0..HOSTS.len()).map(|host| change(host, network)).collect()
}

/// A later change of one host's view of the domain.
struct ViewChange {
    host: usize,
    at: BootTime,
    /// Positions of the hosts that this host sees as live from then on; it sees all others as dead.
    seen: Vec<usize>,
}

fn apply_view_changes(network: &mut SimNetwork, changes: &mut Vec<ViewChange>) {
    let now = network.now;
    for change in changes.extract_if(.., |change| change.at <= now) {
        network.change_view(HOSTS[change.host].0, |view| {
            for (member_index, member) in view.members.iter_mut().enumerate() {
                let is_seen = change.seen.contains(&member_index);
                member.state = if is_seen { MemberState::Live } else { MemberState::Dead };
            }
        });
    }
}

/// Guards against a fresh target that gets more requests than its start limit (`bears`) while its domain is
/// partitioned. The excess can come from two coordinators, from one that ended a permit whose request still runs, or
/// from one that does not count the permits of a former coordinator.
#[googletest::test]
fn fresh_target_is_never_overloaded_by_partitions() {
    for seed in 0..24 {
        for bears in [1, 3] {
            let mut network = SimNetwork::new(seed, &HOSTS, configuration(&[("t1", "north")], bears, bears));
            network.has_reports = true;
            network.step = Duration::from_millis(100);
            network.run_time = Duration::from_secs(if seed % 2 == 0 { 2 } else { 30 });
            network.run(SHARE_INCREASE_DELAY + Duration::from_secs(1));
            for round in 0..4 {
                let groups = if round % 2 == 0 { 3 } else { 1 };
                let mut changes = split_hosts(&mut network, groups);
                for _ in 0..80 {
                    let host = HOSTS[network.random(HOSTS.len())].0;
                    network.start(host, ask("small"));
                    network.run(Duration::from_millis(500));
                    apply_view_changes(&mut network, &mut changes);
                }
            }
            let most = network.most_running.get("t1").copied().unwrap_or_default();
            expect_that!(most, all!(ge(1), le(bears)), "seed {seed}, bears {bears}");
        }
    }
}

/// Guards against a coordinator that was paused and replaced, and on resuming goes on granting by its old view.
#[googletest::test]
fn resumed_coordinator_grants_nothing_by_its_old_view() {
    for seed in 0..6 {
        let mut network = SimNetwork::new(seed, &HOSTS, configuration(&[("t1", "north")], 1, 1));
        network.step = Duration::from_millis(100);
        network.run_time = Duration::from_secs(6);
        network.run(SHARE_INCREASE_DELAY + Duration::from_secs(1));
        let coordinator = network.home();
        let position = network.position(&coordinator);
        network.hosts[position].is_frozen = true;
        network.run(DEAD_AFTER);
        network.see_dead(&coordinator);
        network.run(SHARE_INCREASE_DELAY + Duration::from_secs(1));
        let others = HOSTS.iter().map(|(name, _)| *name).filter(|name| *name != coordinator);
        for host in others.clone() {
            network.start(host, ask("small"));
        }
        network.run(Duration::from_secs(1));
        network.hosts[position].is_frozen = false;
        network.start(&coordinator, ask("small"));
        for host in others {
            network.start(host, ask("small"));
        }
        network.run(Duration::from_secs(4));
        expect_that!(network.most_running.get("t1"), some(eq(&1)), "seed {seed}");
    }
}
