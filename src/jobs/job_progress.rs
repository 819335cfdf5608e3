//! Saved output of items that still run.
//!
//! Failure answered: all hosts lose power while the long items of a step are half done. Without their output the
//! steps would run them again from the start and miss their deadline; with it they resume where the last save ended.
//! Only long items are saved, since a short one is run again faster than it is read back.

use serde::{Deserialize, Serialize};

use crate::jobs::item_run::ItemProgress;
use crate::jobs::job_record::{JobSpec, job_part};
use crate::prelude::*;
use crate::row_store::{PartTransaction, RowContent, RowStore, StoreCallFault, StoredRow};

/// Table of saved output.
pub const PROGRESS_TABLE: &str = "job_progress";

/// Period of the saves of one job.
pub const SAVE_PERIOD: Duration = Duration::from_secs(1);

/// Events from which on an item's output is saved.
const LEAST_EVENTS: usize = 32;

/// Largest value of one row in bytes; the installations' stores hold 64 KiB.
const ROW_BYTES: usize = 48_000;

/// Consecutive events of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressPart {
    /// Position of the item in its job.
    pub item: usize,
    /// Position of the first event in the item's output.
    pub index: usize,
    /// Id of the last event.
    pub last_event: u64,
    /// Data of the events.
    pub data: Vec<String>,
    /// Versions of the weights that generated the output up to here.
    pub versions: Vec<WeightVersion>,
}

/// How much of each item of a job is saved.
#[derive(Debug, Default)]
pub struct ProgressSaver {
    saved: Vec<usize>,
    sequence: u64,
}

impl ProgressSaver {
    /// Saver of a job whose items have `saved` events in the store.
    #[must_use]
    pub fn new(saved: Vec<usize>) -> Self {
        Self { saved, sequence: 0 }
    }

    /// Output of an item that is not saved yet; it counts as saved from now on.
    pub fn take_part(&mut self, item: usize, progress: &ItemProgress) -> Option<ProgressPart> {
        let index = self.saved[item];
        if progress.data.len() < LEAST_EVENTS || progress.data.len() <= index {
            return None;
        }
        self.saved[item] = progress.data.len();
        Some(ProgressPart {
            item,
            index,
            last_event: progress.last_event?,
            data: progress.data[index..].to_vec(),
            versions: progress.versions.clone(),
        })
    }

    /// Forgets that parts were saved, after their save failed.
    pub fn put_back(&mut self, parts: &[ProgressPart]) {
        for part in parts {
            self.saved[part.item] = self.saved[part.item].min(part.index);
        }
    }

    /// Key of the next row of a job.
    fn next_key(&mut self, job: &str, incarnation: Incarnation) -> String {
        self.sequence += 1;
        format!("{job}/{incarnation:016x}-{:06}", self.sequence)
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
    incarnation: Incarnation,
    saver: &mut ProgressSaver,
    parts: &[ProgressPart],
) -> Result<(), StoreCallFault> {
    let mut rows: Vec<Vec<ProgressPart>> = Vec::new();
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
            key: saver.next_key(job, incarnation),
            value: serde_json::to_vec(row).unwrap_or_default(),
        });
        let transaction = PartTransaction { part: job_part(job), checks: Vec::new(), writes: writes.collect() };
        (store.transact)(transaction).await?;
    }
    Ok(())
}

/// Splits a part that does not fit into one row.
fn split_part(part: &ProgressPart) -> Vec<ProgressPart> {
    let mut parts: Vec<ProgressPart> = Vec::new();
    let mut bytes = ROW_BYTES;
    let first_event = part.last_event + 1 - part.data.len() as u64;
    for (offset, data) in part.data.iter().enumerate() {
        if bytes + data.len() + 8 > ROW_BYTES {
            let data = Vec::new();
            let versions = part.versions.clone();
            parts.push(ProgressPart { item: part.item, index: part.index + offset, last_event: 0, data, versions });
            bytes = 0;
        }
        bytes += data.len() + 8;
        if let Some(last) = parts.last_mut() {
            last.data.push(data.clone());
            last.last_event = first_event + offset as u64;
        }
    }
    parts
}

/// Adds a saved part to the output of its item, as far as it continues it.
pub fn apply_part(progress: &mut ItemProgress, part: &ProgressPart) {
    let known = progress.data.len();
    if part.index > known || part.index + part.data.len() <= known {
        return;
    }
    progress.data.extend_from_slice(&part.data[known - part.index..]);
    progress.last_event = Some(part.last_event);
    for version in &part.versions {
        if let Err(position) = progress.versions.binary_search(version) {
            progress.versions.insert(position, *version);
        }
    }
}

/// Reads the saved output of all items of a job.
///
/// # Errors
///
/// The store gave no answer.
pub async fn read_progress(store: &RowStore, job: &str, spec: &JobSpec) -> Result<Vec<ItemProgress>, StoreCallFault> {
    let (from, to) = (format!("{job}/"), format!("{job}0"));
    let (mut rows, _) = store.read_part(PROGRESS_TABLE, &job_part(job), Some(from), Some(to)).await?;
    rows.sort_by_key(|row| row.version);
    let mut progress: Vec<ItemProgress> = spec.items.iter().map(|_| ItemProgress::default()).collect();
    for part in rows.iter().flat_map(decode_parts) {
        if let Some(item) = progress.get_mut(part.item) {
            apply_part(item, &part);
        }
    }
    Ok(progress)
}

fn decode_parts(row: &StoredRow) -> Vec<ProgressPart> {
    serde_json::from_slice(row.value.as_deref().unwrap_or_default()).unwrap_or_else(|error| {
        log::warn!(row = row.key, error = error.to_string(); "job_progress_unreadable");
        Vec::new()
    })
}
