//! Claims on a model of the table service: every fault at every step, then random faults, hosts and callers.

use camphorspring::clock::BootTime;
use camphorspring::result_code::{ExecutionStatus, ResultCode};
use camphorspring::traffic::claim_state::{
    ClaimAction, ClaimEvent, ClaimMachine, ClaimOutcome, ClaimPlan, ClaimRow, ClaimState, ClaimStoreError, ClaimWrite,
    DeferredClaimWrite, OwnerState, SeenClaim, SendOutcome, StoredAnswer, WriteResult, next_deferred_write,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// What happens to one write.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFault {
    None,
    NotSent,
    LostApplied,
    LostNever,
    /// The answer is lost, and the write takes effect only after later ones.
    LostLater,
}

const WRITE_FAULTS: [WriteFault; 5] =
    [WriteFault::None, WriteFault::NotSent, WriteFault::LostApplied, WriteFault::LostNever, WriteFault::LostLater];

/// What happens at the target.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RunFault {
    None,
    NotSent,
    LostAfterRun,
    LostBeforeRun,
}

const RUN_FAULTS: [RunFault; 4] = [RunFault::None, RunFault::NotSent, RunFault::LostAfterRun, RunFault::LostBeforeRun];

/// One row of the table, with writes that are still under way.
#[derive(Default)]
struct ModelRow {
    current: Option<SeenClaim>,
    delayed: Vec<ClaimWrite>,
    /// Body of each run at the target; the answer to a run names its number.
    runs: Vec<String>,
    answers: Vec<StoredAnswer>,
    /// Whether a host died, or was taken for dead, while it may have held the claim.
    is_disturbed: bool,
    /// Whether the target gave no answer to a request that was sent.
    is_unanswered: bool,
}

impl ModelRow {
    fn apply(&mut self, write: &ClaimWrite) -> WriteResult {
        let version = self.current.as_ref().map_or(0, |seen| seen.version);
        if version != write.version {
            return WriteResult::Conflict(self.current.clone().map(Box::new));
        }
        let (row, writer_token) = (write.row.clone(), write.token.clone());
        self.current = Some(SeenClaim { row, version: version + 1, writer_token });
        WriteResult::Applied
    }

    fn write(&mut self, write: &ClaimWrite, fault: WriteFault) -> WriteResult {
        match fault {
            WriteFault::None => return self.apply(write),
            WriteFault::NotSent => return WriteResult::Fault(ClaimStoreError::NotDone),
            WriteFault::LostApplied => {
                self.apply(write);
            }
            WriteFault::LostNever => {}
            WriteFault::LostLater => self.delayed.push(write.clone()),
        }
        WriteResult::Fault(ClaimStoreError::Lost)
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

fn plan(token: &str, body: &str, host: &str, now: BootTime) -> ClaimPlan {
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
        settle_until: now + Duration::from_secs(5),
        wait_until: now + Duration::from_secs(10),
    }
}

/// Faults of one attempt, by step.
#[derive(Debug, Clone, Copy)]
struct FaultPlan {
    claim: WriteFault,
    is_read_lost: bool,
    run: RunFault,
    close: WriteFault,
}

/// Runs one attempt to its end; time passes by a second for each action.
fn run_attempt(row: &mut ModelRow, token: &str, faults: FaultPlan, owner: OwnerState) -> ClaimOutcome {
    let mut now = Duration::from_secs(100);
    let (mut machine, mut action) = ClaimMachine::start(plan(token, "b", "h1", now));
    let (mut is_claim_tried, mut is_read_tried) = (false, false);
    loop {
        now += Duration::from_secs(1);
        let event = match action {
            ClaimAction::Write(write) if write.token == token => {
                let fault = if is_claim_tried { WriteFault::None } else { faults.claim };
                is_claim_tried = true;
                ClaimEvent::Written(row.write(&write, fault))
            }
            ClaimAction::Write(write) => ClaimEvent::Written(row.write(&write, faults.close)),
            ClaimAction::Read if faults.is_read_lost && !is_read_tried => {
                is_read_tried = true;
                ClaimEvent::Read(Err(ClaimStoreError::Lost))
            }
            ClaimAction::Read => ClaimEvent::Read(Ok(row.current.clone())),
            ClaimAction::CheckOwner(_) => ClaimEvent::Owner(owner),
            ClaimAction::SendToTarget => ClaimEvent::Target(row.run("b", faults.run)),
            ClaimAction::Wait => ClaimEvent::Waited,
            ClaimAction::End(end) => return end,
        };
        action = machine.step(event, now);
    }
}

fn settle(row: &mut ModelRow, leftover: Option<DeferredClaimWrite>) {
    let mut leftover = leftover;
    while let Some(pending) = leftover {
        let result = row.apply(&pending.write);
        leftover = next_deferred_write(&pending, &result);
    }
}

fn shown(end: &ClaimOutcome) -> String {
    match &end.result {
        Ok(answer) => format!("answer {:?}", answer.body),
        Err(code) => format!("{} ran={}", code.number(), code.entry().ran.name()),
    }
}

/// Guards against a second run, a lost claim or a false "not run" after any pair of faults in one attempt.
#[googletest::test]
fn each_fault_at_each_step_keeps_one_run() {
    let mut table = Vec::new();
    for claim in WRITE_FAULTS {
        for run in RUN_FAULTS {
            for close in WRITE_FAULTS {
                for is_read_lost in [false, true] {
                    let mut row = ModelRow::default();
                    let faults = FaultPlan { claim, is_read_lost, run, close };
                    let first = run_attempt(&mut row, "t1", faults, OwnerState::Live);
                    // A second device asks before the background work of the first has been done.
                    let fine =
                        FaultPlan { claim: WriteFault::None, run: RunFault::None, close: WriteFault::None, ..faults };
                    let second = run_attempt(&mut row, "t2", fine, OwnerState::Live);
                    settle(&mut row, first.leftover.clone());
                    row.apply_delayed();
                    settle(&mut row, second.leftover.clone());
                    let third = run_attempt(&mut row, "t3", fine, OwnerState::Live);
                    expect_that!(row.runs.len(), le(1), "{faults:?}");
                    for end in [&first, &second, &third] {
                        expect_that!(end.result.as_ref().err(), not(some(eq(&ResultCode::Internal))), "{faults:?}");
                        if let Ok(answer) = &end.result {
                            expect_that!(row.answers, contains(eq(answer)), "{faults:?}");
                        }
                    }
                    // A first request that was refused left its faulty run to nobody.
                    let is_run_faulty = matches!(run, RunFault::LostAfterRun | RunFault::LostBeforeRun);
                    let must_be_known = claim == WriteFault::NotSent || !is_run_faulty;
                    expect_that!(third.result.is_ok(), eq(must_be_known), "{faults:?}");
                    let is_single = [claim != WriteFault::None, run != RunFault::None, close != WriteFault::None]
                        .into_iter()
                        .filter(|is_faulty| *is_faulty)
                        .count()
                        <= 1;
                    if is_single {
                        let ends = [&first, &second, &third].map(shown).join(" | ");
                        table.push(format!(
                            "claim={claim:?} read_lost={is_read_lost} run={run:?} close={close:?}: {ends}"
                        ));
                    }
                }
            }
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}

/// Guards against an answer that changes after "unknown" was said, and against a run after the owner died.
#[googletest::test]
fn dead_owner_means_unknown_for_ever() {
    let mut row = ModelRow::default();
    let now = Duration::from_secs(1);
    // The owner dies right after its claim took effect; whether it sent the request cannot be known.
    let (_, action) = ClaimMachine::start(plan("t1", "b", "h1", now));
    let ClaimAction::Write(write) = action else { panic!("the first action is the claim") };
    expect_that!(row.apply(&write), eq(&WriteResult::Applied));
    let fine = FaultPlan { claim: WriteFault::None, is_read_lost: false, run: RunFault::None, close: WriteFault::None };
    let lost = FaultPlan { close: WriteFault::LostNever, ..fine };
    let ends = [
        run_attempt(&mut row, "t2", fine, OwnerState::Live),
        run_attempt(&mut row, "t3", lost, OwnerState::Gone),
        run_attempt(&mut row, "t4", fine, OwnerState::Gone),
        run_attempt(&mut row, "t5", fine, OwnerState::Live),
    ];
    expect_that!(
        ends.iter().map(|end| end.result.as_ref().err().map(|code| code.number())).collect::<Vec<_>>(),
        elements_are![some(eq(&1406)), some(eq(&1404)), some(eq(&1403)), some(eq(&1403))]
    );
    expect_that!(row.runs.len(), eq(0));
}

/// One attempt in the random model.
struct ModelAttempt {
    key: usize,
    body: &'static str,
    host: usize,
    token: String,
    machine: ClaimMachine,
    action: ClaimAction,
    is_sent: bool,
}

struct ModelLeftover {
    key: usize,
    host: usize,
    leftover: DeferredClaimWrite,
}

/// Totals of a random run.
#[derive(Debug, Default, PartialEq)]
struct ModelTotals {
    requests: usize,
    second_runs: usize,
    wrong_answers: usize,
    false_refusals: usize,
    lost_claims: usize,
}

const MODEL_KEYS: usize = 400;
const MODEL_HOSTS: usize = 5;

struct ClaimModel {
    random: ChaCha8Rng,
    now: BootTime,
    rows: Vec<ModelRow>,
    attempts: Vec<ModelAttempt>,
    leftovers: Vec<ModelLeftover>,
    /// Life of each host.
    lives: Vec<u64>,
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
            leftovers: Vec::new(),
            lives: vec![1; MODEL_HOSTS],
            next_token: 0,
            totals: ModelTotals::default(),
        }
    }

    fn start_attempt(&mut self, key: usize, body: &'static str) {
        self.next_token += 1;
        let host = self.random.random_range(0..MODEL_HOSTS);
        let token = format!("t{}", self.next_token);
        let mut plan = plan(&token, body, &format!("h{host}"), self.now);
        plan.row.incarnation = self.lives[host];
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

    fn owner_state(&mut self, key: usize, seen: &SeenClaim, is_faulty: bool) -> OwnerState {
        let host: usize = seen.row.host[1..].parse().unwrap();
        let is_replaced = self.lives[host] != seen.row.incarnation;
        // A host that lives may be taken for dead, and a dead one for alive.
        let is_misjudged = is_faulty && self.random.random_bool(0.05);
        let is_known = self.attempts.iter().any(|attempt| attempt.token == seen.writer_token)
            || self.leftovers.iter().any(|left| left.leftover.claim_token.as_ref() == Some(&seen.writer_token))
            || self.leftovers.iter().any(|left| left.key == key);
        let is_gone = is_replaced || !is_known;
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
            ClaimAction::CheckOwner(seen) => ClaimEvent::Owner(self.owner_state(key, &seen, is_faulty)),
            ClaimAction::SendToTarget => {
                let is_hit = is_faulty && self.random.random_bool(0.2);
                let fault = if is_hit { RUN_FAULTS[self.random.random_range(1..4)] } else { RunFault::None };
                self.attempts[position].is_sent |= fault != RunFault::NotSent;
                let body = self.attempts[position].body;
                ClaimEvent::Target(self.rows[key].run(body, fault))
            }
            ClaimAction::Wait => ClaimEvent::Waited,
            ClaimAction::End(end) => {
                let attempt = self.attempts.swap_remove(position);
                self.judge(&attempt, end);
                return;
            }
        };
        self.attempts[position].action = self.attempts[position].machine.step(event, self.now);
    }

    fn judge(&mut self, attempt: &ModelAttempt, end: ClaimOutcome) {
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
        if let Some(leftover) = end.leftover {
            self.leftovers.push(ModelLeftover { key: attempt.key, host: attempt.host, leftover });
        }
    }

    fn step_leftover(&mut self, position: usize, is_faulty: bool) {
        let fault = self.random_write_fault(is_faulty);
        let pending = &mut self.leftovers[position];
        let result = self.rows[pending.key].write(&pending.leftover.write, fault);
        match next_deferred_write(&pending.leftover, &result) {
            Some(next) => pending.leftover = next,
            None => {
                self.leftovers.swap_remove(position);
            }
        }
    }

    fn kill_host(&mut self, host: usize) {
        self.lives[host] += 1;
        for attempt in self.attempts.iter().filter(|attempt| attempt.host == host) {
            self.rows[attempt.key].is_disturbed = true;
        }
        for pending in self.leftovers.iter().filter(|pending| pending.host == host) {
            self.rows[pending.key].is_disturbed = true;
        }
        self.attempts.retain(|attempt| attempt.host != host);
        self.leftovers.retain(|pending| pending.host != host);
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
        if !self.leftovers.is_empty() && self.random.random_bool(0.2) {
            let position = self.random.random_range(0..self.leftovers.len());
            self.step_leftover(position, is_faulty);
        }
        if !self.attempts.is_empty() {
            let position = self.random.random_range(0..self.attempts.len());
            self.step_attempt(position, is_faulty);
        }
    }

    /// Lets everything under way end without further faults.
    fn drain(&mut self) {
        for key in 0..MODEL_KEYS {
            self.rows[key].apply_delayed();
        }
        while !self.attempts.is_empty() || !self.leftovers.is_empty() {
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
        // Asked once more without faults, every claim has an answer, unless a host's death or a silent target excuses it.
        for key in 0..MODEL_KEYS {
            let claimed = self.rows[key].current.as_ref().map(|seen| seen.row.body_hash.as_str());
            let body = if claimed == Some("other") { "other" } else { "body" };
            self.start_attempt(key, body);
            self.drain();
            let row = &self.rows[key];
            self.totals.second_runs += row.runs.len().saturating_sub(1);
            let is_done = row.current.as_ref().is_some_and(|seen| seen.row.state == ClaimState::Done);
            let is_excused = row.is_disturbed || row.is_unanswered;
            let is_unknown = row.current.as_ref().is_some_and(|seen| seen.row.state == ClaimState::Unknown);
            self.totals.lost_claims += usize::from(!(is_done || is_excused && is_unknown));
        }
        self.totals
    }
}

/// Guards against a second run, a lost or wrong answer and a false "not run" when faults, deaths of hosts and repeated
/// requests coincide.
#[googletest::test]
fn random_faults_keep_one_run() {
    let mut requests = 0;
    for seed in 1..=12 {
        let totals = ClaimModel::new(seed).run(2000);
        println!("seed={seed} {totals:?}");
        requests += totals.requests;
        let clean = ModelTotals { requests: totals.requests, ..ModelTotals::default() };
        expect_that!(totals, eq(&clean), "seed {seed}");
    }
    expect_that!(requests, ge(10_000));
}
