//! Runs requests to plain services: acquires a permit for each attempt and retries on other targets. A request that may
//! not be repeated is retried only while no byte of it has left this host.

use crate::dispatch::{Permit, PermitCompletion, PermitRequirements};
use crate::generated::peer_messages::PermitOutcome;
use crate::prelude::*;
use crate::traffic::crash_quarantine::{SuspectTurn, fingerprint_of};
use crate::traffic::engine_runner::{RunStop, RunnerDependencies};
use crate::traffic::idle_transport::StopCheck;
use crate::traffic::plain_client::{PlainAnswer, PlainError, PlainRequest, send_plain};
use crate::traffic::quarantine::Fingerprint;
use crate::traffic::retry_policy::{ATTEMPT_LIMIT, AttemptScope};
use crate::usage::UsageEvent;

/// One request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRun {
    /// Identifier of the run in log lines and permit requests.
    pub request_id: RequestId,
    /// Organisation that is charged; empty on open routes, which need no key.
    pub organisation: OrganisationId,
    /// Plain service whose targets may be used.
    pub service: ServiceId,
    /// Timeout of one attempt.
    pub answer_limit: Duration,
    /// Whether the request may be sent more than once. If not, only firm targets are used, and an attempt is not
    /// interrupted by the stop condition.
    pub is_repeatable: bool,
    /// Request to send, without the caller's credentials.
    pub request: PlainRequest,
}

/// How a run ended without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainEnd {
    /// Code returned to the caller.
    pub code: ResultCode,
    /// Whether a byte of the request may have reached a target.
    pub is_sent: bool,
}

/// Runs a request until a target responds or no further attempt is possible.
///
/// A response with status 502, 503 or 504 to a repeatable request leads to a retry. If no further attempt can be made,
/// that response is returned.
///
/// # Errors
///
/// - The code of `stop` if it ended the run. Before the first attempt, [`ResultCode::TargetTimeout`] becomes
///   [`ResultCode::QueueTimeout`]. While nothing was sent, [`ResultCode::StreamWithdrawn`] becomes
///   [`ResultCode::KeyWithdrawn`].
/// - [`ResultCode::Quarantined`], or the code of the permit acquirer, while nothing was sent.
/// - [`ResultCode::TargetTimeout`] if the last attempt took too long.
/// - [`ResultCode::TargetFailed`] if the last attempt failed otherwise or no further attempt is allowed.
///
/// While nothing was sent, every other [`ResultCode::TargetTimeout`] and [`ResultCode::TargetFailed`] becomes
/// [`ResultCode::NoTarget`].
pub fn run_plain(dependencies: &RunnerDependencies, run: &PlainRun, stop: &RunStop) -> Result<PlainAnswer, PlainEnd> {
    let mut execution = PlainExecution {
        dependencies,
        run,
        stop,
        fingerprint: fingerprint_of(&run.service, &[run.request.path_and_query.as_bytes(), &run.request.body]),
        attempts: 0,
        is_sent: false,
        excluded_targets: Vec::new(),
        target_time: Duration::ZERO,
    };
    let result = execution.run_attempts();
    execution.record_usage(result.is_ok());
    result
}

/// State of one run over all attempts.
struct PlainExecution<'a> {
    dependencies: &'a RunnerDependencies,
    run: &'a PlainRun,
    stop: &'a RunStop,
    fingerprint: Fingerprint,
    /// Number of attempts started so far.
    attempts: u32,
    /// Whether a byte of the request may have reached a target in any attempt.
    is_sent: bool,
    /// Targets of earlier attempts; cleared when no other target is available.
    excluded_targets: Vec<TargetId>,
    /// Total duration of the attempts.
    target_time: Duration,
}

impl PlainExecution<'_> {
    fn run_attempts(&mut self) -> Result<PlainAnswer, PlainEnd> {
        // Result of the last attempt. A response is returned if the run ends before the next attempt; an error gives
        // way to the code with which the run then ends.
        let mut fallback = Err(self.build_end(ResultCode::NoTarget));
        loop {
            let suspect_turn = match self.wait_for_admission() {
                Ok(turn) => turn,
                Err(end) => return fallback.map_err(|_| end),
            };
            let permit = match self.acquire_attempt_permit() {
                Ok(permit) => permit,
                Err(end) => return fallback.map_err(|_| end),
            };
            let result = self.run_attempt(permit);
            drop(suspect_turn);
            fallback = match result {
                Ok(answer) if !self.should_retry(&answer) => return Ok(answer),
                Ok(answer) => Ok(answer),
                Err(PlainError::Stopped) => return Err(self.build_stopped_end()),
                Err(error) => Err(self.build_end(result_code(error))),
            };
            if self.attempts >= ATTEMPT_LIMIT || (self.is_sent && !self.run.is_repeatable) {
                return fallback;
            }
            if let Err(end) = self.wait_before_retry() {
                return fallback.map_err(|_| end);
            }
        }
    }

    /// Checks the stop condition and the quarantine, then waits for the turn of a request that is suspected of crashing
    /// targets. `None` lets the request run without a turn, because it needs none or the wait took too long.
    fn wait_for_admission(&self) -> Result<Option<SuspectTurn>, PlainEnd> {
        self.check_stop()?;
        if let Err(code) = self.dependencies.crashes.check(&self.fingerprint) {
            // The code `Quarantined` tells the caller that no target ran the request, which is true only while nothing
            // was sent.
            return Err(self.build_end(if self.is_sent { ResultCode::TargetFailed } else { code }));
        }
        Ok(self.dependencies.crashes.wait_turn(&self.fingerprint))
    }

    fn build_stopped_end(&self) -> PlainEnd {
        self.check_stop().err().unwrap_or_else(|| self.build_end(ResultCode::TargetFailed))
    }

    fn should_retry(&self, answer: &PlainAnswer) -> bool {
        self.run.is_repeatable && matches!(answer.status, 502..=504)
    }

    /// Replaces the codes of a failed target by [`ResultCode::NoTarget`] while nothing was sent, because they say that
    /// the request may have run.
    fn build_end(&self, code: ResultCode) -> PlainEnd {
        let code = match code {
            ResultCode::TargetFailed | ResultCode::TargetTimeout if !self.is_sent => ResultCode::NoTarget,
            code => code,
        };
        PlainEnd { code, is_sent: self.is_sent }
    }

    fn check_stop(&self) -> Result<(), PlainEnd> {
        match (self.stop.check)() {
            None => Ok(()),
            Some(ResultCode::TargetTimeout) if self.attempts == 0 => Err(self.build_end(ResultCode::QueueTimeout)),
            Some(ResultCode::StreamWithdrawn) if !self.is_sent => Err(self.build_end(ResultCode::KeyWithdrawn)),
            Some(code) => Err(self.build_end(code)),
        }
    }

    /// Acquires the permit of the next attempt and counts the attempt in the retry budget.
    fn acquire_attempt_permit(&mut self) -> Result<Permit, PlainEnd> {
        let mut permit = self.acquire_permit();
        if matches!(permit, Err(ResultCode::NoTarget)) && !self.excluded_targets.is_empty() {
            self.excluded_targets.clear();
            permit = self.acquire_permit();
        }
        let permit =
            permit.map_err(|code| self.build_end(if self.is_sent { ResultCode::TargetFailed } else { code }))?;
        let place = AttemptScope { service: &self.run.service, failure_domain: &permit.target.failure_domain };
        if self.attempts == 0 {
            (self.dependencies.retries.record_first_attempt)(place);
        } else if !(self.dependencies.retries.try_retry)(place) {
            return Err(self.build_end(ResultCode::TargetFailed));
        }
        self.attempts += 1;
        Ok(permit)
    }

    fn acquire_permit(&self) -> Result<Permit, ResultCode> {
        let now = (self.dependencies.clock)();
        (self.dependencies.permits)(&PermitRequirements {
            request_id: self.run.request_id.clone(),
            organisation: self.run.organisation.clone(),
            service: self.run.service.clone(),
            expected_tokens: 1,
            prefix_hashes: Vec::new(),
            firm_only: !self.run.is_repeatable,
            deadline: None,
            excluded_targets: self.excluded_targets.clone(),
            least_version: None,
            wait: (self.stop.deadline)().saturating_sub(now),
        })
    }

    fn run_attempt(&mut self, permit: Permit) -> Result<PlainAnswer, PlainError> {
        let started_at = (self.dependencies.clock)();
        let (timeout, stop_check) = self.attempt_limits(started_at);
        self.dependencies.crashes.begin(&permit.target.id, &self.fingerprint);
        let result = send_plain(&permit.target.address, &self.run.request, timeout, stop_check);
        self.report_to_quarantine(&permit, &result);
        let total = (self.dependencies.clock)().saturating_sub(started_at);
        self.is_sent |= result != Err(PlainError::NotSent);
        let place = AttemptScope { service: &self.run.service, failure_domain: &permit.target.failure_domain };
        (self.dependencies.retries.record_attempt_end)(place, matches!(result, Ok(_) | Err(PlainError::Stopped)));
        if let Err(error) = &result {
            let target_id = permit.target.id.as_str();
            log::warn!(
                request_id = self.run.request_id.as_str(), target_id = target_id, fault = error.name();
                "target_failed"
            );
        }
        self.excluded_targets.push(permit.target.id.clone());
        permit.release(PermitCompletion { outcome: permit_outcome(&result), tokens: 0, first_token: total, total });
        self.target_time += total;
        result
    }

    /// Tells the quarantine whether the attempt crashed the target. A connection that ended without a whole response is
    /// taken for a crash.
    fn report_to_quarantine(&self, permit: &Permit, result: &Result<PlainAnswer, PlainError>) {
        let target = &permit.target;
        if matches!(result, Err(PlainError::NoAnswer)) {
            self.dependencies.crashes.crash(&target.id, &target.failure_domain, &self.fingerprint);
        } else {
            self.dependencies.crashes.end(&target.id, &self.fingerprint);
        }
    }

    /// Returns the timeout and the stop check of an attempt. A request that may not be repeated is not interrupted,
    /// because an interruption would only make the outcome unknown.
    fn attempt_limits(&self, now: BootTime) -> (Duration, StopCheck) {
        if !self.run.is_repeatable {
            return (self.run.answer_limit, Arc::new(|| None));
        }
        let remaining = (self.stop.deadline)().saturating_sub(now).max(Duration::from_millis(1));
        (self.run.answer_limit.min(remaining), Arc::clone(&self.stop.check))
    }

    fn record_usage(&self, is_complete: bool) {
        if !self.is_sent {
            return;
        }
        (self.dependencies.usage)(UsageEvent {
            organisation: self.run.organisation.clone(),
            service: self.run.service.clone(),
            requests: u64::from(is_complete),
            tokens: 0,
            target_time: self.target_time,
        });
    }

    fn wait_before_retry(&self) -> Result<(), PlainEnd> {
        let settle_time = self.dependencies.crashes.settle_time(&self.fingerprint);
        self.dependencies.wait_before_retry(self.attempts, settle_time, || self.check_stop())
    }
}

fn result_code(error: PlainError) -> ResultCode {
    match error {
        PlainError::NotSent | PlainError::NoAnswer | PlainError::TooLarge => ResultCode::TargetFailed,
        PlainError::Timeout => ResultCode::TargetTimeout,
        PlainError::Stopped => ResultCode::StreamWithdrawn,
    }
}

fn permit_outcome(result: &Result<PlainAnswer, PlainError>) -> PermitOutcome {
    match result {
        Ok(_) => PermitOutcome::Finished,
        Err(PlainError::Stopped) => PermitOutcome::Cancelled,
        Err(PlainError::NoAnswer) => PermitOutcome::Crashed,
        Err(_) => PermitOutcome::Failed,
    }
}
