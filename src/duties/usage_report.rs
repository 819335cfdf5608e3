//! Usage of a window in the store: the counts that each host writes, and the frozen sum that the leader reports.
//!
//! The leader freezes the sum in the store before it sends the report, so that all reports of a window have the same
//! figures, whichever host sends them.

use crate::duties::usage_counter::{OrganisationCount, WindowNumber, add_count};
use crate::prelude::*;
use crate::row_store::{
    PartitionTransaction, RowContent, RowStore, StoreCallError, StoredRow, TransactionResult, VersionCheck,
};

/// Table of the usage counts; one row for each window and incarnation of a host.
pub const COUNT_TABLE: &str = "usage_counts";

/// Table of the frozen sums; one row for each window.
pub const REPORT_TABLE: &str = "usage_reports";

fn window_key(window: WindowNumber) -> String {
    format!("{window:016}")
}

/// Writes the counts of one host for a window; a repeat writes the same row.
///
/// # Errors
///
/// The store call gave no result; the row may have been written.
pub async fn write_counts(
    store: &RowStore,
    host: &str,
    incarnation: Incarnation,
    window: WindowNumber,
    counts: &[OrganisationCount],
) -> Result<(), StoreCallError> {
    let key = format!("{}/{host}-{incarnation:016x}", window_key(window));
    let value = serde_json::to_vec(counts).unwrap_or_default();
    let writes = vec![RowContent { table: COUNT_TABLE, key, value }];
    (store.transact)(PartitionTransaction { writes, ..PartitionTransaction::default() }).await?;
    Ok(())
}

/// Sums the counts in the rows by organisation; a row that cannot be read is logged and left out.
#[must_use]
pub fn sum_counts(rows: &[StoredRow]) -> Vec<OrganisationCount> {
    let mut sums = Vec::new();
    for row in rows {
        let value = row.value.as_deref().unwrap_or_default();
        match serde_json::from_slice::<Vec<OrganisationCount>>(value) {
            Ok(counts) => counts.iter().for_each(|count| add_count(&mut sums, &count.organisation, count.count)),
            Err(error) => log::warn!(row = row.key, error = error.to_string(); "usage_row_unreadable"),
        }
    }
    sums
}

/// Freezes the sum of the counts of a window and returns it, or returns the sum that is frozen already.
///
/// # Errors
///
/// A store call gave no result, and the sum may be frozen; or the frozen sum cannot be read.
pub async fn freeze_window(store: &RowStore, window: WindowNumber) -> Result<Vec<OrganisationCount>, StoreCallError> {
    let key = window_key(window);
    let (from, to) = (format!("{key}/"), format!("{key}0"));
    let (rows, _) = store.read_partition(COUNT_TABLE, "", Some(from), Some(to)).await?;
    let sums = sum_counts(&rows);
    let transaction = PartitionTransaction {
        checks: vec![VersionCheck { table: REPORT_TABLE, key: key.clone(), version: 0 }],
        writes: vec![RowContent { table: REPORT_TABLE, key, value: serde_json::to_vec(&sums).unwrap_or_default() }],
        ..PartitionTransaction::default()
    };
    match (store.transact)(transaction).await? {
        TransactionResult::Applied(_) => Ok(sums),
        TransactionResult::Conflict(rows) => {
            let value = rows.first().and_then(|row| row.value.as_deref()).unwrap_or_default();
            serde_json::from_slice(value).map_err(|_| StoreCallError::Malformed)
        }
    }
}
