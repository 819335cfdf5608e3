//! The quarantine of this host: shared by all runs, and spread to the other hosts of the failure domain.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use crate::control::HostIdentity;
use crate::control::control_view::MemberState;
use crate::generated::peer_messages::{CrashNotice, PeerFrame, QuarantineNotice};
use crate::peer::FrameSender;
use crate::peer::frame_codec::to_hex;
use crate::prelude::*;
use crate::traffic::engine_runner::ViewSource;
use crate::traffic::quarantine::{CRASH_SETTLE, CrashRecord, Fingerprint, QuarantineTable};

/// Longest wait of a suspect for its turn; a long run of another suspect must not hold up a step.
const TURN_LIMIT: Duration = Duration::from_secs(5);

/// Crashes in one frame that are read at most.
const NOTICE_LIMIT: usize = 64;

/// Longest fingerprint that is read, in bytes.
const FINGERPRINT_LIMIT: usize = 64;

/// Quarantine of this host.
pub struct CrashQuarantine {
    table: Mutex<QuarantineTable>,
    view: ViewSource,
    clock: TimeSource,
    send: FrameSender,
    is_turn_taken: Mutex<bool>,
    turn_ended: Condvar,
}

/// Fingerprint of a request: SHA-256 of its service and its body.
#[must_use]
pub fn fingerprint_of(service: &str, fields: &[&[u8]]) -> Fingerprint {
    let mut digest = Sha256::new();
    digest.update((service.len() as u64).to_be_bytes());
    digest.update(service.as_bytes());
    for field in fields {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    to_hex(&digest.finalize())
}

impl CrashQuarantine {
    /// Guard that sends frames by `send`.
    #[must_use]
    pub fn new(view: ViewSource, clock: TimeSource, send: FrameSender) -> Arc<Self> {
        let table = Mutex::default();
        Arc::new(Self { table, view, clock, send, is_turn_taken: Mutex::new(false), turn_ended: Condvar::new() })
    }

    /// Refuses a quarantined request.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Quarantined`].
    pub fn check(&self, fingerprint: &str) -> Result<(), ResultCode> {
        let verdict = self.table().judge(fingerprint, (self.clock)());
        if verdict.is_new {
            log::error!(fingerprint = fingerprint; "request_quarantined");
            let fingerprints = vec![fingerprint.to_owned()];
            self.spread(&QuarantineNotice { fingerprints, crashes: Vec::new() });
        }
        if verdict.is_refused { Err(ResultCode::Quarantined) } else { Ok(()) }
    }

    /// Records that a request is about to be sent; the flight must be ended.
    pub fn begin(&self, target: &str, fingerprint: &str) {
        self.table().begin(target, fingerprint);
    }

    /// Records that a request ended without a crash.
    pub fn end(&self, target: &str, fingerprint: &str) {
        self.table().end(target, fingerprint, (self.clock)());
    }

    /// Records that a target crashed under a request.
    pub fn crash(&self, target: &str, failure_domain: &str, fingerprint: &str) {
        let record = self.table().crash(target, failure_domain, fingerprint, (self.clock)());
        let Some(record) = record else { return };
        log::warn!(target_id = target, requests = record.fingerprints.len(); "target_crashed");
        let crash = CrashNotice {
            target: record.target,
            failure_domain: record.failure_domain,
            fingerprints: record.fingerprints,
        };
        self.spread(&QuarantineNotice { fingerprints: Vec::new(), crashes: vec![crash] });
    }

    /// Time that a suspect must wait before its retry, so that other hosts have reported the crash.
    #[must_use]
    pub fn settle_time(&self, fingerprint: &str) -> Duration {
        let crashes = self.table().crashes_of(fingerprint, (self.clock)());
        if crashes > 0 { CRASH_SETTLE } else { Duration::ZERO }
    }

    /// Waits for the turn of a request with [`CRASH_LIMIT`] crashes that is not quarantined, because others were in
    /// flight in the same crashes: these are retried one at a time, so that the next crash tells which it was.
    ///
    /// Not after the first crash: a target that dies by itself would then hold up all its requests.
    #[must_use]
    pub fn wait_turn(self: &Arc<Self>, fingerprint: &str) -> Option<SuspectTurn> {
        if self.table().crashes_of(fingerprint, (self.clock)()) < CRASH_LIMIT {
            return None;
        }
        let is_taken = self.is_turn_taken.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.turn_ended.wait_timeout_while(is_taken, TURN_LIMIT, |is_taken| *is_taken);
        let (mut is_taken, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if *is_taken {
            return None;
        }
        *is_taken = true;
        Some(SuspectTurn { guard: Arc::clone(self) })
    }

    /// Takes a frame from a peer; frames of other kinds, and of other failure domains, are ignored.
    pub fn handle_frame(&self, origin: &HostIdentity, frame: &PeerFrame) {
        let PeerFrame::Quarantine(notice) = frame else { return };
        if origin.failure_domain != (self.view)().failure_domain {
            return;
        }
        let now = (self.clock)();
        let mut table = self.table();
        for fingerprint in notice.fingerprints.iter().take(NOTICE_LIMIT).filter(|known| is_fingerprint(known)) {
            table.learn(fingerprint, now);
        }
        for crash in notice.crashes.iter().take(NOTICE_LIMIT) {
            let fingerprints = crash.fingerprints.iter().filter(|known| is_fingerprint(known)).cloned().collect();
            let (target, failure_domain) = (crash.target.clone(), crash.failure_domain.clone());
            table.learn_crash(CrashRecord { target, failure_domain, at: now, fingerprints }, now);
        }
    }

    fn spread(&self, notice: &QuarantineNotice) {
        let view = (self.view)();
        let peers = view.members.iter().filter(|member| member.host != view.host && member.state != MemberState::Dead);
        for member in peers {
            (self.send)(&member.host, PeerFrame::Quarantine(notice.clone()));
        }
    }

    fn table(&self) -> MutexGuard<'_, QuarantineTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_fingerprint(text: &str) -> bool {
    text.len() == FINGERPRINT_LIMIT && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Turn of one suspect; dropping it lets the next one go.
pub struct SuspectTurn {
    guard: Arc<CrashQuarantine>,
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        *self.guard.is_turn_taken.lock().unwrap_or_else(PoisonError::into_inner) = false;
        self.guard.turn_ended.notify_one();
    }
}
