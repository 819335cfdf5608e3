//! Pure state machine of one request that may run at most once.
//!
//! The row of a claim goes absent -> claimed -> done or unknown. A claim whose request certainly was not sent becomes
//! `void`, from which a later request with the same key may claim again; the row is never deleted for that, because a
//! delayed copy of an earlier write, conditional on absence, could then claim it a second time.
//!
//! The machine has at most one action outstanding. It asks for [`ClaimAction::SendToTarget`] only after the store has
//! shown that the row was claimed by its own writer token, and never twice.

use crate::prelude::*;
pub use crate::traffic::claim_row::{ClaimRow, ClaimState, SeenClaim, StoredAnswer, StoredHeader};

/// Why the store gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStoreError {
    /// The write did not and cannot take effect.
    NotDone,
    /// The write may have taken effect, or may still do so.
    Lost,
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect.
    Applied,
    /// The row has another version; `None` when it is absent.
    Conflict(Option<Box<SeenClaim>>),
    /// There is no result.
    Fault(ClaimStoreError),
}

/// A conditional write of the claim row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// New value.
    pub row: ClaimRow,
    /// Version that the row must have; 0 for absence.
    pub version: u64,
    /// Token of this write. A repeated write keeps its token, so that its own effect is recognised.
    pub token: String,
}

/// Whether the owner of a claim can still complete it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// It may complete the claim.
    Live,
    /// It is dead, was replaced, or has given the claim up.
    Gone,
}

/// How the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// It answered.
    Answered(StoredAnswer),
    /// No byte of the request left this host, and none will.
    NotSent(ResultCode),
    /// It may have run the request.
    NoAnswer,
}

/// Something that the machine must know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// Result of the outstanding write.
    Written(WriteResult),
    /// Result of the outstanding read.
    Read(Result<Option<SeenClaim>, ClaimStoreError>),
    /// Result of the outstanding owner check.
    Owner(OwnerState),
    /// End of the outstanding exchange with the target.
    Target(SendOutcome),
    /// The outstanding wait is over.
    Waited,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the row.
    Write(ClaimWrite),
    /// Read the row.
    Read,
    /// Find out whether the owner of this row lives.
    CheckOwner(SeenClaim),
    /// Send the request, once.
    SendToTarget,
    /// Wait a little.
    Wait,
    /// Answer the caller.
    End(ClaimOutcome),
}

/// How the request ends for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// Answer, or the code of a refusal.
    pub result: Result<StoredAnswer, ResultCode>,
    /// Work on the row that goes on in the background.
    pub leftover: Option<DeferredClaimWrite>,
}

/// A write that is repeated in the background until the row is settled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeferredClaimWrite {
    /// Write to repeat.
    pub write: ClaimWrite,
    /// Token of a claim write that may still take effect; its row is overwritten as well.
    pub claim_token: Option<String>,
}

/// Who claims, and until when it tries.
#[derive(Debug, Clone)]
pub struct ClaimPlan {
    /// Row as it is claimed.
    pub row: ClaimRow,
    /// Token of this attempt; unique.
    pub token: String,
    /// Time until which an unsettled claim write is settled before the caller is told to ask again.
    pub settle_until: BootTime,
    /// Time until which the caller waits for a request that runs elsewhere.
    pub wait_until: BootTime,
}

#[derive(Debug, Clone)]
enum ClaimPhase {
    Claiming,
    ReadBack,
    Watching,
    OwnerCheck(SeenClaim),
    Marking,
    Sending,
    Storing(StoredAnswer),
    Closing(ResultCode),
    Ended,
}

/// One attempt to run a request at most once.
#[derive(Debug)]
pub struct ClaimMachine {
    plan: ClaimPlan,
    phase: ClaimPhase,
    /// Version that the row must have for the claim write.
    base_version: u64,
    /// Whether a claim write was lost and may still take effect.
    may_be_claimed: bool,
    /// Version of the row as claimed by this attempt.
    claimed_version: u64,
    last_write: Option<ClaimWrite>,
}

impl ClaimMachine {
    /// Machine and its first action.
    #[must_use]
    pub fn start(plan: ClaimPlan) -> (Self, ClaimAction) {
        let mut machine = Self {
            plan,
            phase: ClaimPhase::Claiming,
            base_version: 0,
            may_be_claimed: false,
            claimed_version: 0,
            last_write: None,
        };
        let action = machine.write_claim();
        (machine, action)
    }

    /// Takes the result of the outstanding action and gives the next one.
    pub fn step(&mut self, event: ClaimEvent, now: BootTime) -> ClaimAction {
        match (self.phase.clone(), event) {
            (ClaimPhase::Claiming, ClaimEvent::Written(result)) => self.after_claim(result, now),
            (ClaimPhase::ReadBack, ClaimEvent::Read(result)) => self.after_read_back(result, now),
            (ClaimPhase::ReadBack | ClaimPhase::Watching, ClaimEvent::Waited) => ClaimAction::Read,
            (ClaimPhase::Watching, ClaimEvent::Read(result)) => self.after_watch(result, now),
            (ClaimPhase::OwnerCheck(seen), ClaimEvent::Owner(owner)) => self.after_owner_check(&seen, owner, now),
            (ClaimPhase::Marking, ClaimEvent::Written(result)) => self.after_marking(result, now),
            (ClaimPhase::Sending, ClaimEvent::Target(end)) => self.after_target(end),
            (ClaimPhase::Storing(answer), ClaimEvent::Written(result)) => self.after_closing(Ok(answer), &result),
            (ClaimPhase::Closing(code), ClaimEvent::Written(result)) => self.after_closing(Err(code), &result),
            _ => self.end(Err(ResultCode::Internal)),
        }
    }

    fn write_claim(&mut self) -> ClaimAction {
        self.phase = ClaimPhase::Claiming;
        let row = self.plan.row.clone();
        self.write(ClaimWrite { row, version: self.base_version, token: self.plan.token.clone() })
    }

    fn write(&mut self, write: ClaimWrite) -> ClaimAction {
        self.last_write = Some(write.clone());
        ClaimAction::Write(write)
    }

    fn end(&mut self, result: Result<StoredAnswer, ResultCode>) -> ClaimAction {
        self.phase = ClaimPhase::Ended;
        ClaimAction::End(ClaimOutcome { result, leftover: None })
    }

    fn after_claim(&mut self, result: WriteResult, now: BootTime) -> ClaimAction {
        match result {
            WriteResult::Applied => self.send(self.base_version + 1),
            WriteResult::Conflict(Some(seen)) => self.after_claim_row(*seen, now),
            WriteResult::Conflict(None) => {
                self.base_version = 0;
                if now < self.plan.settle_until { self.write_claim() } else { self.end_unsettled() }
            }
            WriteResult::Fault(ClaimStoreError::NotDone) if !self.may_be_claimed => {
                self.end(Err(ResultCode::ClaimRefused))
            }
            WriteResult::Fault(fault) => {
                self.may_be_claimed |= fault == ClaimStoreError::Lost;
                self.phase = ClaimPhase::ReadBack;
                ClaimAction::Read
            }
        }
    }

    /// The row is there. Claim writes are conditional on an older version, so none can take effect from now on.
    fn after_claim_row(&mut self, seen: SeenClaim, now: BootTime) -> ClaimAction {
        if seen.writer_token == self.plan.token {
            return self.send(seen.version);
        }
        if seen.version > self.base_version {
            self.may_be_claimed = false;
        }
        self.examine(seen, now)
    }

    fn send(&mut self, claimed_version: u64) -> ClaimAction {
        self.claimed_version = claimed_version;
        self.phase = ClaimPhase::Sending;
        ClaimAction::SendToTarget
    }

    fn after_read_back(&mut self, result: Result<Option<SeenClaim>, ClaimStoreError>, now: BootTime) -> ClaimAction {
        let is_late = now >= self.plan.settle_until;
        match result {
            Ok(Some(seen)) if seen.version > self.base_version => self.after_claim_row(seen, now),
            Ok(_) | Err(_) if is_late => self.end_unsettled(),
            // Not there, or not yet: the same write again, with the same token, settles it.
            Ok(_) => self.write_claim(),
            Err(_) => ClaimAction::Wait,
        }
    }

    /// Gives up. A claim write that may still take effect is overwritten in the background, since nobody would send
    /// the request that it claims.
    fn end_unsettled(&mut self) -> ClaimAction {
        if !self.may_be_claimed {
            return self.end(Err(ResultCode::ClaimRefused));
        }
        self.phase = ClaimPhase::Ended;
        let write = self.closing_write(ClaimState::Void, None, self.base_version);
        let leftover = Some(DeferredClaimWrite { write, claim_token: Some(self.plan.token.clone()) });
        ClaimAction::End(ClaimOutcome { result: Err(ResultCode::ClaimUnsettled), leftover })
    }

    fn examine(&mut self, seen: SeenClaim, now: BootTime) -> ClaimAction {
        if seen.row.state == ClaimState::Void {
            self.base_version = seen.version;
            return if now < self.plan.settle_until { self.write_claim() } else { self.end_unsettled() };
        }
        if seen.row.body_hash != self.plan.row.body_hash {
            return self.end(Err(ResultCode::ClaimMismatch));
        }
        match (seen.row.state, &seen.row.answer) {
            (ClaimState::Done, Some(answer)) => {
                let answer = answer.clone();
                self.end(Ok(answer))
            }
            (ClaimState::Claimed, _) => {
                self.phase = ClaimPhase::OwnerCheck(seen.clone());
                ClaimAction::CheckOwner(seen)
            }
            _ => self.end(Err(ResultCode::OutcomeUnknown)),
        }
    }

    fn after_owner_check(&mut self, seen: &SeenClaim, owner: OwnerState, now: BootTime) -> ClaimAction {
        if owner == OwnerState::Gone {
            self.phase = ClaimPhase::Marking;
            let row = ClaimRow { state: ClaimState::Unknown, ..seen.row.clone() };
            let token = format!("{}.unknown", self.plan.token);
            return self.write(ClaimWrite { row, version: seen.version, token });
        }
        if now >= self.plan.wait_until {
            return self.end(Err(ResultCode::ClaimRunning));
        }
        self.phase = ClaimPhase::Watching;
        ClaimAction::Wait
    }

    fn after_marking(&mut self, result: WriteResult, now: BootTime) -> ClaimAction {
        match result {
            WriteResult::Applied => self.end(Err(ResultCode::OutcomeUnknown)),
            // The owner completed it after all, or another host marked it.
            WriteResult::Conflict(Some(seen)) => self.examine(*seen, now),
            // "Unknown" must hold for ever once it is said, so it is not said before it is stored.
            WriteResult::Conflict(None) | WriteResult::Fault(_) => self.end(Err(ResultCode::ClaimUnsettled)),
        }
    }

    fn after_watch(&mut self, result: Result<Option<SeenClaim>, ClaimStoreError>, now: BootTime) -> ClaimAction {
        match result {
            Ok(Some(seen)) => self.examine(seen, now),
            Ok(None) => self.end(Err(ResultCode::ClaimUnsettled)),
            Err(_) if now >= self.plan.wait_until => self.end(Err(ResultCode::ClaimRunning)),
            Err(_) => ClaimAction::Wait,
        }
    }

    fn after_target(&mut self, end: SendOutcome) -> ClaimAction {
        let (phase, state, answer) = match end {
            SendOutcome::Answered(answer) => (ClaimPhase::Storing(answer.clone()), ClaimState::Done, Some(answer)),
            SendOutcome::NotSent(code) => (ClaimPhase::Closing(code), ClaimState::Void, None),
            SendOutcome::NoAnswer => (ClaimPhase::Closing(ResultCode::OutcomeUnknown), ClaimState::Unknown, None),
        };
        self.phase = phase;
        let write = self.closing_write(state, answer, self.claimed_version);
        self.write(write)
    }

    fn closing_write(&self, state: ClaimState, answer: Option<StoredAnswer>, version: u64) -> ClaimWrite {
        let row = ClaimRow { state, answer, ..self.plan.row.clone() };
        ClaimWrite { row, version, token: format!("{}.end", self.plan.token) }
    }

    /// The caller gets its result whether or not it could be stored; after a fault the write is repeated.
    fn after_closing(&mut self, result: Result<StoredAnswer, ResultCode>, written: &WriteResult) -> ClaimAction {
        self.phase = ClaimPhase::Ended;
        let write = self.last_write.take().filter(|_| matches!(written, WriteResult::Fault(_)));
        let leftover = write.map(|write| DeferredClaimWrite { write, claim_token: None });
        ClaimAction::End(ClaimOutcome { result, leftover })
    }
}

/// Next write of a leftover after this result; `None` when the row is settled.
#[must_use]
pub fn next_deferred_write(leftover: &DeferredClaimWrite, result: &WriteResult) -> Option<DeferredClaimWrite> {
    match result {
        WriteResult::Applied => None,
        WriteResult::Fault(_) => Some(leftover.clone()),
        WriteResult::Conflict(seen) => {
            let seen = seen.as_ref()?;
            let is_own_claim = leftover.claim_token.as_ref() == Some(&seen.writer_token);
            is_own_claim.then(|| {
                let mut next = leftover.clone();
                next.write.version = seen.version;
                next
            })
        }
    }
}
