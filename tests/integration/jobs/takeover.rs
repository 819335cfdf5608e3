//! Which host runs a batch job.

use camphorspring::jobs::job_board::KnownJob;
use camphorspring::jobs::job_keeper::{jobs_to_take, preferred_owner};
use googletest::prelude::*;

use super::results::header;
use crate::fleet::builders::{at, member, view};

fn job(owner: &str, owner_incarnation: u64) -> KnownJob {
    let mut header = header(4);
    owner.clone_into(&mut header.owner);
    header.owner_incarnation = owner_incarnation;
    KnownJob { header, version: 1, known_since: at(0) }
}

/// Guards against a job that nobody runs after its owner was killed, and against two hosts that take it at once.
#[gtest]
fn orphaned_job_is_taken_by_one_host_first() {
    let hosts = ["h1", "h2", "h3"];
    let now = at(10_000);
    let view = view(Vec::new(), &hosts, now);
    let first = preferred_owner(&view, "r", "m").expect("hosts are live");
    let gone = job("h4", 1);
    let takers = |now, orphans: &mut Vec<Vec<_>>| -> Vec<&str> {
        let taking = hosts.iter().zip(orphans).filter_map(|(host, orphans)| {
            let taken = jobs_to_take(std::slice::from_ref(&gone), &view, host, orphans, now);
            (!taken.is_empty()).then_some(*host)
        });
        taking.collect()
    };
    let mut orphans = vec![Vec::new(); 3];
    expect_that!(takers(now, &mut orphans), eq(&vec![first.as_str()]));
    // The first one did not act; the others follow.
    expect_that!(takers(at(11_600), &mut orphans).len(), eq(3));
}

/// Guards against a takeover from a live owner, and against one that is missed because the owner restarted.
#[gtest]
fn owner_counts_with_its_incarnation() {
    let now = at(10_000);
    let view = view(Vec::new(), &["h1", "h2"], now);
    let take = |job: KnownJob, host: &str| !jobs_to_take(&[job], &view, host, &mut Vec::new(), now).is_empty();
    expect_that!(take(job("h1", 1), "h1") || take(job("h1", 1), "h2"), eq(false));
    expect_that!(take(job("h1", 7), "h1") || take(job("h1", 7), "h2"), eq(true));
}

/// Guards against a host cut off from the store that takes all others for dead.
#[gtest]
fn stale_list_of_hosts_takes_nothing() {
    let mut view = view(Vec::new(), &["h1"], at(10_000));
    view.members = vec![member("h1", 1, at(10_000))].into();
    expect_that!(jobs_to_take(&[job("h9", 1)], &view, "h1", &mut Vec::new(), at(13_000)).len(), eq(0));
}
