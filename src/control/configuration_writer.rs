//! Operator changes: services text, keys, placements. All functions block.
//!
//! A change is the next row of the configuration log, written on condition that it is absent. When the answer is
//! lost, the writer token of the row tells whether the write is ours.

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
use crate::peer::frame_codec::to_hex;
use crate::prelude::*;
use crate::store_client::{StoreCallError, StoreClient};

/// Longest wait until this host has caught up with the store, before and after a change.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);

/// Longest wait for the store and all failure domains to confirm a withdrawal.
const CONFIRM_LIMIT: Duration = Duration::from_secs(8);

/// Pause between two looks at the view.
const VIEW_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two requests for a poll.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Tries to settle a write whose answer was lost.
const SETTLE_TRIES: u32 = 5;

/// Pause between them.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Tries of a change that does not depend on others, when another change took its version.
const CONFLICT_TRIES: u32 = 10;

/// Random bytes of a key id and of a secret.
const KEY_ID_BYTES: usize = 8;
const SECRET_BYTES: usize = 32;

/// Why an operator change was not made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The services text has errors.
    TextInvalid(Vec<ConfigError>),
    /// The configuration is at this version, which is not the expected one, or another change came first.
    Conflict(ConfigurationVersion),
    /// Nothing of that name exists.
    NotFound,
    /// This host has no full view yet.
    NotReady,
    /// The store did not answer; nothing was changed.
    StoreUnavailable,
    /// The store did not answer after the change was sent; it may have taken effect, or may still do so.
    OutcomeUnknown,
}

impl ChangeError {
    /// Result code.
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
    /// Version in force after it.
    pub version: ConfigurationVersion,
    /// Items that differed; 0 when the text was in force already.
    pub changed_items: usize,
}

/// A granted key. The secret exists only here.
#[derive(Clone, PartialEq, Eq)]
pub struct GrantAnswer {
    /// Public part.
    pub key_id: KeyId,
    /// Whole key, to be shown once.
    pub key: String,
    /// Configuration version from which it is in force.
    pub version: ConfigurationVersion,
}

impl std::fmt::Debug for GrantAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("GrantAnswer").field("key_id", &self.key_id).finish_non_exhaustive()
    }
}

/// Result of a withdrawal, which is in force at this host in any case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithdrawAnswer {
    /// Key.
    pub key_id: KeyId,
    /// Whether the store has it.
    pub is_stored: bool,
    /// Failure domains of which no host has confirmed it.
    pub unconfirmed: Vec<DomainId>,
}

impl WithdrawAnswer {
    /// [`ResultCode::Done`], or [`ResultCode::Unconfirmed`] while the store or a failure domain has not confirmed.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        if self.is_stored && self.unconfirmed.is_empty() { ResultCode::Done } else { ResultCode::Unconfirmed }
    }
}

/// What an operator takes out of service or puts back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementKind {
    /// A failure domain.
    Domain,
    /// A target.
    Target,
}

/// Makes operator changes at this host.
#[derive(Debug, Clone)]
pub struct ConfigurationWriter {
    handle: ControlHandle,
    client: StoreClient,
}

/// A change as it goes to the store.
struct LogChange<'a> {
    author: &'a str,
    items: &'a [ConfigurationItem],
    checks: Vec<RowCheck>,
    writes: Vec<RowWrite>,
}

impl ConfigurationWriter {
    /// Writer for the host of `handle`.
    #[must_use]
    pub fn new(handle: ControlHandle, client: StoreClient) -> Self {
        Self { handle, client }
    }

    /// Puts a services text in force. With `expect_version` it does so only at that version.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`].
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
        let version = self.append(version, &change)?;
        Ok(ApplyAnswer { version, changed_items: items.len() })
    }

    /// Grants a key to an organisation.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`].
    pub fn grant_key(&self, organisation: &str, author: &str) -> Result<GrantAnswer, ChangeError> {
        if self.catch_up()?.configuration.organisation(organisation).is_none() {
            return Err(ChangeError::NotFound);
        }
        let key_id = random_text(KEY_ID_BYTES)?;
        let secret = random_text(SECRET_BYTES)?;
        let record = KeyRecord {
            key_id: key_id.clone(),
            organisation: organisation.to_owned(),
            secret_sha256: hash_secret(&secret),
        };
        let value = serde_json::to_string(&record).ok();
        let item = ConfigurationItem { kind: KIND_KEY.to_owned(), name: key_id.clone(), value };
        let version = self.append_freely(&LogChange {
            author,
            items: &[item],
            checks: vec![row_check(KEY_TABLE, &key_id, 0)],
            writes: vec![row_write(KEY_TABLE, &key_id, &record)],
        })?;
        log::info!(key_id = key_id.as_str(), organisation = organisation, author = author; "key_granted");
        let key = format!("{KEY_PREFIX}{key_id}_{secret}");
        Ok(GrantAnswer { key_id, key, version })
    }

    /// Withdraws a key: at once at this host, then everywhere. Waits for the confirmations for a bounded time.
    ///
    /// # Errors
    ///
    /// [`ChangeError::NotFound`] when neither this host nor the store knows the key.
    pub fn withdraw_key(&self, key_id: &str) -> Result<WithdrawAnswer, ChangeError> {
        self.check_known(key_id)?;
        if !self.handle.send(ControlEvent::Withdraw(key_id.to_owned())) {
            return Err(ChangeError::NotReady);
        }
        let deadline = boot_time() + CONFIRM_LIMIT;
        loop {
            let answer = self.withdraw_progress(key_id);
            let is_done = answer.as_ref().is_some_and(|answer| answer.code() == ResultCode::Done);
            if is_done || boot_time() >= deadline {
                return answer.ok_or(ChangeError::OutcomeUnknown);
            }
            std::thread::sleep(VIEW_PAUSE);
        }
    }

    fn withdraw_progress(&self, key_id: &str) -> Option<WithdrawAnswer> {
        let view = self.handle.view();
        let progress = view.withdrawals.iter().find(|progress| progress.key_id == key_id)?;
        Some(WithdrawAnswer {
            key_id: key_id.to_owned(),
            is_stored: progress.is_stored,
            unconfirmed: progress.unconfirmed.clone(),
        })
    }

    /// A key that this host does not know is refused only when the store certainly does not have it either, since a
    /// withdrawal must not wait for the configuration to catch up.
    fn check_known(&self, key_id: &str) -> Result<(), ChangeError> {
        if self.handle.view().configuration.key(key_id).is_some() {
            return Ok(());
        }
        match self.client.read_row(KEY_TABLE, key_id) {
            Ok(None) => Err(ChangeError::NotFound),
            Ok(Some(_)) | Err(_) => Ok(()),
        }
    }

    /// Takes a failure domain or target out of service, or puts it back.
    ///
    /// # Errors
    ///
    /// See [`ChangeError`].
    pub fn set_placement(
        &self,
        kind: PlacementKind,
        name: &str,
        out: bool,
        author: &str,
    ) -> Result<ConfigurationVersion, ChangeError> {
        let view = self.catch_up()?;
        if !is_placeable(&view, kind, name) {
            return Err(ChangeError::NotFound);
        }
        let item_kind = match kind {
            PlacementKind::Domain => KIND_DOMAIN_OUT,
            PlacementKind::Target => KIND_TARGET_OUT,
        };
        let value = out.then(|| "true".to_owned());
        let item = ConfigurationItem { kind: item_kind.to_owned(), name: name.to_owned(), value };
        self.append_freely(&LogChange { author, items: &[item], checks: Vec::new(), writes: Vec::new() })
    }

    /// Waits until this host has every change that the store has now, so that a difference is taken from what is in
    /// force.
    fn catch_up(&self) -> Result<Arc<ControlView>, ChangeError> {
        let view = self.handle.view();
        if !view.is_initialised {
            return Err(ChangeError::NotReady);
        }
        let after = version_key(view.configuration.version);
        let rows =
            self.client.scan_rows(CONFIGURATION_TABLE, "", &after, 1000).map_err(|_| ChangeError::StoreUnavailable)?;
        let newest = rows.last().and_then(|row| row.key.parse().ok()).unwrap_or(view.configuration.version);
        self.wait_for(newest).ok_or(ChangeError::Conflict(newest))
    }

    /// Waits until this host is at `version`.
    fn wait_for(&self, version: ConfigurationVersion) -> Option<Arc<ControlView>> {
        let deadline = boot_time() + CATCH_UP_LIMIT;
        let mut poll_at = BootTime::ZERO;
        loop {
            let view = self.handle.view();
            if view.configuration.version >= version {
                return Some(view);
            }
            let now = boot_time();
            if now >= poll_at {
                self.handle.send(ControlEvent::PollStore);
                poll_at = now + POLL_PAUSE;
            }
            if now >= deadline {
                return None;
            }
            std::thread::sleep(VIEW_PAUSE);
        }
    }

    /// Appends a change that is right at any version.
    fn append_freely(&self, change: &LogChange<'_>) -> Result<ConfigurationVersion, ChangeError> {
        let mut outcome = Err(ChangeError::StoreUnavailable);
        for _ in 0..CONFLICT_TRIES {
            let version = self.catch_up()?.configuration.version;
            outcome = self.append(version, change);
            if !matches!(outcome, Err(ChangeError::Conflict(_))) {
                break;
            }
        }
        outcome
    }

    /// Appends a change after `version`; returns its version once this host has it in force.
    fn append(
        &self,
        version: ConfigurationVersion,
        change: &LogChange<'_>,
    ) -> Result<ConfigurationVersion, ChangeError> {
        let next = version + 1;
        let token = format!("change.{}", random_text(16)?);
        let key = version_key(next);
        let row = LogRow { author: change.author.to_owned(), items: change.items.to_vec() };
        let mut checks = vec![row_check(CONFIGURATION_TABLE, &key, 0)];
        checks.extend_from_slice(&change.checks);
        let mut writes = vec![row_write(CONFIGURATION_TABLE, &key, &row)];
        writes.extend_from_slice(&change.writes);
        self.settle(&token, &key, &checks, &writes)?.then_some(()).ok_or(ChangeError::Conflict(next))?;
        log::info!(version = next, items = change.items.len(), author = change.author; "configuration_changed");
        self.handle.send(ControlEvent::PollStore);
        // The change is made even if this host does not see it in time.
        let _ = self.wait_for(next);
        Ok(next)
    }

    /// Writes until it is certain whether this writer's row is there. Repeating the same conditional write is safe:
    /// it finds its own row when an earlier try took effect.
    fn settle(&self, token: &str, key: &str, checks: &[RowCheck], writes: &[RowWrite]) -> Result<bool, ChangeError> {
        let mut may_take_effect = false;
        for _ in 0..SETTLE_TRIES {
            match self.client.transact(token, checks.to_vec(), writes.to_vec()) {
                Ok(answer) if answer.applied => return Ok(true),
                Ok(answer) => {
                    let row = answer.conflicts.iter().find(|row| row.table == CONFIGURATION_TABLE && row.key == key);
                    return Ok(row.is_some_and(|row| row.writer_token == token));
                }
                Err(StoreCallError::NotSent | StoreCallError::Refused(_)) => {}
                Err(StoreCallError::AnswerLost | StoreCallError::Malformed) => may_take_effect = true,
            }
            std::thread::sleep(SETTLE_PAUSE);
        }
        Err(if may_take_effect { ChangeError::OutcomeUnknown } else { ChangeError::StoreUnavailable })
    }
}

fn is_placeable(view: &ControlView, kind: PlacementKind, name: &str) -> bool {
    match kind {
        PlacementKind::Target => view.configuration.target(name).is_some(),
        PlacementKind::Domain => {
            view.listed.iter().any(|record| record.failure_domain == name)
                || view.configuration.targets.iter().any(|target| target.failure_domain == name)
        }
    }
}

fn random_text(length: usize) -> Result<String, ChangeError> {
    let mut bytes = vec![0; length];
    SysRng.try_fill_bytes(&mut bytes).map_err(|_| ChangeError::NotReady)?;
    Ok(to_hex(&bytes))
}
