//! Runs completions on engines, with retries and resumption on other targets.

use crate::control::ControlView;
use crate::dispatch::{Permit, PermitAcquirer, PermitCompletion, PermitRequirements};
use crate::generated::engine_messages::{EnginePiece, EngineRequest};
use crate::generated::peer_messages::PermitOutcome;
use crate::policy::prompt_prefix::prompt_prefixes;
use crate::prelude::*;
use crate::traffic::crash_quarantine::{CrashQuarantine, fingerprint_of};
use crate::traffic::engine_client::{EngineError, cancel_request, export_cache, import_cache, open_stream};
use crate::traffic::idle_transport::StopCheck;
use crate::traffic::quarantine::Fingerprint;
use crate::traffic::retry_policy::{ATTEMPT_LIMIT, AttemptPlace, RetryPolicy};
use crate::traffic::text_assembly::{PieceVerdict, TextAssembly};
use crate::traffic::{EngineResult, EngineRun, EngineRunner, PieceSink};
use crate::usage::{UsageEvent, UsageSink};

/// Longest sleep between two looks at whether a waiting run shall stop.
const WAIT_SLICE: Duration = Duration::from_millis(100);

/// Function that gives the present control view.
pub type ViewSource = Arc<dyn Fn() -> Arc<ControlView> + Send + Sync>;

/// Function that gives the time at which a run must end; it may move while the run goes on.
pub type DeadlineSource = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// What engine runs need from the rest of the host.
#[derive(Clone)]
pub struct RunnerDependencies {
    /// Grants targets.
    pub permits: PermitAcquirer,
    /// Control view.
    pub view: ViewSource,
    /// Takes the usage of each run.
    pub usage: UsageSink,
    /// Retry budget.
    pub retries: RetryPolicy,
    /// Clock.
    pub clock: TimeSource,
    /// Requests that crash targets.
    pub crashes: Arc<CrashQuarantine>,
}

impl RunnerDependencies {
    /// Sleeps until the next attempt may start, in slices, so that a failed check ends the wait.
    pub(super) fn wait_before_retry<E>(
        &self,
        attempts: u32,
        fingerprint: &Fingerprint,
        check_stop: impl Fn() -> Result<(), E>,
    ) -> Result<(), E> {
        let delay = self.retries.delay(attempts).max(self.crashes.settle_time(fingerprint));
        let until = (self.clock)() + delay;
        loop {
            check_stop()?;
            let left = until.saturating_sub((self.clock)());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(WAIT_SLICE));
        }
    }
}

/// Builds a runner that ends a run at its deadline and when its key is withdrawn.
#[must_use]
pub fn engine_runner(parts: RunnerDependencies) -> EngineRunner {
    Arc::new(move |run, sink| {
        let deadline = run.deadline;
        run_completion(&parts, run, &run_stop(&parts, run.key_id.clone(), Arc::new(move || deadline)), sink)
    })
}

/// When a run must end before its last piece.
#[derive(Clone)]
pub struct RunStop {
    /// Time limit of the run.
    pub deadline: DeadlineSource,
    /// Whether the run shall end now, and with which code.
    pub check: StopCheck,
}

/// Stop of a run at its deadline or when its key is withdrawn.
#[must_use]
pub fn run_stop(parts: &RunnerDependencies, key_id: Option<KeyId>, deadline: DeadlineSource) -> RunStop {
    let (view, clock) = (Arc::clone(&parts.view), Arc::clone(&parts.clock));
    let limit = Arc::clone(&deadline);
    let check = move || {
        if key_id.as_ref().is_some_and(|key_id| view().is_withdrawn(key_id)) {
            return Some(ResultCode::StreamWithdrawn);
        }
        (clock() >= limit()).then_some(ResultCode::TargetTimeout)
    };
    RunStop { deadline, check: Arc::new(check) }
}

/// Runs one completion until it is complete, refused or stopped.
///
/// # Errors
///
/// No target could complete it, or `stop` ended it.
pub fn run_completion(
    parts: &RunnerDependencies,
    run: &EngineRun,
    stop: &RunStop,
    sink: PieceSink<'_>,
) -> Result<EngineResult, ResultCode> {
    let mut session = RunSession::new(parts, run, stop);
    let result = session.run_attempts(sink);
    session.charge(result.is_ok());
    result
}

/// How an attempt ended without completing the run.
enum AttemptEnd {
    /// The sink wants no more.
    SinkClosed,
    /// The stop check fired.
    Stopped,
    /// The target failed.
    Failed(EngineError),
}

/// A target that failed and may still hold the KV cache of the run.
struct FailedTarget {
    address: String,
    /// Whether the process may still run; a connection that broke means that it crashed.
    may_export: bool,
}

struct RunSession<'a> {
    parts: &'a RunnerDependencies,
    run: &'a EngineRun,
    stop: &'a RunStop,
    assembly: TextAssembly,
    fingerprint: Fingerprint,
    prefixes: Vec<u64>,
    attempts: u32,
    excluded: Vec<TargetId>,
    last_failed: Option<FailedTarget>,
    target_time: Duration,
}

impl<'a> RunSession<'a> {
    fn new(parts: &'a RunnerDependencies, run: &'a EngineRun, stop: &'a RunStop) -> Self {
        Self {
            parts,
            run,
            stop,
            assembly: TextAssembly::new(&run.request_id, run.max_tokens, run.least_version),
            fingerprint: run_fingerprint(run),
            prefixes: prompt_prefixes(&run.prompt),
            attempts: 0,
            excluded: Vec::new(),
            last_failed: None,
            target_time: Duration::ZERO,
        }
    }

    fn run_attempts(&mut self, sink: PieceSink<'_>) -> Result<EngineResult, ResultCode> {
        loop {
            self.check_stop()?;
            // The code says "not run", which is true before the first attempt only.
            let verdict = self.parts.crashes.check(&self.fingerprint);
            verdict.map_err(|code| if self.attempts == 0 { code } else { ResultCode::TargetFailed })?;
            let _turn = self.parts.crashes.wait_turn(&self.fingerprint);
            let permit = self.next_permit()?;
            match self.run_attempt(permit, sink) {
                Ok(()) => return Ok(self.result("stop")),
                Err(AttemptEnd::SinkClosed) => return Ok(self.result("cancelled")),
                Err(AttemptEnd::Stopped) => {
                    self.check_stop()?;
                    return Err(ResultCode::TargetFailed);
                }
                Err(AttemptEnd::Failed(EngineError::Refused(400 | 413 | 422))) if self.assembly.tokens() == 0 => {
                    return Err(ResultCode::BadRequest);
                }
                Err(AttemptEnd::Failed(_)) => {
                    if self.assembly.finish_at_length() {
                        return Ok(self.result("length"));
                    }
                    if self.attempts >= ATTEMPT_LIMIT {
                        return Err(ResultCode::TargetFailed);
                    }
                    self.wait_before_retry()?;
                }
            }
        }
    }

    fn result(&self, default_reason: &str) -> EngineResult {
        EngineResult {
            text: self.assembly.text().to_owned(),
            tokens: self.assembly.tokens(),
            finish_reason: self.assembly.finish_reason().unwrap_or(default_reason).to_owned(),
            weight_versions: self.assembly.spans().to_vec(),
        }
    }

    /// A code that says truthfully whether a target may have run the request.
    fn check_stop(&self) -> Result<(), ResultCode> {
        match (self.stop.check)() {
            None => Ok(()),
            Some(ResultCode::TargetTimeout) if self.attempts == 0 => Err(ResultCode::QueueTimeout),
            Some(ResultCode::StreamWithdrawn) if self.attempts == 0 => Err(ResultCode::KeyWithdrawn),
            Some(code) => Err(code),
        }
    }

    fn next_permit(&mut self) -> Result<Permit, ResultCode> {
        let permit = match self.ask_permit() {
            // The failed targets may be all that there are; a restarted one is better than none.
            Err(ResultCode::NoTarget) if !self.excluded.is_empty() => {
                self.excluded.clear();
                self.ask_permit()
            }
            other => other,
        };
        let permit = permit.map_err(|code| if self.attempts == 0 { code } else { ResultCode::TargetFailed })?;
        let place = place_of(self.run, &permit);
        if self.attempts == 0 {
            (self.parts.retries.note_first)(place);
        } else if !(self.parts.retries.may_retry)(place) {
            log::info!(request_id = self.run.request_id.as_str(), service = place.service; "retry_refused_by_budget");
            return Err(ResultCode::TargetFailed);
        }
        self.attempts += 1;
        Ok(permit)
    }

    fn ask_permit(&self) -> Result<Permit, ResultCode> {
        loop {
            let deadline = (self.stop.deadline)();
            let result = (self.parts.permits)(&PermitRequirements {
                request_id: self.run.request_id.clone(),
                organisation: self.run.organisation.clone(),
                service: self.run.service.clone(),
                expected_tokens: self.run.max_tokens - self.assembly.tokens(),
                prefix_hashes: self.prefixes.clone(),
                firm_only: self.run.firm_only,
                deadline: self.run.is_step.then_some(self.run.deadline),
                excluded_targets: self.excluded.clone(),
                least_version: self.run.least_version,
                wait: deadline.saturating_sub((self.parts.clock)()),
            });
            // A reader that joined in the meantime may have moved the deadline.
            let is_moved = (self.stop.deadline)() > deadline;
            if is_moved && matches!(result, Err(ResultCode::QueueTimeout)) {
                continue;
            }
            return result;
        }
    }

    fn run_attempt(&mut self, permit: Permit, sink: PieceSink<'_>) -> Result<(), AttemptEnd> {
        let started_at = (self.parts.clock)();
        let tokens_before = self.assembly.tokens();
        let mut first_token_at = None;
        self.parts.crashes.begin(&permit.target.id, &self.fingerprint);
        let ended = self.read_stream(&permit, sink, &mut first_token_at);
        self.end_flight(&permit, &ended);
        let ended_at = (self.parts.clock)();
        let total = ended_at.saturating_sub(started_at);
        self.target_time += total;
        if let Err(AttemptEnd::SinkClosed | AttemptEnd::Stopped) = &ended {
            cancel_request(&permit.target.address, &self.run.request_id);
        }
        let is_failed = matches!(ended, Err(AttemptEnd::Failed(_)));
        (self.parts.retries.note_end)(place_of(self.run, &permit), !is_failed);
        if let Err(AttemptEnd::Failed(fault)) = &ended {
            self.note_failure(&permit, *fault);
        }
        permit.release(PermitCompletion {
            outcome: outcome_of(&ended),
            tokens: self.assembly.tokens() - tokens_before,
            first_token: first_token_at.unwrap_or(ended_at).saturating_sub(started_at),
            total,
        });
        ended
    }

    fn end_flight(&self, permit: &Permit, ended: &Result<(), AttemptEnd>) {
        let target = &permit.target;
        match ended {
            Err(AttemptEnd::Failed(EngineError::Broken)) => {
                self.parts.crashes.crash(&target.id, &target.failure_domain, &self.fingerprint);
            }
            _ => self.parts.crashes.end(&target.id, &self.fingerprint),
        }
    }

    fn note_failure(&mut self, permit: &Permit, fault: EngineError) {
        let target = &permit.target;
        log::warn!(
            request_id = self.run.request_id.as_str(), target_id = target.id.as_str(), fault = fault.name(),
            tokens = self.assembly.tokens(), attempt = self.attempts;
            "target_failed"
        );
        self.excluded.push(target.id.clone());
        let may_export = !matches!(fault, EngineError::NotSent | EngineError::Broken);
        self.last_failed = Some(FailedTarget { address: target.address.clone(), may_export });
    }

    fn read_stream(
        &mut self,
        permit: &Permit,
        sink: PieceSink<'_>,
        first_token_at: &mut Option<BootTime>,
    ) -> Result<(), AttemptEnd> {
        let address = permit.target.address.as_str();
        let request = self.engine_request(address);
        let stream = open_stream(address, &request, Arc::clone(&self.stop.check));
        let mut stream = stream.map_err(attempt_end)?;
        loop {
            if (self.stop.check)().is_some() {
                return Err(AttemptEnd::Stopped);
            }
            let piece = match stream.next_piece() {
                Ok(Some(piece)) => piece,
                Ok(None) => return Err(AttemptEnd::Failed(EngineError::Broken)),
                Err(fault) => return Err(attempt_end(fault)),
            };
            first_token_at.get_or_insert_with(|| (self.parts.clock)());
            if !self.take_piece(piece, sink)? {
                return Err(AttemptEnd::SinkClosed);
            }
            if self.assembly.finish_reason().is_some() {
                return Ok(());
            }
        }
    }

    /// Returns whether the sink wants more.
    fn take_piece(&mut self, piece: EnginePiece, sink: PieceSink<'_>) -> Result<bool, AttemptEnd> {
        match self.assembly.accept(piece) {
            Ok(PieceVerdict::New(piece)) => Ok(sink(&piece)),
            Ok(PieceVerdict::Seen) => Ok(true),
            Err(fault) => {
                let reason = format!("{fault:?}");
                log::warn!(request_id = self.run.request_id.as_str(), reason = reason.as_str(); "piece_refused");
                Err(AttemptEnd::Failed(EngineError::Malformed))
            }
        }
    }

    fn engine_request(&mut self, address: &str) -> EngineRequest {
        let kv_handle = self.last_failed.take().filter(|failed| failed.may_export).and_then(|failed| {
            let exported = export_cache(&failed.address, &self.run.request_id)?;
            Some(import_cache(address, &exported)?.kv_handle)
        });
        EngineRequest {
            request_id: self.run.request_id.clone(),
            model: self.run.model.clone(),
            prompt: self.run.prompt.clone(),
            max_tokens: self.run.max_tokens,
            seed: self.run.seed,
            resume_text: self.assembly.text().to_owned(),
            resume_tokens: self.assembly.tokens(),
            kv_handle,
        }
    }

    fn wait_before_retry(&self) -> Result<(), ResultCode> {
        self.parts.wait_before_retry(self.attempts, &self.fingerprint, || self.check_stop())
    }

    fn charge(&self, is_complete: bool) {
        if self.attempts == 0 {
            return;
        }
        (self.parts.usage)(UsageEvent {
            organisation: self.run.organisation.clone(),
            service: self.run.service.clone(),
            requests: u64::from(is_complete),
            tokens: u64::from(self.assembly.tokens()),
            target_time: self.target_time,
        });
    }
}

fn run_fingerprint(run: &EngineRun) -> Fingerprint {
    let (max_tokens, seed) = (run.max_tokens.to_be_bytes(), run.seed.to_be_bytes());
    fingerprint_of(&run.service, &[run.model.as_bytes(), run.prompt.as_bytes(), &max_tokens, &seed])
}

fn place_of<'p>(run: &'p EngineRun, permit: &'p Permit) -> AttemptPlace<'p> {
    AttemptPlace { service: &run.service, failure_domain: &permit.target.failure_domain }
}

fn attempt_end(fault: EngineError) -> AttemptEnd {
    match fault {
        EngineError::Stopped => AttemptEnd::Stopped,
        fault => AttemptEnd::Failed(fault),
    }
}

fn outcome_of(ended: &Result<(), AttemptEnd>) -> PermitOutcome {
    match ended {
        Ok(()) => PermitOutcome::Finished,
        Err(AttemptEnd::SinkClosed | AttemptEnd::Stopped) => PermitOutcome::Cancelled,
        Err(AttemptEnd::Failed(EngineError::Broken)) => PermitOutcome::Crashed,
        Err(AttemptEnd::Failed(_)) => PermitOutcome::Failed,
    }
}
