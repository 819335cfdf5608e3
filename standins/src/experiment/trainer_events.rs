//! Handling of trainer events in a simulated run: steps, samples and hedged runs.

use std::time::Duration;

use camphorspring::policy::straggler_plan::{SampleProgress, choose_hedged_samples};

use crate::experiment::clients::{STEP_WINDOW, StepSample, TrainerState};
use crate::experiment::request_state::{RequestOwner, RequestPhase, RequestState, SimEvent};
use crate::experiment::simulation::Simulation;
use crate::experiment::user_workload::SCORING;

/// Expected duration of one token of a sample, by which late samples are chosen for hedged runs. It is the duration on
/// a scoring engine with all slots in use.
const EXPECTED_TOKEN_TIME: Duration = Duration::from_millis(16);

impl Simulation {
    /// Handles the timer of a trainer: starts the samples of its first step or, at the end of a training, the next
    /// training if the samples of its step are complete.
    pub(super) fn training_due(&mut self, trainer: usize) {
        if self.trainers[trainer].step == 0 {
            self.begin_step(trainer);
        } else if self.trainers[trainer].is_complete() {
            self.start_training(trainer);
        }
    }

    /// Records the result of a sample and cancels its other runs. A second result of the sample, or one of an earlier
    /// step, is ignored.
    pub(super) fn sample_done(&mut self, trainer: usize, step: u64, sample: usize, request: usize) {
        let state = &mut self.trainers[trainer];
        if state.step != step || state.samples[sample].progress.is_done {
            return;
        }
        state.samples[sample].progress.is_done = true;
        state.open -= 1;
        state.done += 1;
        let other_requests: Vec<usize> =
            state.samples[sample].requests.iter().copied().filter(|other| *other != request).collect();
        for other in other_requests {
            self.drop_request(other);
        }
        self.fill_window(trainer);
        let state = &self.trainers[trainer];
        if state.is_complete() && state.training_until.is_none_or(|until| until <= self.now) {
            self.start_training(trainer);
        }
    }

    /// Adds the idle time of the trainers that wait for a step when the run ends.
    pub(super) fn end_trainers(&mut self) {
        for trainer in &self.trainers {
            if let Some(until) = trainer.training_until.filter(|until| *until < self.now) {
                self.counters.add_idle(until, self.now);
            }
        }
    }

    /// Starts hedged runs of the samples that delay the end of a step, on another engine than their first run.
    pub(super) fn copy_stragglers(&mut self) {
        if !self.has_copies {
            return;
        }
        for trainer in 0..self.trainers.len() {
            let state = &self.trainers[trainer];
            if state.next < state.samples.len() {
                continue;
            }
            let mean_tokens = compute_mean_tokens(state);
            let progress: Vec<SampleProgress> =
                state.samples.iter().map(|sample| self.estimate_progress(sample, mean_tokens)).collect();
            for sample in choose_hedged_samples(&progress, EXPECTED_TOKEN_TIME, self.now) {
                let first_request = self.trainers[trainer].samples[sample].requests[0];
                if let RequestPhase::Running(engine) = self.requests[first_request].phase {
                    self.submit_sample(trainer, sample, vec![engine]);
                }
            }
        }
    }

    /// Progress of a sample for the choice of hedged runs. The run time counts from the time at which the first
    /// run got an engine. A sample whose first run waits counts as started now, so that it is not late.
    fn estimate_progress(&self, sample: &StepSample, mean_tokens: u32) -> SampleProgress {
        let first_run = sample.requests.first().map(|request| &self.requests[*request]);
        let running = first_run.filter(|state| matches!(state.phase, RequestPhase::Running(_)));
        let started_at = running.map_or(self.now, |state| state.granted_at);
        SampleProgress { expected_tokens: mean_tokens, started_at: Some(started_at), ..sample.progress }
    }

    fn begin_step(&mut self, trainer: usize) {
        self.trainers[trainer].begin_step(self.now, &mut self.random);
        self.fill_window(trainer);
    }

    fn start_training(&mut self, trainer: usize) {
        let now = self.now;
        let state = &mut self.trainers[trainer];
        if let Some(until) = state.training_until {
            self.counters.add_idle(until, now);
        }
        self.counters.staleness_seconds.push(now.saturating_sub(state.started_at).as_secs_f64());
        self.counters.step_starts[trainer].push(now.as_secs_f64());
        let until = now + state.spec.train_time;
        state.training_until = Some(until);
        self.plan(until, SimEvent::Training(trainer));
        self.begin_step(trainer);
    }

    /// Starts waiting samples of the step until [`STEP_WINDOW`] are open.
    fn fill_window(&mut self, trainer: usize) {
        while self.trainers[trainer].next < self.trainers[trainer].samples.len()
            && self.trainers[trainer].open < STEP_WINDOW
        {
            let sample = self.trainers[trainer].next;
            self.trainers[trainer].next += 1;
            self.trainers[trainer].open += 1;
            self.submit_sample(trainer, sample, Vec::new());
        }
    }

    /// Submits one run of a sample; `excluded` holds the engines that it may not use, and is only filled for a hedged
    /// run.
    fn submit_sample(&mut self, trainer: usize, sample: usize, excluded: Vec<usize>) {
        let state = &mut self.trainers[trainer];
        let is_hedged = !excluded.is_empty();
        let firm_only = self.has_copies && (is_hedged || state.is_at_end());
        let step_sample = &mut state.samples[sample];
        step_sample.progress.started_at = step_sample.progress.started_at.or(Some(self.now));
        step_sample.progress.copies += 1;
        let request = RequestState {
            owner: RequestOwner::Sample { trainer, step: state.step, sample },
            organisation: state.organisation,
            service: SCORING,
            tokens: step_sample.tokens,
            done: 0,
            prompt: step_sample.prompt.clone(),
            created_at: self.now,
            granted_at: self.now,
            first_token: Duration::ZERO,
            phase: RequestPhase::Waiting,
            tries: 0,
            firm_only,
            deadline: Some(state.started_at + state.spec.step_time),
            excluded,
        };
        let index = self.submit(request);
        self.trainers[trainer].samples[sample].requests.push(index);
    }
}

/// Mean number of tokens of the finished samples of a step; 0 if none has finished.
fn compute_mean_tokens(trainer: &TrainerState) -> u32 {
    let done = trainer.samples.iter().filter(|sample| sample.progress.is_done).map(|sample| u64::from(sample.tokens));
    (done.sum::<u64>() / (trainer.done.max(1) as u64)) as u32
}
