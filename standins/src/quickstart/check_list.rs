//! Checks and their results, printed as they end.

use std::sync::Mutex;

/// Result of a check: what was found, or why it failed.
pub(super) type CheckResult = Result<String, String>;

#[derive(Debug, Default)]
struct CheckCounts {
    passed: u32,
    failed: u32,
}

/// Results of the checks so far.
#[derive(Debug, Default)]
pub(super) struct CheckList {
    counts: Mutex<CheckCounts>,
}

impl CheckList {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Runs a check and prints its result.
    pub(super) fn run(&self, name: &str, check: impl FnOnce() -> CheckResult) -> bool {
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

    /// Prints a line that is no check.
    #[expect(clippy::unused_self, reason = "all lines of the report go through the list")]
    pub(super) fn note(&self, name: &str, text: &str) {
        println!("        {name:<14} {text}");
    }

    pub(super) fn all_passed(&self) -> bool {
        let counts = self.counts.lock().expect("no check panicked while printing");
        counts.failed == 0 && counts.passed > 0
    }
}
