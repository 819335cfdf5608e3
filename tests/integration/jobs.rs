//! Batch jobs.

mod plan;
mod progress;
mod results;
mod slow_engines;
mod takeover;
