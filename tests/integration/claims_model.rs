//! Tests the claim state machine on a model of the table service: first with each combination of faults in one attempt,
//! then with random faults, hosts and callers.

use camphorspring::clock::BootTime;
use camphorspring::result_code::{ExecutionStatus, ResultCode};
use camphorspring::traffic::claim_state::{
    ClaimAction, ClaimEvent, ClaimMachine, ClaimOutcome, ClaimPlan, ClaimRow, ClaimState, ClaimStoreError, ClaimWrite,
    DeferredClaimWrite, OwnerState, SendOutcome, StoredAnswer, StoredClaim, WriteResult, next_deferred_write,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Fault of one write. The names of the variants are in the snapshot.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFault {
    None,
    NotSent,
    /// The write takes effect, but the response is lost.
    LostApplied,
    /// The write is lost and never takes effect.
    LostNever,
    /// The response is lost, and the write takes effect only after later ones.
    LostLater,
}

const WRITE_FAULTS: [WriteFault; 5] =
    [WriteFault::None, WriteFault::NotSent, WriteFault::LostApplied, WriteFault::LostNever, WriteFault::LostLater];

/// Fault of one exchange with the target. The names of the variants are in the snapshot.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RunFault {
    None,
    NotSent,
    /// The target runs the request, but the response is lost.
    LostAfterRun,
    /// The request was sent, but the target does not run it.
    LostBeforeRun,
}

const RUN_FAULTS: [RunFault; 4] = [RunFault::None, RunFault::NotSent, RunFault::LostAfterRun, RunFault::LostBeforeRun];

/// One row of the table, with delayed writes, and the runs of its request at the target.
#[derive(Default)]
struct ModelRow {
    current: Option<StoredClaim>,
    delayed: Vec<ClaimWrite>,
    /// Body of each run at the target. A response names the number of its run, starting at 1.
    runs: Vec<String>,
    /// Responses that the target sent and that were not lost.
    answers: Vec<StoredAnswer>,
    /// Whether a host died or was taken for dead while it may have held the claim.
    is_disturbed: bool,
    /// Whether a request was sent and its response was lost.
    is_unanswered: bool,
}

impl ModelRow {
    fn apply(&mut self, write: &ClaimWrite) -> WriteResult {
        let version = self.current.as_ref().map_or(0, |stored| stored.version);
        if version != write.version {
            return WriteResult::Conflict(self.current.clone().map(Box::new));
        }
        let (row, writer_token) = (write.row.clone(), write.token.clone());
        self.current = Some(StoredClaim { row, version: version + 1, writer_token });
        WriteResult::Applied
    }

    fn write(&mut self, write: &ClaimWrite, fault: WriteFault) -> WriteResult {
        match fault {
            WriteFault::None => return self.apply(write),
            WriteFault::NotSent => return WriteResult::Failed(ClaimStoreError::NotDone),
            WriteFault::LostApplied => {
                self.apply(write);
            }
            WriteFault::LostNever => {}
            WriteFault::LostLater => self.delayed.push(write.clone()),
        }
        WriteResult::Failed(ClaimStoreError::Lost)
    }

    fn apply_delayed(&mut self) {
        for write in std::mem::take(&mut self.delayed) {
            self.apply(&write);
        }
    }

    fn run(&mut self, body: &str, fault: RunFault) -> SendOutcome {
        if matches!(fault, RunFault::None | RunFault::LostAfterRun) {
            self.runs.push(body.to_owned());
        }
        match fault {
            RunFault::None => {
                let answer = StoredAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: format!("{body} run {}", self.runs.len()),
                    is_hex: false,
                };
                self.answers.push(answer.clone());
                SendOutcome::Answered(answer)
            }
            RunFault::NotSent => SendOutcome::NotSent(ResultCode::NoTarget),
            RunFault::LostAfterRun | RunFault::LostBeforeRun => {
                self.is_unanswered = true;
                SendOutcome::NoAnswer
            }
        }
    }
}

fn create_plan(token: &str, body: &str, host: &str, now: BootTime) -> ClaimPlan {
    ClaimPlan {
        row: ClaimRow {
            body_hash: body.to_owned(),
            state: ClaimState::Claimed,
            host: host.to_owned(),
            incarnation: 1,
            answer_limit_ms: 1000,
            answer: None,
        },
        token: token.to_owned(),
        claim_deadline: now + Duration::from_secs(5),
        owner_deadline: now + Duration::from_secs(10),
    }
}

/// Faults of one attempt: of the first claim write, of the first read, of the run, and of each write that is not a
/// claim write.
#[derive(Debug, Clone, Copy)]
struct AttemptFaults {
    claim_fault: WriteFault,
    is_read_lost: bool,
    run_fault: RunFault,
    final_fault: WriteFault,
}

/// Runs one attempt to the end. Each action takes one second.
fn run_attempt(row: &mut ModelRow, token: &str, faults: AttemptFaults, owner: OwnerState) -> ClaimOutcome {
    let mut now = Duration::from_secs(100);
    let (mut machine, mut action) = ClaimMachine::start(create_plan(token, "b", "h1", now));
    let (mut has_written_claim, mut has_failed_read) = (false, false);
    loop {
        now += Duration::from_secs(1);
        let event = match action {
            ClaimAction::Write(write) if write.token == token => {
                let fault = if has_written_claim { WriteFault::None } else { faults.claim_fault };
                has_written_claim = true;
                ClaimEvent::Written(row.write(&write, fault))
            }
            ClaimAction::Write(write) => ClaimEvent::Written(row.write(&write, faults.final_fault)),
            ClaimAction::Read if faults.is_read_lost && !has_failed_read => {
                has_failed_read = true;
                ClaimEvent::Read(Err(ClaimStoreError::Lost))
            }
            ClaimAction::Read => ClaimEvent::Read(Ok(row.current.clone())),
            ClaimAction::CheckOwner(_) => ClaimEvent::OwnerChecked(owner),
            ClaimAction::SendToTarget => ClaimEvent::SendEnded(row.run("b", faults.run_fault)),
            ClaimAction::Wait => ClaimEvent::Waited,
            ClaimAction::End(end) => return end,
        };
        action = machine.step(event, now);
    }
}

fn finish_deferred_write(row: &mut ModelRow, deferred_write: Option<DeferredClaimWrite>) {
    let mut deferred_write = deferred_write;
    while let Some(pending) = deferred_write {
        let result = row.apply(&pending.write);
        deferred_write = next_deferred_write(&pending, &result);
    }
}

fn describe_outcome(end: &ClaimOutcome) -> String {
    match &end.result {
        Ok(answer) => format!("answer {:?}", answer.body),
        Err(code) => format!("{} ran={}", code.number(), code.entry().ran.name()),
    }
}

/// Guards against a second run, a lost claim or a false "not run" after any combination of faults in one attempt. Such
/// a combination leaves a claim write or a final write whose effect is not known when the request is repeated.
#[googletest::test]
fn each_fault_at_each_step_keeps_one_run() {
    let mut table = Vec::new();
    for claim_fault in WRITE_FAULTS {
        for run_fault in RUN_FAULTS {
            for final_fault in WRITE_FAULTS {
                for is_read_lost in [false, true] {
                    let mut row = ModelRow::default();
                    let faults = AttemptFaults { claim_fault, is_read_lost, run_fault, final_fault };
                    let first = run_attempt(&mut row, "t1", faults, OwnerState::Live);
                    // The request is repeated before the deferred write of the first attempt has been retried.
                    let repeat_faults = AttemptFaults {
                        claim_fault: WriteFault::None,
                        run_fault: RunFault::None,
                        final_fault: WriteFault::None,
                        ..faults
                    };
                    let second = run_attempt(&mut row, "t2", repeat_faults, OwnerState::Live);
                    finish_deferred_write(&mut row, first.deferred_write.clone());
                    row.apply_delayed();
                    finish_deferred_write(&mut row, second.deferred_write.clone());
                    let third = run_attempt(&mut row, "t3", repeat_faults, OwnerState::Live);
                    expect_that!(row.runs.len(), le(1), "{faults:?}");
                    for end in [&first, &second, &third] {
                        expect_that!(end.result.as_ref().err(), not(some(eq(&ResultCode::Internal))), "{faults:?}");
                        if let Ok(answer) = &end.result {
                            expect_that!(row.answers, contains(eq(answer)), "{faults:?}");
                        }
                    }
                    // When the claim write is not sent, the first attempt is refused and its faulty run never happens.
                    let is_run_faulty = matches!(run_fault, RunFault::LostAfterRun | RunFault::LostBeforeRun);
                    let must_have_response = claim_fault == WriteFault::NotSent || !is_run_faulty;
                    expect_that!(third.result.is_ok(), eq(must_have_response), "{faults:?}");
                    let is_single =
                        [claim_fault != WriteFault::None, run_fault != RunFault::None, final_fault != WriteFault::None]
                            .into_iter()
                            .filter(|is_faulty| *is_faulty)
                            .count()
                            <= 1;
                    if is_single {
                        let ends = [&first, &second, &third].map(describe_outcome).join(" | ");
                        table.push(format!(
                            "claim={claim_fault:?} read_lost={is_read_lost} run={run_fault:?} close={final_fault:?}: {ends}"
                        ));
                    }
                }
            }
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}

/// Guards against another result after a caller was told that the outcome is unknown, and against a run after the owner
/// of the claim died. This happens when the owner dies between the claim write and the final write.
#[googletest::test]
fn dead_owner_means_unknown_for_ever() {
    let mut row = ModelRow::default();
    let now = Duration::from_secs(1);
    // The owner dies right after its claim took effect, so whether it sent the request cannot be known.
    let (_, action) = ClaimMachine::start(create_plan("t1", "b", "h1", now));
    let ClaimAction::Write(write) = action else { panic!("the first action is the claim") };
    expect_that!(row.apply(&write), eq(&WriteResult::Applied));
    let no_faults = AttemptFaults {
        claim_fault: WriteFault::None,
        is_read_lost: false,
        run_fault: RunFault::None,
        final_fault: WriteFault::None,
    };
    let lost_write = AttemptFaults { final_fault: WriteFault::LostNever, ..no_faults };
    let ends = [
        run_attempt(&mut row, "t2", no_faults, OwnerState::Live),
        run_attempt(&mut row, "t3", lost_write, OwnerState::Gone),
        run_attempt(&mut row, "t4", no_faults, OwnerState::Gone),
        run_attempt(&mut row, "t5", no_faults, OwnerState::Live),
    ];
    // Claim running, claim unsettled, and outcome unknown twice.
    expect_that!(
        ends.iter().map(|end| end.result.as_ref().err().map(|code| code.number())).collect::<Vec<_>>(),
        elements_are![some(eq(&1406)), some(eq(&1404)), some(eq(&1403)), some(eq(&1403))]
    );
    expect_that!(row.runs.len(), eq(0));
}

/// One attempt in the random model, with its outstanding action.
struct ModelAttempt {
    key: usize,
    body: &'static str,
    host: usize,
    token: String,
    machine: ClaimMachine,
    action: ClaimAction,
    /// Whether the request may have reached the target.
    is_sent: bool,
}

struct ModelDeferredWrite {
    key: usize,
    host: usize,
    deferred_write: DeferredClaimWrite,
}

/// Counts over one random test; all but `requests` must be 0.
#[derive(Debug, Default, PartialEq)]
struct ModelTotals {
    /// Attempts that were started.
    requests: usize,
    /// Runs of a request beyond the first.
    second_runs: usize,
    /// Responses that the target did not send for this request.
    wrong_answers: usize,
    /// Results that say "not run" for a request that was sent.
    false_refusals: usize,
    /// Claims without a response in the end, except those of unknown outcome for which a host died or a response was
    /// lost.
    lost_claims: usize,
}

const MODEL_KEYS: usize = 400;
const MODEL_HOSTS: usize = 5;

struct ClaimModel {
    random: ChaCha8Rng,
    now: BootTime,
    rows: Vec<ModelRow>,
    attempts: Vec<ModelAttempt>,
    deferred_writes: Vec<ModelDeferredWrite>,
    /// Incarnation of each host, by its number.
    incarnations: Vec<u64>,
    next_token: usize,
    totals: ModelTotals,
}

impl ClaimModel {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            rows: (0..MODEL_KEYS).map(|_| ModelRow::default()).collect(),
            attempts: Vec::new(),
            deferred_writes: Vec::new(),
            incarnations: vec![1; MODEL_HOSTS],
            next_token: 0,
            totals: ModelTotals::default(),
        }
    }

    fn start_attempt(&mut self, key: usize, body: &'static str) {
        self.next_token += 1;
        let host = self.random.random_range(0..MODEL_HOSTS);
        let token = format!("t{}", self.next_token);
        let mut plan = create_plan(&token, body, &format!("h{host}"), self.now);
        plan.row.incarnation = self.incarnations[host];
        let (machine, action) = ClaimMachine::start(plan);
        self.attempts.push(ModelAttempt { key, body, host, token, machine, action, is_sent: false });
        self.totals.requests += 1;
    }

    fn random_write_fault(&mut self, is_faulty: bool) -> WriteFault {
        if is_faulty && self.random.random_bool(0.3) {
            WRITE_FAULTS[self.random.random_range(1..5)]
        } else {
            WriteFault::None
        }
    }

    fn check_owner(&mut self, key: usize, stored: &StoredClaim, is_faulty: bool) -> OwnerState {
        let host: usize = stored.row.host[1..].parse().unwrap();
        let is_replaced = self.incarnations[host] != stored.row.incarnation;
        // A live host may be taken for dead, and a dead one for live.
        let is_misjudged = is_faulty && self.random.random_bool(0.05);
        let has_active_owner = self.attempts.iter().any(|attempt| attempt.token == stored.writer_token)
            || self
                .deferred_writes
                .iter()
                .any(|pending| pending.deferred_write.claim_token.as_ref() == Some(&stored.writer_token))
            || self.deferred_writes.iter().any(|pending| pending.key == key);
        let is_gone = is_replaced || !has_active_owner;
        if is_misjudged && !is_gone {
            self.rows[key].is_disturbed = true;
        }
        if is_gone == is_misjudged { OwnerState::Live } else { OwnerState::Gone }
    }

    /// Carries out the action of one attempt.
    fn step_attempt(&mut self, position: usize, is_faulty: bool) {
        let key = self.attempts[position].key;
        let action = std::mem::replace(&mut self.attempts[position].action, ClaimAction::Wait);
        let event = match action {
            ClaimAction::Write(write) => {
                let fault = self.random_write_fault(is_faulty);
                ClaimEvent::Written(self.rows[key].write(&write, fault))
            }
            ClaimAction::Read if is_faulty && self.random.random_bool(0.2) => {
                ClaimEvent::Read(Err(ClaimStoreError::Lost))
            }
            ClaimAction::Read => ClaimEvent::Read(Ok(self.rows[key].current.clone())),
            ClaimAction::CheckOwner(stored) => ClaimEvent::OwnerChecked(self.check_owner(key, &stored, is_faulty)),
            ClaimAction::SendToTarget => {
                let has_run_fault = is_faulty && self.random.random_bool(0.2);
                let fault = if has_run_fault { RUN_FAULTS[self.random.random_range(1..4)] } else { RunFault::None };
                self.attempts[position].is_sent |= fault != RunFault::NotSent;
                let body = self.attempts[position].body;
                ClaimEvent::SendEnded(self.rows[key].run(body, fault))
            }
            ClaimAction::Wait => ClaimEvent::Waited,
            ClaimAction::End(end) => {
                let attempt = self.attempts.swap_remove(position);
                self.record_outcome(&attempt, end);
                return;
            }
        };
        self.attempts[position].action = self.attempts[position].machine.step(event, self.now);
    }

    fn record_outcome(&mut self, attempt: &ModelAttempt, end: ClaimOutcome) {
        let row = &self.rows[attempt.key];
        match &end.result {
            Ok(answer) => {
                let is_own = row.answers.contains(answer) && answer.body.starts_with(attempt.body);
                self.totals.wrong_answers += usize::from(!is_own);
            }
            Err(code) if code.entry().ran == ExecutionStatus::NotRun => {
                self.totals.false_refusals += usize::from(attempt.is_sent);
            }
            Err(_) => {}
        }
        if let Some(deferred_write) = end.deferred_write {
            self.deferred_writes.push(ModelDeferredWrite { key: attempt.key, host: attempt.host, deferred_write });
        }
    }

    fn step_deferred_write(&mut self, position: usize, is_faulty: bool) {
        let fault = self.random_write_fault(is_faulty);
        let pending = &mut self.deferred_writes[position];
        let result = self.rows[pending.key].write(&pending.deferred_write.write, fault);
        match next_deferred_write(&pending.deferred_write, &result) {
            Some(next) => pending.deferred_write = next,
            None => {
                self.deferred_writes.swap_remove(position);
            }
        }
    }

    fn kill_host(&mut self, host: usize) {
        self.incarnations[host] += 1;
        for attempt in self.attempts.iter().filter(|attempt| attempt.host == host) {
            self.rows[attempt.key].is_disturbed = true;
        }
        for pending in self.deferred_writes.iter().filter(|pending| pending.host == host) {
            self.rows[pending.key].is_disturbed = true;
        }
        self.attempts.retain(|attempt| attempt.host != host);
        self.deferred_writes.retain(|pending| pending.host != host);
    }

    fn step(&mut self, is_faulty: bool) {
        self.now += Duration::from_millis(self.random.random_range(1..200));
        if is_faulty && self.random.random_bool(0.002) {
            let host = self.random.random_range(0..MODEL_HOSTS);
            self.kill_host(host);
        }
        if is_faulty && self.random.random_bool(0.05) {
            let key = self.random.random_range(0..MODEL_KEYS);
            self.rows[key].apply_delayed();
        }
        if !self.deferred_writes.is_empty() && self.random.random_bool(0.2) {
            let position = self.random.random_range(0..self.deferred_writes.len());
            self.step_deferred_write(position, is_faulty);
        }
        if !self.attempts.is_empty() {
            let position = self.random.random_range(0..self.attempts.len());
            self.step_attempt(position, is_faulty);
        }
    }

    /// Completes all attempts and writes without further faults.
    fn drain(&mut self) {
        for key in 0..MODEL_KEYS {
            self.rows[key].apply_delayed();
        }
        while !self.attempts.is_empty() || !self.deferred_writes.is_empty() {
            self.step(false);
        }
    }

    fn run(mut self, requests: usize) -> ModelTotals {
        while self.totals.requests < requests {
            if self.attempts.len() < 40 && self.random.random_bool(0.3) {
                let key = self.random.random_range(0..MODEL_KEYS);
                let body = if self.random.random_bool(0.05) { "other" } else { "body" };
                self.start_attempt(key, body);
            }
            self.step(true);
        }
        self.drain();
        // After one more request without faults, every claim must have a response, or an unknown outcome when a host
        // died or a response was lost.
        for key in 0..MODEL_KEYS {
            let claimed = self.rows[key].current.as_ref().map(|stored| stored.row.body_hash.as_str());
            let body = if claimed == Some("other") { "other" } else { "body" };
            self.start_attempt(key, body);
            self.drain();
            let row = &self.rows[key];
            self.totals.second_runs += row.runs.len().saturating_sub(1);
            let is_done = row.current.as_ref().is_some_and(|stored| stored.row.state == ClaimState::Done);
            let is_excused = row.is_disturbed || row.is_unanswered;
            let is_unknown = row.current.as_ref().is_some_and(|stored| stored.row.state == ClaimState::Unknown);
            self.totals.lost_claims += usize::from(!(is_done || is_excused && is_unknown));
        }
        self.totals
    }
}

/// Guards against a second run, a lost or wrong response and a false "not run" when faults, deaths of hosts and
/// repeated requests coincide.
#[googletest::test]
fn random_faults_keep_one_run() {
    let mut requests = 0;
    for seed in 1..=12 {
        let totals = ClaimModel::new(seed).run(2000);
        println!("seed={seed} {totals:?}");
        requests += totals.requests;
        let expected = ModelTotals { requests: totals.requests, ..ModelTotals::default() };
        expect_that!(totals, eq(&expected), "seed {seed}");
    }
    expect_that!(requests, ge(10_000));
}
