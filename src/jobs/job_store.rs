//! Reads and writes the stored rows of batch jobs. Header writes are conditional on the version of the header row.

use std::marker::PhantomData;

use bytes::Bytes;

use crate::jobs::job_cache::decode_header;
use crate::jobs::job_encoder::{EncodedJob, MAX_ROW_BYTES};
use crate::jobs::job_progress::PROGRESS_TABLE;
use crate::jobs::job_record::{ITEM_TABLE, ItemResult, JOB_TABLE, JobHeader, JobSpec, RESULT_TABLE, job_partition};
use crate::memory::ReceivedBody;
use crate::row_store::{
    PartitionTransaction, RowContent, RowName, RowRange, RowStore, RowVersion, StoreCallError, StoredRow,
    TransactionResult, VersionCheck,
};

/// Maximum size of the values that one transaction writes; the stores accept 1 MB after encoding.
const MAX_TRANSACTION_BYTES: usize = 600_000;

/// Maximum number of rows that one transaction writes; the stores accept 100 entries.
const MAX_TRANSACTION_ROWS: usize = 90;

/// Outcome of a conditional write of a header.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "a result lives only while its call is handled")]
pub enum HeaderWrite {
    /// The header is written and has this version now.
    Written(RowVersion),
    /// Nothing is written, because the row has another version. Holds the stored header; `None` if the row is absent or
    /// cannot be decoded.
    Changed(Option<(JobHeader, RowVersion)>),
}

/// Rows of the results that one transaction appends.
#[derive(Debug)]
pub struct ResultAppend {
    rows: Vec<RowContent>,
    /// Number of results that the rows hold, counted from the first one given to [`plan_append`].
    pub count: usize,
}

fn item_key(job: &str, chunk: usize) -> String {
    format!("{job}/{chunk:04}")
}

fn result_key(job: &str, position: u32, piece: usize, pieces: usize) -> String {
    format!("{job}/{position:06}/{piece:03}-{pieces:03}")
}

fn header_row(header: &JobHeader) -> RowContent {
    RowContent { table: JOB_TABLE, key: header.job.clone(), value: encode(header) }
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    // Encoding fails only for maps with keys other than strings, which the stored types do not have.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Stores a new job; returns [`HeaderWrite::Changed`] when a job of this id exists.
///
/// # Errors
///
/// The store call failed; after a lost answer the job may have been accepted.
pub async fn store_job(store: &RowStore, header: &JobHeader, job: &EncodedJob) -> Result<HeaderWrite, StoreCallError> {
    let chunks: Vec<(usize, &Vec<u8>)> = job.rows.iter().enumerate().collect();
    // Copies of a few rows at a time, since a job may be large.
    let build_rows = |chunks: &[(usize, &Vec<u8>)]| -> Vec<RowContent> {
        let row = |(chunk, value): &(usize, &Vec<u8>)| RowContent {
            table: ITEM_TABLE,
            key: item_key(&header.job, *chunk),
            value: (*value).clone(),
        };
        chunks.iter().map(row).collect()
    };
    let per_transaction = (MAX_TRANSACTION_BYTES / MAX_ROW_BYTES).min(MAX_TRANSACTION_ROWS);
    let last_transaction_start = chunks.len().saturating_sub(per_transaction);
    // The last transaction writes the header together with the last chunks. Chunks without a header have no effect.
    for group in chunks[..last_transaction_start].chunks(per_transaction) {
        let transaction = PartitionTransaction {
            part: job_partition(&header.job),
            writes: build_rows(group),
            ..PartitionTransaction::default()
        };
        (store.transact)(transaction).await?;
    }
    let mut writes = build_rows(&chunks[last_transaction_start..]);
    writes.push(header_row(header));
    write_header(store, header, 0, writes).await
}

async fn write_header(
    store: &RowStore,
    header: &JobHeader,
    version: RowVersion,
    writes: Vec<RowContent>,
) -> Result<HeaderWrite, StoreCallError> {
    let checks = vec![VersionCheck { table: JOB_TABLE, key: header.job.clone(), version }];
    let transaction = PartitionTransaction { part: job_partition(&header.job), checks, writes, drops: Vec::new() };
    Ok(match (store.transact)(transaction).await? {
        TransactionResult::Applied(version) => HeaderWrite::Written(version),
        TransactionResult::Conflict(rows) => HeaderWrite::Changed(find_header(&rows, &header.job)),
    })
}

fn find_header(rows: &[StoredRow], job: &str) -> Option<(JobHeader, RowVersion)> {
    let row = rows.iter().find(|row| row.table == JOB_TABLE && row.key == job)?;
    decode_header(row).map(|header| (header, row.version))
}

/// Replaces a header, on condition that `version` is still the version of the row.
///
/// # Errors
///
/// The store call failed; after a lost answer the header may be replaced.
pub async fn replace_header(
    store: &RowStore,
    header: &JobHeader,
    version: RowVersion,
) -> Result<HeaderWrite, StoreCallError> {
    write_header(store, header, version, vec![header_row(header)]).await
}

/// Reads a header; `None` when the job does not exist.
///
/// # Errors
///
/// The store call failed, or the row cannot be decoded.
pub async fn read_header(store: &RowStore, job: &str) -> Result<Option<(JobHeader, RowVersion)>, StoreCallError> {
    let range = RowRange {
        table: JOB_TABLE.to_owned(),
        part: job_partition(job),
        from: Some(job.to_owned()),
        to: Some(format!("{job}\0")),
    };
    let rows = (store.read_range)(range).await?.rows;
    let Some(row) = rows.iter().find(|row| row.key == job) else { return Ok(None) };
    decode_header(row).map(|header| Some((header, row.version))).ok_or(StoreCallError::Malformed)
}

/// Reads an accepted job as it was submitted.
///
/// # Errors
///
/// The store call failed, or the rows cannot be decoded.
pub async fn read_spec(store: &RowStore, job: &str) -> Result<JobSpec, StoreCallError> {
    let (from, to) = (format!("{job}/"), format!("{job}0"));
    let (rows, _) = store.read_partition(ITEM_TABLE, &job_partition(job), Some(from), Some(to)).await?;
    let segments: Vec<Bytes> = rows.into_iter().filter_map(|row| row.value).map(Bytes::from).collect();
    ReceivedBody::from(segments).decode_json(PhantomData).map_err(|_| StoreCallError::Malformed)
}

/// Reads results from position `start` on, as many as one answer of the store holds.
///
/// # Errors
///
/// The store call failed, or the rows cannot be decoded.
pub async fn read_results(store: &RowStore, job: &str, start: u32) -> Result<Vec<ItemResult>, StoreCallError> {
    let range = RowRange {
        table: RESULT_TABLE.to_owned(),
        part: job_partition(job),
        from: Some(format!("{job}/{start:06}")),
        to: Some(format!("{job}0")),
    };
    let page = (store.read_range)(range).await?;
    join_results(job, start, &page.rows)
}

/// Joins the pieces of consecutive results from position `start` on; stops at a gap or a result with missing pieces.
fn join_results(job: &str, start: u32, rows: &[StoredRow]) -> Result<Vec<ItemResult>, StoreCallError> {
    let mut results = Vec::new();
    let mut value: Vec<u8> = Vec::new();
    let mut piece = 0;
    for row in rows {
        let position = start + u32::try_from(results.len()).unwrap_or(u32::MAX);
        let (pieces, bytes) = match (piece_count(&row.key), &row.value) {
            (Some(pieces), Some(bytes)) if row.key == result_key(job, position, piece, pieces) => (pieces, bytes),
            _ => break,
        };
        value.extend_from_slice(bytes);
        piece += 1;
        if piece == pieces {
            results.push(serde_json::from_slice(&value).map_err(|_| StoreCallError::Malformed)?);
            value.clear();
            piece = 0;
        }
    }
    Ok(results)
}

fn piece_count(key: &str) -> Option<usize> {
    key.rsplit_once('-')?.1.parse().ok()
}

/// Builds the rows for as many results as one transaction holds, at the positions after those listed in `header`.
#[must_use]
pub fn plan_append(header: &JobHeader, results: &[ItemResult]) -> ResultAppend {
    let mut append = ResultAppend { rows: Vec::new(), count: 0 };
    let mut bytes = 0;
    for result in results {
        let value = encode(result);
        let pieces = value.len().div_ceil(MAX_ROW_BYTES);
        bytes += value.len();
        let is_full = append.rows.len() + pieces > MAX_TRANSACTION_ROWS || bytes > MAX_TRANSACTION_BYTES;
        if append.count > 0 && is_full {
            break;
        }
        let position = header.listed + u32::try_from(append.count).unwrap_or(u32::MAX);
        append.rows.extend(value.chunks(MAX_ROW_BYTES).enumerate().map(|(piece, piece_value)| RowContent {
            table: RESULT_TABLE,
            key: result_key(&header.job, position, piece, pieces),
            value: piece_value.to_vec(),
        }));
        append.count += 1;
    }
    append
}

/// Removes all rows of a finished job. The header is removed last, so that a later pass repeats an interrupted removal.
/// Returns whether the header is gone; a header that has changed stays.
///
/// # Errors
///
/// A store call failed; some rows may be removed.
pub async fn remove_job(store: &RowStore, header: &JobHeader, version: RowVersion) -> Result<bool, StoreCallError> {
    let (from, to) = (format!("{}/", header.job), format!("{}0", header.job));
    let part = job_partition(&header.job);
    for table in [ITEM_TABLE, RESULT_TABLE, PROGRESS_TABLE] {
        let (rows, _) = store.read_partition(table, &part, Some(from.clone()), Some(to.clone())).await?;
        for group in rows.chunks(MAX_TRANSACTION_ROWS) {
            let drops = group.iter().map(|row| RowName { table, key: row.key.clone() }).collect();
            (store.transact)(PartitionTransaction { part: part.clone(), drops, ..PartitionTransaction::default() })
                .await?;
        }
    }
    let checks = vec![VersionCheck { table: JOB_TABLE, key: header.job.clone(), version }];
    let drops = vec![RowName { table: JOB_TABLE, key: header.job.clone() }];
    let transaction = PartitionTransaction { part, checks, drops, ..PartitionTransaction::default() };
    Ok(match (store.transact)(transaction).await? {
        TransactionResult::Applied(_) => true,
        TransactionResult::Conflict(rows) => find_header(&rows, &header.job).is_none(),
    })
}

/// Appends results and writes the header that counts them, in one transaction; the results are listed from then on.
///
/// # Errors
///
/// The store call failed; after a lost answer the results may be listed.
pub async fn append_results(
    store: &RowStore,
    header: &JobHeader,
    version: RowVersion,
    append: ResultAppend,
) -> Result<HeaderWrite, StoreCallError> {
    let mut writes = append.rows;
    writes.push(header_row(header));
    write_header(store, header, version, writes).await
}
