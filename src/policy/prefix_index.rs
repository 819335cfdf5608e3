//! Which prompt prefixes are in which target's cache, as far as one home knows.
//!
//! The home records what it sent, and corrects that by the engines' cache events, which come late and with gaps.
//! Memory is limited for each shard; the entries that were used longest ago go first.

use std::collections::BTreeMap;

use crate::prelude::*;

/// Number of a target at one home.
pub type TargetHandle = u32;

/// Longest delay of a cache event; an eviction does not remove what was sent within this time.
pub const CACHE_EVENT_LAG: Duration = Duration::from_secs(5);

/// Entries of one shard in a map ordered by prefix, and one ordered by last use.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    limit: usize,
    next_use: u64,
    entries: BTreeMap<PrefixPlace, PrefixUse>,
    uses: BTreeMap<u64, PrefixPlace>,
    cursors: Vec<EventCursor>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PrefixPlace {
    hash: u64,
    target: TargetHandle,
}

#[derive(Debug, Clone, Copy)]
struct PrefixUse {
    used: u64,
    used_at: BootTime,
}

/// Position in the event stream of one target.
#[derive(Debug, Clone, Copy)]
struct EventCursor {
    target: TargetHandle,
    last_sequence: u64,
    /// Entries used before this were not confirmed since events were lost.
    doubtful_before: u64,
}

/// A target that probably has a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Target.
    pub target: TargetHandle,
    /// Longest prefix that matches, in percent of the request's prefixes; half of that when in doubt.
    pub percent: u32,
}

impl PrefixIndex {
    /// Empty index of at most `limit` entries.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, next_use: 0, entries: BTreeMap::new(), uses: BTreeMap::new(), cursors: Vec::new() }
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a request with these prefixes was sent to a target.
    pub fn record_sent(&mut self, now: BootTime, target: TargetHandle, prefix_hashes: &[u64]) {
        for hash in prefix_hashes {
            self.touch(now, PrefixPlace { hash: *hash, target });
        }
    }

    /// Applies one cache event. Repeated and older events are ignored; after a gap, entries that were not used or
    /// confirmed since count half.
    pub fn apply_event(&mut self, now: BootTime, target: TargetHandle, sequence: u64, hash: u64, is_stored: bool) {
        let next_use = self.next_use;
        let cursor = self.cursor(target, sequence);
        if sequence <= cursor.last_sequence {
            return;
        }
        if sequence > cursor.last_sequence + 1 {
            cursor.doubtful_before = next_use;
        }
        cursor.last_sequence = sequence;
        let place = PrefixPlace { hash, target };
        if is_stored {
            self.touch(now, place);
        } else if self.entries.get(&place).is_some_and(|entry| now.saturating_sub(entry.used_at) > CACHE_EVENT_LAG) {
            self.remove(place);
        }
    }

    /// Last event sequence number of a target; `None` before the first event.
    #[must_use]
    pub fn last_sequence(&self, target: TargetHandle) -> Option<u64> {
        let position = self.cursors.binary_search_by_key(&target, |cursor| cursor.target).ok()?;
        Some(self.cursors[position].last_sequence)
    }

    /// Forgets a target, whose cache is lost.
    pub fn forget_target(&mut self, target: TargetHandle) {
        let lost: Vec<PrefixPlace> = self.entries.keys().filter(|place| place.target == target).copied().collect();
        for place in lost {
            self.remove(place);
        }
        self.cursors.retain(|cursor| cursor.target != target);
    }

    /// Targets that probably have one of the prefixes, each with its longest match. `prefix_hashes` has the shortest
    /// prefix first.
    #[must_use]
    pub fn find_matches(&self, prefix_hashes: &[u64]) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::new();
        for (index, hash) in prefix_hashes.iter().enumerate().rev() {
            let first = PrefixPlace { hash: *hash, target: 0 };
            let last = PrefixPlace { hash: *hash, target: TargetHandle::MAX };
            let percent = u32::try_from((index + 1) * 100 / prefix_hashes.len()).unwrap_or(100);
            for (place, entry) in self.entries.range(first..=last) {
                if matches.iter().all(|known| known.target != place.target) {
                    let percent = if self.is_doubtful(place.target, entry.used) { percent / 2 } else { percent };
                    matches.push(PrefixMatch { target: place.target, percent });
                }
            }
        }
        matches
    }

    fn is_doubtful(&self, target: TargetHandle, used: u64) -> bool {
        let position = self.cursors.binary_search_by_key(&target, |cursor| cursor.target);
        position.is_ok_and(|position| used < self.cursors[position].doubtful_before)
    }

    fn touch(&mut self, now: BootTime, place: PrefixPlace) {
        let used = self.next_use;
        self.next_use += 1;
        if let Some(old) = self.entries.insert(place, PrefixUse { used, used_at: now }) {
            self.uses.remove(&old.used);
        }
        self.uses.insert(used, place);
        while self.entries.len() > self.limit {
            let Some((_, oldest)) = self.uses.pop_first() else { break };
            self.entries.remove(&oldest);
        }
    }

    fn remove(&mut self, place: PrefixPlace) {
        if let Some(entry) = self.entries.remove(&place) {
            self.uses.remove(&entry.used);
        }
    }

    fn cursor(&mut self, target: TargetHandle, sequence: u64) -> &mut EventCursor {
        let position = match self.cursors.binary_search_by_key(&target, |cursor| cursor.target) {
            Ok(position) => position,
            Err(position) => {
                let last_sequence = sequence.saturating_sub(1);
                self.cursors.insert(position, EventCursor { target, last_sequence, doubtful_before: 0 });
                position
            }
        };
        &mut self.cursors[position]
    }
}
