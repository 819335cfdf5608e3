//! Assignment of targets to dispatch shards, of shards to their coordinators and of prompt prefixes to shards, by
//! consistent hashing.
//!
//! The targets of one service in one failure domain are split into dispatch shards, and one host is the coordinator of
//! each shard. Every host computes the same assignment from the same lists. When a target or a host is added or
//! removed, few of the other assignments change.

use crate::prelude::*;

/// Largest average number of targets in a shard when a service has several shards in a domain.
///
/// This is seven eighths of [`SHARD_TARGETS`], so that few targets overflow from their first choice into another shard.
const MAX_AVERAGE_SHARD_TARGETS: usize = 28;

/// Rendezvous hash of a key and a member. A key belongs to the member with the highest hash.
#[must_use]
pub fn rendezvous_hash(key: &str, member: &str) -> u64 {
    let hash = fnv_hash(fnv_hash(FNV_OFFSET, key.as_bytes()), &[0xFF]);
    mix_hash(fnv_hash(hash, member.as_bytes()))
}

/// Chooses the member with the highest rendezvous hash for a key, on a tie the one with the greater name; `None` when
/// there are no members.
#[must_use]
pub fn choose_member<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (rendezvous_hash(key, member), *member))
}

/// Key of a dispatch shard for choosing its coordinator with [`choose_member`].
#[must_use]
pub fn shard_key(service: &str, failure_domain: &str, shard: ShardIndex) -> String {
    format!("{service}/{failure_domain}/{shard}")
}

/// Number of dispatch shards for a number of targets of one service in one domain; 0 without targets.
#[must_use]
pub fn shard_count(targets: usize) -> usize {
    if targets <= SHARD_TARGETS { targets.min(1) } else { targets.div_ceil(MAX_AVERAGE_SHARD_TARGETS) }
}

/// Assigns a shard to each target and returns the shards in the order of `targets`. No shard gets more than
/// [`SHARD_TARGETS`].
///
/// A target goes to the shard with the highest rendezvous hash. A full shard keeps the targets with the highest hashes
/// and moves the others to their next choice. This is stable matching, whose result does not depend on the order of the
/// targets.
#[must_use]
pub fn assign_shards(targets: &[&str]) -> Vec<ShardIndex> {
    let count = shard_count(targets.len());
    if count <= 1 {
        return vec![0; targets.len()];
    }
    let shard_names: Vec<String> = (0..count).map(|shard| shard.to_string()).collect();
    let preferences: Vec<Vec<RankedShard>> = targets.iter().map(|target| rank_shards(target, &shard_names)).collect();
    let mut assigned_targets: Vec<Vec<AssignedTarget>> = vec![Vec::new(); count];
    let mut next_choice = vec![0; targets.len()];
    let mut unassigned: Vec<usize> = (0..targets.len()).collect();
    while let Some(target) = unassigned.pop() {
        let choice = preferences[target][next_choice[target]];
        next_choice[target] += 1;
        let shard = &mut assigned_targets[choice.shard];
        shard.push(AssignedTarget { hash: choice.hash, target });
        if shard.len() > SHARD_TARGETS {
            let lowest = find_lowest_hash(shard, targets);
            unassigned.push(shard.swap_remove(lowest).target);
        }
    }
    let mut shards = vec![0; targets.len()];
    for (index, shard) in assigned_targets.iter().enumerate() {
        for assigned_target in shard {
            shards[assigned_target.target] = ShardIndex::try_from(index).unwrap_or(ShardIndex::MAX);
        }
    }
    shards
}

/// Shard for requests with this prefix; equal prefixes get the same shard. Takes time logarithmic in `count`.
///
/// Uses jump consistent hashing (Lamping and Veach): when a shard is added, only the prefixes that it takes over change
/// their shard.
#[must_use]
pub fn shard_of_prefix(prefix_hash: u64, count: usize) -> ShardIndex {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    let mut key = mix_hash(prefix_hash);
    let mut bucket = 0;
    let mut next = 0;
    while next < count {
        bucket = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        next = (bucket + 1).saturating_mul(1 << 31) / ((key >> 33) + 1);
    }
    ShardIndex::try_from(bucket).unwrap_or(0)
}

#[derive(Debug, Clone, Copy)]
struct RankedShard {
    hash: u64,
    shard: usize,
}

#[derive(Debug, Clone, Copy)]
struct AssignedTarget {
    hash: u64,
    target: usize,
}

fn rank_shards(target: &str, shard_names: &[String]) -> Vec<RankedShard> {
    let hashes =
        shard_names.iter().enumerate().map(|(shard, name)| RankedShard { hash: rendezvous_hash(target, name), shard });
    let mut choices: Vec<RankedShard> = hashes.collect();
    choices.sort_unstable_by_key(|choice| std::cmp::Reverse((choice.hash, choice.shard)));
    choices
}

fn find_lowest_hash(assigned_targets: &[AssignedTarget], targets: &[&str]) -> usize {
    let positions = 0..assigned_targets.len();
    positions
        .min_by_key(|position| (assigned_targets[*position].hash, targets[assigned_targets[*position].target]))
        .unwrap_or(0)
}

const FNV_OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

fn fnv_hash(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Finalizer of splitmix64, which spreads a hash over all bits. FNV alone gives short keys nearly equal high bits.
#[must_use]
pub fn mix_hash(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
