//! Decides when a read of results is answered.
//!
//! A trainer polls a step about twice a second and acts on a response only at its next poll. Near the end of a step,
//! results are listed one at a time. A read that is answered just before the last result is listed makes the trainer
//! end the step up to two polls late, in every step. A read of an unfinished step therefore collects results for as
//! long as the trainer waits. The read is answered at once when the trainer has what it waits for. Results that are
//! listed shortly before the objective are returned before they stop counting in full, soon after the objective.

use crate::jobs::job_record::JobHeader;
use crate::prelude::*;

/// Time after the objective of a job until which reads return results that shall count in full for the trainer. The
/// latency of the response is already subtracted.
const OBJECTIVE_GRACE: Duration = Duration::from_millis(550);

/// A caller's read of the results from a position on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResultRead {
    /// Position of the first result that the caller wants.
    pub start: u32,
    /// When the read arrived.
    pub asked_at: BootTime,
    /// Maximum time that the caller waits for results.
    pub wait: Duration,
}

impl ResultRead {
    /// Time at which the read is answered with the results listed by then. `age` is the age of the job when the read
    /// arrived; `None` when the store's time is unknown, in which case the objective is ignored.
    #[must_use]
    pub fn answer_at(&self, header: &JobHeader, age: Option<Duration>) -> BootTime {
        if header.is_closed() {
            return self.asked_at;
        }
        if header.listed <= self.start {
            return self.asked_at + self.wait;
        }
        if header.listed_groups >= header.group_target {
            return self.asked_at;
        }
        let full_worth_age = Duration::from_millis(header.objective_ms) + OBJECTIVE_GRACE;
        let remaining = age.map(|age| full_worth_age.saturating_sub(age)).filter(|remaining| !remaining.is_zero());
        self.asked_at + remaining.map_or(self.wait, |remaining| remaining.min(self.wait))
    }
}
