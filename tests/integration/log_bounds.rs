//! Limit on the number of log lines in one second.

use std::time::Duration;

use camphorspring::logs::line_budget::LineBudget;
use googletest::prelude::*;

/// Guards against logs that grow with the load, and against ordinary lines that leave no room for warnings and errors.
#[gtest]
fn lines_of_a_second_are_bounded_and_failures_have_room() {
    let mut budget = LineBudget::new();
    let now = Duration::from_millis(5500);
    let ordinary = (0..1000).filter(|_| budget.try_consume(false, now)).count();
    let failures = (0..1000).filter(|_| budget.try_consume(true, now)).count();
    expect_that!((ordinary, failures), eq((200, 100)));
    expect_that!(budget.take_left_out(), eq(1700));
    expect_that!(budget.try_consume(false, Duration::from_secs(6)), eq(true));
    expect_that!(budget.take_left_out(), eq(0));
}
