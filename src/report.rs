//! Burn report: how fast each service and organisation uses up its error budget; and the log of refused requests.
//!
//! Each host counts good and bad requests by service and organisation for each minute. The report merges the counts
//! of all hosts that answer and names the hosts that did not, so that a partial report is recognisable.

pub mod burn_plot;
pub mod burn_recorder;
pub mod burn_report;
pub mod refusal_log;
