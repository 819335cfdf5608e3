//! Replicas of unflushed rows that other hosts own.
//!
//! If the owner does not report a row as flushed in time, this host writes the row to the store. This is safe even when
//! the owner is alive, because both hosts write the same bytes under the same key on condition that the row is absent.

use crate::generated::peer_messages::UsageRow;
use crate::prelude::*;

/// Delay from the arrival of a replica until its holder writes the row, unless the owner has reported the row as
/// flushed. Three flush periods, and well before a window is frozen.
pub const REPLICA_WRITE_DELAY: Duration = Duration::from_secs(15);

/// Most replicas that a host holds; further ones are refused.
const MAX_REPLICAS: usize = 20_000;

/// Replica of a row that another host owns.
#[derive(Debug, Clone)]
struct ReplicaRow {
    row: UsageRow,
    first_seen: BootTime,
}

/// Replicas that this host holds for other hosts.
#[derive(Debug, Clone, Default)]
pub struct ReplicaTable {
    /// Sorted by key.
    rows: Vec<ReplicaRow>,
}

impl ReplicaTable {
    /// Adds rows that are not in the table yet; returns how many were refused because the table is full.
    pub fn add(&mut self, rows: Vec<UsageRow>, now: BootTime) -> usize {
        let mut refused = 0;
        for row in rows {
            match self.find_position(&row.key) {
                Ok(_) => {}
                Err(_) if self.rows.len() >= MAX_REPLICAS => refused += 1,
                Err(position) => self.rows.insert(position, ReplicaRow { row, first_seen: now }),
            }
        }
        refused
    }

    /// Removes the replicas of rows that are in the store; unknown keys are ignored.
    pub fn remove_flushed(&mut self, keys: &[String]) {
        for key in keys {
            if let Ok(position) = self.find_position(key) {
                self.rows.remove(position);
            }
        }
    }

    /// Rows that are held for [`REPLICA_WRITE_DELAY`] or longer, at most `limit`.
    #[must_use]
    pub fn due_rows(&self, now: BootTime, limit: usize) -> Vec<UsageRow> {
        let is_due = |replica: &&ReplicaRow| now.saturating_sub(replica.first_seen) >= REPLICA_WRITE_DELAY;
        self.rows.iter().filter(is_due).take(limit).map(|replica| replica.row.clone()).collect()
    }

    /// Number of replicas held, whether or not they are due.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no replica is held, due or not.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn find_position(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|replica| replica.row.key.as_str().cmp(key))
    }
}
