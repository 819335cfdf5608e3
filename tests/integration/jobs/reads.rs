//! Tests how long reads of results wait when a trainer polls twice a second.

use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::jobs::item_scheduler::ItemScheduler;
use camphorspring::jobs::job_record::JobHeader;
use camphorspring::jobs::read_wait::ResultRead;
use googletest::prelude::*;

use super::plan::spec;
use super::results::header;
use crate::fleet::builders::at;

/// Poll interval of a trainer, which acts on a response at the next poll.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Header of a job with four items in two groups, both of which the trainer waits for.
fn two_group_job(listed: u32, listed_groups: u32) -> JobHeader {
    JobHeader { listed, listed_groups, group_target: 2, ..header(4) }
}

fn read(start: u32, asked_at: BootTime) -> ResultRead {
    ResultRead { start, asked_at, wait: Duration::from_secs(1) }
}

/// Time at which a trainer that polls from `from` on ends a step whose items are listed at `times`.
fn step_end_time(times: &[BootTime], from: BootTime, answer: fn(&ResultRead, &JobHeader) -> BootTime) -> BootTime {
    let listed_by = |now: BootTime| u32::try_from(times.iter().filter(|time| **time <= now).count()).unwrap_or(0);
    let total = u32::try_from(times.len()).unwrap_or(0);
    let mut read = read(listed_by(from.saturating_sub(POLL_INTERVAL)), from);
    loop {
        let mut now = read.asked_at;
        loop {
            let listed = listed_by(now);
            let known = JobHeader { listed, listed_groups: listed / total * 2, group_target: 2, ..header(total) };
            if answer(&read, &known) <= now {
                break;
            }
            now += Duration::from_millis(10);
        }
        read.start = listed_by(now);
        let next_poll = now.max(read.asked_at + POLL_INTERVAL);
        if read.start == total {
            return next_poll;
        }
        read.asked_at = next_poll;
    }
}

/// Replays the end of a step whose last results are listed 100 to 400 ms apart, for 50 trainers that start polling
/// 10 ms apart. Guards against reads that return with the last result but one and make every step end half a second
/// late.
#[gtest]
fn step_ends_soon_after_its_last_result() {
    let times = [at(6_700), at(7_100), at(7_350), at(7_450)];
    let last = at(7_450);
    let mean_delay = |answer: fn(&ResultRead, &JobHeader) -> BootTime| {
        let delays =
            (0..50).map(|trainer| step_end_time(&times, at(6_000 + trainer * 10), answer).saturating_sub(last));
        delays.sum::<Duration>() / 50
    };
    let uncollected =
        mean_delay(|read, header| if header.listed > read.start { read.asked_at } else { read.asked_at + read.wait });
    let collected = mean_delay(|read, header| read.answer_at(header, Some(read.asked_at)));
    expect_that!(uncollected, gt(Duration::from_millis(300)));
    expect_that!(collected, lt(Duration::from_millis(260)));
}

/// Guards against results that are held back although all groups that the trainer waits for are listed, or the job was
/// ended.
#[gtest]
fn wanted_results_are_answered_at_once() {
    let read = read(1, at(5_000));
    expect_that!(read.answer_at(&two_group_job(4, 2), None), eq(at(5_000)));
    expect_that!(read.answer_at(&JobHeader { is_ended: true, ..two_group_job(1, 0) }, None), eq(at(5_000)));
    expect_that!(read.answer_at(&JobHeader { group_target: 0, ..two_group_job(2, 0) }, None), eq(at(5_000)));
}

/// Guards against reads that wait although the caller asked for no wait, and against waits longer than asked for.
#[gtest]
fn reads_wait_no_longer_than_asked() {
    let read_with_wait = |wait| ResultRead { wait: Duration::from_millis(wait), ..read(1, at(5_000)) };
    expect_that!(read_with_wait(0).answer_at(&two_group_job(2, 1), None), eq(at(5_000)));
    expect_that!(read_with_wait(200).answer_at(&two_group_job(2, 1), None), eq(at(5_200)));
    expect_that!(read_with_wait(200).answer_at(&two_group_job(1, 1), None), eq(at(5_200)));
    expect_that!(read_with_wait(1_000).answer_at(&two_group_job(1, 1), None), eq(at(6_000)));
    expect_that!(read_with_wait(1_000).answer_at(&two_group_job(2, 1), None), eq(at(6_000)));
}

/// Guards against results that are listed in time but returned after they stop counting in full.
#[gtest]
fn reads_end_before_results_stop_counting() {
    let read = read(1, at(5_000));
    let answer = |age_ms: u64| read.answer_at(&two_group_job(2, 1), Some(Duration::from_millis(age_ms)));
    expect_that!(answer(7_000), eq(at(6_000)));
    expect_that!(answer(7_950), eq(at(5_100)));
    expect_that!(answer(8_100), eq(at(6_000)));
}

/// Guards against a wrong count of groups: a group counts when all of its items are listed.
#[gtest]
fn groups_count_once_all_items_are_listed() {
    let mut plan = ItemScheduler::new(&spec(2, 2), 1);
    expect_that!(plan.listed_groups(&[0, 2]), eq(0));
    plan.mark_item_listed(0);
    expect_that!(plan.listed_groups(&[1]), eq(1));
    expect_that!(plan.listed_groups(&[1, 2, 3]), eq(2));
}
