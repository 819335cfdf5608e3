//! Removal of finished jobs from the store and from the cache of headers.

use std::time::Duration;

use camphorspring::jobs::item_run::ItemProgress;
use camphorspring::jobs::job_cache::{CachedJob, JobCache};
use camphorspring::jobs::job_progress::{ProgressSaver, ProgressSegment, save_segments};
use camphorspring::jobs::job_record::{ITEM_TABLE, JOB_TABLE, JobHeader, JobSpec, RESULT_TABLE, job_partition};
use camphorspring::jobs::job_removal::jobs_to_remove;
use camphorspring::jobs::job_store::{HeaderWrite, remove_job, replace_header, store_job};
use camphorspring::row_store::{RowStore, StoredRow};
use googletest::prelude::*;

use super::results::{header, item, memory_store, wait_for};
use crate::fleet::builders::at;
use crate::jobs::plan::encode_job;

const RETENTION: Duration = Duration::from_mins(2);

fn job(name: &str, is_ended: bool, listed: u32) -> CachedJob {
    let header = JobHeader { job: name.to_owned(), is_ended, listed, submitted_ms: 10_000, ..header(4) };
    CachedJob { header, version: 1, known_since: at(0) }
}

/// Guards against results that are removed while callers may still read them, and against finished jobs that are never
/// removed.
#[gtest]
fn jobs_are_removed_after_the_retention_time() {
    let jobs = || vec![job("ended", true, 2), job("finished", false, 4), job("open", false, 3)];
    let removed = |seconds: u64| -> Vec<String> {
        let removed = jobs_to_remove(jobs(), Duration::from_secs(seconds), RETENTION);
        removed.into_iter().map(|job| job.header.job).collect()
    };
    expect_that!(removed(159), is_empty());
    expect_that!(removed(160), eq(&vec!["ended".to_owned()]));
    expect_that!(removed(10_000), eq(&vec!["ended".to_owned(), "finished".to_owned()]));
}

fn stored_rows(store: &RowStore, job: &str) -> usize {
    let count = |table| {
        let rows = wait_for(store.read_partition(table, &job_partition(job), None, None)).expect("the store answers").0;
        rows.iter().filter(|row| row.key.starts_with(job)).count()
    };
    [JOB_TABLE, ITEM_TABLE, RESULT_TABLE, "job_progress"].into_iter().map(count).sum()
}

/// Guards against rows that a removal leaves behind, and against the removal of a job whose header has changed.
#[gtest]
fn all_rows_of_a_job_are_removed() {
    let store = memory_store();
    let items = (0..300).map(item).collect();
    let spec = JobSpec { step: 0, model: "m".to_owned(), least_version: 1, group_target: 1, items };
    let write = wait_for(store_job(&store, &header(300), &encode_job(&spec))).expect("the store answers");
    let HeaderWrite::Written(version) = write else { panic!("the job is new") };
    let segment = ProgressSegment {
        software: None,
        item: 0,
        index: 0,
        last_event: 1,
        data: vec!["d".to_owned()],
        version_runs: Vec::new(),
        is_last: false,
    };
    wait_for(save_segments(&store, "j", &mut ProgressSaver::new(0, &[ItemProgress::default()]), &[segment]))
        .expect("the store answers");
    let ended = JobHeader { is_ended: true, ..header(300) };
    let write = wait_for(replace_header(&store, &ended, version)).expect("the store answers");
    let HeaderWrite::Written(version) = write else { panic!("nobody else wrote") };
    expect_that!(wait_for(remove_job(&store, &ended, version - 1)).expect("the store answers"), eq(false));
    expect_that!(wait_for(remove_job(&store, &ended, version)).expect("the store answers"), eq(true));
    expect_that!(stored_rows(&store, "j"), eq(0));
}

/// Guards against hosts that cache the headers of all jobs ever submitted.
#[gtest]
fn removed_jobs_leave_the_cache() {
    let cache = JobCache::new();
    cache.upsert_header(header(4), 3, at(0));
    let removed = StoredRow {
        table: JOB_TABLE.to_owned(),
        part: job_partition("j"),
        key: "j".to_owned(),
        value: None,
        version: 4,
    };
    cache.apply_rows(&[removed], at(10));
    expect_that!(cache.get("j"), none());
}
