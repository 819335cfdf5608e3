//! Follows the changes of one table.
//!
//! A feed that is silent is not a feed without changes: each call has a short wait and a deadline, so that the age of
//! what the watcher knows is bounded while the store can be reached, and a dead connection is noticed.
//!
//! Load pattern: each host follows the same few tables, so that the calls of all of them grow with their number and, at
//! some hundred hosts, beyond what the store answers. Waits and pauses therefore grow with the number of hosts.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::prelude::*;
use crate::row_store::{RowStore, RowVersion, StoreCallError, StoredRow, TableChanges};

/// What a watcher tells.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of the table; rows known before and not among them are gone.
    Loaded(Vec<StoredRow>),
    /// Changed rows in order; empty when the store confirmed that nothing changed.
    Changed(Vec<StoredRow>),
    /// The store gave no answer.
    Failed(StoreCallError),
}

/// Hosts up to which tables are followed as their rules say.
const FULL_PACE_HOSTS: usize = 100;

/// Most times that a pause grows; the age of what a host knows stays within seconds.
const LARGEST_FACTOR: f64 = 5.0;

/// Added to each pause for every further hundred hosts, also where the rule has none.
const EXTRA_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait of one feed call, which bounds how late a change is noticed on a dead connection.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Pace at which tables are followed, shared by all followers of a host.
#[derive(Debug, Default)]
pub struct FeedPacer {
    hosts: AtomicUsize,
}

impl FeedPacer {
    /// Records the number of hosts that follow the same tables.
    pub fn set_hosts(&self, hosts: usize) {
        self.hosts.store(hosts, Ordering::Relaxed);
    }

    fn factor(&self) -> f64 {
        let hosts = u32::try_from(self.hosts.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let full = u32::try_from(FULL_PACE_HOSTS).unwrap_or(u32::MAX);
        (f64::from(hosts) / f64::from(full)).clamp(1.0, LARGEST_FACTOR)
    }

    /// Pause after an answer with changes, where the rule says `pause`.
    #[must_use]
    pub fn pause(&self, pause: Duration) -> Duration {
        let factor = self.factor();
        pause.mul_f64(factor) + EXTRA_PAUSE.mul_f64(factor - 1.0)
    }

    /// Wait of one call, where the rule says `wait`.
    #[must_use]
    pub fn wait(&self, wait: Duration) -> Duration {
        wait.mul_f64(self.factor()).min(LONGEST_WAIT.max(wait))
    }
}

/// How a table is followed.
#[derive(Debug, Clone)]
pub struct WatchRule {
    /// Table.
    pub table: &'static str,
    /// Parts that hold its rows.
    pub parts: Vec<String>,
    /// Longest wait of one feed call.
    pub wait: Duration,
    /// Pause after an answer with changes, so that frequent changes are read in groups.
    pub pause: Duration,
}

/// Pause after a call that gave no answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Follows a table for ever.
pub async fn watch_table(
    store: Arc<RowStore>,
    rule: WatchRule,
    pace: Arc<FeedPacer>,
    mut on_event: impl FnMut(WatchEvent) + Send,
) {
    let mut position: Option<RowVersion> = None;
    loop {
        let result = match position {
            None => load_table(&store, &rule).await,
            Some(version) => follow_table(&store, &rule, pace.wait(rule.wait), version).await,
        };
        match result {
            Ok((event, next)) => {
                let is_change = matches!(&event, WatchEvent::Changed(rows) if !rows.is_empty());
                on_event(event);
                position = next;
                if is_change {
                    tokio::time::sleep(pace.pause(rule.pause)).await;
                }
            }
            Err(fault) => {
                on_event(WatchEvent::Failed(fault));
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn load_table(store: &RowStore, rule: &WatchRule) -> Result<(WatchEvent, Option<RowVersion>), StoreCallError> {
    let mut rows = Vec::new();
    let mut oldest = None;
    for part in &rule.parts {
        let (part_rows, version) = store.read_partition(rule.table, part, None, None).await?;
        rows.extend(part_rows);
        oldest = Some(oldest.map_or(version, |known: RowVersion| known.min(version)));
    }
    Ok((WatchEvent::Loaded(rows), oldest))
}

async fn follow_table(
    store: &RowStore,
    rule: &WatchRule,
    wait: Duration,
    version: RowVersion,
) -> Result<(WatchEvent, Option<RowVersion>), StoreCallError> {
    match (store.read_changes)(rule.table, version, wait).await? {
        TableChanges::Rows(rows, next) => Ok((WatchEvent::Changed(rows), Some(next))),
        TableChanges::HistoryLost => {
            log::info!(table = rule.table, version = version; "store_history_lost");
            load_table(store, rule).await
        }
    }
}
