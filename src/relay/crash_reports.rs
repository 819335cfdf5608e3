//! Tells all hosts which requests were unanswered on a target when its connection broke, and holds back those that crash
//! targets.
//!
//! Failure handled: a request crashes each target that begins to run it, and its caller sends it again and again, with a new
//! id each time, to any host. [`crash_table`](crate::fleet::crash_table) has the decisions. The rows are in the table of the
//! leader lease, which every host follows without delay, in partitions of their own: a host that starts reads them before it
//! has a configuration, and a host that the store refuses reads them through its peers. While the store is out of reach,
//! each host keeps to what it knows.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::duties::leader_lease::DUTY_TABLE;
use crate::entry::host_context::HostContext;
use crate::fleet::crash_table::{
    CrashReport, CrashTable, CrashVerdict, REPORT_KEY_PREFIX, REPORT_RETENTION, RequestTrial, TRIAL_KEY_PREFIX,
    trial_delay,
};
use crate::fleet::fleet_state::{FleetChange, RowDecoder};
use crate::fleet::fleet_view::{TargetEntry, TargetState};
use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;
use crate::row_store::table_watch::WatchEvent;
use crate::row_store::{
    PartitionTransaction, RowContent, RowName, RowStore, StoreCallError, StoredRow, TransactionResult, VersionCheck,
};

/// Number of store partitions that the rows are spread over; a store applies 200 transactions per second per partition.
const REPORT_PARTITIONS: u64 = 4;

/// Period in which reports are settled and rows written while there is something to do.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay of the write of a report, in which further ones of the same crash join it.
const WRITE_DELAY: Duration = Duration::from_millis(10);

/// Shortest time for which a target goes on after it has removed its entry.
const LEAVING_TIME: Duration = Duration::from_secs(2);

/// Time for which the row of a report that is not confirmed is kept; hosts drop the report within seconds.
const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(30);

/// Most rows of one transaction, the limit of the stores.
const MAX_ROWS: usize = 100;

/// Requests under suspicion, shared by the tasks of a host.
#[derive(Debug, Default)]
pub struct CrashReports {
    table: Mutex<CrashTable>,
    /// Wakes the task that writes rows.
    changed: Notify,
}

impl CrashReports {
    fn lock(&self) -> MutexGuard<'_, CrashTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no request is under suspicion, so that none needs to be checked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Number of requests that are held back, those included whose next trial is due.
    #[must_use]
    pub fn held_requests(&self) -> usize {
        self.lock().held_requests()
    }

    /// Records that a target answered a request.
    pub fn record_answer(&self, fingerprint: &str) {
        self.lock().record_answer(fingerprint);
        self.changed.notify_one();
    }

    /// Records that a stream of a request has got the event with this number.
    pub fn record_progress(&self, fingerprint: &str, event: u64) {
        if self.lock().record_progress(fingerprint, event) {
            self.changed.notify_one();
        }
    }

    /// Applies an event of the table [`DUTY_TABLE`]; rows of other kinds are ignored.
    pub fn apply_event(&self, event: &WatchEvent, store_ms: u64, now: BootTime) {
        let mut table = self.lock();
        let rows = match event {
            WatchEvent::Failed(_) => return,
            WatchEvent::Loaded(rows) => {
                table.begin_reload();
                rows
            }
            WatchEvent::Changed(rows) => rows,
        };
        for row in rows {
            match row.value.as_deref() {
                None if row.key.starts_with(REPORT_KEY_PREFIX) || row.key.starts_with(TRIAL_KEY_PREFIX) => {
                    table.remove_row(&row.key);
                }
                Some(value) if row.key.starts_with(REPORT_KEY_PREFIX) => {
                    if let Some(report) = decode_row(row, value) {
                        table.apply_report(report, store_ms, now);
                    }
                }
                Some(value) if row.key.starts_with(TRIAL_KEY_PREFIX) => {
                    if let Some(trial) = decode_row(row, value) {
                        table.apply_trial(trial);
                    }
                }
                None | Some(_) => {}
            }
        }
        drop(table);
        self.changed.notify_one();
    }

    /// Drops the reports that renewed entries of targets disprove.
    pub fn observe_targets(&self, event: &WatchEvent, decode: RowDecoder, now: BootTime) {
        let (WatchEvent::Loaded(rows) | WatchEvent::Changed(rows)) = event else { return };
        let mut table = self.lock();
        if table.is_empty() {
            return;
        }
        for row in rows {
            if let FleetChange::Target(entry) = decode(row, now) {
                for report in table.record_renewal(&entry.id, entry.started_ms, now) {
                    log_outcome(&report, "alive");
                }
            }
        }
    }
}

fn decode_row<T: serde::de::DeserializeOwned>(row: &StoredRow, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            log::warn!(row = row.key, error = error.to_string(); "crash_report_unreadable");
            None
        }
    }
}

fn log_outcome(report: &CrashReport, outcome: &str) {
    log::info!(
        fingerprint = report.fingerprint, target = report.target, from = report.host, outcome = outcome;
        "crash_report_settled"
    );
}

/// Partitions of [`DUTY_TABLE`] that hold the rows.
pub fn report_partitions() -> impl Iterator<Item = String> {
    (0..REPORT_PARTITIONS).map(|part| format!("c{part}"))
}

fn report_partition(fingerprint: &str) -> String {
    format!("c{}", rendezvous_hash(fingerprint, "part") % REPORT_PARTITIONS)
}

fn store_ms(context: &HostContext) -> u64 {
    (context.store.store_time)().map_or(0, whole_millis)
}

/// How a request ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnansweredEnd {
    /// The connection to the target broke.
    Broken,
    /// The caller's patience ended, or the target stalled, on an open connection.
    GivenUp,
}

/// Reports that a target did not answer a request that was sent to it at `sent_at`, unless the target may be leaving
/// as planned. `last_event` is the number of the last event of its stream, see [`CrashReport::last_event`].
pub fn report_unanswered(
    context: &HostContext,
    fingerprint: &str,
    target: &TargetEntry,
    sent_at: BootTime,
    end: UnansweredEnd,
    last_event: Option<u64>,
) {
    let view = context.view();
    let entry = view.target(&target.id).filter(|entry| entry.started_ms == target.started_ms);
    // A target that leaves without saying so goes on for a while after its entry has gone.
    let may_be_leaving = match entry {
        Some(entry) => entry.state == TargetState::Leaving,
        None => boot_time().saturating_sub(sent_at) >= LEAVING_TIME,
    };
    // All connections of a host whose links are cut break.
    if may_be_leaving || context.links.is_cut_for_certain() {
        return;
    }
    let report = CrashReport {
        fingerprint: fingerprint.to_owned(),
        target: target.id.clone(),
        started_ms: target.started_ms,
        at_ms: store_ms(context),
        host: context.settings.host.clone(),
        is_broken: end == UnansweredEnd::Broken,
        is_confirmed: false,
        last_event,
    };
    let is_added = context.crashes.lock().add_own(report, boot_time());
    let outcome = if is_added { "reported" } else { "too_many" };
    context.metrics.crash_reports.with_label_values(&[outcome]).inc();
    log::info!(
        fingerprint = fingerprint, target = target.id, end:? = end, last_event:? = last_event, outcome = outcome;
        "target_did_not_answer"
    );
    context.crashes.changed.notify_one();
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestAdmission {
    /// Nothing holds the request back.
    Free,
    /// This host makes the next trial: one attempt that may run.
    Trial,
    /// The request must not be sent; the next trial is due after this time.
    Held(Duration),
}

/// Checks whether a request may be sent. A trial is taken in the store, so that one host makes it.
pub async fn admit_request(context: &HostContext, fingerprint: &str) -> RequestAdmission {
    let at_ms = store_ms(context);
    let verdict = context.crashes.lock().check(fingerprint, at_ms);
    match verdict {
        CrashVerdict::Free => RequestAdmission::Free,
        CrashVerdict::Held(delay) => RequestAdmission::Held(delay),
        CrashVerdict::Trial(number) => {
            let trial = RequestTrial { fingerprint: fingerprint.to_owned(), number, at_ms };
            let is_taken = take_trial(context, &trial).await;
            log::info!(fingerprint = fingerprint, trial = number, taken = is_taken; "request_trial");
            context.crashes.lock().apply_trial(trial);
            if is_taken { RequestAdmission::Trial } else { RequestAdmission::Held(trial_delay(number + 1)) }
        }
    }
}

/// Stores a trial; returns whether this host may make it. After a lost answer it may not.
async fn take_trial(context: &HostContext, trial: &RequestTrial) -> bool {
    let key = trial.row_key();
    let transaction = PartitionTransaction {
        part: report_partition(&trial.fingerprint),
        checks: vec![VersionCheck { table: DUTY_TABLE, key: key.clone(), version: 0 }],
        writes: vec![RowContent { table: DUTY_TABLE, key, value: serde_json::to_vec(trial).unwrap_or_default() }],
        drops: Vec::new(),
    };
    match (context.store.transact)(transaction).await {
        Ok(TransactionResult::Applied(_)) => true,
        Ok(TransactionResult::Conflict(_)) => false,
        Err(error) => {
            log::info!(fingerprint = trial.fingerprint, fault = error.to_string(); "request_trial_not_stored");
            false
        }
    }
}

/// Settles the reports and writes the rows of this host; never returns.
pub async fn store_crash_reports(context: Arc<HostContext>) {
    let reports = &context.crashes;
    loop {
        if reports.lock().has_pending_work() {
            let _ = tokio::time::timeout(CHECK_INTERVAL, reports.changed.notified()).await;
        } else {
            reports.changed.notified().await;
        }
        tokio::time::sleep(WRITE_DELAY).await;
        let now = boot_time();
        let settled = reports.lock().settle(&context.view(), now);
        for (report, outcome) in &settled {
            context.metrics.crash_reports.with_label_values(&[outcome.name()]).inc();
            log_outcome(report, outcome.name());
        }
        write_reports(&context, now).await;
        remove_cleared_rows(&context).await;
    }
}

async fn write_reports(context: &HostContext, now: BootTime) {
    let due = context.crashes.lock().reports_to_store(&context.settings.host, now);
    for part in report_partitions() {
        let rows: Vec<&CrashReport> =
            due.iter().filter(|report| report_partition(&report.fingerprint) == part).take(MAX_ROWS).collect();
        if rows.is_empty() {
            continue;
        }
        let writes = rows.iter().map(|report| RowContent {
            table: DUTY_TABLE,
            key: report.row_key(),
            value: serde_json::to_vec(report).unwrap_or_default(),
        });
        let transaction = PartitionTransaction { part, writes: writes.collect(), ..PartitionTransaction::default() };
        match (context.store.transact)(transaction).await {
            Ok(_) => rows.iter().for_each(|report| context.crashes.lock().mark_stored(report)),
            // The next check writes them again; a write that was applied all the same has the same content.
            Err(error) => log::info!(fault = error.to_string(), reports = rows.len(); "crash_reports_not_stored"),
        }
    }
}

async fn remove_cleared_rows(context: &HostContext) {
    let keys = context.crashes.lock().take_cleared_rows();
    if let Err(error) = drop_rows(&context.store, &keys).await {
        // The leader removes what is left.
        log::info!(fault = error.to_string(), rows = keys.len(); "crash_reports_not_removed");
    }
}

async fn drop_rows(store: &RowStore, keys: &[String]) -> Result<(), StoreCallError> {
    for part in report_partitions() {
        let is_here = |key: &&String| {
            let fingerprint = key.split('/').nth(1).unwrap_or_default();
            report_partition(fingerprint) == part
        };
        let here: Vec<&String> = keys.iter().filter(is_here).collect();
        for chunk in here.chunks(MAX_ROWS) {
            let drops = chunk.iter().map(|key| RowName { table: DUTY_TABLE, key: (*key).clone() }).collect();
            let transaction = PartitionTransaction { part: part.clone(), drops, ..PartitionTransaction::default() };
            (store.transact)(transaction).await?;
        }
    }
    Ok(())
}

/// Removes the rows that no host uses any more: reports that were not confirmed in time, and all of requests whose last
/// report or trial is older than [`REPORT_RETENTION`].
///
/// # Errors
///
/// A store call failed; some rows may have been removed.
pub async fn remove_old_reports(store: &RowStore, store_time: Duration) -> Result<(), StoreCallError> {
    for part in report_partitions() {
        let (rows, _) = store.read_partition(DUTY_TABLE, &part, None, None).await?;
        drop_rows(store, &old_row_keys(&rows, whole_millis(store_time))).await?;
    }
    Ok(())
}

/// Keys of the rows to remove among those of a partition, which has all rows of a request.
fn old_row_keys(rows: &[StoredRow], store_ms: u64) -> Vec<String> {
    let is_older = |at_ms: u64, age: Duration| store_ms.saturating_sub(at_ms) >= whole_millis(age);
    let (mut keys, mut old, mut kept) = (Vec::new(), Vec::new(), Vec::new());
    for row in rows {
        let Some(value) = row.value.as_deref() else { continue };
        let (fingerprint, at_ms) = if row.key.starts_with(REPORT_KEY_PREFIX) {
            let Some(report) = decode_row::<CrashReport>(row, value) else { continue };
            if !report.is_confirmed && is_older(report.at_ms, UNCONFIRMED_RETENTION) {
                keys.push(row.key.clone());
                continue;
            }
            (report.fingerprint, report.at_ms)
        } else if row.key.starts_with(TRIAL_KEY_PREFIX) {
            let Some(trial) = decode_row::<RequestTrial>(row, value) else { continue };
            (trial.fingerprint, trial.at_ms)
        } else {
            continue;
        };
        if is_older(at_ms, REPORT_RETENTION) {
            old.push((fingerprint, row.key.clone()));
        } else {
            kept.push(fingerprint);
        }
    }
    keys.extend(old.into_iter().filter(|(fingerprint, _)| !kept.contains(fingerprint)).map(|(_, key)| key));
    keys
}
