//! Usage: each increment is counted once, and each window is reported with one figure only.

mod usage_harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use camphorspring::usage::window_usage::{WindowState, window_usage};
use googletest::prelude::*;

use crate::memory_store::{FATAL_FAULTS, FaultyClient, LIVE_FAULTS, StoreFault};
use usage_harness::{FIRST_WINDOW, SendFault, UsageHost, UsageWorld, event};

/// Store calls of a host that flushes twice, rounded up.
const FLUSH_CALLS: u64 = 4;

/// Store calls of an owner that reports a window, rounded up.
const CLOSE_CALLS: u64 = 12;

/// Faults of one run.
#[derive(Debug, Clone, Default)]
struct UsageFaults {
    flush: Vec<(u64, StoreFault)>,
    close: Vec<(u64, StoreFault)>,
    send: Option<(u64, SendFault)>,
}

/// Does work of a host in a thread, since the host may freeze; returns whether it came to its end. A frozen thread is
/// kept with its host, to be waited for after the thaw.
fn run_until_stopped(host: &UsageHost, work: impl FnOnce() + Send + 'static) -> bool {
    let thread = std::thread::spawn(work);
    while !thread.is_finished() {
        if host.client.is_stopped() {
            host.frozen.lock().unwrap().push(thread);
            return false;
        }
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
    !host.client.is_stopped()
}

fn flush(host: &UsageHost) -> bool {
    let keeper = Arc::clone(&host.keeper);
    run_until_stopped(host, move || keeper.flush(false))
}

fn report(host: &UsageHost) -> bool {
    let keeper = Arc::clone(&host.keeper);
    run_until_stopped(host, move || {
        keeper.look_for_windows();
        keeper.report_windows();
    })
}

/// One host counts usage and flushes it while a peer holds its replicas; another host reports the window, and a third
/// one takes over from that. All processes that froze go on at the end, and a last host reports what is left.
fn run_windows(faults: &UsageFaults) -> Vec<String> {
    let world = UsageWorld::new();
    let peer = world.host("peer", &[], None);
    world.set_receiver(&peer);
    let counting = world.host("counting", &faults.flush, None);
    let mut tokens = 0;
    for round in 0..8 {
        if round < 2 {
            counting.keeper.sink()(event(10 + round));
            tokens += 10 + round;
        }
        if !flush(&counting) {
            break;
        }
        world.advance(5);
    }
    world.advance(30);
    peer.keeper.flush_replicas();

    world.wall.store(FIRST_WINDOW + 400, Ordering::SeqCst);
    let first = world.host("first", &faults.close, faults.send);
    world.take_over(&first, FIRST_WINDOW);
    for _ in 0..12 {
        if !report(&first) {
            break;
        }
    }
    if first.client.is_stopped() {
        let second = world.host("second", &[], None);
        world.take_over(&second, FIRST_WINDOW);
        report(&second);
    }
    counting.thaw();
    first.thaw();
    for window in [FIRST_WINDOW, FIRST_WINDOW + 300, FIRST_WINDOW + 600] {
        world.wall.store(window + 400, Ordering::SeqCst);
        let last = world.host("last", &[], None);
        world.take_over(&last, window);
        report(&last);
    }
    let mut problems = world.find_problems(tokens);
    if !world.store.scan("open_windows", "", "", 10).is_empty() {
        problems.push("a window is not reported".to_owned());
    }
    problems
}

fn run_table(cases: &[UsageFaults]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let problems = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    for problem in run_windows(case) {
                        problems.lock().unwrap().push(format!("{case:?}: {problem}"));
                    }
                }
            });
        }
    });
    problems.into_inner().unwrap()
}

fn single_faults(calls: u64) -> Vec<Vec<(u64, StoreFault)>> {
    let faults: Vec<StoreFault> = LIVE_FAULTS.into_iter().chain(FATAL_FAULTS).collect();
    (0..calls).flat_map(|call| faults.iter().map(move |fault| vec![(call, *fault)]).collect::<Vec<_>>()).collect()
}

/// Guards against usage that is lost, counted twice or reported with two figures when any store call of the counting
/// host and any of the reporting host fails, singly and together, or when a report or its answer is lost.
#[googletest::test]
fn windows_are_reported_once_with_faults() {
    let mut cases = vec![UsageFaults::default()];
    let flushes = std::iter::once(Vec::new()).chain(single_faults(FLUSH_CALLS));
    for flush in flushes {
        for close in std::iter::once(Vec::new()).chain(single_faults(CLOSE_CALLS)) {
            cases.push(UsageFaults { flush: flush.clone(), close, send: None });
        }
        for send in [SendFault::LostRequest, SendFault::LostAnswer] {
            cases.push(UsageFaults { flush: flush.clone(), close: Vec::new(), send: Some((0, send)) });
        }
    }
    let problems = run_table(&cases);
    expect_that!(problems, is_empty());
}

/// Guards against an increment that is lost because its window was closed, or counted in two windows because its host
/// and the holder of its replica both correct it.
#[googletest::test]
fn late_increment_counts_in_one_later_window() {
    let world = UsageWorld::new();
    let peer = world.host("peer", &[], None);
    world.set_receiver(&peer);
    let counting = world.host("counting", &[(0, StoreFault::NotSent)], None);
    counting.keeper.sink()(event(10));
    let early = world.host("early", &[], None);
    early.keeper.sink()(event(5));
    early.keeper.flush(false);
    counting.keeper.flush(false);
    world.wall.store(FIRST_WINDOW + 400, Ordering::SeqCst);
    world.boot_ms.fetch_add(60_000, Ordering::SeqCst);
    world.take_over(&early, FIRST_WINDOW);
    report(&early);
    peer.keeper.flush_replicas();
    world.wall.store(FIRST_WINDOW + 700, Ordering::SeqCst);
    world.take_over(&early, FIRST_WINDOW + 300);
    report(&early);
    counting.keeper.flush(false);
    world.wall.store(FIRST_WINDOW + 1000, Ordering::SeqCst);
    world.take_over(&early, FIRST_WINDOW + 600);
    report(&early);
    expect_that!(world.find_problems(15), is_empty());
    expect_that!(world.reports.lock().unwrap().len(), eq(2));
    let store = FaultyClient::new(&world.store, &[]).access();
    let first = window_usage(&store, FIRST_WINDOW).unwrap();
    expect_that!((first.state, first.increments, first.figures[0].tokens), eq((WindowState::Accepted, 1, 5)));
    let second = window_usage(&store, FIRST_WINDOW + 300).unwrap();
    expect_that!((second.state, second.increments, second.figures[0].tokens), eq((WindowState::Accepted, 1, 10)));
}

/// Guards against windows that stay unreported after the store was down for several of them.
#[googletest::test]
fn outage_over_several_windows_is_made_up() {
    let world = UsageWorld::new();
    let outage: Vec<(u64, StoreFault)> = (0..60).map(|call| (call, StoreFault::LostRequest)).collect();
    let counting = world.host("counting", &outage, None);
    for round in 0..60 {
        counting.keeper.sink()(event(round));
        counting.keeper.flush(false);
        world.advance(20);
    }
    expect_that!(counting.keeper.is_flushed(), eq(false));
    counting.keeper.flush(false);
    expect_that!(counting.keeper.is_flushed(), eq(true));
    world.advance(400);
    let owner = world.host("owner", &[], None);
    let open: Vec<_> = world.store.scan("open_windows", "", "", 100);
    expect_that!(open.len(), eq(4));
    for row in open {
        world.take_over(&owner, row.key.parse().unwrap());
    }
    report(&owner);
    report(&owner);
    expect_that!(world.find_problems((0..60).sum()), is_empty());
}
