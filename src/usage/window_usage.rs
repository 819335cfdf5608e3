//! Reading back the usage of a window.

use crate::generated::platform_messages::{UsageFigure, UsageReport};
use crate::store_client::StoreCallError;
use crate::store_client::store_access::StoreAccess;
use crate::usage::usage_rows::{
    IncrementRow, REPORTS_TABLE, ReportRow, USAGE_TABLE, WindowStart, increment_prefix, sum_figures, window_key,
};

/// State of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WindowState {
    /// Further increments may come.
    Open,
    /// The figures are final, and the platform has not accepted them yet.
    Frozen,
    /// The platform accepted the figures.
    Accepted,
}

/// Usage of a window.
#[derive(Debug, Clone, PartialEq)]
pub struct WindowUsage {
    /// Window.
    pub window: WindowStart,
    /// State.
    pub state: WindowState,
    /// Increments included.
    pub increments: u32,
    /// Figures by organisation and service.
    pub figures: Vec<UsageFigure>,
}

/// Reads the usage of a window: the frozen figures, or the sum of the increments so far.
///
/// # Errors
///
/// The store gave no result, or a row cannot be read.
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
