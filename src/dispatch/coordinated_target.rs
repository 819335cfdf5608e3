//! One target as its home sees it.

use crate::generated::engine_messages::EngineLoad;
use crate::generated::services_text::{TargetEntry, TargetTier};
use crate::policy::capacity_share::ShareHistory;
use crate::policy::prefix_index::TargetHandle;
use crate::policy::slow_start::SlowStart;
use crate::policy::target_choice::TargetCandidate;
use crate::prelude::*;

/// Start times that differ by less are the same start; a report's age is rounded and lags.
const START_TOLERANCE: Duration = Duration::from_secs(2);

/// Time without a load report after which a target counts as down.
const REPORT_LIMIT: Duration = Duration::from_secs(10);

/// Least and most own permits of one report period.
#[derive(Debug, Clone, Copy)]
struct OwnRange {
    least: u32,
    most: u32,
}

impl OwnRange {
    fn at(in_flight: u32) -> Self {
        Self { least: in_flight, most: in_flight }
    }

    fn note(&mut self, in_flight: u32) {
        self.least = self.least.min(in_flight);
        self.most = self.most.max(in_flight);
    }
}

/// State of one target at its home.
#[derive(Debug, Clone)]
pub struct CoordinatedTarget {
    /// Entry of the services text.
    pub entry: TargetEntry,
    /// Number at this home.
    pub handle: TargetHandle,
    /// Limit between fresh and warm.
    pub slow_start: SlowStart,
    /// Since when this host is the home.
    pub coordinator_since: BootTime,
    /// Permits in flight, those reported by holders of a former home included.
    pub in_flight: u32,
    /// Whether the operator or the text keeps it in.
    pub is_in_rotation: bool,
    /// Weight version that it reports.
    pub weight_version: Option<WeightVersion>,
    foreign: u32,
    /// Permits of lost holders that no report was taken after.
    lost: u32,
    lost_at: BootTime,
    own: OwnRange,
    last_own: OwnRange,
    started_at: Option<BootTime>,
    reported_at: Option<BootTime>,
}

impl CoordinatedTarget {
    /// Target that this host became the home of.
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
            foreign: 0,
            lost: 0,
            lost_at: now,
            own: OwnRange::at(in_flight),
            last_own: OwnRange::at(in_flight),
            started_at: None,
            reported_at: None,
        }
    }

    /// Takes over a changed entry; a new address is a new target.
    pub fn update(&mut self, entry: &TargetEntry, now: BootTime) {
        if self.entry.address != entry.address {
            self.slow_start = SlowStart::new(entry.bears, entry.slots, now);
            self.started_at = None;
        }
        self.slow_start.resize(entry.bears, entry.slots);
        self.entry = entry.clone();
    }

    /// Counts a permit.
    pub fn add_permit(&mut self) {
        self.in_flight += 1;
        self.own.note(self.in_flight);
    }

    /// Counts the end of a permit.
    pub fn drop_permit(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.own.note(self.in_flight);
    }

    /// Counts a permit whose holder is lost. Its request may still run, so it counts as load from elsewhere until a
    /// report taken later says otherwise; a target that never reports gets the slot back.
    pub fn lose_permit(&mut self, now: BootTime) {
        if self.started_at.is_some() {
            self.lost += 1;
            self.lost_at = now;
        }
        self.own = OwnRange::at(self.in_flight);
        self.last_own = self.own;
    }

    /// Applies a load report; returns whether the target restarted since the last one.
    ///
    /// What it runs beyond this home's own permits was granted elsewhere: by another home, or by this one to a holder
    /// that it has lost. The report is old by an unknown part of two periods, in which the own permits changed. While
    /// the domain is divided the least of them is subtracted, since another home can be at work; otherwise the most,
    /// since a target with short requests would else seem to run foreign ones all the time.
    pub fn apply_load(&mut self, now: BootTime, load: &EngineLoad, is_partitioned: bool) -> bool {
        self.weight_version = Some(load.weight_version);
        self.reported_at = Some(now);
        let least = self.own.least.min(self.last_own.least);
        let most = self.own.most.max(self.last_own.most);
        self.foreign = load.running.saturating_sub(if is_partitioned { least } else { most });
        self.last_own = self.own;
        self.own = OwnRange::at(self.in_flight);
        if now.saturating_sub(Duration::from_millis(load.age_ms)) > self.lost_at {
            self.lost = 0;
        }
        let up_time = Duration::from_millis(load.started_ms.saturating_add(load.age_ms));
        let started_at = now.saturating_sub(up_time);
        let is_restart = self.started_at.is_some_and(|known| started_at > known + START_TOLERANCE);
        if is_restart {
            self.slow_start.restart(now);
        }
        if is_restart || self.started_at.is_none() {
            self.started_at = Some(started_at);
        }
        is_restart
    }

    /// Requests that it runs: own permits, and others that it reports.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.in_flight.saturating_add(self.foreign.max(self.lost))
    }

    /// Whether the target has reported its load lately.
    #[must_use]
    pub fn has_reported(&self, now: BootTime) -> bool {
        self.reported_at.is_some_and(|reported_at| now.saturating_sub(reported_at) < REPORT_LIMIT)
    }

    /// Most requests at one time by this home.
    #[must_use]
    pub fn limit(&self, now: BootTime, shares: &ShareHistory) -> u32 {
        shares.share(now, self.coordinator_since, self.slow_start.limit())
    }

    /// Figures for the choice of a target.
    #[must_use]
    pub fn load(&self, now: BootTime, shares: &ShareHistory) -> TargetCandidate<'_> {
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
