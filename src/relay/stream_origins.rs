//! Remembers at which software version the streams of callers began, so that a caller that takes a stream up again is
//! served by the same version, at whichever host.
//!
//! Failure handled: a stream breaks off and its caller takes it up at a host that did not begin it, or after all hosts were
//! killed. Targets of two software versions serve, or those of the old one have just left, and targets do not check which
//! version began a stream.
//!
//! The host that begins a stream writes a row with the version to the store while the target prepares the first event, and
//! passes the first event on when the row is written. While the store is out of reach, streams begin after a short wait, and
//! the row is written later. A host that finds no row refuses to continue the stream. Rows that were waiting while an earlier
//! write was under way are written together. The leader removes rows that are several minutes old.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use crate::entry::host_context::HostContext;
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::row_store::{PartitionTransaction, RowContent, RowName, RowStore, StoreCallError, StoredRow};

/// Table of the origins of streams, keyed by the id of the request that began the stream.
pub const ORIGIN_TABLE: &str = "stream_origins";

/// Number of store partitions that the rows are spread over; a store applies 200 transactions per second per partition.
const ORIGIN_PARTITIONS: u64 = 8;

/// Time for which the origin of a stream is kept; callers take a stream up within seconds.
pub const ORIGIN_RETENTION: Duration = Duration::from_mins(5);

/// Longest request id that is stored; keys of the store have at most 200 bytes.
const MAX_ID_BYTES: usize = 150;

/// Most rows of one transaction.
const MAX_WRITES: usize = 50;

/// Most rows that one transaction of the removal drops, the limit of the stores.
const MAX_DROPS: usize = 100;

/// Delay before a failed write is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Service and software version of the target that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: ServiceId,
    /// Version of the target's software.
    pub software: SoftwareVersion,
}

/// Content of a row.
#[derive(Debug, Serialize, Deserialize)]
struct OriginRow {
    #[serde(flatten)]
    origin: StreamOrigin,
    /// Time of the write by the store's clock, in milliseconds.
    at_ms: u64,
}

#[derive(Debug)]
struct KnownOrigin {
    request: RequestId,
    origin: StreamOrigin,
    recorded_at: BootTime,
    is_stored: bool,
}

/// Origins of the streams that began at this host.
#[derive(Debug)]
pub struct StreamOrigins {
    /// Sorted by request.
    known: Mutex<Vec<KnownOrigin>>,
    /// Wakes the task that writes rows.
    recorded: Notify,
    /// Counts the writes that have succeeded.
    stored: watch::Sender<u64>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self { known: Mutex::default(), recorded: Notify::new(), stored: watch::Sender::new(0) }
    }
}

impl StreamOrigins {
    fn lock(&self) -> MutexGuard<'_, Vec<KnownOrigin>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records where a stream begins, before its request is sent. Does nothing for a request without an id, or with one that
    /// is too long for a key.
    pub fn record(&self, request: &str, origin: StreamOrigin, now: BootTime) {
        if request.is_empty() || request.len() > MAX_ID_BYTES {
            return;
        }
        let mut known = self.lock();
        known.retain(|known| now.saturating_sub(known.recorded_at) < ORIGIN_RETENTION);
        let new = KnownOrigin { request: request.to_owned(), origin, recorded_at: now, is_stored: false };
        match known.binary_search_by(|known| known.request.as_str().cmp(request)) {
            Ok(position) => known[position] = new,
            Err(position) => known.insert(position, new),
        }
        drop(known);
        self.recorded.notify_one();
    }

    /// Origin of a stream that began at this host.
    #[must_use]
    pub fn find(&self, request: &str) -> Option<StreamOrigin> {
        let known = self.lock();
        let position = known.binary_search_by(|known| known.request.as_str().cmp(request)).ok()?;
        Some(known[position].origin.clone())
    }

    fn is_unstored(&self, request: &str) -> bool {
        let known = self.lock();
        let position = known.binary_search_by(|known| known.request.as_str().cmp(request));
        position.is_ok_and(|position| !known[position].is_stored)
    }

    /// Waits until the row of a stream is written; returns at once when the stream is not recorded.
    pub async fn wait_stored(&self, request: &str) {
        let mut stored = self.stored.subscribe();
        while self.is_unstored(request) {
            // The sender lives as long as this table.
            let _ = stored.changed().await;
        }
    }

    /// Origins without a row, as many as fit into one transaction, in one partition.
    fn next_writes(&self) -> Vec<(RequestId, StreamOrigin)> {
        let known = self.lock();
        let waiting = known.iter().filter(|known| !known.is_stored);
        let Some(part) = waiting.clone().next().map(|known| origin_partition(&known.request)) else {
            return Vec::new();
        };
        let same_part = waiting.filter(|known| origin_partition(&known.request) == part).take(MAX_WRITES);
        same_part.map(|known| (known.request.clone(), known.origin.clone())).collect()
    }

    fn mark_stored(&self, writes: &[(RequestId, StreamOrigin)]) {
        for (request, origin) in writes {
            let mut known = self.lock();
            if let Ok(position) = known.binary_search_by(|known| known.request.cmp(request))
                && known[position].origin == *origin
            {
                known[position].is_stored = true;
            }
        }
        self.stored.send_modify(|count| *count += 1);
    }
}

/// Store partition of the row of a stream.
fn origin_partition(request: &str) -> String {
    format!("s{}", rendezvous_hash(request, "part") % ORIGIN_PARTITIONS)
}

/// Writes the rows of the streams that begin at this host; never returns.
pub async fn store_origins(context: Arc<HostContext>) {
    let origins = &context.stream_origins;
    loop {
        origins.recorded.notified().await;
        loop {
            let writes = origins.next_writes();
            let Some((first, _)) = writes.first() else { break };
            let at_ms = (context.store.store_time)().map_or(0, whole_millis);
            let rows = writes.iter().map(|(request, origin)| RowContent {
                table: ORIGIN_TABLE,
                key: request.clone(),
                value: serde_json::to_vec(&OriginRow { origin: origin.clone(), at_ms }).unwrap_or_default(),
            });
            let transaction = PartitionTransaction {
                part: origin_partition(first),
                writes: rows.collect(),
                ..PartitionTransaction::default()
            };
            // A write that is applied although it failed has the same content as its repetition.
            match (context.store.transact)(transaction).await {
                Ok(_) => origins.mark_stored(&writes),
                Err(error) => {
                    log::info!(fault = error.to_string(), streams = writes.len(); "stream_origins_not_stored");
                    tokio::time::sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Finds where a stream began, in memory or in the store; `None` when it is not known.
///
/// # Errors
///
/// The store call failed.
pub async fn find_origin(context: &HostContext, request: &str) -> Result<Option<StreamOrigin>, StoreCallError> {
    if let Some(origin) = context.stream_origins.find(request) {
        return Ok(Some(origin));
    }
    let to = Some(format!("{request}\0"));
    let part = origin_partition(request);
    let (rows, _) = context.store.read_partition(ORIGIN_TABLE, &part, Some(request.to_owned()), to).await?;
    Ok(rows.iter().find_map(decode_row).map(|row| row.origin))
}

fn decode_row(row: &StoredRow) -> Option<OriginRow> {
    match serde_json::from_slice(row.value.as_deref()?) {
        Ok(row) => Some(row),
        Err(error) => {
            log::warn!(row = row.key, error = error.to_string(); "stream_origin_unreadable");
            None
        }
    }
}

/// Removes the rows of streams that began more than [`ORIGIN_RETENTION`] ago; returns how many were removed.
///
/// # Errors
///
/// A store call failed; some rows may have been removed.
pub async fn remove_old_origins(store: &RowStore, store_time: Duration) -> Result<usize, StoreCallError> {
    let mut removed = 0;
    for part in (0..ORIGIN_PARTITIONS).map(|part| format!("s{part}")) {
        let (rows, _) = store.read_partition(ORIGIN_TABLE, &part, None, None).await?;
        let is_old = |row: &&StoredRow| {
            let at_ms = decode_row(row).map_or(0, |row| row.at_ms);
            whole_millis(store_time).saturating_sub(at_ms) >= whole_millis(ORIGIN_RETENTION)
        };
        let old: Vec<&StoredRow> = rows.iter().filter(is_old).collect();
        for chunk in old.chunks(MAX_DROPS) {
            let drops = chunk.iter().map(|row| RowName { table: ORIGIN_TABLE, key: row.key.clone() }).collect();
            let transaction = PartitionTransaction { part: part.clone(), drops, ..PartitionTransaction::default() };
            (store.transact)(transaction).await?;
            removed += chunk.len();
        }
    }
    Ok(removed)
}
