//! Saved output of items that still run.
//!
//! Failure answered: all hosts lose power while the long items of a step are half done. Without their output the
//! steps would run them again from the start and miss their deadline; with it they resume where the last save ended.
//! Only long items are saved, since a short one is run again faster than it is read back.
//!
//! A former owner that does not know of its successor may go on saving. Its events must not be joined to those of the
//! successor, whose run was resumed elsewhere, so each save names the tenure of its owner: a later tenure's events
//! replace those of earlier ones from the position on at which it took the item up.

use serde::{Deserialize, Serialize};

use crate::jobs::item_run::{ItemProgress, VersionRun};
use crate::jobs::job_record::job_part;
use crate::prelude::*;
use crate::row_store::{PartitionTransaction, RowContent, RowStore, StoreCallError, StoredRow};

/// Table of saved output.
pub const PROGRESS_TABLE: &str = "job_progress";

/// Period of the saves of one job.
pub const SAVE_PERIOD: Duration = Duration::from_millis(500);

/// Events from which on an item's output is saved.
const LEAST_EVENTS: usize = 12;

/// Largest value of one row in bytes; the installations' stores hold 64 KiB.
const ROW_BYTES: usize = 48_000;

/// Consecutive events of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressSegment {
    /// Position of the item in its job.
    pub item: usize,
    /// Position of the first event in the item's output.
    pub index: usize,
    /// Id of the last event.
    pub last_event: u64,
    /// Data of the events.
    pub data: Vec<String>,
    /// Versions of the weights that generated the events.
    pub version_runs: Vec<VersionRun>,
}

/// How much of each item of a job is saved.
#[derive(Debug)]
pub struct ProgressSaver {
    tenure: u32,
    saved: Vec<usize>,
    sequence: u64,
}

impl ProgressSaver {
    /// Saver of a tenure of a job, whose items have `saved` events in the store.
    #[must_use]
    pub fn new(tenure: u32, saved: Vec<usize>) -> Self {
        // Saves of a second runner in one tenure sort behind those of the first.
        Self { tenure, saved, sequence: whole_millis(boot_time()) }
    }

    /// Output of an item that is not saved yet; it counts as saved from now on.
    pub fn take_unsaved(&mut self, item: usize, progress: &ItemProgress) -> Option<ProgressSegment> {
        let index = self.saved[item];
        if progress.data.len() < LEAST_EVENTS || progress.data.len() <= index {
            return None;
        }
        self.saved[item] = progress.data.len();
        Some(ProgressSegment {
            item,
            index,
            last_event: progress.last_event?,
            data: progress.data[index..].to_vec(),
            version_runs: runs_from(&progress.version_runs, index),
        })
    }

    /// Forgets that parts were saved, after their save failed.
    pub fn put_back(&mut self, parts: &[ProgressSegment]) {
        for part in parts {
            self.saved[part.item] = self.saved[part.item].min(part.index);
        }
    }

    /// Key of the next row of a job.
    fn next_key(&mut self, job: &str) -> String {
        self.sequence += 1;
        format!("{job}/{:06}-{:012}", self.tenure, self.sequence)
    }
}

/// Writes parts in as many rows as they need.
///
/// # Errors
///
/// The store gave no answer; some rows may be written.
pub async fn save_parts(
    store: &RowStore,
    job: &str,
    saver: &mut ProgressSaver,
    parts: &[ProgressSegment],
) -> Result<(), StoreCallError> {
    let mut rows: Vec<Vec<ProgressSegment>> = Vec::new();
    let mut bytes = ROW_BYTES;
    for part in parts.iter().flat_map(split_part) {
        let size: usize = part.data.iter().map(|data| data.len() + 8).sum();
        if bytes + size > ROW_BYTES {
            rows.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(row) = rows.last_mut() {
            row.push(part);
        }
    }
    // Few rows a transaction keep it below the size that the stores accept.
    for group in rows.chunks(8) {
        let writes = group.iter().map(|row| RowContent {
            table: PROGRESS_TABLE,
            key: saver.next_key(job),
            value: serde_json::to_vec(row).unwrap_or_default(),
        });
        let transaction =
            PartitionTransaction { part: job_part(job), writes: writes.collect(), ..PartitionTransaction::default() };
        (store.transact)(transaction).await?;
    }
    Ok(())
}

/// Versions of the events from a position on.
fn runs_from(runs: &[VersionRun], index: usize) -> Vec<VersionRun> {
    let first = runs.iter().rposition(|run| run.from <= index).unwrap_or_default();
    runs[first..].iter().map(|run| VersionRun { from: run.from.max(index), version: run.version }).collect()
}

/// Splits a part that does not fit into one row.
fn split_part(part: &ProgressSegment) -> Vec<ProgressSegment> {
    let mut parts: Vec<ProgressSegment> = Vec::new();
    let mut bytes = ROW_BYTES;
    let first_event = part.last_event + 1 - part.data.len() as u64;
    for (offset, data) in part.data.iter().enumerate() {
        if bytes + data.len() + 8 > ROW_BYTES {
            let index = part.index + offset;
            let version_runs = runs_from(&part.version_runs, index);
            parts.push(ProgressSegment { item: part.item, index, last_event: 0, data: Vec::new(), version_runs });
            bytes = 0;
        }
        bytes += data.len() + 8;
        if let Some(last) = parts.last_mut() {
            last.data.push(data.clone());
            last.last_event = first_event + offset as u64;
        }
    }
    for part in &mut parts {
        let end = part.index + part.data.len();
        part.version_runs.retain(|run| run.from < end);
    }
    parts
}

/// Adds the saved parts of one tenure, in the order of their saves, to the output of their items.
pub fn apply_tenure(progress: &mut [ItemProgress], parts: &[ProgressSegment]) {
    let mut begun = vec![false; progress.len()];
    for part in parts {
        let Some(item) = progress.get_mut(part.item) else { continue };
        let is_first = !std::mem::replace(&mut begun[part.item], true);
        if is_first && part.index < item.data.len() {
            // The tenure took the item up here; what an earlier one saved later belongs to another run.
            item.truncate(part.index);
        }
        if part.index != item.data.len() {
            continue;
        }
        item.data.extend_from_slice(&part.data);
        item.last_event = Some(part.last_event);
        part.version_runs.iter().for_each(|run| item.note_version(*run));
    }
}

/// Reads the saved output of all items of a job.
///
/// # Errors
///
/// The store gave no answer.
pub async fn read_progress(store: &RowStore, job: &str, item_count: u32) -> Result<Vec<ItemProgress>, StoreCallError> {
    let (from, to) = (format!("{job}/"), format!("{job}0"));
    let (rows, _) = store.read_partition(PROGRESS_TABLE, &job_part(job), Some(from), Some(to)).await?;
    let mut progress: Vec<ItemProgress> = (0..item_count).map(|_| ItemProgress::default()).collect();
    // Keys sort by tenure, then by save.
    for tenure in rows.chunk_by(|one, other| tenure_of(&one.key) == tenure_of(&other.key)) {
        let parts: Vec<ProgressSegment> = tenure.iter().flat_map(decode_parts).collect();
        apply_tenure(&mut progress, &parts);
    }
    Ok(progress)
}

fn tenure_of(key: &str) -> Option<&str> {
    key.rsplit_once('-').map(|(tenure, _)| tenure)
}

fn decode_parts(row: &StoredRow) -> Vec<ProgressSegment> {
    serde_json::from_slice(row.value.as_deref().unwrap_or_default()).unwrap_or_else(|error| {
        log::warn!(row = row.key, error = error.to_string(); "job_progress_unreadable");
        Vec::new()
    })
}
