//! Prefix cache of limited capacity, and the events about stored and evicted blocks, which appear late and with gaps.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorspring::generated::engine_messages::CacheEvent;

use crate::hash::{empty_hash, extend_hash};

/// Bytes of prompt text in one cache block; a shorter rest of a prompt is not cached.
pub const BLOCK_BYTES: usize = 64;

/// Number of oldest events that are dropped whenever the list exceeds twice this number.
const EVENT_TRIM_COUNT: usize = 10_000;

/// Hashes of the prefixes of a prompt that end at a block boundary, shortest first.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = empty_hash();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        hash = extend_hash(hash, block);
        hash
    });
    hashes.collect()
}

#[derive(Debug)]
struct TimedEvent {
    time: Instant,
    event: CacheEvent,
}

/// Set of cached blocks, identified by the hash of the prefix that ends with the block; evicts the least recently used
/// blocks first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Counter that orders the uses of all blocks.
    use_clock: u64,
    /// Value of `use_clock` at the last use, by prefix hash.
    use_by_hash: BTreeMap<u64, u64>,
    /// Prefix hash by value of `use_clock` at the last use; the first entry is evicted next.
    hash_by_use: BTreeMap<u64, u64>,
    events: Vec<TimedEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        let maps = (BTreeMap::new(), BTreeMap::new());
        Self { capacity, use_clock: 0, use_by_hash: maps.0, hash_by_use: maps.1, events: Vec::new(), sequence: 0 }
    }

    /// Length in bytes of the longest cached prefix of the prompt.
    pub(super) fn covered_bytes(&self, prompt: &str) -> usize {
        let hashes = prefix_hashes(prompt);
        hashes.iter().take_while(|hash| self.use_by_hash.contains_key(hash)).count() * BLOCK_BYTES
    }

    /// Stores all whole blocks of a prompt, then evicts down to the capacity.
    pub(super) fn store(&mut self, prompt: &str) {
        for hash in prefix_hashes(prompt) {
            self.use_clock += 1;
            match self.use_by_hash.insert(hash, self.use_clock) {
                Some(previous_use) => {
                    self.hash_by_use.remove(&previous_use);
                }
                None => self.record_event(hash, true),
            }
            self.hash_by_use.insert(self.use_clock, hash);
        }
        while self.use_by_hash.len() > self.capacity {
            let Some((_, hash)) = self.hash_by_use.pop_first() else { break };
            self.use_by_hash.remove(&hash);
            self.record_event(hash, false);
        }
    }

    /// Evicts all blocks, with an event for each.
    pub(super) fn clear(&mut self) {
        self.hash_by_use.clear();
        let hashes = std::mem::take(&mut self.use_by_hash);
        for hash in hashes.into_keys() {
            self.record_event(hash, false);
        }
    }

    /// Events with a sequence number above `after` and an age of at least `lag`, without those that `gap` drops.
    pub(super) fn events_after(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let is_shown = |timed: &&TimedEvent| {
            let is_dropped = gap > 0 && timed.event.sequence.is_multiple_of(gap);
            timed.event.sequence > after && !is_dropped && now.duration_since(timed.time) >= lag
        };
        self.events.iter().filter(is_shown).map(|timed| timed.event.clone()).collect()
    }

    fn record_event(&mut self, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        let event = CacheEvent { sequence: self.sequence, prefix_hash, stored };
        self.events.push(TimedEvent { time: Instant::now(), event });
        if self.events.len() > 2 * EVENT_TRIM_COUNT {
            self.events.drain(..EVENT_TRIM_COUNT);
        }
    }
}
