//! Poll of the store: newest snapshot after a start, then the tail of the configuration log, then withdrawn keys.

use serde::{Deserialize, Serialize};

use crate::control::configuration_log::ConfigurationLog;
use crate::control::configuration_snapshot::decode_snapshot;
use crate::control::store_call::{
    CONFIGURATION_TABLE, SINGLETON_ROW_KEY, SNAPSHOT_TABLE, StoreAnswer, StoreCall, WITHDRAWN_MARK_TABLE,
    WITHDRAWN_TABLE, snapshot_object, version_key,
};
use crate::control::withdrawn_set::WithdrawnSet;
use crate::generated::peer_messages::ConfigurationChange;
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;
use crate::store_client::StoreCallError;

/// Rows of the configuration log in one scan.
const LOG_ROWS: usize = 500;

/// Rows of withdrawn keys in one scan.
const WITHDRAWN_ROWS: usize = 1000;

/// Time after which an unanswered poll is given up; several calls at [`PLATFORM_CALL_TIMEOUT`] each.
const POLL_LIMIT: Duration = Duration::from_secs(15);

/// Value of the row that names the newest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Version of the newest snapshot.
    pub version: ConfigurationVersion,
}

/// Value of the row that sums up the withdrawn keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnSummary {
    /// XOR of the hashes of all ids.
    pub hash: u64,
    /// Number of ids.
    pub count: u64,
}

/// Value of one row of the configuration log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRow {
    /// Who made the change.
    pub author: String,
    /// Items that differ.
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

/// What a poll step leads to.
#[derive(Debug, Clone, PartialEq)]
pub enum PollStep {
    /// The next call of this poll.
    Call(StoreCall),
    /// The poll is complete; the view includes everything that the store held at this time.
    Complete(BootTime),
    /// The poll failed.
    Failed,
}

/// State of the poll.
#[derive(Debug)]
pub struct StorePoll {
    phase: PollPhase,
    started_at: BootTime,
    due_at: BootTime,
    knows_log: bool,
    scanned: Vec<KeyId>,
    mark: WithdrawnSummary,
    mark_version: u64,
}

impl StorePoll {
    /// Poll that is due at once.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            phase: PollPhase::Idle,
            started_at: now,
            due_at: now,
            knows_log: false,
            scanned: Vec::new(),
            mark: WithdrawnSummary::default(),
            mark_version: 0,
        }
    }

    /// Makes a poll due at once.
    pub fn hurry(&mut self, now: BootTime) {
        self.due_at = self.due_at.min(now);
    }

    /// Starts a poll if one is due; the next one is due after `period`.
    pub fn start(&mut self, log: &ConfigurationLog, now: BootTime, period: Duration) -> Option<StoreCall> {
        let is_stuck = self.phase != PollPhase::Idle && now.saturating_sub(self.started_at) > POLL_LIMIT;
        let is_due = now >= self.due_at || self.due_at.saturating_sub(now) > period;
        if !is_due || (self.phase != PollPhase::Idle && !is_stuck) {
            return None;
        }
        self.started_at = now;
        self.due_at = now + period;
        if self.knows_log || log.version() > 0 {
            return Some(self.scan_log(log));
        }
        self.phase = PollPhase::SnapshotPointer;
        Some(StoreCall::ReadRow { table: SNAPSHOT_TABLE, key: SINGLETON_ROW_KEY.to_owned() })
    }

    /// Takes the result of the present call.
    pub fn take(
        &mut self,
        outcome: Result<StoreAnswer, StoreCallError>,
        log: &mut ConfigurationLog,
        withdrawn: &mut WithdrawnSet,
    ) -> PollStep {
        match (self.phase.clone(), outcome) {
            (PollPhase::SnapshotPointer, Ok(StoreAnswer::Row(row))) => self.take_snapshot_mark(row.as_ref(), log),
            (PollPhase::SnapshotObject, Ok(StoreAnswer::Object(object))) => self.take_snapshot(object, log),
            (PollPhase::Log, Ok(StoreAnswer::Rows(rows))) => self.take_log(&rows, log),
            (PollPhase::WithdrawnSummary, Ok(StoreAnswer::Row(row))) => {
                self.take_withdrawn_mark(row.as_ref(), withdrawn)
            }
            (PollPhase::WithdrawnScan, Ok(StoreAnswer::Rows(rows))) => self.take_withdrawn(&rows, withdrawn),
            _ => {
                self.phase = PollPhase::Idle;
                PollStep::Failed
            }
        }
    }

    /// Mark of the withdrawn keys as last read or written, with the version of its row.
    #[must_use]
    pub fn mark(&self) -> (WithdrawnSummary, u64) {
        (self.mark, self.mark_version)
    }

    /// Takes a newer mark, from a write or from its conflict.
    pub fn set_mark(&mut self, mark: WithdrawnSummary, row_version: u64) {
        if row_version > self.mark_version {
            self.mark = mark;
            self.mark_version = row_version;
        }
    }

    fn take_snapshot_mark(&mut self, row: Option<&TableRow>, log: &ConfigurationLog) -> PollStep {
        let mark = row.and_then(|row| serde_json::from_str::<SnapshotPointer>(&row.value).ok());
        match mark {
            Some(mark) => {
                self.phase = PollPhase::SnapshotObject;
                PollStep::Call(StoreCall::GetObject(snapshot_object(mark.version)))
            }
            None => PollStep::Call(self.scan_log(log)),
        }
    }

    /// A snapshot that is missing or cannot be read is skipped: the whole log gives the same configuration.
    fn take_snapshot(&mut self, object: Option<Vec<u8>>, log: &mut ConfigurationLog) -> PollStep {
        if let Some(change) = object.and_then(|object| decode_snapshot(&object)) {
            log.install(change.version, change.items);
        }
        PollStep::Call(self.scan_log(log))
    }

    fn scan_log(&mut self, log: &ConfigurationLog) -> StoreCall {
        self.phase = PollPhase::Log;
        StoreCall::ScanRows { table: CONFIGURATION_TABLE, after: version_key(log.version()), limit: LOG_ROWS }
    }

    fn take_log(&mut self, rows: &[TableRow], log: &mut ConfigurationLog) -> PollStep {
        let changes: Vec<ConfigurationChange> = rows.iter().filter_map(change_of_row).collect();
        let last = changes.last().map_or(0, |change| change.version);
        log.apply(&changes);
        if changes.len() < rows.len() || last > log.version() {
            // A row that cannot be read, or a gap: going on would skip a change for good.
            log::error!(version = log.version(), code = ResultCode::Internal.number(); "configuration_row_unreadable");
            self.phase = PollPhase::Idle;
            return PollStep::Failed;
        }
        if rows.len() >= LOG_ROWS {
            return PollStep::Call(self.scan_log(log));
        }
        self.knows_log = true;
        self.phase = PollPhase::WithdrawnSummary;
        PollStep::Call(StoreCall::ReadRow { table: WITHDRAWN_MARK_TABLE, key: SINGLETON_ROW_KEY.to_owned() })
    }

    fn take_withdrawn_mark(&mut self, row: Option<&TableRow>, withdrawn: &mut WithdrawnSet) -> PollStep {
        let mark = row.and_then(|row| serde_json::from_str::<WithdrawnSummary>(&row.value).ok()).unwrap_or_default();
        self.set_mark(mark, row.map_or(0, |row| row.version));
        if withdrawn.mark_stored_at(mark.hash) {
            self.phase = PollPhase::Idle;
            return PollStep::Complete(self.started_at);
        }
        self.scanned.clear();
        self.phase = PollPhase::WithdrawnScan;
        PollStep::Call(scan_withdrawn(""))
    }

    fn take_withdrawn(&mut self, rows: &[TableRow], withdrawn: &mut WithdrawnSet) -> PollStep {
        self.scanned.extend(rows.iter().map(|row| row.key.clone()));
        if let Some(last) = rows.last().filter(|_| rows.len() >= WITHDRAWN_ROWS) {
            return PollStep::Call(scan_withdrawn(&last.key));
        }
        let scanned = std::mem::take(&mut self.scanned);
        withdrawn.add(&scanned);
        withdrawn.mark_stored(&scanned);
        self.phase = PollPhase::Idle;
        PollStep::Complete(self.started_at)
    }
}

fn scan_withdrawn(after: &str) -> StoreCall {
    StoreCall::ScanRows { table: WITHDRAWN_TABLE, after: after.to_owned(), limit: WITHDRAWN_ROWS }
}

fn change_of_row(row: &TableRow) -> Option<ConfigurationChange> {
    let version = row.key.parse().ok()?;
    let value: LogRow = serde_json::from_str(&row.value).ok()?;
    Some(ConfigurationChange { version, items: value.items })
}
