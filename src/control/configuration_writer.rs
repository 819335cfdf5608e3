//! Makes the changes of operators: services text, keys, and what is in rotation. The calls block.
//!
//! A change to the configuration is the next row of the configuration log, written on condition that the row is absent.
//! When the answer to the write is lost, the writer token of the row tells which writer wrote it.

use rand::TryRng;
use rand::rngs::SysRng;

use crate::control::authentication::{KEY_PREFIX, hash_secret};
use crate::control::configuration::{KIND_DOMAIN_OUT, KIND_KEY, KIND_TARGET_OUT, KeyRecord};
use crate::control::store_call::{CONFIGURATION_TABLE, KEY_TABLE, row_check, row_write, version_key};
use crate::control::store_poll::LogRow;
use crate::control::{ControlEvent, ControlHandle, ControlView};
use crate::generated::peer_messages::ConfigurationItem;
use crate::generated::platform_messages::{RowCheck, RowWrite};
use crate::options::schema_check::ConfigError;
use crate::options::services_text::parse_services;
use crate::peer::frame_codec::format_hex;
use crate::prelude::*;
use crate::store_client::{StoreCallError, StoreClient};

/// Longest wait for this host to apply a version that is in the store, before and after a change.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the store and all failure domains to confirm a withdrawal.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval between two reads of the control view by a call that waits.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two requests for a store poll by a call that waits for a version.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Attempts to make a write, or to find out whether it took effect.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Delay after an attempt that the store did not answer or refused.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Attempts to append a change that is valid at any version, while other changes take the next version first.
const MAX_CONFLICT_ATTEMPTS: u32 = 10;

/// Random bytes of a key id.
const KEY_ID_BYTES: usize = 8;

/// Random bytes of a secret.
const SECRET_BYTES: usize = 32;

/// Why an operator's change was not made, or is not known to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The services text is invalid; all errors found are listed.
    TextInvalid(Vec<ConfigError>),
    /// The change conflicts with this version of the configuration. Either the caller expected another version, or
    /// another change took this one first, or the store has this one and the host did not apply it in time.
    Conflict(ConfigurationVersion),
    /// No organisation, key, failure domain or target has this name.
    NotFound,
    /// This host has not learned the whole configuration yet, or its control thread has ended, or the system gave no
    /// random bytes.
    NotReady,
    /// The store could not be read, or it refused every write or could not be reached; nothing was changed.
    StoreUnavailable,
    /// No readable answer came after the change was sent; it may have taken effect, or may still do so.
    OutcomeUnknown,
}

impl ChangeError {
    /// Result code that the operator gets for this error.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::TextInvalid(_) => ResultCode::TextInvalid,
            Self::Conflict(_) => ResultCode::ConfigurationConflict,
            Self::NotFound => ResultCode::NotFound,
            Self::NotReady => ResultCode::NotReady,
            Self::StoreUnavailable => ResultCode::StoreUnavailable,
            Self::OutcomeUnknown => ResultCode::OutcomeUnknown,
        }
    }
}

/// Result of applying a services text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyAnswer {
    /// Version of the change; the version in force when nothing differed.
    pub version: ConfigurationVersion,
    /// Number of items that differed; 0 when the text was already in force.
    pub changed_items: usize,
}

/// A granted key. Nothing else keeps the secret, and `Debug` leaves it out.
#[derive(Clone, PartialEq, Eq)]
pub struct GrantAnswer {
    /// Public part of the key.
    pub key_id: KeyId,
    /// Key with its secret, to be shown to the operator once.
    pub key: String,
    /// Configuration version from which the key is in force.
    pub version: ConfigurationVersion,
}

impl std::fmt::Debug for GrantAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("GrantAnswer").field("key_id", &self.key_id).finish_non_exhaustive()
    }
}

/// Result of a withdrawal. The key is refused at this host even while others have not confirmed the withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithdrawAnswer {
    /// Key id as the operator gave it.
    pub key_id: KeyId,
    /// Whether the store is known to have the withdrawal.
    pub is_stored: bool,
    /// Failure domains of which no host has confirmed the withdrawal, sorted.
    pub unconfirmed: Vec<DomainId>,
}

impl WithdrawAnswer {
    /// [`ResultCode::Done`], or [`ResultCode::Unconfirmed`] while the store or a failure domain has not confirmed.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        if self.is_stored && self.unconfirmed.is_empty() { ResultCode::Done } else { ResultCode::Unconfirmed }
    }
}

/// What is taken out of rotation or put back in by [`ConfigurationWriter::set_placement`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// A failure domain; this covers all its targets.
    Domain,
    /// A target, by its id.
    Target,
}

/// Writes the changes of operators to the store, through this host.
#[derive(Debug, Clone)]
pub struct ConfigurationWriter {
    handle: ControlHandle,
    client: StoreClient,
}

/// A change to the configuration, with the checks and writes that go into the transaction beside the row of the log.
struct LogChange<'a> {
    author: &'a str,
    items: &'a [ConfigurationItem],
    checks: Vec<RowCheck>,
    writes: Vec<RowWrite>,
}

impl ConfigurationWriter {
    /// Creates a writer that reads the view of the control thread behind `handle`.
    #[must_use]
    pub fn new(handle: ControlHandle, client: StoreClient) -> Self {
        Self { handle, client }
    }

    /// Puts a services text in force; with `expect_version` only if that is the version in force.
    ///
    /// # Errors
    ///
    /// Any [`ChangeError`] except [`ChangeError::NotFound`].
    pub fn apply_text(
        &self,
        text: &str,
        expect_version: Option<ConfigurationVersion>,
        author: &str,
    ) -> Result<ApplyAnswer, ChangeError> {
        let services = parse_services(text).map_err(ChangeError::TextInvalid)?;
        let view = self.catch_up()?;
        let version = view.configuration.version;
        if expect_version.is_some_and(|expected| expected != version) {
            return Err(ChangeError::Conflict(version));
        }
        let items = view.configuration.difference(&services);
        if items.is_empty() {
            return Ok(ApplyAnswer { version, changed_items: 0 });
        }
        let change = LogChange { author, items: &items, checks: Vec::new(), writes: Vec::new() };
        let version = self.append_at_version(version, &change)?;
        Ok(ApplyAnswer { version, changed_items: items.len() })
    }

    /// Grants a new key to an organisation.
    ///
    /// # Errors
    ///
    /// Any [`ChangeError`] except [`ChangeError::TextInvalid`].
    pub fn grant_key(&self, organisation: &str, author: &str) -> Result<GrantAnswer, ChangeError> {
        if self.catch_up()?.configuration.organisation(organisation).is_none() {
            return Err(ChangeError::NotFound);
        }
        let key_id = random_hex(KEY_ID_BYTES)?;
        let secret = random_hex(SECRET_BYTES)?;
        let record = KeyRecord {
            key_id: key_id.clone(),
            organisation: organisation.to_owned(),
            secret_sha256: hash_secret(&secret),
        };
        let value = serde_json::to_string(&record).ok();
        let item = ConfigurationItem { kind: KIND_KEY.to_owned(), name: key_id.clone(), value };
        let version = self.append_at_any_version(&LogChange {
            author,
            items: &[item],
            checks: vec![row_check(KEY_TABLE, &key_id, 0)],
            writes: vec![row_write(KEY_TABLE, &key_id, &record)],
        })?;
        log::info!(key_id = key_id.as_str(), organisation = organisation, author = author; "key_granted");
        let key = format!("{KEY_PREFIX}{key_id}_{secret}");
        Ok(GrantAnswer { key_id, key, version })
    }

    /// Withdraws a key, first at this host, then on all others and in the store. Returns when all have confirmed, or
    /// after `CONFIRM_TIMEOUT` with what is missing.
    ///
    /// # Errors
    ///
    /// - [`ChangeError::NotFound`]: neither this host nor the store has the key.
    /// - [`ChangeError::NotReady`]: the control thread has ended.
    /// - [`ChangeError::OutcomeUnknown`]: the control thread did not take up the withdrawal in time.
    pub fn withdraw_key(&self, key_id: &str) -> Result<WithdrawAnswer, ChangeError> {
        self.check_key_exists(key_id)?;
        if !self.handle.send(ControlEvent::Withdraw(key_id.to_owned())) {
            return Err(ChangeError::NotReady);
        }
        let deadline = boot_time() + CONFIRM_TIMEOUT;
        loop {
            let answer = self.read_withdrawal(key_id);
            let is_done = answer.as_ref().is_some_and(|answer| answer.code() == ResultCode::Done);
            if is_done || boot_time() >= deadline {
                return answer.ok_or(ChangeError::OutcomeUnknown);
            }
            std::thread::sleep(VIEW_POLL_INTERVAL);
        }
    }

    fn read_withdrawal(&self, key_id: &str) -> Option<WithdrawAnswer> {
        let view = self.handle.view();
        let progress = view.withdrawals.iter().find(|progress| progress.key_id == key_id)?;
        Some(WithdrawAnswer {
            key_id: key_id.to_owned(),
            is_stored: progress.is_stored,
            unconfirmed: progress.unconfirmed.clone(),
        })
    }

    /// Fails when neither this host nor the store has the key. A key may be newer than the configuration of this host,
    /// and a withdrawal must not wait for the store: without its answer, the key counts as existing.
    fn check_key_exists(&self, key_id: &str) -> Result<(), ChangeError> {
        if self.handle.view().configuration.key(key_id).is_some() {
            return Ok(());
        }
        match self.client.read_row(KEY_TABLE, key_id) {
            Ok(None) => Err(ChangeError::NotFound),
            Ok(Some(_)) | Err(_) => Ok(()),
        }
    }

    /// Takes a failure domain or target out of rotation, or puts it back in; returns the version of the change.
    ///
    /// # Errors
    ///
    /// Any [`ChangeError`] except [`ChangeError::TextInvalid`].
    pub fn set_placement(
        &self,
        kind: PlacementKind,
        name: &str,
        out: bool,
        author: &str,
    ) -> Result<ConfigurationVersion, ChangeError> {
        let view = self.catch_up()?;
        if !is_known_name(&view, kind, name) {
            return Err(ChangeError::NotFound);
        }
        let item_kind = match kind {
            PlacementKind::Domain => KIND_DOMAIN_OUT,
            PlacementKind::Target => KIND_TARGET_OUT,
        };
        let value = out.then(|| "true".to_owned());
        let item = ConfigurationItem { kind: item_kind.to_owned(), name: name.to_owned(), value };
        self.append_at_any_version(&LogChange { author, items: &[item], checks: Vec::new(), writes: Vec::new() })
    }

    /// Waits until this host has applied the changes that the store has now, at most 1000, so that a change is made
    /// against the configuration in force. Fails with [`ChangeError::Conflict`] after [`CATCH_UP_TIMEOUT`].
    fn catch_up(&self) -> Result<Arc<ControlView>, ChangeError> {
        let view = self.handle.view();
        if !view.is_initialised {
            return Err(ChangeError::NotReady);
        }
        let after = version_key(view.configuration.version);
        let rows =
            self.client.scan_rows(CONFIGURATION_TABLE, "", &after, 1000).map_err(|_| ChangeError::StoreUnavailable)?;
        let newest = rows.last().and_then(|row| row.key.parse().ok()).unwrap_or(view.configuration.version);
        self.wait_for_version(newest).ok_or(ChangeError::Conflict(newest))
    }

    /// Waits until this host has applied `version`; `None` after [`CATCH_UP_TIMEOUT`].
    fn wait_for_version(&self, version: ConfigurationVersion) -> Option<Arc<ControlView>> {
        let deadline = boot_time() + CATCH_UP_TIMEOUT;
        let mut poll_at = BootTime::ZERO;
        loop {
            let view = self.handle.view();
            if view.configuration.version >= version {
                return Some(view);
            }
            let now = boot_time();
            if now >= poll_at {
                self.handle.send(ControlEvent::PollStore);
                poll_at = now + STORE_POLL_INTERVAL;
            }
            if now >= deadline {
                return None;
            }
            std::thread::sleep(VIEW_POLL_INTERVAL);
        }
    }

    /// Appends a change that is valid at any version. Repeats this up to [`MAX_CONFLICT_ATTEMPTS`] times while other
    /// changes take the version.
    fn append_at_any_version(&self, change: &LogChange<'_>) -> Result<ConfigurationVersion, ChangeError> {
        let mut outcome = Err(ChangeError::StoreUnavailable);
        for _ in 0..MAX_CONFLICT_ATTEMPTS {
            let version = self.catch_up()?.configuration.version;
            outcome = self.append_at_version(version, change);
            if !matches!(outcome, Err(ChangeError::Conflict(_))) {
                break;
            }
        }
        outcome
    }

    /// Appends a change as the version after `version` and returns the new version. Waits up to [`CATCH_UP_TIMEOUT`]
    /// for this host to apply the change.
    fn append_at_version(
        &self,
        version: ConfigurationVersion,
        change: &LogChange<'_>,
    ) -> Result<ConfigurationVersion, ChangeError> {
        let next = version + 1;
        let token = format!("change.{}", random_hex(16)?);
        let key = version_key(next);
        let row = LogRow { author: change.author.to_owned(), items: change.items.to_vec() };
        let mut checks = vec![row_check(CONFIGURATION_TABLE, &key, 0)];
        checks.extend_from_slice(&change.checks);
        let mut writes = vec![row_write(CONFIGURATION_TABLE, &key, &row)];
        writes.extend_from_slice(&change.writes);
        self.write_with_retries(&token, &key, &checks, &writes)?.then_some(()).ok_or(ChangeError::Conflict(next))?;
        log::info!(version = next, items = change.items.len(), author = change.author; "configuration_changed");
        self.handle.send(ControlEvent::PollStore);
        // The change is in the store even if this host does not apply it in time.
        let _ = self.wait_for_version(next);
        Ok(next)
    }

    /// Attempts a conditional write until the store answers, at most [`MAX_WRITE_ATTEMPTS`] times. Returns whether the
    /// row under `key` has this `token`, so that the write took effect. A repetition is safe: after an attempt that
    /// took effect, it conflicts with the row of that attempt.
    fn write_with_retries(
        &self,
        token: &str,
        key: &str,
        checks: &[RowCheck],
        writes: &[RowWrite],
    ) -> Result<bool, ChangeError> {
        let mut may_take_effect = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.client.transact(token, checks.to_vec(), writes.to_vec()) {
                Ok(answer) if answer.applied => return Ok(true),
                Ok(answer) => {
                    let row = answer.conflicts.iter().find(|row| row.table == CONFIGURATION_TABLE && row.key == key);
                    return Ok(row.is_some_and(|row| row.writer_token == token));
                }
                Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => {}
                Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => may_take_effect = true,
            }
            std::thread::sleep(WRITE_RETRY_DELAY);
        }
        Err(if may_take_effect { ChangeError::OutcomeUnknown } else { ChangeError::StoreUnavailable })
    }
}

fn is_known_name(view: &ControlView, kind: PlacementKind, name: &str) -> bool {
    match kind {
        PlacementKind::Target => view.configuration.target(name).is_some(),
        PlacementKind::Domain => {
            view.listed.iter().any(|record| record.failure_domain == name)
                || view.configuration.targets.iter().any(|target| target.failure_domain == name)
        }
    }
}

fn random_hex(length: usize) -> Result<String, ChangeError> {
    let mut bytes = vec![0; length];
    SysRng.try_fill_bytes(&mut bytes).map_err(|_| ChangeError::NotReady)?;
    Ok(format_hex(&bytes))
}
