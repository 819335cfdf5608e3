//! Faults that a stand-in injects into its requests: which faults can be requested, and which are in force.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Effect of a fault on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The connection is closed, and the request has no effect. Without a path prefix, `skip` and `count`, the main
    /// port closes all connections and refuses new ones.
    Down,
    /// The request takes effect after a delay, even when the client has disconnected by then.
    Slow,
    /// The request takes effect, and the connection is closed without a response.
    AnswerLost,
    /// The request is held until the fault ends and takes effect then, even when the client has
    /// disconnected.
    Freeze,
    /// The response is status 503, and the request has no effect.
    Refuse,
    /// Ends faults instead of starting one: those with the same path prefix, or all when the prefix is absent.
    Clear,
}

/// Fault to inject at a stand-in, also as the JSON body of `POST /fault`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Effect on each affected request.
    pub kind: FaultKind,
    /// Affects only requests whose path starts with this text; all requests when absent.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Number of matching requests that pass before the first one is affected; requests that an earlier fault affects
    /// are not counted.
    #[serde(default)]
    pub skip: u32,
    /// Number of requests to affect; unlimited when absent. A [`FaultKind::Freeze`] holds them until `duration_ms` is
    /// over or the fault is cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// Time for which the fault is in force, in milliseconds; unlimited when absent.
    #[serde(default)]
    pub duration_ms: Option<u64>,
    /// Delay of [`FaultKind::Slow`], in milliseconds; ignored for other kinds.
    #[serde(default)]
    pub delay_ms: u64,
}

impl FaultSpec {
    /// Creates a fault that affects all requests and does not end by itself.
    #[must_use]
    pub fn new(kind: FaultKind) -> Self {
        Self { kind, path_prefix: None, skip: 0, count: None, duration_ms: None, delay_ms: 0 }
    }

    /// Creates a [`FaultKind::Slow`] fault that delays all requests.
    #[must_use]
    pub fn slow(delay: Duration) -> Self {
        Self { delay_ms: millis(delay), ..Self::new(FaultKind::Slow) }
    }

    /// Restricts the fault to paths that start with `prefix`.
    #[must_use]
    pub fn on(mut self, prefix: &str) -> Self {
        self.path_prefix = Some(prefix.to_owned());
        self
    }

    /// Restricts the fault to `count` requests.
    #[must_use]
    pub fn times(mut self, count: u32) -> Self {
        self.count = Some(count);
        self
    }

    /// Lets `count` matching requests pass before the first one is affected.
    #[must_use]
    pub fn after(mut self, count: u32) -> Self {
        self.skip = count;
        self
    }

    /// Ends the fault `duration` after it is applied, rounded down to whole milliseconds.
    #[must_use]
    pub fn lasting(mut self, duration: Duration) -> Self {
        self.duration_ms = Some(millis(duration));
        self
    }

    /// Returns whether the fault closes the main port instead of single connections.
    fn should_close_port(&self) -> bool {
        self.kind == FaultKind::Down && self.path_prefix.is_none() && self.count.is_none() && self.skip == 0
    }

    fn matches(&self, path: &str) -> bool {
        self.path_prefix.as_ref().is_none_or(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// Returns a duration in milliseconds, rounded down.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The part of an active fault that one affected request needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChosenFault {
    pub(crate) kind: FaultKind,
    pub(crate) delay: Duration,
    id: u64,
}

/// A fault in force, with the number of requests that it still skips and affects.
#[derive(Debug)]
struct ActiveFault {
    id: u64,
    spec: FaultSpec,
    /// Matching requests that still pass unaffected.
    skip: u32,
    /// Requests still to affect; `None` means no limit.
    remaining: Option<u32>,
    /// Time at which the fault ends; `None` means no limit.
    end: Option<Instant>,
}

impl ActiveFault {
    /// Returns whether the fault has ended by time or count. A freeze stays in force after its last request, which is
    /// held until the fault ends.
    fn has_ended(&self, now: Instant) -> bool {
        let is_used_up = self.remaining == Some(0) && self.spec.kind != FaultKind::Freeze;
        is_used_up || self.end.is_some_and(|end| end <= now)
    }
}

/// Faults in force at one stand-in, in the order in which they were applied.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    active: Mutex<Vec<ActiveFault>>,
    /// Number of applied faults, clears included: the source of fault ids, and the signal for requests that wait for
    /// the end of a fault.
    change_count: watch::Sender<u64>,
}

impl FaultInjector {
    pub(crate) fn new() -> Self {
        Self { active: Mutex::new(Vec::new()), change_count: watch::Sender::new(0) }
    }

    /// Adds a fault to those in force, or ends some for [`FaultKind::Clear`].
    pub(crate) fn apply(&self, spec: FaultSpec) {
        let mut active = self.active.lock().expect("the fault list is intact");
        if spec.kind == FaultKind::Clear {
            active.retain(|fault| spec.path_prefix.is_some() && fault.spec.path_prefix != spec.path_prefix);
        } else {
            let end = spec.duration_ms.map(|duration_ms| Instant::now() + Duration::from_millis(duration_ms));
            let id = *self.change_count.borrow() + 1;
            active.push(ActiveFault { id, skip: spec.skip, remaining: spec.count, end, spec });
        }
        drop(active);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Returns whether a fault in force closes the main port.
    pub(crate) fn should_close_port(&self) -> bool {
        let now = Instant::now();
        let mut active = self.active.lock().expect("the fault list is intact");
        active.retain(|fault| !fault.has_ended(now));
        active.iter().any(|fault| fault.spec.should_close_port())
    }

    /// Returns the first fault that affects a request for `path`, and counts the request; `None` when no fault affects
    /// it.
    pub(crate) fn choose_for_request(&self, path: &str) -> Option<ChosenFault> {
        let now = Instant::now();
        let mut active = self.active.lock().expect("the fault list is intact");
        active.retain(|fault| !fault.has_ended(now));
        for fault in active.iter_mut().filter(|fault| fault.spec.matches(path) && fault.remaining != Some(0)) {
            if fault.skip > 0 {
                fault.skip -= 1;
                continue;
            }
            fault.remaining = fault.remaining.map(|remaining| remaining - 1);
            let delay = Duration::from_millis(fault.spec.delay_ms);
            return Some(ChosenFault { kind: fault.spec.kind, delay, id: fault.id });
        }
        None
    }

    /// Waits until a fault has ended or was cleared.
    pub(crate) async fn wait_for_end(&self, fault: ChosenFault) {
        let mut change_count = self.change_count.subscribe();
        loop {
            let Some(end) = self.find_end_time(fault.id) else { return };
            let end_time = tokio::time::Instant::from_std(end);
            tokio::select! {
                _ = change_count.changed() => {}
                () = tokio::time::sleep_until(end_time) => {}
            }
        }
    }

    /// Returns the end of a fault, or a later time to check again when the fault has no end of its own; `None` when the
    /// fault is no longer in force.
    fn find_end_time(&self, id: u64) -> Option<Instant> {
        const RECHECK_DELAY: Duration = Duration::from_hours(24);
        let now = Instant::now();
        let mut active = self.active.lock().expect("the fault list is intact");
        active.retain(|fault| !fault.has_ended(now));
        active.iter().find(|fault| fault.id == id).map(|fault| fault.end.unwrap_or(now + RECHECK_DELAY))
    }
}
