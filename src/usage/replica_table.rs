//! Unflushed rows of other hosts.
//!
//! A row that its owner has not confirmed as flushed for a while is written by this host. That is safe also while the
//! owner lives, since both write the same bytes under the same name on condition that the row is absent.

use crate::generated::peer_messages::UsageRow;
use crate::prelude::*;

/// Time after which an unconfirmed row is written by the holder of its replica: three flush periods, and well before
/// a window is frozen.
pub const REPLICA_PATIENCE: Duration = Duration::from_secs(15);

/// Most replicas that a host holds.
const REPLICA_LIMIT: usize = 20_000;

/// Replica of a row.
#[derive(Debug, Clone)]
struct ReplicaRow {
    row: UsageRow,
    first_seen: BootTime,
}

/// Replicas by key.
#[derive(Debug, Clone, Default)]
pub struct ReplicaTable {
    rows: Vec<ReplicaRow>,
}

impl ReplicaTable {
    /// Adds rows; returns how many were refused because the table is full.
    pub fn add(&mut self, rows: Vec<UsageRow>, now: BootTime) -> usize {
        let mut refused = 0;
        for row in rows {
            match self.find(&row.key) {
                Ok(_) => {}
                Err(_) if self.rows.len() >= REPLICA_LIMIT => refused += 1,
                Err(position) => self.rows.insert(position, ReplicaRow { row, first_seen: now }),
            }
        }
        refused
    }

    /// Drops rows that are in the store.
    pub fn drop_flushed(&mut self, keys: &[String]) {
        for key in keys {
            if let Ok(position) = self.find(key) {
                self.rows.remove(position);
            }
        }
    }

    /// Rows that this host must write now, at most `limit`.
    #[must_use]
    pub fn due_rows(&self, now: BootTime, limit: usize) -> Vec<UsageRow> {
        let is_due = |replica: &&ReplicaRow| now.saturating_sub(replica.first_seen) >= REPLICA_PATIENCE;
        self.rows.iter().filter(is_due).take(limit).map(|replica| replica.row.clone()).collect()
    }

    /// Number of replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no replicas.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|replica| replica.row.key.as_str().cmp(key))
    }
}
