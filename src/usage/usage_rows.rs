//! Keys and values of the usage rows in the store.
//!
//! | table | key | content |
//! |---|---|---|
//! | `usage` | `{window}/{host}.{incarnation}.{sequence}` | one increment; written once |
//! | `open_windows` | `{window}` | empty; exists from the first increment until the report is accepted |
//! | `closed_windows` | `{window}` | empty; written once, and no increment can be added to the window after that |
//! | `reports` | `{window}` | version 1: the frozen report; version 2: the same, accepted by the platform |
//! | `corrections` | `{host}.{incarnation}.{sequence}` | window in which a late increment is counted; written once |

use serde::{Deserialize, Serialize};

use crate::generated::platform_messages::UsageFigure;
use crate::prelude::*;
use crate::usage::UsageTiming;

/// Table of increments, by window and increment name.
pub const USAGE_TABLE: &str = "usage";
/// Table of windows that have increments and no accepted report.
pub const OPEN_WINDOWS_TABLE: &str = "open_windows";
/// Table of windows to which no increment can be added any more.
pub const CLOSED_WINDOWS_TABLE: &str = "closed_windows";
/// Table of frozen reports, by window.
pub const REPORTS_TABLE: &str = "reports";
/// Table of the windows in which late increments are counted, by increment name.
pub const CORRECTIONS_TABLE: &str = "corrections";

/// Value of the rows of `open_windows` and `closed_windows`, of which only the existence matters.
pub const EMPTY_ROW_VALUE: &str = "{}";

/// Start of a usage window in seconds since the Unix epoch.
pub type WindowStart = u64;

/// Window that contains a time of the wall clock, given in seconds since the Unix epoch.
#[must_use]
pub fn window_of(wall_seconds: u64, timing: UsageTiming) -> WindowStart {
    wall_seconds - wall_seconds % timing.window.as_secs().max(1)
}

/// Key of the rows of a window in `open_windows`, `closed_windows` and `reports`, and first part of the key in `usage`.
#[must_use]
pub fn window_key(window: WindowStart) -> String {
    format!("{window:010}")
}

/// Parses the window at the start of a row key; `None` when the key does not start with a window.
#[must_use]
pub fn parse_window_key(key: &str) -> Option<WindowStart> {
    key.split('/').next()?.parse().ok()
}

/// Prefix of the keys in `usage` of all increments of a window.
#[must_use]
pub fn increment_prefix(window: WindowStart) -> String {
    format!("{}/", window_key(window))
}

/// Name of an increment: unique, and the same in any window that counts the increment.
#[must_use]
pub fn increment_name(host: &str, incarnation: Incarnation, sequence: u64) -> String {
    format!("{host}.{incarnation:016x}.{sequence:08}")
}

/// Name of the resource whose owner may report a window.
#[must_use]
pub fn window_resource(window: WindowStart) -> String {
    format!("usage/{}", window_key(window))
}

/// Id under which the platform receives the report of a window.
#[must_use]
pub fn report_id(window: WindowStart) -> String {
    format!("usage-{}", window_key(window))
}

/// Value of a row of `usage`: usage of one window that one host added up until it sealed the row; a sealed row never
/// changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncrementRow {
    /// Window in which the requests finished; the increment can be counted in a later one.
    pub window: WindowStart,
    /// One figure for each organisation and service, sorted by both.
    pub figures: Vec<IncrementFigure>,
}

/// Usage of one service by one organisation within an increment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncrementFigure {
    /// Organisation that is charged; empty on routes that need no key.
    pub organisation: OrganisationId,
    /// Service that ran the requests.
    pub service: ServiceId,
    /// Number of requests that are charged.
    pub requests: u64,
    /// Number of tokens produced.
    pub tokens: u64,
    /// Time that targets spent on the requests, in milliseconds.
    pub target_ms: u64,
}

/// Value of a row of `corrections`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CorrectionRow {
    /// Window in which the late increment is counted.
    pub window: WindowStart,
}

/// Value of a row of `reports`: a report whose figures are final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRow {
    /// Text of the report, byte for byte as it is sent.
    pub report: String,
    /// Number of increments that the report includes.
    pub included: u32,
    /// Name of the object that lists the keys of these increments. With 420 hosts that each flush 60 times in a window,
    /// there are 25,200 increments, too many for a row.
    pub included_object: String,
    /// Whether the platform accepted the report.
    pub accepted: bool,
}

/// Adds up the figures of each organisation and service; the sums are sorted by both and saturate.
#[must_use]
pub fn sum_figures(figures: impl IntoIterator<Item = IncrementFigure>) -> Vec<UsageFigure> {
    let mut sums: Vec<UsageFigure> = Vec::new();
    for figure in figures {
        let order = |sum: &UsageFigure| {
            (sum.organisation.as_str(), sum.service.as_str())
                .cmp(&(figure.organisation.as_str(), figure.service.as_str()))
        };
        match sums.binary_search_by(order) {
            Ok(position) => {
                let sum = &mut sums[position];
                sum.requests = sum.requests.saturating_add(figure.requests);
                sum.tokens = sum.tokens.saturating_add(figure.tokens);
                sum.target_ms = sum.target_ms.saturating_add(figure.target_ms);
            }
            Err(position) => sums.insert(
                position,
                UsageFigure {
                    organisation: figure.organisation,
                    service: figure.service,
                    requests: figure.requests,
                    tokens: figure.tokens,
                    target_ms: figure.target_ms,
                },
            ),
        }
    }
    sums
}
