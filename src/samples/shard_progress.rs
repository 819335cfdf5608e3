//! Progress of a shard as stored, and writing the shard's batches.
//!
//! A batch is stored as an object first. One transaction then adds the manifest row on condition that the resource row
//! still has the owner's version, that the manifest row is absent, and that the `open_shards` row is still as it was
//! read, before the manifest: a batch that becomes stale changes that row. A transaction whose answer was lost is sent
//! again unchanged; when one of the two takes effect, the checks of the other fail.

use crate::generated::platform_messages::{RowCheck, RowWrite, TableRow};
use crate::prelude::*;
use crate::samples::shard_plan::{BatchGroup, GroupResult};
use crate::samples::step_rows::{
    BatchObject, BatchState, MANIFEST_TABLE, ManifestRow, OPEN_SHARDS_TABLE, READY_TABLE, RESOURCES_TABLE, StepShard,
    decode_row, encode_row,
};
use crate::samples::step_spec::content_digest;
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, row_check, row_delete, row_write};

/// Ownership of a shard with its epoch; the right to write batches of the shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwnership {
    /// Shard that is owned.
    pub name: StepShard,
    /// Epoch of the ownership; part of the names of batch objects.
    pub epoch: LeaseEpoch,
    /// Version of the resource row during this ownership; another version means that the ownership is lost.
    pub row_version: u64,
}

/// Progress of a shard as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardProgress {
    /// Number of the next manifest row; the rows of a shard are numbered without gaps from 0.
    pub next_manifest_number: u32,
    /// Version of the `open_shards` row; 0 when the row is absent because the shard is complete.
    pub open_row_version: u64,
    /// Positions of the groups in batches that are not stale, sorted.
    pub written_groups: Vec<u32>,
}

impl ShardProgress {
    /// Reads the progress of a shard. The `open_shards` row is read before the manifest, so that a batch which becomes
    /// stale in between makes the next write fail its check.
    ///
    /// # Errors
    ///
    /// The store gave no result for one of the reads.
    pub fn read(store: &StoreAccess, name: &StepShard) -> Result<Self, StoreCallError> {
        let open_row = store.row(OPEN_SHARDS_TABLE, &name.open_key())?;
        let rows = store.all_rows(MANIFEST_TABLE, &name.manifest_prefix())?;
        let next_manifest_number = u32::try_from(rows.len()).unwrap_or(u32::MAX);
        let manifest = rows.iter().filter_map(|row| decode_row::<ManifestRow>(&row.value).ok());
        let current_rows = manifest.filter(|row| row.state != BatchState::Stale);
        let mut written_groups: Vec<u32> = current_rows.flat_map(|row| row.groups).collect();
        written_groups.sort_unstable();
        written_groups.dedup();
        Ok(Self { next_manifest_number, open_row_version: open_row.map_or(0, |row| row.version), written_groups })
    }
}

/// How one attempt to write a batch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is in the manifest.
    Written,
    /// Other rows of the shard changed; the progress must be read again before the next attempt.
    Changed,
    /// The resource row changed, so the ownership is lost.
    Fenced,
    /// The store gave no result, and the batch may have been written; the same attempt may be repeated.
    NoResult,
}

/// A batch in its stored form: the object with its name and content, and the manifest row.
struct BuiltBatch {
    object: String,
    content: Vec<u8>,
    row: ManifestRow,
}

/// Makes one attempt to store a batch and to add it to the manifest. The batch that completes the shard also deletes
/// the `open_shards` row. `group_count` is the number of groups of the shard.
///
/// # Errors
///
/// [`ResultCode::Internal`] when the batch cannot be encoded.
pub fn write_batch(
    store: &StoreAccess,
    ownership: &ShardOwnership,
    progress: &ShardProgress,
    batch: &[BatchGroup],
    group_count: usize,
) -> Result<WriteOutcome, ResultCode> {
    let built = build_batch(ownership, progress.next_manifest_number, batch)?;
    if (store.put_object)(&built.object, &built.content).is_err() {
        return Ok(WriteOutcome::NoResult);
    }
    let is_last = progress.written_groups.len() + batch.len() == group_count;
    let checks = build_checks(ownership, progress);
    let writes = build_writes(ownership, progress, &built, is_last)?;
    let outcome = match (store.transact)(&built.object, checks, writes) {
        Ok(answer) if answer.applied => WriteOutcome::Written,
        Ok(answer) => interpret_conflicts(ownership, progress, &built, &answer.conflicts),
        Err(_) => WriteOutcome::NoResult,
    };
    Ok(outcome)
}

fn build_batch(ownership: &ShardOwnership, number: u32, batch: &[BatchGroup]) -> Result<BuiltBatch, ResultCode> {
    let mut content = BatchObject { samples: Vec::new(), failed_groups: Vec::new() };
    for group in batch {
        match &group.result {
            GroupResult::Samples(samples) => content.samples.extend_from_slice(samples),
            GroupResult::Failed(failed) => content.failed_groups.push(failed.clone()),
        }
    }
    let versions = content.samples.iter().flat_map(|sample| &sample.weight_versions);
    let oldest_version = versions.map(|span| span.version).min();
    let samples = u32::try_from(content.samples.len()).map_err(|_| ResultCode::Internal)?;
    let content = serde_json::to_vec(&content).map_err(|_| ResultCode::Internal)?;
    let object = ownership.name.batch_object(ownership.epoch, number, &content_digest(&content)[..16]);
    let groups = batch.iter().map(|group| group.group).collect();
    let row = ManifestRow { object: object.clone(), groups, samples, oldest_version, state: BatchState::Ready };
    Ok(BuiltBatch { object, content, row })
}

fn build_checks(ownership: &ShardOwnership, progress: &ShardProgress) -> Vec<RowCheck> {
    vec![
        row_check(RESOURCES_TABLE, &ownership.name.resource(), ownership.row_version),
        row_check(MANIFEST_TABLE, &ownership.name.manifest_key(progress.next_manifest_number), 0),
        row_check(OPEN_SHARDS_TABLE, &ownership.name.open_key(), progress.open_row_version),
    ]
}

fn build_writes(
    ownership: &ShardOwnership,
    progress: &ShardProgress,
    built: &BuiltBatch,
    is_last: bool,
) -> Result<Vec<RowWrite>, ResultCode> {
    let key = ownership.name.manifest_key(progress.next_manifest_number);
    let value = encode_row(&built.row)?;
    let mut writes = vec![row_write(MANIFEST_TABLE, &key, value.clone()), row_write(READY_TABLE, &key, value)];
    if is_last {
        writes.push(row_delete(OPEN_SHARDS_TABLE, &ownership.name.open_key()));
    }
    Ok(writes)
}

/// Tells from the conflicting rows why a transaction was not applied. If an earlier attempt wrote the batch, the
/// manifest row names the batch's object. The writer token of that attempt may be gone from the row, because the batch
/// was delivered or became stale in the meantime.
fn interpret_conflicts(
    ownership: &ShardOwnership,
    progress: &ShardProgress,
    built: &BuiltBatch,
    conflicts: &[TableRow],
) -> WriteOutcome {
    let key = ownership.name.manifest_key(progress.next_manifest_number);
    let manifest = conflicts.iter().find(|row| row.table == MANIFEST_TABLE && row.key == key);
    let present = manifest.and_then(|row| decode_row::<ManifestRow>(&row.value).ok());
    if present.is_some_and(|row| row.object == built.object) {
        return WriteOutcome::Written;
    }
    if conflicts.iter().any(|row| row.table == RESOURCES_TABLE) {
        return WriteOutcome::Fenced;
    }
    WriteOutcome::Changed
}
