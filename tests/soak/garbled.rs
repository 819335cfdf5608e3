//! Targets that garble some of their answers, while a host reaches them through the others.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use googletest::prelude::*;

use crate::installation::{HOST_COUNT, START_TIMEOUT, SoakInstallation};
use crate::links::{LinkFault, cut_links, restore_links};
use crate::load::{CallerLoad, run_client, run_trainer};
use crate::outcome_log::OutcomeLog;

const SEED: u64 = 1_500;

/// Time for which callers send, in each part of the run.
const PART_TIME: Duration = Duration::from_secs(4);

/// Guards against a caller, an item or a score that gets an answer without a signature, or with a status that HTTP does not know,
/// also when another host passes the request on.
#[gtest]
fn garbled_answers_reach_no_caller() {
    let installation = Arc::new(SoakInstallation::start_with_own_links(SEED));
    assert!((0..HOST_COUNT).all(|host| installation.wait_until_hosts_known(host, START_TIMEOUT)));
    installation.targets.iter().for_each(|target| target.standin.garble());
    let outcome_log = Arc::new(OutcomeLog::new());
    let load = Arc::new(CallerLoad::new(Arc::clone(&installation), Arc::clone(&outcome_log)));
    std::thread::scope(|scope| {
        for caller in 0..3 {
            let load = &load;
            scope.spawn(move || run_client(load, SEED * 100 + caller));
            scope.spawn(move || run_trainer(load, SEED * 100 + 50 + caller));
        }
        std::thread::sleep(PART_TIME);
        cut_links(&installation, 0, LinkFault::Refused);
        std::thread::sleep(PART_TIME);
        restore_links(&installation, 0);
        load.is_ending.store(true, Ordering::Release);
    });
    outcome_log.check_runs(&installation);
    eprintln!("{}", outcome_log.summary());
    let violations = outcome_log.violations();
    if !violations.is_empty() {
        eprintln!("logs: {}", installation.keep_logs().display());
    }
    expect_that!(violations, is_empty());
}
