//! Targets that may have started again since their entry was written, without I/O.
//!
//! Failure handled: a target is replaced in place by another version of its software, under the id that it had. Its connections
//! break, it listens again, and its new entry reaches this host some hundred milliseconds later. In that time its former entry
//! names a software that it does not run any more.

use crate::prelude::*;

/// Time from the end of a connection until which an entry that arrives may have been written before that end.
const ENTRY_LAG: Duration = Duration::from_secs(1);

/// Targets to which connections broke, with the time of the last break, until their entry is renewed.
#[derive(Debug, Default)]
pub struct RestartWatch {
    /// Sorted by target.
    breaks: Vec<(TargetId, BootTime)>,
}

impl RestartWatch {
    /// Records that a connection to a target broke or could not be made.
    pub fn record_break(&mut self, target: &str, now: BootTime) {
        match self.breaks.binary_search_by(|(known, _)| known.as_str().cmp(target)) {
            Ok(position) => self.breaks[position].1 = now,
            Err(position) => self.breaks.insert(position, (target.to_owned(), now)),
        }
    }

    /// Records that the entry of a target was written anew.
    pub fn record_renewal(&mut self, target: &str, now: BootTime) {
        self.breaks.retain(|(known, broken_at)| known != target || now.saturating_sub(*broken_at) < ENTRY_LAG);
    }

    /// Forgets targets that have no entry any more.
    pub fn record_removal(&mut self, target: &str) {
        self.breaks.retain(|(known, _)| known != target);
    }

    /// Whether the entry of a target may be that of an earlier start.
    #[must_use]
    pub fn is_in_doubt(&self, target: &str) -> bool {
        self.breaks.binary_search_by(|(known, _)| known.as_str().cmp(target)).is_ok()
    }

    /// Whether no target is in doubt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.breaks.is_empty()
    }
}
