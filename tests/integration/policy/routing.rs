//! Shards, homes, choice of targets and domains, and the prefix index.

use std::time::Duration;

use camphorspring::policy::domain_choice::{DomainOption, order_domains};
use camphorspring::policy::prefix_index::{CACHE_EVENT_LAG, PrefixIndex};
use camphorspring::policy::shard_map::{assign_shards, choose_member, shard_count, shard_of_prefix};
use camphorspring::policy::target_choice::{TargetCandidate, TargetRequirements, choose_target};
use camphorspring::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;

fn ids(range: std::ops::Range<usize>) -> Vec<String> {
    range.map(|index| format!("target-{index:05}")).collect()
}

fn shards_of(ids: &[String]) -> Vec<ShardIndex> {
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    assign_shards(&names)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against shards above their size, and against a map that depends on the order of the list.
    #[test]
    fn shards_are_bounded_and_order_free(count in 1_usize..1200, rotation in 0_usize..1200) {
        let targets = ids(0..count);
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

    /// Guards against a map in which one more target moves many others.
    #[test]
    fn new_target_moves_few(count in 100_usize..1150) {
        let before = shards_of(&ids(0..count));
        let after = shards_of(&ids(0..count + 1));
        let moved = (0..count).filter(|position| before[*position] != after[*position]).count();
        // A new shard takes its own share; otherwise a full shard passes on one target at a time.
        let shards = shard_count(count + 1);
        let allowed = if shards == shard_count(count) { 8 } else { 3 * count / shards };
        prop_assert!(moved <= allowed, "{moved} of {count} moved");
    }

    /// Guards against homes that move although their host stays.
    #[test]
    fn lost_host_moves_only_its_shards(hosts in 2_usize..40, lost in 0_usize..40) {
        let names = ids(0..hosts);
        let lost = &names[lost % hosts];
        for shard in 0..50 {
            let key = format!("scoring/north/{shard}");
            let before = choose_member(&key, names.iter().map(String::as_str));
            let after = choose_member(&key, names.iter().map(String::as_str).filter(|name| name != lost));
            prop_assert!(before == Some(lost.as_str()) || before == after);
        }
    }

    /// Guards against prefixes that change their shard when one is added, beyond the share of the new one.
    #[test]
    fn prefix_shards_are_stable(hash: u64, count in 1_usize..60) {
        let before = shard_of_prefix(hash, count);
        let after = shard_of_prefix(hash, count + 1);
        prop_assert!((before as usize) < count);
        prop_assert!(after == before || after as usize == count);
    }

    /// Guards against a choice that breaks a rule: full, out, excluded, too old, or cheap for firm-only work.
    #[test]
    fn choice_keeps_all_rules(
        targets in prop::collection::vec((any::<bool>(), any::<bool>(), 0_u32..4, 0_u32..4, 0_u64..3), 0..32),
        firm_only: bool,
        excluded in 0_usize..32,
        least in prop::option::of(0_u64..3),
    ) {
        let names = ids(0..targets.len());
        let load = |index: usize| {
            let (is_firm, is_in_rotation, running, limit, version) = targets[index];
            let weight_version = Some(version);
            let handle = u32::try_from(index).unwrap();
            TargetCandidate { handle, id: &names[index], is_firm, is_in_rotation, running, limit, weight_version }
        };
        let loads: Vec<TargetCandidate<'_>> = (0..targets.len()).map(load).collect();
        let excluded_targets: Vec<TargetId> = names.get(excluded).cloned().into_iter().collect();
        let need =
            TargetRequirements { firm_only, excluded_targets: &excluded_targets, least_version: least, matches: &[] };
        let is_allowed = |target: &TargetCandidate<'_>| {
            target.is_in_rotation
                && target.running < target.limit
                && (target.is_firm || !firm_only)
                && target.weight_version >= least.map(Some).unwrap_or_default()
                && !excluded_targets.iter().any(|id| id == target.id)
        };
        match choose_target(&loads, &need) {
            Some(position) => prop_assert!(is_allowed(&loads[position])),
            None => prop_assert!(!loads.iter().any(is_allowed)),
        }
    }

    /// Guards against a step of which one domain holds more than half while another has targets.
    #[test]
    fn no_domain_holds_over_half_of_step(
        domains in 2_usize..5,
        requests in 2_u32..200,
        ranks in prop::collection::vec(any::<u64>(), 5),
    ) {
        let names = ids(0..domains);
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

    /// Guards against an index that grows beyond its limit under any sequence of sends and events.
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

/// Guards against late cache events that undo what was sent since, and against gaps that leave lost evictions fully
/// trusted.
#[googletest::test]
fn cache_events_correct_prefix_index() {
    let mut index = PrefixIndex::new(100);
    let second = Duration::from_secs(1);
    index.record_sent(second, 1, &[10, 11]);
    index.apply_event(second * 2, 1, 1, 10, true);
    let percent = |index: &PrefixIndex| index.find_matches(&[10, 11]).first().map_or(0, |found| found.percent);
    expect_that!(percent(&index), eq(100));
    // An eviction that was published before the last send came late.
    index.apply_event(second * 3, 1, 2, 11, false);
    expect_that!(percent(&index), eq(100));
    index.apply_event(second * 4 + CACHE_EVENT_LAG, 1, 3, 11, false);
    expect_that!(percent(&index), eq(50));
    // A repeated event changes nothing; a gap halves what was not confirmed since.
    index.apply_event(second * 20, 1, 3, 10, false);
    expect_that!(percent(&index), eq(50));
    index.apply_event(second * 21, 1, 9, 77, true);
    expect_that!(percent(&index), eq(25));
    index.forget_target(1);
    expect_that!(percent(&index), eq(0));
}

/// Guards against a cached prefix that attracts requests to a full or much more loaded target, and against one that
/// is ignored at equal load.
#[googletest::test]
fn affinity_is_weighed_against_load() {
    let mut index = PrefixIndex::new(100);
    index.record_sent(Duration::ZERO, 0, &[5]);
    let matches = index.find_matches(&[5]);
    let need = TargetRequirements { firm_only: false, excluded_targets: &[], least_version: None, matches: &matches };
    let load = |handle, running| TargetCandidate {
        handle,
        id: if handle == 0 { "a" } else { "b" },
        is_firm: true,
        is_in_rotation: true,
        running,
        limit: 8,
        weight_version: None,
    };
    let choose = |first, second| choose_target(&[load(0, first), load(1, second)], &need);
    expect_that!(choose(4, 4), some(eq(0)));
    expect_that!(choose(3, 0), some(eq(0)));
    expect_that!(choose(7, 0), some(eq(1)));
    expect_that!(choose(8, 7), some(eq(1)));
    expect_that!(choose(8, 8), none());
}

/// Guards against prefix hashes other than those that engines publish, which no cache event would ever match.
#[googletest::test]
fn prompt_prefixes_match_engine() {
    let prompt = "a shared start of a prompt, ".repeat(20);
    let hashes = camphorspring::policy::prompt_prefix::prompt_prefixes(&prompt);
    expect_that!(hashes.len(), eq(8));
    expect_that!(hashes, eq(&camphorspring_standins::engine::prefix_hashes(&prompt)));
}
