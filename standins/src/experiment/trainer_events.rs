//! Events of trainers in a run.

use std::time::Duration;

use camphorspring::policy::straggler_plan::{SampleProgress, choose_hedged_samples};

use crate::experiment::clients::{STEP_WINDOW, StepSample, TrainerState};
use crate::experiment::request_state::{RequestOwner, RequestPhase, RequestState, SimEvent};
use crate::experiment::simulation::Simulation;
use crate::experiment::user_workload::SCORING;

/// Time of a token that a sample is expected to need, for second copies.
const TOKEN_TIME: Duration = Duration::from_millis(16);

impl Simulation {
    /// A trainer starts its first samples, or ends a training while the next step is complete.
    pub(super) fn training_due(&mut self, trainer: usize) {
        if self.trainers[trainer].step == 0 {
            self.begin_step(trainer);
        } else if self.trainers[trainer].is_complete() {
            self.start_training(trainer);
        }
    }

    /// A sample has a complete result; the first one wins.
    pub(super) fn sample_done(&mut self, trainer: usize, step: u64, sample: usize, request: usize) {
        let state = &mut self.trainers[trainer];
        if state.step != step || state.samples[sample].progress.is_done {
            return;
        }
        state.samples[sample].progress.is_done = true;
        state.open -= 1;
        state.done += 1;
        let others: Vec<usize> =
            state.samples[sample].requests.iter().copied().filter(|other| *other != request).collect();
        for other in others {
            self.drop_request(other);
        }
        self.fill_window(trainer);
        let state = &self.trainers[trainer];
        if state.is_complete() && state.training_until.is_none_or(|until| until <= self.now) {
            self.start_training(trainer);
        }
    }

    /// Counts the idle time of trainers that wait at the end of the run.
    pub(super) fn end_trainers(&mut self) {
        for trainer in &self.trainers {
            if let Some(until) = trainer.training_until.filter(|until| *until < self.now) {
                self.counters.add_idle(until, self.now);
            }
        }
    }

    /// Starts second copies of samples that hold up the end of a step.
    pub(super) fn copy_stragglers(&mut self) {
        if !self.has_copies {
            return;
        }
        for trainer in 0..self.trainers.len() {
            let state = &self.trainers[trainer];
            if state.next < state.samples.len() {
                continue;
            }
            let mean = mean_length(state);
            let progress: Vec<SampleProgress> =
                state.samples.iter().map(|sample| self.run_progress(sample, mean)).collect();
            for sample in choose_hedged_samples(&progress, TOKEN_TIME, self.now) {
                let first = self.trainers[trainer].samples[sample].requests[0];
                if let RequestPhase::Running(engine) = self.requests[first].phase {
                    self.submit_sample(trainer, sample, vec![engine]);
                }
            }
        }
    }

    /// Progress of a sample whose run counts from its grant; waiting ones are not late.
    fn run_progress(&self, sample: &StepSample, mean: u32) -> SampleProgress {
        let first = sample.requests.first().map(|request| &self.requests[*request]);
        let running = first.filter(|state| matches!(state.phase, RequestPhase::Running(_)));
        let started_at = running.map_or(self.now, |state| state.granted_at);
        SampleProgress { expected_tokens: mean, started_at: Some(started_at), ..sample.progress }
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
        self.counters.staleness.push(now.saturating_sub(state.started_at).as_secs_f64());
        self.counters.step_starts[trainer].push(now.as_secs_f64());
        let until = now + state.spec.train_time;
        state.training_until = Some(until);
        self.plan(until, SimEvent::Training(trainer));
        self.begin_step(trainer);
    }

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

    fn submit_sample(&mut self, trainer: usize, sample: usize, excluded: Vec<usize>) {
        let state = &mut self.trainers[trainer];
        let is_copy = !excluded.is_empty();
        let firm_only = self.has_copies && (is_copy || state.is_at_end());
        let entry = &mut state.samples[sample];
        entry.progress.started_at = entry.progress.started_at.or(Some(self.now));
        entry.progress.copies += 1;
        let request = RequestState {
            owner: RequestOwner::Sample { trainer, step: state.step, sample },
            organisation: state.organisation,
            service: SCORING,
            tokens: entry.tokens,
            done: 0,
            prompt: entry.prompt.clone(),
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

/// Mean length of the samples that are done.
fn mean_length(trainer: &TrainerState) -> u32 {
    let done = trainer.samples.iter().filter(|sample| sample.progress.is_done).map(|sample| u64::from(sample.tokens));
    (done.sum::<u64>() / (trainer.done.max(1) as u64)) as u32
}
