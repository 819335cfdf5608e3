//! Leader tasks, which one host at a time does for all hosts: weight orders to engines, orders for targets, usage
//! reports and the removal of finished jobs.
//!
//! Receivers of these calls need not check fencing numbers, so the leader lease alone must keep two hosts from acting at
//! the same time: a leader stops acting long before a successor can start, and each call of the leader ends in that gap.

pub mod leader_calls;
pub mod leader_lease;
pub mod leader_tasks;
pub mod supply_plan;
pub mod usage_counter;
pub mod usage_report;
pub mod weight_load_notice;

pub mod weight_rollout;
