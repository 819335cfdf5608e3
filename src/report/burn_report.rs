//! Merges the counts of several hosts into the burn report, with burn rates and the rest of each error budget.

use std::fmt::Write as _;

use serde::Serialize;

use crate::admin::output::text_table;
use crate::generated::caller_messages::{BurnAnswer, BurnEntry, MinuteCount};
use crate::prelude::*;

/// Counts and burn rate of one service and organisation within one window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window in minutes.
    pub window_minutes: u32,
    /// Number of requests that met the objective.
    pub good: u64,
    /// Number of requests that failed or were too slow.
    pub bad: u64,
    /// Share of bad requests divided by the allowed share; a rate of 1 uses up the error budget exactly.
    pub burn_rate: f64,
}

/// Objective, burn and counts of one service and organisation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnLine {
    /// Service whose objective is reported.
    pub service: ServiceId,
    /// Organisation whose requests are counted; empty for routes that need no key.
    pub organisation: OrganisationId,
    /// Share of requests that must be good.
    pub good_share: f64,
    /// A request slower than this many milliseconds is bad.
    pub latency_ms: u32,
    /// Burn by window, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Share of the error budget of the longest window that is left; negative when more than the budget is used.
    pub budget_left: f64,
    /// Counts by minute, newest first; minutes without requests are left out.
    pub minutes: Vec<MinuteCount>,
}

/// Burn report over all hosts that answered.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Hosts whose counts are included.
    pub hosts: Vec<HostId>,
    /// Hosts that did not answer; their counts are missing.
    pub silent_hosts: Vec<HostId>,
    /// Number of minutes over which every included host has counted requests, rounded up: the minute that has just
    /// begun is included. 0 without hosts.
    pub kept_minutes: u32,
    /// Lines sorted by service and organisation.
    pub lines: Vec<BurnLine>,
}

/// Merges the counts of several hosts. For each pair of service and organisation, the objective is taken from the first
/// answer that has counts of the pair.
#[must_use]
pub fn merge_burn(answers: &[BurnAnswer], silent_hosts: Vec<HostId>) -> BurnReport {
    let mut entries: Vec<BurnEntry> = Vec::new();
    for entry in answers.iter().flat_map(|answer| &answer.entries) {
        let key = (entry.service.as_str(), entry.organisation.as_str());
        match entries.binary_search_by(|known| (known.service.as_str(), known.organisation.as_str()).cmp(&key)) {
            Ok(position) => merge_entry(&mut entries[position], entry),
            Err(position) => entries.insert(position, entry.clone()),
        }
    }
    BurnReport {
        hosts: answers.iter().map(|answer| answer.host.clone()).collect(),
        silent_hosts,
        kept_minutes: answers.iter().map(|answer| answer.kept_minutes).min().unwrap_or(0),
        lines: entries.iter().map(build_line).collect(),
    }
}

fn merge_entry(known: &mut BurnEntry, entry: &BurnEntry) {
    for window in &entry.windows {
        if let Some(sum) = known.windows.iter_mut().find(|sum| sum.window_minutes == window.window_minutes) {
            sum.good += window.good;
            sum.bad += window.bad;
        }
    }
    for minute in &entry.minutes {
        add_minute(&mut known.minutes, minute);
    }
}

/// Adds the counts of one minute to `sums`, which are sorted by age.
pub(super) fn add_minute(sums: &mut Vec<MinuteCount>, minute: &MinuteCount) {
    match sums.binary_search_by_key(&minute.age_minutes, |sum| sum.age_minutes) {
        Ok(position) => {
            sums[position].good += minute.good;
            sums[position].bad += minute.bad;
        }
        Err(position) => sums.insert(position, minute.clone()),
    }
}

fn build_line(entry: &BurnEntry) -> BurnLine {
    let windows: Vec<WindowBurn> = entry
        .windows
        .iter()
        .map(|window| WindowBurn {
            window_minutes: window.window_minutes,
            good: window.good,
            bad: window.bad,
            burn_rate: burn_rate(window.good, window.bad, entry.good_share),
        })
        .collect();
    let budget_left = windows.last().map_or(1.0, |window| 1.0 - window.burn_rate);
    BurnLine {
        service: entry.service.clone(),
        organisation: entry.organisation.clone(),
        good_share: entry.good_share,
        latency_ms: entry.latency_ms,
        windows,
        budget_left,
        minutes: entry.minutes.clone(),
    }
}

/// Share of bad requests divided by the allowed share, which is `1 - good_share`; 0 without requests.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
pub fn burn_rate(good: u64, bad: u64, good_share: f64) -> f64 {
    let all = good + bad;
    if all == 0 {
        return 0.0;
    }
    (bad as f64 / all as f64) / (1.0 - good_share)
}

/// Formats the report as text: the hosts, then a table with one row for each service and organisation.
#[must_use]
pub fn report_text(report: &BurnReport) -> String {
    let mut text = format!("hosts included: {}\n", report.hosts.join(", "));
    if !report.silent_hosts.is_empty() {
        let _ = writeln!(text, "PARTIAL: no answer from {}", report.silent_hosts.join(", "));
    }
    let _ = writeln!(
        text,
        "counted for at least {} minutes; a burn rate of 1.00 uses the budget exactly up",
        report.kept_minutes
    );
    let rows: Vec<Vec<String>> = report.lines.iter().map(format_line).collect();
    text.push_str(&text_table(
        &["SERVICE", "ORGANISATION", "OBJECTIVE", "REQUESTS", "BAD", "BURN_5M", "BURN_1H", "BURN_6H", "BUDGET_LEFT"],
        &rows,
    ));
    text
}

fn format_line(line: &BurnLine) -> Vec<String> {
    let format_rate = |minutes: u32| {
        let window = line.windows.iter().find(|window| window.window_minutes == minutes);
        window.map_or_else(|| "-".to_owned(), |window| format!("{:.2}", window.burn_rate))
    };
    let longest = line.windows.last();
    // Requests on routes that need no key have an empty organisation.
    let organisation = if line.organisation.is_empty() { "(open)" } else { &line.organisation };
    vec![
        line.service.clone(),
        organisation.to_owned(),
        format!("{:.2}% in {} ms", line.good_share * 100.0, line.latency_ms),
        longest.map_or(0, |window| window.good + window.bad).to_string(),
        longest.map_or(0, |window| window.bad).to_string(),
        format_rate(5),
        format_rate(60),
        format_rate(360),
        format!("{:.0}%", line.budget_left * 100.0),
    ]
}
