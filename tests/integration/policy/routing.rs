//! Tests of dispatch shards and their coordinators, the choice of targets and domains, and the prefix index.

use std::time::Duration;

use camphorspring::policy::domain_choice::{DomainOption, order_domains};
use camphorspring::policy::prefix_index::{CACHE_EVENT_LAG, PrefixIndex};
use camphorspring::policy::shard_map::{assign_shards, choose_member, shard_count, shard_of_prefix};
use camphorspring::policy::target_choice::{TargetCandidate, TargetRequirements, choose_target};
use camphorspring::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;

fn numbered_names(range: std::ops::Range<usize>) -> Vec<String> {
    range.map(|index| format!("target-{index:05}")).collect()
}

fn shards_of(targets: &[String]) -> Vec<ShardIndex> {
    let names: Vec<&str> = targets.iter().map(String::as_str).collect();
    assign_shards(&names)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against shards above their largest size, and against an assignment that depends on the order of the
    /// targets.
    #[test]
    fn shards_are_bounded_and_order_free(count in 1_usize..1200, rotation in 0_usize..1200) {
        let targets = numbered_names(0..count);
        let shards = shards_of(&targets);
        let mut sizes = vec![0; shard_count(count)];
        for shard in &shards {
            sizes[*shard as usize] += 1;
        }
        prop_assert!(sizes.iter().all(|size| *size <= SHARD_TARGETS));
        let mut rotated = targets.clone();
        rotated.rotate_left(rotation % count);
        let mut other = shards_of(&rotated);
        other.rotate_right(rotation % count);
        prop_assert_eq!(shards, other);
    }

    /// Guards against an assignment in which one more target changes the shard of many others.
    #[test]
    fn new_target_moves_few(count in 100_usize..1150) {
        let before = shards_of(&numbered_names(0..count));
        let after = shards_of(&numbered_names(0..count + 1));
        let moved = (0..count).filter(|position| before[*position] != after[*position]).count();
        // A new shard takes its share of the targets from the others. Without a new shard, a full shard passes one
        // target on to the next choice of that target, which can be full as well.
        let shards = shard_count(count + 1);
        let allowed = if shards == shard_count(count) { 8 } else { 3 * count / shards };
        prop_assert!(moved <= allowed, "{moved} of {count} moved");
    }

    /// Guards against the loss of a host that changes the coordinator of shards that another host coordinates.
    #[test]
    fn lost_host_moves_only_its_shards(hosts in 2_usize..40, lost_index in 0_usize..40) {
        let names = numbered_names(0..hosts);
        let lost_host = &names[lost_index % hosts];
        for shard in 0..50 {
            let key = format!("scoring/north/{shard}");
            let before = choose_member(&key, names.iter().map(String::as_str));
            let after = choose_member(&key, names.iter().map(String::as_str).filter(|name| name != lost_host));
            prop_assert!(before == Some(lost_host.as_str()) || before == after);
        }
    }

    /// Guards against a prefix that moves to another shard than the new one when a shard is added.
    #[test]
    fn prefix_shards_are_stable(hash: u64, count in 1_usize..60) {
        let before = shard_of_prefix(hash, count);
        let after = shard_of_prefix(hash, count + 1);
        prop_assert!((before as usize) < count);
        prop_assert!(after == before || after as usize == count);
    }

    /// Guards against the choice of a target that is full, out of rotation or excluded, has a too old weight version,
    /// or is cheap for a request that needs a firm one. Also guards against choosing none when a target is allowed.
    #[test]
    fn choice_meets_all_requirements(
        targets in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u32..4, 0_u32..4, 0_u64..3), 0..32),
        firm_only: bool,
        excluded in 0_usize..32,
        least_version in prop::option::of(0_u64..3),
    ) {
        let names = numbered_names(0..targets.len());
        let candidate = |index: usize| {
            let (is_firm, is_in_rotation, running, limit, version) = targets[index];
            let weight_version = Some(version);
            let handle = u32::try_from(index).unwrap();
            TargetCandidate { handle, id: &names[index], is_firm, is_in_rotation, running, limit, weight_version }
        };
        let candidates: Vec<TargetCandidate<'_>> = (0..targets.len()).map(candidate).collect();
        let excluded_targets: Vec<TargetId> = names.get(excluded).cloned().into_iter().collect();
        let requirements =
            TargetRequirements { firm_only, excluded_targets: &excluded_targets, least_version, matches: &[] };
        let is_allowed = |target: &TargetCandidate<'_>| {
            target.is_in_rotation
                && target.running < target.limit
                && (target.is_firm || !firm_only)
                && target.weight_version >= least_version.map(Some).unwrap_or_default()
                && !excluded_targets.iter().any(|id| id == target.id)
        };
        match choose_target(&candidates, &requirements) {
            Some(position) => prop_assert!(is_allowed(&candidates[position])),
            None => prop_assert!(!candidates.iter().any(is_allowed)),
        }
    }

    /// Guards against a domain that holds more than half of a step while another domain has targets.
    #[test]
    fn no_domain_holds_over_half_of_step(
        domains in 2_usize..5,
        requests in 2_u32..200,
        ranks in prop::collection::vec(any::<u64>(), 5),
    ) {
        let names = numbered_names(0..domains);
        let mut counts = vec![0_u32; domains];
        for _ in 0..requests {
            let option = |index: usize| DomainOption {
                failure_domain: &names[index],
                is_own: index == 0,
                has_targets: true,
                is_failing: false,
                expected_wait: None,
                step_requests: counts[index],
                prompt_rank: ranks[index],
            };
            let options: Vec<DomainOption<'_>> = (0..domains).map(option).collect();
            let first = order_domains(&options, true)[0];
            counts[first] += 1;
        }
        prop_assert!(counts.iter().all(|count| *count <= requests.div_ceil(2)), "{counts:?}");
    }

    /// Guards against an index that grows beyond its limit under any sequence of sent requests and cache events.
    #[test]
    fn prefix_index_is_bounded(
        steps in prop::collection::vec((0_u32..5, 0_u64..40, any::<bool>(), any::<bool>()), 1..300),
    ) {
        let mut index = PrefixIndex::new(20);
        for (sequence, (target, hash, is_event, is_stored)) in steps.iter().enumerate() {
            let now = Duration::from_secs(sequence as u64);
            if *is_event {
                index.apply_event(now, *target, sequence as u64, *hash, *is_stored);
            } else {
                index.record_sent(now, *target, &[*hash, hash + 1]);
            }
            prop_assert!(index.len() <= 20);
        }
        for target in 0..5 {
            index.forget_target(target);
        }
        prop_assert!(index.is_empty());
    }
}

/// Guards against late cache events that remove what was sent after them, and against a gap in the events after which
/// entries still count in full although their eviction may be lost.
#[googletest::test]
fn cache_events_correct_prefix_index() {
    let mut index = PrefixIndex::new(100);
    let second = Duration::from_secs(1);
    index.record_sent(second, 1, &[10, 11]);
    index.apply_event(second * 2, 1, 1, 10, true);
    let percent = |index: &PrefixIndex| index.find_matches(&[10, 11]).first().map_or(0, |found| found.percent);
    expect_that!(percent(&index), eq(100));
    // An eviction within the event lag may be older than the last use and is ignored.
    index.apply_event(second * 3, 1, 2, 11, false);
    expect_that!(percent(&index), eq(100));
    index.apply_event(second * 4 + CACHE_EVENT_LAG, 1, 3, 11, false);
    expect_that!(percent(&index), eq(50));
    // A repeated event changes nothing. After a gap, an entry that was not confirmed again counts half.
    index.apply_event(second * 20, 1, 3, 10, false);
    expect_that!(percent(&index), eq(50));
    index.apply_event(second * 21, 1, 9, 77, true);
    expect_that!(percent(&index), eq(25));
    index.forget_target(1);
    expect_that!(percent(&index), eq(0));
}

/// Guards against a cached prefix that attracts requests to a full or much more loaded target, and against one that is
/// ignored at equal load.
#[googletest::test]
fn affinity_is_weighed_against_load() {
    let mut index = PrefixIndex::new(100);
    index.record_sent(Duration::ZERO, 0, &[5]);
    let matches = index.find_matches(&[5]);
    let requirements =
        TargetRequirements { firm_only: false, excluded_targets: &[], least_version: None, matches: &matches };
    let candidate = |handle, running| TargetCandidate {
        handle,
        id: if handle == 0 { "a" } else { "b" },
        is_firm: true,
        is_in_rotation: true,
        running,
        limit: 8,
        weight_version: None,
    };
    let choose = |first, second| choose_target(&[candidate(0, first), candidate(1, second)], &requirements);
    expect_that!(choose(4, 4), some(eq(0)));
    expect_that!(choose(3, 0), some(eq(0)));
    expect_that!(choose(7, 0), some(eq(1)));
    expect_that!(choose(8, 7), some(eq(1)));
    expect_that!(choose(8, 8), none());
}

/// Guards against prefix hashes that differ from those in the engines' cache events, so that no event matches a
/// recorded prefix.
#[googletest::test]
fn prompt_prefixes_match_engine() {
    let prompt = "a shared start of a prompt, ".repeat(20);
    let hashes = camphorspring::policy::prompt_prefix::prompt_prefixes(&prompt);
    expect_that!(hashes.len(), eq(8));
    expect_that!(hashes, eq(&camphorspring_standins::engine::prefix_hashes(&prompt)));
}
