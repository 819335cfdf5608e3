//! Which host runs a batch job.

use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::member_row::host_capacity;
use camphorspring::jobs::job_cache::CachedJob;
use camphorspring::jobs::job_keeper::{jobs_to_take, preferred_owner};
use googletest::prelude::*;

use super::results::header;
use crate::fleet::builders::{at, member, view};

fn job(owner: &str, owner_incarnation: u64) -> CachedJob {
    let mut header = header(4);
    owner.clone_into(&mut header.owner);
    header.owner_incarnation = owner_incarnation;
    CachedJob { header, version: 1, known_since: at(0) }
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

/// Guards against a step whose every event passes through a host with an eighth of a core and a thin link.
#[gtest]
fn strong_hosts_own_jobs() {
    let now = at(10_000);
    let mut view = view(Vec::new(), &["h1", "h2", "h3", "h4"], now);
    let mut members = (*view.members).clone();
    for (member, cores) in members.iter_mut().zip([0.12, 0.5, 0.12, 0.4]) {
        member.row.capacity = host_capacity(cores, 600.0);
    }
    view.members = members.clone().into();
    let owners = |view: &FleetView| {
        let models = (0..20).map(|model| preferred_owner(view, "r", &format!("m{model}")).expect("hosts are live"));
        let mut owners: Vec<String> = models.collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    };
    expect_that!(owners(&view), eq(&["h2".to_owned(), "h4".to_owned()]));
    // Without the strong ones, the others own them.
    members.retain(|member| member.row.capacity < 1_000);
    view.members = members.into();
    expect_that!(owners(&view), eq(&["h1".to_owned(), "h3".to_owned()]));
}

/// Guards against a host whose processor is strong and whose link is not.
#[gtest]
fn capacity_is_that_of_the_scarcer_part() {
    expect_that!(host_capacity(0.5, 600.0), eq(4_000));
    expect_that!(host_capacity(16.0, 10.0), eq(1_000));
    expect_that!(host_capacity(0.0, 0.0), eq(1));
}

/// Guards against a takeover from a live owner, and against one that is missed because the owner restarted.
#[gtest]
fn owner_counts_with_its_incarnation() {
    let now = at(10_000);
    let view = view(Vec::new(), &["h1", "h2"], now);
    let take = |job: CachedJob, host: &str| !jobs_to_take(&[job], &view, host, &mut Vec::new(), now).is_empty();
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
