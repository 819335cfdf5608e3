//! Steps under store faults: each sample is delivered once, with the weight versions that the engine reported for it.

mod plain_grading;
mod platform_step;
mod shard_rules;
mod step_harness;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use camphorspring::generated::platform_messages::TableRow;
use camphorspring::result_code::ResultCode;
use camphorspring::samples::shard_runner::{ShardOutcome, run_shard};
use camphorspring::samples::step_rows::ManifestRow;
use googletest::prelude::*;

use crate::memory_store::{FATAL_FAULTS, FaultyClient, LIVE_FAULTS, StoreFault};
use step_harness::{StepHarness, TestOwner, request_batch, wait_for};

/// Faults of one client, each with the index of the store call that it hits, from 0.
type CallFaults = Vec<(u64, StoreFault)>;

/// Upper bound of the store calls that an owner makes without faults. A test has a case for each call number below it.
const OWNER_CALLS: u64 = 18;

/// Upper bound of the store calls that reading a step takes without faults. A test has a case for each call number
/// below it.
const TRAINER_CALLS: u64 = 24;

fn run_shard_in_thread(harness: &StepHarness, owner: &TestOwner) -> std::thread::JoinHandle<ShardOutcome> {
    let (context, name) = (owner.context.clone(), harness.shard(0));
    std::thread::spawn(move || run_shard(&context, &name))
}

/// Runs a step of four groups and returns the problems found. The first owner has `owner_faults`; when it dies or
/// freezes, a second owner finishes the shard, and then a frozen first owner continues. The trainer's host has
/// `trainer_faults`.
fn run_step(owner_faults: &[(u64, StoreFault)], trainer_faults: &[(u64, StoreFault)]) -> Vec<String> {
    let harness = StepHarness::new(4, 2);
    let clean = FaultyClient::new(&harness.store, &[]).access();
    harness.submit(&clean).unwrap();
    let first = harness.take_over("host-a", 0, owner_faults);
    let first_run = run_shard_in_thread(&harness, &first);
    let has_ended = wait_for(|| first_run.is_finished() || first.client.is_stopped());
    if !has_ended {
        return vec!["the first owner neither finished nor stopped".to_owned()];
    }
    if first.client.is_stopped() {
        let second = harness.take_over("host-b", 0, &[]);
        let second_run = run_shard_in_thread(&harness, &second);
        if !wait_for(|| second_run.is_finished()) {
            return vec!["the second owner did not finish".to_owned()];
        }
        first.client.thaw();
    }
    if !wait_for(|| first_run.is_finished() || first.client.is_stopped()) {
        return vec!["the first owner goes on after its takeover".to_owned()];
    }
    first.client.thaw();
    first.revoke_ownership();
    match harness.read_step(trainer_faults) {
        Ok(batches) => {
            let mut problems = harness.find_problems(&batches);
            let repeated = harness.read_step(&[]);
            if repeated.as_ref() != Ok(&batches) {
                problems.push("the same cursors gave other bytes".to_owned());
            }
            problems
        }
        Err(problem) => vec![problem],
    }
}

/// Runs all cases, eight at a time, and returns the problems found.
fn run_cases(cases: &[(CallFaults, CallFaults)]) -> Vec<String> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let problems = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some((owner, trainer)) = cases.get(next.fetch_add(1, Ordering::SeqCst)) {
                    for problem in run_step(owner, trainer) {
                        problems.lock().unwrap().push(format!("owner {owner:?} trainer {trainer:?}: {problem}"));
                    }
                }
            });
        }
    });
    problems.into_inner().unwrap()
}

fn list_all_faults() -> Vec<StoreFault> {
    LIVE_FAULTS.into_iter().chain(FATAL_FAULTS).collect()
}

fn list_single_faults(calls: u64) -> Vec<CallFaults> {
    let faults = list_all_faults();
    (0..calls).flat_map(|call| faults.iter().map(move |fault| vec![(call, *fault)]).collect::<Vec<_>>()).collect()
}

/// Guards against lost or repeated samples when one store call of the owner or of the trainer's host fails. Each call
/// is hit by each [`StoreFault`], also by those that kill or freeze the process at that call.
#[googletest::test]
fn each_sample_is_delivered_once_with_one_fault() {
    let mut cases = vec![(Vec::new(), Vec::new())];
    cases.extend(list_single_faults(OWNER_CALLS).into_iter().map(|faults| (faults, Vec::new())));
    cases.extend(list_single_faults(TRAINER_CALLS).into_iter().map(|faults| (Vec::new(), faults)));
    let problems = run_cases(&cases);
    expect_that!(problems, is_empty());
}

/// Guards against lost or repeated samples when the handling of one fault breaks the handling of another. An owner
/// survives one fault and is then killed or frozen, or a fault of the owner meets a fault of the trainer's host.
#[googletest::test]
fn each_sample_is_delivered_once_with_two_faults() {
    let mut cases = Vec::new();
    for first in 0..OWNER_CALLS {
        for second in first + 1..OWNER_CALLS {
            for fault in LIVE_FAULTS {
                for fatal in [StoreFault::KilledAfter, StoreFault::Frozen] {
                    cases.push((vec![(first, fault), (second, fatal)], Vec::new()));
                }
            }
        }
    }
    for owner in list_single_faults(OWNER_CALLS).into_iter().step_by(5) {
        for trainer in list_single_faults(TRAINER_CALLS).into_iter().step_by(7) {
            cases.push((owner.clone(), trainer));
        }
    }
    let problems = run_cases(&cases);
    expect_that!(problems, is_empty());
}

/// Guards against a submission that is accepted twice, or refused although it was accepted, when a store call fails. A
/// frozen submitter is left out, since the test would wait for it.
#[googletest::test]
fn submission_settles_with_one_fault() {
    let is_not_frozen = |faults: &CallFaults| faults[0].1 != StoreFault::Frozen;
    let problems = std::thread::scope(|scope| {
        let cases = list_single_faults(4).into_iter().filter(is_not_frozen);
        let runs: Vec<_> = cases.map(|faults| scope.spawn(move || submit_with_faults(&faults))).collect();
        runs.into_iter().flat_map(|run| run.join().unwrap()).collect::<Vec<String>>()
    });
    expect_that!(problems, is_empty());
}

fn submit_with_faults(faults: &[(u64, StoreFault)]) -> Vec<String> {
    let harness = StepHarness::new(2, 2);
    let client = FaultyClient::new(&harness.store, faults);
    let first = harness.submit(&client.access());
    let second = harness.submit(&FaultyClient::new(&harness.store, &[]).access());
    let open_shards = harness.store.scan("open_shards", "", "", 10).len();
    let is_first_as_expected = first.is_ok() || client.is_stopped();
    if is_first_as_expected && second.is_ok() && open_shards == 1 {
        return Vec::new();
    }
    vec![format!("{faults:?}: {first:?} {second:?}, {open_shards} open shards")]
}

/// Guards against a step that is accepted with two contents, and against batches for a step or a cursor that does not
/// exist. A second organisation is not tested here.
#[googletest::test]
fn step_belongs_to_its_content_and_organisation() {
    let mut harness = StepHarness::new(2, 2);
    let access = FaultyClient::new(&harness.store, &[]).access();
    harness.submit(&access).unwrap();
    expect_that!(harness.submit(&access), ok(anything()));
    harness.request.max_tokens += 1;
    expect_that!(harness.submit(&access), err(eq(ResultCode::ClaimMismatch)));
    expect_that!(request_batch(&access, 99, "").map(|_| ()), err(eq(ResultCode::NotFound)));
    expect_that!(request_batch(&access, 7, "000003").map(|_| ()), err(eq(ResultCode::BadRequest)));
}

/// Guards against two requests with one cursor that deliver two batches: four trainers read one step at the same time.
#[googletest::test]
fn racing_trainers_read_the_same_bytes() {
    let harness = Arc::new(StepHarness::new(12, 2));
    harness.submit(&FaultyClient::new(&harness.store, &[]).access()).unwrap();
    let owner = harness.take_over("host-a", 0, &[]);
    let run = run_shard_in_thread(&harness, &owner);
    let start_reader = || {
        let harness = harness.clone();
        std::thread::spawn(move || harness.read_step(&[]))
    };
    wait_for(|| run.is_finished());
    let readers: Vec<_> = (0..4).map(|_| start_reader()).collect();
    let results: Vec<_> = readers.into_iter().map(|reader| reader.join().unwrap().unwrap()).collect();
    expect_that!(results.iter().all(|result| *result == results[0]), eq(true));
    expect_that!(harness.find_problems(&results[0]), is_empty());
}

/// Guards against samples that are older than the staleness bound at their first delivery. A version is released after
/// the samples were generated, so their batches must become stale and their groups must be generated again.
#[googletest::test]
fn stale_batches_are_generated_again() {
    let harness = StepHarness::new(4, 2);
    let access = FaultyClient::new(&harness.store, &[]).access();
    harness.submit(&access).unwrap();
    harness.engine.version.store(1, Ordering::SeqCst);
    harness.store.set("weights", "scoring", r#"{"version":1}"#);
    let owner = harness.take_over("host-a", 0, &[]);
    expect_that!(run_shard(&owner.context, &harness.shard(0)), eq(ShardOutcome::Complete));
    let first = request_batch(&access, 7, "").unwrap();
    harness.engine.version.store(9, Ordering::SeqCst);
    harness.store.set("weights", "scoring", r#"{"version":9}"#);
    let second = request_batch(&access, 7, "000001").unwrap();
    expect_that!(String::from_utf8_lossy(&second).contains("\"samples\":[]"), eq(true));
    expect_that!(request_batch(&access, 7, "").unwrap(), eq(&first));
    expect_that!(harness.store.scan("open_shards", "", "", 10).len(), eq(1));
    let owner = harness.take_over("host-b", 0, &[]);
    expect_that!(run_shard(&owner.context, &harness.shard(0)), eq(ShardOutcome::Complete));
    let batches = harness.read_step(&[]).unwrap();
    expect_that!(harness.find_problems(&batches), is_empty());
    let newer = batches[1..].iter().all(|batch| String::from_utf8_lossy(batch).contains("\"version\":9"));
    expect_that!(newer, eq(true));
}

/// Guards against a shard that is closed while groups of a stale batch are missing. The owner is frozen at one of its
/// store calls, and a trainer's request marks batches as stale in the meantime; each case freezes another call.
#[googletest::test]
fn batches_that_become_stale_under_a_running_owner_are_generated_again() {
    let problems = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..OWNER_CALLS).map(|call| scope.spawn(move || release_weights_during_run(call))).collect();
        runs.into_iter().flat_map(|run| run.join().unwrap()).collect::<Vec<String>>()
    });
    expect_that!(problems, is_empty());
}

fn release_weights_during_run(call: u64) -> Vec<String> {
    let harness = StepHarness::new(4, 2);
    let access = FaultyClient::new(&harness.store, &[]).access();
    harness.submit(&access).unwrap();
    harness.store.set("weights", "scoring", r#"{"version":1}"#);
    harness.engine.version.store(1, Ordering::SeqCst);
    let owner = harness.take_over("host-a", 0, &[(call, StoreFault::Frozen)]);
    let run = run_shard_in_thread(&harness, &owner);
    wait_for(|| run.is_finished() || owner.client.is_stopped());
    harness.engine.version.store(9, Ordering::SeqCst);
    harness.store.set("weights", "scoring", r#"{"version":9}"#);
    let marking_result = request_batch(&access, 7, "").map(|_| ());
    owner.client.thaw();
    wait_for(|| run.is_finished());
    let mut result = harness.read_step(&[]);
    // After the release of version 9 the first owner may still write samples of version 1. Reading the step marks their
    // batches as stale, and another owner must generate the groups again.
    while result.is_err() && !harness.store.scan("open_shards", "", "", 10).is_empty() {
        let _ = run_shard(&harness.take_over("host-b", 0, &[]).context, &harness.shard(0));
        result = harness.read_step(&[]);
    }
    match result {
        Ok(batches) if contains_version(&batches, 1) => vec![format!("call {call}: a stale sample was delivered")],
        Ok(batches) => harness.find_problems(&batches),
        Err(problem) => vec![format!("call {call} {marking_result:?}: {problem}")],
    }
}

fn contains_version(batches: &[Vec<u8>], version: u64) -> bool {
    let stamp = format!("\"version\":{version}");
    batches.iter().any(|batch| String::from_utf8_lossy(batch).contains(&stamp))
}

/// Guards against a release between the staleness check and the delivery of a batch. The trainer's host is frozen at
/// one of its store calls while a version beyond the staleness bound is released; each case freezes another call.
#[googletest::test]
fn release_during_a_delivery_makes_the_batch_stale() {
    for call in 0..8 {
        let harness = StepHarness::new(1, 2);
        let access = FaultyClient::new(&harness.store, &[]).access();
        harness.submit(&access).unwrap();
        harness.engine.version.store(1, Ordering::SeqCst);
        let owner = harness.take_over("host-a", 0, &[]);
        expect_that!(run_shard(&owner.context, &harness.shard(0)), eq(ShardOutcome::Complete));
        let client = FaultyClient::new(&harness.store, &[(call, StoreFault::Frozen)]);
        let delivering = client.access();
        let delivery = std::thread::spawn(move || request_batch(&delivering, 7, ""));
        wait_for(|| delivery.is_finished() || client.is_stopped());
        let is_delivered = delivery.is_finished();
        harness.store.set("weights", "scoring", r#"{"version":9}"#);
        client.thaw();
        let batch = delivery.join().unwrap().unwrap();
        expect_that!(contains_version(&[batch], 1), eq(is_delivered), "call {call}");
    }
}

/// Guards against groups that are written twice by two runners of a shard under one epoch. A host has two when a lease
/// that seemed lost is renewed. Each runner is frozen at one of its store calls: the second starts while the first is
/// frozen, then the first continues, then the second. Every third pair of calls is tested.
#[googletest::test]
fn two_runs_under_one_epoch_write_each_group_once() {
    let problems = std::thread::scope(|scope| {
        let cases = (0..OWNER_CALLS).flat_map(|first| (0..OWNER_CALLS).map(move |second| (first, second)));
        let cases = cases.filter(|(first, second)| (first * OWNER_CALLS + second).is_multiple_of(3));
        let runs: Vec<_> = cases.map(|(first, second)| scope.spawn(move || run_two_runners(first, second))).collect();
        runs.into_iter().flat_map(|run| run.join().unwrap()).collect::<Vec<String>>()
    });
    expect_that!(problems, is_empty());
}

fn run_two_runners(first_call: u64, second_call: u64) -> Vec<String> {
    let harness = StepHarness::new(4, 2);
    harness.submit(&FaultyClient::new(&harness.store, &[]).access()).unwrap();
    let first = harness.take_over("host-a", 0, &[(first_call, StoreFault::Frozen)]);
    let second = harness.new_owner_in_epoch("host-a", 0, &[(second_call, StoreFault::Frozen)]);
    let first_run = run_shard_in_thread(&harness, &first);
    wait_for(|| first_run.is_finished() || first.client.is_stopped());
    let second_run = run_shard_in_thread(&harness, &second);
    wait_for(|| second_run.is_finished() || second.client.is_stopped());
    first.client.thaw();
    wait_for(|| first_run.is_finished());
    second.client.thaw();
    wait_for(|| second_run.is_finished());
    let problems =
        harness.read_step(&[]).map_or_else(|problem| vec![problem], |batches| harness.find_problems(&batches));
    problems.into_iter().map(|problem| format!("calls {first_call} and {second_call}: {problem}")).collect()
}

/// Guards against a shard that is closed although one of its batches became stale after the owner read the manifest.
/// The engine holds back the last group until the batches of all other groups are stale.
#[googletest::test]
fn owner_notices_stale_batches_before_it_closes_the_shard() {
    let harness = StepHarness::new(4, 2);
    let access = FaultyClient::new(&harness.store, &[]).access();
    harness.submit(&access).unwrap();
    harness.engine.version.store(1, Ordering::SeqCst);
    *harness.engine.blocked_prompt.lock().unwrap() = Some("prompt 0".to_owned());
    let owner = harness.take_over("host-a", 0, &[]);
    let run = run_shard_in_thread(&harness, &owner);
    let ready_rows = || harness.store.scan("ready", "", "", 10);
    wait_for(|| count_groups(&ready_rows()) == 3);
    harness.store.set("weights", "scoring", r#"{"version":9}"#);
    harness.engine.version.store(9, Ordering::SeqCst);
    expect_that!(request_batch(&access, 7, ""), ok(anything()));
    expect_that!(ready_rows(), is_empty());
    *harness.engine.blocked_prompt.lock().unwrap() = None;
    wait_for(|| run.is_finished());
    expect_that!(run.join().unwrap(), eq(ShardOutcome::Complete));
    let batches = harness.read_step(&[]).unwrap();
    expect_that!(harness.find_problems(&batches), is_empty());
    expect_that!(contains_version(&batches, 1), eq(false));
}

fn count_groups(rows: &[TableRow]) -> usize {
    rows.iter().map(|row| serde_json::from_str::<ManifestRow>(&row.value).unwrap().groups.len()).sum()
}

/// Guards against a fenced owner that writes batches. The owner is frozen at one of its store calls and continues after
/// another host has become the owner but has written nothing; each case freezes another call.
#[googletest::test]
fn fenced_owner_writes_nothing() {
    let problems = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..OWNER_CALLS).map(|call| scope.spawn(move || wake_fenced_owner(call))).collect();
        runs.into_iter().flat_map(|run| run.join().unwrap()).collect::<Vec<String>>()
    });
    expect_that!(problems, is_empty());
}

fn wake_fenced_owner(call: u64) -> Vec<String> {
    let harness = StepHarness::new(4, 2);
    harness.submit(&FaultyClient::new(&harness.store, &[]).access()).unwrap();
    let owner = harness.take_over("host-a", 0, &[(call, StoreFault::Frozen)]);
    let run = run_shard_in_thread(&harness, &owner);
    wait_for(|| run.is_finished() || owner.client.is_stopped());
    if run.is_finished() {
        return Vec::new();
    }
    let before = harness.store.scan("manifest", "", "", 100);
    let _ = harness.take_over("host-b", 0, &[]);
    owner.client.thaw();
    wait_for(|| run.is_finished());
    let after = harness.store.scan("manifest", "", "", 100);
    let outcome = run.join().unwrap();
    // If all groups were in the manifest when the owner froze, it has nothing left to write and may end as complete.
    let has_all = count_groups(&before) == 4;
    if after == before && (outcome == ShardOutcome::Fenced || has_all) {
        return Vec::new();
    }
    vec![format!("call {call}: {} rows, then {}, ended {outcome:?}", before.len(), after.len())]
}

/// Guards against one cursor that delivers different batches on two hosts. One host handles the request while only
/// shard 1 has a ready batch, and is frozen at one of its store calls. It continues after shard 0, which is first in
/// key order, has a batch too and another host has delivered for the same cursor.
#[googletest::test]
fn one_cursor_names_one_batch_on_two_hosts() {
    for call in 0..8 {
        let harness = StepHarness::new(9, 32);
        let access = FaultyClient::new(&harness.store, &[]).access();
        harness.submit(&access).unwrap();
        let owner = harness.take_over("host-a", 1, &[]);
        expect_that!(run_shard(&owner.context, &harness.shard(1)), eq(ShardOutcome::Complete));
        let client = FaultyClient::new(&harness.store, &[(call, StoreFault::Frozen)]);
        let delivering = client.access();
        let delivery = std::thread::spawn(move || request_batch(&delivering, 7, ""));
        wait_for(|| delivery.is_finished() || client.is_stopped());
        let owner = harness.take_over("host-b", 0, &[]);
        expect_that!(run_shard(&owner.context, &harness.shard(0)), eq(ShardOutcome::Complete));
        let second = request_batch(&access, 7, "").unwrap();
        client.thaw();
        let first = delivery.join().unwrap().unwrap();
        let is_empty_batch = String::from_utf8_lossy(&first).contains("\"samples\":[]");
        expect_that!(first == second || is_empty_batch, eq(true), "call {call}");
        let batches = harness.read_step(&[]).unwrap();
        expect_that!(harness.find_problems(&batches), is_empty(), "call {call}");
    }
}
