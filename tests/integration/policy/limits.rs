//! Tests of slow start, retry budget, slot reserve, domain health, length estimate and straggler plan.

use std::time::Duration;

use camphorspring::policy::domain_health::DomainHealth;
use camphorspring::policy::length_estimate::LengthEstimate;
use camphorspring::policy::retry_budget::{RetryBudget, retry_delay};
use camphorspring::policy::slot_reserve::SlotReserve;
use camphorspring::policy::slow_start::SlowStart;
use camphorspring::policy::straggler_plan::{SampleProgress, choose_hedged_samples, start_order};
use camphorspring::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;

proptest! {
    /// Guards against a limit above the slots, and against one that more than doubles in one slow start period.
    #[test]
    fn slow_start_doubles_once_per_period(
        cold_requests in 1_u32..9,
        slots in 1_u32..65,
        events in prop::collection::vec((0_u64..2000, 0_u32..10), 1..200),
    ) {
        let mut now = Duration::from_secs(10);
        let mut slow_start = SlowStart::new(cold_requests, slots, now);
        let cold_limit = cold_requests.clamp(1, slots);
        prop_assert_eq!(slow_start.limit(), cold_limit);
        let mut raised_at = now;
        for (delay, kind) in events {
            now += Duration::from_millis(delay);
            let before = slow_start.limit();
            match kind {
                0 => slow_start.fail(now),
                1 => slow_start.restart(now),
                _ => {
                    slow_start.finish(now, Duration::from_millis(10), false);
                }
            }
            if kind == 1 {
                prop_assert_eq!(slow_start.limit(), cold_limit);
                raised_at = now;
            } else if slow_start.limit() > before {
                prop_assert!(slow_start.limit() <= before * 2 && slow_start.limit() <= slots);
                prop_assert!(now.saturating_sub(raised_at) >= SLOW_START_PERIOD);
                raised_at = now;
            } else {
                prop_assert_eq!(slow_start.limit(), before);
            }
        }
    }

    /// Guards against retries in the last ten seconds that exceed both one and a tenth of the first attempts in that
    /// time.
    #[test]
    fn retries_stay_in_budget(events in prop::collection::vec((0_u64..300, any::<bool>()), 1..500)) {
        let mut now = Duration::from_secs(10);
        let mut budget = RetryBudget::new();
        let mut first_attempts: Vec<BootTime> = Vec::new();
        let mut retries: Vec<BootTime> = Vec::new();
        for (delay, is_retry) in events {
            now += Duration::from_millis(delay);
            if !is_retry {
                budget.record_first_attempt(now);
                first_attempts.push(now);
                continue;
            }
            if !budget.try_consume_retry(now) {
                continue;
            }
            retries.push(now);
            let recent = |times: &[BootTime], window: Duration| {
                times.iter().filter(|time| now.saturating_sub(**time) < window).count()
            };
            // The budget forgets its oldest slice up to a tenth of the window early.
            let allowed = recent(&first_attempts, RETRY_WINDOW) * RETRY_PERCENT as usize / 100;
            prop_assert!(recent(&retries, RETRY_WINDOW * 9 / 10) <= allowed.max(1));
        }
    }

    /// Guards against a retry delay above two seconds, whatever the number of the retry.
    #[test]
    fn retry_delay_is_bounded(retry_index: u32, random: u64) {
        prop_assert!(retry_delay(retry_index, random) <= Duration::from_secs(2));
    }
}

/// Guards against a target that keeps its warm limit although its first tokens became slow, and against one whose limit
/// is reset by a single long prompt.
#[googletest::test]
fn cold_first_tokens_reset_limit() {
    let mut now = Duration::from_secs(10);
    let mut slow_start = SlowStart::new(1, 8, now);
    let fast = Duration::from_millis(20);
    for _ in 0..40 {
        now += Duration::from_secs(1);
        slow_start.finish(now, fast, false);
    }
    expect_that!(slow_start.limit(), eq(8));
    expect_that!(slow_start.finish(now, fast * 5, false), eq(false));
    slow_start.finish(now, fast, false);
    expect_that!(slow_start.finish(now, fast * 5, false), eq(false));
    expect_that!(slow_start.finish(now, fast * 5, false), eq(true));
    expect_that!(slow_start.limit(), eq(1));
}

/// Guards against cache misses that make a target look cold because most first-token latencies come from cached
/// prompts.
#[googletest::test]
fn cache_misses_are_not_cold() {
    let mut now = Duration::from_secs(10);
    let mut slow_start = SlowStart::new(1, 8, now);
    for index in 0..100 {
        now += Duration::from_secs(1);
        let is_cached = index % 4 != 0;
        let first_token = if is_cached { Duration::from_millis(10) } else { Duration::from_millis(150) };
        slow_start.finish(now, first_token, is_cached);
    }
    // These prompts were expected in the cache but had been evicted.
    for _ in 0..3 {
        expect_that!(slow_start.finish(now, Duration::from_millis(150), true), eq(false));
    }
    expect_that!(slow_start.limit(), eq(8));
}

/// Guards against a restarted target whose limit grows while it still responds as slowly as a cold one, and against one
/// that keeps its cold limit for ever because it became slower for good.
#[googletest::test]
fn limit_grows_after_restart_when_warm() {
    let mut now = Duration::from_secs(10);
    let mut slow_start = SlowStart::new(1, 8, now);
    let fast = Duration::from_millis(20);
    for _ in 0..40 {
        now += Duration::from_secs(1);
        slow_start.finish(now, fast, false);
    }
    slow_start.restart(now);
    for _ in 0..20 {
        now += Duration::from_secs(1);
        slow_start.finish(now, fast * 6, false);
    }
    expect_that!(slow_start.limit(), eq(1));
    let mut slower = slow_start.clone();
    for _ in 0..6 {
        now += Duration::from_secs(1);
        slow_start.finish(now, fast, false);
        slower.finish(now, fast * 6, false);
    }
    expect_that!(slow_start.limit(), eq(2));
    expect_that!(slower.limit(), eq(1));
    for _ in 0..60 {
        now += Duration::from_secs(1);
        slower.finish(now, fast * 6, false);
    }
    expect_that!(slower.limit(), eq(8));
}

/// Guards against an organisation with many requests that takes the last slots. Also guards against a reserve that
/// blocks the only user of a shard, or an organisation that uses far less than the largest user.
#[googletest::test]
fn last_slots_are_reserved() {
    let now = Duration::from_secs(100);
    let mut reserve = SlotReserve::default();
    reserve.record_request(now, "large", 1.0);
    for _ in 0..6 {
        expect_that!(reserve.can_take_slot(now, "large", 2, 8), eq(true));
        reserve.record_grant("large");
    }
    expect_that!(reserve.can_take_slot(now, "large", 2, 8), eq(true));
    reserve.record_request(now, "small", 1.0);
    expect_that!(reserve.can_take_slot(now, "large", 2, 8), eq(false));
    expect_that!(reserve.can_take_slot(now, "large", 3, 8), eq(true));
    for _ in 0..3 {
        expect_that!(reserve.can_take_slot(now, "small", 2, 8), eq(true));
        reserve.record_grant("small");
    }
    expect_that!(reserve.can_take_slot(now + Duration::from_mins(1), "large", 2, 8), eq(false));
    for _ in 0..3 {
        reserve.record_release("small");
    }
    expect_that!(reserve.can_take_slot(now + Duration::from_mins(1), "large", 2, 8), eq(true));
}

/// Guards against a failing domain that still counts as healthy, and against one that counts as failing after its
/// failures have left the window.
#[googletest::test]
fn failing_domain_recovers_after_window() {
    let mut health = DomainHealth::new();
    let now = Duration::from_secs(10);
    for _ in 0..3 {
        health.record(now, true);
    }
    expect_that!(health.is_failing(now), eq(false));
    health.record(now, true);
    expect_that!(health.is_failing(now), eq(true));
    for _ in 0..4 {
        health.record(now, false);
    }
    expect_that!(health.is_failing(now), eq(false));
    health.record(now, true);
    expect_that!(health.is_failing(now), eq(true));
    expect_that!(health.is_failing(now + Duration::from_secs(6)), eq(false));
}

/// Guards against estimates that mix organisations or exceed what a request may produce.
#[googletest::test]
fn lengths_are_learned_per_organisation() {
    let mut estimate = LengthEstimate::new();
    expect_that!(estimate.expect("scoring", "large", 400), eq(200));
    for _ in 0..200 {
        estimate.record("scoring", "large", 100);
        estimate.record("scoring", "small", 900);
    }
    expect_that!(estimate.expect("scoring", "large", 400), all!(ge(95), le(105)));
    expect_that!(estimate.expect("scoring", "small", 400), eq(400));
    expect_that!(estimate.expect("desk", "large", 10), eq(5));
}

fn sample(expected_tokens: u32, started_at: Option<u64>, is_done: bool) -> SampleProgress {
    let started_at = started_at.map(Duration::from_secs);
    SampleProgress { expected_tokens, started_at, copies: u32::from(started_at.is_some()), is_done }
}

/// Guards against a step whose longest samples start last.
#[googletest::test]
fn longest_samples_start_first() {
    let samples = [sample(5, None, false), sample(9, None, false), sample(7, Some(1), false), sample(9, None, false)];
    expect_that!(start_order(&samples), elements_are![eq(&1), eq(&3), eq(&0)]);
}

/// Guards against hedged runs that start before nine tenths of the samples are finished, and against hedged runs of
/// samples that are not late.
#[googletest::test]
fn hedged_runs_start_near_end_of_step() {
    let token_time = Duration::from_millis(10);
    let now = Duration::from_secs(100);
    let mut samples = vec![sample(100, Some(10), true); 97];
    samples.push(sample(100, Some(90), false));
    samples.push(sample(100, Some(80), false));
    samples.push(sample(100, Some(99), false));
    expect_that!(choose_hedged_samples(&samples, token_time, now), elements_are![eq(&98), eq(&97)]);
    for sample in samples.iter_mut().take(10) {
        sample.is_done = false;
    }
    expect_that!(choose_hedged_samples(&samples, token_time, now), is_empty());
    let mut waiting = samples.clone();
    waiting[0] = sample(100, None, false);
    expect_that!(choose_hedged_samples(&waiting, token_time, now), is_empty());
    let late = vec![sample(100, Some(10), true); 95];
    let late: Vec<SampleProgress> = late.into_iter().chain(vec![sample(1, Some(1), false); 5]).collect();
    expect_that!(choose_hedged_samples(&late, token_time, now).len(), eq(5));
}
