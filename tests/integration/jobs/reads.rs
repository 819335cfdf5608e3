//! Reads of results by a trainer that acts twice a second.

use std::time::Duration;

use camphorspring::clock::BootTime;
use camphorspring::jobs::job_plan::ItemScheduler;
use camphorspring::jobs::job_record::JobHeader;
use camphorspring::jobs::read_wait::ResultRead;
use googletest::prelude::*;

use super::plan::spec;
use super::results::header;
use crate::fleet::builders::at;

/// Turn of a trainer: it starts a read this long after the one before, and acts on what it read then.
const TURN: Duration = Duration::from_millis(500);

/// Job of four items in two groups, both of which the trainer waits for, with what is listed of it.
fn step(listed: u32, listed_groups: u32) -> JobHeader {
    JobHeader { listed, listed_groups, group_target: 2, ..header(4) }
}

fn read(after: u32, asked_at: BootTime) -> ResultRead {
    ResultRead { after, asked_at, wait: Duration::from_secs(1) }
}

/// When a trainer that starts to read at `from` ends a step whose items are listed at `times`.
fn end_of_step(times: &[BootTime], from: BootTime, answer: fn(&ResultRead, &JobHeader) -> BootTime) -> BootTime {
    let listed_by = |now: BootTime| u32::try_from(times.iter().filter(|time| **time <= now).count()).unwrap_or(0);
    let total = u32::try_from(times.len()).unwrap_or(0);
    let mut read = read(listed_by(from.saturating_sub(TURN)), from);
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
        read.after = listed_by(now);
        let turn = now.max(read.asked_at + TURN);
        if read.after == total {
            return turn;
        }
        read.asked_at = turn;
    }
}

/// Replays the end of a step whose last results arrive 100 to 400 ms apart, for trainers whose turns fall anywhere.
/// Guards against reads that return with the last result but one and make every step end half a second late.
#[gtest]
fn step_ends_soon_after_its_last_result() {
    let times = [at(6_700), at(7_100), at(7_350), at(7_450)];
    let last = at(7_450);
    let mean_delay = |answer: fn(&ResultRead, &JobHeader) -> BootTime| {
        let delays = (0..50).map(|step| end_of_step(&times, at(6_000 + step * 10), answer).saturating_sub(last));
        delays.sum::<Duration>() / 50
    };
    let at_once =
        mean_delay(|read, header| if header.listed > read.after { read.asked_at } else { read.asked_at + read.wait });
    let collected = mean_delay(|read, header| read.answer_at(header, Some(read.asked_at)));
    expect_that!(at_once, gt(Duration::from_millis(300)));
    expect_that!(collected, lt(Duration::from_millis(260)));
}

/// Guards against results that are held back while the trainer has what it waits for, or after the job was ended.
#[gtest]
fn wanted_results_are_answered_at_once() {
    let read = read(1, at(5_000));
    expect_that!(read.answer_at(&step(4, 2), None), eq(at(5_000)));
    expect_that!(read.answer_at(&JobHeader { is_ended: true, ..step(1, 0) }, None), eq(at(5_000)));
    expect_that!(read.answer_at(&JobHeader { group_target: 0, ..step(2, 0) }, None), eq(at(5_000)));
}

/// Guards against a caller that asked for no wait and waits, and against a wait longer than the one asked for.
#[gtest]
fn reads_wait_no_longer_than_asked() {
    let short = |wait| ResultRead { wait: Duration::from_millis(wait), ..read(1, at(5_000)) };
    expect_that!(short(0).answer_at(&step(2, 1), None), eq(at(5_000)));
    expect_that!(short(200).answer_at(&step(2, 1), None), eq(at(5_200)));
    expect_that!(short(200).answer_at(&step(1, 1), None), eq(at(5_200)));
    expect_that!(short(1_000).answer_at(&step(1, 1), None), eq(at(6_000)));
    expect_that!(short(1_000).answer_at(&step(2, 1), None), eq(at(6_000)));
}

/// Guards against a group that is ready before the objective and read after it.
#[gtest]
fn reads_end_before_results_lose_worth() {
    let read = read(1, at(5_000));
    let answer = |age_ms: u64| read.answer_at(&step(2, 1), Some(Duration::from_millis(age_ms)));
    expect_that!(answer(7_000), eq(at(6_000)));
    expect_that!(answer(7_950), eq(at(5_100)));
    expect_that!(answer(8_100), eq(at(6_000)));
}

/// Guards against a wrong count of groups: one counts when all of its items are listed.
#[gtest]
fn groups_count_once_all_items_are_listed() {
    let mut plan = ItemScheduler::new(&spec(2, 2), 1);
    expect_that!(plan.listed_groups(&[0, 2]), eq(0));
    plan.set_listed(0);
    expect_that!(plan.listed_groups(&[1]), eq(1));
    expect_that!(plan.listed_groups(&[1, 2, 3]), eq(2));
}
