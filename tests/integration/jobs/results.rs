//! Stored rows of batch jobs, on a store in memory; the builders here serve the other tests of jobs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use camphorspring::jobs::job_record::{
    ItemOutcome, ItemResult, ItemSet, ItemSpec, JOB_TABLE, JobHeader, JobSpec, job_partition,
};
use camphorspring::jobs::job_store::{
    HeaderWrite, append_results, plan_append, read_header, read_results, read_spec, replace_header, store_job,
};
use camphorspring::row_store::{
    PartitionTransaction, RangeRows, RowContent, RowRange, RowStore, StoreCallError, StoredRow, TableChanges,
    TransactionResult,
};
use googletest::prelude::*;

use crate::jobs::plan::encode_job;

/// Runs a future to its end on a new single-threaded runtime.
pub fn wait_for<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio_runtime();
    runtime.block_on(future)
}

fn tokio_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_time().build().expect("the runtime starts")
}

#[derive(Debug, Default)]
struct MemoryRows {
    rows: Vec<StoredRow>,
    version: u64,
}

impl MemoryRows {
    fn find(&self, table: &str, part: &str, key: &str) -> Option<&StoredRow> {
        self.rows.iter().find(|row| row.table == table && row.part == part && row.key == key)
    }

    fn transact(&mut self, transaction: &PartitionTransaction) -> TransactionResult {
        let part = &transaction.part;
        let holds = transaction
            .checks
            .iter()
            .all(|check| self.find(check.table, part, &check.key).map_or(0, |row| row.version) == check.version);
        if !holds {
            let rows = transaction.checks.iter().filter_map(|check| self.find(check.table, part, &check.key).cloned());
            return TransactionResult::Conflict(rows.collect());
        }
        self.version += 1;
        for write in &transaction.writes {
            self.rows.retain(|row| row.table != write.table || row.part != *part || row.key != write.key);
            self.rows.push(StoredRow {
                table: write.table.to_owned(),
                part: part.clone(),
                key: write.key.clone(),
                value: Some(write.value.clone()),
                version: self.version,
            });
        }
        for drop in &transaction.drops {
            self.rows.retain(|row| row.table != drop.table || row.part != *part || row.key != drop.key);
        }
        TransactionResult::Applied(self.version)
    }

    /// Reads a page of a range; pages are small, so that callers have to read several.
    fn read(&self, range: &RowRange) -> RangeRows {
        const PAGE: usize = 7;
        let mut rows: Vec<StoredRow> = self
            .rows
            .iter()
            .filter(|row| row.table == range.table && row.part == range.part)
            .filter(|row| range.from.as_ref().is_none_or(|from| row.key >= *from))
            .filter(|row| range.to.as_ref().is_none_or(|to| row.key < *to))
            .cloned()
            .collect();
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        let is_truncated = rows.len() > PAGE;
        rows.truncate(PAGE);
        RangeRows { rows, is_truncated, version: self.version }
    }
}

/// Store in memory; its time is always zero, and it has no change feed.
pub fn memory_store() -> RowStore {
    let rows = Arc::new(Mutex::new(MemoryRows::default()));
    let (writer, reader) = (Arc::clone(&rows), rows);
    RowStore {
        transact: Box::new(move |transaction| {
            let result = writer.lock().expect("no test panicked").transact(&transaction);
            Box::pin(async move { Ok(result) })
        }),
        read_range: Box::new(move |range| {
            let rows = reader.lock().expect("no test panicked").read(&range);
            Box::pin(async move { Ok(rows) })
        }),
        read_changes: Box::new(|_, _, _| Box::pin(async { Ok(TableChanges::HistoryLost) })),
        store_time: Box::new(|| Some(Duration::ZERO)),
    }
}

/// Item with the id `i<index>` and a body of 1,600 bytes.
pub fn item(index: usize) -> ItemSpec {
    ItemSpec {
        id: format!("i{index}"),
        path: "/run".to_owned(),
        headers: vec![("x".to_owned(), "y".to_owned())],
        body: "Ym9keQ==".repeat(200),
        expected_tokens: 10,
        group: "g".to_owned(),
        grading: None,
    }
}

/// Header of the open job `j` with this many items, owned by `h1`.
pub fn header(items: u32) -> JobHeader {
    JobHeader {
        job: "j".to_owned(),
        route: "r".to_owned(),
        caller_host: "c".to_owned(),
        organisation: None,
        model: "m".to_owned(),
        least_version: 1,
        item_count: items,
        group_target: 1,
        submitted_ms: 0,
        objective_ms: 7500,
        limit_ms: 40_000,
        owner: "h1".to_owned(),
        owner_incarnation: 1,
        owner_changes: 0,
        listed: 0,
        listed_items: ItemSet::default(),
        listed_groups: 0,
        is_ended: false,
        run_bytes: 0,
    }
}

fn result(index: usize, length: usize) -> ItemResult {
    let (id, text) = (format!("i{index}"), "t".repeat(length));
    ItemResult { id, outcome: ItemOutcome::Completed, text, versions: vec![1], score: None }
}

fn written_version(write: &HeaderWrite) -> Option<u64> {
    match write {
        HeaderWrite::Written(version) => Some(*version),
        HeaderWrite::Changed(_) => None,
    }
}

/// Guards against a job that is accepted twice, and against a job that is accepted without all of its items.
#[gtest]
fn job_is_accepted_once_and_whole() {
    let store = memory_store();
    let items = (0..300).map(item).collect();
    let spec = JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items };
    let accept =
        || written_version(&wait_for(store_job(&store, &header(300), &encode_job(&spec))).expect("the store answers"));
    expect_that!(accept(), some(anything()));
    expect_that!(accept(), none());
    expect_that!(wait_for(read_spec(&store, "j")).expect("the store answers"), eq(&spec));
    expect_that!(wait_for(read_header(&store, "k")).expect("the store answers"), none());
}

/// Guards against a job that does not exist for its caller because this build cannot decode its header.
#[gtest]
fn undecodable_header_is_not_absent() {
    let store = memory_store();
    let write = RowContent { table: JOB_TABLE, key: "j".to_owned(), value: b"{}".to_vec() };
    let transaction =
        PartitionTransaction { part: job_partition("j"), writes: vec![write], ..PartitionTransaction::default() };
    wait_for((store.transact)(transaction)).expect("the store answers");
    expect_that!(wait_for(read_header(&store, "j")), err(eq(&StoreCallError::Malformed)));
    expect_that!(wait_for(read_header(&store, "k")), ok(none()));
}

/// Guards against results that change their position, and against long results that are read back incomplete.
#[gtest]
fn results_keep_position_and_content() {
    let store = memory_store();
    let spec = JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items: Vec::new() };
    let mut version =
        written_version(&wait_for(store_job(&store, &header(4), &encode_job(&spec))).expect("the store answers"));
    let results = vec![result(0, 10), result(1, 130_000), result(2, 60_000), result(3, 5)];
    let mut current_header = header(4);
    for group in [&results[..1], &results[1..]] {
        let append = plan_append(&current_header, group);
        expect_that!(append.count, eq(group.len()));
        let mut next = current_header.clone();
        next.listed += u32::try_from(group.len()).unwrap_or_default();
        let write = append_results(&store, &next, version.expect("it was written"), append);
        version = written_version(&wait_for(write).expect("the store answers"));
        current_header = next;
    }
    let mut read = Vec::new();
    while read.len() < 4 {
        let after = u32::try_from(read.len()).unwrap_or_default();
        let page = wait_for(read_results(&store, "j", after)).expect("the store answers");
        assert!(!page.is_empty());
        read.extend(page);
    }
    expect_that!(read, eq(&results));
}

/// Guards against results that a former owner appends after another host took the job over.
#[gtest]
fn append_of_a_former_owner_is_refused() {
    let store = memory_store();
    let spec = JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items: Vec::new() };
    let first =
        written_version(&wait_for(store_job(&store, &header(4), &encode_job(&spec))).expect("the store answers"));
    let first = first.expect("it was written");
    let mut taken = header(4);
    taken.owner = "h2".to_owned();
    expect_that!(
        written_version(&wait_for(replace_header(&store, &taken, first)).expect("the store answers")),
        some(anything())
    );
    let append = plan_append(&header(4), &[result(0, 1)]);
    let refused = wait_for(append_results(&store, &header(4), first, append)).expect("the store answers");
    match refused {
        HeaderWrite::Changed(Some((header, _))) => expect_that!(header.owner, eq("h2")),
        other => panic!("the append was not refused: {other:?}"),
    }
    expect_that!(wait_for(read_results(&store, "j", 0)).expect("the store answers").len(), eq(0));
}

/// Guards against a takeover that runs listed items again, or that has to read all results to find the listed items.
#[gtest]
fn header_names_the_listed_items() {
    let mut set = ItemSet::default();
    for item in [0, 63, 64, 300] {
        set.insert(item);
    }
    let stored = JobHeader { listed_items: set, ..header(301) };
    let read: JobHeader =
        serde_json::from_slice(&serde_json::to_vec(&stored).expect("it encodes")).expect("it decodes");
    let listed: Vec<usize> = (0..400).filter(|item| read.listed_items.contains(*item)).collect();
    expect_that!(listed, eq(&vec![0, 63, 64, 300]));
    expect_that!(read.listed_items.len(), eq(4));
}

/// Guards against a host that cannot decode headers of an earlier program version during a rolling update. That version
/// wrote no `listed_items` and `listed_groups`.
#[gtest]
fn header_of_an_earlier_program_version_is_read() {
    let mut value = serde_json::to_value(header(4)).expect("it encodes");
    let fields = value.as_object_mut().expect("it is an object");
    fields.remove("listed_items");
    fields.remove("listed_groups");
    let read: JobHeader = serde_json::from_value(value).expect("it decodes");
    expect_that!(read, eq(&header(4)));
}
