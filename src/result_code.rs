//! Numbered result codes of requests, operator commands and links between hosts.
//!
//! `docs/result-codes.md` lists them for operators and callers. Each code also says whether the request ran on a
//! target.

use std::fmt;

/// Whether a request with this result ran on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// No byte of the request was sent to a target, and none will be.
    NotRun,
    /// A target ran the request.
    Ran,
    /// The request may have run, or may still run.
    Unknown,
}

impl ExecutionStatus {
    /// Returns the value of the field `ran` in error bodies.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::Ran => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Result of a request, an operator command or a link between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResultCode {
    /// The request or command was completed.
    Done,
    /// The request is malformed.
    BadRequest,
    /// The head or the body of the request is too large, or a step has too many groups or shards.
    TooLarge,
    /// The head of the request is larger than its limit.
    HeadTooLarge,
    /// The route, model, step, request or other thing that the request or command names does not exist.
    NotFound,
    /// The method is not allowed on this path.
    BadMethod,
    /// The request has no key, or is an operator request without the right operator token.
    KeyMissing,
    /// The request's key is malformed, was never granted or has a wrong secret.
    KeyUnknown,
    /// The request's key was withdrawn before the request was admitted.
    KeyWithdrawn,
    /// The view of this host is older than [`crate::constants::VIEW_AGE_LIMIT`], so that it may lack a withdrawn key.
    StaleView,
    /// The host has not learned the configuration yet, is stopping, cannot start, or did not answer a command.
    NotReady,
    /// The request names something that belongs to another organisation than its key.
    WrongOrganisation,
    /// The queue of the service is full.
    QueueFull,
    /// The host already handles as many requests or streams as it can, or targets refused the request and none took it.
    HostBusy,
    /// No target of the service is in rotation, live and able to serve the request.
    NoTarget,
    /// The request crashed several targets and is refused.
    Quarantined,
    /// The request reached its deadline before it was sent to a target.
    QueueTimeout,
    /// A service that the requested service depends on is unavailable.
    DependencyDown,
    /// The targets announce rate limits, and the share of this host is used up.
    RateLimited,
    /// No target of the software version that began a stream takes requests, or the version is not known.
    StreamNotResumable,
    /// Several targets crashed or broke the connection under this request, and none has answered it since.
    RequestHeld,
    /// The change expects another configuration version than the one in force, or a newer weight release exists.
    ConfigurationConflict,
    /// The services text has errors.
    TextInvalid,
    /// The withdrawal of a key is in force on this host, but not yet stored or not yet confirmed by all failure
    /// domains.
    Unconfirmed,
    /// The platform's store did not answer, and nothing was run or changed.
    StoreUnavailable,
    /// The idempotency key or step id was used before with another body. A claim is the stored record of such a key.
    ClaimMismatch,
    /// The route needs an idempotency key, and the request has none.
    ClaimMissing,
    /// The request may have run, because its host died or its target gave no answer; it will not be run again.
    OutcomeUnknown,
    /// It is not known whether the idempotency claim or the step was stored; ask again with the same key.
    ClaimUnsettled,
    /// The idempotency claim was certainly not stored, so the request was not sent.
    ClaimRefused,
    /// The earlier request with this idempotency key is still running.
    ClaimRunning,
    /// The peer speaks another protocol version.
    PeerVersion,
    /// A frame is malformed or too large, or the peer did not accept the connection.
    PeerFrame,
    /// The peer did not prove that it knows the cluster token, or is another host than expected.
    PeerToken,
    /// The target failed, and no retry was possible: the attempts, the retry budget or the targets are used up.
    TargetFailed,
    /// The target did not answer before the deadline of the request, or the caller is gone.
    TargetTimeout,
    /// The request's key was withdrawn while the request ran, and the host ended its stream.
    StreamWithdrawn,
    /// This host lost a lease or its session, or the run of a sample was cancelled.
    LeaseLost,
    /// The program found an error of its own, or a planned stop cut off requests.
    Internal,
    /// The command line is malformed, or names a file that cannot be read or written.
    Usage,
    /// A settings file has errors, cannot be read, or is not named.
    SettingsInvalid,
}

/// All result codes in ascending order of their numbers; [`ResultCode::from_number`] depends on the order.
pub const ALL_CODES: [ResultCode; 41] = [
    ResultCode::Done,
    ResultCode::BadRequest,
    ResultCode::TooLarge,
    ResultCode::NotFound,
    ResultCode::BadMethod,
    ResultCode::HeadTooLarge,
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
    ResultCode::RateLimited,
    ResultCode::StreamNotResumable,
    ResultCode::RequestHeld,
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

/// Fixed properties of one result code, as listed in `docs/result-codes.md`.
#[derive(Debug, Clone, Copy)]
pub struct CodeEntry {
    /// Number shown to callers and operators.
    pub number: u16,
    /// Name in snake case, used in error bodies and error messages.
    pub name: &'static str,
    /// HTTP status of a response with this code.
    pub status: u16,
    /// Exit status of a command that ends with this code; 0 only for [`ResultCode::Done`].
    pub exit: u8,
    /// Whether a request with this result ran on a target.
    pub ran: ExecutionStatus,
    /// Explanation for callers and operators, used when there is no more detailed one.
    pub message: &'static str,
}

const fn new_entry(
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
    /// Returns the number, name, statuses and message of this code.
    #[must_use]
    #[rustfmt::skip]
    pub fn entry(self) -> CodeEntry {
        use ExecutionStatus::{NotRun, Ran, Unknown};
        match self {
            Self::Done => new_entry(0, "done", 200, 0, Ran, "done"),
            Self::BadRequest => new_entry(1001, "bad_request", 400, 10, NotRun, "the request is malformed"),
            Self::TooLarge => new_entry(1002, "too_large", 413, 10, NotRun, "the request is too large"),
            Self::HeadTooLarge => new_entry(1005, "head_too_large", 431, 10, NotRun, "the head of the request is too large"),
            Self::NotFound => new_entry(1003, "not_found", 404, 11, NotRun, "no such route, model, step or request"),
            Self::BadMethod => new_entry(1004, "bad_method", 405, 10, NotRun, "the method is not allowed on this path"),
            Self::KeyMissing => new_entry(1100, "key_missing", 401, 12, NotRun, "the request needs a key"),
            Self::KeyUnknown => new_entry(1101, "key_unknown", 401, 12, NotRun, "the key is not known"),
            Self::KeyWithdrawn => new_entry(1102, "key_withdrawn", 401, 12, NotRun, "the key was withdrawn"),
            Self::StaleView => new_entry(1103, "stale_view", 503, 13, NotRun, "this host cannot confirm which keys and routes are in force"),
            Self::NotReady => new_entry(1104, "not_ready", 503, 13, NotRun, "this host is not ready or is stopping"),
            Self::WrongOrganisation => new_entry(1105, "wrong_organisation", 403, 12, NotRun, "the key's organisation may not do this"),
            Self::QueueFull => new_entry(1201, "queue_full", 429, 14, NotRun, "the queue of the service is full"),
            Self::HostBusy => new_entry(1202, "host_busy", 503, 14, NotRun, "this host handles as many requests as it can"),
            Self::NoTarget => new_entry(1203, "no_target", 503, 14, NotRun, "no target of the service is available"),
            Self::Quarantined => new_entry(1204, "quarantined", 422, 15, NotRun, "this request crashed several targets and is refused"),
            Self::QueueTimeout => new_entry(1205, "queue_timeout", 503, 14, NotRun, "no target became free before the deadline"),
            Self::DependencyDown => new_entry(1206, "dependency_down", 503, 14, NotRun, "a service that this one depends on is unavailable"),
            Self::RateLimited => new_entry(1207, "rate_limited", 503, 14, NotRun, "the targets take no more requests at present"),
            Self::StreamNotResumable => new_entry(1208, "stream_not_resumable", 503, 14, NotRun, "no target can continue this stream"),
            Self::RequestHeld => new_entry(1209, "request_held", 429, 14, NotRun, "targets crashed under this request, so it is held back"),
            Self::ConfigurationConflict => new_entry(1301, "configuration_conflict", 409, 20, NotRun, "the configuration changed in between"),
            Self::TextInvalid => new_entry(1302, "text_invalid", 422, 21, NotRun, "the services text has errors"),
            Self::Unconfirmed => new_entry(1303, "unconfirmed", 202, 22, Ran, "in force, and not yet confirmed by all failure domains"),
            Self::StoreUnavailable => new_entry(1304, "store_unavailable", 503, 23, NotRun, "the platform's store does not answer"),
            Self::ClaimMismatch => new_entry(1401, "claim_mismatch", 422, 30, NotRun, "the idempotency key was used with another body"),
            Self::ClaimMissing => new_entry(1402, "claim_missing", 400, 30, NotRun, "the request needs an Idempotency-Key header"),
            Self::OutcomeUnknown => new_entry(1403, "outcome_unknown", 502, 31, Unknown, "the request may have run; it will not be run again"),
            Self::ClaimUnsettled => new_entry(1404, "claim_unsettled", 503, 31, Unknown, "it is not known whether the request was accepted; ask again with the same key"),
            Self::ClaimRefused => new_entry(1405, "claim_refused", 503, 32, NotRun, "the request could not be recorded and was not sent"),
            Self::ClaimRunning => new_entry(1406, "claim_running", 409, 31, Unknown, "the request with this key is still running"),
            Self::PeerVersion => new_entry(1501, "peer_version", 400, 40, NotRun, "the peer speaks another protocol version"),
            Self::PeerFrame => new_entry(1502, "peer_frame", 400, 40, NotRun, "the peer's frame is malformed or too large"),
            Self::PeerToken => new_entry(1503, "peer_token", 401, 40, NotRun, "the peer did not prove the cluster token"),
            Self::TargetFailed => new_entry(1601, "target_failed", 502, 50, Unknown, "the target failed and no retry was possible"),
            Self::TargetTimeout => new_entry(1602, "target_timeout", 504, 50, Unknown, "the target did not answer in time"),
            Self::StreamWithdrawn => new_entry(1603, "stream_withdrawn", 401, 12, Unknown, "the key was withdrawn while the request ran"),
            Self::LeaseLost => new_entry(1701, "lease_lost", 503, 60, Unknown, "the lease was lost"),
            Self::Internal => new_entry(1901, "internal", 500, 70, Unknown, "a fault of the program"),
            Self::Usage => new_entry(1902, "usage", 400, 2, NotRun, "the command line is malformed"),
            Self::SettingsInvalid => new_entry(1903, "settings_invalid", 422, 21, NotRun, "the settings file has errors"),
        }
    }

    /// Returns the number shown to callers and operators.
    #[must_use]
    pub fn number(self) -> u16 {
        self.entry().number
    }

    /// Finds the code with this number; `None` when no code has it.
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
