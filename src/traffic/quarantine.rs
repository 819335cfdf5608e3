//! Decides which requests are quarantined because they crash targets, without I/O.
//!
//! Each crash is recorded with the requests that were in flight on the target, as reported by all hosts that had
//! requests there. A request is quarantined when it was in flight in at least [`CRASH_LIMIT`] crashes and is the only
//! request that these crashes have in common. A quarantine ends after [`QUARANTINE_PERIOD`], also when the caller keeps
//! sending the request; one further crash then renews the quarantine. Crashes of several targets of a failure domain at
//! about the same time are put down to the domain and do not count against a request. Samples of steps are handed in for
//! later and never crash targets by themselves: they are neither recorded nor refused.

use crate::prelude::*;

/// Time for which a quarantined request is refused.
pub const QUARANTINE_PERIOD: Duration = Duration::from_mins(10);

/// Time for which a crash is kept, so that one further crash renews a quarantine that has ended. The entry of a
/// quarantine is kept as long from its start; without the entry, the earlier crashes alone would renew the quarantine.
pub const CRASH_RETENTION_PERIOD: Duration = Duration::from_mins(30);

/// Delay after which a crash counts. Until then, the other hosts that had requests on the target report the crash too.
pub const CRASH_REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time within which reports on one target concern the same crash, seen by several requests and hosts.
const CRASH_MERGE_PERIOD: Duration = Duration::from_secs(3);

/// Time within which crashes in one failure domain may have a common cause.
const DOMAIN_CRASH_PERIOD: Duration = Duration::from_secs(5);

/// Number of other crashes within [`DOMAIN_CRASH_PERIOD`] from which on a crash is put down to the failure domain. Only
/// crashes of other targets in which the request was not in flight count. A single one may be caused by a second
/// request that crashes targets.
const MIN_DOMAIN_CRASHES: usize = 2;

/// Most crashes that are kept; beyond that the oldest is dropped.
const MAX_CRASHES: usize = 256;

/// Most requests that are kept for one crash; a crash with more of them says little about each.
const MAX_SUSPECTS: usize = 256;

/// Most quarantined requests that are kept; while the table is full, no further request is added.
const MAX_QUARANTINED: usize = 4096;

/// SHA-256 of service and content of a request in hexadecimal; equal for equal requests of any caller.
pub type Fingerprint = String;

/// A crash of a target, merged from the reports of all requests and hosts that saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Target id from the configuration.
    pub target: TargetId,
    /// Failure domain of the target.
    pub failure_domain: DomainId,
    /// When this host first heard of the crash.
    pub at: BootTime,
    /// Requests that were in flight on the target, sorted and without duplicates.
    pub fingerprints: Vec<Fingerprint>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct QuarantineEntry {
    fingerprint: Fingerprint,
    /// Start of the latest quarantine.
    since: BootTime,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct InFlightEntry {
    target: TargetId,
    fingerprint: Fingerprint,
    /// Number of requests with this fingerprint on this target.
    count: u32,
}

/// Requests in flight, crashes and quarantined requests, as one host knows them.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    /// Sorted by target and fingerprint.
    in_flight: Vec<InFlightEntry>,
    /// In the order in which this host heard of them.
    crashes: Vec<CrashRecord>,
    /// Sorted by fingerprint.
    quarantined: Vec<QuarantineEntry>,
}

impl QuarantineTable {
    /// Records that a request is about to be sent to a target.
    pub fn record_start(&mut self, target: &str, fingerprint: &str) {
        match self.find_in_flight(target, fingerprint) {
            Ok(position) => self.in_flight[position].count += 1,
            Err(position) => {
                let (target, fingerprint) = (target.to_owned(), fingerprint.to_owned());
                self.in_flight.insert(position, InFlightEntry { target, fingerprint, count: 1 });
            }
        }
    }

    /// Records that a request ended without a crash. If the request is not in flight any more, another request has
    /// reported a crash of the target. The target did not crash, since it has just served this request: only the
    /// connection of the other request broke. The crash is removed unless it is older than `CRASH_MERGE_PERIOD`.
    pub fn record_end(&mut self, target: &str, fingerprint: &str, now: BootTime) {
        if let Ok(position) = self.find_in_flight(target, fingerprint) {
            self.in_flight[position].count -= 1;
            if self.in_flight[position].count == 0 {
                self.in_flight.remove(position);
            }
            return;
        }
        self.crashes.retain(|record| {
            let is_disproved = record.target == target
                && now.saturating_sub(record.at) <= CRASH_MERGE_PERIOD
                && record.fingerprints.iter().any(|known| known == fingerprint);
            !is_disproved
        });
    }

    /// Records that a run which began at `started_at` has ended well on a target. The target has not crashed since then, so
    /// that crashes of it which were reported meanwhile are removed.
    pub fn record_survivor(&mut self, target: &str, started_at: BootTime) {
        self.crashes.retain(|record| record.target != target || record.at < started_at);
    }

    /// Records that a target crashed while a request was in flight. Returns the record to report to other hosts.
    /// Returns `None` when the request is not recorded as in flight there, such as after another request reported the
    /// crash.
    pub fn record_crash(
        &mut self,
        target: &str,
        failure_domain: &str,
        fingerprint: &str,
        now: BootTime,
    ) -> Option<CrashRecord> {
        // The first report of a crash removes all requests on the target from `in_flight`.
        self.find_in_flight(target, fingerprint).ok()?;
        let (crashed, others): (Vec<InFlightEntry>, Vec<InFlightEntry>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|entry| entry.target == target);
        self.in_flight = others;
        let record = CrashRecord {
            target: target.to_owned(),
            failure_domain: failure_domain.to_owned(),
            at: now,
            fingerprints: crashed.into_iter().map(|entry| entry.fingerprint).collect(),
        };
        self.merge_crash(record.clone(), now);
        Some(record)
    }

    /// Merges a crash that this or another host reports into the known ones. `now` replaces the time in the record.
    pub fn merge_crash(&mut self, mut record: CrashRecord, now: BootTime) {
        record.at = now;
        record.fingerprints.sort();
        record.fingerprints.dedup();
        record.fingerprints.truncate(MAX_SUSPECTS);
        let mut crashes = self.crashes.iter_mut().rev();
        let known =
            crashes.find(|known| known.target == record.target && now.saturating_sub(known.at) <= CRASH_MERGE_PERIOD);
        if let Some(known) = known {
            known.fingerprints.extend(record.fingerprints);
            known.fingerprints.sort();
            known.fingerprints.dedup();
            known.fingerprints.truncate(MAX_SUSPECTS);
            return;
        }
        self.crashes.retain(|known| now.saturating_sub(known.at) < CRASH_RETENTION_PERIOD);
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(record);
    }

    /// Decides whether a request is refused, and starts or renews its quarantine when the recorded crashes require it.
    pub fn check_request(&mut self, fingerprint: &str, now: BootTime) -> QuarantineVerdict {
        let position = self.find_quarantined(fingerprint);
        if let Ok(position) = position
            && now.saturating_sub(self.quarantined[position].since) < QUARANTINE_PERIOD
        {
            return QuarantineVerdict { is_refused: true, is_new: false };
        }
        let since = position.ok().map(|position| self.quarantined[position].since);
        if !self.is_crash_cause(fingerprint, since, now) {
            return QuarantineVerdict { is_refused: false, is_new: false };
        }
        self.quarantine_request(fingerprint, now);
        QuarantineVerdict { is_refused: true, is_new: true }
    }

    /// Quarantines a request, by a decision of this host or an announcement of another one. A quarantine in force is
    /// not prolonged.
    pub fn quarantine_request(&mut self, fingerprint: &str, now: BootTime) {
        match self.find_quarantined(fingerprint) {
            Ok(position) if now.saturating_sub(self.quarantined[position].since) < QUARANTINE_PERIOD => {}
            Ok(position) => self.quarantined[position].since = now,
            Err(_) => {
                self.quarantined.retain(|entry| now.saturating_sub(entry.since) < CRASH_RETENTION_PERIOD);
                if self.quarantined.len() < MAX_QUARANTINED {
                    let position = self.find_quarantined(fingerprint).unwrap_or_else(|position| position);
                    self.quarantined
                        .insert(position, QuarantineEntry { fingerprint: fingerprint.to_owned(), since: now });
                }
            }
        }
    }

    /// Number of kept crashes in which a request was in flight, without those put down to the failure domain.
    #[must_use]
    pub fn count_crashes(&self, fingerprint: &str, now: BootTime) -> usize {
        let crashes = self.find_crashes(fingerprint, now);
        crashes.filter(|record| !self.is_domain_crash(record, fingerprint)).count()
    }

    /// Whether the crashes that count against a request are enough and have only this request in common. After an
    /// earlier quarantine, which started at `since`, at least one of these crashes must be later than that.
    fn is_crash_cause(&self, fingerprint: &str, since: Option<BootTime>, now: BootTime) -> bool {
        let mut common: Option<Vec<&Fingerprint>> = None;
        let mut crash_count = 0;
        let mut has_new_crash = since.is_none();
        for record in self.find_crashes(fingerprint, now) {
            if now.saturating_sub(record.at) < CRASH_REPORT_DELAY || self.is_domain_crash(record, fingerprint) {
                continue;
            }
            crash_count += 1;
            has_new_crash |= since.is_some_and(|since| record.at > since);
            let suspects = &record.fingerprints;
            common = Some(match common {
                None => suspects.iter().collect(),
                Some(common) => common.into_iter().filter(|known| suspects.binary_search(known).is_ok()).collect(),
            });
        }
        has_new_crash && crash_count >= CRASH_LIMIT && common.is_some_and(|common| common.len() == 1)
    }

    fn find_crashes<'a>(&'a self, fingerprint: &'a str, now: BootTime) -> impl Iterator<Item = &'a CrashRecord> + 'a {
        self.crashes.iter().filter(move |record| {
            now.saturating_sub(record.at) < CRASH_RETENTION_PERIOD
                && record.fingerprints.binary_search_by(|known| known.as_str().cmp(fingerprint)).is_ok()
        })
    }

    fn is_domain_crash(&self, record: &CrashRecord, fingerprint: &str) -> bool {
        let others = self.crashes.iter().filter(|other| {
            other.failure_domain == record.failure_domain
                && other.target != record.target
                && other.at.abs_diff(record.at) <= DOMAIN_CRASH_PERIOD
                && other.fingerprints.binary_search_by(|known| known.as_str().cmp(fingerprint)).is_err()
        });
        others.count() >= MIN_DOMAIN_CRASHES
    }

    fn find_in_flight(&self, target: &str, fingerprint: &str) -> Result<usize, usize> {
        let key = (target, fingerprint);
        self.in_flight.binary_search_by(|entry| (entry.target.as_str(), entry.fingerprint.as_str()).cmp(&key))
    }

    fn find_quarantined(&self, fingerprint: &str) -> Result<usize, usize> {
        self.quarantined.binary_search_by(|entry| entry.fingerprint.as_str().cmp(fingerprint))
    }
}

/// Decision of [`QuarantineTable::check_request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineVerdict {
    /// Whether the request must not be sent now.
    pub is_refused: bool,
    /// Whether this call started or renewed the quarantine, so that this host must announce it to the others.
    pub is_new: bool,
}
