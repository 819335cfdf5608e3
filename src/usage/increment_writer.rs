//! Writes an increment to the store so that it is counted in exactly one window.
//!
//! An increment is written on condition that its window is not closed. An increment that is missing from a closed
//! window can no longer be added there, so it is counted in a later window. Several writers can do this at once: the
//! host and the holders of its replicas. The first of them to write the `corrections` row decides on the window; the
//! others find that row and write nothing.

use crate::generated::peer_messages::UsageRow;
use crate::generated::platform_messages::TransactionAnswer;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};
use crate::usage::UsageTiming;
use crate::usage::usage_rows::{
    CLOSED_WINDOWS_TABLE, CORRECTIONS_TABLE, CorrectionRow, EMPTY_ROW_VALUE, OPEN_WINDOWS_TABLE, USAGE_TABLE,
    WindowStart, parse_window_key, window_key,
};

/// Further windows that are tried for a late increment when the first one is closed too. The window that is current by
/// the wall clock of this host can be closed already, because the wall clocks of hosts differ a little.
const LATER_WINDOWS_TRIED: u64 = 3;

/// Outcome of writing an increment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncrementOutcome {
    /// The increment is in the store, written by this call or an earlier one.
    Stored,
    /// The increment is in the store and counted in a later window.
    Corrected,
    /// The increment is not known to be in the store: the store gave no usable result, all windows that were tried are
    /// closed, or the key of the row is malformed. The caller should try again later.
    Unresolved,
}

/// Writes an increment to the window in its key. If that window is closed, the increment is counted in a later one:
/// `current_window`, the window of the wall clock, or one after it.
///
/// `has_open_row` says that `open_windows` is known to hold the window of the increment, because this host has stored
/// an increment of the same window earlier. The row is not written again then.
#[must_use]
pub fn write_increment(
    store: &StoreAccess,
    row: &UsageRow,
    current_window: WindowStart,
    has_open_row: bool,
    timing: UsageTiming,
) -> IncrementOutcome {
    try_write_increment(store, row, current_window, has_open_row, timing).unwrap_or(IncrementOutcome::Unresolved)
}

fn try_write_increment(
    store: &StoreAccess,
    row: &UsageRow,
    current_window: WindowStart,
    has_open_row: bool,
    timing: UsageTiming,
) -> Result<IncrementOutcome, StoreCallError> {
    let window = parse_window_key(&row.key).ok_or(StoreCallError::Malformed)?;
    let window_row_key = window_key(window);
    // Version 0 requires that the row does not exist.
    let checks = vec![row_check(USAGE_TABLE, &row.key, 0), row_check(CLOSED_WINDOWS_TABLE, &window_row_key, 0)];
    let mut writes = vec![row_write(USAGE_TABLE, &row.key, row.value.clone())];
    if !has_open_row {
        writes.push(row_write(OPEN_WINDOWS_TABLE, &window_row_key, EMPTY_ROW_VALUE.to_owned()));
    }
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.applied || has_conflict(&answer, USAGE_TABLE) {
        return Ok(IncrementOutcome::Stored);
    }
    if !has_conflict(&answer, CLOSED_WINDOWS_TABLE) {
        return Ok(IncrementOutcome::Unresolved);
    }
    correct_increment(store, row, window, current_window, timing)
}

/// Counts an increment of a closed window in the first window that is not closed, from the current one on.
fn correct_increment(
    store: &StoreAccess,
    row: &UsageRow,
    window: WindowStart,
    current_window: WindowStart,
    timing: UsageTiming,
) -> Result<IncrementOutcome, StoreCallError> {
    let name = row.key.split_once('/').map(|(_, name)| name).ok_or(StoreCallError::Malformed)?;
    let window_seconds = timing.window.as_secs();
    let first_window = current_window.max(window + window_seconds);
    for later_window in (0..=LATER_WINDOWS_TRIED).map(|count| first_window + count * window_seconds) {
        let key = format!("{}/{name}", window_key(later_window));
        let correction = CorrectionRow { window: later_window };
        let correction = serde_json::to_string(&correction).map_err(|_| StoreCallError::Malformed)?;
        let checks = vec![
            row_check(USAGE_TABLE, &row.key, 0),
            row_check(CORRECTIONS_TABLE, name, 0),
            row_check(CLOSED_WINDOWS_TABLE, &window_key(later_window), 0),
        ];
        let writes = vec![
            row_write(CORRECTIONS_TABLE, name, correction),
            row_write(USAGE_TABLE, &key, row.value.clone()),
            row_write(OPEN_WINDOWS_TABLE, &window_key(later_window), EMPTY_ROW_VALUE.to_owned()),
        ];
        let answer = (store.transact)(&new_writer_token(), checks, writes)?;
        if answer.applied || has_conflict(&answer, CORRECTIONS_TABLE) {
            log::warn!(increment = row.key.as_str(), window = later_window; "usage_increment_late");
            return Ok(IncrementOutcome::Corrected);
        }
        if has_conflict(&answer, USAGE_TABLE) {
            return Ok(IncrementOutcome::Stored);
        }
    }
    Ok(IncrementOutcome::Unresolved)
}

/// Whether the transaction failed because a row that must be absent exists in this table.
fn has_conflict(answer: &TransactionAnswer, table: &str) -> bool {
    answer.conflicts.iter().any(|row| row.table == table && row.version > 0)
}
