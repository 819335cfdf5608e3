//! Closes and reports a usage window. The figures are frozen once, and the same bytes are sent until the platform
//! accepts them.
//!
//! First the owner closes the window, so that no increment can be added to it any more. Then one transaction freezes
//! the report, on condition that there is no report yet and that the row of the window in the resource table is
//! unchanged, so that the host still owns the window. Each later owner of the window sends the same frozen bytes.

use crate::generated::platform_messages::{TableRow, UsageReport};
use crate::prelude::*;
use crate::samples::step_rows::RESOURCES_TABLE;
use crate::samples::step_spec::content_digest;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_delete, row_write};
use crate::usage::usage_rows::{
    CLOSED_WINDOWS_TABLE, EMPTY_ROW_VALUE, IncrementRow, OPEN_WINDOWS_TABLE, REPORTS_TABLE, ReportRow, USAGE_TABLE,
    WindowStart, increment_prefix, report_id, sum_figures, window_key, window_resource,
};

/// Function that sends a report to the platform. After an error the same bytes may be sent again.
pub type ReportSender = Arc<dyn Fn(&[u8]) -> Result<(), StoreCallError> + Send + Sync>;

/// Ownership of a window, which gives a host the right to report the window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowOwnership {
    /// Window, given by its start in seconds since the Unix epoch.
    pub window: WindowStart,
    /// Epoch of the ownership, sent with the report as its fencing number.
    pub epoch: LeaseEpoch,
    /// Version that the row of the window in the resource table has as long as this ownership lasts.
    pub row_version: u64,
}

/// Outcome of one call of [`close_and_report_window`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseOutcome {
    /// The platform has accepted the report, and the store records that.
    Accepted,
    /// The store or the platform gave no result, or the content of a row is malformed. The caller should try again
    /// later.
    Incomplete,
    /// This host no longer owns the window.
    Fenced,
}

/// Closes, freezes and reports a window; steps that were done before are left out. `is_owner` returns whether the host
/// still owns the window and is called directly before the report is sent.
#[must_use]
pub fn close_and_report_window(
    store: &StoreAccess,
    send_report: &ReportSender,
    ownership: &WindowOwnership,
    is_owner: &dyn Fn() -> bool,
) -> CloseOutcome {
    try_close_and_report(store, send_report, ownership, is_owner).unwrap_or(CloseOutcome::Incomplete)
}

fn try_close_and_report(
    store: &StoreAccess,
    send_report: &ReportSender,
    ownership: &WindowOwnership,
    is_owner: &dyn Fn() -> bool,
) -> Result<CloseOutcome, StoreCallError> {
    let key = window_key(ownership.window);
    let row = match store.row(REPORTS_TABLE, &key)? {
        Some(row) => row,
        None => match freeze_window(store, ownership)? {
            Some(row) => row,
            None => return Ok(CloseOutcome::Fenced),
        },
    };
    let frozen: ReportRow = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
    if !frozen.accepted {
        if !is_owner() {
            return Ok(CloseOutcome::Fenced);
        }
        send_report(frozen.report.as_bytes())?;
        record_accepted(store, &key, &row, frozen)?;
    }
    Ok(CloseOutcome::Accepted)
}

/// Closes the window, freezes its figures and returns the row of the report; `None` when this host no longer owns the
/// window.
fn freeze_window(store: &StoreAccess, ownership: &WindowOwnership) -> Result<Option<TableRow>, StoreCallError> {
    let key = window_key(ownership.window);
    let owner_check = row_check(RESOURCES_TABLE, &window_resource(ownership.window), ownership.row_version);
    let checks = vec![owner_check.clone(), row_check(CLOSED_WINDOWS_TABLE, &key, 0)];
    let writes = vec![row_write(CLOSED_WINDOWS_TABLE, &key, EMPTY_ROW_VALUE.to_owned())];
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.conflicts.iter().any(|row| row.table == RESOURCES_TABLE) {
        return Ok(None);
    }
    let rows = store.all_rows(USAGE_TABLE, &increment_prefix(ownership.window))?;
    let frozen = build_report(store, ownership, &rows)?;
    let value = serde_json::to_string(&frozen).map_err(|_| StoreCallError::Malformed)?;
    let checks = vec![owner_check, row_check(CLOSED_WINDOWS_TABLE, &key, 1), row_check(REPORTS_TABLE, &key, 0)];
    let writes = vec![row_write(REPORTS_TABLE, &key, value)];
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.conflicts.iter().any(|row| row.table == RESOURCES_TABLE) {
        return Ok(None);
    }
    // The row is read back in any case, because another owner may have frozen the report, and only bytes that are in
    // the store may be sent.
    store.row(REPORTS_TABLE, &key)?.map(Some).ok_or(StoreCallError::Malformed)
}

/// Sums up the increments in `rows` and stores the list of their keys as an object.
fn build_report(
    store: &StoreAccess,
    ownership: &WindowOwnership,
    rows: &[TableRow],
) -> Result<ReportRow, StoreCallError> {
    let mut figures = Vec::new();
    for row in rows {
        let increment: IncrementRow = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
        figures.extend(increment.figures);
    }
    let report = UsageReport {
        report_id: report_id(ownership.window),
        window: ownership.window,
        epoch: ownership.epoch,
        figures: sum_figures(figures),
    };
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    let included = serde_json::to_vec(&keys).map_err(|_| StoreCallError::Malformed)?;
    let included_object = format!("usage/{}/{}", window_key(ownership.window), content_digest(&included));
    (store.put_object)(&included_object, &included)?;
    Ok(ReportRow {
        report: serde_json::to_string(&report).map_err(|_| StoreCallError::Malformed)?,
        included: u32::try_from(rows.len()).unwrap_or(u32::MAX),
        included_object,
        accepted: false,
    })
}

/// Records that the platform accepted a report, and removes the window from the table of open windows.
fn record_accepted(store: &StoreAccess, key: &str, row: &TableRow, frozen: ReportRow) -> Result<(), StoreCallError> {
    let accepted = ReportRow { accepted: true, ..frozen };
    let value = serde_json::to_string(&accepted).map_err(|_| StoreCallError::Malformed)?;
    let writes = vec![row_write(REPORTS_TABLE, key, value), row_delete(OPEN_WINDOWS_TABLE, key)];
    // A conflict is ignored: another owner of the window has recorded the same.
    (store.transact)(&new_writer_token(), vec![row_check(REPORTS_TABLE, key, row.version)], writes)?;
    log::info!(window = key, included = accepted.included; "usage_window_reported");
    Ok(())
}
