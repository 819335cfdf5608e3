//! Counts the passed and failed checks of a run, and prints the result of each check when the check ends.

use std::sync::Mutex;

/// Text for the report: what the check found, or why it failed.
pub(super) type CheckResult = Result<String, String>;

#[derive(Debug, Default)]
struct CheckCounts {
    passed: u32,
    failed: u32,
}

/// Counts of the checks that have ended so far.
#[derive(Debug, Default)]
pub(super) struct CheckList {
    counts: Mutex<CheckCounts>,
}

impl CheckList {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Runs a check, counts it and prints its result; `true` when it passed.
    pub(super) fn run_check(&self, name: &str, check: impl FnOnce() -> CheckResult) -> bool {
        let result = check();
        let mut counts = self.counts.lock().expect("no check panicked while printing");
        match &result {
            Ok(text) => {
                counts.passed += 1;
                println!("  ok    {name:<14} {text}");
            }
            Err(text) => {
                counts.failed += 1;
                println!("  FAIL  {name:<14} {text}");
            }
        }
        result.is_ok()
    }

    /// Prints a line of the report that is not counted as a check.
    #[expect(clippy::unused_self, reason = "all lines of the report go through the list")]
    pub(super) fn print_line(&self, name: &str, text: &str) {
        println!("        {name:<14} {text}");
    }

    /// Whether at least one check has ended and none failed.
    pub(super) fn all_passed(&self) -> bool {
        let counts = self.counts.lock().expect("no check panicked while printing");
        counts.failed == 0 && counts.passed > 0
    }
}
