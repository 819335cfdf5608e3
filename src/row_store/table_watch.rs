//! Reads a table and follows its changes.
//!
//! A feed call returns after a short wait even without changes, and fails after a timeout. The age of the known rows is
//! therefore bounded while the store can be reached, and a dead connection is noticed.
//!
//! All hosts follow the same few tables. With some hundred hosts, their calls together would exceed what the store can
//! answer, so waits and pauses grow with the number of hosts.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::prelude::*;
use crate::row_store::{RowStore, RowVersion, StoreCallError, StoredRow, TableChanges};

/// Result of one read of a watched table.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of the watched partitions; rows known before and not among these no longer exist.
    Loaded(Vec<StoredRow>),
    /// Changed rows in the order of their versions; empty when the store confirmed that nothing changed.
    Changed(Vec<StoredRow>),
    /// The read failed, so the known rows may be outdated; the watch continues.
    Failed(StoreCallError),
}

/// Number of hosts up to which the waits and pauses of the watch rules apply unchanged.
const UNSCALED_HOSTS: usize = 100;

/// Maximum factor of waits and pauses, which keeps the age of the known rows within seconds.
const MAX_SCALE_FACTOR: f64 = 5.0;

/// Time added to each pause for every hundred hosts above [`UNSCALED_HOSTS`], also where the watch rule has no pause.
const ADDED_PAUSE: Duration = Duration::from_millis(100);

/// Maximum wait of a feed call after scaling, unless the watch rule has a longer one; bounds how late a change is
/// noticed when the connection is dead.
const MAX_SCALED_WAIT: Duration = Duration::from_secs(1);

/// Scales the waits and pauses of all watched tables of this host with the number of hosts.
#[derive(Debug, Default)]
pub struct FeedPacer {
    host_count: AtomicUsize,
}

impl FeedPacer {
    /// Sets the number of hosts that follow the same tables; 0 until set, which scales nothing.
    pub fn set_hosts(&self, host_count: usize) {
        self.host_count.store(host_count, Ordering::Relaxed);
    }

    fn scale_factor(&self) -> f64 {
        let host_count = u32::try_from(self.host_count.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let unscaled_hosts = u32::try_from(UNSCALED_HOSTS).unwrap_or(u32::MAX);
        (f64::from(host_count) / f64::from(unscaled_hosts)).clamp(1.0, MAX_SCALE_FACTOR)
    }

    /// Time to pause after a read with changes, where the watch rule says `pause`.
    #[must_use]
    pub fn pause(&self, pause: Duration) -> Duration {
        let factor = self.scale_factor();
        pause.mul_f64(factor) + ADDED_PAUSE.mul_f64(factor - 1.0)
    }

    /// Time that a feed call waits for changes, where the watch rule says `wait`.
    #[must_use]
    pub fn wait(&self, wait: Duration) -> Duration {
        wait.mul_f64(self.scale_factor()).min(MAX_SCALED_WAIT.max(wait))
    }
}

/// Table to follow, and the times between its reads in an installation of up to 100 hosts.
#[derive(Debug, Clone)]
pub struct WatchRule {
    /// Table to load and follow.
    pub table: &'static str,
    /// Partitions that are read to load the table; the feed covers the table as a whole.
    pub parts: Vec<String>,
    /// Time that a feed call waits for changes before it returns without any.
    pub wait: Duration,
    /// Pause after a read with changes, so that frequent changes are read many at a time.
    pub pause: Duration,
}

/// Wait before the next read after a failed one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);

/// Loads a table, then follows its changes until the future is dropped; each result goes to `on_event`, together with the
/// version of the store up to which the table is known, 0 before the first load.
pub async fn watch_table(
    store: Arc<RowStore>,
    rule: WatchRule,
    pacer: Arc<FeedPacer>,
    mut on_event: impl FnMut(WatchEvent, RowVersion) + Send,
) {
    let mut known_version: Option<RowVersion> = None;
    loop {
        let result = match known_version {
            None => load_table(&store, &rule).await,
            Some(version) => read_changes(&store, &rule, pacer.wait(rule.wait), version).await,
        };
        match result {
            Ok((event, next_version)) => {
                let has_changes = matches!(&event, WatchEvent::Changed(rows) if !rows.is_empty());
                known_version = next_version;
                on_event(event, known_version.unwrap_or_default());
                if has_changes {
                    tokio::time::sleep(pacer.pause(rule.pause)).await;
                }
            }
            Err(error) => {
                on_event(WatchEvent::Failed(error), known_version.unwrap_or_default());
                tokio::time::sleep(FAILURE_BACKOFF).await;
            }
        }
    }
}

/// Reads all partitions. The returned version is the oldest one of them, so that changes during the reads are not
/// missed, or `None` when the rule names no partition.
async fn load_table(store: &RowStore, rule: &WatchRule) -> Result<(WatchEvent, Option<RowVersion>), StoreCallError> {
    let mut rows = Vec::new();
    let mut oldest_version = None;
    for part in &rule.parts {
        let (part_rows, version) = store.read_partition(rule.table, part, None, None).await?;
        rows.extend(part_rows);
        oldest_version = Some(oldest_version.map_or(version, |known: RowVersion| known.min(version)));
    }
    Ok((WatchEvent::Loaded(rows), oldest_version))
}

/// Reads the changes after `version`, or the whole table if the store no longer keeps them.
async fn read_changes(
    store: &RowStore,
    rule: &WatchRule,
    wait: Duration,
    version: RowVersion,
) -> Result<(WatchEvent, Option<RowVersion>), StoreCallError> {
    match (store.read_changes)(rule.table, version, wait).await? {
        TableChanges::Rows(rows, next_version) => Ok((WatchEvent::Changed(rows), Some(next_version))),
        TableChanges::HistoryLost => {
            log::info!(table = rule.table, version = version; "store_history_lost");
            load_table(store, rule).await
        }
    }
}
