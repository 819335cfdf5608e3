//! Output of commands: aligned text for people, JSON for programs.

use std::fmt::Write as _;

use crate::generated::caller_messages::{HostView, RefusalRecord, TargetView};
use crate::generated::platform_messages::UsageFigure;

/// Table with a header row and aligned columns.
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

/// Table of hosts.
#[must_use]
pub fn host_table(hosts: &[HostView]) -> String {
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

/// Table of targets.
#[must_use]
pub fn target_table(targets: &[TargetView]) -> String {
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
        shown(target.running),
        shown(target.limit),
    ]
}

fn shown(figure: Option<u32>) -> String {
    figure.map_or_else(|| "-".to_owned(), |figure| figure.to_string())
}

/// Table of refusals.
#[must_use]
pub fn refusal_table(refusals: &[RefusalRecord]) -> String {
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

/// Table of usage figures.
#[must_use]
pub fn usage_table(figures: &[UsageFigure]) -> String {
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
