//! Routes of store calls: direct, or through a peer.

use std::net::SocketAddr;

use camphorspring::clock::BootTime;
use camphorspring::entry::fleet_follower::store_peers;
use camphorspring::row_store::store_router::{PEERS_PER_CALL, RouteOutcome, StoreRoute, StoreRouter};
use googletest::prelude::*;

use super::builders::{at, view};

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Router with this many peers.
fn router(peers: u16) -> StoreRouter {
    let mut router = StoreRouter::new();
    router.set_peers(&(1..=peers).map(peer).collect::<Vec<SocketAddr>>());
    router
}

/// Makes one call as the store client does, where the store answers on the routes that `answers` accepts; returns the
/// attempted routes.
fn attempted_routes(router: &mut StoreRouter, answers: fn(StoreRoute) -> bool, now: BootTime) -> Vec<StoreRoute> {
    let mut attempted = Vec::new();
    for _ in 0..=PEERS_PER_CALL {
        let route = router.next_route(now);
        attempted.push(route);
        let outcome = if answers(route) { RouteOutcome::Answered } else { RouteOutcome::Refused };
        router.record(route, outcome, now);
        if outcome == RouteOutcome::Answered || !router.has_alternative_route(now) {
            break;
        }
    }
    attempted
}

/// Replays a store that refuses this host and one of its peers. Guards against jobs that make no progress while the
/// store refuses the host that owns them, and against a host that never returns to the direct route.
#[gtest]
fn refused_host_goes_through_peers_and_back() {
    let mut router = router(5);
    let is_answering = |route| route != StoreRoute::Direct && route != StoreRoute::Peer(peer(1));
    expect_that!(
        attempted_routes(&mut router, is_answering, at(0)),
        eq(&vec![StoreRoute::Direct, StoreRoute::Peer(peer(1)), StoreRoute::Peer(peer(2))])
    );
    // The next call starts with the peer that answered.
    expect_that!(attempted_routes(&mut router, is_answering, at(100)), eq(&vec![StoreRoute::Peer(peer(2))]));
    // The direct route is attempted again after a backoff that doubles.
    let direct_attempts = (0..90)
        .filter(|tick| attempted_routes(&mut router, is_answering, at(200 + tick * 100))[0] == StoreRoute::Direct)
        .count();
    expect_that!(direct_attempts, le(5));
    let is_direct = |route| route == StoreRoute::Direct;
    let back = (0..50)
        .position(|tick| attempted_routes(&mut router, is_direct, at(9_300 + tick * 100)) == [StoreRoute::Direct]);
    expect_that!(back, some(le(40)));
    expect_that!(router.has_direct_route_failed(), eq(false));
}

/// Guards against a flood of calls between hosts while no host can reach the store.
#[gtest]
fn peers_get_few_calls_when_the_store_is_unreachable() {
    let mut router = router(85);
    let attempted: usize = (0..100).map(|tick| attempted_routes(&mut router, |_| false, at(tick * 20)).len()).sum();
    // 100 direct attempts in two seconds, and four peers in each half second, with one half second more as a margin.
    expect_that!(attempted, le(100 + 4 * 4 + 4));
}

/// Guards against a change of route after a single lost answer, and against a dead connection that stays in use.
#[gtest]
fn only_a_second_lost_answer_changes_the_route() {
    let mut router = router(2);
    router.record(StoreRoute::Direct, RouteOutcome::Lost, at(0));
    expect_that!(router.next_route(at(0)), eq(StoreRoute::Direct));
    router.record(StoreRoute::Direct, RouteOutcome::Lost, at(10));
    expect_that!(router.next_route(at(10)), eq(StoreRoute::Peer(peer(1))));
}

/// Guards against calls to peers in other failure domains while the own domain has one, and to peers that are stopping.
#[gtest]
fn peers_of_the_own_domain_come_first() {
    let mut view = view(Vec::new(), &["h1", "h2", "h3", "h4"], at(10_000));
    let mut members = (*view.members).clone();
    for (number, member) in (1..).zip(&mut members) {
        member.row.peer_address = Some(peer(number).to_string());
    }
    "south".clone_into(&mut members[1].row.domain);
    members[3].row.is_stopping = true;
    view.members = members.into();
    expect_that!(store_peers(&view, "h1", "north"), eq(&vec![peer(3), peer(2)]));
}
