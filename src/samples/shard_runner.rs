//! Runs a shard that this host owns: starts copies, collects their results, and writes batches.
//!
//! One thread runs the plan; each copy and each batch write has its own short-lived thread, so that a slow store does
//! not delay samples. Whoever loses the claim stops at once: copies are cancelled, and writes are refused by the check
//! of the resource row.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};

use crate::generated::caller_messages::SampleRecord;
use crate::prelude::*;
use crate::samples::sample_worker::{SampleTask, SampleWorker};
use crate::samples::shard_plan::{BatchGroup, PlanAction, PlanLimits, SampleIndex, ShardPlan};
use crate::samples::shard_progress::{ShardClaim, ShardProgress, WriteOutcome, write_batch};
use crate::samples::shard_run::{LoadedShard, ShardContext, load_shard};
use crate::samples::step_rows::StepShard;
use crate::samples::weight_version::present_version;

/// How the run of a shard ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardEnd {
    /// All groups are in the manifest.
    Complete,
    /// This host does not own the shard any more.
    Fenced,
    /// The step or its service does not exist.
    Missing,
    /// This host is stopping; all samples that it had begun are in the manifest.
    Released,
}

enum RunnerMessage {
    Finished { copy: u64, result: Result<SampleRecord, ResultCode> },
    Settled(Option<SettledBatch>),
}

/// State of the store after a batch was settled.
struct SettledBatch {
    progress: ShardProgress,
    present: Option<WeightVersion>,
}

struct RunningJob {
    copy: u64,
    slot: SampleIndex,
    cancelled: Arc<AtomicBool>,
}

struct ShardRunner<'a> {
    context: &'a ShardContext,
    worker: SampleWorker,
    shard: LoadedShard,
    plan: ShardPlan,
    progress: ShardProgress,
    present: WeightVersion,
    jobs: Vec<RunningJob>,
    is_writing: bool,
    is_fenced: bool,
    messages: SyncSender<RunnerMessage>,
    inbox: Receiver<RunnerMessage>,
}

/// Runs a shard until all its groups are in the manifest or this host must not act any more.
#[must_use]
pub fn run_shard(context: &ShardContext, name: &StepShard) -> ShardEnd {
    let Some(claim) = context.claim(name) else { return ShardEnd::Fenced };
    let Some(shard) = retry_while_held(context, &claim, || load_shard(context, &claim)) else {
        return ShardEnd::Fenced;
    };
    let Some(shard) = shard else { return ShardEnd::Missing };
    let Some(progress) = retry_while_held(context, &claim, || ShardProgress::read(&context.store, name)) else {
        return ShardEnd::Fenced;
    };
    let service = shard.step.service.clone();
    let Some(present) = retry_while_held(context, &claim, || present_version(&context.store, &service)) else {
        return ShardEnd::Fenced;
    };
    let mut runner = ShardRunner::new(context, shard, progress, present.version);
    let end = runner.run();
    runner.cancel_all();
    log::info!(shard = name.resource().as_str(), epoch = claim.epoch, end = format!("{end:?}").as_str(); "shard_ended");
    end
}

/// Repeats a store call until it gives a result; `None` when the claim is lost.
fn retry_while_held<T, E>(context: &ShardContext, claim: &ShardClaim, call: impl Fn() -> Result<T, E>) -> Option<T> {
    while context.is_held(claim) {
        if let Ok(result) = call() {
            return Some(result);
        }
        std::thread::sleep(context.limits.store_pause);
    }
    None
}

impl<'a> ShardRunner<'a> {
    fn new(context: &'a ShardContext, shard: LoadedShard, progress: ShardProgress, present: WeightVersion) -> Self {
        let limits = context.limits;
        let flush_after = limits.least_flush.max(limits.flush_share * shard.step.shards);
        let limits = PlanLimits { concurrency: limits.concurrency, flush_after };
        let plan = ShardPlan::new(shard.specs.clone(), &progress.written, limits);
        // Each copy sends one message, and so does the one batch write in flight.
        let (messages, inbox) = sync_channel(limits.concurrency * 2 + 1);
        Self {
            context,
            worker: context.worker(&shard),
            shard,
            plan,
            progress,
            present,
            jobs: Vec::new(),
            is_writing: false,
            is_fenced: false,
            messages,
            inbox,
        }
    }

    fn run(&mut self) -> ShardEnd {
        loop {
            if self.is_fenced || !self.context.is_held(&self.shard.claim) {
                return ShardEnd::Fenced;
            }
            if self.plan.is_complete() && !self.is_writing {
                return ShardEnd::Complete;
            }
            let now = (self.context.clock)();
            let is_leaving = self.context.control.view().is_leaving;
            if is_leaving && !self.is_writing && !self.plan.has_unwritten_work() {
                return ShardEnd::Released;
            }
            let actions = if is_leaving { Vec::new() } else { self.plan.start_copies(now) };
            for action in actions {
                self.apply(&action);
            }
            if !self.is_writing
                && let Some(batch) = self.plan.take_batch(now)
            {
                self.start_write(batch);
            }
            match self.inbox.recv_timeout(self.context.limits.tick) {
                Ok(message) => self.take_message(message),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
            }
        }
    }

    fn take_message(&mut self, message: RunnerMessage) {
        match message {
            RunnerMessage::Finished { copy, result } => {
                self.jobs.retain(|job| job.copy != copy);
                for action in self.plan.take_result(copy, result, (self.context.clock)()) {
                    self.apply(&action);
                }
            }
            RunnerMessage::Settled(Some(settled)) => {
                self.is_writing = false;
                self.plan.set_written(&settled.progress.written);
                self.progress = settled.progress;
                self.present = settled.present.unwrap_or(self.present);
            }
            RunnerMessage::Settled(None) => self.is_fenced = true,
        }
    }

    fn apply(&mut self, action: &PlanAction) {
        match *action {
            PlanAction::Start { copy, slot } => self.start_copy(copy, slot),
            PlanAction::Cancel { copy } => {
                for job in self.jobs.iter().filter(|job| job.copy == copy) {
                    job.cancelled.store(true, Ordering::Relaxed);
                }
                self.jobs.retain(|job| job.copy != copy);
            }
        }
    }

    fn start_copy(&mut self, copy: u64, slot: SampleIndex) {
        let is_second = self.jobs.iter().any(|job| job.slot == slot);
        let job = self.shard.job(slot, copy, is_second, self.present, (self.context.clock)());
        self.jobs.push(RunningJob { copy, slot, cancelled: job.cancelled.clone() });
        let worker = self.worker.clone();
        let messages = self.messages.clone();
        let is_started = spawn("sample", move || {
            let result = worker.produce(&job);
            let SampleTask { cancelled, .. } = job;
            if !cancelled.load(Ordering::Relaxed) {
                let _ = messages.send(RunnerMessage::Finished { copy, result });
            }
        });
        if !is_started {
            self.take_message(RunnerMessage::Finished { copy, result: Err(ResultCode::HostBusy) });
        }
    }

    fn start_write(&mut self, batch: Vec<BatchGroup>) {
        self.is_writing = true;
        let context = self.context.clone();
        let shard = self.shard.clone();
        let progress = self.progress.clone();
        let messages = self.messages.clone();
        let is_started = spawn("batch", move || {
            let settled = settle_batch(&context, &shard, progress, batch);
            let _ = messages.send(RunnerMessage::Settled(settled));
        });
        // Without a thread the batch is lost; giving the shard up lets its groups be generated again.
        self.is_fenced |= !is_started;
    }

    fn cancel_all(&mut self) {
        for action in self.plan.cancel_all() {
            self.apply(&action);
        }
    }
}

/// Repeats the write of a batch until it is in the manifest; `None` when the claim is lost.
fn settle_batch(
    context: &ShardContext,
    shard: &LoadedShard,
    mut progress: ShardProgress,
    mut batch: Vec<BatchGroup>,
) -> Option<SettledBatch> {
    let claim = &shard.claim;
    while context.is_held(claim) {
        match write_batch(&context.store, claim, &progress, &batch, shard.specs.len()) {
            Ok(WriteOutcome::Written) => {
                progress.next_number += 1;
                progress.written.extend(batch.iter().map(|group| group.group));
                progress.written.sort_unstable();
                return Some(settled(context, shard, progress));
            }
            Ok(WriteOutcome::Changed) => {
                std::thread::sleep(context.limits.tick);
                progress = retry_while_held(context, claim, || ShardProgress::read(&context.store, &claim.name))?;
                // An earlier run under the same epoch may have written these groups after this run had read.
                batch.retain(|group| progress.written.binary_search(&group.group).is_err());
                if batch.is_empty() {
                    return Some(settled(context, shard, progress));
                }
            }
            Ok(WriteOutcome::NoAnswer) => std::thread::sleep(context.limits.store_pause),
            Ok(WriteOutcome::Fenced) | Err(_) => return None,
        }
    }
    None
}

fn settled(context: &ShardContext, shard: &LoadedShard, progress: ShardProgress) -> SettledBatch {
    let present = present_version(&context.store, &shard.step.service).ok();
    SettledBatch { progress, present: present.map(|present| present.version) }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> bool {
    std::thread::Builder::new().name(name.to_owned()).spawn(work).is_ok()
}
