//! Runs requests to plain services: permits, attempts, and retries of requests that may be repeated.

use crate::dispatch::{Permit, PermitCompletion, PermitRequirements};
use crate::generated::peer_messages::PermitOutcome;
use crate::prelude::*;
use crate::traffic::crash_quarantine::{SuspectTurn, fingerprint_of};
use crate::traffic::engine_runner::{RunStop, RunnerDependencies};
use crate::traffic::idle_transport::StopCheck;
use crate::traffic::plain_client::{PlainAnswer, PlainError, PlainRequest, send_plain};
use crate::traffic::quarantine::Fingerprint;
use crate::traffic::retry_policy::{ATTEMPT_LIMIT, AttemptPlace};
use crate::usage::UsageEvent;

/// One request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRun {
    /// Request id, written in every log line.
    pub request_id: RequestId,
    /// Organisation that is charged; empty on open routes.
    pub organisation: OrganisationId,
    /// Service.
    pub service: ServiceId,
    /// Longest time for one answer.
    pub answer_limit: Duration,
    /// Whether it may be sent to a target more than once.
    pub is_repeatable: bool,
    /// Request.
    pub request: PlainRequest,
}

/// How a run ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainEnd {
    /// Code for the caller.
    pub code: ResultCode,
    /// Whether a byte of the request may have reached a target.
    pub is_sent: bool,
}

/// Runs a request until there is an answer, or none can be had.
///
/// A request that may not be repeated is sent to another target only while no byte of it has left this host.
///
/// # Errors
///
/// No target answered, or `stop` ended the run.
pub fn run_plain(parts: &RunnerDependencies, run: &PlainRun, stop: &RunStop) -> Result<PlainAnswer, PlainEnd> {
    let mut session = PlainSession {
        parts,
        run,
        stop,
        fingerprint: fingerprint_of(&run.service, &[run.request.path_and_query.as_bytes(), &run.request.body]),
        attempts: 0,
        is_sent: false,
        excluded: Vec::new(),
        target_time: Duration::ZERO,
    };
    let result = session.run_attempts();
    session.charge(result.is_ok());
    result
}

struct PlainSession<'a> {
    parts: &'a RunnerDependencies,
    run: &'a PlainRun,
    stop: &'a RunStop,
    fingerprint: Fingerprint,
    attempts: u32,
    is_sent: bool,
    excluded: Vec<TargetId>,
    target_time: Duration,
}

impl PlainSession<'_> {
    fn run_attempts(&mut self) -> Result<PlainAnswer, PlainEnd> {
        // An answer that asks for a retry stands when no retry is possible.
        let mut fallback = Err(self.end(ResultCode::NoTarget));
        loop {
            let turn = match self.check_admission() {
                Ok(turn) => turn,
                Err(end) => return fallback.map_err(|_| end),
            };
            let permit = match self.next_permit() {
                Ok(permit) => permit,
                Err(end) => return fallback.map_err(|_| end),
            };
            let sent = self.send(permit);
            drop(turn);
            fallback = match sent {
                Ok(answer) if !self.should_repeat(&answer) => return Ok(answer),
                Ok(answer) => Ok(answer),
                Err(PlainError::Stopped) => return Err(self.stopped_end()),
                Err(fault) => Err(self.end(code_of(fault))),
            };
            if self.attempts >= ATTEMPT_LIMIT || (self.is_sent && !self.run.is_repeatable) {
                return fallback;
            }
            if let Err(end) = self.wait_before_retry() {
                return fallback.map_err(|_| end);
            }
        }
    }

    fn check_admission(&self) -> Result<Option<SuspectTurn>, PlainEnd> {
        self.check_stop()?;
        if let Err(code) = self.parts.crashes.check(&self.fingerprint) {
            // The code says "not run", which is true before the first attempt only.
            return Err(self.end(if self.is_sent { ResultCode::TargetFailed } else { code }));
        }
        Ok(self.parts.crashes.wait_turn(&self.fingerprint))
    }

    fn stopped_end(&self) -> PlainEnd {
        self.check_stop().err().unwrap_or_else(|| self.end(ResultCode::TargetFailed))
    }

    fn should_repeat(&self, answer: &PlainAnswer) -> bool {
        self.run.is_repeatable && matches!(answer.status, 502..=504)
    }

    fn end(&self, code: ResultCode) -> PlainEnd {
        let code = match code {
            ResultCode::TargetFailed | ResultCode::TargetTimeout if !self.is_sent => ResultCode::NoTarget,
            code => code,
        };
        PlainEnd { code, is_sent: self.is_sent }
    }

    fn check_stop(&self) -> Result<(), PlainEnd> {
        match (self.stop.check)() {
            None => Ok(()),
            Some(ResultCode::TargetTimeout) if self.attempts == 0 => Err(self.end(ResultCode::QueueTimeout)),
            Some(ResultCode::StreamWithdrawn) if !self.is_sent => Err(self.end(ResultCode::KeyWithdrawn)),
            Some(code) => Err(self.end(code)),
        }
    }

    fn next_permit(&mut self) -> Result<Permit, PlainEnd> {
        let mut permit = self.ask_permit();
        if matches!(permit, Err(ResultCode::NoTarget)) && !self.excluded.is_empty() {
            self.excluded.clear();
            permit = self.ask_permit();
        }
        let permit = permit.map_err(|code| self.end(if self.is_sent { ResultCode::TargetFailed } else { code }))?;
        let place = AttemptPlace { service: &self.run.service, failure_domain: &permit.target.failure_domain };
        if self.attempts == 0 {
            (self.parts.retries.note_first)(place);
        } else if !(self.parts.retries.may_retry)(place) {
            return Err(self.end(ResultCode::TargetFailed));
        }
        self.attempts += 1;
        Ok(permit)
    }

    fn ask_permit(&self) -> Result<Permit, ResultCode> {
        let now = (self.parts.clock)();
        (self.parts.permits)(&PermitRequirements {
            request_id: self.run.request_id.clone(),
            organisation: self.run.organisation.clone(),
            service: self.run.service.clone(),
            expected_tokens: 1,
            prefix_hashes: Vec::new(),
            firm_only: !self.run.is_repeatable,
            deadline: None,
            excluded_targets: self.excluded.clone(),
            least_version: None,
            wait: (self.stop.deadline)().saturating_sub(now),
        })
    }

    fn send(&mut self, permit: Permit) -> Result<PlainAnswer, PlainError> {
        let started_at = (self.parts.clock)();
        let (limit, check) = self.exchange_limits(started_at);
        self.parts.crashes.begin(&permit.target.id, &self.fingerprint);
        let result = send_plain(&permit.target.address, &self.run.request, limit, check);
        self.end_flight(&permit, &result);
        let total = (self.parts.clock)().saturating_sub(started_at);
        self.is_sent |= result != Err(PlainError::NotSent);
        let place = AttemptPlace { service: &self.run.service, failure_domain: &permit.target.failure_domain };
        (self.parts.retries.note_end)(place, matches!(result, Ok(_) | Err(PlainError::Stopped)));
        if let Err(fault) = &result {
            let target_id = permit.target.id.as_str();
            log::warn!(
                request_id = self.run.request_id.as_str(), target_id = target_id, fault = fault.name();
                "target_failed"
            );
        }
        self.excluded.push(permit.target.id.clone());
        permit.release(PermitCompletion { outcome: outcome_of(&result), tokens: 0, first_token: total, total });
        self.target_time += total;
        result
    }

    fn end_flight(&self, permit: &Permit, result: &Result<PlainAnswer, PlainError>) {
        let target = &permit.target;
        if matches!(result, Err(PlainError::NoAnswer)) {
            self.parts.crashes.crash(&target.id, &target.failure_domain, &self.fingerprint);
        } else {
            self.parts.crashes.end(&target.id, &self.fingerprint);
        }
    }

    /// A request that may not be repeated is not interrupted once it is sent: that would only make its outcome
    /// unknown.
    fn exchange_limits(&self, now: BootTime) -> (Duration, StopCheck) {
        if !self.run.is_repeatable {
            return (self.run.answer_limit, Arc::new(|| None));
        }
        let left = (self.stop.deadline)().saturating_sub(now).max(Duration::from_millis(1));
        (self.run.answer_limit.min(left), Arc::clone(&self.stop.check))
    }

    fn charge(&self, is_complete: bool) {
        if !self.is_sent {
            return;
        }
        (self.parts.usage)(UsageEvent {
            organisation: self.run.organisation.clone(),
            service: self.run.service.clone(),
            requests: u64::from(is_complete),
            tokens: 0,
            target_time: self.target_time,
        });
    }

    fn wait_before_retry(&self) -> Result<(), PlainEnd> {
        self.parts.wait_before_retry(self.attempts, &self.fingerprint, || self.check_stop())
    }
}

fn code_of(fault: PlainError) -> ResultCode {
    match fault {
        PlainError::NotSent | PlainError::NoAnswer | PlainError::TooLarge => ResultCode::TargetFailed,
        PlainError::Timeout => ResultCode::TargetTimeout,
        PlainError::Stopped => ResultCode::StreamWithdrawn,
    }
}

fn outcome_of(result: &Result<PlainAnswer, PlainError>) -> PermitOutcome {
    match result {
        Ok(_) => PermitOutcome::Finished,
        Err(PlainError::Stopped) => PermitOutcome::Cancelled,
        Err(PlainError::NoAnswer) => PermitOutcome::Crashed,
        Err(_) => PermitOutcome::Failed,
    }
}
