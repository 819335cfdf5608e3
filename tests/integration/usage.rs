//! Usage: each increment is counted once, and all reports of a window have the same content.

mod usage_harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use camphorspring::usage::window_usage::{WindowState, window_usage};
use googletest::prelude::*;

use crate::memory_store::{FATAL_FAULTS, FaultyClient, LIVE_FAULTS, StoreFault};
use usage_harness::{FIRST_WINDOW, SendFault, UsageFixture, UsageHost, create_event};

/// Number of store calls of the counting host, from the first on, that a fault is planned for, one in each case.
/// Without faults the host makes two calls, one for each increment; the number is rounded up.
const FLUSH_CALLS: u64 = 4;

/// Number of store calls of an owner that reports a window, rounded up.
const CLOSE_CALLS: u64 = 12;

/// Injected faults of one case, each with the number of the call that it hits, from 0.
#[derive(Debug, Clone, Default)]
struct UsageFaults {
    /// Faults of the store calls of the host that counts usage.
    flush: Vec<(u64, StoreFault)>,
    /// Faults of the store calls of the host that reports the window.
    close: Vec<(u64, StoreFault)>,
    /// Fault of a report on its way to the platform.
    send: Option<(u64, SendFault)>,
}

/// Runs `work` of a host in a thread, because a fault may pause the process of the host. Returns whether the host is
/// still running at the end, neither killed nor frozen by a fault. A thread that has not ended is kept in
/// [`UsageHost::paused`].
fn run_until_stopped(host: &UsageHost, work: impl FnOnce() + Send + 'static) -> bool {
    let thread = std::thread::spawn(work);
    while !thread.is_finished() {
        if host.client.is_stopped() {
            host.paused.lock().unwrap().push(thread);
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
        keeper.update_window_plan();
        keeper.report_windows();
    })
}

/// Runs one case and returns the problems found. One host counts and flushes usage while a peer holds replicas of its
/// rows. Another host reports the window; if a fault stops that host, a third one takes over. At the end all paused
/// processes continue, and a last host reports the windows that are left.
fn run_with_faults(faults: &UsageFaults) -> Vec<String> {
    let fixture = UsageFixture::new();
    let peer = fixture.create_host("peer", &[], None);
    fixture.set_replica_receiver(&peer);
    let counting = fixture.create_host("counting", &faults.flush, None);
    let mut tokens = 0;
    for round in 0..8 {
        if round < 2 {
            counting.keeper.sink()(create_event(10 + round));
            tokens += 10 + round;
        }
        if !flush(&counting) {
            break;
        }
        fixture.advance(5);
    }
    fixture.advance(30);
    peer.keeper.flush_replicas();

    fixture.wall.store(FIRST_WINDOW + 400, Ordering::SeqCst);
    let first = fixture.create_host("first", &faults.close, faults.send);
    fixture.make_owner(&first, FIRST_WINDOW);
    for _ in 0..12 {
        if !report(&first) {
            break;
        }
    }
    if first.client.is_stopped() {
        let second = fixture.create_host("second", &[], None);
        fixture.make_owner(&second, FIRST_WINDOW);
        report(&second);
    }
    counting.resume();
    first.resume();
    for window in [FIRST_WINDOW, FIRST_WINDOW + 300, FIRST_WINDOW + 600] {
        fixture.wall.store(window + 400, Ordering::SeqCst);
        let last = fixture.create_host("last", &[], None);
        fixture.make_owner(&last, window);
        report(&last);
    }
    let mut problems = fixture.find_problems(tokens);
    if !fixture.store.scan("open_windows", "", "", 10).is_empty() {
        problems.push("a window is not reported".to_owned());
    }
    problems
}

/// Runs all cases in eight threads; returns their problems.
fn run_cases(cases: &[UsageFaults]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let problems = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    for problem in run_with_faults(case) {
                        problems.lock().unwrap().push(format!("{case:?}: {problem}"));
                    }
                }
            });
        }
    });
    problems.into_inner().unwrap()
}

/// Returns all lists that consist of one fault, for each kind of fault and each of the first `calls` calls.
fn list_single_faults(calls: u64) -> Vec<Vec<(u64, StoreFault)>> {
    let faults: Vec<StoreFault> = LIVE_FAULTS.into_iter().chain(FATAL_FAULTS).collect();
    (0..calls).flat_map(|call| faults.iter().map(move |fault| vec![(call, *fault)]).collect::<Vec<_>>()).collect()
}

/// Guards against usage that is lost, counted twice or reported with different contents. Any store call of the counting
/// host and any store call of the reporting host fails, alone or together; in other cases a report or its answer is
/// lost.
#[googletest::test]
fn windows_are_reported_once_with_faults() {
    let mut cases = vec![UsageFaults::default()];
    let flushes = std::iter::once(Vec::new()).chain(list_single_faults(FLUSH_CALLS));
    for flush in flushes {
        for close in std::iter::once(Vec::new()).chain(list_single_faults(CLOSE_CALLS)) {
            cases.push(UsageFaults { flush: flush.clone(), close, send: None });
        }
        for send in [SendFault::LostRequest, SendFault::LostAnswer] {
            cases.push(UsageFaults { flush: flush.clone(), close: Vec::new(), send: Some((0, send)) });
        }
    }
    let problems = run_cases(&cases);
    expect_that!(problems, is_empty());
}

/// Guards against an increment that is lost because its window is closed, or counted in two windows. The latter happens
/// if the host and the holder of the replica each count the late increment in another window.
#[googletest::test]
fn late_increment_counts_in_one_later_window() {
    let fixture = UsageFixture::new();
    let peer = fixture.create_host("peer", &[], None);
    fixture.set_replica_receiver(&peer);
    let counting = fixture.create_host("counting", &[(0, StoreFault::NotSent)], None);
    counting.keeper.sink()(create_event(10));
    let early = fixture.create_host("early", &[], None);
    early.keeper.sink()(create_event(5));
    early.keeper.flush(false);
    counting.keeper.flush(false);
    fixture.wall.store(FIRST_WINDOW + 400, Ordering::SeqCst);
    fixture.boot_ms.fetch_add(60_000, Ordering::SeqCst);
    fixture.make_owner(&early, FIRST_WINDOW);
    report(&early);
    peer.keeper.flush_replicas();
    fixture.wall.store(FIRST_WINDOW + 700, Ordering::SeqCst);
    fixture.make_owner(&early, FIRST_WINDOW + 300);
    report(&early);
    counting.keeper.flush(false);
    fixture.wall.store(FIRST_WINDOW + 1000, Ordering::SeqCst);
    fixture.make_owner(&early, FIRST_WINDOW + 600);
    report(&early);
    expect_that!(fixture.find_problems(15), is_empty());
    expect_that!(fixture.reports.lock().unwrap().len(), eq(2));
    let store = FaultyClient::new(&fixture.store, &[]).access();
    let first = window_usage(&store, FIRST_WINDOW).unwrap();
    expect_that!((first.state, first.increments, first.figures[0].tokens), eq((WindowState::Accepted, 1, 5)));
    let second = window_usage(&store, FIRST_WINDOW + 300).unwrap();
    expect_that!((second.state, second.increments, second.figures[0].tokens), eq((WindowState::Accepted, 1, 10)));
}

/// Guards against usage that is never reported after a store outage that lasted for several windows.
#[googletest::test]
fn outage_over_several_windows_is_made_up() {
    let fixture = UsageFixture::new();
    let outage: Vec<(u64, StoreFault)> = (0..60).map(|call| (call, StoreFault::LostRequest)).collect();
    let counting = fixture.create_host("counting", &outage, None);
    for round in 0..60 {
        counting.keeper.sink()(create_event(round));
        counting.keeper.flush(false);
        fixture.advance(20);
    }
    expect_that!(counting.keeper.is_flushed(), eq(false));
    counting.keeper.flush(false);
    expect_that!(counting.keeper.is_flushed(), eq(true));
    fixture.advance(400);
    let owner = fixture.create_host("owner", &[], None);
    let open: Vec<_> = fixture.store.scan("open_windows", "", "", 100);
    expect_that!(open.len(), eq(4));
    for row in open {
        fixture.make_owner(&owner, row.key.parse().unwrap());
    }
    report(&owner);
    report(&owner);
    expect_that!(fixture.find_problems((0..60).sum()), is_empty());
}
