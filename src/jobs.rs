//! Batch jobs: many requests that are submitted at once, run later, and whose results are read by position.
//!
//! A job is accepted once all of its rows are in the store. One host owns the job and runs its items. A result is
//! listed once the owner has appended it to the stored results and counted it in the job's header. The owner appends
//! on condition of the header's version, so that two hosts that both take themselves for the owner cannot list the
//! result of an item twice. Any host answers reads from the store.

pub mod grading_queue;
pub mod grading_run;
pub mod item_run;
pub mod item_scheduler;
pub mod job_cache;
pub mod job_calls;
pub mod job_encoder;
pub mod job_ownership;
pub mod job_progress;
pub mod job_record;
pub mod job_removal;
pub mod job_route;
pub mod job_runner;
pub mod job_store;
pub mod read_wait;
