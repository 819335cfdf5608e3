//! What this host does on each target and how that goes.
//!
//! Load pattern: several hosts place work on the same targets without asking each other. Each host counts its own
//! requests at once and those of others from their rows, about a second late, so a target is rarely filled beyond its
//! slots. A target that breaks connections, or is several times slower than its peers, gets no new work for a while;
//! a cold one gets a rate that, summed over all hosts, stays below what it bears.

use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;

/// First pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Pause of a target that refused a request because it was full or loaded weights.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Pause of a target that was found slow.
const SLOW_PAUSE: Duration = Duration::from_secs(3);

/// Share of a new measurement in the smoothed pace of a target.
const PACE_SHARE: f64 = 0.2;

/// Window over which requests to a cold target are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Load of one target as this host sees it.
#[derive(Debug, Clone)]
pub struct TargetLoad {
    /// Target.
    pub target: TargetId,
    /// Requests of this host in flight.
    pub running: u32,
    /// Requests of batch jobs among them.
    pub job_running: u32,
    /// Failures in a row.
    pub failures: u32,
    /// No new work before this time, unless nothing else is left.
    pub paused_until: BootTime,
    /// Smoothed seconds per event or request; `None` before the first measurement.
    pub pace: Option<f64>,
    /// Versions that the target showed in answers, newer than its entry.
    pub seen_versions: Vec<(String, WeightVersion)>,
    /// Recent starts while cold.
    cold_starts: Vec<BootTime>,
}

impl TargetLoad {
    fn new(target: &str) -> Self {
        Self {
            target: target.to_owned(),
            running: 0,
            job_running: 0,
            failures: 0,
            paused_until: BootTime::ZERO,
            pace: None,
            seen_versions: Vec::new(),
            cold_starts: Vec::new(),
        }
    }
}

/// Time for which a usual pace is kept; it is asked for with each few events of each run.
const USUAL_PACE_AGE: Duration = Duration::from_millis(250);

/// Usual pace of a service's targets, as it was found.
#[derive(Debug)]
struct UsualPace {
    service: ServiceId,
    pace: Option<f64>,
    found_at: BootTime,
}

/// Loads of all targets, sorted by target.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: Vec<TargetLoad>,
    usual_paces: Vec<UsualPace>,
}

impl LoadTable {
    /// Table without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Load of a target; `None` when nothing was sent to it.
    #[must_use]
    pub fn get(&self, target: &str) -> Option<&TargetLoad> {
        let position = self.loads.binary_search_by(|load| load.target.as_str().cmp(target)).ok()?;
        Some(&self.loads[position])
    }

    /// Load of a target, added when new.
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

    /// Median of the known paces of a service's targets that take new work, a quarter of a second old at most.
    pub fn median_pace(&mut self, view: &FleetView, service: &str, now: BootTime) -> Option<f64> {
        self.usual_paces.retain(|usual| now.saturating_sub(usual.found_at) < USUAL_PACE_AGE);
        if let Some(known) = self.usual_paces.iter().find(|usual| usual.service == service) {
            return known.pace;
        }
        let targets = view.usable_targets(service);
        let mut paces: Vec<f64> = targets.filter_map(|target| self.get(&target.id)?.pace).collect();
        paces.sort_by(f64::total_cmp);
        let pace = paces.get(paces.len() / 2).copied();
        self.usual_paces.push(UsualPace { service: service.to_owned(), pace, found_at: now });
        pace
    }

    /// All loads.
    #[must_use]
    pub fn loads(&self) -> &[TargetLoad] {
        &self.loads
    }

    /// Forgets targets that are neither listed nor in use.
    pub fn retain_known(&mut self, view: &FleetView) {
        self.loads.retain(|load| load.running > 0 || view.target(&load.target).is_some());
    }

    /// Records the start of a request.
    pub fn start(&mut self, target: &str, is_job: bool, is_cold: bool, now: BootTime) {
        let load = self.entry(target);
        load.running += 1;
        load.job_running += u32::from(is_job);
        if is_cold {
            load.cold_starts.push(now);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, target: &str, is_job: bool) {
        let load = self.entry(target);
        load.running = load.running.saturating_sub(1);
        load.job_running = load.job_running.saturating_sub(u32::from(is_job));
    }

    /// Records that a target served well at this pace, in seconds.
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

    /// Records a failure; the target gets no new work for a while.
    pub fn record_failure(&mut self, target: &str, now: BootTime) {
        let load = self.entry(target);
        let pause = FIRST_PAUSE.saturating_mul(1 << load.failures.min(5)).min(LONGEST_PAUSE);
        load.failures += 1;
        load.paused_until = now + pause;
    }

    /// Records that a target is much slower than the others; it gets no new work until it may have recovered.
    pub fn record_slow(&mut self, target: &str, now: BootTime) {
        let load = self.entry(target);
        load.paused_until = load.paused_until.max(now + SLOW_PAUSE);
        // Measured anew with the next request.
        load.pace = None;
    }

    /// Records a measured pace, in seconds per event or request.
    pub fn record_pace(&mut self, target: &str, pace: f64) {
        let load = self.entry(target);
        load.pace = Some(load.pace.map_or(pace, |known| known + PACE_SHARE * (pace - known)));
    }

    /// Records that a full target wants no more work for a moment.
    pub fn record_full(&mut self, target: &str, now: BootTime) {
        let load = self.entry(target);
        load.paused_until = load.paused_until.max(now + FULL_PAUSE);
    }

    /// Records the version of a model that a target showed.
    pub fn record_version(&mut self, target: &str, model: &str, version: WeightVersion) {
        let load = self.entry(target);
        match load.seen_versions.iter_mut().find(|seen| seen.0 == model) {
            Some(seen) => seen.1 = version,
            None => load.seen_versions.push((model.to_owned(), version)),
        }
    }

    /// Newest version of a model that a target is known to have.
    #[must_use]
    pub fn model_version(&self, target: &TargetEntry, model: &str) -> Option<WeightVersion> {
        let reported = target.model_version(model);
        let seen = self.get(&target.id).and_then(|load| load.seen_versions.iter().find(|seen| seen.0 == model));
        reported.max(seen.map(|seen| seen.1))
    }

    /// Whether a target may generate for a job that allows a model's versions from `least` on; any target may when the job
    /// names no model.
    #[must_use]
    pub fn allows_version(&self, target: &TargetEntry, model: &str, least: WeightVersion) -> bool {
        model.is_empty() || self.model_version(target, model).is_some_and(|version| version >= least)
    }

    /// Whether a cold target bears one more request of this host now.
    pub fn has_cold_capacity(&mut self, target: &str, allowance: u32, now: BootTime) -> bool {
        let load = self.entry(target);
        load.cold_starts.retain(|start| now.saturating_sub(*start) < COLD_WINDOW);
        load.cold_starts.len() < usize::try_from(allowance).unwrap_or(usize::MAX)
    }
}

/// Requests that this host may start on a cold target within one second, so that all hosts together stay below `rate`.
///
/// With more hosts than requests, only the hosts that rank highest for the target may use it.
#[must_use]
pub fn cold_start_quota(rate: f64, target: &str, own_host: &str, hosts: &[&str]) -> u32 {
    if rate <= 0.0 {
        return u32::MAX;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the rate is positive and small")]
    let rate = rate.floor().max(1.0).min(f64::from(u32::MAX)) as u32;
    let count = u32::try_from(hosts.len().max(1)).unwrap_or(u32::MAX);
    if rate >= count {
        return rate / count;
    }
    let own_rank = rendezvous_hash(target, own_host);
    let above = hosts.iter().filter(|host| **host != own_host && rendezvous_hash(target, host) > own_rank).count();
    u32::from(u32::try_from(above).unwrap_or(u32::MAX) < rate)
}
