//! Decides which batch jobs this host runs.
//!
//! The owner is part of a job's header. A job whose owner is gone, or gave it up, is taken by the live host that ranks
//! first for it; the others follow after a while, in case that host cannot. Two hosts that both run a job for a moment
//! do no harm: results are appended under a condition.

use tokio::task::JoinSet;

use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::FleetView;
use crate::jobs::job_cache::CachedJob;
use crate::jobs::job_runner::run_job;
use crate::jobs::job_store::{HeaderWrite, replace_header};
use crate::policy::shard_map::choose_member;
use crate::prelude::*;
use crate::row_store::RowVersion;

/// Time after which a host that does not rank first takes a job that nobody runs.
const SECOND_CHOICE_WAIT: Duration = Duration::from_millis(1500);

/// Age of the list of hosts beyond which nobody is taken for gone.
const MEMBERS_AGE_LIMIT: Duration = Duration::from_secs(2);

/// Longest time between two looks at the jobs.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Part of the capacity of the strongest host below which a host owns no jobs while stronger ones live.
const OWNER_PART: u32 = 2;

/// Host that should own a new job: jobs of one model meet on one host, which reuses its connections for them. Only
/// strong hosts are chosen, since an owner passes on every event of its jobs.
#[must_use]
pub fn preferred_owner(view: &FleetView, route: &str, model: &str) -> Option<HostId> {
    let key = format!("{route}/{model}");
    let hosts = || view.live_members().filter(|member| !member.row.is_stopping);
    let most = hosts().map(|member| member.row.capacity).max()?;
    let strong = hosts().filter(|member| member.row.capacity >= most / OWNER_PART);
    choose_member(&key, strong.map(|member| member.host.as_str())).map(str::to_owned)
}

/// Whether the owner named in a header still runs.
#[must_use]
pub fn has_live_owner(view: &FleetView, job: &CachedJob) -> bool {
    view.live_members()
        .any(|member| member.host == job.header.owner && member.row.incarnation == job.header.owner_incarnation)
}

/// A job without a live owner, and since when this host has seen it so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanJob {
    /// Job.
    pub job: JobId,
    /// When it was first seen without an owner.
    pub since: BootTime,
}

/// Jobs to take over now. `orphans` is kept between calls.
#[must_use]
pub fn jobs_to_take(
    jobs: &[CachedJob],
    view: &FleetView,
    own_host: &str,
    orphans: &mut Vec<OrphanJob>,
    now: BootTime,
) -> Vec<JobId> {
    if now.saturating_sub(view.members_read_at) > MEMBERS_AGE_LIMIT {
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
        if is_first || now.saturating_sub(since) >= SECOND_CHOICE_WAIT {
            taken.push(id.clone());
        }
    }
    taken
}

/// Takes and runs jobs until the process ends.
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
            for job in jobs_to_take(&jobs, &view, &context.settings.host, &mut orphans, boot_time()) {
                take_job(&context, &job).await;
            }
        }
        for job in context.board.open_jobs() {
            let is_own =
                job.header.owner == context.settings.host && job.header.owner_incarnation == context.incarnation;
            if is_own && !active.contains(&job.header.job) {
                active.push(job.header.job.clone());
                runners.spawn(run_owned(Arc::clone(&context), job));
            }
        }
        tokio::select! {
            () = context.board.wait_change(LOOK_PERIOD) => {}
            Some(ended) = runners.join_next(), if !runners.is_empty() => {
                if let Ok(job) = ended {
                    active.retain(|known| *known != job);
                }
            }
        }
    }
}

async fn run_owned(context: Arc<HostContext>, job: CachedJob) -> JobId {
    let id = job.header.job.clone();
    log::info!(
        job = id, items = job.header.item_count, listed = job.header.listed, model = job.header.model,
        least_version = job.header.least_version;
        "job_runner_started"
    );
    run_job(context, job.header, job.version).await;
    // A runner that ended on a fault is started again, not at once.
    tokio::time::sleep(LOOK_PERIOD).await;
    id
}

async fn take_job(context: &Arc<HostContext>, job: &str) {
    let Some(known) = context.board.get(job) else { return };
    let version: RowVersion = known.version;
    let mut header = known.header;
    let former = std::mem::replace(&mut header.owner, context.settings.host.clone());
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
        job = job, former_owner = former, outcome = outcome,
        members_age_ms = whole_millis(now.saturating_sub(context.view().members_read_at));
        "job_takeover"
    );
}
