//! Writing one increment to the store, once, into exactly one window.
//!
//! An increment is written on condition that its window is not closed. When it is, and the increment is not there, it
//! never can be, and it is counted in a later window instead. The `corrections` row chooses that window: of several
//! writers (the host and the holders of its replicas) one chooses, and the others find its choice.

use crate::generated::peer_messages::UsageRow;
use crate::generated::platform_messages::TransactionAnswer;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_write};
use crate::usage::UsageTiming;
use crate::usage::usage_rows::{
    CLOSED_WINDOWS_TABLE, CORRECTIONS_TABLE, CorrectionRow, EMPTY_ROW_VALUE, OPEN_WINDOWS_TABLE, USAGE_TABLE,
    WindowStart, window_key, window_of_key,
};

/// Windows after the present one that are tried for a late increment: wall clocks of hosts may differ a little.
const LATE_WINDOWS: u64 = 3;

/// How the write of an increment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncrementOutcome {
    /// It is in the store.
    Stored,
    /// It is in the store, in a later window.
    Corrected,
    /// The store gave no result, or the row has a malformed key; try again.
    NoAnswer,
}

/// Writes an increment. `present` is the window of the wall clock; it counts the increment when its own window is
/// closed. `is_marked` says that this host has stored an increment of the window before, so that the window is in
/// `open_windows` until it is closed.
#[must_use]
pub fn write_increment(
    store: &StoreAccess,
    row: &UsageRow,
    present: WindowStart,
    is_marked: bool,
    timing: UsageTiming,
) -> IncrementOutcome {
    try_increment(store, row, present, is_marked, timing).unwrap_or(IncrementOutcome::NoAnswer)
}

fn try_increment(
    store: &StoreAccess,
    row: &UsageRow,
    present: WindowStart,
    is_marked: bool,
    timing: UsageTiming,
) -> Result<IncrementOutcome, StoreCallError> {
    let window = window_of_key(&row.key).ok_or(StoreCallError::Malformed)?;
    let closed_key = window_key(window);
    let checks = vec![row_check(USAGE_TABLE, &row.key, 0), row_check(CLOSED_WINDOWS_TABLE, &closed_key, 0)];
    let mut writes = vec![row_write(USAGE_TABLE, &row.key, row.value.clone())];
    if !is_marked {
        writes.push(row_write(OPEN_WINDOWS_TABLE, &closed_key, EMPTY_ROW_VALUE.to_owned()));
    }
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.applied || has_conflict(&answer, USAGE_TABLE) {
        return Ok(IncrementOutcome::Stored);
    }
    if !has_conflict(&answer, CLOSED_WINDOWS_TABLE) {
        return Ok(IncrementOutcome::NoAnswer);
    }
    correct_increment(store, row, window, present, timing)
}

/// Counts an increment of a closed window in a later one.
fn correct_increment(
    store: &StoreAccess,
    row: &UsageRow,
    window: WindowStart,
    present: WindowStart,
    timing: UsageTiming,
) -> Result<IncrementOutcome, StoreCallError> {
    let name = row.key.split_once('/').map(|(_, name)| name).ok_or(StoreCallError::Malformed)?;
    let length = timing.window.as_secs();
    let first = present.max(window + length);
    for later in (0..=LATE_WINDOWS).map(|count| first + count * length) {
        let key = format!("{}/{name}", window_key(later));
        let correction = CorrectionRow { window: later };
        let correction = serde_json::to_string(&correction).map_err(|_| StoreCallError::Malformed)?;
        let checks = vec![
            row_check(USAGE_TABLE, &row.key, 0),
            row_check(CORRECTIONS_TABLE, name, 0),
            row_check(CLOSED_WINDOWS_TABLE, &window_key(later), 0),
        ];
        let writes = vec![
            row_write(CORRECTIONS_TABLE, name, correction),
            row_write(USAGE_TABLE, &key, row.value.clone()),
            row_write(OPEN_WINDOWS_TABLE, &window_key(later), EMPTY_ROW_VALUE.to_owned()),
        ];
        let answer = (store.transact)(&new_writer_token(), checks, writes)?;
        if answer.applied || has_conflict(&answer, CORRECTIONS_TABLE) {
            log::warn!(increment = row.key.as_str(), window = later; "usage_increment_late");
            return Ok(IncrementOutcome::Corrected);
        }
        if has_conflict(&answer, USAGE_TABLE) {
            return Ok(IncrementOutcome::Stored);
        }
    }
    Ok(IncrementOutcome::NoAnswer)
}

/// Whether a check of a row in this table failed because the row is present.
fn has_conflict(answer: &TransactionAnswer, table: &str) -> bool {
    answer.conflicts.iter().any(|row| row.table == table && row.version > 0)
}
