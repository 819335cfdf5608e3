//! Limit on the number of lines that a process logs in one second.

use crate::prelude::*;

/// Most lines in one second. With 300 bytes a line, 200 lines are 60 KB/s for each host.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Lines in the same second beyond [`MAX_LINES_PER_SECOND`] that only failures may use.
const EXTRA_FAILURE_LINES: u32 = 100;

/// Counts the lines of the current second, and the lines left out.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    lines: u32,
    left_out: u64,
}

impl LineBudget {
    /// Creates a budget without any counted line.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a line and returns whether it may be written; a line that may not counts as left out. `is_failure` stands
    /// for a warning or an error.
    pub fn try_consume(&mut self, is_failure: bool, now: BootTime) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.lines = 0;
        }
        let limit = if is_failure { MAX_LINES_PER_SECOND + EXTRA_FAILURE_LINES } else { MAX_LINES_PER_SECOND };
        let is_allowed = self.lines < limit;
        if is_allowed {
            self.lines += 1;
        } else {
            self.left_out += 1;
        }
        is_allowed
    }

    /// Counts a line that was allowed but could not be written.
    pub fn record_left_out(&mut self) {
        self.left_out += 1;
    }

    /// Returns the number of lines left out since the last call, and resets it.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
