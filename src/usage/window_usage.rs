//! Reads the usage of a window from the store.

use crate::generated::platform_messages::{UsageFigure, UsageReport};
use crate::store_client::StoreCallError;
use crate::store_client::store_access::StoreAccess;
use crate::usage::usage_rows::{
    IncrementRow, REPORTS_TABLE, ReportRow, USAGE_TABLE, WindowStart, increment_prefix, sum_figures, window_key,
};

/// How final the figures of a window are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WindowState {
    /// The figures are not frozen; more increments may be added.
    Open,
    /// The figures are final, but the store does not record yet that the platform accepted them.
    Frozen,
    /// The platform has accepted the figures.
    Accepted,
}

/// Figures of a window, as far as they are in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowUsage {
    /// Window, given by its start in seconds since the Unix epoch.
    pub window: WindowStart,
    /// Whether the figures can still change.
    pub state: WindowState,
    /// Number of increments that the figures include.
    pub increments: u32,
    /// Figures, sorted by organisation and service.
    pub figures: Vec<UsageFigure>,
}

/// Reads the frozen figures of a window, or the sum of its increments so far when the window is not frozen.
///
/// # Errors
///
/// The store gave no result, or the content of a row is malformed.
pub fn window_usage(store: &StoreAccess, window: WindowStart) -> Result<WindowUsage, StoreCallError> {
    if let Some(row) = store.row(REPORTS_TABLE, &window_key(window))? {
        let frozen: ReportRow = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
        let report: UsageReport = serde_json::from_str(&frozen.report).map_err(|_| StoreCallError::Malformed)?;
        let state = if frozen.accepted { WindowState::Accepted } else { WindowState::Frozen };
        return Ok(WindowUsage { window, state, increments: frozen.included, figures: report.figures });
    }
    let rows = store.all_rows(USAGE_TABLE, &increment_prefix(window))?;
    let mut figures = Vec::new();
    for row in &rows {
        let increment: IncrementRow = serde_json::from_str(&row.value).map_err(|_| StoreCallError::Malformed)?;
        figures.extend(increment.figures);
    }
    let increments = u32::try_from(rows.len()).unwrap_or(u32::MAX);
    Ok(WindowUsage { window, state: WindowState::Open, increments, figures: sum_figures(figures) })
}
