//! Follows the changes of one table.
//!
//! A feed that is silent is not a feed without changes: each call has a short wait and a deadline, so that the age of
//! what the watcher knows is bounded while the store can be reached, and a dead connection is noticed.

use crate::prelude::*;
use crate::row_store::{RowStore, RowVersion, StoreCallFault, StoredRow, TableChanges};

/// What a watcher tells.
#[derive(Debug)]
pub enum WatchEvent {
    /// All rows of the table; rows known before and not among them are gone.
    Loaded(Vec<StoredRow>),
    /// Changed rows in order; empty when the store confirmed that nothing changed.
    Changed(Vec<StoredRow>),
    /// The store gave no answer.
    Failed(StoreCallFault),
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
pub async fn watch_table(store: Arc<RowStore>, rule: WatchRule, mut on_event: impl FnMut(WatchEvent) + Send) {
    let mut position: Option<RowVersion> = None;
    loop {
        let result = match position {
            None => load_table(&store, &rule).await,
            Some(version) => follow_table(&store, &rule, version).await,
        };
        match result {
            Ok((event, next)) => {
                let is_change = matches!(&event, WatchEvent::Changed(rows) if !rows.is_empty());
                on_event(event);
                position = next;
                if is_change {
                    tokio::time::sleep(rule.pause).await;
                }
            }
            Err(fault) => {
                on_event(WatchEvent::Failed(fault));
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn load_table(store: &RowStore, rule: &WatchRule) -> Result<(WatchEvent, Option<RowVersion>), StoreCallFault> {
    let mut rows = Vec::new();
    let mut oldest = None;
    for part in &rule.parts {
        let (part_rows, version) = store.read_part(rule.table, part, None, None).await?;
        rows.extend(part_rows);
        oldest = Some(oldest.map_or(version, |known: RowVersion| known.min(version)));
    }
    Ok((WatchEvent::Loaded(rows), oldest))
}

async fn follow_table(
    store: &RowStore,
    rule: &WatchRule,
    version: RowVersion,
) -> Result<(WatchEvent, Option<RowVersion>), StoreCallFault> {
    match (store.read_changes)(rule.table, version, rule.wait).await? {
        TableChanges::Rows(rows, next) => Ok((WatchEvent::Changed(rows), Some(next))),
        TableChanges::HistoryLost => {
            log::info!(table = rule.table, version = version; "store_history_lost");
            load_table(store, rule).await
        }
    }
}
