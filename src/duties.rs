//! Leader tasks, called duties in names of tables, settings and log events. One host at a time does them for all hosts:
//! weight orders to engines, requests for more targets, usage reports and the removal of finished jobs.
//!
//! Receivers of these calls possibly do not check fencing numbers, so the leader lease alone must keep two hosts from
//! acting at the same time. A leader stops acting long before a successor can start, and each call of the leader ends
//! before the successor starts.

pub mod leader_calls;
pub mod leader_lease;
pub mod leader_tasks;
pub mod supply_plan;
pub mod usage_counter;
pub mod usage_report;
pub mod weight_load_notice;

pub mod weight_rollout;
