//! Service-level burn report.
//!
//! Each host counts good and bad requests by service and organisation for each minute. The report merges the counts
//! of all hosts that answer and names those that did not, so that a partial report is never taken for a whole one.

pub mod burn_plot;
pub mod burn_recorder;
pub mod burn_report;
pub mod refusal_log;
