//! Batch jobs.

mod plan;
mod takeover;
