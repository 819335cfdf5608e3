//! Choice of the host that owns a batch job, and takeover of ownerless jobs.

use camphorspring::fleet::fleet_view::FleetView;
use camphorspring::fleet::member_row::host_capacity;
use camphorspring::jobs::job_cache::CachedJob;
use camphorspring::jobs::job_ownership::{jobs_to_take_over, preferred_owner};
use googletest::prelude::*;

use super::results::header;
use crate::fleet::builders::{at, member, view};

fn job(owner: &str, owner_incarnation: u64) -> CachedJob {
    let mut header = header(4);
    owner.clone_into(&mut header.owner);
    header.owner_incarnation = owner_incarnation;
    CachedJob { header, version: 1, known_since: at(0) }
}

/// Guards against a job that no host runs after its owner was killed, and against two hosts that take it over at once.
#[gtest]
fn orphaned_job_is_taken_by_one_host_first() {
    let hosts = ["h1", "h2", "h3"];
    let now = at(10_000);
    let view = view(Vec::new(), &hosts, now);
    let first = preferred_owner(&view, "r", "m").expect("hosts are live");
    let gone = job("h4", 1);
    let takers = |now, orphans: &mut Vec<Vec<_>>| -> Vec<&str> {
        let taking = hosts.iter().zip(orphans).filter_map(|(host, orphans)| {
            let taken = jobs_to_take_over(std::slice::from_ref(&gone), &view, host, orphans, now);
            (!taken.is_empty()).then_some(*host)
        });
        taking.collect()
    };
    let mut orphans = vec![Vec::new(); 3];
    expect_that!(takers(now, &mut orphans), eq(&vec![first.as_str()]));
    // The host that ranks first has not taken the job over, so the others do after the delay.
    expect_that!(takers(at(11_600), &mut orphans).len(), eq(3));
}

/// Guards against an owner with an eighth of a core, which cannot keep up with the events of a step.
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
    // Without the strong hosts, the weak ones own the jobs.
    members.retain(|member| member.row.capacity < 1_000);
    view.members = members.into();
    expect_that!(owners(&view), eq(&["h1".to_owned(), "h3".to_owned()]));
}

/// Guards against a capacity that overrates a host with a fast processor and a slow link.
#[gtest]
fn capacity_is_limited_by_the_scarcer_resource() {
    expect_that!(host_capacity(0.5, 600.0), eq(4_000));
    expect_that!(host_capacity(16.0, 10.0), eq(1_000));
    expect_that!(host_capacity(0.0, 0.0), eq(1));
}

/// Guards against a takeover from a live owner, and against a restarted owner that is taken for live.
#[gtest]
fn restarted_owner_loses_its_jobs() {
    let now = at(10_000);
    let view = view(Vec::new(), &["h1", "h2"], now);
    let take = |job: CachedJob, host: &str| !jobs_to_take_over(&[job], &view, host, &mut Vec::new(), now).is_empty();
    expect_that!(take(job("h1", 1), "h1") || take(job("h1", 1), "h2"), eq(false));
    expect_that!(take(job("h1", 7), "h1") || take(job("h1", 7), "h2"), eq(true));
}

/// Guards against a host without access to the store that takes all other hosts for dead.
#[gtest]
fn outdated_list_of_hosts_causes_no_takeover() {
    let mut view = view(Vec::new(), &["h1"], at(10_000));
    view.members = vec![member("h1", 1, at(10_000))].into();
    expect_that!(jobs_to_take_over(&[job("h9", 1)], &view, "h1", &mut Vec::new(), at(13_000)).len(), eq(0));
}
