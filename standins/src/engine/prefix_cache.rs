//! Prefix cache with limited memory, and its late and gappy events.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorspring::generated::engine_messages::CacheEvent;

use crate::hash::{extend_hash, start_hash};

/// Bytes of prompt text in one block of the cache.
pub const BLOCK_BYTES: usize = 64;

/// Published events that are kept.
const EVENT_LIMIT: usize = 10_000;

/// Hash of each prefix of a prompt that is a whole number of blocks long.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = start_hash();
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

/// Least recently used blocks leave first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    uses: u64,
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    events: Vec<TimedEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        let maps = (BTreeMap::new(), BTreeMap::new());
        Self { capacity, uses: 0, last_use: maps.0, by_use: maps.1, events: Vec::new(), sequence: 0 }
    }

    /// Bytes of the prompt that the cache covers.
    pub(super) fn covered_bytes(&self, prompt: &str) -> usize {
        let hashes = prefix_hashes(prompt);
        hashes.iter().take_while(|hash| self.last_use.contains_key(hash)).count() * BLOCK_BYTES
    }

    /// Stores all blocks of a prompt.
    pub(super) fn store(&mut self, prompt: &str) {
        for hash in prefix_hashes(prompt) {
            self.uses += 1;
            match self.last_use.insert(hash, self.uses) {
                Some(before) => {
                    self.by_use.remove(&before);
                }
                None => self.publish(hash, true),
            }
            self.by_use.insert(self.uses, hash);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else { break };
            self.last_use.remove(&hash);
            self.publish(hash, false);
        }
    }

    /// Empties the cache.
    pub(super) fn clear(&mut self) {
        self.by_use.clear();
        let hashes = std::mem::take(&mut self.last_use);
        for hash in hashes.into_keys() {
            self.publish(hash, false);
        }
    }

    /// Events after a sequence number that are older than the lag, without those lost in gaps.
    pub(super) fn events_after(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let is_shown = |timed: &&TimedEvent| {
            let is_lost = gap > 0 && timed.event.sequence.is_multiple_of(gap);
            timed.event.sequence > after && !is_lost && now.duration_since(timed.time) >= lag
        };
        self.events.iter().filter(is_shown).map(|timed| timed.event.clone()).collect()
    }

    fn publish(&mut self, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        let event = CacheEvent { sequence: self.sequence, prefix_hash, stored };
        self.events.push(TimedEvent { time: Instant::now(), event });
        if self.events.len() > 2 * EVENT_LIMIT {
            self.events.drain(..EVENT_LIMIT);
        }
    }
}
