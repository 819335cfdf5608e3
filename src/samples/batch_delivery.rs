//! Delivery of batches to trainers, each batch once.
//!
//! The deliveries of a step are numbered, and a cursor is the number of the next one. The first request for a number
//! chooses a ready batch and writes the delivery row, the manifest row and the `ready` index in one transaction; every
//! further request for that number reads the delivery row. The transaction also checks the row of the present weight
//! version, so that a release cannot come between the staleness check and the delivery.

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

/// Longest wait for a batch.
pub const DELIVERY_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks for a batch; each look is two store reads.
const DELIVERY_POLL: Duration = Duration::from_millis(250);

/// Ready batches that one look reads.
const READY_PAGE: usize = 8;

/// Request for the batch behind a cursor.
#[derive(Debug, Clone, Copy)]
pub struct BatchRequest<'a> {
    /// Organisation that asks.
    pub organisation: &'a str,
    /// Trainer.
    pub trainer: &'a str,
    /// Step.
    pub step: u64,
    /// Cursor; empty for the start of the step.
    pub cursor: &'a str,
    /// Longest wait.
    pub wait: Duration,
}

/// What is delivered up to a cursor.
struct DeliveryPlace {
    step: StepRow,
    sequence: u32,
    groups_delivered: u32,
}

/// Why a look gave no batch.
enum LookFault {
    /// The store gave no result, and nothing was written.
    NoResult,
    /// A delivery was sent and its answer lost.
    MayBeWritten,
    Fatal(ResultCode),
}

impl From<StoreCallError> for LookFault {
    fn from(_: StoreCallError) -> Self {
        Self::NoResult
    }
}

impl From<ResultCode> for LookFault {
    fn from(code: ResultCode) -> Self {
        Self::Fatal(code)
    }
}

/// Returns the batch behind a cursor as JSON; without a batch before the wait is over, an empty one.
///
/// # Errors
///
/// [`ResultCode::NotFound`] when the organisation has no such step, [`ResultCode::BadRequest`] when the cursor was
/// never given out, [`ResultCode::StoreUnavailable`] or [`ResultCode::ClaimUnsettled`] when the store gave no result;
/// the trainer then asks again with the same cursor.
pub fn next_batch(
    store: &StoreAccess,
    clock: &TimeSource,
    metrics: &SampleMetrics,
    ask: &BatchRequest<'_>,
) -> Result<Vec<u8>, ResultCode> {
    let end = clock() + ask.wait.min(DELIVERY_WAIT_LIMIT);
    let mut place = None;
    let mut unsettled = false;
    loop {
        let fault = match look_for_batch(store, metrics, ask, &mut place) {
            Ok(Some(content)) => return Ok(content),
            Ok(None) => None,
            Err(LookFault::NoResult) => Some(ResultCode::StoreUnavailable),
            Err(LookFault::MayBeWritten) => {
                unsettled = true;
                Some(ResultCode::ClaimUnsettled)
            }
            Err(LookFault::Fatal(code)) => return Err(code),
        };
        let now = clock();
        if now < end {
            std::thread::sleep(DELIVERY_POLL.min(end.saturating_sub(now)));
            continue;
        }
        return match (fault, &place) {
            (None, Some(place)) => encode_empty(place),
            (Some(_), _) if unsettled => Err(ResultCode::ClaimUnsettled),
            _ => Err(ResultCode::StoreUnavailable),
        };
    }
}

fn look_for_batch(
    store: &StoreAccess,
    metrics: &SampleMetrics,
    ask: &BatchRequest<'_>,
    place: &mut Option<DeliveryPlace>,
) -> Result<Option<Vec<u8>>, LookFault> {
    let place = match place {
        Some(place) => place,
        None => place.insert(find_place(store, ask)?),
    };
    if let Some(delivery) = read_delivery(store, ask, place.sequence)? {
        return read_content(store, place, &delivery).map(Some);
    }
    if place.groups_delivered == place.step.groups {
        return Ok(Some(encode_empty(place)?));
    }
    let prefix = step_prefix(ask.trainer, ask.step);
    for row in (store.scan_rows)(READY_TABLE, &prefix, "", READY_PAGE)? {
        let present = present_version(store, &place.step.service)?;
        let batch: ManifestRow = decode_row(&row.value)?;
        if is_stale(batch.oldest_version, present.version, place.step.staleness_bound) {
            mark_stale(store, metrics, place, &row.key, batch)?;
            continue;
        }
        return deliver(store, metrics, ask, place, &row, batch, present);
    }
    Ok(None)
}

/// Checks the step's owner and the cursor.
fn find_place(store: &StoreAccess, ask: &BatchRequest<'_>) -> Result<DeliveryPlace, LookFault> {
    let row = store.row(STEPS_TABLE, &step_key(ask.trainer, ask.step))?.ok_or(ResultCode::NotFound)?;
    let step: StepRow = decode_row(&row.value)?;
    if step.organisation != ask.organisation {
        return Err(ResultCode::NotFound.into());
    }
    let sequence = parse_cursor(ask.cursor)?;
    let groups_delivered = match sequence.checked_sub(1) {
        None => 0,
        Some(previous) => read_delivery(store, ask, previous)?.ok_or(ResultCode::BadRequest)?.groups_delivered,
    };
    Ok(DeliveryPlace { step, sequence, groups_delivered })
}

fn read_delivery(store: &StoreAccess, ask: &BatchRequest<'_>, sequence: u32) -> Result<Option<DeliveryRow>, LookFault> {
    let row = store.row(DELIVERIES_TABLE, &delivery_key(ask.trainer, ask.step, sequence))?;
    Ok(row.map(|row| decode_row(&row.value)).transpose()?)
}

fn deliver(
    store: &StoreAccess,
    metrics: &SampleMetrics,
    ask: &BatchRequest<'_>,
    place: &DeliveryPlace,
    ready: &TableRow,
    batch: ManifestRow,
    present: PresentVersion,
) -> Result<Option<Vec<u8>>, LookFault> {
    let groups = u32::try_from(batch.groups.len()).unwrap_or_default();
    let delivery = DeliveryRow {
        batch: ready.key.clone(),
        object: batch.object.clone(),
        groups_delivered: place.groups_delivered + groups,
    };
    // The content is read first: a batch whose object cannot be read must not count as delivered.
    let content = read_content(store, place, &delivery)?;
    let delivery_key = delivery_key(ask.trainer, ask.step, place.sequence);
    let checks = vec![
        row_check(MANIFEST_TABLE, &ready.key, READY_VERSION),
        row_check(DELIVERIES_TABLE, &delivery_key, 0),
        row_check(WEIGHTS_TABLE, &place.step.service, present.row_version),
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
        // Another delivery or a release of weights came first; the next look starts again.
        Ok(_) => Ok(None),
        Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => Err(LookFault::MayBeWritten),
        Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => Err(LookFault::NoResult),
    }
}

/// Marks a batch that is too old, and opens its shard so that an owner generates its groups again.
fn mark_stale(
    store: &StoreAccess,
    metrics: &SampleMetrics,
    place: &DeliveryPlace,
    key: &str,
    batch: ManifestRow,
) -> Result<(), LookFault> {
    let (open_key, _) = key.rsplit_once('-').ok_or(ResultCode::Internal)?;
    let stale = ManifestRow { state: BatchState::Stale, ..batch };
    let writes = vec![
        row_write(MANIFEST_TABLE, key, encode_row(&stale)?),
        row_delete(READY_TABLE, key),
        row_write(OPEN_SHARDS_TABLE, open_key, encode_row(&OpenShardRow { service: place.step.service.clone() })?),
    ];
    let answer = (store.transact)(&new_writer_token(), vec![row_check(MANIFEST_TABLE, key, READY_VERSION)], writes)?;
    if answer.applied {
        metrics.stale_batches.inc();
        log::warn!(batch = key; "batch_stale");
    }
    Ok(())
}

fn read_content(store: &StoreAccess, place: &DeliveryPlace, delivery: &DeliveryRow) -> Result<Vec<u8>, LookFault> {
    let object = (store.get_object)(&delivery.object)?.ok_or(LookFault::NoResult)?;
    let object: BatchObject = serde_json::from_slice(&object).map_err(|_| ResultCode::Internal)?;
    let batch = SampleBatch {
        cursor: cursor_text(place.sequence + 1),
        samples: object.samples,
        failed_groups: object.failed_groups,
        complete: delivery.groups_delivered == place.step.groups,
    };
    Ok(encode_batch(&batch)?)
}

fn encode_empty(place: &DeliveryPlace) -> Result<Vec<u8>, ResultCode> {
    let complete = place.groups_delivered == place.step.groups;
    let cursor = cursor_text(place.sequence);
    encode_batch(&SampleBatch { cursor, samples: Vec::new(), failed_groups: Vec::new(), complete })
}

fn encode_batch(batch: &SampleBatch) -> Result<Vec<u8>, ResultCode> {
    serde_json::to_vec(batch).map_err(|_| ResultCode::Internal)
}

fn cursor_text(sequence: u32) -> String {
    format!("{sequence:06}")
}

fn parse_cursor(cursor: &str) -> Result<u32, ResultCode> {
    if cursor.is_empty() {
        return Ok(0);
    }
    let sequence = cursor.parse().map_err(|_| ResultCode::BadRequest)?;
    if cursor == cursor_text(sequence) { Ok(sequence) } else { Err(ResultCode::BadRequest) }
}
