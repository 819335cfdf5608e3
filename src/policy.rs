//! Decisions about request load without side effects: queueing, choice of target, concurrency limits, retries.
//!
//! The functions take the state, the event and, where it matters, the time as arguments. They read no clock and no
//! network, so that the program, the property tests and the experiment tool (`standins`) run the same code.

pub mod capacity_share;
pub mod domain_choice;
pub mod domain_health;
pub mod fair_queue;
pub mod length_estimate;
pub mod limit_share;
pub mod prefix_index;
pub mod prompt_prefix;
pub mod retry_budget;
pub mod shard_map;
pub mod slot_reserve;
pub mod slow_start;
pub mod straggler_plan;
pub mod target_choice;
