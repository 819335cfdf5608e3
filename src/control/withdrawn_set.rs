//! Withdrawn key ids: a set that only grows, so that the sets of different hosts merge by union.
//!
//! Each hash that the set of a host once had identifies a subset of its current set. The host can therefore tell from
//! the hash of a peer which ids the peer lacks, even while withdrawals arrive and the current hashes of the two differ.

use std::collections::VecDeque;

use crate::control::stable_hash::stable_hash;
use crate::prelude::*;

/// Number of hashes kept. The hash of a peer that lacks more withdrawals than this is unknown; the peer is sent the
/// whole set if one frame can carry it, otherwise the newest ids.
const MAX_KEPT_HASHES: usize = 1024;

/// Greatest number of ids in one frame; at 64 bytes each they stay below [`PEER_FRAME_LIMIT`].
const MAX_FRAME_IDS: usize = 3000;

/// A hash that the set had, and the number of its ids at that time.
#[derive(Debug, Clone, Copy)]
struct PastHash {
    hash: u64,
    count: usize,
}

/// Set of withdrawn key ids that one host knows, with its earlier hashes and the ids that the store may lack.
#[derive(Debug)]
pub struct WithdrawnSet {
    ids: Arc<Vec<KeyId>>,
    /// All ids in the order in which this host learned them.
    learned_ids: Vec<KeyId>,
    /// Hashes of the latest states of the set, oldest first; the current one is last.
    past_hashes: VecDeque<PastHash>,
    hash: u64,
    unstored: Vec<KeyId>,
}

impl Default for WithdrawnSet {
    fn default() -> Self {
        let past_hashes = VecDeque::from([PastHash { hash: 0, count: 0 }]);
        Self { ids: Arc::default(), learned_ids: Vec::new(), past_hashes, hash: 0, unstored: Vec::new() }
    }
}

/// Hash of one key id; the hash of a set is the XOR over its ids.
#[must_use]
pub fn key_hash(key_id: &str) -> u64 {
    stable_hash(&[key_id.as_bytes()])
}

impl WithdrawnSet {
    /// All ids, sorted.
    #[must_use]
    pub fn ids(&self) -> &Arc<Vec<KeyId>> {
        &self.ids
    }

    /// XOR over the hashes of all ids; 0 for the empty set.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether the key with this id is known here to be withdrawn.
    #[must_use]
    pub fn contains(&self, key_id: &str) -> bool {
        self.ids.binary_search_by(|known| known.as_str().cmp(key_id)).is_ok()
    }

    /// Adds ids and returns the new ones. These count as missing in the store until recorded as stored.
    pub fn add(&mut self, key_ids: &[KeyId]) -> Vec<KeyId> {
        let mut added = Vec::new();
        for key_id in key_ids {
            let Err(position) = self.ids.binary_search(key_id) else { continue };
            Arc::make_mut(&mut self.ids).insert(position, key_id.clone());
            self.learned_ids.push(key_id.clone());
            self.unstored.push(key_id.clone());
            self.hash ^= key_hash(key_id);
            self.past_hashes.push_back(PastHash { hash: self.hash, count: self.learned_ids.len() });
            if self.past_hashes.len() > MAX_KEPT_HASHES {
                self.past_hashes.pop_front();
            }
            added.push(key_id.clone());
        }
        added
    }

    /// Number of ids that this set had when its hash was `hash`. `None` when `hash` is not among the kept ones; a
    /// peer with this hash may have ids that are unknown here.
    #[must_use]
    pub fn count_at_hash(&self, hash: u64) -> Option<usize> {
        self.past_hashes.iter().rev().find(|past| past.hash == hash).map(|past| past.count)
    }

    /// Whether the subset that `hash` identifies contains the id; `false` when the hash is unknown.
    #[must_use]
    pub fn subset_contains(&self, hash: u64, key_id: &str) -> bool {
        let position = self.learned_ids.iter().rposition(|known| known == key_id);
        matches!((position, self.count_at_hash(hash)), (Some(position), Some(count)) if position < count)
    }

    /// Ids learned since this set had `hash`, or all when the hash is unknown; if they exceed one frame, only the
    /// newest.
    #[must_use]
    pub fn ids_since_hash(&self, hash: u64) -> Vec<KeyId> {
        let start = self.count_at_hash(hash).unwrap_or(0).max(self.learned_ids.len().saturating_sub(MAX_FRAME_IDS));
        self.learned_ids[start..].to_vec()
    }

    /// Whether the set has at most as many ids as one frame can carry.
    #[must_use]
    pub fn fits_frame(&self) -> bool {
        self.learned_ids.len() <= MAX_FRAME_IDS
    }

    /// Ids of this set that are not in `key_ids`, newest first, at most as many as fit in one frame.
    #[must_use]
    pub fn missing_from(&self, key_ids: &[KeyId]) -> Vec<KeyId> {
        let mut sorted: Vec<&KeyId> = key_ids.iter().collect();
        sorted.sort_unstable();
        let missing = self.learned_ids.iter().rev().filter(|known| sorted.binary_search(known).is_err());
        missing.take(MAX_FRAME_IDS).cloned().collect()
    }

    /// Records that the store has these ids; those that are not in the set are ignored.
    pub fn record_stored(&mut self, key_ids: &[KeyId]) {
        self.unstored.retain(|unstored| !key_ids.contains(unstored));
    }

    /// Records that the store has the subset that `hash` identifies. Returns `false` without an effect when the hash is
    /// unknown.
    pub fn record_subset_stored(&mut self, hash: u64) -> bool {
        let Some(count) = self.count_at_hash(hash) else { return false };
        let stored = self.learned_ids[..count].to_vec();
        if !self.unstored.is_empty() {
            self.record_stored(&stored);
        }
        true
    }

    /// Ids that the store is not known to have, in the order in which they were learned.
    #[must_use]
    pub fn unstored(&self) -> &[KeyId] {
        &self.unstored
    }
}
