//! Runs completions on engines: acquires a permit for each attempt, retries failed attempts and resumes a partial text
//! on another target. The module also holds the dependencies and stop conditions that runs of plain services share.

use crate::control::ControlView;
use crate::dispatch::{Permit, PermitAcquirer, PermitCompletion, PermitRequirements};
use crate::generated::engine_messages::{EnginePiece, EngineRequest};
use crate::generated::peer_messages::PermitOutcome;
use crate::policy::prompt_prefix::prompt_prefixes;
use crate::prelude::*;
use crate::traffic::crash_quarantine::{CrashQuarantine, SuspectTurn, fingerprint_of};
use crate::traffic::engine_client::{EngineError, cancel_request, export_cache, import_cache, open_stream};
use crate::traffic::idle_transport::StopCheck;
use crate::traffic::quarantine::Fingerprint;
use crate::traffic::retry_policy::{ATTEMPT_LIMIT, AttemptScope, RetryPolicy};
use crate::traffic::text_assembly::{PieceVerdict, TextAssembly};
use crate::traffic::{EngineResult, EngineRun, EngineRunner, PieceSink};
use crate::usage::{UsageEvent, UsageSink};

/// Interval of the stop check while a run waits for a retry.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Function that returns the latest control view; later calls may return a newer one.
pub type ViewSource = Arc<dyn Fn() -> Arc<ControlView> + Send + Sync>;

/// Function that returns the time at which a run must end. A later time may be returned when another caller joins a
/// shared run.
pub type DeadlineSource = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// Dependencies of the runs on engines and plain services.
#[derive(Clone)]
pub struct RunnerDependencies {
    /// Acquires the permit of each attempt.
    pub permits: PermitAcquirer,
    /// Current control view of this host, which lists the withdrawn keys.
    pub view: ViewSource,
    /// Records the usage of each ended run that used a target.
    pub usage: UsageSink,
    /// Budget and delays of retries.
    pub retries: RetryPolicy,
    /// Clock of this host, replaceable in tests.
    pub clock: TimeSource,
    /// Quarantine of requests that crash targets; it is told of the start and the end of every attempt.
    pub crashes: Arc<CrashQuarantine>,
}

impl RunnerDependencies {
    /// Sleeps until the next attempt may start: for the retry delay, and for at least `settle_time`.
    ///
    /// # Errors
    ///
    /// The error of `check_stop`, which is called before and during the wait.
    pub(super) fn wait_before_retry<E>(
        &self,
        attempts: u32,
        settle_time: Duration,
        check_stop: impl Fn() -> Result<(), E>,
    ) -> Result<(), E> {
        let delay = self.retries.delay(attempts).max(settle_time);
        let retry_at = (self.clock)() + delay;
        loop {
            check_stop()?;
            let remaining = retry_at.saturating_sub((self.clock)());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
        }
    }
}

/// Builds a runner that ends each run at the run's deadline or when the run's key is withdrawn.
#[must_use]
pub fn engine_runner(dependencies: RunnerDependencies) -> EngineRunner {
    Arc::new(move |run, sink| {
        let deadline = run.deadline;
        run_completion(
            &dependencies,
            run,
            &run_stop(&dependencies, run.key_id.clone(), Arc::new(move || deadline)),
            sink,
        )
    })
}

/// Condition that ends a run before it is complete.
#[derive(Clone)]
pub struct RunStop {
    /// Deadline of the run. It limits waits for permits and exchanges with plain services; `check` must end the run at
    /// this deadline.
    pub deadline: DeadlineSource,
    /// Returns the code with which the run must end now; `None` while the run may continue.
    pub check: StopCheck,
}

/// Builds the condition that ends a run at `deadline` with [`ResultCode::TargetTimeout`], and when the key `key_id` is
/// withdrawn with [`ResultCode::StreamWithdrawn`].
#[must_use]
pub fn run_stop(dependencies: &RunnerDependencies, key_id: Option<KeyId>, deadline: DeadlineSource) -> RunStop {
    let (view, clock) = (Arc::clone(&dependencies.view), Arc::clone(&dependencies.clock));
    let checked_deadline = Arc::clone(&deadline);
    let check = move || {
        if key_id.as_ref().is_some_and(|key_id| view().is_withdrawn(key_id)) {
            return Some(ResultCode::StreamWithdrawn);
        }
        (clock() >= checked_deadline()).then_some(ResultCode::TargetTimeout)
    };
    RunStop { deadline, check: Arc::new(check) }
}

/// Runs one completion until it is complete, refused or stopped. A run that the sink ended counts as complete.
///
/// # Errors
///
/// - The code of `stop` if it ended the run; before the first attempt [`ResultCode::QueueTimeout`] instead of
///   [`ResultCode::TargetTimeout`], and [`ResultCode::KeyWithdrawn`] instead of [`ResultCode::StreamWithdrawn`].
/// - [`ResultCode::Quarantined`], or the code of the permit acquirer, before the first attempt.
/// - [`ResultCode::BadRequest`] if the engine rejected the request before any token.
/// - [`ResultCode::TargetFailed`] if the request is quarantined or gets no permit after an attempt, the retry budget is
///   used up, [`ATTEMPT_LIMIT`] attempts failed, or `stop` ended an attempt but no longer applies, for example after
///   its deadline was extended.
pub fn run_completion(
    dependencies: &RunnerDependencies,
    run: &EngineRun,
    stop: &RunStop,
    sink: PieceSink<'_>,
) -> Result<EngineResult, ResultCode> {
    let mut execution = RunExecution::new(dependencies, run, stop);
    let result = execution.run_attempts(sink);
    execution.record_usage(result.is_ok());
    result
}

/// Why an attempt ended before the last piece.
enum AttemptEnd {
    /// The sink wants no more pieces.
    SinkClosed,
    /// The stop check ended the attempt.
    Stopped,
    /// The engine refused the request, failed or sent unusable data.
    Failed(EngineError),
}

/// Target of the last failed attempt, which may still hold the KV cache of the run.
struct FailedTarget {
    address: String,
    /// False if the target never received the request, or if the connection broke, which is taken for a crash.
    can_export: bool,
}

/// State of one run over all attempts.
struct RunExecution<'a> {
    dependencies: &'a RunnerDependencies,
    run: &'a EngineRun,
    stop: &'a RunStop,
    assembly: TextAssembly,
    /// Fingerprint for the quarantine; `None` for a sample of a step, which is never the cause of a crash.
    fingerprint: Option<Fingerprint>,
    prefix_hashes: Vec<u64>,
    /// Number of attempts started so far.
    attempts: u32,
    /// Targets of failed attempts; cleared when no other target is available.
    excluded_targets: Vec<TargetId>,
    last_failed_target: Option<FailedTarget>,
    /// Total duration of the attempts.
    target_time: Duration,
}

impl<'a> RunExecution<'a> {
    fn new(dependencies: &'a RunnerDependencies, run: &'a EngineRun, stop: &'a RunStop) -> Self {
        Self {
            dependencies,
            run,
            stop,
            assembly: TextAssembly::new(&run.request_id, run.max_tokens, run.least_version),
            fingerprint: (!run.is_step).then(|| run_fingerprint(run)),
            prefix_hashes: prompt_prefixes(&run.prompt),
            attempts: 0,
            excluded_targets: Vec::new(),
            last_failed_target: None,
            target_time: Duration::ZERO,
        }
    }

    fn run_attempts(&mut self, sink: PieceSink<'_>) -> Result<EngineResult, ResultCode> {
        loop {
            self.check_stop()?;
            let _turn = self.wait_for_admission()?;
            let permit = self.acquire_attempt_permit()?;
            match self.run_attempt(permit, sink) {
                Ok(()) => return Ok(self.build_result("stop")),
                Err(AttemptEnd::SinkClosed) => return Ok(self.build_result("cancelled")),
                Err(AttemptEnd::Stopped) => {
                    self.check_stop()?;
                    return Err(ResultCode::TargetFailed);
                }
                Err(AttemptEnd::Failed(EngineError::Refused(400 | 413 | 422))) if self.assembly.tokens() == 0 => {
                    return Err(ResultCode::BadRequest);
                }
                Err(AttemptEnd::Failed(_)) => {
                    if self.assembly.finish_at_length() {
                        return Ok(self.build_result("length"));
                    }
                    if self.attempts >= ATTEMPT_LIMIT {
                        return Err(ResultCode::TargetFailed);
                    }
                    self.wait_before_retry()?;
                }
            }
        }
    }

    /// Checks the quarantine and waits for the turn of a suspect request; `None` lets the run go on without a turn.
    fn wait_for_admission(&self) -> Result<Option<SuspectTurn>, ResultCode> {
        let Some(fingerprint) = &self.fingerprint else { return Ok(None) };
        // The code `Quarantined` tells the caller that no target ran the request, which is true only before the first
        // attempt.
        let verdict = self.dependencies.crashes.check(fingerprint);
        verdict.map_err(|code| if self.attempts == 0 { code } else { ResultCode::TargetFailed })?;
        Ok(self.dependencies.crashes.wait_turn(fingerprint))
    }

    fn build_result(&self, default_reason: &str) -> EngineResult {
        EngineResult {
            text: self.assembly.text().to_owned(),
            tokens: self.assembly.tokens(),
            finish_reason: self.assembly.finish_reason().unwrap_or(default_reason).to_owned(),
            weight_versions: self.assembly.spans().to_vec(),
        }
    }

    /// Returns the code of the stop check as the error. Before the first attempt, the codes for a timeout and a
    /// withdrawn key are replaced by codes that say that no target ran the request.
    fn check_stop(&self) -> Result<(), ResultCode> {
        match (self.stop.check)() {
            None => Ok(()),
            Some(ResultCode::TargetTimeout) if self.attempts == 0 => Err(ResultCode::QueueTimeout),
            Some(ResultCode::StreamWithdrawn) if self.attempts == 0 => Err(ResultCode::KeyWithdrawn),
            Some(code) => Err(code),
        }
    }

    /// Acquires the permit of the next attempt and counts the attempt in the retry budget.
    fn acquire_attempt_permit(&mut self) -> Result<Permit, ResultCode> {
        let permit = match self.acquire_permit() {
            // If no other target is available, the targets of failed attempts are allowed again: one of them may have
            // been restarted.
            Err(ResultCode::NoTarget) if !self.excluded_targets.is_empty() => {
                self.excluded_targets.clear();
                self.acquire_permit()
            }
            other => other,
        };
        let permit = permit.map_err(|code| if self.attempts == 0 { code } else { ResultCode::TargetFailed })?;
        let place = attempt_place(self.run, &permit);
        if self.attempts == 0 {
            (self.dependencies.retries.record_first_attempt)(place);
        } else if !(self.dependencies.retries.try_retry)(place) {
            log::info!(request_id = self.run.request_id.as_str(), service = place.service; "retry_refused_by_budget");
            return Err(ResultCode::TargetFailed);
        }
        self.attempts += 1;
        Ok(permit)
    }

    /// Waits for a permit until the deadline, also if the deadline is extended during the wait.
    fn acquire_permit(&self) -> Result<Permit, ResultCode> {
        loop {
            let deadline = (self.stop.deadline)();
            let result = (self.dependencies.permits)(&PermitRequirements {
                request_id: self.run.request_id.clone(),
                organisation: self.run.organisation.clone(),
                service: self.run.service.clone(),
                expected_tokens: self.run.max_tokens - self.assembly.tokens(),
                prefix_hashes: self.prefix_hashes.clone(),
                firm_only: self.run.firm_only,
                deadline: self.run.is_step.then_some(self.run.deadline),
                excluded_targets: self.excluded_targets.clone(),
                least_version: self.run.least_version,
                wait: deadline.saturating_sub((self.dependencies.clock)()),
            });
            // A caller that joined the shared run during the wait may have moved the deadline.
            let was_extended = (self.stop.deadline)() > deadline;
            if was_extended && matches!(result, Err(ResultCode::QueueTimeout)) {
                continue;
            }
            return result;
        }
    }

    fn run_attempt(&mut self, permit: Permit, sink: PieceSink<'_>) -> Result<(), AttemptEnd> {
        let started_at = (self.dependencies.clock)();
        let tokens_before = self.assembly.tokens();
        let mut first_token_at = None;
        if let Some(fingerprint) = &self.fingerprint {
            self.dependencies.crashes.begin(&permit.target.id, fingerprint);
        }
        let result = self.read_stream(&permit, sink, &mut first_token_at);
        self.report_to_quarantine(&permit, &result, started_at);
        let ended_at = (self.dependencies.clock)();
        let total = ended_at.saturating_sub(started_at);
        self.target_time += total;
        if let Err(AttemptEnd::SinkClosed | AttemptEnd::Stopped) = &result {
            cancel_request(&permit.target.address, &self.run.request_id);
        }
        let is_failed = matches!(result, Err(AttemptEnd::Failed(_)));
        (self.dependencies.retries.record_attempt_end)(attempt_place(self.run, &permit), !is_failed);
        if let Err(AttemptEnd::Failed(error)) = &result {
            self.record_failure(&permit, *error);
        }
        permit.release(PermitCompletion {
            outcome: permit_outcome(&result),
            tokens: self.assembly.tokens() - tokens_before,
            first_token: first_token_at.unwrap_or(ended_at).saturating_sub(started_at),
            total,
        });
        result
    }

    /// Tells the quarantine whether the attempt crashed the target. A broken connection is taken for a crash.
    fn report_to_quarantine(&self, permit: &Permit, result: &Result<(), AttemptEnd>, started_at: BootTime) {
        let (target, crashes) = (&permit.target, &self.dependencies.crashes);
        match (result, &self.fingerprint) {
            (Ok(()), None) => crashes.survive(&target.id, started_at),
            (_, None) => {}
            (Err(AttemptEnd::Failed(EngineError::Broken)), Some(fingerprint)) => {
                crashes.crash(&target.id, &target.failure_domain, fingerprint);
            }
            (_, Some(fingerprint)) => crashes.end(&target.id, fingerprint),
        }
    }

    fn record_failure(&mut self, permit: &Permit, error: EngineError) {
        let target = &permit.target;
        log::warn!(
            request_id = self.run.request_id.as_str(), target_id = target.id.as_str(), fault = error.name(),
            tokens = self.assembly.tokens(), attempt = self.attempts;
            "target_failed"
        );
        self.excluded_targets.push(target.id.clone());
        let can_export = !matches!(error, EngineError::NotSent | EngineError::Broken);
        self.last_failed_target = Some(FailedTarget { address: target.address.clone(), can_export });
    }

    /// Sends the request and passes the new pieces to the sink until the completion is finished.
    fn read_stream(
        &mut self,
        permit: &Permit,
        sink: PieceSink<'_>,
        first_token_at: &mut Option<BootTime>,
    ) -> Result<(), AttemptEnd> {
        let address = permit.target.address.as_str();
        let request = self.prepare_request(address);
        let stream = open_stream(address, &request, Arc::clone(&self.stop.check));
        let mut stream = stream.map_err(classify_error)?;
        loop {
            if (self.stop.check)().is_some() {
                return Err(AttemptEnd::Stopped);
            }
            let piece = match stream.next_piece() {
                Ok(Some(piece)) => piece,
                Ok(None) => return Err(AttemptEnd::Failed(EngineError::Broken)),
                Err(error) => return Err(classify_error(error)),
            };
            first_token_at.get_or_insert_with(|| (self.dependencies.clock)());
            if !self.handle_piece(piece, sink)? {
                return Err(AttemptEnd::SinkClosed);
            }
            if self.assembly.finish_reason().is_some() {
                return Ok(());
            }
        }
    }

    /// Adds a piece to the text and passes the new part to the sink. Returns whether the sink wants more pieces.
    fn handle_piece(&mut self, piece: EnginePiece, sink: PieceSink<'_>) -> Result<bool, AttemptEnd> {
        match self.assembly.add_piece(piece) {
            Ok(PieceVerdict::New(piece)) => Ok(sink(&piece)),
            Ok(PieceVerdict::Redundant) => Ok(true),
            Err(error) => {
                let reason = format!("{error:?}");
                log::warn!(request_id = self.run.request_id.as_str(), reason = reason.as_str(); "piece_refused");
                Err(AttemptEnd::Failed(EngineError::Malformed))
            }
        }
    }

    /// Prepares the request of an attempt, which continues the text of earlier attempts. The KV cache of the last
    /// failed target is first copied to the target at `address` if the export and the import succeed.
    fn prepare_request(&mut self, address: &str) -> EngineRequest {
        let kv_handle = self.last_failed_target.take().filter(|failed| failed.can_export).and_then(|failed| {
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
        let settle_time =
            self.fingerprint.as_ref().map_or(Duration::ZERO, |known| self.dependencies.crashes.settle_time(known));
        self.dependencies.wait_before_retry(self.attempts, settle_time, || self.check_stop())
    }

    fn record_usage(&self, is_complete: bool) {
        if self.attempts == 0 {
            return;
        }
        (self.dependencies.usage)(UsageEvent {
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

fn attempt_place<'p>(run: &'p EngineRun, permit: &'p Permit) -> AttemptScope<'p> {
    AttemptScope { service: &run.service, failure_domain: &permit.target.failure_domain }
}

fn classify_error(error: EngineError) -> AttemptEnd {
    match error {
        EngineError::Stopped => AttemptEnd::Stopped,
        error => AttemptEnd::Failed(error),
    }
}

fn permit_outcome(result: &Result<(), AttemptEnd>) -> PermitOutcome {
    match result {
        Ok(()) => PermitOutcome::Finished,
        Err(AttemptEnd::SinkClosed | AttemptEnd::Stopped) => PermitOutcome::Cancelled,
        Err(AttemptEnd::Failed(EngineError::Broken)) => PermitOutcome::Crashed,
        Err(AttemptEnd::Failed(_)) => PermitOutcome::Failed,
    }
}
