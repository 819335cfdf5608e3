//! Delivery of batches to trainers, each batch once.
//!
//! The deliveries of a step are numbered, and a cursor is the number of the next delivery. The first request for a
//! number chooses a ready batch and writes the delivery row, the manifest row and the `ready` index in one transaction;
//! every further request for that number reads the delivery row. The transaction also checks that the row of the
//! released weight version is unchanged, so that no release can come between the staleness check and the delivery.

use crate::generated::caller_messages::SampleBatch;
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;
use crate::samples::sample_metrics::SampleMetrics;
use crate::samples::step_rows::{
    BatchObject, BatchState, DELIVERIES_TABLE, DeliveryRow, MANIFEST_TABLE, ManifestRow, OPEN_SHARDS_TABLE,
    OpenShardRow, READY_TABLE, READY_VERSION, STEPS_TABLE, StepRow, WEIGHTS_TABLE, decode_row, delivery_key,
    encode_row, step_key, step_prefix,
};
use crate::samples::weight_version::{PresentVersion, is_stale, present_version};
use crate::store_client::StoreCallError;
use crate::store_client::store_access::{StoreAccess, new_writer_token, row_check, row_delete, row_write};

/// Longest time for which a request waits for a batch; a longer [`BatchRequest::wait`] is cut to it.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay between two polls for a batch; a poll without a ready batch is two store reads.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Most ready batches that one poll reads.
const MAX_READY_BATCHES: usize = 8;

/// A trainer's request for the batch at a cursor.
#[derive(Debug, Clone, Copy)]
pub struct BatchRequest<'a> {
    /// Organisation of the caller; a step of another organisation is not found.
    pub organisation: &'a str,
    /// Trainer that submitted the step.
    pub trainer: &'a str,
    /// Number of the step at this trainer.
    pub step: u64,
    /// Cursor from the previous batch; empty for the first batch of the step.
    pub cursor: &'a str,
    /// Longest time to wait for a batch, at most [`DELIVERY_TIMEOUT`].
    pub wait: Duration,
}

/// Position of a cursor in the deliveries of a step.
struct DeliveryPosition {
    step: StepRow,
    /// Number of the delivery that the cursor asks for.
    sequence: u32,
    /// Groups in all deliveries before this one.
    groups_delivered: u32,
}

/// Why a poll failed.
enum PollError {
    /// The store gave no result or does not have the object of the batch; this poll wrote no delivery.
    NoStoreResult,
    /// The transaction of a delivery was sent to the store, and its result is not known.
    DeliveryUnconfirmed,
    /// The request fails with this code; another poll would not help.
    Fatal(ResultCode),
}

impl From<StoreCallError> for PollError {
    fn from(_: StoreCallError) -> Self {
        Self::NoStoreResult
    }
}

impl From<ResultCode> for PollError {
    fn from(code: ResultCode) -> Self {
        Self::Fatal(code)
    }
}

/// Returns the batch at a cursor as JSON. The batch is empty when none became ready within the wait, and when all
/// groups of the step are delivered.
///
/// # Errors
///
/// - [`ResultCode::NotFound`]: the organisation has no such step.
/// - [`ResultCode::BadRequest`]: the cursor was never given out.
/// - [`ResultCode::StoreUnavailable`]: the last poll got no result from the store, or the object of the batch is
///   missing, or the row of the weight version cannot be read; this request certainly wrote no delivery. The trainer
///   asks again with the same cursor.
/// - [`ResultCode::ClaimUnsettled`]: the last poll failed in one of these ways or its delivery was unconfirmed, and a
///   delivery of this request may have been written. The trainer asks again with the same cursor.
/// - [`ResultCode::Internal`]: another row or the object of the batch cannot be read.
pub fn next_batch(
    store: &StoreAccess,
    clock: &TimeSource,
    metrics: &SampleMetrics,
    request: &BatchRequest<'_>,
) -> Result<Vec<u8>, ResultCode> {
    let deadline = clock() + request.wait.min(DELIVERY_TIMEOUT);
    let mut position = None;
    let mut is_unconfirmed = false;
    loop {
        let error = match poll_batch(store, metrics, request, &mut position) {
            Ok(Some(content)) => return Ok(content),
            Ok(None) => None,
            Err(PollError::NoStoreResult) => Some(ResultCode::StoreUnavailable),
            Err(PollError::DeliveryUnconfirmed) => {
                is_unconfirmed = true;
                Some(ResultCode::ClaimUnsettled)
            }
            Err(PollError::Fatal(code)) => return Err(code),
        };
        let now = clock();
        if now < deadline {
            std::thread::sleep(DELIVERY_POLL_INTERVAL.min(deadline.saturating_sub(now)));
            continue;
        }
        return match (error, &position) {
            (None, Some(position)) => encode_empty_batch(position),
            (Some(_), _) if is_unconfirmed => Err(ResultCode::ClaimUnsettled),
            _ => Err(ResultCode::StoreUnavailable),
        };
    }
}

fn poll_batch(
    store: &StoreAccess,
    metrics: &SampleMetrics,
    request: &BatchRequest<'_>,
    position: &mut Option<DeliveryPosition>,
) -> Result<Option<Vec<u8>>, PollError> {
    let position = match position {
        Some(position) => position,
        None => position.insert(find_position(store, request)?),
    };
    if let Some(delivery) = read_delivery(store, request, position.sequence)? {
        return read_batch_content(store, position, &delivery).map(Some);
    }
    if position.groups_delivered == position.step.groups {
        return Ok(Some(encode_empty_batch(position)?));
    }
    let prefix = step_prefix(request.trainer, request.step);
    for row in (store.scan_rows)(READY_TABLE, &prefix, "", MAX_READY_BATCHES)? {
        let present = present_version(store, &position.step.service)?;
        let batch: ManifestRow = decode_row(&row.value)?;
        if is_stale(batch.oldest_version, present.version, position.step.staleness_bound) {
            mark_batch_stale(store, metrics, position, &row.key, batch)?;
            continue;
        }
        return deliver_batch(store, metrics, request, position, &row, batch, present);
    }
    Ok(None)
}

/// Reads the step and the delivery before the cursor; fails when the organisation has no such step or the cursor was
/// never given out.
fn find_position(store: &StoreAccess, request: &BatchRequest<'_>) -> Result<DeliveryPosition, PollError> {
    let row = store.row(STEPS_TABLE, &step_key(request.trainer, request.step))?.ok_or(ResultCode::NotFound)?;
    let step: StepRow = decode_row(&row.value)?;
    if step.organisation != request.organisation {
        return Err(ResultCode::NotFound.into());
    }
    let sequence = parse_cursor(request.cursor)?;
    let groups_delivered = match sequence.checked_sub(1) {
        None => 0,
        Some(previous) => read_delivery(store, request, previous)?.ok_or(ResultCode::BadRequest)?.groups_delivered,
    };
    Ok(DeliveryPosition { step, sequence, groups_delivered })
}

fn read_delivery(
    store: &StoreAccess,
    request: &BatchRequest<'_>,
    sequence: u32,
) -> Result<Option<DeliveryRow>, PollError> {
    let row = store.row(DELIVERIES_TABLE, &delivery_key(request.trainer, request.step, sequence))?;
    Ok(row.map(|row| decode_row(&row.value)).transpose()?)
}

fn deliver_batch(
    store: &StoreAccess,
    metrics: &SampleMetrics,
    request: &BatchRequest<'_>,
    position: &DeliveryPosition,
    ready: &TableRow,
    batch: ManifestRow,
    present: PresentVersion,
) -> Result<Option<Vec<u8>>, PollError> {
    let groups = u32::try_from(batch.groups.len()).unwrap_or_default();
    let delivery = DeliveryRow {
        batch: ready.key.clone(),
        object: batch.object.clone(),
        groups_delivered: position.groups_delivered + groups,
    };
    // The content is read before the transaction: a batch whose object cannot be read must not count as delivered.
    let content = read_batch_content(store, position, &delivery)?;
    let delivery_key = delivery_key(request.trainer, request.step, position.sequence);
    // `READY_VERSION` is the version that the manifest row has until its batch is delivered or marked stale.
    let checks = vec![
        row_check(MANIFEST_TABLE, &ready.key, READY_VERSION),
        row_check(DELIVERIES_TABLE, &delivery_key, 0),
        row_check(WEIGHTS_TABLE, &position.step.service, present.row_version),
    ];
    let samples = batch.samples;
    let delivered = ManifestRow { state: BatchState::Delivered, ..batch };
    let writes = vec![
        row_write(MANIFEST_TABLE, &ready.key, encode_row(&delivered)?),
        row_write(DELIVERIES_TABLE, &delivery_key, encode_row(&delivery)?),
        row_delete(READY_TABLE, &ready.key),
    ];
    match (store.transact)(&new_writer_token(), checks, writes) {
        Ok(answer) if answer.applied => {
            metrics.delivered_samples.inc_by(u64::from(samples));
            Ok(Some(content))
        }
        // Another delivery or a release of weights came first; the next poll starts again.
        Ok(_) => Ok(None),
        Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => Err(PollError::DeliveryUnconfirmed),
        Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => Err(PollError::NoStoreResult),
    }
}

/// Marks a batch as stale and lists its step shard as open, so that the host that owns the shard generates the groups
/// of the batch again.
fn mark_batch_stale(
    store: &StoreAccess,
    metrics: &SampleMetrics,
    position: &DeliveryPosition,
    key: &str,
    batch: ManifestRow,
) -> Result<(), PollError> {
    let (shard_key, _) = key.rsplit_once('-').ok_or(ResultCode::Internal)?;
    let stale = ManifestRow { state: BatchState::Stale, ..batch };
    let writes = vec![
        row_write(MANIFEST_TABLE, key, encode_row(&stale)?),
        row_delete(READY_TABLE, key),
        row_write(OPEN_SHARDS_TABLE, shard_key, encode_row(&OpenShardRow { service: position.step.service.clone() })?),
    ];
    let answer = (store.transact)(&new_writer_token(), vec![row_check(MANIFEST_TABLE, key, READY_VERSION)], writes)?;
    if answer.applied {
        metrics.stale_batches.inc();
        log::warn!(batch = key; "batch_stale");
    }
    Ok(())
}

fn read_batch_content(
    store: &StoreAccess,
    position: &DeliveryPosition,
    delivery: &DeliveryRow,
) -> Result<Vec<u8>, PollError> {
    let object = (store.get_object)(&delivery.object)?.ok_or(PollError::NoStoreResult)?;
    let object: BatchObject = serde_json::from_slice(&object).map_err(|_| ResultCode::Internal)?;
    let batch = SampleBatch {
        cursor: format_cursor(position.sequence + 1),
        samples: object.samples,
        failed_groups: object.failed_groups,
        complete: delivery.groups_delivered == position.step.groups,
    };
    Ok(encode_batch(&batch)?)
}

fn encode_empty_batch(position: &DeliveryPosition) -> Result<Vec<u8>, ResultCode> {
    let complete = position.groups_delivered == position.step.groups;
    let cursor = format_cursor(position.sequence);
    encode_batch(&SampleBatch { cursor, samples: Vec::new(), failed_groups: Vec::new(), complete })
}

fn encode_batch(batch: &SampleBatch) -> Result<Vec<u8>, ResultCode> {
    serde_json::to_vec(batch).map_err(|_| ResultCode::Internal)
}

fn format_cursor(sequence: u32) -> String {
    format!("{sequence:06}")
}

fn parse_cursor(cursor: &str) -> Result<u32, ResultCode> {
    if cursor.is_empty() {
        return Ok(0);
    }
    let sequence = cursor.parse().map_err(|_| ResultCode::BadRequest)?;
    if cursor == format_cursor(sequence) { Ok(sequence) } else { Err(ResultCode::BadRequest) }
}
