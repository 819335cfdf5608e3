//! Leader lease, with a store in memory and hosts that pause, are cut from the store, miss its answers, and stop.

use camphorspring::duties::leader_lease::{LeaderLease, LeaseRow};
use googletest::prelude::*;
use proptest::prelude::*;

use crate::fleet::builders::at;

/// Alternation time of the tests in milliseconds.
const ALTERNATION_MS: u64 = 3000;

/// One host, with the times in milliseconds until which the host is paused and until which it is cut from the store.
struct LeaseHost {
    name: String,
    lease: LeaderLease,
    paused_until: u64,
    cut_until: u64,
}

/// Store that holds the lease row alone; `version` is 0 while there is none.
#[derive(Default)]
struct LeaseStore {
    row: Option<LeaseRow>,
    version: u64,
}

#[derive(Debug, Clone)]
enum Fault {
    Pause { host: usize, millis: u64 },
    Cut { host: usize, millis: u64 },
    Stop { host: usize },
    LoseAnswer,
}

fn fault_scripts() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        (0..3_usize, 100..9000_u64).prop_map(|(host, millis)| Fault::Pause { host, millis }),
        (0..3_usize, 100..9000_u64).prop_map(|(host, millis)| Fault::Cut { host, millis }),
        (0..3_usize).prop_map(|host| Fault::Stop { host }),
        Just(Fault::LoseAnswer),
    ];
    proptest::collection::vec((0..40_000_u64, fault), 0..12)
}

/// Simulates three hosts in steps of 50 ms with the faults of a script. Returns each time at which a host may act, with
/// the host and the fencing number.
fn simulate(script: &[(u64, Fault)]) -> Vec<(u64, usize, u64)> {
    let mut store = LeaseStore::default();
    let new_lease = |name: &str, incarnation: u64| LeaderLease::new(name, incarnation, at(ALTERNATION_MS));
    let mut hosts: Vec<LeaseHost> = (0..3)
        .map(|index| {
            let name = format!("h{index}");
            LeaseHost { lease: new_lease(&name, 1), name, paused_until: 0, cut_until: 0 }
        })
        .collect();
    let mut active_times = Vec::new();
    let mut lost_answers = 0;
    for now in (0..45_000_u64).step_by(50) {
        for (_, fault) in script.iter().filter(|(time, _)| (now..now + 50).contains(time)) {
            match fault {
                Fault::Pause { host, millis } => hosts[*host].paused_until = now + millis,
                Fault::Cut { host, millis } => hosts[*host].cut_until = now + millis,
                Fault::LoseAnswer => lost_answers += 1,
                Fault::Stop { host } => {
                    let host = &mut hosts[*host];
                    let release = host.lease.release(now).filter(|_| now >= host.cut_until);
                    if let Some(write) = release.filter(|write| write.version == store.version) {
                        store.version += 1;
                        store.row = Some(write.row);
                    }
                    host.lease = new_lease(&host.name, now + 2);
                    host.paused_until = now + 500;
                }
            }
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            if now < host.paused_until {
                continue;
            }
            if now >= host.cut_until {
                let row = store.row.clone().map(|row| (row, store.version));
                host.lease.record_row(row, at(now));
                if let Some(write) = host.lease.begin_due_write(at(now), now) {
                    let is_applied = write.version == store.version;
                    if is_applied {
                        store.version += 1;
                        store.row = Some(write.row.clone());
                    }
                    if is_applied && lost_answers == 0 {
                        host.lease.record_written(write.row, store.version, at(now));
                    } else {
                        lost_answers = usize::saturating_sub(lost_answers, 1);
                        host.lease.record_failed(at(now));
                    }
                }
            }
            if let Some(fence) = host.lease.fence(at(now)) {
                active_times.push((now, index, fence));
            }
        }
    }
    active_times
}

/// Finds what receivers treat as a violation even when they do not check fencing numbers: a fencing number that does
/// not increase with the holder, and two holders that alternate within the alternation time.
fn find_violations(active_times: &[(u64, usize, u64)]) -> Vec<String> {
    let mut found = Vec::new();
    // Host, fencing number, first and last time of each tenure.
    let mut tenures: Vec<(usize, u64, u64, u64)> = Vec::new();
    for (time, host, fence) in active_times {
        match tenures.last_mut() {
            Some(last) if last.0 == *host && last.1 == *fence => last.3 = *time,
            Some(last) if *fence <= last.1 => found.push(format!("fence {fence} of {host} after {last:?}")),
            _ => tenures.push((*host, *fence, *time, *time)),
        }
    }
    for window in tenures.windows(3) {
        let (first, other, again) = (&window[0], &window[1], &window[2]);
        if first.0 == again.0 && other.0 != first.0 && again.2 < first.3 + ALTERNATION_MS {
            found.push(format!("holders alternate {window:?}"));
        }
    }
    found
}

/// Guards against a lease that no host holds, and against a holder that changes, while nothing fails.
#[gtest]
fn one_host_holds_the_lease_while_nothing_fails() {
    let active_times = simulate(&[]);
    let first = active_times[0];
    expect_that!(first.0, le(200));
    expect_that!(active_times.iter().all(|active| active.1 == first.1 && active.2 == 1), eq(true));
    expect_that!(active_times.len(), gt(880));
}

/// Guards against leader tasks that stop for long after the holder died.
#[gtest]
fn lease_of_a_dead_holder_is_taken_over() {
    let holder = simulate(&[])[0].1;
    let active_times = simulate(&[(10_000, Fault::Pause { host: holder, millis: 60_000 })]);
    let next = active_times.iter().find(|active| active.1 != holder).expect("another host takes over");
    // Lower bound: the calls of the former holder have ended. Upper bound: the lease expires one alternation time and a
    // margin after the last renewal.
    expect_that!(next.0, all!(gt(10_000 + ALTERNATION_MS / 3), lt(10_000 + ALTERNATION_MS + 500)));
}

/// Guards against a holder whose lease expired in a cut and that follows its successor at once when that one stops, so that
/// the two act in turns within the alternation time.
#[gtest]
fn expired_holder_does_not_follow_its_successor_at_once() {
    let holder = simulate(&[])[0].1;
    let cut = (10_000, Fault::Cut { host: holder, millis: 3_600 });
    let before = simulate(std::slice::from_ref(&cut));
    let (taken_at, successor, _) =
        *before.iter().find(|active| active.1 != holder).expect("another host takes the lease over");
    for delay in (400..2_500).step_by(300) {
        let stop = (taken_at + delay, Fault::Stop { host: successor });
        let active_times = simulate(&[cut.clone(), stop]);
        let last = active_times.iter().rfind(|active| active.1 == holder && active.0 < taken_at);
        let again = active_times.iter().find(|active| active.1 == holder && active.0 > taken_at);
        let (Some(last), Some(again)) = (last, again) else { continue };
        // The last call may take a third of the alternation time.
        expect_that!(
            again.0 - last.0,
            gt(ALTERNATION_MS + ALTERNATION_MS / 3),
            "stopped {delay} ms after the takeover"
        );
    }
}

/// Guards against leader tasks that wait for the lease to expire after a planned stop of the holder.
#[gtest]
fn released_lease_is_taken_at_once() {
    let holder = simulate(&[])[0].1;
    let active_times = simulate(&[(10_000, Fault::Stop { host: holder })]);
    let next = active_times.iter().find(|active| active.1 != holder).expect("another host takes over");
    expect_that!(next.0, lt(10_300));
}

/// Guards against leader tasks that stop until the lease expires after all hosts lost power, although the machine that
/// held the lease is back.
#[gtest]
fn same_machine_retakes_its_lease_at_once() {
    let mut first = LeaderLease::new("h1", 1, at(ALTERNATION_MS));
    first.record_row(None, at(0));
    let write = first.begin_due_write(at(0), 0).expect("the lease is free");
    let mut again = LeaderLease::new("h1", 2, at(ALTERNATION_MS));
    again.record_row(Some((write.row.clone(), 1)), at(1000));
    let retaken = again.begin_due_write(at(1000), 1000).expect("the machine held it");
    expect_that!((write.row.fence, retaken.row.fence), eq((1, 2)));
    let mut other = LeaderLease::new("h2", 1, at(ALTERNATION_MS));
    other.record_row(Some((write.row, 1)), at(1000));
    expect_that!(other.begin_due_write(at(1000), 1000), none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against two holders that alternate within the alternation time, and against a new holder whose fencing
    /// number is not higher, after any series of pauses, cuts, planned stops and lost answers.
    #[test]
    fn holders_never_alternate(script in fault_scripts()) {
        let found = find_violations(&simulate(&script));
        prop_assert!(found.is_empty(), "{found:?}");
    }
}
