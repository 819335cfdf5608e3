//! One target as its coordinator sees it: permits in flight, reported load, and the limit that follows from them.

use crate::generated::engine_messages::EngineLoad;
use crate::generated::services_text::{TargetEntry, TargetTier};
use crate::policy::capacity_share::ShareHistory;
use crate::policy::prefix_index::TargetHandle;
use crate::policy::slow_start::SlowStart;
use crate::policy::target_choice::TargetCandidate;
use crate::prelude::*;

/// Start times that differ by at most this belong to the same start. The age of a report is rounded and lags behind,
/// so computed start times vary.
const START_TIME_TOLERANCE: Duration = Duration::from_secs(2);

/// Time without a load report after which [`CoordinatedTarget::has_recent_report`] is false.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Least and most permits in flight between two load reports.
#[derive(Debug, Clone, Copy)]
struct PermitRange {
    least: u32,
    most: u32,
}

impl PermitRange {
    fn at(in_flight: u32) -> Self {
        Self { least: in_flight, most: in_flight }
    }

    fn record(&mut self, in_flight: u32) {
        self.least = self.least.min(in_flight);
        self.most = self.most.max(in_flight);
    }
}

/// State of one target at its coordinator.
#[derive(Debug, Clone)]
pub struct CoordinatedTarget {
    /// Entry of this target in the configuration.
    pub entry: TargetEntry,
    /// Identifier of the target at this coordinator, never reused.
    pub handle: TargetHandle,
    /// Limit that rises from `bears` to `slots` of the entry while the target warms up.
    pub slow_start: SlowStart,
    /// Start of the delay before this host may use its capacity share: when it became the coordinator, or when its last
    /// pause ended.
    pub coordinator_since: BootTime,
    /// Permits in flight at this coordinator, including those adopted from a former coordinator.
    pub in_flight: u32,
    /// Whether the target may get new requests by the configuration.
    pub is_in_rotation: bool,
    /// Current weight version by the last load report; `None` before the first one.
    pub weight_version: Option<WeightVersion>,
    /// Running requests by the last load report that no permit in flight here accounts for.
    uncounted_running: u32,
    /// Permits whose holders were lost, counted until a load report that was taken after the last loss.
    lost_permits: u32,
    last_lost_at: BootTime,
    permit_range: PermitRange,
    last_permit_range: PermitRange,
    started_at: Option<BootTime>,
    reported_at: Option<BootTime>,
}

impl CoordinatedTarget {
    /// Creates the state of a target that this host starts to coordinate with `in_flight` known permits.
    #[must_use]
    pub fn new(entry: &TargetEntry, handle: TargetHandle, in_flight: u32, now: BootTime) -> Self {
        Self {
            entry: entry.clone(),
            handle,
            slow_start: SlowStart::new(entry.bears, entry.slots, now),
            coordinator_since: now,
            in_flight,
            is_in_rotation: true,
            weight_version: None,
            uncounted_running: 0,
            lost_permits: 0,
            last_lost_at: now,
            permit_range: PermitRange::at(in_flight),
            last_permit_range: PermitRange::at(in_flight),
            started_at: None,
            reported_at: None,
        }
    }

    /// Applies a changed entry. A new address means another process, so the slow start begins again.
    pub fn apply_entry(&mut self, entry: &TargetEntry, now: BootTime) {
        if self.entry.address != entry.address {
            self.slow_start = SlowStart::new(entry.bears, entry.slots, now);
            self.started_at = None;
        }
        self.slow_start.resize(entry.bears, entry.slots);
        self.entry = entry.clone();
    }

    /// Counts a permit as in flight.
    pub fn add_permit(&mut self) {
        self.in_flight += 1;
        self.permit_range.record(self.in_flight);
    }

    /// Counts a permit as ended.
    pub fn remove_permit(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.permit_range.record(self.in_flight);
    }

    /// Records that the holder of a permit is lost; [`Self::remove_permit`] has been called for the permit.
    ///
    /// The request may still run, so it counts as running until a load report that was taken after the loss. A target
    /// that never reports would never free the slot, so its lost permits are not counted.
    pub fn record_lost_permit(&mut self, now: BootTime) {
        if self.started_at.is_some() {
            self.lost_permits += 1;
            self.last_lost_at = now;
        }
        // The next load reports subtract these ranges. With the lost permit in them, its request would not be seen.
        self.permit_range = PermitRange::at(self.in_flight);
        self.last_permit_range = self.permit_range;
    }

    /// Applies a load report; returns whether the target restarted since the last one.
    ///
    /// Requests beyond the permits in flight here are uncounted: another coordinator granted them, or this one granted
    /// them to a holder that it lost. The report may be up to two report periods old, and the number of permits may
    /// have changed meanwhile. While the domain is partitioned, another coordinator may be granting, so the least
    /// number of permits of the two periods is subtracted. Otherwise the most is subtracted, because a target with
    /// short requests would seem to run uncounted ones all the time.
    pub fn apply_load(&mut self, now: BootTime, load: &EngineLoad, is_partitioned: bool) -> bool {
        self.weight_version = Some(load.weight_version);
        self.reported_at = Some(now);
        let least = self.permit_range.least.min(self.last_permit_range.least);
        let most = self.permit_range.most.max(self.last_permit_range.most);
        self.uncounted_running = load.running.saturating_sub(if is_partitioned { least } else { most });
        self.last_permit_range = self.permit_range;
        self.permit_range = PermitRange::at(self.in_flight);
        if now.saturating_sub(Duration::from_millis(load.age_ms)) > self.last_lost_at {
            self.lost_permits = 0;
        }
        let uptime = Duration::from_millis(load.started_ms.saturating_add(load.age_ms));
        let started_at = now.saturating_sub(uptime);
        let has_restarted = self.started_at.is_some_and(|known| started_at > known + START_TIME_TOLERANCE);
        if has_restarted {
            self.slow_start.restart(now);
        }
        if has_restarted || self.started_at.is_none() {
            self.started_at = Some(started_at);
        }
        has_restarted
    }

    /// Requests that the target is assumed to run: permits in flight, plus uncounted requests or lost permits,
    /// whichever are more.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.in_flight.saturating_add(self.uncounted_running.max(self.lost_permits))
    }

    /// Whether a load report arrived within the last `LOAD_REPORT_TIMEOUT`.
    #[must_use]
    pub fn has_recent_report(&self, now: BootTime) -> bool {
        self.reported_at.is_some_and(|reported_at| now.saturating_sub(reported_at) < LOAD_REPORT_TIMEOUT)
    }

    /// Most requests that this coordinator may run on the target at one time: its capacity share of the limit that the
    /// slow start allows.
    #[must_use]
    pub fn limit(&self, now: BootTime, shares: &ShareHistory) -> u32 {
        shares.share(now, self.coordinator_since, self.slow_start.limit())
    }

    /// Returns the figures that the choice of a target compares.
    #[must_use]
    pub fn to_candidate(&self, now: BootTime, shares: &ShareHistory) -> TargetCandidate<'_> {
        TargetCandidate {
            handle: self.handle,
            id: &self.entry.id,
            is_firm: self.entry.tier != Some(TargetTier::Cheap),
            is_in_rotation: self.is_in_rotation,
            running: self.running(),
            limit: self.limit(now, shares),
            weight_version: self.weight_version,
        }
    }
}
