//! Runs requests that may not be repeated, by carrying out the actions of [`ClaimMachine`] on the table service.
//!
//! No host deletes claim rows, since a delayed retry of a caller could then run the request a second time.
//! `docs/callers.md` states the shortest time for which a key is remembered; an operator may let the table service
//! drop rows older than that.

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
    DeferredClaimWrite, OwnerState, SendOutcome, StoredAnswer, StoredClaim, WriteResult, next_deferred_write,
};
use crate::traffic::engine_runner::ViewSource;

/// Table that holds the claim rows of all hosts.
pub const CLAIM_TABLE: &str = "claims";

/// Time after which an attempt issues no further claim write and ends without sending the request.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait of a caller for another attempt that holds the claim of the same key.
const OWNER_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two reads of the claim row, while a caller waits or while reads fail.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two rounds of deferred writes.
const DEFERRED_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a deferred write is given up; this host then treats the claim as abandoned.
const DEFERRED_WRITE_TIMEOUT: Duration = Duration::from_mins(15);

/// Most deferred writes that are kept; beyond that the first in the queue is dropped. Ten deferred writes a second fit
/// while the table service is down for [`DEFERRED_WRITE_TIMEOUT`].
const MAX_DEFERRED_WRITES: usize = 10_000;

/// Margin beyond the answer limit of a claim, after which an unchanged claim counts as abandoned. The rule applies when
/// this host cannot see whether the owner lives, such as for an owner in another failure domain. A live owner completes
/// the claim within this margin if the table service responds to it.
const UNCHANGED_CLAIM_MARGIN: Duration = Duration::from_mins(16);

/// Most claims that are watched for changes of their rows; beyond that the one watched longest is dropped.
const MAX_WATCHED_CLAIMS: usize = 4096;

/// A request that may not be repeated.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Idempotency key that the caller chose; claims of different organisations never share a key.
    pub idempotency_key: String,
    /// SHA-256 of method, path, query and body of the request, in hexadecimal.
    pub body_hash: String,
    /// Longest time that the target may take to respond.
    pub answer_limit: Duration,
}

/// Returns the row key of a claim. Both parts are encoded, since a slash in either could name the claim of another
/// organisation.
#[must_use]
pub fn claim_key(organisation: &str, idempotency_key: &str) -> String {
    format!("{}/{}", encode_key(organisation), encode_key(idempotency_key))
}

/// Runs requests on this host at most once, and retries deferred writes of claim rows in a thread.
pub struct ClaimStore {
    client: StoreClient,
    view: ViewSource,
    clock: TimeSource,
    next_token: AtomicU64,
    claims: Mutex<LocalClaims>,
    deferred_write_added: Condvar,
}

#[derive(Default)]
struct LocalClaims {
    /// Tokens of attempts that still run or have a deferred write, sorted.
    live_tokens: Vec<String>,
    deferred_writes: VecDeque<DeferredWriteEntry>,
    /// Claims of incarnations that this host knows neither as members nor as replaced, sorted by key; see
    /// [`ClaimStore::check_unchanged_time`].
    watched: Vec<WatchedClaim>,
}

struct DeferredWriteEntry {
    key: String,
    deferred_write: DeferredClaimWrite,
    give_up_at: BootTime,
    /// Keeps the token of the attempt live until this write is done or given up.
    guard: TokenGuard,
}

struct WatchedClaim {
    key: String,
    version: u64,
    /// When this host first read the row with this version.
    since: BootTime,
}

/// Removes the token of an attempt from the live tokens when dropped, also when the attempt panics.
struct TokenGuard {
    store: Weak<ClaimStore>,
    token: String,
}

impl Drop for TokenGuard {
    fn drop(&mut self) {
        let Some(store) = self.store.upgrade() else { return };
        let mut claims = store.lock();
        if let Ok(position) = claims.live_tokens.binary_search(&self.token) {
            claims.live_tokens.remove(position);
        }
    }
}

impl ClaimStore {
    /// Creates a claim store that uses the table service through `client`, and starts the thread that retries deferred
    /// writes. If the thread cannot be started, an error is logged and deferred writes are not retried.
    #[must_use]
    pub fn start(client: StoreClient, view: ViewSource, clock: TimeSource) -> Arc<Self> {
        let store = Arc::new(Self {
            client,
            view,
            clock,
            next_token: AtomicU64::new(1),
            claims: Mutex::default(),
            deferred_write_added: Condvar::new(),
        });
        let weak_store = Arc::downgrade(&store);
        let thread = std::thread::Builder::new().name("claim-settler".to_owned());
        if thread.spawn(move || run_deferred_writes(&weak_store)).is_err() {
            log::error!("claim_settler_not_started");
        }
        store
    }

    /// Runs a request at most once, or returns the stored response of an earlier run. `send` is called at most once,
    /// and only while this attempt holds the claim.
    ///
    /// # Errors
    ///
    /// - [`ResultCode::ClaimRefused`]: the claim was not stored and cannot be; the request was not sent.
    /// - [`ResultCode::ClaimUnsettled`]: the state of the claim is not known, or could not be stored.
    /// - [`ResultCode::ClaimMismatch`]: the key was used with another request.
    /// - [`ResultCode::ClaimRunning`]: another attempt still holds the claim.
    /// - [`ResultCode::OutcomeUnknown`]: the request may have run, and there is no response.
    /// - The code of [`SendOutcome::NotSent`].
    pub fn run(
        self: &Arc<Self>,
        request: &ClaimRequest,
        send: &mut dyn FnMut() -> SendOutcome,
    ) -> Result<StoredAnswer, ResultCode> {
        let key = claim_key(&request.organisation, &request.idempotency_key);
        let view = (self.view)();
        let guard = self.register_token(&view);
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
            claim_deadline: now + CLAIM_TIMEOUT,
            owner_deadline: now + OWNER_WAIT_TIMEOUT,
        });
        loop {
            let event = match action {
                ClaimAction::Write(write) => ClaimEvent::Written(self.write(&key, &write)),
                ClaimAction::Read => ClaimEvent::Read(self.read(&key)),
                ClaimAction::CheckOwner(stored) => ClaimEvent::OwnerChecked(self.check_owner(&key, &stored)),
                ClaimAction::SendToTarget => ClaimEvent::SendEnded(send()),
                ClaimAction::Wait => {
                    std::thread::sleep(OWNER_POLL_INTERVAL);
                    ClaimEvent::Waited
                }
                ClaimAction::End(outcome) => {
                    if let Some(deferred_write) = outcome.deferred_write {
                        self.defer_write(key, deferred_write, guard);
                    }
                    return outcome.result;
                }
            };
            action = machine.step(event, (self.clock)());
        }
    }

    /// Reads the row of a claim; `None` when the row is absent or void. A claim whose owner is gone is returned as
    /// unknown, and its row is left as it is.
    ///
    /// # Errors
    ///
    /// [`ResultCode::StoreUnavailable`] when the row cannot be read.
    pub fn outcome(
        self: &Arc<Self>,
        organisation: &str,
        idempotency_key: &str,
    ) -> Result<Option<ClaimRow>, ResultCode> {
        let key = claim_key(organisation, idempotency_key);
        let stored = self.read(&key).map_err(|_| ResultCode::StoreUnavailable)?;
        let Some(mut stored) = stored.filter(|stored| stored.row.state != ClaimState::Void) else { return Ok(None) };
        if stored.row.state == ClaimState::Claimed && self.check_owner(&key, &stored) == OwnerState::Gone {
            stored.row.state = ClaimState::Unknown;
        }
        Ok(Some(stored.row))
    }

    /// Number of attempts that still run or have a deferred write; a planned stop waits for 0.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.lock().live_tokens.len()
    }

    fn lock(&self) -> MutexGuard<'_, LocalClaims> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register_token(self: &Arc<Self>, view: &ControlView) -> TokenGuard {
        let number = self.next_token.fetch_add(1, Ordering::Relaxed);
        let token = format!("claim-{:016x}-{number:x}", view.incarnation);
        let mut claims = self.lock();
        if let Err(position) = claims.live_tokens.binary_search(&token) {
            claims.live_tokens.insert(position, token.clone());
        }
        drop(claims);
        TokenGuard { store: Arc::downgrade(self), token }
    }

    fn write(&self, key: &str, write: &ClaimWrite) -> WriteResult {
        let Ok(value) = serde_json::to_string(&write.row) else { return WriteResult::Failed(ClaimStoreError::NotDone) };
        let (table, key) = (CLAIM_TABLE.to_owned(), key.to_owned());
        let check = RowCheck { table: table.clone(), key: key.clone(), version: write.version };
        let row = RowWrite { table, key, value: Some(value) };
        match self.client.transact(&write.token, vec![check], vec![row]) {
            Ok(answer) if answer.applied => WriteResult::Applied,
            Ok(answer) => match answer.conflicts.into_iter().next().map(parse_claim) {
                Some(Ok(stored)) => WriteResult::Conflict(stored.map(Box::new)),
                Some(Err(error)) => WriteResult::Failed(error),
                None => WriteResult::Conflict(None),
            },
            Err(error) => WriteResult::Failed(convert_store_error(&error)),
        }
    }

    fn read(&self, key: &str) -> Result<Option<StoredClaim>, ClaimStoreError> {
        let row = self.client.read_row(CLAIM_TABLE, key).map_err(|error| convert_store_error(&error))?;
        row.map_or(Ok(None), parse_claim)
    }

    fn check_owner(&self, key: &str, stored: &StoredClaim) -> OwnerState {
        let view = (self.view)();
        if stored.row.host == view.host && stored.row.incarnation == view.incarnation {
            let is_live = self.lock().live_tokens.binary_search(&stored.writer_token).is_ok();
            return if is_live { OwnerState::Live } else { OwnerState::Gone };
        }
        if stored.row.host == view.host && stored.row.incarnation < view.incarnation {
            return OwnerState::Gone;
        }
        let member = view.members.iter().find(|member| member.host == stored.row.host);
        match member {
            Some(member) if member.incarnation > stored.row.incarnation => OwnerState::Gone,
            Some(member) if member.incarnation == stored.row.incarnation => {
                if member.state == MemberState::Dead {
                    OwnerState::Gone
                } else {
                    OwnerState::Live
                }
            }
            // An incarnation that this host has not heard of yet, or a host of another failure domain.
            _ if self.has_later_session(stored) => OwnerState::Gone,
            _ => self.check_unchanged_time(key, stored),
        }
    }

    /// Whether the session row of the owner shows a later incarnation than the one that claimed.
    fn has_later_session(&self, stored: &StoredClaim) -> bool {
        let row = self.client.read_row(SESSION_TABLE, &stored.row.host).ok().flatten();
        let session = row.and_then(|row| serde_json::from_str::<SessionRow>(&row.value).ok());
        session.is_some_and(|session| session.incarnation > stored.row.incarnation)
    }

    /// Takes the owner for gone when the claim row has stayed unchanged for too long by the clock of this host. The
    /// first call for a version of the row only starts the measurement.
    fn check_unchanged_time(&self, key: &str, stored: &StoredClaim) -> OwnerState {
        let now = (self.clock)();
        let limit = Duration::from_millis(stored.row.answer_limit_ms).saturating_add(UNCHANGED_CLAIM_MARGIN);
        let mut claims = self.lock();
        let watched = &mut claims.watched;
        match watched.binary_search_by(|claim| claim.key.as_str().cmp(key)) {
            Ok(position) if watched[position].version == stored.version => {
                let is_expired = now.saturating_sub(watched[position].since) > limit;
                return if is_expired { OwnerState::Gone } else { OwnerState::Live };
            }
            Ok(position) => {
                watched[position] = WatchedClaim { key: key.to_owned(), version: stored.version, since: now }
            }
            Err(position) => {
                watched.insert(position, WatchedClaim { key: key.to_owned(), version: stored.version, since: now });
                if watched.len() > MAX_WATCHED_CLAIMS {
                    let oldest = watched.iter().enumerate().min_by_key(|(_, claim)| claim.since);
                    if let Some((oldest, _)) = oldest {
                        watched.remove(oldest);
                    }
                }
            }
        }
        OwnerState::Live
    }

    fn defer_write(&self, key: String, deferred_write: DeferredClaimWrite, guard: TokenGuard) {
        log::warn!(token = guard.token.as_str(); "claim_left_unsettled");
        let give_up_at = (self.clock)() + DEFERRED_WRITE_TIMEOUT;
        let mut claims = self.lock();
        claims.deferred_writes.push_back(DeferredWriteEntry { key, deferred_write, give_up_at, guard });
        let surplus =
            if claims.deferred_writes.len() > MAX_DEFERRED_WRITES { claims.deferred_writes.pop_front() } else { None };
        drop(claims);
        drop(surplus);
        self.deferred_write_added.notify_one();
    }

    /// Tries each deferred write once, up to the first without a result; returns whether any is left.
    fn retry_deferred_writes(&self) -> bool {
        let count = self.lock().deferred_writes.len();
        for _ in 0..count {
            let Some(mut entry) = self.lock().deferred_writes.pop_front() else { break };
            let result = self.write(&entry.key, &entry.deferred_write.write);
            let is_failed = matches!(result, WriteResult::Failed(_));
            let Some(next) = next_deferred_write(&entry.deferred_write, &result) else {
                log::info!(token = entry.guard.token.as_str(); "claim_settled");
                continue;
            };
            if (self.clock)() >= entry.give_up_at {
                log::error!(token = entry.guard.token.as_str(); "claim_settling_given_up");
                continue;
            }
            entry.deferred_write = next;
            self.lock().deferred_writes.push_back(entry);
            if is_failed {
                // The table service gives no result, so the remaining writes would only wait for their timeouts too.
                break;
            }
        }
        !self.lock().deferred_writes.is_empty()
    }

    fn wait_for_deferred_write(&self) {
        let claims = self.lock();
        let is_empty = |claims: &mut LocalClaims| claims.deferred_writes.is_empty();
        let _ = self.deferred_write_added.wait_timeout_while(claims, DEFERRED_WRITE_INTERVAL, is_empty);
    }
}

/// Retries deferred writes until the claim store is dropped.
fn run_deferred_writes(store: &Weak<ClaimStore>) {
    while let Some(store) = store.upgrade() {
        store.wait_for_deferred_write();
        if store.retry_deferred_writes() {
            drop(store);
            std::thread::sleep(DEFERRED_WRITE_INTERVAL);
        }
    }
}

fn parse_claim(row: TableRow) -> Result<Option<StoredClaim>, ClaimStoreError> {
    if row.version == 0 {
        return Ok(None);
    }
    // A row that cannot be parsed must not be taken for an absent one.
    let value = serde_json::from_str(&row.value).map_err(|_| ClaimStoreError::Lost)?;
    Ok(Some(StoredClaim { row: value, version: row.version, writer_token: row.writer_token }))
}

fn convert_store_error(error: &StoreCallError) -> ClaimStoreError {
    match error {
        StoreCallError::NotSent | StoreCallError::Refused(_) => ClaimStoreError::NotDone,
        StoreCallError::AnswerLost | StoreCallError::Malformed => ClaimStoreError::Lost,
    }
}
