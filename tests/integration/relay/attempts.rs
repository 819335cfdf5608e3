//! Target choice for plain requests, and the delay before a second attempt.

use camphorspring::fleet::target_load::LoadTable;
use camphorspring::relay::attempt_plan::{ChoiceContext, choose_target, hedge_delay};
use googletest::prelude::*;

use crate::fleet::builders::{at, engine, share_clock};

fn choice_context() -> ChoiceContext<'static> {
    ChoiceContext { domain: "north", cold_rate: 11.0, clock: share_clock("h1", at(10_000)) }
}

/// Guards against requests that are still sent to a failing target while another target works.
#[gtest]
fn paused_targets_come_last() {
    let targets = [engine("e1", 1), engine("e2", 1)];
    let mut loads = LoadTable::new();
    loads.record_failure("e1", at(9_900));
    let mut choose = |attempted: &[String]| {
        choose_target(targets.iter(), attempted, &mut loads, &choice_context()).map(|target| target.id.clone())
    };
    expect_that!(choose(&[]), some(eq("e2")));
    expect_that!(choose(&["e2".to_owned()]), some(eq("e1")));
    expect_that!(choose(&["e1".to_owned(), "e2".to_owned()]), none());
}

/// Guards against a slow target that gets as many requests as a fast one, which happens when the pace is ignored.
#[gtest]
fn fast_targets_get_most_requests() {
    let targets = [engine("e1", 1), engine("e2", 1)];
    let mut loads = LoadTable::new();
    loads.record_success("e1", Some(0.1));
    loads.record_success("e2", Some(0.025));
    let chosen: Vec<String> = (0..40)
        .map(|_| {
            let id = choose_target(targets.iter(), &[], &mut loads, &choice_context())
                .expect("a target is there")
                .id
                .clone();
            loads.start(&id, false, false, at(10_000));
            id
        })
        .collect();
    expect_that!(chosen.iter().filter(|id| *id == "e2").count(), ge(36));
}

/// Guards against requests that leave the failure domain although a target in it is equally fast.
#[gtest]
fn own_domain_comes_first() {
    let mut remote = engine("e1", 1);
    remote.domain = "south".to_owned();
    let targets = [remote, engine("e2", 1)];
    let chosen = choose_target(targets.iter(), &[], &mut LoadTable::new(), &choice_context());
    expect_that!(chosen.map(|target| target.id.as_str()), some(eq("e2")));
}

/// Guards against a second attempt that starts too late to meet the objective, or starts for every request.
#[gtest]
fn hedge_delay_leaves_time_for_the_second_attempt() {
    let delays = [hedge_delay(at(150), None), hedge_delay(at(150), Some(0.01)), hedge_delay(at(1000), Some(0.01))];
    expect_that!(delays.map(|delay| delay.as_millis()), eq([120, 80, 500]));
}
