//! Quarantine of requests that crash targets, shared by all runs of this host. Hosts of a failure domain tell each
//! other of crashes and of quarantined requests.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use crate::control::HostIdentity;
use crate::control::control_view::MemberState;
use crate::generated::peer_messages::{CrashNotice, PeerFrame, QuarantineNotice};
use crate::memory::ReceivedBody;
use crate::peer::FrameSender;
use crate::peer::frame_codec::format_hex;
use crate::prelude::*;
use crate::traffic::engine_runner::ViewSource;
use crate::traffic::quarantine::{CRASH_REPORT_DELAY, CrashRecord, Fingerprint, QuarantineTable};

/// Longest wait of a suspect request for its turn; a long run of another suspect request must not hold up a
/// training step.
const TURN_TIMEOUT: Duration = Duration::from_secs(5);

/// Most fingerprints and most crashes that are read from one frame; the others are ignored.
const MAX_NOTICE_ENTRIES: usize = 64;

/// Length of a fingerprint in hexadecimal digits.
const FINGERPRINT_LENGTH: usize = 64;

/// Refuses requests that crash targets, and retries suspect requests one at a time.
pub struct CrashQuarantine {
    table: Mutex<QuarantineTable>,
    view: ViewSource,
    clock: TimeSource,
    send: FrameSender,
    is_turn_taken: Mutex<bool>,
    turn_released: Condvar,
}

/// Returns the fingerprint of a request: SHA-256 of the service and of the fields that make up the request, each with
/// its length.
#[must_use]
pub fn fingerprint_of(service: &str, fields: &[&[u8]]) -> Fingerprint {
    format_hex(&digest_fields(service, fields).finalize())
}

/// Like [`fingerprint_of`], with a body as the last field.
#[must_use]
pub fn fingerprint_with_body(service: &str, fields: &[&[u8]], body: &ReceivedBody) -> Fingerprint {
    let mut digest = digest_fields(service, fields);
    digest.update((body.len() as u64).to_be_bytes());
    for segment in body.segments() {
        digest.update(segment);
    }
    format_hex(&digest.finalize())
}

fn digest_fields(service: &str, fields: &[&[u8]]) -> Sha256 {
    let mut digest = Sha256::new();
    for field in std::iter::once(&service.as_bytes()).chain(fields) {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    digest
}

impl CrashQuarantine {
    /// Creates an empty quarantine that sends notices to the members in `view` by `send`.
    #[must_use]
    pub fn new(view: ViewSource, clock: TimeSource, send: FrameSender) -> Arc<Self> {
        let table = Mutex::default();
        Arc::new(Self { table, view, clock, send, is_turn_taken: Mutex::new(false), turn_released: Condvar::new() })
    }

    /// Refuses a quarantined request. A quarantine that starts here is announced to the other hosts.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Quarantined`] when the request is quarantined.
    pub fn check(&self, fingerprint: &str) -> Result<(), ResultCode> {
        let verdict = self.lock_table().check_request(fingerprint, (self.clock)());
        if verdict.is_new {
            log::error!(fingerprint = fingerprint; "request_quarantined");
            let fingerprints = vec![fingerprint.to_owned()];
            self.announce(&QuarantineNotice { fingerprints, crashes: Vec::new() });
        }
        if verdict.is_refused { Err(ResultCode::Quarantined) } else { Ok(()) }
    }

    /// Records that a request is about to be sent to a target. A call of [`Self::end`] or [`Self::crash`] must follow.
    pub fn begin(&self, target: &str, fingerprint: &str) {
        self.lock_table().record_start(target, fingerprint);
    }

    /// Records that a request ended without a crash.
    pub fn end(&self, target: &str, fingerprint: &str) {
        self.lock_table().record_end(target, fingerprint, (self.clock)());
    }

    /// Records that the run of a sample, which began at `started_at`, ended well on a target.
    pub fn survive(&self, target: &str, started_at: BootTime) {
        self.lock_table().record_survivor(target, started_at);
    }

    /// Records that a target crashed while a request was in flight there. The first call for a crash reports it to the
    /// other hosts.
    pub fn crash(&self, target: &str, failure_domain: &str, fingerprint: &str) {
        let record = self.lock_table().record_crash(target, failure_domain, fingerprint, (self.clock)());
        let Some(record) = record else { return };
        log::warn!(target_id = target, requests = record.fingerprints.len(); "target_crashed");
        let crash = CrashNotice {
            target: record.target,
            failure_domain: record.failure_domain,
            fingerprints: record.fingerprints,
        };
        self.announce(&QuarantineNotice { fingerprints: Vec::new(), crashes: vec![crash] });
    }

    /// Shortest delay before a retry of this request. After a crash, the other hosts report within this delay which
    /// requests they had in flight; zero without a crash.
    #[must_use]
    pub fn settle_time(&self, fingerprint: &str) -> Duration {
        let crashes = self.lock_table().count_crashes(fingerprint, (self.clock)());
        if crashes > 0 { CRASH_REPORT_DELAY } else { Duration::ZERO }
    }

    /// Waits for the turn of a suspect request: one that was in flight in at least [`CRASH_LIMIT`] crashes, but is not
    /// quarantined, because those crashes have other requests in common as well. Suspect requests are retried one at a
    /// time, so that the next crash shows which of them causes it.
    ///
    /// Returns `None` when the request has fewer crashes, or when the turn did not become free within `TURN_TIMEOUT`;
    /// the request then goes on without a turn. One crash is not enough, since the requests of a target that crashes by
    /// itself would then wait for each other.
    #[must_use]
    pub fn wait_turn(self: &Arc<Self>, fingerprint: &str) -> Option<SuspectTurn> {
        if self.lock_table().count_crashes(fingerprint, (self.clock)()) < CRASH_LIMIT {
            return None;
        }
        let is_taken = self.is_turn_taken.lock().unwrap_or_else(PoisonError::into_inner);
        let wait_result = self.turn_released.wait_timeout_while(is_taken, TURN_TIMEOUT, |is_taken| *is_taken);
        let (mut is_taken, _) = wait_result.unwrap_or_else(PoisonError::into_inner);
        if *is_taken {
            return None;
        }
        *is_taken = true;
        Some(SuspectTurn { quarantine: Arc::clone(self) })
    }

    /// Handles a frame from a peer. Frames of other kinds, and of hosts of other failure domains, are ignored.
    pub fn handle_frame(&self, origin: &HostIdentity, frame: &PeerFrame) {
        let PeerFrame::Quarantine(notice) = frame else { return };
        if origin.failure_domain != (self.view)().failure_domain {
            return;
        }
        let now = (self.clock)();
        let mut table = self.lock_table();
        for fingerprint in notice.fingerprints.iter().take(MAX_NOTICE_ENTRIES).filter(|text| is_fingerprint(text)) {
            table.quarantine_request(fingerprint, now);
        }
        for crash in notice.crashes.iter().take(MAX_NOTICE_ENTRIES) {
            let fingerprints = crash.fingerprints.iter().filter(|text| is_fingerprint(text)).cloned().collect();
            let (target, failure_domain) = (crash.target.clone(), crash.failure_domain.clone());
            table.merge_crash(CrashRecord { target, failure_domain, at: now, fingerprints }, now);
        }
    }

    fn announce(&self, notice: &QuarantineNotice) {
        let view = (self.view)();
        let peers = view.members.iter().filter(|member| member.host != view.host && member.state != MemberState::Dead);
        for member in peers {
            (self.send)(&member.host, PeerFrame::Quarantine(notice.clone()));
        }
    }

    fn lock_table(&self) -> MutexGuard<'_, QuarantineTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_fingerprint(text: &str) -> bool {
    text.len() == FINGERPRINT_LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Turn of one suspect request; dropping it lets the next one go on.
pub struct SuspectTurn {
    quarantine: Arc<CrashQuarantine>,
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        *self.quarantine.is_turn_taken.lock().unwrap_or_else(PoisonError::into_inner) = false;
        self.quarantine.turn_released.notify_one();
    }
}
