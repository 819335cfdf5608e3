//! Work that one host does for all at a time: orders to engines, orders for targets, usage reports.
//!
//! A receiver of orders may not check fencing numbers, so the lease alone must keep two hosts from acting at one time:
//! a holder stops acting long before a successor may start, and every call ends in that gap.

pub mod leader_calls;
pub mod leader_lease;
pub mod leader_tasks;
pub mod supply_plan;
pub mod usage_counter;
pub mod usage_report;
pub mod weight_load_notice;

pub mod weight_rollout;
