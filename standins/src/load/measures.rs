//! Counts and latencies of a run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::plan::RequestKind;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// Complete and correct.
    Done,
    /// Refused with this result code; the HTTP status when there is no code.
    Refused(u16),
    /// No answer, or a broken one.
    Failed,
    /// Complete with the wrong content.
    Wrong,
}

/// Number of refusals with one result code.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Result code, or HTTP status of an answer without one.
    pub code: u16,
    /// Number of refusals.
    pub count: u64,
}

/// Requests of one kind that took one way.
#[derive(Debug)]
pub(super) struct KindMeasure {
    pub(super) kind: RequestKind,
    pub(super) is_direct: bool,
    pub(super) sent: u64,
    pub(super) done: u64,
    /// Refusals in order of code.
    pub(super) refusals: Vec<RefusalCount>,
    pub(super) failed: u64,
    pub(super) wrong: u64,
    pub(super) latency: Histogram<u64>,
}

/// Measures of a run.
#[derive(Debug)]
pub(super) struct LoadMeasures {
    kinds: Mutex<Vec<KindMeasure>>,
    late: AtomicU64,
    held: AtomicU64,
    most_held: AtomicU64,
}

impl LoadMeasures {
    pub(super) fn new() -> Self {
        Self {
            kinds: Mutex::new(Vec::new()),
            late: AtomicU64::new(0),
            held: AtomicU64::new(0),
            most_held: AtomicU64::new(0),
        }
    }

    /// Measures by kind, those through hosts before the direct ones.
    pub(super) fn kinds(&self) -> MutexGuard<'_, Vec<KindMeasure>> {
        self.kinds.lock().expect("no request panicked while counting")
    }

    pub(super) fn late(&self) -> u64 {
        self.late.load(Ordering::Acquire)
    }

    pub(super) fn most_held(&self) -> u64 {
        self.most_held.load(Ordering::Acquire)
    }

    pub(super) fn count_late(&self) {
        self.late.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn open_stream(&self) {
        let held = self.held.fetch_add(1, Ordering::AcqRel) + 1;
        self.most_held.fetch_max(held, Ordering::AcqRel);
    }

    pub(super) fn close_stream(&self) {
        self.held.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn add(&self, kind: RequestKind, is_direct: bool, end: RequestEnd, latency: Duration) {
        let mut kinds = self.kinds();
        let position = kinds.binary_search_by_key(&(kind, is_direct), |measure| (measure.kind, measure.is_direct));
        let position = position.unwrap_or_else(|position| {
            kinds.insert(position, KindMeasure::new(kind, is_direct));
            position
        });
        kinds[position].add(end, latency);
    }
}

impl KindMeasure {
    fn new(kind: RequestKind, is_direct: bool) -> Self {
        let latency = Histogram::new(DIGITS).expect("the number of digits is allowed");
        Self { kind, is_direct, sent: 0, done: 0, refusals: Vec::new(), failed: 0, wrong: 0, latency }
    }

    fn add(&mut self, end: RequestEnd, latency: Duration) {
        self.sent += 1;
        match end {
            RequestEnd::Done => {
                self.done += 1;
                // The histogram grows with its values; only one beyond all times of a run can't be recorded.
                let _ = self.latency.record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            RequestEnd::Refused(code) => self.count_refusal(code),
            RequestEnd::Failed => self.failed += 1,
            RequestEnd::Wrong => self.wrong += 1,
        }
    }

    fn count_refusal(&mut self, code: u16) {
        let position = self.refusals.binary_search_by_key(&code, |refusal| refusal.code);
        let position = position.unwrap_or_else(|position| {
            self.refusals.insert(position, RefusalCount { code, count: 0 });
            position
        });
        self.refusals[position].count += 1;
    }
}
