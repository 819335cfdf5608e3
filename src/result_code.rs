//! Numbered result codes of requests, commands and links.
//!
//! `docs/result-codes.md` lists them for operators and callers. A code says by itself whether the request ran.

use std::fmt;

/// Whether a request with this result ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// No byte of the request left for a target, and none will.
    NotRun,
    /// A target ran the request.
    Ran,
    /// The request may have run, or may still run.
    Unknown,
}

impl ExecutionStatus {
    /// Name used in error bodies.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::Ran => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Result of a request, command or link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResultCode {
    /// Done.
    Done,
    /// The request is malformed.
    BadRequest,
    /// The body or head is too large.
    TooLarge,
    /// No such route, model, step or request.
    NotFound,
    /// The method is not allowed on this path.
    BadMethod,
    /// No key came with the request.
    KeyMissing,
    /// The key is unknown.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The view of this host is too old to honour keys.
    StaleView,
    /// The host has not learned the configuration yet, or is stopping.
    NotReady,
    /// The key's organisation may not do this.
    WrongOrganisation,
    /// The queue of the service is full.
    QueueFull,
    /// The host handles as many requests as it can.
    HostBusy,
    /// No target of the service is in and live.
    NoTarget,
    /// The request crashed several targets and is refused.
    Quarantined,
    /// The wait in the queue exceeded the deadline.
    QueueTimeout,
    /// A dependency of the service is unavailable.
    DependencyDown,
    /// The configuration changed in between.
    ConfigurationConflict,
    /// The services text has errors.
    TextInvalid,
    /// A withdrawal is in force on some hosts, and not confirmed by all domains.
    Unconfirmed,
    /// The platform's store did not answer.
    StoreUnavailable,
    /// The idempotency key was used with another body.
    ClaimMismatch,
    /// The request needs an idempotency key.
    ClaimMissing,
    /// The request's host died or its target gave no answer.
    OutcomeUnknown,
    /// The claim could not be settled; ask again with the same key.
    ClaimUnsettled,
    /// The claim certainly failed.
    ClaimRefused,
    /// The request with this key is still running.
    ClaimRunning,
    /// The peer speaks another protocol version.
    PeerVersion,
    /// The peer's frame is malformed or too large.
    PeerFrame,
    /// The peer did not prove the cluster token.
    PeerToken,
    /// The target failed, and the retry budget or the targets are used up.
    TargetFailed,
    /// The target did not answer in time.
    TargetTimeout,
    /// The stream was ended because its key was withdrawn.
    StreamWithdrawn,
    /// A lease was lost.
    LeaseLost,
    /// A fault of the program.
    Internal,
    /// The command line is malformed.
    Usage,
    /// A settings file has errors.
    SettingsInvalid,
}

/// All result codes, in numeric order.
pub const ALL_CODES: [ResultCode; 37] = [
    ResultCode::Done,
    ResultCode::BadRequest,
    ResultCode::TooLarge,
    ResultCode::NotFound,
    ResultCode::BadMethod,
    ResultCode::KeyMissing,
    ResultCode::KeyUnknown,
    ResultCode::KeyWithdrawn,
    ResultCode::StaleView,
    ResultCode::NotReady,
    ResultCode::WrongOrganisation,
    ResultCode::QueueFull,
    ResultCode::HostBusy,
    ResultCode::NoTarget,
    ResultCode::Quarantined,
    ResultCode::QueueTimeout,
    ResultCode::DependencyDown,
    ResultCode::ConfigurationConflict,
    ResultCode::TextInvalid,
    ResultCode::Unconfirmed,
    ResultCode::StoreUnavailable,
    ResultCode::ClaimMismatch,
    ResultCode::ClaimMissing,
    ResultCode::OutcomeUnknown,
    ResultCode::ClaimUnsettled,
    ResultCode::ClaimRefused,
    ResultCode::ClaimRunning,
    ResultCode::PeerVersion,
    ResultCode::PeerFrame,
    ResultCode::PeerToken,
    ResultCode::TargetFailed,
    ResultCode::TargetTimeout,
    ResultCode::StreamWithdrawn,
    ResultCode::LeaseLost,
    ResultCode::Internal,
    ResultCode::Usage,
    ResultCode::SettingsInvalid,
];

/// Fixed properties of one code.
#[derive(Debug, Clone, Copy)]
pub struct CodeEntry {
    /// Number shown to callers and operators.
    pub number: u16,
    /// Short name.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Exit status of a command.
    pub exit: u8,
    /// Whether the request ran.
    pub ran: ExecutionStatus,
    /// Sentence for people.
    pub message: &'static str,
}

const fn entry(
    number: u16,
    name: &'static str,
    status: u16,
    exit: u8,
    ran: ExecutionStatus,
    message: &'static str,
) -> CodeEntry {
    CodeEntry { number, name, status, exit, ran, message }
}

impl ResultCode {
    /// Properties of this code.
    #[must_use]
    #[rustfmt::skip]
    pub fn entry(self) -> CodeEntry {
        use ExecutionStatus::{NotRun, Ran, Unknown};
        match self {
            Self::Done => entry(0, "done", 200, 0, Ran, "done"),
            Self::BadRequest => entry(1001, "bad_request", 400, 10, NotRun, "the request is malformed"),
            Self::TooLarge => entry(1002, "too_large", 413, 10, NotRun, "the request is too large"),
            Self::NotFound => entry(1003, "not_found", 404, 11, NotRun, "no such route, model, step or request"),
            Self::BadMethod => entry(1004, "bad_method", 405, 10, NotRun, "the method is not allowed on this path"),
            Self::KeyMissing => entry(1100, "key_missing", 401, 12, NotRun, "the request needs a key"),
            Self::KeyUnknown => entry(1101, "key_unknown", 401, 12, NotRun, "the key is not known"),
            Self::KeyWithdrawn => entry(1102, "key_withdrawn", 401, 12, NotRun, "the key was withdrawn"),
            Self::StaleView => entry(1103, "stale_view", 503, 13, NotRun, "this host cannot confirm that the key still holds"),
            Self::NotReady => entry(1104, "not_ready", 503, 13, NotRun, "this host is not ready or is stopping"),
            Self::WrongOrganisation => entry(1105, "wrong_organisation", 403, 12, NotRun, "the key's organisation may not do this"),
            Self::QueueFull => entry(1201, "queue_full", 429, 14, NotRun, "the queue of the service is full"),
            Self::HostBusy => entry(1202, "host_busy", 503, 14, NotRun, "this host handles as many requests as it can"),
            Self::NoTarget => entry(1203, "no_target", 503, 14, NotRun, "no target of the service is available"),
            Self::Quarantined => entry(1204, "quarantined", 422, 15, NotRun, "this request crashed several targets and is refused"),
            Self::QueueTimeout => entry(1205, "queue_timeout", 503, 14, NotRun, "no target became free before the deadline"),
            Self::DependencyDown => entry(1206, "dependency_down", 503, 14, NotRun, "a service that this one depends on is unavailable"),
            Self::ConfigurationConflict => entry(1301, "configuration_conflict", 409, 20, NotRun, "the configuration changed in between"),
            Self::TextInvalid => entry(1302, "text_invalid", 422, 21, NotRun, "the services text has errors"),
            Self::Unconfirmed => entry(1303, "unconfirmed", 202, 22, Ran, "in force, and not yet confirmed by all failure domains"),
            Self::StoreUnavailable => entry(1304, "store_unavailable", 503, 23, NotRun, "the platform's store does not answer"),
            Self::ClaimMismatch => entry(1401, "claim_mismatch", 422, 30, NotRun, "the idempotency key was used with another body"),
            Self::ClaimMissing => entry(1402, "claim_missing", 400, 30, NotRun, "the request needs an Idempotency-Key header"),
            Self::OutcomeUnknown => entry(1403, "outcome_unknown", 502, 31, Unknown, "the request may have run; it will not be run again"),
            Self::ClaimUnsettled => entry(1404, "claim_unsettled", 503, 31, Unknown, "it is not known whether the request was accepted; ask again with the same key"),
            Self::ClaimRefused => entry(1405, "claim_refused", 503, 32, NotRun, "the request could not be recorded and was not sent"),
            Self::ClaimRunning => entry(1406, "claim_running", 409, 31, Unknown, "the request with this key is still running"),
            Self::PeerVersion => entry(1501, "peer_version", 400, 40, NotRun, "the peer speaks another protocol version"),
            Self::PeerFrame => entry(1502, "peer_frame", 400, 40, NotRun, "the peer's frame is malformed or too large"),
            Self::PeerToken => entry(1503, "peer_token", 401, 40, NotRun, "the peer did not prove the cluster token"),
            Self::TargetFailed => entry(1601, "target_failed", 502, 50, Unknown, "the target failed and no retry was possible"),
            Self::TargetTimeout => entry(1602, "target_timeout", 504, 50, Unknown, "the target did not answer in time"),
            Self::StreamWithdrawn => entry(1603, "stream_withdrawn", 401, 12, Unknown, "the key was withdrawn while the request ran"),
            Self::LeaseLost => entry(1701, "lease_lost", 503, 60, Unknown, "the lease was lost"),
            Self::Internal => entry(1901, "internal", 500, 70, Unknown, "a fault of the program"),
            Self::Usage => entry(1902, "usage", 400, 2, NotRun, "the command line is malformed"),
            Self::SettingsInvalid => entry(1903, "settings_invalid", 422, 21, NotRun, "the settings file has errors"),
        }
    }

    /// Number shown to callers and operators.
    #[must_use]
    pub fn number(self) -> u16 {
        self.entry().number
    }

    /// Code with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        let position = ALL_CODES.binary_search_by_key(&number, |code| code.number()).ok()?;
        Some(ALL_CODES[position])
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = self.entry();
        write!(formatter, "{} {}: {}", entry.number, entry.name, entry.message)
    }
}

impl std::error::Error for ResultCode {}
