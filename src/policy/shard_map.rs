//! Shards of targets and their home hosts, by rendezvous hashing.
//!
//! Every host computes the same map from the same lists. A change of one target or host moves few others.

use crate::prelude::*;

/// Average number of targets in a shard when there are several.
///
/// Seven eighths of [`SHARD_TARGETS`], so that few targets overflow from their first choice into another shard.
const SHARD_FILL: usize = 28;

/// Hash of a key for one member; the member with the highest hash is chosen.
#[must_use]
pub fn rendezvous_hash(key: &str, member: &str) -> u64 {
    let hash = fnv_hash(fnv_hash(FNV_OFFSET, key.as_bytes()), &[0xFF]);
    mix_hash(fnv_hash(hash, member.as_bytes()))
}

/// Member that is chosen for a key.
#[must_use]
pub fn choose_member<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (rendezvous_hash(key, member), *member))
}

/// Key of a shard in the choice of its home.
#[must_use]
pub fn shard_key(service: &str, failure_domain: &str, shard: ShardIndex) -> String {
    format!("{service}/{failure_domain}/{shard}")
}

/// Number of shards for a number of targets.
#[must_use]
pub fn shard_count(targets: usize) -> usize {
    if targets <= SHARD_TARGETS { targets.min(1) } else { targets.div_ceil(SHARD_FILL) }
}

/// Shard of each target, in the order given; no shard gets more than [`SHARD_TARGETS`].
///
/// A target goes to the shard with the highest hash. A full shard keeps the targets with the highest hashes and
/// passes the others on to their next choice, so that the result does not depend on the order of the targets.
#[must_use]
pub fn assign_shards(targets: &[&str]) -> Vec<ShardIndex> {
    let count = shard_count(targets.len());
    if count <= 1 {
        return vec![0; targets.len()];
    }
    let names: Vec<String> = (0..count).map(|shard| shard.to_string()).collect();
    let preferences: Vec<Vec<ShardChoice>> = targets.iter().map(|target| rank_shards(target, &names)).collect();
    let mut members: Vec<Vec<ShardMember>> = vec![Vec::new(); count];
    let mut next_choice = vec![0; targets.len()];
    let mut unplaced: Vec<usize> = (0..targets.len()).collect();
    while let Some(target) = unplaced.pop() {
        let choice = preferences[target][next_choice[target]];
        next_choice[target] += 1;
        let shard = &mut members[choice.shard];
        shard.push(ShardMember { hash: choice.hash, target });
        if shard.len() > SHARD_TARGETS {
            let lowest = lowest_member(shard, targets);
            unplaced.push(shard.swap_remove(lowest).target);
        }
    }
    let mut shards = vec![0; targets.len()];
    for (index, shard) in members.iter().enumerate() {
        for member in shard {
            shards[member.target] = ShardIndex::try_from(index).unwrap_or(ShardIndex::MAX);
        }
    }
    shards
}

/// Shard for a request with this prefix, in logarithmic time; equal prefixes meet in one shard.
///
/// Jump consistent hashing after Lamping and Veach: when a shard is added, only its share of the prefixes moves.
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
struct ShardChoice {
    hash: u64,
    shard: usize,
}

#[derive(Debug, Clone, Copy)]
struct ShardMember {
    hash: u64,
    target: usize,
}

fn rank_shards(target: &str, names: &[String]) -> Vec<ShardChoice> {
    let hashes =
        names.iter().enumerate().map(|(shard, name)| ShardChoice { hash: rendezvous_hash(target, name), shard });
    let mut choices: Vec<ShardChoice> = hashes.collect();
    choices.sort_unstable_by_key(|choice| std::cmp::Reverse((choice.hash, choice.shard)));
    choices
}

fn lowest_member(members: &[ShardMember], targets: &[&str]) -> usize {
    let positions = 0..members.len();
    positions.min_by_key(|position| (members[*position].hash, targets[members[*position].target])).unwrap_or(0)
}

const FNV_OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

fn fnv_hash(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Finalizer of splitmix64; FNV alone leaves the high bits of short keys alike.
#[must_use]
pub fn mix_hash(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
