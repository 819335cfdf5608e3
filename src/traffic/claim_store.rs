//! Runs requests that may not be repeated: carries out the actions of the claim machine on the table service.
//!
//! Rows are kept for good by the hosts: a row that was deleted would let a delayed retry of a caller run a second
//! time. `docs/callers.md` says for how long a key is remembered at least, and an operator may let the table service
//! drop older rows.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError, Weak};

use crate::control::ControlView;
use crate::control::control_view::MemberState;
use crate::control::host_session::SessionRow;
use crate::control::store_call::SESSION_TABLE;
use crate::generated::platform_messages::{RowCheck, RowWrite, TableRow};
use crate::prelude::*;
use crate::store_client::{StoreCallError, StoreClient, encode_key};
use crate::traffic::claim_state::{
    ClaimAction, ClaimEvent, ClaimMachine, ClaimPlan, ClaimRow, ClaimState, ClaimStoreError, ClaimWrite,
    DeferredClaimWrite, OwnerState, SeenClaim, SendOutcome, StoredAnswer, WriteResult, next_deferred_write,
};
use crate::traffic::engine_runner::ViewSource;

/// Table of claims.
pub const CLAIM_TABLE: &str = "claims";

/// Time for which a lost claim write is settled before the caller is told to ask again.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time for which a caller waits for a request with its key that runs elsewhere.
const CLAIM_WAIT: Duration = Duration::from_secs(10);

/// Period in which a waiting caller reads the row.
const WAIT_PERIOD: Duration = Duration::from_millis(200);

/// Period in which background writes are repeated.
const LEFTOVER_PERIOD: Duration = Duration::from_millis(500);

/// Time after which a background write is given up; the row then counts as abandoned by its owner.
const LEFTOVER_LIMIT: Duration = Duration::from_mins(15);

/// Background writes at most; a store outage of [`LEFTOVER_LIMIT`] at ten bookings a second fits.
const LEFTOVER_COUNT: usize = 10_000;

/// Time beyond its answer limit for which a claim of a host in another failure domain may stay unchanged. Such a host
/// is not seen to die; it settles its claims within this time while it lives and the store answers it.
const SILENCE_LIMIT: Duration = Duration::from_mins(16);

/// Claims of other failure domains whose silence is being timed at most.
const WATCHED_CLAIMS: usize = 4096;

/// A request that may not be repeated.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Organisation that sent it.
    pub organisation: OrganisationId,
    /// Its idempotency key.
    pub idempotency_key: String,
    /// SHA-256 of method, path, query and body, in hexadecimal.
    pub body_hash: String,
    /// Longest time that the target may take.
    pub answer_limit: Duration,
}

/// Row key of a claim. Both parts are encoded, since a slash in either could name another organisation's claim.
#[must_use]
pub fn claim_key(organisation: &str, idempotency_key: &str) -> String {
    format!("{}/{}", encode_key(organisation), encode_key(idempotency_key))
}

/// Claims of this host.
pub struct ClaimStore {
    platform: StoreClient,
    view: ViewSource,
    clock: TimeSource,
    next_token: AtomicU64,
    local: Mutex<LocalClaims>,
    has_leftover: Condvar,
}

#[derive(Default)]
struct LocalClaims {
    /// Tokens of attempts that this host has not finished, sorted.
    live_tokens: Vec<String>,
    leftovers: VecDeque<PendingLeftover>,
    /// Claims of hosts that are not members of the own domain, sorted by key.
    watched: Vec<WatchedClaim>,
}

struct PendingLeftover {
    key: String,
    leftover: DeferredClaimWrite,
    give_up_at: BootTime,
    /// Keeps the claim's token live until the row is settled.
    guard: TokenGuard,
}

struct WatchedClaim {
    key: String,
    version: u64,
    since: BootTime,
}

/// Removes a token when its attempt is over, also when the attempt panics.
struct TokenGuard {
    store: Weak<ClaimStore>,
    token: String,
}

impl Drop for TokenGuard {
    fn drop(&mut self) {
        let Some(store) = self.store.upgrade() else { return };
        let mut local = store.lock();
        if let Ok(position) = local.live_tokens.binary_search(&self.token) {
            local.live_tokens.remove(position);
        }
    }
}

impl ClaimStore {
    /// Claims in the table of `platform`; starts the thread that repeats background writes.
    #[must_use]
    pub fn start(platform: StoreClient, view: ViewSource, clock: TimeSource) -> Arc<Self> {
        let store = Arc::new(Self {
            platform,
            view,
            clock,
            next_token: AtomicU64::new(1),
            local: Mutex::default(),
            has_leftover: Condvar::new(),
        });
        let weak = Arc::downgrade(&store);
        let thread = std::thread::Builder::new().name("claim-settler".to_owned());
        if thread.spawn(move || settle_leftovers(&weak)).is_err() {
            log::error!("claim_settler_not_started");
        }
        store
    }

    /// Runs a request at most once. `send` is called at most once, and only when the claim is held.
    ///
    /// # Errors
    ///
    /// There is no answer for this caller.
    pub fn run(
        self: &Arc<Self>,
        request: &ClaimRequest,
        send: &mut dyn FnMut() -> SendOutcome,
    ) -> Result<StoredAnswer, ResultCode> {
        let key = claim_key(&request.organisation, &request.idempotency_key);
        let view = (self.view)();
        let guard = self.new_token(&view);
        let now = (self.clock)();
        let (mut machine, mut action) = ClaimMachine::start(ClaimPlan {
            row: ClaimRow {
                body_hash: request.body_hash.clone(),
                state: ClaimState::Claimed,
                host: view.host.clone(),
                incarnation: view.incarnation,
                answer_limit_ms: whole_millis(request.answer_limit),
                answer: None,
            },
            token: guard.token.clone(),
            settle_until: now + SETTLE_TIME,
            wait_until: now + CLAIM_WAIT,
        });
        loop {
            let event = match action {
                ClaimAction::Write(write) => ClaimEvent::Written(self.write(&key, &write)),
                ClaimAction::Read => ClaimEvent::Read(self.read(&key)),
                ClaimAction::CheckOwner(seen) => ClaimEvent::Owner(self.check_owner(&key, &seen)),
                ClaimAction::SendToTarget => ClaimEvent::Target(send()),
                ClaimAction::Wait => {
                    std::thread::sleep(WAIT_PERIOD);
                    ClaimEvent::Waited
                }
                ClaimAction::End(end) => {
                    if let Some(leftover) = end.leftover {
                        self.add_leftover(key, leftover, guard);
                    }
                    return end.result;
                }
            };
            action = machine.step(event, (self.clock)());
        }
    }

    /// State and answer of a claim; `None` when there is none.
    ///
    /// # Errors
    ///
    /// The store gave no result.
    pub fn outcome(
        self: &Arc<Self>,
        organisation: &str,
        idempotency_key: &str,
    ) -> Result<Option<ClaimRow>, ResultCode> {
        let key = claim_key(organisation, idempotency_key);
        let seen = self.read(&key).map_err(|_| ResultCode::StoreUnavailable)?;
        let Some(mut seen) = seen.filter(|seen| seen.row.state != ClaimState::Void) else { return Ok(None) };
        if seen.row.state == ClaimState::Claimed && self.check_owner(&key, &seen) == OwnerState::Gone {
            seen.row.state = ClaimState::Unknown;
        }
        Ok(Some(seen.row))
    }

    /// Number of claims whose rows are not settled; a planned stop waits until there are none.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.lock().live_tokens.len()
    }

    fn lock(&self) -> MutexGuard<'_, LocalClaims> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn new_token(self: &Arc<Self>, view: &ControlView) -> TokenGuard {
        let number = self.next_token.fetch_add(1, Ordering::Relaxed);
        let token = format!("claim-{:016x}-{number:x}", view.incarnation);
        let mut local = self.lock();
        if let Err(position) = local.live_tokens.binary_search(&token) {
            local.live_tokens.insert(position, token.clone());
        }
        drop(local);
        TokenGuard { store: Arc::downgrade(self), token }
    }

    fn write(&self, key: &str, write: &ClaimWrite) -> WriteResult {
        let Ok(value) = serde_json::to_string(&write.row) else { return WriteResult::Fault(ClaimStoreError::NotDone) };
        let (table, key) = (CLAIM_TABLE.to_owned(), key.to_owned());
        let check = RowCheck { table: table.clone(), key: key.clone(), version: write.version };
        let row = RowWrite { table, key, value: Some(value) };
        match self.platform.transact(&write.token, vec![check], vec![row]) {
            Ok(answer) if answer.applied => WriteResult::Applied,
            Ok(answer) => match answer.conflicts.into_iter().next().map(seen_claim) {
                Some(Ok(seen)) => WriteResult::Conflict(seen.map(Box::new)),
                Some(Err(fault)) => WriteResult::Fault(fault),
                None => WriteResult::Conflict(None),
            },
            Err(fault) => WriteResult::Fault(store_fault(&fault)),
        }
    }

    fn read(&self, key: &str) -> Result<Option<SeenClaim>, ClaimStoreError> {
        let row = self.platform.read_row(CLAIM_TABLE, key).map_err(|fault| store_fault(&fault))?;
        row.map_or(Ok(None), seen_claim)
    }

    fn check_owner(&self, key: &str, seen: &SeenClaim) -> OwnerState {
        let view = (self.view)();
        if seen.row.host == view.host && seen.row.incarnation == view.incarnation {
            let is_live = self.lock().live_tokens.binary_search(&seen.writer_token).is_ok();
            return if is_live { OwnerState::Live } else { OwnerState::Gone };
        }
        if seen.row.host == view.host && seen.row.incarnation < view.incarnation {
            return OwnerState::Gone;
        }
        let member = view.members.iter().find(|member| member.host == seen.row.host);
        match member {
            Some(member) if member.incarnation > seen.row.incarnation => OwnerState::Gone,
            Some(member) if member.incarnation == seen.row.incarnation => {
                if member.state == MemberState::Dead {
                    OwnerState::Gone
                } else {
                    OwnerState::Live
                }
            }
            // A life that this host has not heard of yet, or a host of another failure domain.
            _ if self.has_later_session(seen) => OwnerState::Gone,
            _ => self.check_silence(key, seen),
        }
    }

    /// Whether the session row of a host belongs to a later life of it than the one that claimed.
    fn has_later_session(&self, seen: &SeenClaim) -> bool {
        let row = self.platform.read_row(SESSION_TABLE, &seen.row.host).ok().flatten();
        let session = row.and_then(|row| serde_json::from_str::<SessionRow>(&row.value).ok());
        session.is_some_and(|session| session.incarnation > seen.row.incarnation)
    }

    /// Times how long a claim stays unchanged, by the clock of this host.
    fn check_silence(&self, key: &str, seen: &SeenClaim) -> OwnerState {
        let now = (self.clock)();
        let limit = Duration::from_millis(seen.row.answer_limit_ms).saturating_add(SILENCE_LIMIT);
        let mut local = self.lock();
        let watched = &mut local.watched;
        match watched.binary_search_by(|claim| claim.key.as_str().cmp(key)) {
            Ok(position) if watched[position].version == seen.version => {
                let is_silent = now.saturating_sub(watched[position].since) > limit;
                return if is_silent { OwnerState::Gone } else { OwnerState::Live };
            }
            Ok(position) => watched[position] = WatchedClaim { key: key.to_owned(), version: seen.version, since: now },
            Err(position) => {
                watched.insert(position, WatchedClaim { key: key.to_owned(), version: seen.version, since: now });
                if watched.len() > WATCHED_CLAIMS {
                    let oldest = watched.iter().enumerate().min_by_key(|(_, claim)| claim.since);
                    if let Some((oldest, _)) = oldest {
                        watched.remove(oldest);
                    }
                }
            }
        }
        OwnerState::Live
    }

    fn add_leftover(&self, key: String, leftover: DeferredClaimWrite, guard: TokenGuard) {
        log::warn!(token = guard.token.as_str(); "claim_left_unsettled");
        let give_up_at = (self.clock)() + LEFTOVER_LIMIT;
        let mut local = self.lock();
        local.leftovers.push_back(PendingLeftover { key, leftover, give_up_at, guard });
        let surplus = if local.leftovers.len() > LEFTOVER_COUNT { local.leftovers.pop_front() } else { None };
        drop(local);
        drop(surplus);
        self.has_leftover.notify_one();
    }

    /// Tries each background write once; returns whether any is left.
    fn settle_round(&self) -> bool {
        let count = self.lock().leftovers.len();
        for _ in 0..count {
            let Some(mut pending) = self.lock().leftovers.pop_front() else { break };
            let result = self.write(&pending.key, &pending.leftover.write);
            let is_fault = matches!(result, WriteResult::Fault(_));
            let Some(next) = next_deferred_write(&pending.leftover, &result) else {
                log::info!(token = pending.guard.token.as_str(); "claim_settled");
                continue;
            };
            if (self.clock)() >= pending.give_up_at {
                log::error!(token = pending.guard.token.as_str(); "claim_settling_given_up");
                continue;
            }
            pending.leftover = next;
            self.lock().leftovers.push_back(pending);
            if is_fault {
                // The store does not answer: the rest of the round would only wait as well.
                break;
            }
        }
        !self.lock().leftovers.is_empty()
    }

    fn wait_for_leftover(&self) {
        let local = self.lock();
        let is_empty = |local: &mut LocalClaims| local.leftovers.is_empty();
        let _ = self.has_leftover.wait_timeout_while(local, LEFTOVER_PERIOD, is_empty);
    }
}

/// Runs until the store is dropped.
fn settle_leftovers(store: &Weak<ClaimStore>) {
    while let Some(store) = store.upgrade() {
        store.wait_for_leftover();
        if store.settle_round() {
            drop(store);
            std::thread::sleep(LEFTOVER_PERIOD);
        }
    }
}

fn seen_claim(row: TableRow) -> Result<Option<SeenClaim>, ClaimStoreError> {
    if row.version == 0 {
        return Ok(None);
    }
    // A row that cannot be read must not be taken for an absent one.
    let value = serde_json::from_str(&row.value).map_err(|_| ClaimStoreError::Lost)?;
    Ok(Some(SeenClaim { row: value, version: row.version, writer_token: row.writer_token }))
}

fn store_fault(fault: &StoreCallError) -> ClaimStoreError {
    match fault {
        StoreCallError::NotSent | StoreCallError::Refused(_) => ClaimStoreError::NotDone,
        StoreCallError::AnswerLost | StoreCallError::Malformed => ClaimStoreError::Lost,
    }
}
