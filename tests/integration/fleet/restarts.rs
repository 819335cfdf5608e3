//! Targets that may have started again since their entry was written.

use camphorspring::fleet::restart_watch::RestartWatch;
use googletest::prelude::*;

use crate::fleet::builders::at;

/// Guards against an entry that is trusted although its target may have started again, and against doubt without end.
#[gtest]
fn entry_is_in_doubt_until_it_is_renewed() {
    let mut watch = RestartWatch::default();
    watch.record_break("e1", at(0));
    watch.record_break("e2", at(0));
    watch.record_renewal("e1", at(999));
    expect_that!(watch.is_in_doubt("e1"), eq(true), "the entry may have been written before the break");
    watch.record_break("e1", at(1_500));
    watch.record_renewal("e1", at(2_400));
    expect_that!(watch.is_in_doubt("e1"), eq(true), "the target broke a connection again");
    watch.record_renewal("e1", at(2_500));
    expect_that!((watch.is_in_doubt("e1"), watch.is_in_doubt("e2")), eq((false, true)));
    watch.record_removal("e2");
    expect_that!(watch.is_empty(), eq(true));
}
