//! Poll of the store. After a start it reads the newest snapshot; then it reads the rest of the configuration log, and
//! the withdrawn keys, unless their summary shows that this host has them all.

use serde::{Deserialize, Serialize};

use crate::control::configuration_log::ConfigurationLog;
use crate::control::configuration_snapshot::decode_snapshot;
use crate::control::store_call::{
    CONFIGURATION_TABLE, SINGLETON_ROW_KEY, SNAPSHOT_TABLE, StoreAnswer, StoreCall, WITHDRAWN_SUMMARY_TABLE,
    WITHDRAWN_TABLE, snapshot_object, version_key,
};
use crate::control::withdrawn_set::WithdrawnSet;
use crate::generated::peer_messages::ConfigurationChange;
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;
use crate::store_client::StoreCallError;

/// Greatest number of rows that one scan of the configuration log reads.
const MAX_LOG_ROWS: usize = 500;

/// Greatest number of rows that one scan of the withdrawn keys reads.
const MAX_WITHDRAWN_ROWS: usize = 1000;

/// Time after which another poll may start although the last one has not ended. A poll takes several calls of up to
/// [`PLATFORM_CALL_TIMEOUT`] each.
const POLL_TIMEOUT: Duration = Duration::from_secs(15);

/// Value of the row that names the newest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Configuration version of the newest snapshot.
    pub version: ConfigurationVersion,
}

/// Value of the row that sums up the withdrawn keys; both fields are 0 without any.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnSummary {
    /// XOR over the hashes of all key ids.
    pub hash: u64,
    /// Number of key ids.
    pub count: u64,
}

/// Value of one row of the configuration log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRow {
    /// Operator or part of the program that made the change, as named in the call.
    pub author: String,
    /// Items by which this version differs from the one before.
    pub items: Vec<crate::generated::peer_messages::ConfigurationItem>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PollPhase {
    Idle,
    SnapshotPointer,
    SnapshotObject,
    Log,
    WithdrawnSummary,
    WithdrawnScan,
}

/// What follows from the result of a call of a poll.
#[derive(Debug, Clone, PartialEq)]
pub enum PollStep {
    /// The poll continues with this call.
    Call(StoreCall),
    /// The poll is complete. Everything that the store held at this time, the start of the poll, is known now.
    Complete(BootTime),
    /// The poll ended early: the call failed, the answer was not of the kind expected, or a row of the log is
    /// unreadable or missing.
    Failed,
}

/// State of the store poll of one host; at most one poll is in progress.
#[derive(Debug)]
pub struct StorePoll {
    phase: PollPhase,
    started_at: BootTime,
    due_at: BootTime,
    has_read_log: bool,
    scanned: Vec<KeyId>,
    summary: WithdrawnSummary,
    /// Version of the summary row; 0 before it was read and while it is absent.
    summary_version: u64,
}

impl StorePoll {
    /// Creates the state in which a poll is due at `now`.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            phase: PollPhase::Idle,
            started_at: now,
            due_at: now,
            has_read_log: false,
            scanned: Vec::new(),
            summary: WithdrawnSummary::default(),
            summary_version: 0,
        }
    }

    /// Makes the next poll due at `now` if it was due later.
    pub fn make_due(&mut self, now: BootTime) {
        self.due_at = self.due_at.min(now);
    }

    /// Starts a poll if one is due and none is in progress, apart from one that exceeded `POLL_TIMEOUT`. Returns the
    /// first call of the poll. The next poll is due after `period`. A poll that is due later than `period` from now,
    /// since the period was longer before, is due at once.
    pub fn start(&mut self, log: &ConfigurationLog, now: BootTime, period: Duration) -> Option<StoreCall> {
        let is_stuck = self.phase != PollPhase::Idle && now.saturating_sub(self.started_at) > POLL_TIMEOUT;
        let is_due = now >= self.due_at || self.due_at.saturating_sub(now) > period;
        if !is_due || (self.phase != PollPhase::Idle && !is_stuck) {
            return None;
        }
        self.started_at = now;
        self.due_at = now + period;
        if self.has_read_log || log.version() > 0 {
            return Some(self.scan_log(log));
        }
        self.phase = PollPhase::SnapshotPointer;
        Some(StoreCall::ReadRow { table: SNAPSHOT_TABLE, key: SINGLETON_ROW_KEY.to_owned() })
    }

    /// Handles the result of the latest call of the poll in progress: applies it to `log` and `withdrawn`.
    pub fn take(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        log: &mut ConfigurationLog,
        withdrawn: &mut WithdrawnSet,
    ) -> PollStep {
        match (self.phase.clone(), outcome) {
            (PollPhase::SnapshotPointer, Ok(StoreAnswer::Row(row))) => self.handle_snapshot_pointer(row.as_ref(), log),
            (PollPhase::SnapshotObject, Ok(StoreAnswer::Object(object))) => self.handle_snapshot(object, log),
            (PollPhase::Log, Ok(StoreAnswer::Rows(rows))) => self.handle_log_rows(&rows, log),
            (PollPhase::WithdrawnSummary, Ok(StoreAnswer::Row(row))) => {
                self.handle_withdrawn_summary(row.as_ref(), withdrawn)
            }
            (PollPhase::WithdrawnScan, Ok(StoreAnswer::Rows(rows))) => self.handle_withdrawn_rows(&rows, withdrawn),
            _ => {
                self.phase = PollPhase::Idle;
                PollStep::Failed
            }
        }
    }

    /// Summary of the withdrawn keys as last read or written, with the version of its row; 0 for an absent row.
    #[must_use]
    pub fn mark(&self) -> (WithdrawnSummary, u64) {
        (self.summary, self.summary_version)
    }

    /// Replaces the summary if `row_version` is higher than that of the known one. The new summary may come from a
    /// write of this host, a read, or the conflict of a write.
    pub fn set_summary(&mut self, summary: WithdrawnSummary, row_version: u64) {
        if row_version > self.summary_version {
            self.summary = summary;
            self.summary_version = row_version;
        }
    }

    fn handle_snapshot_pointer(&mut self, row: Option<&TableRow>, log: &ConfigurationLog) -> PollStep {
        let pointer = row.and_then(|row| serde_json::from_str::<SnapshotPointer>(&row.value).ok());
        match pointer {
            Some(pointer) => {
                self.phase = PollPhase::SnapshotObject;
                PollStep::Call(StoreCall::GetObject(snapshot_object(pointer.version)))
            }
            None => PollStep::Call(self.scan_log(log)),
        }
    }

    /// Skips a snapshot that is missing or cannot be read, since the whole log gives the same configuration.
    fn handle_snapshot(&mut self, object: Option<Vec<u8>>, log: &mut ConfigurationLog) -> PollStep {
        if let Some(change) = object.and_then(|object| decode_snapshot(&object)) {
            log.install(change.version, change.items);
        }
        PollStep::Call(self.scan_log(log))
    }

    fn scan_log(&mut self, log: &ConfigurationLog) -> StoreCall {
        self.phase = PollPhase::Log;
        StoreCall::ScanRows { table: CONFIGURATION_TABLE, after: version_key(log.version()), limit: MAX_LOG_ROWS }
    }

    fn handle_log_rows(&mut self, rows: &[TableRow], log: &mut ConfigurationLog) -> PollStep {
        let changes: Vec<ConfigurationChange> = rows.iter().filter_map(decode_change).collect();
        let last = changes.last().map_or(0, |change| change.version);
        log.apply(&changes);
        if changes.len() < rows.len() || last > log.version() {
            // A row is unreadable, or a version is missing. Polling on from a later version would lose the change for
            // good.
            log::error!(version = log.version(), code = ResultCode::Internal.number(); "configuration_row_unreadable");
            self.phase = PollPhase::Idle;
            return PollStep::Failed;
        }
        if rows.len() >= MAX_LOG_ROWS {
            return PollStep::Call(self.scan_log(log));
        }
        self.has_read_log = true;
        self.phase = PollPhase::WithdrawnSummary;
        PollStep::Call(StoreCall::ReadRow { table: WITHDRAWN_SUMMARY_TABLE, key: SINGLETON_ROW_KEY.to_owned() })
    }

    fn handle_withdrawn_summary(&mut self, row: Option<&TableRow>, withdrawn: &mut WithdrawnSet) -> PollStep {
        let summary = row.and_then(|row| serde_json::from_str::<WithdrawnSummary>(&row.value).ok()).unwrap_or_default();
        self.set_summary(summary, row.map_or(0, |row| row.version));
        // With a known hash, the store has no id that this host lacks.
        if withdrawn.record_subset_stored(summary.hash) {
            self.phase = PollPhase::Idle;
            return PollStep::Complete(self.started_at);
        }
        self.scanned.clear();
        self.phase = PollPhase::WithdrawnScan;
        PollStep::Call(scan_withdrawn(""))
    }

    fn handle_withdrawn_rows(&mut self, rows: &[TableRow], withdrawn: &mut WithdrawnSet) -> PollStep {
        self.scanned.extend(rows.iter().map(|row| row.key.clone()));
        if let Some(last) = rows.last().filter(|_| rows.len() >= MAX_WITHDRAWN_ROWS) {
            return PollStep::Call(scan_withdrawn(&last.key));
        }
        let scanned = std::mem::take(&mut self.scanned);
        withdrawn.add(&scanned);
        withdrawn.record_stored(&scanned);
        self.phase = PollPhase::Idle;
        PollStep::Complete(self.started_at)
    }
}

fn scan_withdrawn(after: &str) -> StoreCall {
    StoreCall::ScanRows { table: WITHDRAWN_TABLE, after: after.to_owned(), limit: MAX_WITHDRAWN_ROWS }
}

fn decode_change(row: &TableRow) -> Option<ConfigurationChange> {
    let version = row.key.parse().ok()?;
    let value: LogRow = serde_json::from_str(&row.value).ok()?;
    Some(ConfigurationChange { version, items: value.items })
}
