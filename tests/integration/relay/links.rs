//! Whether a host reaches targets itself or through its peers.

use std::net::SocketAddr;
use std::time::Duration;

use camphorspring::fleet::fleet_view::{FleetView, MemberEntry};
use camphorspring::jobs::job_ownership::preferred_owner;
use camphorspring::relay::target_links::{PROBE_INTERVAL, TargetLinks};
use camphorspring::relay::target_relay::forwarding_peers;
use googletest::prelude::*;

use crate::fleet::builders::{at, view};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Links on which these targets failed at these times in milliseconds, 20 ms after the attempts began.
fn links_after(failures: &[(u16, u64)]) -> TargetLinks {
    let mut links = TargetLinks::default();
    for (port, at_ms) in failures {
        links.record_unreachable(address(*port), at(at_ms - 20), at(*at_ms));
    }
    links
}

/// Guards against one target that has failed and is taken for a cut of all links, and against a cut that is not noticed.
#[gtest]
fn two_targets_out_of_reach_are_a_cut() {
    expect_that!(links_after(&[(1, 1_000)]).is_cut(), eq(false));
    expect_that!(links_after(&[(1, 1_000), (1, 1_100), (1, 1_200)]).is_cut(), eq(false));
    expect_that!(links_after(&[(1, 1_000), (2, 1_100)]).is_cut(), eq(true));
    // Failures far apart are of the targets themselves.
    expect_that!(links_after(&[(1, 1_000), (2, 9_000)]).is_cut(), eq(false));
}

/// Guards against a host that sends through its peers although targets answer it.
#[gtest]
fn an_answer_shows_that_the_links_hold() {
    let mut links = links_after(&[(1, 1_000)]);
    expect_that!(links.is_doubtful(at(1_010)), eq(true));
    links.record_answer(at(1_050));
    expect_that!(links.is_doubtful(at(1_060)), eq(false));
    // These attempts began well before the answer of another target.
    links.record_unreachable(address(2), at(840), at(1_100));
    links.record_unreachable(address(3), at(845), at(1_100));
    expect_that!(links.is_cut(), eq(false));
    // The links were cut just after the answer.
    links.record_unreachable(address(2), at(1_040), at(2_040));
    links.record_unreachable(address(3), at(1_045), at(2_045));
    expect_that!(links.is_cut(), eq(true));
    let mut cut = links_after(&[(1, 1_000), (2, 1_100)]);
    expect_that!((cut.record_answer(at(1_200)), cut.is_cut()), eq((true, false)));
}

/// Guards against a cut whose end is not noticed, and against a flood of probes.
#[gtest]
fn a_cut_is_probed_at_intervals() {
    let mut links = links_after(&[(1, 1_000), (2, 1_100)]);
    let step = Duration::from_millis(50);
    let probes = (0..40).filter(|number| links.begin_probe(at(1_100) + step * *number)).count();
    expect_that!(probes, eq(usize::try_from(2_000 / PROBE_INTERVAL.as_millis()).expect("few")));
    expect_that!(links_after(&[(1, 1_000)]).begin_probe(at(9_000)), eq(false));
}

/// Guards against one peer that gets all requests of a host whose links are cut, against detours to other failure domains, and
/// against peers that have just failed and are tried first.
#[gtest]
fn peers_take_turns_and_near_ones_come_first() {
    let (near, far) = ([address(1), address(2)], [address(3)]);
    let mut links = TargetLinks::default();
    let firsts: Vec<SocketAddr> = (0..4).map(|_| links.order_peers(&near, &far, at(1_000))[0]).collect();
    expect_that!(firsts.iter().filter(|first| **first == address(1)).count(), eq(2));
    expect_that!(firsts.iter().filter(|first| **first == address(2)).count(), eq(2));
    links.record_peer_failure(address(1), at(1_000));
    links.record_peer_failure(address(2), at(1_000));
    expect_that!(links.order_peers(&near, &far, at(1_100))[0], eq(address(3)));
    expect_that!(links.order_peers(&near, &far, at(9_000))[0], not(eq(address(3))));
}

/// View of hosts `h1` to `h4`; the given ones forward requests.
fn view_with_forwarding(forwarding: &[&str]) -> FleetView {
    let mut view = view(Vec::new(), &["h1", "h2", "h3", "h4"], at(1_000));
    let mut members: Vec<MemberEntry> = view.members.to_vec();
    for (member, port) in members.iter_mut().zip(1..) {
        member.row.peer_address = Some(address(port).to_string());
        member.row.forwards_requests = forwarding.contains(&member.host.as_str());
        member.row.is_stopping = member.host == "h4";
        member.row.domain = if member.host == "h3" { "south".to_owned() } else { "north".to_owned() };
    }
    view.members = members.into();
    view
}

/// Guards against requests that are sent through hosts that are cut off themselves, that stop, or whose program is older and
/// would take them for calls to the store.
#[gtest]
fn only_hosts_that_forward_requests_are_peers() {
    let peers = |forwarding: &[&str]| forwarding_peers(&view_with_forwarding(forwarding), "h1", "north");
    expect_that!(peers(&["h1", "h2", "h3", "h4"]), eq(&(vec![address(2)], vec![address(3)])));
    expect_that!(peers(&["h1", "h3"]), eq(&(vec![], vec![address(3)])));
    expect_that!(peers(&["h1"]), eq(&(vec![], vec![])));
}

/// Guards against batch jobs that are given to hosts that reach no target while others do.
#[gtest]
fn hosts_that_reach_targets_own_jobs() {
    let owners = |forwarding: &[&str]| -> Vec<String> {
        let view = view_with_forwarding(forwarding);
        let owners = (0..40).filter_map(|number| preferred_owner(&view, &format!("r{number}"), "m"));
        let mut owners: Vec<String> = owners.collect();
        owners.sort();
        owners.dedup();
        owners
    };
    expect_that!(owners(&["h2"]), eq(&vec!["h2".to_owned()]));
    expect_that!(owners(&[]), eq(&vec!["h1".to_owned(), "h2".to_owned(), "h3".to_owned()]));
}
