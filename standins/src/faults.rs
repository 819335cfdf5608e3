//! Faults that a stand-in plays on request.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The connection is closed without effect. Without path prefix and counts, the port refuses connections too.
    Down,
    /// The request is delayed, also when its caller has given up by then.
    Slow,
    /// The request takes effect, and the connection is closed without an answer.
    AnswerLost,
    /// The request is held until the fault ends, and takes effect then, also when its caller has given up.
    Freeze,
    /// The answer is status 503, without effect.
    Refuse,
    /// Ends the faults in force: all, or those with the same path prefix.
    Clear,
}

/// Order to play a fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What happens.
    pub kind: FaultKind,
    /// Affects only paths that start with this text.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Leaves this number of matching requests alone first.
    #[serde(default)]
    pub skip: u32,
    /// Affects this number of requests, then ends; unlimited when absent.
    #[serde(default)]
    pub count: Option<u32>,
    /// Ends after this time in milliseconds; unlimited when absent.
    #[serde(default)]
    pub duration_ms: Option<u64>,
    /// Delay of [`FaultKind::Slow`] in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

impl FaultSpec {
    /// Order without limits.
    #[must_use]
    pub fn new(kind: FaultKind) -> Self {
        Self { kind, path_prefix: None, skip: 0, count: None, duration_ms: None, delay_ms: 0 }
    }

    /// Order to delay each request.
    #[must_use]
    pub fn slow(delay: Duration) -> Self {
        Self { delay_ms: millis(delay), ..Self::new(FaultKind::Slow) }
    }

    /// The same order for paths that start with `prefix`.
    #[must_use]
    pub fn on(mut self, prefix: &str) -> Self {
        self.path_prefix = Some(prefix.to_owned());
        self
    }

    /// The same order for the next `count` requests.
    #[must_use]
    pub fn times(mut self, count: u32) -> Self {
        self.count = Some(count);
        self
    }

    /// The same order after `count` requests that are left alone.
    #[must_use]
    pub fn after(mut self, count: u32) -> Self {
        self.skip = count;
        self
    }

    /// The same order with an end.
    #[must_use]
    pub fn lasting(mut self, duration: Duration) -> Self {
        self.duration_ms = Some(millis(duration));
        self
    }

    /// Whether the whole port goes down.
    fn closes_port(&self) -> bool {
        self.kind == FaultKind::Down && self.path_prefix.is_none() && self.count.is_none() && self.skip == 0
    }

    fn matches(&self, path: &str) -> bool {
        self.path_prefix.as_ref().is_none_or(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Fault chosen for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChosenFault {
    pub(crate) kind: FaultKind,
    pub(crate) delay: Duration,
    id: u64,
}

#[derive(Debug)]
struct ActiveFault {
    id: u64,
    order: FaultSpec,
    skip: u32,
    remaining: Option<u32>,
    ends: Option<Instant>,
}

impl ActiveFault {
    fn is_over(&self, now: Instant) -> bool {
        let is_spent = self.remaining == Some(0) && self.order.kind != FaultKind::Freeze;
        is_spent || self.ends.is_some_and(|end| end <= now)
    }
}

/// Faults in force at one stand-in, in the order they were given.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    active: Mutex<Vec<ActiveFault>>,
    changes: watch::Sender<u64>,
}

impl FaultInjector {
    pub(crate) fn new() -> Self {
        Self { active: Mutex::new(Vec::new()), changes: watch::Sender::new(0) }
    }

    /// Puts an order in force.
    pub(crate) fn apply(&self, order: FaultSpec) {
        let mut active = self.active.lock().expect("the fault list is intact");
        if order.kind == FaultKind::Clear {
            active.retain(|fault| order.path_prefix.is_some() && fault.order.path_prefix != order.path_prefix);
        } else {
            let ends = order.duration_ms.map(|millis| Instant::now() + Duration::from_millis(millis));
            let id = *self.changes.borrow() + 1;
            active.push(ActiveFault { id, skip: order.skip, remaining: order.count, ends, order });
        }
        drop(active);
        self.changes.send_modify(|change| *change += 1);
    }

    /// Whether the port refuses connections now.
    pub(crate) fn closes_port(&self) -> bool {
        let now = Instant::now();
        let mut active = self.active.lock().expect("the fault list is intact");
        active.retain(|fault| !fault.is_over(now));
        active.iter().any(|fault| fault.order.closes_port())
    }

    /// Chooses the fault of a request and counts it.
    pub(crate) fn choose(&self, path: &str) -> Option<ChosenFault> {
        let now = Instant::now();
        let mut active = self.active.lock().expect("the fault list is intact");
        active.retain(|fault| !fault.is_over(now));
        for fault in active.iter_mut().filter(|fault| fault.order.matches(path) && fault.remaining != Some(0)) {
            if fault.skip > 0 {
                fault.skip -= 1;
                continue;
            }
            fault.remaining = fault.remaining.map(|remaining| remaining - 1);
            let delay = Duration::from_millis(fault.order.delay_ms);
            return Some(ChosenFault { kind: fault.order.kind, delay, id: fault.id });
        }
        None
    }

    /// Waits until a fault is no longer in force.
    pub(crate) async fn wait_for_end(&self, fault: ChosenFault) {
        let mut changes = self.changes.subscribe();
        loop {
            let Some(ends) = self.find_end(fault.id) else { return };
            let end = tokio::time::Instant::from_std(ends);
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    /// End of a fault in force; far in the future when it has none.
    fn find_end(&self, id: u64) -> Option<Instant> {
        const FAR_AWAY: Duration = Duration::from_hours(24);
        let now = Instant::now();
        let mut active = self.active.lock().expect("the fault list is intact");
        active.retain(|fault| !fault.is_over(now));
        active.iter().find(|fault| fault.id == id).map(|fault| fault.ends.unwrap_or(now + FAR_AWAY))
    }
}
