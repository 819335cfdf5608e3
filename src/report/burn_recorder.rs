//! Counts of good and bad requests by minute, service and organisation.
//!
//! A host has no disk, so it keeps the counts of the last [`KEPT_MINUTES`] in memory. An error budget whose window is
//! longer is reported over these minutes.

use std::collections::VecDeque;
use std::sync::Mutex;

use crate::generated::caller_messages::{BurnAnswer, BurnEntry, MinuteCount, WindowCount};
use crate::generated::services_text::ServiceObjective;
use crate::prelude::*;

/// Number of minutes for which a host keeps counts.
pub const KEPT_MINUTES: usize = 360;

/// Windows of the report in minutes, shortest first. Windows of different length tell a short outage from a lasting
/// loss.
pub const REPORT_WINDOWS: [u32; 3] = [5, 60, 360];

/// Most pairs of service and organisation that are counted; requests of further pairs are ignored.
const MAX_SERIES: usize = 4096;

#[derive(Debug, Clone, Copy, Default)]
struct MinuteTally {
    minute: u64,
    good: u64,
    bad: u64,
}

#[derive(Debug)]
struct BurnSeries {
    service: ServiceId,
    organisation: OrganisationId,
    objective: ServiceObjective,
    /// Oldest first; minutes without requests are left out.
    minutes: VecDeque<MinuteTally>,
}

/// Counts of the requests that one host handled.
#[derive(Debug)]
pub struct BurnRecorder {
    host: HostId,
    failure_domain: DomainId,
    started_at: BootTime,
    /// Sorted by service and organisation.
    series: Mutex<Vec<BurnSeries>>,
}

impl BurnRecorder {
    /// Creates a recorder that counts from `now`.
    #[must_use]
    pub fn new(host: &str, failure_domain: &str, now: BootTime) -> Self {
        Self {
            host: host.to_owned(),
            failure_domain: failure_domain.to_owned(),
            started_at: now,
            series: Mutex::new(Vec::new()),
        }
    }

    /// Counts one request that ended at `now`. The last `objective` recorded for a service and organisation is the one
    /// that is reported.
    pub fn record(
        &self,
        service: &str,
        organisation: &str,
        objective: &ServiceObjective,
        is_good: bool,
        now: BootTime,
    ) {
        let mut series = self.series.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let position = series.binary_search_by(|known| {
            (known.service.as_str(), known.organisation.as_str()).cmp(&(service, organisation))
        });
        let index = match position {
            Ok(index) => index,
            Err(_) if series.len() >= MAX_SERIES => return,
            Err(index) => {
                series.insert(index, new_series(service, organisation, objective));
                index
            }
        };
        let entry = &mut series[index];
        entry.objective = objective.clone();
        let tally = open_tally(&mut entry.minutes, now.as_secs() / 60);
        if is_good {
            tally.good += 1;
        } else {
            tally.bad += 1;
        }
    }

    /// Returns the counts of this host, with the ages of the minutes as of `now`.
    #[must_use]
    pub fn answer(&self, now: BootTime) -> BurnAnswer {
        let series = self.series.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let minute = now.as_secs() / 60;
        let kept = now.saturating_sub(self.started_at).as_secs() / 60 + 1;
        BurnAnswer {
            host: self.host.clone(),
            failure_domain: self.failure_domain.clone(),
            kept_minutes: u32::try_from(kept.min(KEPT_MINUTES as u64)).unwrap_or(u32::MAX),
            entries: series.iter().map(|entry| build_entry(entry, minute)).collect(),
        }
    }
}

fn new_series(service: &str, organisation: &str, objective: &ServiceObjective) -> BurnSeries {
    BurnSeries {
        service: service.to_owned(),
        organisation: organisation.to_owned(),
        objective: objective.clone(),
        minutes: VecDeque::new(),
    }
}

/// Returns the tally to which requests of `minute` are added, after dropping the tallies that are too old.
fn open_tally(minutes: &mut VecDeque<MinuteTally>, minute: u64) -> &mut MinuteTally {
    if minutes.back().is_none_or(|last| last.minute < minute) {
        minutes.push_back(MinuteTally { minute, good: 0, bad: 0 });
    }
    while minutes.front().is_some_and(|first| first.minute + KEPT_MINUTES as u64 <= minute) {
        minutes.pop_front();
    }
    let last = minutes.len() - 1;
    &mut minutes[last]
}

fn build_entry(series: &BurnSeries, minute: u64) -> BurnEntry {
    let minutes: Vec<MinuteCount> =
        series.minutes.iter().rev().map(|tally| build_minute_count(tally, minute)).collect();
    let windows = REPORT_WINDOWS.iter().map(|window| count_window(&minutes, *window));
    BurnEntry {
        service: series.service.clone(),
        organisation: series.organisation.clone(),
        good_share: series.objective.good_share,
        latency_ms: series.objective.latency_ms,
        windows: windows.collect(),
        minutes,
    }
}

fn build_minute_count(tally: &MinuteTally, minute: u64) -> MinuteCount {
    let age = u32::try_from(minute.saturating_sub(tally.minute)).unwrap_or(u32::MAX);
    MinuteCount { age_minutes: age, good: tally.good, bad: tally.bad }
}

fn count_window(minutes: &[MinuteCount], window_minutes: u32) -> WindowCount {
    let mut count = WindowCount { window_minutes, good: 0, bad: 0 };
    for minute in minutes.iter().filter(|minute| minute.age_minutes < window_minutes) {
        count.good += minute.good;
        count.bad += minute.bad;
    }
    count
}
