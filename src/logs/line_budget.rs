//! Bound on the lines that a process logs in a second.

use crate::prelude::*;

/// Lines that are written in one second; 200 lines of 300 bytes are 60 KB/s a host.
const LINES_PER_SECOND: u32 = 200;

/// Further lines of that second that only tell of failures.
const FAILURE_LINES: u32 = 100;

/// Counts lines in the present second, and those left out.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    lines: u32,
    left_out: u64,
}

impl LineBudget {
    /// Budget of which nothing is used.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a line may be written; one that may not is counted.
    pub fn take(&mut self, is_failure: bool, now: BootTime) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.lines = 0;
        }
        let limit = if is_failure { LINES_PER_SECOND + FAILURE_LINES } else { LINES_PER_SECOND };
        let is_allowed = self.lines < limit;
        if is_allowed {
            self.lines += 1;
        } else {
            self.left_out += 1;
        }
        is_allowed
    }

    /// Records a line that could not be written.
    pub fn note_left_out(&mut self) {
        self.left_out += 1;
    }

    /// Lines left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
