//! Slow start, retries, health, lengths and stragglers.

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
    /// Guards against a limit above the slots, or above twice the former one within a step.
    #[test]
    fn slow_start_doubles_once_a_step(
        bears in 1_u32..9,
        slots in 1_u32..65,
        events in prop::collection::vec((0_u64..2000, 0_u32..10), 1..200),
    ) {
        let mut now = Duration::from_secs(10);
        let mut start = SlowStart::new(bears, slots, now);
        let least = bears.clamp(1, slots);
        prop_assert_eq!(start.limit(), least);
        let mut raised_at = now;
        for (wait, kind) in events {
            now += Duration::from_millis(wait);
            let before = start.limit();
            match kind {
                0 => start.fail(now),
                1 => start.restart(now),
                _ => {
                    start.finish(now, Duration::from_millis(10), false);
                }
            }
            if kind == 1 {
                prop_assert_eq!(start.limit(), least);
                raised_at = now;
            } else if start.limit() > before {
                prop_assert!(start.limit() <= before * 2 && start.limit() <= slots);
                prop_assert!(now.saturating_sub(raised_at) >= SLOW_START_STEP);
                raised_at = now;
            } else {
                prop_assert_eq!(start.limit(), before);
            }
        }
    }

    /// Guards against retries beyond a tenth of the first tries of the last ten seconds, and one.
    #[test]
    fn retries_stay_in_budget(events in prop::collection::vec((0_u64..300, any::<bool>()), 1..500)) {
        let mut now = Duration::from_secs(10);
        let mut budget = RetryBudget::new();
        let mut first_tries: Vec<BootTime> = Vec::new();
        let mut retries: Vec<BootTime> = Vec::new();
        for (wait, is_retry) in events {
            now += Duration::from_millis(wait);
            if !is_retry {
                budget.record_first_attempt(now);
                first_tries.push(now);
                continue;
            }
            if !budget.try_consume_retry(now) {
                continue;
            }
            retries.push(now);
            let recent = |times: &[BootTime], window: Duration| {
                times.iter().filter(|time| now.saturating_sub(**time) < window).count()
            };
            // The oldest slice is forgotten up to a tenth of the window early.
            let allowed = recent(&first_tries, RETRY_WINDOW) * RETRY_PERCENT as usize / 100;
            prop_assert!(recent(&retries, RETRY_WINDOW * 9 / 10) <= allowed.max(1));
        }
    }

    /// Guards against a delay that is not bounded.
    #[test]
    fn retry_delay_is_bounded(attempt: u32, random: u64) {
        prop_assert!(retry_delay(attempt, random) <= Duration::from_secs(2));
    }
}

/// Guards against a target that keeps its warm limit after it turned cold, and against one that falls back for a
/// single long prompt.
#[googletest::test]
fn cold_first_tokens_reset_limit() {
    let mut now = Duration::from_secs(10);
    let mut start = SlowStart::new(1, 8, now);
    let fast = Duration::from_millis(20);
    for _ in 0..40 {
        now += Duration::from_secs(1);
        start.finish(now, fast, false);
    }
    expect_that!(start.limit(), eq(8));
    expect_that!(start.finish(now, fast * 5, false), eq(false));
    start.finish(now, fast, false);
    expect_that!(start.finish(now, fast * 5, false), eq(false));
    expect_that!(start.finish(now, fast * 5, false), eq(true));
    expect_that!(start.limit(), eq(1));
}

/// Guards against cache misses that look like a cold target because most first tokens come from cached prompts.
#[googletest::test]
fn cache_misses_are_not_cold() {
    let mut now = Duration::from_secs(10);
    let mut start = SlowStart::new(1, 8, now);
    for index in 0..100 {
        now += Duration::from_secs(1);
        let is_cached = index % 4 != 0;
        let first_token = if is_cached { Duration::from_millis(10) } else { Duration::from_millis(150) };
        start.finish(now, first_token, is_cached);
    }
    // Prompts that had left the cache.
    for _ in 0..3 {
        expect_that!(start.finish(now, Duration::from_millis(150), true), eq(false));
    }
    expect_that!(start.limit(), eq(8));
}

/// Guards against a restarted target whose limit grows while its first tokens are still those of a cold one, and
/// against one that stays at its first limit for ever because it became slower for good.
#[googletest::test]
fn restarted_target_grows_when_warm() {
    let mut now = Duration::from_secs(10);
    let mut start = SlowStart::new(1, 8, now);
    let fast = Duration::from_millis(20);
    for _ in 0..40 {
        now += Duration::from_secs(1);
        start.finish(now, fast, false);
    }
    start.restart(now);
    for _ in 0..20 {
        now += Duration::from_secs(1);
        start.finish(now, fast * 6, false);
    }
    expect_that!(start.limit(), eq(1));
    let mut slower = start.clone();
    for _ in 0..6 {
        now += Duration::from_secs(1);
        start.finish(now, fast, false);
        slower.finish(now, fast * 6, false);
    }
    expect_that!(start.limit(), eq(2));
    expect_that!(slower.limit(), eq(1));
    for _ in 0..60 {
        now += Duration::from_secs(1);
        slower.finish(now, fast * 6, false);
    }
    expect_that!(slower.limit(), eq(8));
}

/// Guards against a flood that takes the last slots, and against a reserve that stops the only user of a shard or an
/// organisation that uses far less than the flood.
#[googletest::test]
fn last_slots_are_kept_from_floods() {
    let now = Duration::from_secs(100);
    let mut reserve = SlotReserve::default();
    reserve.record_request(now, "large", 1.0);
    for _ in 0..6 {
        expect_that!(reserve.may_take(now, "large", 2, 8), eq(true));
        reserve.record_grant("large");
    }
    expect_that!(reserve.may_take(now, "large", 2, 8), eq(true));
    reserve.record_request(now, "small", 1.0);
    expect_that!(reserve.may_take(now, "large", 2, 8), eq(false));
    expect_that!(reserve.may_take(now, "large", 3, 8), eq(true));
    for _ in 0..3 {
        expect_that!(reserve.may_take(now, "small", 2, 8), eq(true));
        reserve.record_grant("small");
    }
    expect_that!(reserve.may_take(now + Duration::from_mins(1), "large", 2, 8), eq(false));
    for _ in 0..3 {
        reserve.record_release("small");
    }
    expect_that!(reserve.may_take(now + Duration::from_mins(1), "large", 2, 8), eq(true));
}

/// Guards against retries into a domain that fails, and against one that never recovers.
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
fn lengths_are_learned_by_organisation() {
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

/// Guards against a step that starts its longest samples last.
#[googletest::test]
fn longest_samples_start_first() {
    let samples = [sample(5, None, false), sample(9, None, false), sample(7, Some(1), false), sample(9, None, false)];
    expect_that!(start_order(&samples), elements_are![eq(&1), eq(&3), eq(&0)]);
}

/// Guards against second copies that start early, of samples that are not late, or more than the bound.
#[googletest::test]
fn second_copies_wait_for_the_end_of_a_step() {
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
