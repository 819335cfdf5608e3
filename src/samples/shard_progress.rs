//! What the store knows of a shard, and writing its batches.
//!
//! A batch is stored as an object first. One transaction then adds its manifest row on condition that the resource row
//! still has the owner's version, that the manifest row is absent, and that the `open_shards` row has not changed
//! since the manifest was read: a batch that becomes stale changes that row. A transaction whose answer was lost is
//! sent again unchanged; whichever copy takes effect first makes the other one fail its check.

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

/// Right of an owner to write batches of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardClaim {
    /// Shard.
    pub name: StepShard,
    /// Fencing number.
    pub epoch: LeaseEpoch,
    /// Version of the resource row while this claim holds.
    pub row_version: u64,
}

/// What the store knows of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardProgress {
    /// Number of the next manifest row.
    pub next_number: u32,
    /// Version of the `open_shards` row; 0 when no group is missing.
    pub open_version: u64,
    /// Positions of groups in batches that are not stale, sorted.
    pub written: Vec<u32>,
}

impl ShardProgress {
    /// Reads the progress. The `open_shards` row is read before the manifest, so that a batch which becomes stale in
    /// between is noticed at the next write.
    ///
    /// # Errors
    ///
    /// The store gave no result.
    pub fn read(store: &StoreAccess, name: &StepShard) -> Result<Self, StoreCallError> {
        let open_row = store.row(OPEN_SHARDS_TABLE, &name.open_key())?;
        let rows = store.all_rows(MANIFEST_TABLE, &name.manifest_prefix())?;
        let next_number = u32::try_from(rows.len()).unwrap_or(u32::MAX);
        let manifest = rows.iter().filter_map(|row| decode_row::<ManifestRow>(&row.value).ok());
        let kept = manifest.filter(|row| row.state != BatchState::Stale);
        let mut written: Vec<u32> = kept.flat_map(|row| row.groups).collect();
        written.sort_unstable();
        written.dedup();
        Ok(Self { next_number, open_version: open_row.map_or(0, |row| row.version), written })
    }
}

/// How one attempt to write a batch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is in the manifest.
    Written,
    /// The shard changed in the store; its progress must be read again before the next attempt.
    Changed,
    /// Another host owns the shard.
    Fenced,
    /// The store gave no result; the same attempt may be repeated.
    NoAnswer,
}

/// A batch as it is stored.
struct BuiltBatch {
    object: String,
    content: Vec<u8>,
    row: ManifestRow,
}

/// Tries once to add a batch to the manifest.
///
/// # Errors
///
/// The batch has no JSON form.
pub fn write_batch(
    store: &StoreAccess,
    claim: &ShardClaim,
    progress: &ShardProgress,
    batch: &[BatchGroup],
    group_count: usize,
) -> Result<WriteOutcome, ResultCode> {
    let built = build_batch(claim, progress.next_number, batch)?;
    if (store.put_object)(&built.object, &built.content).is_err() {
        return Ok(WriteOutcome::NoAnswer);
    }
    let is_last = progress.written.len() + batch.len() == group_count;
    let checks = build_checks(claim, progress);
    let writes = build_writes(claim, progress, &built, is_last)?;
    let outcome = match (store.transact)(&built.object, checks, writes) {
        Ok(answer) if answer.applied => WriteOutcome::Written,
        Ok(answer) => read_conflicts(claim, progress, &built, &answer.conflicts),
        Err(_) => WriteOutcome::NoAnswer,
    };
    Ok(outcome)
}

fn build_batch(claim: &ShardClaim, number: u32, batch: &[BatchGroup]) -> Result<BuiltBatch, ResultCode> {
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
    let object = claim.name.batch_object(claim.epoch, number, &content_digest(&content)[..16]);
    let groups = batch.iter().map(|group| group.group).collect();
    let row = ManifestRow { object: object.clone(), groups, samples, oldest_version, state: BatchState::Ready };
    Ok(BuiltBatch { object, content, row })
}

fn build_checks(claim: &ShardClaim, progress: &ShardProgress) -> Vec<RowCheck> {
    vec![
        row_check(RESOURCES_TABLE, &claim.name.resource(), claim.row_version),
        row_check(MANIFEST_TABLE, &claim.name.manifest_key(progress.next_number), 0),
        row_check(OPEN_SHARDS_TABLE, &claim.name.open_key(), progress.open_version),
    ]
}

fn build_writes(
    claim: &ShardClaim,
    progress: &ShardProgress,
    built: &BuiltBatch,
    is_last: bool,
) -> Result<Vec<RowWrite>, ResultCode> {
    let key = claim.name.manifest_key(progress.next_number);
    let value = encode_row(&built.row)?;
    let mut writes = vec![row_write(MANIFEST_TABLE, &key, value.clone()), row_write(READY_TABLE, &key, value)];
    if is_last {
        writes.push(row_delete(OPEN_SHARDS_TABLE, &claim.name.open_key()));
    }
    Ok(writes)
}

/// Finds out why a transaction was not applied. The own batch is recognised by its object, also when a trainer has
/// received it in the meantime and another writer's token is on the row.
fn read_conflicts(
    claim: &ShardClaim,
    progress: &ShardProgress,
    built: &BuiltBatch,
    conflicts: &[TableRow],
) -> WriteOutcome {
    let key = claim.name.manifest_key(progress.next_number);
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
