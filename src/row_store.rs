//! Interface of the transactional row store with change feeds that an installation provides.
//!
//! The functions are passed in, so that their users do not depend on the implementation of the store and tests can
//! inject a fault at every call. An error says whether a transaction may have taken effect. A store may also apply an
//! unanswered transaction seconds later, so every transaction carries conditions that make a late application harmless.

pub mod store_relay;
pub mod store_router;
pub mod table_watch;

use std::future::Future;
use std::pin::Pin;

use crate::prelude::*;
pub use crate::store_client::StoreCallError;

/// Version of a row, from a counter of the store that increases with each transaction; 0 stands for an absent row.
pub type RowVersion = u64;

/// Future of a store call; a call whose future is dropped may still take effect.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreCallError>> + Send>>;

/// A row as the store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Table that holds the row; the rows of a conflict may be from several tables.
    pub table: String,
    /// Partition that holds the row; a transaction covers one partition, with rows of any tables.
    pub part: String,
    /// Key, unique within the table and partition.
    pub key: String,
    /// Content; `None` for a removed row in a change feed.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that last wrote or removed the row.
    pub version: RowVersion,
}

/// Condition of a transaction that a row has a certain version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionCheck {
    /// Table of the row, which may differ from those of the other rows of the transaction.
    pub table: &'static str,
    /// Key of the row in the partition of the transaction.
    pub key: String,
    /// Expected version; 0 when the row must be absent.
    pub version: RowVersion,
}

/// Write of a transaction that creates a row or replaces its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowContent {
    /// Table of the row, which may differ from those of the other rows of the transaction.
    pub table: &'static str,
    /// Key of the row in the partition of the transaction.
    pub key: String,
    /// Content in the encoding of the table, stored as opaque bytes.
    pub value: Vec<u8>,
}

/// Table and key of a row that a transaction removes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowName {
    /// Table of the row, which may differ from those of the other rows of the transaction.
    pub table: &'static str,
    /// Key of the row in the partition of the transaction.
    pub key: String,
}

/// Writes and removals in one partition that are applied together if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionTransaction {
    /// Partition of all rows of the transaction.
    pub part: String,
    /// Conditions on rows, which need not be among the written ones.
    pub checks: Vec<VersionCheck>,
    /// Rows to create or replace.
    pub writes: Vec<RowContent>,
    /// Rows to remove; absent ones are ignored.
    pub drops: Vec<RowName>,
}

/// Result of a transaction that the store decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionResult {
    /// All writes were applied at this version.
    Applied(RowVersion),
    /// A check failed and nothing was applied; holds the current rows of the checks, without those that do not exist.
    Conflict(Vec<StoredRow>),
}

/// Range of keys to read in one partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowRange {
    /// Table to read; a range covers one partition of one table.
    pub table: String,
    /// Partition to read; empty for tables that have only one.
    pub part: String,
    /// First key of the range; `None` to start with the first row of the partition.
    pub from: Option<String>,
    /// First key after the range; `None` to end with the last row of the partition.
    pub to: Option<String>,
}

/// Rows of a range, all read at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeRows {
    /// Existing rows in key order.
    pub rows: Vec<StoredRow>,
    /// Whether more rows of the range follow, which another read returns.
    pub is_truncated: bool,
    /// Newest version of the whole store at the time of the read.
    pub version: RowVersion,
}

/// Changes of a table after a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChanges {
    /// Changed rows in the order of their versions, and the version to continue from.
    Rows(Vec<StoredRow>, RowVersion),
    /// The store no longer keeps changes that old; the whole table must be read again.
    HistoryLost,
}

/// Row store of an installation as a set of functions.
pub struct RowStore {
    /// Applies a transaction, or reports the conflict of a failed check.
    pub transact: Box<dyn Fn(PartitionTransaction) -> StoreFuture<TransactionResult> + Send + Sync>,
    /// Reads a range of rows, up to the page size of the store.
    pub read_range: Box<dyn Fn(RowRange) -> StoreFuture<RangeRows> + Send + Sync>,
    /// Returns the changes of a table after a version, in all partitions; waits for them up to the given duration.
    pub read_changes: Box<dyn Fn(&'static str, RowVersion, Duration) -> StoreFuture<TableChanges> + Send + Sync>,
    /// Current time of the store's monotonic clock, estimated from the last answer; `None` before the first answer.
    pub store_time: Box<dyn Fn() -> Option<Duration> + Send + Sync>,
}

impl std::fmt::Debug for RowStore {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("RowStore")
    }
}

impl RowStore {
    /// Reads all rows of a partition with keys from `from` up to, but not including, `to`, page by page.
    ///
    /// The returned version is that of the first page. Changes read after this version include all that later pages may
    /// have missed.
    ///
    /// # Errors
    ///
    /// Any [`StoreCallError`] of a page; the rows read until then are dropped.
    pub async fn read_partition(
        &self,
        table: &str,
        part: &str,
        from: Option<String>,
        to: Option<String>,
    ) -> Result<(Vec<StoredRow>, RowVersion), StoreCallError> {
        let mut range = RowRange { table: table.to_owned(), part: part.to_owned(), from, to };
        let mut rows: Vec<StoredRow> = Vec::new();
        let mut first_version = None;
        loop {
            let page = (self.read_range)(range.clone()).await?;
            let version = *first_version.get_or_insert(page.version);
            let last_key = page.rows.last().map(|row| row.key.clone());
            rows.extend(page.rows);
            match last_key {
                // The smallest key after the last one read.
                Some(key) if page.is_truncated => range.from = Some(format!("{key}\0")),
                _ => return Ok((rows, version)),
            }
        }
    }
}
