//! Chooses owners of batch jobs, takes over ownerless jobs and runs the jobs of this host.
//!
//! A job's header names the owner. When the owner is gone or released the job, the live host that ranks first for the
//! job takes it over. The other hosts do so after a delay, in case the first one cannot. Two hosts may run a job at the
//! same time for a moment without harm, because results are appended on condition of the header's version.

use tokio::task::JoinSet;

use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::FleetView;
use crate::jobs::job_cache::CachedJob;
use crate::jobs::job_runner::run_job;
use crate::jobs::job_store::{HeaderWrite, replace_header};
use crate::policy::shard_map::choose_member;
use crate::prelude::*;
use crate::row_store::RowVersion;

/// Delay after which a host that does not rank first takes over an ownerless job.
const OTHER_HOSTS_DELAY: Duration = Duration::from_millis(1500);

/// Maximum age of the known hosts at which jobs are taken over; with an older list, live hosts would look gone.
const MAX_MEMBERS_AGE: Duration = Duration::from_secs(2);

/// Maximum time between two checks of the jobs; also the delay before a runner that ended may be started again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Divisor of the largest capacity of a live host; hosts with less capacity than the quotient are not preferred owners.
const OWNER_CAPACITY_DIVISOR: u32 = 2;

/// Host that should own a job; `None` when no host is live or all live hosts are stopping. Jobs of one route and model
/// get the same host, which reuses its connections for them. Only strong hosts that reach targets are chosen, since the
/// owner reads and stores every event of its jobs.
#[must_use]
pub fn preferred_owner(view: &FleetView, route: &str, model: &str) -> Option<HostId> {
    let key = format!("{route}/{model}");
    // The owner sends the items to targets; a host that reaches none would send them through others.
    let has_forwarding = view.live_members().any(|member| !member.row.is_stopping && member.row.forwards_requests);
    let hosts = || {
        let running = view.live_members().filter(|member| !member.row.is_stopping);
        running.filter(move |member| member.row.forwards_requests || !has_forwarding)
    };
    let largest_capacity = hosts().map(|member| member.row.capacity).max()?;
    let strong_hosts = hosts().filter(|member| member.row.capacity >= largest_capacity / OWNER_CAPACITY_DIVISOR);
    choose_member(&key, strong_hosts.map(|member| member.host.as_str())).map(str::to_owned)
}

/// Whether the incarnation of the owner that a header names is live.
#[must_use]
pub fn has_live_owner(view: &FleetView, job: &CachedJob) -> bool {
    view.live_members()
        .any(|member| member.host == job.header.owner && member.row.incarnation == job.header.owner_incarnation)
}

/// A job without a live owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanJob {
    /// Id of the job, as in its header.
    pub job: JobId,
    /// When this host first saw the job without a live owner.
    pub since: BootTime,
}

/// Selects the jobs to take over now. The caller keeps `orphans` between calls; this function updates the list.
#[must_use]
pub fn jobs_to_take_over(
    jobs: &[CachedJob],
    view: &FleetView,
    own_host: &str,
    orphans: &mut Vec<OrphanJob>,
    now: BootTime,
) -> Vec<JobId> {
    if now.saturating_sub(view.members_read_at) > MAX_MEMBERS_AGE {
        return Vec::new();
    }
    let ownerless: Vec<&CachedJob> = jobs.iter().filter(|job| !has_live_owner(view, job)).collect();
    orphans.retain(|orphan| ownerless.iter().any(|job| job.header.job == orphan.job));
    let mut taken = Vec::new();
    for job in ownerless {
        let id = &job.header.job;
        if !orphans.iter().any(|orphan| orphan.job == *id) {
            orphans.push(OrphanJob { job: id.clone(), since: now });
        }
        let since = orphans.iter().find(|orphan| orphan.job == *id).map_or(now, |orphan| orphan.since);
        let preferred = preferred_owner(view, &job.header.route, &job.header.model);
        let is_first = preferred.as_deref() == Some(own_host);
        if is_first || now.saturating_sub(since) >= OTHER_HOSTS_DELAY {
            taken.push(id.clone());
        }
    }
    taken
}

/// Takes over ownerless jobs and runs the jobs that this host owns, until the process ends.
pub async fn run_job_takeover(context: Arc<HostContext>) {
    let mut runners: JoinSet<JobId> = JoinSet::new();
    let mut active: Vec<JobId> = Vec::new();
    let mut orphans = Vec::new();
    loop {
        while let Some(ended) = runners.try_join_next() {
            if let Ok(job) = ended {
                active.retain(|known| *known != job);
            }
        }
        let jobs = context.board.open_jobs();
        let view = context.view();
        if !context.is_stopping() {
            for job in jobs_to_take_over(&jobs, &view, &context.settings.host, &mut orphans, boot_time()) {
                take_over_job(&context, &job).await;
            }
        }
        for job in context.board.open_jobs() {
            let is_own =
                job.header.owner == context.settings.host && job.header.owner_incarnation == context.incarnation;
            if is_own && !active.contains(&job.header.job) {
                active.push(job.header.job.clone());
                runners.spawn(run_owned_job(Arc::clone(&context), job));
            }
        }
        tokio::select! {
            () = context.board.wait_change(CHECK_INTERVAL) => {}
            Some(ended) = runners.join_next(), if !runners.is_empty() => {
                if let Ok(job) = ended {
                    active.retain(|known| *known != job);
                }
            }
        }
    }
}

async fn run_owned_job(context: Arc<HostContext>, job: CachedJob) -> JobId {
    let id = job.header.job.clone();
    log::info!(
        job = id, items = job.header.item_count, listed = job.header.listed, model = job.header.model,
        least_version = job.header.least_version;
        "job_runner_started"
    );
    run_job(context, job.header, job.version).await;
    // The main loop starts a new runner if the job is still open; the delay keeps a failing runner from spinning.
    tokio::time::sleep(CHECK_INTERVAL).await;
    id
}

async fn take_over_job(context: &Arc<HostContext>, job: &str) {
    let Some(known) = context.board.get(job) else { return };
    let version: RowVersion = known.version;
    let mut header = known.header;
    let former_owner = std::mem::replace(&mut header.owner, context.settings.host.clone());
    header.owner_incarnation = context.incarnation;
    header.owner_changes += 1;
    let result = replace_header(&context.store, &header, version).await;
    let now = boot_time();
    let outcome = match result {
        Ok(HeaderWrite::Written(version)) => {
            context.board.upsert_header(header, version, now);
            context.metrics.takeovers.inc();
            "taken"
        }
        Ok(HeaderWrite::Changed(Some((header, version)))) => {
            context.board.upsert_header(header, version, now);
            "changed"
        }
        Ok(HeaderWrite::Changed(None)) => "absent",
        Err(_) => "store_failed",
    };
    log::info!(
        job = job, former_owner = former_owner, outcome = outcome,
        members_age_ms = whole_millis(now.saturating_sub(context.view().members_read_at));
        "job_takeover"
    );
}
