//! Batch jobs.

mod item_http;
mod plan;
mod progress;
mod results;
mod slow_engines;
mod takeover;
