//! Tables of the command output, as text with aligned columns.

use std::fmt::Write as _;

use crate::generated::caller_messages::{HostView, RefusalRecord, TargetView};
use crate::generated::platform_messages::UsageFigure;

/// Formats a table with a header row and left-aligned columns. Cells beyond the header's columns are left out.
#[must_use]
pub fn text_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let titles: Vec<String> = header.iter().map(|title| (*title).to_owned()).collect();
    for row in std::iter::once(&titles).chain(rows) {
        let mut line = String::new();
        for (width, cell) in widths.iter().zip(row) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a table with one row for each host; the incarnation is `-` when it is not known.
#[must_use]
pub fn format_host_table(hosts: &[HostView]) -> String {
    let rows: Vec<Vec<String>> = hosts.iter().map(host_row).collect();
    text_table(&["HOST", "DOMAIN", "STATE", "INCARNATION", "HEARTBEAT_AGE_MS"], &rows)
}

fn host_row(host: &HostView) -> Vec<String> {
    let incarnation = if host.incarnation.is_empty() { "-" } else { &host.incarnation };
    vec![
        host.host.clone(),
        host.failure_domain.clone(),
        host.state.clone(),
        incarnation.to_owned(),
        host.heartbeat_age_ms.to_string(),
    ]
}

/// Formats a table with one row for each target; running requests and concurrency limit are `-` when the asked host
/// does not know them.
#[must_use]
pub fn format_target_table(targets: &[TargetView]) -> String {
    let rows: Vec<Vec<String>> = targets.iter().map(target_row).collect();
    text_table(&["TARGET", "SERVICE", "DOMAIN", "PLACEMENT", "RUNNING", "LIMIT"], &rows)
}

fn target_row(target: &TargetView) -> Vec<String> {
    let placement = if target.out { "out" } else { "in" };
    vec![
        target.id.clone(),
        target.service.clone(),
        target.failure_domain.clone(),
        placement.to_owned(),
        format_figure(target.running),
        format_figure(target.limit),
    ]
}

fn format_figure(figure: Option<u32>) -> String {
    figure.map_or_else(|| "-".to_owned(), |figure| figure.to_string())
}

/// Formats a table with one row for each refused request; ages are in milliseconds.
#[must_use]
pub fn format_refusal_table(refusals: &[RefusalRecord]) -> String {
    let rows: Vec<Vec<String>> = refusals.iter().map(refusal_row).collect();
    text_table(&["REQUEST", "AGE_MS", "CODE", "NAME", "ORGANISATION", "SERVICE"], &rows)
}

fn refusal_row(refusal: &RefusalRecord) -> Vec<String> {
    vec![
        refusal.request_id.clone(),
        refusal.age_ms.to_string(),
        refusal.code.to_string(),
        refusal.name.clone(),
        refusal.organisation.clone(),
        refusal.service.clone(),
    ]
}

/// Formats a table with one row for each organisation and service; target time is in milliseconds.
#[must_use]
pub fn format_usage_table(figures: &[UsageFigure]) -> String {
    let rows: Vec<Vec<String>> = figures.iter().map(usage_row).collect();
    text_table(&["ORGANISATION", "SERVICE", "REQUESTS", "TOKENS", "TARGET_MS"], &rows)
}

fn usage_row(figure: &UsageFigure) -> Vec<String> {
    vec![
        figure.organisation.clone(),
        figure.service.clone(),
        figure.requests.to_string(),
        figure.tokens.to_string(),
        figure.target_ms.to_string(),
    ]
}
