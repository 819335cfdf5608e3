//! Runs a batch job that this host owns, until all items are listed, its caller ends it or another host owns it.

use std::sync::{Mutex, PoisonError};

use tokio::task::JoinSet;

use crate::entry::host_context::{HostContext, RunningRequest};
use crate::jobs::item_run::{ItemProgress, ItemRun};
use crate::jobs::job_plan::{IdleConnections, ItemScheduler, ItemState, PlacementContext, RunOutcome};
use crate::jobs::job_progress::{ProgressSaver, SAVE_PERIOD, read_progress, save_parts};
use crate::jobs::job_record::{ItemOutcome, ItemResult, JobHeader, JobSpec};
use crate::jobs::job_store::{
    HeaderWrite, append_results, plan_append, read_header, read_results, read_spec, replace_header,
};
use crate::prelude::*;
use crate::row_store::{RowVersion, StoreCallError};

/// Shortest time between two appends of a job, so that results are listed in groups.
const APPEND_PERIOD: Duration = Duration::from_millis(80);

/// Wait after a store call that failed.
const STORE_RETRY: Duration = Duration::from_millis(250);

/// Longest time between two looks at what may have become startable.
const LOOK_PERIOD: Duration = Duration::from_millis(60);

/// Longest time between two looks when all items run.
const IDLE_LOOK: Duration = Duration::from_millis(400);

/// Time after the limit of a job at which its items are given up; covers the error of the estimated store time.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(500);

/// Why a runner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerEnd {
    /// All items are listed.
    Listed,
    /// Its caller ended the job.
    Ended,
    /// Another host owns it.
    OwnerChanged,
    /// This host stops and gave the job up.
    Released,
    /// The items could not be read.
    Unreadable,
}

#[derive(Debug)]
struct JobRunner {
    context: Arc<HostContext>,
    header: Arc<JobHeader>,
    version: RowVersion,
    spec: Arc<JobSpec>,
    plan: ItemScheduler,
    progress: Vec<Arc<Mutex<ItemProgress>>>,
    ready: Vec<ItemResult>,
    runs: JoinSet<(usize, RunOutcome)>,
    is_single_version: bool,
    append_after: BootTime,
    saver: ProgressSaver,
    save_after: BootTime,
    counts: RunCounts,
}

/// How the runs of a job went, for its log line.
#[derive(Debug, Clone, Copy, Default)]
struct RunCounts {
    starts: u32,
    refused: u32,
    misdirected: u32,
    broken: u32,
    moved: u32,
    failed: u32,
    /// When the last item that had not run before was started.
    all_started_at: BootTime,
    first_starts: u32,
}

impl RunCounts {
    fn note_end(&mut self, end: RunOutcome) {
        match end {
            RunOutcome::Complete => {}
            RunOutcome::Refused => self.refused += 1,
            RunOutcome::Misdirected => self.misdirected += 1,
            RunOutcome::Broken => self.broken += 1,
            RunOutcome::Slow => self.moved += 1,
            RunOutcome::Failed | RunOutcome::Impossible => self.failed += 1,
        }
    }
}

/// Runs a job to its end.
pub async fn run_job(context: Arc<HostContext>, header: JobHeader, version: RowVersion) -> RunnerEnd {
    let job = header.job.clone();
    let started_at = boot_time();
    let end = match prepare(&context, header, version).await {
        Ok(mut runner) => {
            let end = runner.run().await;
            let (counts, header) = (runner.counts, &runner.header);
            context.metrics.job_seconds.observe(runner.age().as_secs_f64());
            log::info!(
                job = job, model = header.model, least_version = header.least_version, items = header.item_count,
                listed = header.listed, unlisted = runner.ready.len(), starts = counts.starts,
                started_items = counts.first_starts, refused = counts.refused, misdirected = counts.misdirected,
                broken = counts.broken, moved = counts.moved, failed = counts.failed,
                all_started_ms = whole_millis(counts.all_started_at.saturating_sub(started_at)),
                age_ms = whole_millis(runner.age());
                "job_runs"
            );
            end
        }
        Err(fault) => {
            log::warn!(job = job, fault = fault.to_string(); "job_unreadable");
            RunnerEnd::Unreadable
        }
    };
    let elapsed_ms = whole_millis(boot_time().saturating_sub(started_at));
    log::info!(job = job, end:? = end, elapsed_ms = elapsed_ms; "job_runner_ended");
    end
}

async fn prepare(
    context: &Arc<HostContext>,
    header: JobHeader,
    version: RowVersion,
) -> Result<JobRunner, StoreCallError> {
    // A new job has nothing to read back.
    let is_new = header.owner_changes == 0;
    let (spec, saved) = tokio::join!(read_spec(&context.store, &header.job), async {
        if is_new { Ok(Vec::new()) } else { read_progress(&context.store, &header.job, header.item_count).await }
    });
    let (spec, saved) = (spec?, saved?);
    let services = context.view().services.clone();
    let route = services.as_ref().and_then(|services| services.route_named(&header.route));
    let mut saved = saved.into_iter();
    let progress: Vec<ItemProgress> = spec.items.iter().map(|_| saved.next().unwrap_or_default()).collect();
    let mut runner = JobRunner {
        context: Arc::clone(context),
        plan: ItemScheduler::new(&spec, route.map_or(1, |route| route.attempts)),
        saver: ProgressSaver::new(header.owner_changes, progress.iter().map(|item| item.data.len()).collect()),
        save_after: boot_time() + SAVE_PERIOD,
        progress: progress.into_iter().map(|item| Arc::new(Mutex::new(item))).collect(),
        ready: Vec::new(),
        runs: JoinSet::new(),
        counts: RunCounts::default(),
        is_single_version: route.is_some_and(|route| route.is_single_version),
        append_after: BootTime::ZERO,
        header: Arc::new(header),
        version,
        spec: Arc::new(spec),
    };
    let header = Arc::clone(&runner.header);
    runner.mark_listed(0, &header).await?;
    Ok(runner)
}

impl JobRunner {
    async fn run(&mut self) -> RunnerEnd {
        loop {
            if let Some(end) = self.follow_header().await {
                return end;
            }
            self.give_up_expired();
            self.start_runs();
            if let Some(end) = self.list_ready().await {
                return end;
            }
            self.save_progress().await;
            self.wait_event().await;
        }
    }

    /// Takes over a newer header that this host learned of.
    async fn follow_header(&mut self) -> Option<RunnerEnd> {
        let known = self.context.board.get(&self.header.job)?;
        if known.version > self.version {
            return self.adopt_header(known.header, known.version).await;
        }
        None
    }

    async fn adopt_header(&mut self, header: JobHeader, version: RowVersion) -> Option<RunnerEnd> {
        if header.is_ended {
            return Some(RunnerEnd::Ended);
        }
        if !self.is_own(&header) {
            return Some(RunnerEnd::OwnerChanged);
        }
        if let Err(fault) = self.mark_listed(self.header.listed, &header).await {
            // The old version stays, so that the next append meets the conflict again.
            log::warn!(job = header.job, fault = fault.to_string(); "job_results_unreadable");
            self.append_after = boot_time() + STORE_RETRY;
            return None;
        }
        self.header = Arc::new(header);
        self.version = version;
        None
    }

    fn is_own(&self, header: &JobHeader) -> bool {
        header.owner == self.context.settings.host && header.owner_incarnation == self.context.incarnation
    }

    /// Takes what is listed from a position on out of the plan.
    async fn mark_listed(&mut self, from: u32, header: &JobHeader) -> Result<(), StoreCallError> {
        if header.listed_items.len() == header.listed {
            for item in 0..self.spec.items.len() {
                if header.listed_items.contains(item) {
                    self.plan.set_listed(item);
                }
            }
            let spec = &self.spec;
            let is_listed =
                |result: &ItemResult| spec.position(&result.id).is_some_and(|item| header.listed_items.contains(item));
            self.ready.retain(|result| !is_listed(result));
            return Ok(());
        }
        // A host of a version that does not name the listed items wrote the header.
        let mut position = from;
        while position < header.listed {
            let results = read_results(&self.context.store, &self.header.job, position).await?;
            if results.is_empty() {
                return Err(StoreCallError::Malformed);
            }
            position += u32::try_from(results.len()).unwrap_or(u32::MAX);
            for result in results {
                self.ready.retain(|ready| ready.id != result.id);
                if let Some(item) = self.spec.position(&result.id) {
                    self.plan.set_listed(item);
                }
            }
        }
        Ok(())
    }

    /// Time since the job was handed in.
    fn age(&self) -> Duration {
        self.header.age((self.context.store.store_time)().unwrap_or_default())
    }

    fn give_up_expired(&mut self) {
        let limit = Duration::from_millis(self.header.limit_ms);
        let services = self.context.view().services.clone();
        let is_route_gone =
            services.as_ref().is_some_and(|services| services.route_named(&self.header.route).is_none());
        if self.age() < limit + GIVE_UP_MARGIN && !is_route_gone {
            return;
        }
        self.runs.abort_all();
        for item in 0..self.spec.items.len() {
            if matches!(self.plan.state(item), ItemState::Waiting(_) | ItemState::Running(_)) {
                self.plan.set_finished(item);
                self.give_up(item);
            }
        }
    }

    fn give_up(&mut self, item: usize) {
        let id = self.spec.items[item].id.clone();
        log::info!(
            job = self.header.job, item = id, age_ms = whole_millis(self.age()), limit_ms = self.header.limit_ms;
            "item_given_up"
        );
        self.ready.push(ItemResult { id, outcome: ItemOutcome::Abandoned, text: String::new(), versions: Vec::new() });
    }

    fn start_runs(&mut self) {
        if !self.plan.has_waiting() {
            return;
        }
        let view = self.context.view();
        let Some(services) = view.services.clone() else { return };
        let Some(route) = services.route_named(&self.header.route) else { return };
        let Some(service) = route.services.first().map(|weighted| weighted.service.as_str()) else { return };
        let hosts: Vec<&str> = view.live_members().map(|member| member.host.as_str()).collect();
        let idle = IdleConnections::new(self.context.pool.idle_addresses());
        let plan_context = PlacementContext {
            idle: &idle,
            view: &view,
            service,
            cold_rate: services.service(service).map_or(0.0, |rule| rule.cold_rate),
            host: &self.context.settings.host,
            domain: &self.context.settings.failure_domain,
            hosts: &hosts,
            now: boot_time(),
        };
        let limit = Duration::from_millis(self.header.limit_ms);
        let left = limit.saturating_sub(self.age()).max(Duration::from_millis(1));
        let plan = &mut self.plan;
        for start in self.context.with_loads(|loads| plan.next_starts(loads, &plan_context)) {
            self.counts.starts += 1;
            if start.is_first {
                self.counts.first_starts += 1;
                self.counts.all_started_at = plan_context.now;
            }
            let run = ItemRun {
                running: RunningRequest::counted(&self.context, &start.target.id, true),
                context: Arc::clone(&self.context),
                header: Arc::clone(&self.header),
                item: self.spec.items[start.item].clone(),
                target: start.target,
                deadline: left,
                is_single_version: self.is_single_version,
                progress: Arc::clone(&self.progress[start.item]),
            };
            self.runs.spawn(async move { (start.item, run.run().await) });
        }
    }

    async fn wait_event(&mut self) {
        let period = if self.plan.has_waiting() { LOOK_PERIOD } else { IDLE_LOOK };
        let period = if self.ready.is_empty() { period } else { period.min(APPEND_PERIOD) };
        let board = &self.context.board;
        tokio::select! {
            Some(ended) = self.runs.join_next(), if !self.runs.is_empty() => {
                if let Ok((item, end)) = ended {
                    self.record_run_end(item, end);
                }
                while let Some(ended) = self.runs.try_join_next() {
                    if let Ok((item, end)) = ended {
                        self.record_run_end(item, end);
                    }
                }
            }
            () = board.wait_change(period) => {}
        }
    }

    fn record_run_end(&mut self, item: usize, end: RunOutcome) {
        if !matches!(self.plan.state(item), ItemState::Running(_)) {
            return;
        }
        self.counts.note_end(end);
        let is_given_up = self.plan.record_run_end(item, end, boot_time());
        if is_given_up {
            self.give_up(item);
        } else if end == RunOutcome::Complete {
            let progress = self.progress[item].lock().unwrap_or_else(PoisonError::into_inner);
            self.ready.push(ItemResult {
                id: self.spec.items[item].id.clone(),
                outcome: ItemOutcome::Completed,
                text: progress.data.join("\n"),
                versions: progress.versions(),
            });
        }
    }

    /// Lists ended items; returns how the runner ends, when it does.
    async fn list_ready(&mut self) -> Option<RunnerEnd> {
        if self.header.is_closed() {
            return Some(RunnerEnd::Listed);
        }
        let now = boot_time();
        if self.context.is_stopping() && self.ready.is_empty() && self.context.must_release_jobs() {
            return self.release().await;
        }
        if self.ready.is_empty() || now < self.append_after {
            return None;
        }
        let append = plan_append(&self.header, &self.ready);
        let count = append.count;
        let items: Vec<usize> =
            self.ready[..count].iter().filter_map(|result| self.spec.position(&result.id)).collect();
        let mut header = JobHeader::clone(&self.header);
        header.listed += u32::try_from(count).unwrap_or(u32::MAX);
        header.listed_groups = self.plan.listed_groups(&items);
        for item in &items {
            header.listed_items.insert(*item);
        }
        match append_results(&self.context.store, &header, self.version, append).await {
            Ok(HeaderWrite::Written(version)) => {
                self.ready.drain(..count);
                for item in items {
                    self.plan.set_listed(item);
                }
                self.context.board.upsert_header(header.clone(), version, boot_time());
                self.header = Arc::new(header);
                self.version = version;
                self.append_after = now + APPEND_PERIOD;
                self.header.is_closed().then_some(RunnerEnd::Listed)
            }
            Ok(HeaderWrite::Changed(Some((header, version)))) => {
                self.context.board.upsert_header(header.clone(), version, boot_time());
                self.adopt_header(header, version).await
            }
            Ok(HeaderWrite::Changed(None)) => Some(RunnerEnd::OwnerChanged),
            Err(fault) => {
                log::warn!(
                    job = self.header.job, fault = fault.to_string(), ready = self.ready.len();
                    "job_append_failed"
                );
                self.append_after = now + STORE_RETRY;
                // The append may have taken effect; the header tells.
                self.resync().await
            }
        }
    }

    /// Saves the output of long items that still run, when it is due.
    async fn save_progress(&mut self) {
        let now = boot_time();
        if now < self.save_after || self.is_single_version {
            return;
        }
        self.save_after = now + SAVE_PERIOD;
        let mut parts = Vec::new();
        for item in 0..self.progress.len() {
            if matches!(self.plan.state(item), ItemState::Running(_) | ItemState::Waiting(_)) {
                let progress = self.progress[item].lock().unwrap_or_else(PoisonError::into_inner);
                parts.extend(self.saver.take_unsaved(item, &progress));
            }
        }
        if parts.is_empty() {
            return;
        }
        if let Err(fault) = save_parts(&self.context.store, &self.header.job, &mut self.saver, &parts).await {
            log::warn!(job = self.header.job, fault = fault.to_string(), parts = parts.len(); "job_save_failed");
            self.saver.put_back(&parts);
        }
    }

    async fn resync(&mut self) -> Option<RunnerEnd> {
        match read_header(&self.context.store, &self.header.job).await {
            Ok(Some((header, version))) => self.adopt_header(header, version).await,
            Ok(None) => Some(RunnerEnd::OwnerChanged),
            Err(_) => {
                self.append_after = boot_time() + STORE_RETRY;
                None
            }
        }
    }

    /// Gives the job up, so that another host takes it at once.
    async fn release(&mut self) -> Option<RunnerEnd> {
        self.save_after = BootTime::ZERO;
        self.save_progress().await;
        let mut header = JobHeader::clone(&self.header);
        header.owner.clear();
        match replace_header(&self.context.store, &header, self.version).await {
            Ok(HeaderWrite::Written(version)) => {
                self.context.board.upsert_header(header, version, boot_time());
                Some(RunnerEnd::Released)
            }
            // The host ends soon in any case, and the others notice.
            Ok(HeaderWrite::Changed(_)) | Err(_) => Some(RunnerEnd::Released),
        }
    }
}
