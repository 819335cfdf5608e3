//! Counters and latency histograms of a run, which its requests share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::plan::RequestKind;

/// Significant decimal digits of the latencies in a histogram.
const HISTOGRAM_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// Complete and correct.
    Done,
    /// Refused with this result code, or with this HTTP status if the response has no code.
    Refused(u16),
    /// Failed connection, timeout, or a broken or incomplete response.
    Failed,
    /// Complete with the wrong text.
    Wrong,
}

/// Number of refusals with one result code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Result code, or the HTTP status of responses without one.
    pub code: u16,
    /// Number of refusals with this code.
    pub count: u64,
}

/// Counts and latency of the requests of one kind that went either directly to a target or through hosts.
#[derive(Debug)]
pub(super) struct KindMeasure {
    pub(super) kind: RequestKind,
    pub(super) is_direct: bool,
    pub(super) finished: u64,
    pub(super) done: u64,
    /// Refusals in order of code.
    pub(super) refusals: Vec<RefusalCount>,
    pub(super) failed: u64,
    pub(super) wrong: u64,
    /// Latencies in microseconds of the requests that are done.
    pub(super) latency: Histogram<u64>,
}

/// Shared measures of a run; every method may be called by concurrent requests.
#[derive(Debug)]
pub(super) struct LoadMeasures {
    kinds: Mutex<Vec<KindMeasure>>,
    late_starts: AtomicU64,
    open_streams: AtomicU64,
    max_open_streams: AtomicU64,
}

impl LoadMeasures {
    pub(super) fn new() -> Self {
        Self {
            kinds: Mutex::new(Vec::new()),
            late_starts: AtomicU64::new(0),
            open_streams: AtomicU64::new(0),
            max_open_streams: AtomicU64::new(0),
        }
    }

    /// Measures in order of kind, those of requests through hosts before direct ones. The guard blocks the recording of
    /// requests.
    pub(super) fn lock_kinds(&self) -> MutexGuard<'_, Vec<KindMeasure>> {
        self.kinds.lock().expect("no request panicked while counting")
    }

    pub(super) fn late_starts(&self) -> u64 {
        self.late_starts.load(Ordering::Acquire)
    }

    pub(super) fn max_open_streams(&self) -> u64 {
        self.max_open_streams.load(Ordering::Acquire)
    }

    pub(super) fn record_late_start(&self) {
        self.late_starts.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn record_stream_start(&self) {
        let open_streams = self.open_streams.fetch_add(1, Ordering::AcqRel) + 1;
        self.max_open_streams.fetch_max(open_streams, Ordering::AcqRel);
    }

    pub(super) fn record_stream_end(&self) {
        self.open_streams.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn record_request(
        &self,
        kind: RequestKind,
        is_direct: bool,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        let mut kinds = self.lock_kinds();
        let position = kinds.binary_search_by_key(&(kind, is_direct), |measure| (measure.kind, measure.is_direct));
        let position = position.unwrap_or_else(|position| {
            kinds.insert(position, KindMeasure::new(kind, is_direct));
            position
        });
        kinds[position].record(outcome, latency);
    }
}

impl KindMeasure {
    fn new(kind: RequestKind, is_direct: bool) -> Self {
        let latency = Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is allowed");
        Self { kind, is_direct, finished: 0, done: 0, refusals: Vec::new(), failed: 0, wrong: 0, latency }
    }

    fn record(&mut self, outcome: RequestOutcome, latency: Duration) {
        self.finished += 1;
        match outcome {
            RequestOutcome::Done => {
                self.done += 1;
                // The histogram resizes itself, so no latency that a run can have fails to be recorded.
                let _ = self.latency.record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            RequestOutcome::Refused(code) => self.record_refusal(code),
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Wrong => self.wrong += 1,
        }
    }

    fn record_refusal(&mut self, code: u16) {
        let position = self.refusals.binary_search_by_key(&code, |refusal| refusal.code);
        let position = position.unwrap_or_else(|position| {
            self.refusals.insert(position, RefusalCount { code, count: 0 });
            position
        });
        self.refusals[position].count += 1;
    }
}
