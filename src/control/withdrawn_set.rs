//! Withdrawn key ids: a set that only grows, so that sets of different hosts merge by union.
//!
//! A host recognises the set of another host by its hash: every hash that the own set has had stands for a subset of
//! the present set. This works while withdrawals arrive, where a comparison of present hashes would fail.

use std::collections::VecDeque;

use crate::control::stable_hash::stable_hash;
use crate::prelude::*;

/// Earlier hashes kept. A peer that lags by more withdrawals is treated as unknown and exchanges its whole set.
const KEPT_HASHES: usize = 1024;

/// Ids in one frame; at 64 bytes each they stay below [`PEER_FRAME_LIMIT`].
const FRAME_IDS: usize = 3000;

/// A hash that the set had, and its size then.
#[derive(Debug, Clone, Copy)]
struct PastHash {
    hash: u64,
    count: usize,
}

/// Withdrawn key ids.
#[derive(Debug)]
pub struct WithdrawnSet {
    ids: Arc<Vec<KeyId>>,
    /// Ids in the order in which this host learned them.
    order: Vec<KeyId>,
    past: VecDeque<PastHash>,
    hash: u64,
    unstored: Vec<KeyId>,
}

impl Default for WithdrawnSet {
    fn default() -> Self {
        let past = VecDeque::from([PastHash { hash: 0, count: 0 }]);
        Self { ids: Arc::default(), order: Vec::new(), past, hash: 0, unstored: Vec::new() }
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

    /// Hash of the present set.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether an id is in the set.
    #[must_use]
    pub fn contains(&self, key_id: &str) -> bool {
        self.ids.binary_search_by(|known| known.as_str().cmp(key_id)).is_ok()
    }

    /// Adds ids; returns those that were new. They count as missing in the store until it is known to have them.
    pub fn add(&mut self, key_ids: &[KeyId]) -> Vec<KeyId> {
        let mut added = Vec::new();
        for key_id in key_ids {
            let Err(position) = self.ids.binary_search(key_id) else { continue };
            Arc::make_mut(&mut self.ids).insert(position, key_id.clone());
            self.order.push(key_id.clone());
            self.unstored.push(key_id.clone());
            self.hash ^= key_hash(key_id);
            self.past.push_back(PastHash { hash: self.hash, count: self.order.len() });
            if self.past.len() > KEPT_HASHES {
                self.past.pop_front();
            }
            added.push(key_id.clone());
        }
        added
    }

    /// Size that the own set had when it had this hash; `None` for a set that may hold unknown ids.
    #[must_use]
    pub fn count_at(&self, hash: u64) -> Option<usize> {
        self.past.iter().rev().find(|past| past.hash == hash).map(|past| past.count)
    }

    /// Whether a set with this hash certainly holds the id.
    #[must_use]
    pub fn is_held_at(&self, hash: u64, key_id: &str) -> bool {
        let position = self.order.iter().rposition(|known| known == key_id);
        matches!((position, self.count_at(hash)), (Some(position), Some(count)) if position < count)
    }

    /// Ids that a peer lacks whose set had this hash; the newest ids when the hash is unknown.
    #[must_use]
    pub fn ids_after(&self, hash: u64) -> Vec<KeyId> {
        let start = self.count_at(hash).unwrap_or(0).max(self.order.len().saturating_sub(FRAME_IDS));
        self.order[start..].to_vec()
    }

    /// Whether all ids fit in one frame.
    #[must_use]
    pub fn fits_frame(&self) -> bool {
        self.order.len() <= FRAME_IDS
    }

    /// Ids that `key_ids` lacks, at most one frame of the newest.
    #[must_use]
    pub fn missing_from(&self, key_ids: &[KeyId]) -> Vec<KeyId> {
        let mut sorted: Vec<&KeyId> = key_ids.iter().collect();
        sorted.sort_unstable();
        let missing = self.order.iter().rev().filter(|known| sorted.binary_search(known).is_err());
        missing.take(FRAME_IDS).cloned().collect()
    }

    /// Records that the store has these ids.
    pub fn mark_stored(&mut self, key_ids: &[KeyId]) {
        self.unstored.retain(|unstored| !key_ids.contains(unstored));
    }

    /// Records that the store has all ids of a set with this hash; returns whether the hash is known.
    pub fn mark_stored_at(&mut self, hash: u64) -> bool {
        let Some(count) = self.count_at(hash) else { return false };
        let stored = self.order[..count].to_vec();
        if !self.unstored.is_empty() {
            self.mark_stored(&stored);
        }
        true
    }

    /// Ids that the store is not known to have, oldest first.
    #[must_use]
    pub fn unstored(&self) -> &[KeyId] {
        &self.unstored
    }
}
