//! Load, failures and pace of each target that this host uses.
//!
//! Several hosts send work to the same targets without coordination. Each host counts its own requests immediately, and
//! those of other hosts from their rows, about a second late. Targets therefore rarely get more requests than they have
//! slots. A target that breaks connections, or is several times slower than its peers, gets no new work for a while.
//! Cold targets get requests at a limited rate, which all hosts share, and so do targets that announce a rate limit.

use std::collections::VecDeque;

use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::share_table::ShareTable;
use crate::fleet::target_limit::LimitTable;
use crate::policy::limit_share::{LIMIT_WINDOW, ShareClock};
use crate::prelude::*;

/// Backoff after the first failure; doubles with each further failure in a row.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff for a target that refused a request because it was full or was loading weights.
const FULL_TARGET_BACKOFF: Duration = Duration::from_millis(100);

/// Backoff for a target that is much slower than its peers.
const SLOW_TARGET_BACKOFF: Duration = Duration::from_secs(3);

/// Weight of a new measurement in the exponentially smoothed pace of a target.
const PACE_SMOOTHING_FACTOR: f64 = 0.2;

/// Window over which started requests are counted against the cold start quota.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Load and health of one target, as observed through the requests of this host.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// Id of the target, by which the table is sorted.
    pub target: TargetId,
    /// Requests of this host in flight, those of batch jobs included.
    pub running: u32,
    /// Requests of batch jobs and resumable streams of this host in flight, which other hosts are told of.
    pub long_running: u32,
    /// Number of failures since the last success.
    pub failures: u32,
    /// Time before which the target gets no new work, unless no other target is left.
    pub paused_until: BootTime,
    /// Smoothed seconds per event or request, so that a higher value means a slower target; `None` until measured.
    pub pace: Option<f64>,
    /// Version of each model that this host last saw on the target, in a response or after a weight load.
    pub seen_versions: Vec<(String, WeightVersion)>,
    /// Start times of the requests that were started while the target was cold, within the last second.
    cold_starts: Vec<BootTime>,
    /// Start times of all requests within the last [`LIMIT_WINDOW`], in order.
    recent_starts: VecDeque<BootTime>,
    /// Share of the announced rate limit, as last computed.
    limit_share: Option<CachedShare>,
}

/// Share of a rate limit that was computed a short time ago.
#[derive(Debug, Clone, Copy)]
struct CachedShare {
    rate: MilliRate,
    share: u64,
    computed_at: BootTime,
}

/// Time for which the share of a limit is cached.
const MAX_SHARE_AGE: Duration = Duration::from_millis(250);

impl TargetLoad {
    fn new(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            running: 0,
            long_running: 0,
            failures: 0,
            paused_until: BootTime::ZERO,
            pace: None,
            seen_versions: Vec::new(),
            cold_starts: Vec::new(),
            recent_starts: VecDeque::new(),
            limit_share: None,
        }
    }
}

/// Time for which a median pace is cached; each run asks for the median after every few events.
const MAX_MEDIAN_PACE_AGE: Duration = Duration::from_millis(250);

/// Cached median of the paces of a service's targets.
#[derive(Debug)]
struct MedianPace {
    service: ServiceId,
    pace: Option<f64>,
    computed_at: BootTime,
}

/// Loads of the targets that this host has used, sorted by target id, their announced rate limits, and the cached medians
/// of their paces.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: Vec<TargetLoad>,
    /// Rate limits that targets announce.
    pub limits: LimitTable,
    /// Hosts that share these limits.
    pub shares: ShareTable,
    median_paces: Vec<MedianPace>,
}

impl LoadTable {
    /// Creates an empty table; targets are added with their first request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Load of a target; `None` when this host has not used it.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&TargetLoad> {
        let position = self.loads.binary_search_by(|load| load.target.as_str().cmp(target)).ok()?;
        Some(&self.loads[position])
    }

    /// Load of a target, which is inserted if absent.
    pub fn entry(&mut self, target: &str) -> &mut TargetLoad {
        let position = match self.loads.binary_search_by(|load| load.target.as_str().cmp(target)) {
            Ok(position) => position,
            Err(position) => {
                self.loads.insert(position, TargetLoad::new(target));
                position
            }
        };
        &mut self.loads[position]
    }

    /// Median of the known paces of a service's targets that take new work, up to a quarter of a second old. `None`
    /// when no pace is known.
    pub fn median_pace(&mut self, view: &FleetView, service: &str, now: BootTime) -> Option<f64> {
        self.median_paces.retain(|median| now.saturating_sub(median.computed_at) < MAX_MEDIAN_PACE_AGE);
        if let Some(known) = self.median_paces.iter().find(|median| median.service == service) {
            return known.pace;
        }
        let targets = view.usable_targets(service);
        let mut paces: Vec<f64> = targets.filter_map(|target| self.get(&target.id)?.pace).collect();
        paces.sort_by(f64::total_cmp);
        let pace = paces.get(paces.len() / 2).copied();
        self.median_paces.push(MedianPace { service: service.to_owned(), pace, computed_at: now });
        pace
    }

    /// Loads of all targets that this host has used, sorted by target id.
    #[must_use]
    pub fn loads(&self) -> &[TargetLoad] {
        &self.loads
    }

    /// Drops targets that are not in the view and run no request of this host.
    pub fn retain_known(&mut self, view: &FleetView) {
        self.loads.retain(|load| load.running > 0 || view.target(&load.target).is_some());
    }

    /// Records the start of a request; on a cold target it counts against the quota. `is_long` says whether it belongs to a batch
    /// job or is a resumable stream, so that other hosts are told of it.
    pub fn start(&mut self, target: &str, is_long: bool, is_cold: bool, now: BootTime) {
        let load = self.entry(target);
        load.running += 1;
        load.long_running += u32::from(is_long);
        if is_cold {
            load.cold_starts.push(now);
        }
        self.record_arrival(target, now);
    }

    /// Records a request to a target that counts against its rate limit, whether or not it takes a slot.
    pub fn record_arrival(&mut self, target: &str, now: BootTime) {
        let starts = &mut self.entry(target).recent_starts;
        while starts.front().is_some_and(|start| now.saturating_sub(*start) >= LIMIT_WINDOW) {
            starts.pop_front();
        }
        starts.push_back(now);
    }

    /// Requests that this host may start on a target now without exceeding its share of the rate limit that the target
    /// announces; `None` when no limit is known.
    pub fn limit_allowance(&mut self, target: &TargetEntry, clock: &ShareClock<'_>) -> Option<u32> {
        let rate = self.limits.rate(&target.id)?;
        let cached = self.get(&target.id).and_then(|load| load.limit_share);
        let cached =
            cached.filter(|cached| cached.rate == rate && clock.now.saturating_sub(cached.computed_at) < MAX_SHARE_AGE);
        let share = cached.map_or_else(|| self.shares.share(rate, target, clock), |cached| cached.share);
        let load = self.entry(&target.id);
        if cached.is_none() {
            load.limit_share = Some(CachedShare { rate, share, computed_at: clock.now });
        }
        let starts = load.recent_starts.iter().rev();
        let started = starts.take_while(|start| clock.now.saturating_sub(**start) < LIMIT_WINDOW).count();
        Some(u32::try_from(share.saturating_sub(started as u64)).unwrap_or(u32::MAX))
    }

    /// Records the end of a request, however it ended.
    pub fn end(&mut self, target: &str, is_long: bool) {
        let load = self.entry(target);
        load.running = load.running.saturating_sub(1);
        load.long_running = load.long_running.saturating_sub(u32::from(is_long));
    }

    /// Records a success, which ends the backoff after failures, and the measured pace in seconds per event or request.
    pub fn record_success(&mut self, target: &str, pace: Option<f64>) {
        let load = self.entry(target);
        if load.failures > 0 {
            load.failures = 0;
            load.paused_until = BootTime::ZERO;
        }
        if let Some(pace) = pace {
            self.record_pace(target, pace);
        }
    }

    /// Records a failure; the target gets no new work during a backoff that doubles with each failure.
    pub fn record_failure(&mut self, target: &str, now: BootTime) {
        let load = self.entry(target);
        let backoff = FIRST_BACKOFF.saturating_mul(1 << load.failures.min(5)).min(MAX_BACKOFF);
        load.failures += 1;
        load.paused_until = now + backoff;
    }

    /// Ends the backoffs after failures of all targets, when the failures turn out to be of this host's links.
    pub fn end_backoffs(&mut self) {
        for load in self.loads.iter_mut().filter(|load| load.failures > 0) {
            load.failures = 0;
            load.paused_until = BootTime::ZERO;
        }
    }

    /// Records that a target is much slower than its peers; the target gets no new work for three seconds.
    pub fn record_slow(&mut self, target: &str, now: BootTime) {
        let load = self.entry(target);
        load.paused_until = load.paused_until.max(now + SLOW_TARGET_BACKOFF);
        // The next request measures the pace anew, since the target may have recovered by then.
        load.pace = None;
    }

    /// Merges a measured pace, in seconds per event or request, into the smoothed one.
    pub fn record_pace(&mut self, target: &str, pace: f64) {
        let load = self.entry(target);
        load.pace = Some(load.pace.map_or(pace, |known| known + PACE_SMOOTHING_FACTOR * (pace - known)));
    }

    /// Records that a target refused a request because it was full or was loading weights.
    pub fn record_full(&mut self, target: &str, now: BootTime) {
        let load = self.entry(target);
        load.paused_until = load.paused_until.max(now + FULL_TARGET_BACKOFF);
    }

    /// Records the version of a model that a response or a finished weight load showed, in place of an earlier one.
    pub fn record_version(&mut self, target: &str, model: &str, version: WeightVersion) {
        let load = self.entry(target);
        match load.seen_versions.iter_mut().find(|seen| seen.0 == model) {
            Some(seen) => seen.1 = version,
            None => load.seen_versions.push((model.to_owned(), version)),
        }
    }

    /// Newer of the version in a target's entry and the version that this host last saw on the target.
    #[must_use]
    pub fn model_version(&self, target: &TargetEntry, model: &str) -> Option<WeightVersion> {
        let reported = target.model_version(model);
        let seen = self.get(&target.id).and_then(|load| load.seen_versions.iter().find(|seen| seen.0 == model));
        reported.max(seen.map(|seen| seen.1))
    }

    /// Whether a target has at least version `least` of a model; always true for jobs that name no model.
    #[must_use]
    pub fn allows_version(&self, target: &TargetEntry, model: &str, least: WeightVersion) -> bool {
        model.is_empty() || self.model_version(target, model).is_some_and(|version| version >= least)
    }

    /// Whether this host may start one more request now on a cold target, on which all hosts together may start `rate`
    /// requests per second; without a limit when `rate` is not positive.
    pub fn has_cold_capacity(&mut self, target: &str, rate: f64, clock: &ShareClock<'_>) -> bool {
        let quota = self.shares.cold_quota(rate, target, clock);
        let load = self.entry(target);
        load.cold_starts.retain(|start| clock.now.saturating_sub(*start) < COLD_WINDOW);
        load.cold_starts.len() < usize::try_from(quota).unwrap_or(usize::MAX)
    }
}
