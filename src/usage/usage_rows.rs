//! Rows of usage: their keys and values.
//!
//! | table | key | life |
//! |---|---|---|
//! | `usage` | `{window}/{host}.{incarnation}.{sequence}` | one increment, written once |
//! | `open_windows` | `{window}` | present from the first increment until the report is accepted |
//! | `closed_windows` | `{window}` | written once; no increment can be added to the window after that |
//! | `reports` | `{window}` | version 1 frozen, version 2 accepted by the platform |
//! | `corrections` | `{host}.{incarnation}.{sequence}` | window that counts a late increment, written once |

use serde::{Deserialize, Serialize};

use crate::generated::platform_messages::UsageFigure;
use crate::prelude::*;
use crate::usage::UsageTiming;

/// Table of increments.
pub const USAGE_TABLE: &str = "usage";
/// Table of windows that are not reported.
pub const OPEN_WINDOWS_TABLE: &str = "open_windows";
/// Table of windows that take no more increments.
pub const CLOSED_WINDOWS_TABLE: &str = "closed_windows";
/// Table of frozen reports.
pub const REPORTS_TABLE: &str = "reports";
/// Table of late increments.
pub const CORRECTIONS_TABLE: &str = "corrections";

/// Value of rows that only mark something.
pub const EMPTY_ROW_VALUE: &str = "{}";

/// Start of a usage window in seconds since the Unix epoch.
pub type WindowStart = u64;

/// Window that contains a time of the wall clock.
#[must_use]
pub fn window_of(wall_seconds: u64, timing: UsageTiming) -> WindowStart {
    wall_seconds - wall_seconds % timing.window.as_secs().max(1)
}

/// Key of a window's rows.
#[must_use]
pub fn window_key(window: WindowStart) -> String {
    format!("{window:010}")
}

/// Window of a key.
#[must_use]
pub fn window_of_key(key: &str) -> Option<WindowStart> {
    key.split('/').next()?.parse().ok()
}

/// Prefix of the keys of a window's increments.
#[must_use]
pub fn increment_prefix(window: WindowStart) -> String {
    format!("{}/", window_key(window))
}

/// Name of an increment: unique, and the same in whichever window it is counted.
#[must_use]
pub fn increment_name(host: &str, incarnation: Incarnation, sequence: u64) -> String {
    format!("{host}.{incarnation:016x}.{sequence:08}")
}

/// Name of the resource whose owner reports a window.
#[must_use]
pub fn window_resource(window: WindowStart) -> String {
    format!("usage/{}", window_key(window))
}

/// Id of a window's report.
#[must_use]
pub fn report_id(window: WindowStart) -> String {
    format!("usage-{}", window_key(window))
}

/// An increment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncrementRow {
    /// Window in which the usage arose.
    pub window: WindowStart,
    /// Figures.
    pub figures: Vec<FigureRow>,
}

/// Usage of one service by one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FigureRow {
    /// Organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// Service.
    pub service: ServiceId,
    /// Requests.
    pub requests: u64,
    /// Tokens.
    pub tokens: u64,
    /// Target time in milliseconds.
    pub target_ms: u64,
}

/// Window in which a late increment is counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CorrectionRow {
    /// Window.
    pub window: WindowStart,
}

/// A frozen report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// Report as it is sent, byte for byte.
    pub report: String,
    /// Number of increments included.
    pub included: u32,
    /// Object that lists the keys of the increments included. At the target size there are 25,200 in a window, too
    /// many for a row.
    pub included_object: String,
    /// Whether the platform accepted the report.
    pub accepted: bool,
}

/// Adds figures of equal organisation and service; the result is sorted by both.
#[must_use]
pub fn sum_figures(rows: impl IntoIterator<Item = FigureRow>) -> Vec<UsageFigure> {
    let mut sums: Vec<UsageFigure> = Vec::new();
    for row in rows {
        let order = |sum: &UsageFigure| {
            (sum.organisation.as_str(), sum.service.as_str()).cmp(&(row.organisation.as_str(), row.service.as_str()))
        };
        match sums.binary_search_by(order) {
            Ok(position) => {
                let sum = &mut sums[position];
                sum.requests = sum.requests.saturating_add(row.requests);
                sum.tokens = sum.tokens.saturating_add(row.tokens);
                sum.target_ms = sum.target_ms.saturating_add(row.target_ms);
            }
            Err(position) => sums.insert(
                position,
                UsageFigure {
                    organisation: row.organisation,
                    service: row.service,
                    requests: row.requests,
                    tokens: row.tokens,
                    target_ms: row.target_ms,
                },
            ),
        }
    }
    sums
}
