//! Pure decisions about load: queues, choice of target, limits, retries.
//!
//! Every function takes the state, the event and the time, and touches neither clock nor network, so that the
//! product, the property tests and the experiment tool run the same code.

pub mod capacity_share;
pub mod domain_choice;
pub mod domain_health;
pub mod fair_queue;
pub mod length_estimate;
pub mod prefix_index;
pub mod prompt_prefix;
pub mod retry_budget;
pub mod shard_map;
pub mod slot_reserve;
pub mod slow_start;
pub mod straggler_plan;
pub mod target_choice;
