//! Batch jobs: scheduling and runs of items, grading of their outputs (`waves`: start times of short and long items), stored rows, takeover,
//! reads and removal.

pub mod gradings;
pub mod item_http;
mod plan;
mod progress;
mod reads;
mod removal;
mod results;
mod routes;
mod slow_engines;
mod takeover;
mod waves;
