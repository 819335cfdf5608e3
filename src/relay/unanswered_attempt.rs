//! Guard of an attempt that waits for its answer.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::entry::host_context::HostContext;
use crate::fleet::fleet_view::TargetEntry;
use crate::prelude::*;
use crate::relay::crash_reports::{UnansweredEnd, report_unanswered};
use crate::relay::plain_relay::RelayRequest;

/// Shortest time after which an attempt without an answer is reported; callers leave many requests sooner.
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(250);

/// Reports an attempt that is dropped without an answer, such as at the caller's deadline: a target that loses power does not
/// break its connections.
#[derive(Debug)]
pub struct UnansweredAttempt<'a> {
    context: &'a HostContext,
    relay: &'a RelayRequest<'a>,
    target: &'a TargetEntry,
    started_at: BootTime,
    has_ended: bool,
    is_answered: &'a AtomicBool,
}

impl<'a> UnansweredAttempt<'a> {
    /// Guard of an attempt that begins now. `is_answered` says whether another attempt has answered the request.
    #[must_use]
    pub fn new(
        context: &'a HostContext,
        relay: &'a RelayRequest<'a>,
        target: &'a TargetEntry,
        is_answered: &'a AtomicBool,
    ) -> Self {
        Self { context, relay, target, started_at: boot_time(), has_ended: false, is_answered }
    }

    /// Ends the guard, since the attempt has ended by itself.
    pub fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for UnansweredAttempt<'_> {
    fn drop(&mut self) {
        let is_unanswered = !self.has_ended && !self.is_answered.load(Ordering::Acquire);
        if is_unanswered && boot_time().saturating_sub(self.started_at) >= MIN_UNANSWERED_TIME {
            let fingerprint = self.relay.fingerprint();
            let (started_at, last_event) = (self.started_at, self.relay.last_event_before());
            report_unanswered(self.context, fingerprint, self.target, started_at, UnansweredEnd::GivenUp, last_event);
        }
    }
}
