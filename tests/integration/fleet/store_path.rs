//! Which way calls to the store go.

use std::net::SocketAddr;

use camphorspring::clock::BootTime;
use camphorspring::entry::fleet_follower::store_peers;
use camphorspring::row_store::store_router::{PEERS_PER_CALL, RouteOutcome, StoreRoute, StoreRouter};
use googletest::prelude::*;

use super::builders::{at, view};

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Path with as many peers.
fn path(peers: u16) -> StoreRouter {
    let mut path = StoreRouter::new();
    path.set_peers(&(1..=peers).map(peer).collect::<Vec<SocketAddr>>());
    path
}

/// Makes one call as clients do, when the ways named answer; returns the ways that were tried.
fn call(path: &mut StoreRouter, answers: fn(StoreRoute) -> bool, now: BootTime) -> Vec<StoreRoute> {
    let mut tried = Vec::new();
    for _ in 0..=PEERS_PER_CALL {
        let way = path.next_route(now);
        tried.push(way);
        let end = if answers(way) { RouteOutcome::Answered } else { RouteOutcome::Refused };
        path.record(way, end, now);
        if end == RouteOutcome::Answered || !path.has_alternative_route(now) {
            break;
        }
    }
    tried
}

/// Replays a store that refuses this host and some of its peers. Guards against steps that stand still for as long as
/// the store refuses their owner, and against a host that never goes back to the store itself.
#[gtest]
fn refused_host_goes_through_peers_and_back() {
    let mut path = path(5);
    let refused = |way| way != StoreRoute::Direct && way != StoreRoute::Peer(peer(1));
    expect_that!(
        call(&mut path, refused, at(0)),
        eq(&vec![StoreRoute::Direct, StoreRoute::Peer(peer(1)), StoreRoute::Peer(peer(2))])
    );
    // The peer that served is asked at once the next time.
    expect_that!(call(&mut path, refused, at(100)), eq(&vec![StoreRoute::Peer(peer(2))]));
    // The direct way is tried again after a pause that doubles.
    let direct_tries =
        (0..90).filter(|tick| call(&mut path, refused, at(200 + tick * 100))[0] == StoreRoute::Direct).count();
    expect_that!(direct_tries, le(5));
    let served = |way| way == StoreRoute::Direct;
    let back = (0..50).position(|tick| call(&mut path, served, at(9_300 + tick * 100)) == [StoreRoute::Direct]);
    expect_that!(back, some(le(40)));
    expect_that!(path.has_direct_failed(), eq(false));
}

/// Guards against a flood of calls between hosts while the store is away for all of them.
#[gtest]
fn peers_are_left_alone_when_the_store_is_away() {
    let mut path = path(85);
    let tried: usize = (0..100).map(|tick| call(&mut path, |_| false, at(tick * 20)).len()).sum();
    // Two seconds with fifty calls each: the calls themselves, and four peers twice a second.
    expect_that!(tried, le(100 + 4 * 4 + 4));
}

/// Guards against a detour for a single lost answer, and against a dead connection that is used for ever.
#[gtest]
fn one_lost_answer_changes_no_way() {
    let mut path = path(2);
    path.record(StoreRoute::Direct, RouteOutcome::Lost, at(0));
    expect_that!(path.next_route(at(0)), eq(StoreRoute::Direct));
    path.record(StoreRoute::Direct, RouteOutcome::Lost, at(10));
    expect_that!(path.next_route(at(10)), eq(StoreRoute::Peer(peer(1))));
}

/// Guards against peers in other failure domains that are asked without need, and against hosts that stop.
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
