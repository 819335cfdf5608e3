//! Index of the prompt prefixes that the targets of a dispatch shard probably have in their caches.
//!
//! The coordinator records the prefixes of the requests that it sends, and corrects them with the cache events of the
//! engines, which arrive late and with gaps. The number of entries of each shard is limited; the least recently used
//! ones are removed first.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Number that a coordinator gives to a target; it means nothing to other hosts.
pub type TargetHandle = u32;

/// Assumed upper bound of the delay of a cache event. An eviction does not remove an entry that was used within this
/// time, because the event may be older than that use.
pub const CACHE_EVENT_LAG: Duration = Duration::from_secs(5);

/// Prefix entries of one shard, in one map ordered by prefix and one ordered by last use.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    limit: usize,
    next_use_number: u64,
    entries: BTreeMap<PrefixKey, LastUse>,
    keys_by_use: BTreeMap<u64, PrefixKey>,
    cursors: Vec<EventCursor>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PrefixKey {
    hash: u64,
    target: TargetHandle,
}

#[derive(Debug, Clone, Copy)]
struct LastUse {
    use_number: u64,
    used_at: BootTime,
}

/// Position in the event stream of one target.
#[derive(Debug, Clone, Copy)]
struct EventCursor {
    target: TargetHandle,
    last_sequence: u64,
    /// Entries with a lower use number have not been used or confirmed since the last gap in the events; 0 without a
    /// gap.
    unconfirmed_before: u64,
}

/// Target that probably has a prefix of the prompt in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Number of the target at this coordinator.
    pub target: TargetHandle,
    /// Part of the request's prefixes that the target probably has, in percent. Half of that when events were lost and
    /// the entry was not used or confirmed afterwards.
    pub percent: u32,
}

impl PrefixIndex {
    /// Creates an empty index that keeps at most `limit` entries.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, next_use_number: 0, entries: BTreeMap::new(), keys_by_use: BTreeMap::new(), cursors: Vec::new() }
    }

    /// Number of pairs of prefix and target.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request with these prefixes was sent to a target, which puts them into its cache.
    pub fn record_sent(&mut self, now: BootTime, target: TargetHandle, prefix_hashes: &[u64]) {
        for hash in prefix_hashes {
            self.record_use(now, PrefixKey { hash: *hash, target });
        }
    }

    /// Applies one cache event: `is_stored` is false for an eviction. Repeated and older events are ignored. After a
    /// gap in the sequence numbers, matches of entries that have not been used or confirmed since the gap count half.
    pub fn apply_event(&mut self, now: BootTime, target: TargetHandle, sequence: u64, hash: u64, is_stored: bool) {
        let next_use_number = self.next_use_number;
        let cursor = self.find_or_add_cursor(target, sequence);
        if sequence <= cursor.last_sequence {
            return;
        }
        if sequence > cursor.last_sequence + 1 {
            cursor.unconfirmed_before = next_use_number;
        }
        cursor.last_sequence = sequence;
        let key = PrefixKey { hash, target };
        if is_stored {
            self.record_use(now, key);
        } else if self.entries.get(&key).is_some_and(|entry| now.saturating_sub(entry.used_at) > CACHE_EVENT_LAG) {
            self.remove_entry(key);
        }
    }

    /// Sequence number of the last event of a target; `None` before the first event.
    #[must_use]
    pub fn last_sequence(&self, target: TargetHandle) -> Option<u64> {
        let position = self.cursors.binary_search_by_key(&target, |cursor| cursor.target).ok()?;
        Some(self.cursors[position].last_sequence)
    }

    /// Removes a target whose cache is lost, with its position in the event stream.
    pub fn forget_target(&mut self, target: TargetHandle) {
        let lost: Vec<PrefixKey> = self.entries.keys().filter(|key| key.target == target).copied().collect();
        for key in lost {
            self.remove_entry(key);
        }
        self.cursors.retain(|cursor| cursor.target != target);
    }

    /// Targets that probably have one of the prefixes, each with its longest match. `prefix_hashes` has the shortest
    /// prefix first.
    #[must_use]
    pub fn find_matches(&self, prefix_hashes: &[u64]) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::new();
        for (index, hash) in prefix_hashes.iter().enumerate().rev() {
            let first = PrefixKey { hash: *hash, target: 0 };
            let last = PrefixKey { hash: *hash, target: TargetHandle::MAX };
            let percent = u32::try_from((index + 1) * 100 / prefix_hashes.len()).unwrap_or(100);
            for (key, entry) in self.entries.range(first..=last) {
                if matches.iter().all(|known| known.target != key.target) {
                    let percent = if self.is_unconfirmed(key.target, entry.use_number) { percent / 2 } else { percent };
                    matches.push(PrefixMatch { target: key.target, percent });
                }
            }
        }
        matches
    }

    fn is_unconfirmed(&self, target: TargetHandle, use_number: u64) -> bool {
        let position = self.cursors.binary_search_by_key(&target, |cursor| cursor.target);
        position.is_ok_and(|position| use_number < self.cursors[position].unconfirmed_before)
    }

    fn record_use(&mut self, now: BootTime, key: PrefixKey) {
        let use_number = self.next_use_number;
        self.next_use_number += 1;
        if let Some(old) = self.entries.insert(key, LastUse { use_number, used_at: now }) {
            self.keys_by_use.remove(&old.use_number);
        }
        self.keys_by_use.insert(use_number, key);
        while self.entries.len() > self.limit {
            let Some((_, oldest)) = self.keys_by_use.pop_first() else { break };
            self.entries.remove(&oldest);
        }
    }

    fn remove_entry(&mut self, key: PrefixKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.keys_by_use.remove(&entry.use_number);
        }
    }

    fn find_or_add_cursor(&mut self, target: TargetHandle, sequence: u64) -> &mut EventCursor {
        let position = match self.cursors.binary_search_by_key(&target, |cursor| cursor.target) {
            Ok(position) => position,
            Err(position) => {
                let last_sequence = sequence.saturating_sub(1);
                self.cursors.insert(position, EventCursor { target, last_sequence, unconfirmed_before: 0 });
                position
            }
        };
        &mut self.cursors[position]
    }
}
