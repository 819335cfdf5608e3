//! Report of a run, as JSON and as text.

use std::fmt::Write as _;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::measures::{KindMeasure, LoadMeasures, RefusalCount};
use super::options::LoadOptions;
use super::plan::RequestKind;
use super::process_usage::ProcessUsage;

/// Counts and latency of the requests of one kind that took one way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyRow {
    /// Kind of request.
    pub kind: RequestKind,
    /// Whether they were sent directly to a target.
    pub direct: bool,
    /// Requests sent.
    pub sent: u64,
    /// Complete and correct answers; latency is theirs.
    pub done: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals by result code.
    pub refusals: Vec<RefusalCount>,
    /// Missing and broken answers.
    pub failed: u64,
    /// Answers with wrong content.
    pub wrong: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency in microseconds.
    pub p99_us: u64,
    /// Highest latency in microseconds.
    pub max_us: u64,
}

/// Difference between the percentiles of requests through hosts and of direct ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// Kind of request.
    pub kind: RequestKind,
    /// Difference of the medians in microseconds.
    pub p50_us: i64,
    /// Difference of the 99th percentiles in microseconds.
    pub p99_us: i64,
}

/// What a run measured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Rate that was asked for in requests per second.
    pub rate: f64,
    /// Time from the first arrival to the last answer in seconds.
    pub seconds: f64,
    /// Requests that started late, because the most at one time were under way.
    pub late_starts: u64,
    /// Most streams held at one time.
    pub streams_held: u64,
    /// Counts and latency by kind and way.
    pub rows: Vec<LatencyRow>,
    /// Latency that hosts add, for kinds that took both ways.
    pub added: Vec<AddedLatency>,
    /// Observed processes.
    pub processes: Vec<ProcessUsage>,
}

impl LoadReport {
    /// Row of a kind and way.
    #[must_use]
    pub fn row(&self, kind: RequestKind, direct: bool) -> Option<&LatencyRow> {
        self.rows.iter().find(|row| row.kind == kind && row.direct == direct)
    }
}

pub(super) fn make_report(
    options: &LoadOptions,
    measures: &LoadMeasures,
    elapsed: Duration,
    processes: Vec<ProcessUsage>,
) -> LoadReport {
    let rows: Vec<LatencyRow> = measures.kinds().iter().map(make_row).collect();
    let added = rows.iter().filter(|row| !row.direct).filter_map(|row| {
        let direct = rows.iter().find(|other| other.direct && other.kind == row.kind)?;
        let has_both = row.done > 0 && direct.done > 0;
        has_both.then(|| AddedLatency {
            kind: row.kind,
            p50_us: row.p50_us.cast_signed() - direct.p50_us.cast_signed(),
            p99_us: row.p99_us.cast_signed() - direct.p99_us.cast_signed(),
        })
    });
    LoadReport {
        seed: options.seed,
        rate: options.rate,
        seconds: elapsed.as_secs_f64(),
        late_starts: measures.late(),
        streams_held: measures.most_held(),
        added: added.collect(),
        rows,
        processes,
    }
}

fn make_row(measure: &KindMeasure) -> LatencyRow {
    LatencyRow {
        kind: measure.kind,
        direct: measure.is_direct,
        sent: measure.sent,
        done: measure.done,
        refused: measure.refusals.iter().map(|refusal| refusal.count).sum(),
        refusals: measure.refusals.clone(),
        failed: measure.failed,
        wrong: measure.wrong,
        p50_us: measure.latency.value_at_quantile(0.5),
        p99_us: measure.latency.value_at_quantile(0.99),
        max_us: measure.latency.max(),
    }
}

/// Report for people; times in milliseconds.
#[must_use]
pub fn report_text(report: &LoadReport) -> String {
    let mut text = format!(
        "seed {}, {} requests/s asked for, {:.1} s, {} late starts, {} streams held at once\n",
        report.seed, report.rate, report.seconds, report.late_starts, report.streams_held
    );
    let _ = writeln!(
        text,
        "{:<11} {:<7} {:>6} {:>6} {:>7} {:>6} {:>5} {:>9} {:>9} {:>9}",
        "KIND", "WAY", "SENT", "DONE", "REFUSED", "FAILED", "WRONG", "P50 MS", "P99 MS", "MAX MS"
    );
    for row in &report.rows {
        let _ = writeln!(
            text,
            "{:<11} {:<7} {:>6} {:>6} {:>7} {:>6} {:>5} {:>9} {:>9} {:>9}",
            kind_name(row.kind),
            if row.direct { "direct" } else { "host" },
            row.sent,
            row.done,
            row.refused,
            row.failed,
            row.wrong,
            shown_ms(row.p50_us.cast_signed()),
            shown_ms(row.p99_us.cast_signed()),
            shown_ms(row.max_us.cast_signed())
        );
    }
    for row in &report.rows {
        for refusal in &row.refusals {
            let _ = writeln!(text, "refused {}: {} with code {}", kind_name(row.kind), refusal.count, refusal.code);
        }
    }
    for added in &report.added {
        let (p50, p99) = (shown_ms(added.p50_us), shown_ms(added.p99_us));
        let _ = writeln!(text, "added to {}: p50 {p50} ms, p99 {p99} ms", kind_name(added.kind));
    }
    for process in &report.processes {
        let end = if process.ended { ", ended" } else { "" };
        let mebibytes = process.peak_resident_kib / 1024;
        let _ = writeln!(
            text,
            "process {}: {:.1}% of a core, {mebibytes} MiB resident at most{end}",
            process.pid, process.cpu_percent
        );
    }
    text
}

fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Completion => "completion",
        RequestKind::Stream => "stream",
        RequestKind::Booking => "booking",
        RequestKind::Page => "page",
    }
}

/// Microseconds as milliseconds with two decimals, without rounding errors of floating point.
fn shown_ms(microseconds: i64) -> String {
    let sign = if microseconds < 0 { "-" } else { "" };
    let microseconds = microseconds.unsigned_abs();
    format!("{sign}{}.{:02}", microseconds / 1000, microseconds % 1000 / 10)
}
