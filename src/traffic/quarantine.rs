//! Pure decision on requests that crash targets.
//!
//! Each crash is recorded with the requests that were in flight on the target, by all hosts that report it. A request
//! is quarantined when it is the only one that all crashes with it have in common, and there are [`CRASH_LIMIT`] of
//! them. A quarantine ends after [`QUARANTINE_TIME`], also when the caller keeps sending the request; one further crash
//! then renews it. Crashes of several targets of a failure domain at about the same time are those of the domain, and
//! say nothing about requests.

use crate::prelude::*;

/// Time for which a request is refused.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// Time for which a crash is remembered.
pub const CRASH_MEMORY: Duration = Duration::from_mins(30);

/// Time in which reports of one crash arrive from all hosts that had requests on the target. A crash counts after it.
pub const CRASH_SETTLE: Duration = Duration::from_millis(500);

/// Crashes of one target within this time are one crash, seen by several requests and hosts.
const CRASH_SPAN: Duration = Duration::from_secs(3);

/// Crashes within this time, in one failure domain, may have a common cause.
const DOMAIN_SPAN: Duration = Duration::from_secs(5);

/// Other targets that crash without the request in [`DOMAIN_SPAN`], from which on the domain is the cause. One other
/// may be a second request that crashes targets.
const DOMAIN_CRASHES: usize = 2;

/// Crashes that are remembered at most.
const RECORD_LIMIT: usize = 256;

/// Requests of one crash that are remembered at most; more say little about each.
const SUSPECT_LIMIT: usize = 256;

/// Quarantined requests at most.
const ENTRY_LIMIT: usize = 4096;

/// SHA-256 of service and body, in hexadecimal.
pub type Fingerprint = String;

/// One crash of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Target.
    pub target: TargetId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// When it was first heard of here.
    pub at: BootTime,
    /// Requests that were in flight, sorted.
    pub fingerprints: Vec<Fingerprint>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct QuarantineEntry {
    fingerprint: Fingerprint,
    since: BootTime,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct FlightEntry {
    target: TargetId,
    fingerprint: Fingerprint,
    /// Equal requests on the same target.
    count: u32,
}

/// Requests in flight, crashes and quarantined requests, as one host knows them.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    /// Sorted by target and fingerprint.
    flights: Vec<FlightEntry>,
    /// In order of time.
    records: Vec<CrashRecord>,
    /// Sorted by fingerprint.
    entries: Vec<QuarantineEntry>,
}

impl QuarantineTable {
    /// A request is about to be sent to a target.
    pub fn begin(&mut self, target: &str, fingerprint: &str) {
        match self.flight(target, fingerprint) {
            Ok(position) => self.flights[position].count += 1,
            Err(position) => {
                let (target, fingerprint) = (target.to_owned(), fingerprint.to_owned());
                self.flights.insert(position, FlightEntry { target, fingerprint, count: 1 });
            }
        }
    }

    /// A request ended without a crash. A target that goes on did not crash, so a crash told by another request that
    /// was in flight with this one was a broken connection, and is forgotten.
    pub fn end(&mut self, target: &str, fingerprint: &str, now: BootTime) {
        if let Ok(position) = self.flight(target, fingerprint) {
            self.flights[position].count -= 1;
            if self.flights[position].count == 0 {
                self.flights.remove(position);
            }
            return;
        }
        self.records.retain(|record| {
            let is_refuted = record.target == target
                && now.saturating_sub(record.at) <= CRASH_SPAN
                && record.fingerprints.iter().any(|known| known == fingerprint);
            !is_refuted
        });
    }

    /// A target crashed under a request. Gives the record to report to other hosts, once for each crash.
    pub fn crash(
        &mut self,
        target: &str,
        failure_domain: &str,
        fingerprint: &str,
        now: BootTime,
    ) -> Option<CrashRecord> {
        // Another request has reported this crash already, and took this one along.
        self.flight(target, fingerprint).ok()?;
        let (crashed, others): (Vec<FlightEntry>, Vec<FlightEntry>) =
            std::mem::take(&mut self.flights).into_iter().partition(|entry| entry.target == target);
        self.flights = others;
        let record = CrashRecord {
            target: target.to_owned(),
            failure_domain: failure_domain.to_owned(),
            at: now,
            fingerprints: crashed.into_iter().map(|entry| entry.fingerprint).collect(),
        };
        self.learn_crash(record.clone(), now);
        Some(record)
    }

    /// Takes a crash, from here or from another host; reports of one crash are joined.
    pub fn learn_crash(&mut self, mut record: CrashRecord, now: BootTime) {
        record.at = now;
        record.fingerprints.sort();
        record.fingerprints.dedup();
        record.fingerprints.truncate(SUSPECT_LIMIT);
        let mut records = self.records.iter_mut().rev();
        let known = records.find(|known| known.target == record.target && now.saturating_sub(known.at) <= CRASH_SPAN);
        if let Some(known) = known {
            known.fingerprints.extend(record.fingerprints);
            known.fingerprints.sort();
            known.fingerprints.dedup();
            known.fingerprints.truncate(SUSPECT_LIMIT);
            return;
        }
        self.records.retain(|known| now.saturating_sub(known.at) < CRASH_MEMORY);
        if self.records.len() >= RECORD_LIMIT {
            self.records.remove(0);
        }
        self.records.push(record);
    }

    /// Whether a request is refused. A request that is found guilty here for the first time is given as `is_new`, to be
    /// announced to other hosts.
    pub fn judge(&mut self, fingerprint: &str, now: BootTime) -> QuarantineVerdict {
        let position = self.entry(fingerprint);
        if let Ok(position) = position
            && now.saturating_sub(self.entries[position].since) < QUARANTINE_TIME
        {
            return QuarantineVerdict { is_refused: true, is_new: false };
        }
        let since = position.ok().map(|position| self.entries[position].since);
        if !self.is_guilty(fingerprint, since, now) {
            return QuarantineVerdict { is_refused: false, is_new: false };
        }
        self.learn(fingerprint, now);
        QuarantineVerdict { is_refused: true, is_new: true }
    }

    /// Quarantines a request, on the word of another host. A repeated announcement does not prolong it.
    pub fn learn(&mut self, fingerprint: &str, now: BootTime) {
        match self.entry(fingerprint) {
            Ok(position) if now.saturating_sub(self.entries[position].since) < QUARANTINE_TIME => {}
            Ok(position) => self.entries[position].since = now,
            Err(_) => {
                self.entries.retain(|entry| now.saturating_sub(entry.since) < CRASH_MEMORY);
                if self.entries.len() < ENTRY_LIMIT {
                    let position = self.entry(fingerprint).unwrap_or_else(|position| position);
                    self.entries.insert(position, QuarantineEntry { fingerprint: fingerprint.to_owned(), since: now });
                }
            }
        }
    }

    /// Number of remembered crashes that a request was in flight in.
    #[must_use]
    pub fn crashes_of(&self, fingerprint: &str, now: BootTime) -> usize {
        let records = self.records_of(fingerprint, now);
        records.filter(|record| !self.is_domain_crash(record, fingerprint)).count()
    }

    fn is_guilty(&self, fingerprint: &str, since: Option<BootTime>, now: BootTime) -> bool {
        let mut common: Option<Vec<&Fingerprint>> = None;
        let mut crashes = 0;
        let mut is_later = since.is_none();
        for record in self.records_of(fingerprint, now) {
            if now.saturating_sub(record.at) < CRASH_SETTLE || self.is_domain_crash(record, fingerprint) {
                continue;
            }
            crashes += 1;
            is_later |= since.is_some_and(|since| record.at > since);
            let members = &record.fingerprints;
            common = Some(match common {
                None => members.iter().collect(),
                Some(common) => common.into_iter().filter(|known| members.binary_search(known).is_ok()).collect(),
            });
        }
        is_later && crashes >= CRASH_LIMIT && common.is_some_and(|common| common.len() == 1)
    }

    fn records_of<'a>(&'a self, fingerprint: &'a str, now: BootTime) -> impl Iterator<Item = &'a CrashRecord> + 'a {
        self.records.iter().filter(move |record| {
            now.saturating_sub(record.at) < CRASH_MEMORY
                && record.fingerprints.binary_search_by(|known| known.as_str().cmp(fingerprint)).is_ok()
        })
    }

    fn is_domain_crash(&self, record: &CrashRecord, fingerprint: &str) -> bool {
        let others = self.records.iter().filter(|other| {
            other.failure_domain == record.failure_domain
                && other.target != record.target
                && other.at.abs_diff(record.at) <= DOMAIN_SPAN
                && other.fingerprints.binary_search_by(|known| known.as_str().cmp(fingerprint)).is_err()
        });
        others.count() >= DOMAIN_CRASHES
    }

    fn flight(&self, target: &str, fingerprint: &str) -> Result<usize, usize> {
        let key = (target, fingerprint);
        self.flights.binary_search_by(|entry| (entry.target.as_str(), entry.fingerprint.as_str()).cmp(&key))
    }

    fn entry(&self, fingerprint: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.fingerprint.as_str().cmp(fingerprint))
    }
}

/// Judgement of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineVerdict {
    /// Whether the request is refused.
    pub is_refused: bool,
    /// Whether this is the first refusal by the judgement of this host.
    pub is_new: bool,
}
