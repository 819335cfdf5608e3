//! Runs a shard that this host owns: starts runs of samples, collects their results, and writes batches.
//!
//! One thread executes the plan; each run and each batch write has a short-lived thread of its own, so that a slow
//! store does not delay samples. A host that loses the ownership cancels its runs; the store refuses its later writes,
//! because each write checks the version of the resource row.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};

use crate::generated::caller_messages::SampleRecord;
use crate::prelude::*;
use crate::samples::sample_worker::{SampleTask, SampleWorker};
use crate::samples::shard_context::{LoadedShard, ShardContext, load_shard};
use crate::samples::shard_plan::{BatchGroup, PlanAction, PlanLimits, SamplePosition, ShardPlan};
use crate::samples::shard_progress::{ShardOwnership, ShardProgress, WriteOutcome, write_batch};
use crate::samples::step_rows::StepShard;
use crate::samples::weight_version::present_version;

/// How the runner of a shard ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardOutcome {
    /// All groups are in the manifest.
    Complete,
    /// This host lost the ownership. Also when the runner gave up the shard because a batch could not be encoded, or
    /// because the thread for a batch write could not be started.
    Fenced,
    /// [`load_shard`] found no such step, shard, service or model.
    Missing,
    /// This host is stopping; no run is in progress and all finished groups are in the manifest. The caller releases
    /// the ownership.
    Released,
}

/// Message of a run's or a batch write's thread to the runner.
enum RunnerMessage {
    RunFinished {
        run_id: u64,
        result: Result<SampleRecord, ResultCode>,
    },
    /// End of a batch write; `None` when the ownership was lost or the batch could not be encoded.
    BatchWritten(Option<WrittenBatch>),
}

/// State of the store after all groups of a batch are in the manifest.
struct WrittenBatch {
    progress: ShardProgress,
    /// Present weight version of the service; `None` when it could not be read.
    present_version: Option<WeightVersion>,
}

/// A run in progress, kept so that it can be cancelled.
struct RunningTask {
    run_id: u64,
    sample_position: SamplePosition,
    cancelled: Arc<AtomicBool>,
}

/// Plan and state of one shard that this host runs.
struct ShardRunner<'a> {
    context: &'a ShardContext,
    worker: SampleWorker,
    shard: LoadedShard,
    plan: ShardPlan,
    progress: ShardProgress,
    /// Present weight version of the service, as last read.
    present_version: WeightVersion,
    tasks: Vec<RunningTask>,
    /// Whether a batch write is in progress; there is one at a time.
    is_writing: bool,
    is_fenced: bool,
    sender: SyncSender<RunnerMessage>,
    receiver: Receiver<RunnerMessage>,
}

/// Runs a shard until all groups of the shard are in the manifest, this host loses the ownership, or this host is
/// stopping and has no unwritten work.
#[must_use]
pub fn run_shard(context: &ShardContext, name: &StepShard) -> ShardOutcome {
    let Some(ownership) = context.ownership(name) else { return ShardOutcome::Fenced };
    let Some(shard) = retry_while_owned(context, &ownership, || load_shard(context, &ownership)) else {
        return ShardOutcome::Fenced;
    };
    let Some(shard) = shard else { return ShardOutcome::Missing };
    let Some(progress) = retry_while_owned(context, &ownership, || ShardProgress::read(&context.store, name)) else {
        return ShardOutcome::Fenced;
    };
    let service = shard.step.service.clone();
    let Some(present) = retry_while_owned(context, &ownership, || present_version(&context.store, &service)) else {
        return ShardOutcome::Fenced;
    };
    let mut runner = ShardRunner::new(context, shard, progress, present.version);
    let outcome = runner.run();
    runner.cancel_all_runs();
    log::info!(
        shard = name.resource().as_str(), epoch = ownership.epoch, end = format!("{outcome:?}").as_str(); "shard_ended"
    );
    outcome
}

/// Repeats a store call until it gives a result; `None` when the ownership is lost.
fn retry_while_owned<T, E>(
    context: &ShardContext,
    ownership: &ShardOwnership,
    call: impl Fn() -> Result<T, E>,
) -> Option<T> {
    while context.is_held(ownership) {
        if let Ok(result) = call() {
            return Some(result);
        }
        std::thread::sleep(context.limits.store_retry_delay);
    }
    None
}

impl<'a> ShardRunner<'a> {
    fn new(
        context: &'a ShardContext,
        shard: LoadedShard,
        progress: ShardProgress,
        present_version: WeightVersion,
    ) -> Self {
        let limits = context.limits;
        let flush_timeout = limits.min_flush_timeout.max(limits.flush_timeout_per_shard * shard.step.shards);
        let limits = PlanLimits { concurrency: limits.concurrency, flush_timeout };
        let plan = ShardPlan::new(shard.specs.clone(), &progress.written_groups, limits);
        // Each run and the one batch write send at most one message. The message of a run that was cancelled too late
        // may wait beside the message of a run that was started in its place, hence twice the number of concurrent
        // runs.
        let (sender, receiver) = sync_channel(limits.concurrency * 2 + 1);
        Self {
            context,
            worker: context.new_worker(&shard),
            shard,
            plan,
            progress,
            present_version,
            tasks: Vec::new(),
            is_writing: false,
            is_fenced: false,
            sender,
            receiver,
        }
    }

    fn run(&mut self) -> ShardOutcome {
        loop {
            if self.is_fenced || !self.context.is_held(&self.shard.ownership) {
                return ShardOutcome::Fenced;
            }
            if self.plan.is_complete() && !self.is_writing {
                return ShardOutcome::Complete;
            }
            let now = (self.context.clock)();
            let is_leaving = self.context.control.view().is_leaving;
            if is_leaving && !self.is_writing && !self.plan.has_unwritten_work() {
                return ShardOutcome::Released;
            }
            let actions = if is_leaving { Vec::new() } else { self.plan.start_runs(now) };
            for action in actions {
                self.apply_action(&action);
            }
            if !self.is_writing
                && let Some(batch) = self.plan.take_batch(now)
            {
                self.start_batch_write(batch);
            }
            match self.receiver.recv_timeout(self.context.limits.ownership_check_interval) {
                Ok(message) => self.handle_message(message),
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
            }
        }
    }

    fn handle_message(&mut self, message: RunnerMessage) {
        match message {
            RunnerMessage::RunFinished { run_id, result } => {
                self.tasks.retain(|task| task.run_id != run_id);
                for action in self.plan.handle_result(run_id, result, (self.context.clock)()) {
                    self.apply_action(&action);
                }
            }
            RunnerMessage::BatchWritten(Some(batch)) => {
                self.is_writing = false;
                self.plan.set_written_groups(&batch.progress.written_groups);
                self.progress = batch.progress;
                self.present_version = batch.present_version.unwrap_or(self.present_version);
            }
            RunnerMessage::BatchWritten(None) => self.is_fenced = true,
        }
    }

    fn apply_action(&mut self, action: &PlanAction) {
        match *action {
            PlanAction::Start { run_id, sample_position } => self.start_run(run_id, sample_position),
            PlanAction::Cancel { run_id } => {
                for task in self.tasks.iter().filter(|task| task.run_id == run_id) {
                    task.cancelled.store(true, Ordering::Relaxed);
                }
                self.tasks.retain(|task| task.run_id != run_id);
            }
        }
    }

    fn start_run(&mut self, run_id: u64, sample_position: SamplePosition) {
        let is_hedged = self.tasks.iter().any(|task| task.sample_position == sample_position);
        let task =
            self.shard.new_task(sample_position, run_id, is_hedged, self.present_version, (self.context.clock)());
        self.tasks.push(RunningTask { run_id, sample_position, cancelled: task.cancelled.clone() });
        let worker = self.worker.clone();
        let sender = self.sender.clone();
        let is_started = spawn_thread("sample", move || {
            let result = worker.produce(&task);
            let SampleTask { cancelled, .. } = task;
            if !cancelled.load(Ordering::Relaxed) {
                let _ = sender.send(RunnerMessage::RunFinished { run_id, result });
            }
        });
        if !is_started {
            self.handle_message(RunnerMessage::RunFinished { run_id, result: Err(ResultCode::HostBusy) });
        }
    }

    fn start_batch_write(&mut self, batch: Vec<BatchGroup>) {
        self.is_writing = true;
        let context = self.context.clone();
        let shard = self.shard.clone();
        let progress = self.progress.clone();
        let sender = self.sender.clone();
        let is_started = spawn_thread("batch", move || {
            let written_batch = write_with_retries(&context, &shard, progress, batch);
            let _ = sender.send(RunnerMessage::BatchWritten(written_batch));
        });
        // Without a thread the batch is lost. Giving up the shard lets an owner generate the groups again.
        self.is_fenced |= !is_started;
    }

    fn cancel_all_runs(&mut self) {
        for action in self.plan.cancel_all_runs() {
            self.apply_action(&action);
        }
    }
}

/// Repeats the write of a batch until all groups of the batch are in the manifest; `None` when the ownership is lost or
/// the batch cannot be encoded.
fn write_with_retries(
    context: &ShardContext,
    shard: &LoadedShard,
    mut progress: ShardProgress,
    mut batch: Vec<BatchGroup>,
) -> Option<WrittenBatch> {
    let ownership = &shard.ownership;
    while context.is_held(ownership) {
        match write_batch(&context.store, ownership, &progress, &batch, shard.specs.len()) {
            Ok(WriteOutcome::Written) => {
                progress.next_manifest_number += 1;
                progress.written_groups.extend(batch.iter().map(|group| group.group));
                progress.written_groups.sort_unstable();
                return Some(finish_write(context, shard, progress));
            }
            Ok(WriteOutcome::Changed) => {
                std::thread::sleep(context.limits.ownership_check_interval);
                progress =
                    retry_while_owned(context, ownership, || ShardProgress::read(&context.store, &ownership.name))?;
                // An earlier runner of the same epoch may have written these groups after this runner read the
                // progress.
                batch.retain(|group| progress.written_groups.binary_search(&group.group).is_err());
                if batch.is_empty() {
                    return Some(finish_write(context, shard, progress));
                }
            }
            Ok(WriteOutcome::NoResult) => std::thread::sleep(context.limits.store_retry_delay),
            Ok(WriteOutcome::Fenced) | Err(_) => return None,
        }
    }
    None
}

fn finish_write(context: &ShardContext, shard: &LoadedShard, progress: ShardProgress) -> WrittenBatch {
    let present = present_version(&context.store, &shard.step.service).ok();
    WrittenBatch { progress, present_version: present.map(|present| present.version) }
}

/// Starts a thread; returns whether it was started.
fn spawn_thread(name: &str, work: impl FnOnce() + Send + 'static) -> bool {
    std::thread::Builder::new().name(name.to_owned()).spawn(work).is_ok()
}
