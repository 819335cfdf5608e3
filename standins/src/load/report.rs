//! Report of a run, which is written as JSON or as text.

use std::fmt::Write as _;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::measures::{KindMeasure, LoadMeasures, RefusalCount};
use super::options::LoadOptions;
use super::plan::RequestKind;
use super::process_usage::ProcessUsage;

/// Counts and latency of the requests of one kind that went either directly to a target or through hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyRow {
    /// Kind of the counted requests.
    pub kind: RequestKind,
    /// Whether the requests went directly to a target.
    pub direct: bool,
    /// Requests that ended; those still open at the timeout for open requests are not counted.
    pub sent: u64,
    /// Complete and correct responses; only they count in the latencies.
    pub done: u64,
    /// Responses with a status other than 2xx.
    pub refused: u64,
    /// The refused requests by result code.
    pub refusals: Vec<RefusalCount>,
    /// Requests with a failed connection, a timeout, or a broken or incomplete response.
    pub failed: u64,
    /// Complete responses with the wrong text.
    pub wrong: u64,
    /// Median latency in microseconds; 0 without a correct response.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds; 0 without a correct response.
    pub p99_us: u64,
    /// Highest latency in microseconds; 0 without a correct response.
    pub max_us: u64,
}

/// Latency that hosts add to one kind of request: its percentiles through hosts minus those of direct requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// Kind of the compared requests.
    pub kind: RequestKind,
    /// Difference of the medians in microseconds.
    pub p50_us: i64,
    /// Difference of the 99th percentiles in microseconds.
    pub p99_us: i64,
}

/// Report of a run, also its JSON format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed from which the requests were planned.
    pub seed: u64,
    /// Rate in the options, in requests per second.
    pub rate: f64,
    /// Duration in seconds, from the start of the run to the last response or the timeout for open requests.
    pub seconds: f64,
    /// Requests that started late because the concurrency limit was reached.
    pub late_starts: u64,
    /// Highest number of streams that were read concurrently.
    pub streams_held: u64,
    /// Counts and latency in order of kind, requests through hosts before direct ones.
    pub rows: Vec<LatencyRow>,
    /// Latency that hosts add, for kinds with correct responses both through hosts and directly.
    pub added: Vec<AddedLatency>,
    /// Usage of the observed processes, in the order of the options.
    pub processes: Vec<ProcessUsage>,
}

impl LoadReport {
    /// Row of a kind, of direct requests or of those through hosts; `None` if no such request ended.
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
    let rows: Vec<LatencyRow> = measures.lock_kinds().iter().map(make_row).collect();
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
        late_starts: measures.late_starts(),
        streams_held: measures.max_open_streams(),
        added: added.collect(),
        rows,
        processes,
    }
}

fn make_row(measure: &KindMeasure) -> LatencyRow {
    LatencyRow {
        kind: measure.kind,
        direct: measure.is_direct,
        sent: measure.finished,
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

/// Renders a report as text, with times in milliseconds.
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
            format_ms(row.p50_us.cast_signed()),
            format_ms(row.p99_us.cast_signed()),
            format_ms(row.max_us.cast_signed())
        );
    }
    for row in &report.rows {
        for refusal in &row.refusals {
            let _ = writeln!(text, "refused {}: {} with code {}", kind_name(row.kind), refusal.count, refusal.code);
        }
    }
    for added in &report.added {
        let (p50, p99) = (format_ms(added.p50_us), format_ms(added.p99_us));
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

/// Formats microseconds as milliseconds, cut to two decimals. Integer arithmetic avoids rounding errors.
fn format_ms(microseconds: i64) -> String {
    let sign = if microseconds < 0 { "-" } else { "" };
    let microseconds = microseconds.unsigned_abs();
    format!("{sign}{}.{:02}", microseconds / 1000, microseconds % 1000 / 10)
}
