//! Transactional row store with change feeds, as an installation provides it.
//!
//! The functions are passed in, so that decisions never know which store answers them and tests can inject a fault at
//! every call. A fault says whether a transaction may have taken effect. A store may also apply an unanswered
//! transaction seconds later, so every transaction carries conditions that make a late application harmless.

pub mod store_relay;
pub mod store_router;
pub mod table_watch;

use std::future::Future;
use std::pin::Pin;

use crate::prelude::*;
pub use crate::store_client::StoreCallError;

/// Version of a row; the store raises one counter with each transaction. 0 stands for an absent row.
pub type RowVersion = u64;

/// Answer of a store call that is still under way.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreCallError>> + Send>>;

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Table.
    pub table: String,
    /// Part of the table; transactions are atomic within one part.
    pub part: String,
    /// Key.
    pub key: String,
    /// Content; `None` when the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the last write.
    pub version: RowVersion,
}

/// Condition that a row has a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionCheck {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Expected version; 0 when the row must be absent.
    pub version: RowVersion,
}

/// New content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowContent {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
    /// Content.
    pub value: Vec<u8>,
}

/// Name of a row in the part of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowName {
    /// Table.
    pub table: &'static str,
    /// Key.
    pub key: String,
}

/// Writes that are applied together if all checks hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionTransaction {
    /// Part that all rows share.
    pub part: String,
    /// Conditions.
    pub checks: Vec<VersionCheck>,
    /// Writes.
    pub writes: Vec<RowContent>,
    /// Rows to remove; absent ones are left as they are.
    pub drops: Vec<RowName>,
}

/// Result of a transaction that the store decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionResult {
    /// All writes were applied at this version.
    Applied(RowVersion),
    /// A check failed; the present rows of the checks, absent ones left out.
    Conflict(Vec<StoredRow>),
}

/// Rows of one part in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowRange {
    /// Table.
    pub table: String,
    /// Part.
    pub part: String,
    /// First key.
    pub from: Option<String>,
    /// First key after the range.
    pub to: Option<String>,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeRows {
    /// Rows.
    pub rows: Vec<StoredRow>,
    /// Whether more rows follow.
    pub is_truncated: bool,
    /// Newest version of the store.
    pub version: RowVersion,
}

/// Changes of a table after a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableChanges {
    /// Changed rows in order, and the version to continue from.
    Rows(Vec<StoredRow>, RowVersion),
    /// The store no longer has the history; the table must be read again.
    HistoryLost,
}

/// Functions of a row store.
pub struct RowStore {
    /// Applies a transaction.
    pub transact: Box<dyn Fn(PartitionTransaction) -> StoreFuture<TransactionResult> + Send + Sync>,
    /// Reads rows of a part.
    pub read_range: Box<dyn Fn(RowRange) -> StoreFuture<RangeRows> + Send + Sync>,
    /// Waits up to a duration for changes of a table after a version.
    pub read_changes: Box<dyn Fn(&'static str, RowVersion, Duration) -> StoreFuture<TableChanges> + Send + Sync>,
    /// Time of the store's steady clock now, estimated from its last answer; `None` before the first answer.
    pub store_time: Box<dyn Fn() -> Option<Duration> + Send + Sync>,
}

impl std::fmt::Debug for RowStore {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("RowStore")
    }
}

impl RowStore {
    /// Reads all rows of a part, page by page, with the version of the first page.
    ///
    /// # Errors
    ///
    /// The store gave no answer.
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
