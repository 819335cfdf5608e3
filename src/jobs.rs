//! Batch jobs: many requests that are handed in at once, run later and read by position.
//!
//! A job is accepted once all of it is in the store. One host owns it and runs its items; results are appended under
//! a condition on the job's header, so that two hosts that both believe to own it cannot list an item twice. Any host
//! answers reads from the store.

pub mod item_run;
pub mod job_cache;
pub mod job_calls;
pub mod job_keeper;
pub mod job_plan;
pub mod job_progress;
pub mod job_record;
pub mod job_removal;
pub mod job_runner;
pub mod job_store;
pub mod read_wait;
