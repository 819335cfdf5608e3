//! Decides which requests are held back because targets crash under them, without I/O.
//!
//! Each host that loses a connection with an unanswered request reports the request and the target to all hosts. That is no
//! proof: the link may have been reset, or the target may have crashed for another reason. Two facts tell these apart.
//!
//! - The entry of the target goes, or shows another start, within a few seconds after a crash. A target that renews its entry
//!   instead has not crashed, and the report is dropped.
//! - A request that crashes targets is never answered. One answer at any host clears a request of all reports before it, so
//!   that a request that callers repeat all the time does not collect the crashes that happen under it by chance. The same
//!   holds for an event stream that goes on beyond the events at which other streams of the request broke off.
//!
//! A request that ended unanswered on an open connection, as at its deadline, is reported too, and counts only once its target
//! has ended.
//!
//! A request that has [`HOLD_LIMIT`] reports since its last answer is held back at all hosts, also while the reports are
//! unsettled. After a delay that grows, one host may send it once, as a trial; an answer clears it. Items of batch jobs and
//! their gradings never crash targets by themselves and are neither reported nor held back.

use serde::{Deserialize, Serialize};

use crate::fleet::fleet_view::{FleetView, TargetState};
use crate::prelude::*;
use crate::traffic::crash_quarantine::fingerprint_of;
use crate::traffic::quarantine::Fingerprint;

/// Reports since the last answer from which on a request is held back.
pub const HOLD_LIMIT: usize = 3;

/// Events by which a stream must have passed the end of another one to show that the request did not end the target of that one.
pub const PROGRESS_MARGIN: u64 = 3;

/// Delay of each trial of a request that is held back, from the last report or trial on; further trials have the last delay. The
/// first one is short for the sake of sound requests.
pub const TRIAL_DELAYS: [Duration; 4] =
    [Duration::from_secs(1), Duration::from_secs(8), Duration::from_mins(1), Duration::from_mins(10)];

/// Time for which the reports on a request are kept after the last report or trial of it.
pub const REPORT_RETENTION: Duration = Duration::from_mins(30);

/// Time after which a report that neither proved true nor false is dropped: the entry of a target that crashed goes after
/// three missed renewals of about a second each.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Age of a report from which on a renewed entry shows that the target lives. The feed of entries is at most half a second
/// late, so that a renewal read earlier may be from before the crash.
const RENEWAL_MARGIN: Duration = Duration::from_millis(600);

/// Delay after which a host stores the outcome of a report of another host, which may have ended meanwhile.
const OTHER_HOSTS_DELAY: Duration = Duration::from_secs(2);

/// Most unsettled reports of this host; further ones are not made. A reset of all links would otherwise fill the store.
const MAX_UNSETTLED: usize = 16;

/// Most reports in the table; beyond that, the oldest is dropped.
const MAX_REPORTS: usize = 8192;

/// Delay of the trial with this number, counted from 0.
#[must_use]
pub fn trial_delay(number: usize) -> Duration {
    TRIAL_DELAYS[number.min(TRIAL_DELAYS.len() - 1)]
}

/// Start of the keys of reports.
pub const REPORT_KEY_PREFIX: &str = "crash/";

/// Start of the keys of trials.
pub const TRIAL_KEY_PREFIX: &str = "trial/";

/// A request that a target did not answer, as its row in the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Request in flight.
    pub fingerprint: Fingerprint,
    /// Target that the request had been sent to.
    pub target: TargetId,
    /// Start of the target's process, as in its entry.
    pub started_ms: Option<u64>,
    /// Time by the clock of the store, in milliseconds.
    pub at_ms: u64,
    /// Host that sent the request.
    pub host: HostId,
    /// Whether the connection broke; otherwise the request ended unanswered, which shows nothing until the target has ended.
    pub is_broken: bool,
    /// Whether the target is known to have ended.
    pub is_confirmed: bool,
    /// Number of the last event that the target had sent, 0 for none; the highest one of several streams. `None` when unknown, as
    /// for a stream that was taken up and got no event, and in rows of hosts that do not write it.
    #[serde(default)]
    pub last_event: Option<u64>,
}

impl CrashReport {
    /// Key of the row, unique for the request and the incarnation of the target; hosts that report the same write one row.
    #[must_use]
    pub fn row_key(&self) -> String {
        // An id may be as long as a whole key, so the key has its hash.
        let incarnation = fingerprint_of(&self.target, &[&self.started_ms.unwrap_or_default().to_be_bytes()]);
        format!("{REPORT_KEY_PREFIX}{}/{incarnation}", self.fingerprint)
    }
}

/// Number of a trial of a request since its last answer, as its row in the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestTrial {
    /// Request that is sent once.
    pub fingerprint: Fingerprint,
    /// Counted from 0.
    pub number: usize,
    /// Time by the clock of the store, in milliseconds.
    pub at_ms: u64,
}

impl RequestTrial {
    /// Key of the row; the host that creates the row may send the request.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("{TRIAL_KEY_PREFIX}{}/{}", self.fingerprint, self.number)
    }
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may be sent.
    Free,
    /// The request must not be sent; the next trial is due after this time.
    Held(Duration),
    /// The request may be sent by the host that first stores the trial with this number.
    Trial(usize),
}

/// How a report was settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The target has ended.
    Ended,
    /// The target lives, or leaves as planned.
    Alive,
    /// Neither could be seen in time.
    Unknown,
}

impl ReportOutcome {
    /// Value of the metric label `outcome`, and of the field in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Debug, Clone)]
struct KnownReport {
    report: CrashReport,
    /// When this host learned of the report.
    known_at: BootTime,
    /// When this host saw that the target has ended.
    ended_at: Option<BootTime>,
    /// Whether the row in the store, as far as known, has the same content.
    is_stored: bool,
}

impl KnownReport {
    fn name(&self) -> (&str, &str, Option<u64>) {
        (&self.report.fingerprint, &self.report.target, self.report.started_ms)
    }

    fn is_settled(&self) -> bool {
        self.report.is_confirmed || self.ended_at.is_some()
    }

    /// Whether the report counts against the request.
    fn is_evidence(&self) -> bool {
        self.report.is_broken || self.is_settled()
    }
}

/// Reports and trials of all hosts since the last answers to the requests.
#[derive(Debug, Default)]
pub struct CrashTable {
    /// Sorted by request, target and start of the target.
    reports: Vec<KnownReport>,
    /// Sorted.
    trials: Vec<RequestTrial>,
    /// Keys of the rows to remove, since the requests were answered.
    cleared_rows: Vec<String>,
}

impl CrashTable {
    /// Whether no request is under suspicion, so that none needs to be checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Adds a report of this host. Returns false when it is not made, because too many others are unsettled.
    pub fn add_own(&mut self, report: CrashReport, now: BootTime) -> bool {
        let unsettled = self.reports.iter().filter(|known| known.report.host == report.host && !known.is_settled());
        if unsettled.count() >= MAX_UNSETTLED {
            return false;
        }
        self.insert(report, false, now);
        true
    }

    /// Applies the row of a report, which this or another host wrote. `store_ms` is the time by the clock of the store, by
    /// which a report that was already old when it was read is not waited for.
    pub fn apply_report(&mut self, report: CrashReport, store_ms: u64, now: BootTime) {
        let age = Duration::from_millis(store_ms.saturating_sub(report.at_ms));
        if !report.is_confirmed && age >= SETTLE_TIMEOUT {
            return;
        }
        self.insert(report, true, now);
    }

    fn insert(&mut self, report: CrashReport, is_stored: bool, now: BootTime) {
        let new = KnownReport { report, known_at: now, ended_at: None, is_stored };
        match self.reports.binary_search_by(|known| known.name().cmp(&new.name())) {
            Ok(position) => {
                let known = &mut self.reports[position];
                known.report.is_confirmed |= new.report.is_confirmed;
                known.report.is_broken |= new.report.is_broken;
                let events = known.report.last_event.zip(new.report.last_event);
                known.report.last_event = events.map(|(known, new)| known.max(new));
                if is_stored {
                    known.is_stored = new.report.is_confirmed || known.ended_at.is_none();
                }
            }
            Err(position) => {
                self.reports.insert(position, new);
                if self.reports.len() > MAX_REPORTS {
                    let oldest = self.reports.iter().enumerate().min_by_key(|(_, known)| known.report.at_ms);
                    if let Some((oldest, _)) = oldest {
                        self.reports.remove(oldest);
                    }
                }
            }
        }
    }

    /// Applies the removal of the row of a report or a trial: a host has seen an answer to the request, or the row was old.
    pub fn remove_row(&mut self, key: &str) {
        // A report that is not stored yet is not the one that was removed.
        self.reports.retain(|known| !known.is_stored || known.report.row_key() != key);
        self.trials.retain(|trial| trial.row_key() != key);
    }

    /// Applies the row of a trial.
    pub fn apply_trial(&mut self, trial: RequestTrial) {
        let position = self.trials.binary_search_by(|known| {
            (known.fingerprint.as_str(), known.number).cmp(&(trial.fingerprint.as_str(), trial.number))
        });
        if let Err(position) = position {
            self.trials.insert(position, trial);
        }
    }

    /// Drops what the store does not hold any more, before all its rows are applied again.
    pub fn begin_reload(&mut self) {
        self.reports.retain(|known| !known.is_stored);
        self.trials.clear();
    }

    /// Records that a target answered a request; clears the request of all reports and trials.
    pub fn record_answer(&mut self, fingerprint: &str) {
        let reports = self.reports.iter().filter(|known| known.report.fingerprint == fingerprint);
        self.cleared_rows.extend(reports.map(|known| known.report.row_key()));
        self.reports.retain(|known| known.report.fingerprint != fingerprint);
        let trials = self.trials.iter().filter(|trial| trial.fingerprint == fingerprint);
        self.cleared_rows.extend(trials.map(RequestTrial::row_key));
        self.trials.retain(|trial| trial.fingerprint != fingerprint);
    }

    /// Records that a stream of a request has got the event with this number. Clears the request of the reports on streams that broke
    /// off well before that event, and of its trials once no report is left; returns whether a report was cleared.
    pub fn record_progress(&mut self, fingerprint: &str, event: u64) -> bool {
        let cleared = self.take_reports(|known| {
            let is_passed = known.report.last_event.is_some_and(|last| event >= last.saturating_add(PROGRESS_MARGIN));
            known.report.fingerprint == fingerprint && is_passed
        });
        if cleared.is_empty() {
            return false;
        }
        self.cleared_rows.extend(cleared.iter().map(CrashReport::row_key));
        if !self.reports.iter().any(|known| known.report.fingerprint == fingerprint) {
            self.record_answer(fingerprint);
        }
        true
    }

    /// Records that a renewed entry of a target was read. Drops the reports on this start of the target that are older than
    /// `RENEWAL_MARGIN`, since the target lives, and returns them.
    pub fn record_renewal(&mut self, target: &str, started_ms: Option<u64>, now: BootTime) -> Vec<CrashReport> {
        self.take_reports(|known| {
            known.report.target == target
                && known.report.started_ms == started_ms
                && !known.is_settled()
                && now.saturating_sub(known.known_at) >= RENEWAL_MARGIN
        })
    }

    /// Settles the reports on targets that have ended, that leave, or of which nothing was seen in time. Returns the settled
    /// ones with their outcome.
    pub fn settle(&mut self, view: &FleetView, now: BootTime) -> Vec<(CrashReport, ReportOutcome)> {
        let mut settled = Vec::new();
        for known in &mut self.reports {
            let entry = view.target(&known.report.target);
            if !known.is_settled() && entry.is_none_or(|entry| entry.started_ms != known.report.started_ms) {
                known.ended_at = Some(now);
                known.is_stored = false;
                settled.push((known.report.clone(), ReportOutcome::Ended));
            }
        }
        let is_leaving = |known: &KnownReport| {
            view.target(&known.report.target).is_some_and(|entry| entry.state == TargetState::Leaving)
        };
        let leaving = self.take_reports(|known| !known.is_settled() && is_leaving(known));
        settled.extend(leaving.into_iter().map(|report| (report, ReportOutcome::Alive)));
        // While the entries cannot be read, a report cannot be settled and stays.
        let expired = self.take_reports(|known| {
            !known.is_settled() && view.targets_read_at.saturating_sub(known.known_at) >= SETTLE_TIMEOUT
        });
        settled.extend(expired.into_iter().map(|report| (report, ReportOutcome::Unknown)));
        settled
    }

    fn take_reports(&mut self, condition: impl Fn(&KnownReport) -> bool) -> Vec<CrashReport> {
        let taken = self.reports.iter().filter(|known| condition(known)).map(|known| known.report.clone()).collect();
        self.reports.retain(|known| !condition(known));
        taken
    }

    /// Whether a request may be sent now; `store_ms` is the time by the clock of the store, in milliseconds.
    #[must_use]
    pub fn check(&self, fingerprint: &str, store_ms: u64) -> CrashVerdict {
        let first = self.reports.partition_point(|known| known.report.fingerprint.as_str() < fingerprint);
        let reports = self.reports[first..].iter().take_while(|known| known.report.fingerprint == fingerprint);
        let reports = reports.filter(|known| known.is_evidence());
        let trials = self.trials.iter().filter(|trial| trial.fingerprint == fingerprint);
        let number = trials.clone().map(|trial| trial.number + 1).max().unwrap_or_default();
        let times = reports.clone().map(|known| known.report.at_ms).chain(trials.map(|trial| trial.at_ms));
        let last_ms = times.max().unwrap_or_default();
        let is_old = store_ms.saturating_sub(last_ms) >= whole_millis(REPORT_RETENTION);
        if reports.count() < HOLD_LIMIT || is_old {
            return CrashVerdict::Free;
        }
        let due_ms = last_ms + whole_millis(trial_delay(number));
        if store_ms >= due_ms {
            CrashVerdict::Trial(number)
        } else {
            CrashVerdict::Held(Duration::from_millis(due_ms - store_ms))
        }
    }

    /// Whether a report waits to be settled or stored, or rows wait to be removed.
    #[must_use]
    pub fn has_pending_work(&self) -> bool {
        !self.cleared_rows.is_empty() || self.reports.iter().any(|known| !known.is_stored || !known.is_settled())
    }

    /// Reports to store: those of `own_host`, and outcomes of reports of other hosts that these have not stored in time.
    #[must_use]
    pub fn reports_to_store(&self, own_host: &str, now: BootTime) -> Vec<CrashReport> {
        let is_due = |known: &&KnownReport| {
            let is_overdue = known.ended_at.is_some_and(|at| now.saturating_sub(at) >= OTHER_HOSTS_DELAY);
            !known.is_stored && known.is_evidence() && (known.report.host == own_host || is_overdue)
        };
        let due = self.reports.iter().filter(is_due);
        due.map(|known| CrashReport { is_confirmed: known.is_settled(), ..known.report.clone() }).collect()
    }

    /// Records that a report has been stored with this content.
    pub fn mark_stored(&mut self, stored: &CrashReport) {
        let name = (stored.fingerprint.as_str(), stored.target.as_str(), stored.started_ms);
        if let Ok(position) = self.reports.binary_search_by(|known| known.name().cmp(&name)) {
            let known = &mut self.reports[position];
            known.report.is_confirmed |= stored.is_confirmed;
            known.is_stored = stored.is_confirmed || known.ended_at.is_none();
        }
    }

    /// Takes the keys of the rows that must be removed.
    pub fn take_cleared_rows(&mut self) -> Vec<String> {
        std::mem::take(&mut self.cleared_rows)
    }

    /// Number of requests that are held back or were, since their last answer.
    #[must_use]
    pub fn held_requests(&self) -> usize {
        let groups = self.reports.chunk_by(|one, other| one.report.fingerprint == other.report.fingerprint);
        groups.filter(|group| group.iter().filter(|known| known.is_evidence()).count() >= HOLD_LIMIT).count()
    }
}
