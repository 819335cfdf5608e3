//! The plan of a shard and the discovery of open shards, tested without I/O.

use std::time::Duration;

use camphorspring::generated::caller_messages::SampleRecord;
use camphorspring::result_code::ResultCode;
use camphorspring::samples::shard_discovery::{DiscoveryAction, MAX_SHARDS_PER_HOST, OpenShard, OwnershipRequests};
use camphorspring::samples::shard_plan::{
    BatchGroup, GroupResult, GroupSpec, PlanAction, PlanLimits, SamplePosition, ShardPlan,
};
use camphorspring::samples::step_rows::StepShard;
use googletest::prelude::*;
use proptest::prelude::{prop_assert, prop_assert_eq};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CONCURRENCY: usize = 8;

fn new_plan(groups: u32, samples: u32) -> ShardPlan {
    let spec = |number: u32| GroupSpec {
        group: format!("g{number}"),
        prompt: String::new(),
        samples,
        max_tokens: 10 + number % 3,
    };
    let limits = PlanLimits { concurrency: CONCURRENCY, flush_timeout: Duration::from_secs(5) };
    ShardPlan::new((0..groups).map(spec).collect(), &[], limits)
}

fn new_record(sample_position: SamplePosition, run_id: u64) -> SampleRecord {
    SampleRecord {
        sample_id: format!("{}/{}", sample_position.group, sample_position.index),
        group: format!("g{}", sample_position.group),
        index: sample_position.index,
        text: run_id.to_string(),
        tokens: 1,
        score: 0.0,
        weight_versions: Vec::new(),
    }
}

fn list_started_runs(actions: &[PlanAction]) -> Vec<(u64, SamplePosition)> {
    let start = |action: &PlanAction| match *action {
        PlanAction::Start { run_id, sample_position } => Some((run_id, sample_position)),
        PlanAction::Cancel { .. } => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Guards against plans that exceed the concurrency limit, lose or repeat a sample, or make batches that are too large,
/// when runs fail and finish in any order.
#[googletest::test]
fn plan_finishes_each_sample_once() {
    let seed = 41_u64;
    println!("seed {seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(Config { cases: 60, ..Config::default() }, rng);
    let choices = proptest::collection::vec((0_usize..CONCURRENCY, 0_u8..8), 400);
    let result = runner.run(&(1_u32..20, 1_u32..30, choices), |(groups, samples, choices)| {
        let mut plan = new_plan(groups, samples);
        let mut running: Vec<(u64, SamplePosition)> = Vec::new();
        let mut batches: Vec<BatchGroup> = Vec::new();
        let mut written = Vec::new();
        let mut now = Duration::ZERO;
        let mut choices = choices.into_iter().cycle();
        while !plan.is_complete() {
            now += Duration::from_millis(200);
            running.extend(list_started_runs(&plan.start_runs(now)));
            prop_assert!(running.len() <= CONCURRENCY);
            let (position, outcome) = choices.next().unwrap();
            if !running.is_empty() {
                let (run_id, sample_position) = running.remove(position % running.len());
                let result =
                    if outcome == 0 { Err(ResultCode::TargetFailed) } else { Ok(new_record(sample_position, run_id)) };
                for action in plan.handle_result(run_id, result, now) {
                    running.retain(|(other, _)| action != PlanAction::Cancel { run_id: *other });
                }
            }
            if let Some(batch) = plan.take_batch(now) {
                let size: usize = batch.iter().map(|group| group.result.samples()).sum();
                prop_assert!(size <= 64 || batch.len() == 1);
                written.extend(batch.iter().map(|group| group.group));
                plan.set_written_groups(&written);
                batches.extend(batch);
            }
        }
        let samples_of = |group: &BatchGroup| match &group.result {
            GroupResult::Samples(samples) => samples.iter().map(|sample| sample.sample_id.clone()).collect(),
            GroupResult::Failed(_) => Vec::new(),
        };
        let mut ids: Vec<String> = batches.iter().flat_map(samples_of).collect();
        ids.sort_unstable();
        ids.dedup();
        prop_assert_eq!(ids.len(), (groups * samples) as usize);
        prop_assert_eq!(batches.len(), groups as usize);
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// Guards against a step that waits for one slow engine: the last unfinished sample gets a hedged run, the first
/// complete result counts, and the other run is cancelled.
#[googletest::test]
fn straggler_gets_a_hedged_run() {
    let mut plan = new_plan(20, 1);
    let mut now = Duration::ZERO;
    let mut held = None;
    let mut done = 0;
    while done < 19 {
        now += Duration::from_millis(100);
        for (run_id, sample_position) in list_started_runs(&plan.start_runs(now)) {
            if held.is_none() {
                held = Some((run_id, sample_position));
                continue;
            }
            done += 1;
            plan.handle_result(run_id, Ok(new_record(sample_position, run_id)), now + Duration::from_secs(1));
        }
    }
    let (first, sample_position) = held.unwrap();
    expect_that!(list_started_runs(&plan.start_runs(now)), is_empty());
    now += Duration::from_mins(1);
    let second = list_started_runs(&plan.start_runs(now));
    expect_that!(
        second.iter().map(|(_, sample_position)| *sample_position).collect::<Vec<_>>(),
        eq(&vec![sample_position])
    );
    let cancelled = plan.handle_result(second[0].0, Ok(new_record(sample_position, second[0].0)), now);
    expect_that!(cancelled, eq(&vec![PlanAction::Cancel { run_id: first }]));
    expect_that!(plan.handle_result(first, Ok(new_record(sample_position, first)), now), is_empty());
}

/// Guards against a step that stays incomplete because one of its groups is refused permanently.
#[googletest::test]
fn refused_group_is_finished_as_failed() {
    let mut plan = new_plan(1, 3);
    let runs = list_started_runs(&plan.start_runs(Duration::ZERO));
    let cancelled = plan.handle_result(runs[0].0, Err(ResultCode::Quarantined), Duration::ZERO);
    expect_that!(cancelled.len(), eq(2));
    let batch = plan.take_batch(Duration::ZERO).unwrap();
    // 1204 is the number of `ResultCode::Quarantined`.
    expect_that!(matches!(&batch[0].result, GroupResult::Failed(failed) if failed.code == 1204), eq(true));
}

/// Guards against free shards that no host requests. Ten hosts see 64 free shards; the first host that requests a shard
/// becomes the owner. The request ends at once, so that hosts do not reach the limit of their requests here.
#[googletest::test]
fn hosts_share_free_shards() {
    let hosts: Vec<String> = (0..10).map(|number| format!("host-{number}")).collect();
    let mut host_requests = vec![OwnershipRequests::default(); hosts.len()];
    let name = |shard| StepShard { trainer: "t".to_owned(), step: 1, shard };
    let mut owners: Vec<Option<usize>> = vec![None; 64];
    let mut granted = 0;
    for round in 0..60_u64 {
        let now = Duration::from_secs(2 * round);
        for (host, host_name) in hosts.iter().enumerate() {
            let is_not_own = |shard: &u32| owners[*shard as usize].is_none_or(|owner| owner != host);
            let open: Vec<OpenShard> = (0..64)
                .filter(is_not_own)
                .map(|shard| OpenShard { name: name(shard), has_other_owner: owners[shard as usize].is_some() })
                .collect();
            host_requests[host].advance(|_| false, now);
            for action in host_requests[host].request_open_shards(host_name, &hosts, &open, now) {
                let DiscoveryAction::Request(shard) = action else { continue };
                let owner = &mut owners[shard.shard as usize];
                granted += usize::from(owner.is_none());
                if owner.is_none() {
                    *owner = Some(host);
                    let _ = host_requests[host].record_runner_end(&shard, true, now);
                }
            }
            let non_standby_requests =
                host_requests[host].requests().iter().filter(|request| !request.is_standby).count();
            expect_that!(non_standby_requests, le(MAX_SHARDS_PER_HOST));
        }
    }
    expect_that!(owners.iter().filter(|owner| owner.is_none()).count(), eq(0));
    expect_that!(granted, eq(64));
}
