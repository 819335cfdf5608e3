//! Closing a usage window: its figures are frozen once, and the same bytes are reported until they are accepted.
//!
//! First the window is closed, so that no increment can be added to it any more. Then one transaction freezes the
//! report on condition that there is none and that the owner's resource row is unchanged. Whoever owns the window after
//! that sends the frozen bytes.

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

/// Function that hands a report to the platform.
pub type ReportSender = Arc<dyn Fn(&[u8]) -> Result<(), StoreCallError> + Send + Sync>;

/// Right of an owner to report a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowClaim {
    /// Window.
    pub window: WindowStart,
    /// Fencing number.
    pub epoch: LeaseEpoch,
    /// Version of the resource row while this claim holds.
    pub row_version: u64,
}

/// How one attempt to report a window ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseOutcome {
    /// The platform accepted the report, and the store has a note of that.
    Accepted,
    /// Something gave no result; try again.
    NotYet,
    /// Another host owns the window.
    Fenced,
}

/// Tries once to close, freeze and report a window. `is_held` says whether the claim holds now; it is asked last thing
/// before the report is sent.
#[must_use]
pub fn close_window(
    store: &StoreAccess,
    send: &ReportSender,
    claim: &WindowClaim,
    is_held: &dyn Fn() -> bool,
) -> CloseOutcome {
    try_close(store, send, claim, is_held).unwrap_or(CloseOutcome::NotYet)
}

fn try_close(
    store: &StoreAccess,
    send: &ReportSender,
    claim: &WindowClaim,
    is_held: &dyn Fn() -> bool,
) -> Result<CloseOutcome, StoreCallError> {
    let key = window_key(claim.window);
    let row = match store.row(REPORTS_TABLE, &key)? {
        Some(row) => row,
        None => match freeze_window(store, claim)? {
            Some(row) => row,
            None => return Ok(CloseOutcome::Fenced),
        },
    };
    let frozen: ReportRow = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
    if !frozen.accepted {
        if !is_held() {
            return Ok(CloseOutcome::Fenced);
        }
        send(frozen.report.as_bytes())?;
        note_accepted(store, &key, &row, frozen)?;
    }
    Ok(CloseOutcome::Accepted)
}

/// Closes the window and freezes its figures; `None` when another host owns the window.
fn freeze_window(store: &StoreAccess, claim: &WindowClaim) -> Result<Option<TableRow>, StoreCallError> {
    let key = window_key(claim.window);
    let resource = row_check(RESOURCES_TABLE, &window_resource(claim.window), claim.row_version);
    let checks = vec![resource.clone(), row_check(CLOSED_WINDOWS_TABLE, &key, 0)];
    let writes = vec![row_write(CLOSED_WINDOWS_TABLE, &key, EMPTY_ROW_VALUE.to_owned())];
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.conflicts.iter().any(|row| row.table == RESOURCES_TABLE) {
        return Ok(None);
    }
    let rows = store.all_rows(USAGE_TABLE, &increment_prefix(claim.window))?;
    let frozen = build_report(store, claim, &rows)?;
    let value = serde_json::to_string(&frozen).map_err(|_| StoreCallError::Malformed)?;
    let checks = vec![resource, row_check(CLOSED_WINDOWS_TABLE, &key, 1), row_check(REPORTS_TABLE, &key, 0)];
    let writes = vec![row_write(REPORTS_TABLE, &key, value)];
    let answer = (store.transact)(&new_writer_token(), checks, writes)?;
    if answer.conflicts.iter().any(|row| row.table == RESOURCES_TABLE) {
        return Ok(None);
    }
    // Read back in every case: only bytes that are in the store may be sent.
    store.row(REPORTS_TABLE, &key)?.map(Some).ok_or(StoreCallError::Malformed)
}

fn build_report(store: &StoreAccess, claim: &WindowClaim, rows: &[TableRow]) -> Result<ReportRow, StoreCallError> {
    let mut figures = Vec::new();
    for row in rows {
        let increment: IncrementRow = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
        figures.extend(increment.figures);
    }
    let report = UsageReport {
        report_id: report_id(claim.window),
        window: claim.window,
        epoch: claim.epoch,
        figures: sum_figures(figures),
    };
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    let included = serde_json::to_vec(&keys).map_err(|_| StoreCallError::Malformed)?;
    let included_object = format!("usage/{}/{}", window_key(claim.window), content_digest(&included));
    (store.put_object)(&included_object, &included)?;
    Ok(ReportRow {
        report: serde_json::to_string(&report).map_err(|_| StoreCallError::Malformed)?,
        included: u32::try_from(rows.len()).unwrap_or(u32::MAX),
        included_object,
        accepted: false,
    })
}

/// Notes that the platform accepted a report, and takes the window out of the index of open windows.
fn note_accepted(store: &StoreAccess, key: &str, row: &TableRow, frozen: ReportRow) -> Result<(), StoreCallError> {
    let accepted = ReportRow { accepted: true, ..frozen };
    let value = serde_json::to_string(&accepted).map_err(|_| StoreCallError::Malformed)?;
    let writes = vec![row_write(REPORTS_TABLE, key, value), row_delete(OPEN_WINDOWS_TABLE, key)];
    // A conflict means that another owner of the window has written the same note.
    (store.transact)(&new_writer_token(), vec![row_check(REPORTS_TABLE, key, row.version)], writes)?;
    log::info!(window = key, included = accepted.included; "usage_window_reported");
    Ok(())
}
