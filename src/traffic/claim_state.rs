//! State machine of one request that may run at most once, without I/O.
//!
//! A claim row goes from absent to claimed, then to done or unknown. A claim whose request certainly was not sent
//! becomes `void`, and a later request with the same key may claim the key again. The row is not deleted instead: an
//! earlier claim write that requires an absent row may be delayed, and would then take effect.
//!
//! The machine has at most one action outstanding. It asks for [`ClaimAction::SendToTarget`] at most once, and only
//! after the store has shown that the row was claimed with the writer token of this attempt.

use crate::prelude::*;
pub use crate::traffic::claim_row::{ClaimRow, ClaimState, StoredAnswer, StoredClaim, StoredHeader};

/// Why a read or write of the claim row gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStoreError {
    /// The call failed; a write did not take effect and cannot do so later.
    NotDone,
    /// No readable response came; a write may have taken effect, or may still do so.
    Lost,
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Applied,
    /// The write did not take effect, because the row has another version; `None` when the row is absent.
    Conflict(Option<Box<StoredClaim>>),
    /// The write had no result.
    Failed(ClaimStoreError),
}

/// A conditional write of the claim row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// New content of the row.
    pub row: ClaimRow,
    /// Version that the row must have; 0 when it must be absent.
    pub version: u64,
    /// Writer token. A repeated write keeps its token, so that the effect of an earlier copy is recognised.
    pub token: String,
}

/// Whether the owner of a claim can still complete it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerState {
    /// The owner may still complete the claim.
    Live,
    /// The owner is taken for dead, was replaced by a later incarnation, or no longer works on the claim.
    Gone,
}

/// How the exchange with the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The target sent a whole response.
    Answered(StoredAnswer),
    /// No byte of the request left this host, and none will; the code is the result for the caller.
    NotSent(ResultCode),
    /// The target may have run the request, but no whole response arrived.
    NoAnswer,
}

/// Result of the outstanding [`ClaimAction`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// Result of [`ClaimAction::Write`].
    Written(WriteResult),
    /// Result of [`ClaimAction::Read`]; `None` when the row is absent.
    Read(Result<Option<StoredClaim>, ClaimStoreError>),
    /// Result of [`ClaimAction::CheckOwner`].
    OwnerChecked(OwnerState),
    /// Result of [`ClaimAction::SendToTarget`].
    SendEnded(SendOutcome),
    /// [`ClaimAction::Wait`] is over.
    Waited,
}

/// What the caller of the machine must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write the claim row if it has the given version.
    Write(ClaimWrite),
    /// Read the claim row and pass it on as [`ClaimEvent::Read`].
    Read,
    /// Find out whether the owner of this claim can still complete it.
    CheckOwner(StoredClaim),
    /// Send the request to a target.
    SendToTarget,
    /// Wait for one poll interval, which the caller of the machine chooses.
    Wait,
    /// Return the result to the caller of the request; the attempt is over.
    End(ClaimOutcome),
}

/// Result of the attempt, and what remains to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// Response of the target, or the code that the caller of the request gets instead.
    pub result: Result<StoredAnswer, ResultCode>,
    /// Write that must be retried in the background; `None` when the row needs no further write.
    pub deferred_write: Option<DeferredClaimWrite>,
}

/// A write that is retried in the background until it takes effect or has become pointless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeferredClaimWrite {
    /// Conditional write; its token stays the same in each retry.
    pub write: ClaimWrite,
    /// Token of a claim write that may still take effect; `None` when there is no such write. When the row holds that
    /// claim, `write` is retried with the version of the row and so replaces the claim.
    pub claim_token: Option<String>,
}

/// Claim of one attempt, and its time limits.
#[derive(Debug, Clone)]
pub struct ClaimPlan {
    /// Content of the row in state [`ClaimState::Claimed`].
    pub row: ClaimRow,
    /// Writer token of the claim write; unique for each attempt.
    pub token: String,
    /// Time after which no further claim write is issued; the caller then gets [`ResultCode::ClaimUnsettled`], or
    /// [`ResultCode::ClaimRefused`] when no earlier claim write can take effect.
    pub claim_deadline: BootTime,
    /// Time until which this attempt waits for the owner of an existing claim to complete it.
    pub owner_deadline: BootTime,
}

#[derive(Debug, Clone)]
enum ClaimPhase {
    Claiming,
    ReadingBack,
    AwaitingOwner,
    CheckingOwner(StoredClaim),
    MarkingUnknown,
    Sending,
    StoringAnswer(StoredAnswer),
    StoringFailure(ResultCode),
    Ended,
}

/// One attempt to run a request at most once.
#[derive(Debug)]
pub struct ClaimMachine {
    plan: ClaimPlan,
    phase: ClaimPhase,
    /// Version that the row must have for the claim write; 0 when it must be absent.
    base_version: u64,
    /// Whether a claim write had no result and may still take effect.
    has_unknown_claim_write: bool,
    /// Version of the row as claimed by this attempt; 0 until then.
    claimed_version: u64,
    /// Most recently issued write.
    last_write: Option<ClaimWrite>,
}

impl ClaimMachine {
    /// Creates the machine; returns it with its first action, the claim write.
    #[must_use]
    pub fn start(plan: ClaimPlan) -> (Self, ClaimAction) {
        let mut machine = Self {
            plan,
            phase: ClaimPhase::Claiming,
            base_version: 0,
            has_unknown_claim_write: false,
            claimed_version: 0,
            last_write: None,
        };
        let action = machine.issue_claim_write();
        (machine, action)
    }

    /// Handles the result of the outstanding action and returns the next action. An event that does not belong to the
    /// outstanding action ends the attempt with [`ResultCode::Internal`].
    pub fn step(&mut self, event: ClaimEvent, now: BootTime) -> ClaimAction {
        match (self.phase.clone(), event) {
            (ClaimPhase::Claiming, ClaimEvent::Written(result)) => self.handle_claim_result(result, now),
            (ClaimPhase::ReadingBack, ClaimEvent::Read(result)) => self.handle_read_back(result, now),
            (ClaimPhase::ReadingBack | ClaimPhase::AwaitingOwner, ClaimEvent::Waited) => ClaimAction::Read,
            (ClaimPhase::AwaitingOwner, ClaimEvent::Read(result)) => self.handle_owner_poll(result, now),
            (ClaimPhase::CheckingOwner(stored), ClaimEvent::OwnerChecked(owner)) => {
                self.handle_owner_state(&stored, owner, now)
            }
            (ClaimPhase::MarkingUnknown, ClaimEvent::Written(result)) => self.handle_unknown_result(result, now),
            (ClaimPhase::Sending, ClaimEvent::SendEnded(outcome)) => self.handle_send_outcome(outcome),
            (ClaimPhase::StoringAnswer(answer), ClaimEvent::Written(result)) => {
                self.handle_final_result(Ok(answer), &result)
            }
            (ClaimPhase::StoringFailure(code), ClaimEvent::Written(result)) => {
                self.handle_final_result(Err(code), &result)
            }
            _ => self.end(Err(ResultCode::Internal)),
        }
    }

    fn issue_claim_write(&mut self) -> ClaimAction {
        self.phase = ClaimPhase::Claiming;
        let row = self.plan.row.clone();
        self.issue_write(ClaimWrite { row, version: self.base_version, token: self.plan.token.clone() })
    }

    fn issue_write(&mut self, write: ClaimWrite) -> ClaimAction {
        self.last_write = Some(write.clone());
        ClaimAction::Write(write)
    }

    fn end(&mut self, result: Result<StoredAnswer, ResultCode>) -> ClaimAction {
        self.phase = ClaimPhase::Ended;
        ClaimAction::End(ClaimOutcome { result, deferred_write: None })
    }

    fn handle_claim_result(&mut self, result: WriteResult, now: BootTime) -> ClaimAction {
        match result {
            WriteResult::Applied => self.issue_send(self.base_version + 1),
            WriteResult::Conflict(Some(stored)) => self.handle_existing_row(*stored, now),
            WriteResult::Conflict(None) => {
                self.base_version = 0;
                if now < self.plan.claim_deadline { self.issue_claim_write() } else { self.give_up() }
            }
            WriteResult::Failed(ClaimStoreError::NotDone) if !self.has_unknown_claim_write => {
                self.end(Err(ResultCode::ClaimRefused))
            }
            WriteResult::Failed(error) => {
                self.has_unknown_claim_write |= error == ClaimStoreError::Lost;
                self.phase = ClaimPhase::ReadingBack;
                ClaimAction::Read
            }
        }
    }

    /// Handles the row that was found after a claim write: the claim of this attempt, or a row of another one. No claim
    /// write of this attempt can take effect any more once the version of the row is above `base_version`.
    fn handle_existing_row(&mut self, stored: StoredClaim, now: BootTime) -> ClaimAction {
        if stored.writer_token == self.plan.token {
            return self.issue_send(stored.version);
        }
        if stored.version > self.base_version {
            self.has_unknown_claim_write = false;
        }
        self.handle_foreign_row(stored, now)
    }

    fn issue_send(&mut self, claimed_version: u64) -> ClaimAction {
        self.claimed_version = claimed_version;
        self.phase = ClaimPhase::Sending;
        ClaimAction::SendToTarget
    }

    fn handle_read_back(&mut self, result: Result<Option<StoredClaim>, ClaimStoreError>, now: BootTime) -> ClaimAction {
        let is_overdue = now >= self.plan.claim_deadline;
        match result {
            Ok(Some(stored)) if stored.version > self.base_version => self.handle_existing_row(stored, now),
            Ok(_) | Err(_) if is_overdue => self.give_up(),
            // The claim write has not taken effect so far. A repeated write with the same token and version can take
            // effect only once, and its result shows who holds the claim.
            Ok(_) => self.issue_claim_write(),
            Err(_) => ClaimAction::Wait,
        }
    }

    /// Ends the attempt without sending the request. A claim write that may still take effect is voided in the
    /// background, since it would otherwise hold the key for a request that nobody sends.
    fn give_up(&mut self) -> ClaimAction {
        if !self.has_unknown_claim_write {
            return self.end(Err(ResultCode::ClaimRefused));
        }
        self.phase = ClaimPhase::Ended;
        let write = self.final_write(ClaimState::Void, None, self.base_version);
        let deferred_write = Some(DeferredClaimWrite { write, claim_token: Some(self.plan.token.clone()) });
        ClaimAction::End(ClaimOutcome { result: Err(ResultCode::ClaimUnsettled), deferred_write })
    }

    /// Chooses the next action for a row that another attempt wrote: claim a void key, return the stored outcome, or
    /// check the owner of a claim.
    fn handle_foreign_row(&mut self, stored: StoredClaim, now: BootTime) -> ClaimAction {
        if stored.row.state == ClaimState::Void {
            self.base_version = stored.version;
            return if now < self.plan.claim_deadline { self.issue_claim_write() } else { self.give_up() };
        }
        if stored.row.body_hash != self.plan.row.body_hash {
            return self.end(Err(ResultCode::ClaimMismatch));
        }
        match (stored.row.state, &stored.row.answer) {
            (ClaimState::Done, Some(answer)) => {
                let answer = answer.clone();
                self.end(Ok(answer))
            }
            (ClaimState::Claimed, _) => {
                self.phase = ClaimPhase::CheckingOwner(stored.clone());
                ClaimAction::CheckOwner(stored)
            }
            _ => self.end(Err(ResultCode::OutcomeUnknown)),
        }
    }

    fn handle_owner_state(&mut self, stored: &StoredClaim, owner: OwnerState, now: BootTime) -> ClaimAction {
        if owner == OwnerState::Gone {
            self.phase = ClaimPhase::MarkingUnknown;
            let row = ClaimRow { state: ClaimState::Unknown, ..stored.row.clone() };
            let token = format!("{}.unknown", self.plan.token);
            return self.issue_write(ClaimWrite { row, version: stored.version, token });
        }
        if now >= self.plan.owner_deadline {
            return self.end(Err(ResultCode::ClaimRunning));
        }
        self.phase = ClaimPhase::AwaitingOwner;
        ClaimAction::Wait
    }

    fn handle_unknown_result(&mut self, result: WriteResult, now: BootTime) -> ClaimAction {
        match result {
            WriteResult::Applied => self.end(Err(ResultCode::OutcomeUnknown)),
            // The owner completed the claim after all, or another host marked it as unknown.
            WriteResult::Conflict(Some(stored)) => self.handle_foreign_row(*stored, now),
            // An owner that was wrongly taken for gone could still store a response. The caller is therefore not told
            // that the outcome is unknown before the row says so.
            WriteResult::Conflict(None) | WriteResult::Failed(_) => self.end(Err(ResultCode::ClaimUnsettled)),
        }
    }

    fn handle_owner_poll(
        &mut self,
        result: Result<Option<StoredClaim>, ClaimStoreError>,
        now: BootTime,
    ) -> ClaimAction {
        match result {
            Ok(Some(stored)) => self.handle_foreign_row(stored, now),
            Ok(None) => self.end(Err(ResultCode::ClaimUnsettled)),
            Err(_) if now >= self.plan.owner_deadline => self.end(Err(ResultCode::ClaimRunning)),
            Err(_) => ClaimAction::Wait,
        }
    }

    fn handle_send_outcome(&mut self, outcome: SendOutcome) -> ClaimAction {
        let (phase, state, answer) = match outcome {
            SendOutcome::Answered(answer) => {
                (ClaimPhase::StoringAnswer(answer.clone()), ClaimState::Done, Some(answer))
            }
            SendOutcome::NotSent(code) => (ClaimPhase::StoringFailure(code), ClaimState::Void, None),
            SendOutcome::NoAnswer => {
                (ClaimPhase::StoringFailure(ResultCode::OutcomeUnknown), ClaimState::Unknown, None)
            }
        };
        self.phase = phase;
        let write = self.final_write(state, answer, self.claimed_version);
        self.issue_write(write)
    }

    fn final_write(&self, state: ClaimState, answer: Option<StoredAnswer>, version: u64) -> ClaimWrite {
        let row = ClaimRow { state, answer, ..self.plan.row.clone() };
        ClaimWrite { row, version, token: format!("{}.end", self.plan.token) }
    }

    /// Ends the attempt with `result`, whether or not it was stored; a write without a result is deferred.
    fn handle_final_result(&mut self, result: Result<StoredAnswer, ResultCode>, written: &WriteResult) -> ClaimAction {
        self.phase = ClaimPhase::Ended;
        let write = self.last_write.take().filter(|_| matches!(written, WriteResult::Failed(_)));
        let deferred_write = write.map(|write| DeferredClaimWrite { write, claim_token: None });
        ClaimAction::End(ClaimOutcome { result, deferred_write })
    }
}

/// Returns what to retry after this result of a deferred write; `None` when the write took effect, or when the row is
/// absent or has been changed by another writer.
#[must_use]
pub fn next_deferred_write(deferred_write: &DeferredClaimWrite, result: &WriteResult) -> Option<DeferredClaimWrite> {
    match result {
        WriteResult::Applied => None,
        WriteResult::Failed(_) => Some(deferred_write.clone()),
        WriteResult::Conflict(stored) => {
            let stored = stored.as_ref()?;
            let is_own_claim = deferred_write.claim_token.as_ref() == Some(&stored.writer_token);
            is_own_claim.then(|| {
                let mut next = deferred_write.clone();
                next.write.version = stored.version;
                next
            })
        }
    }
}
