//! Policy experiment: compares the product's dispatch code with baselines, in virtual time in one process.
//!
//! An event loop drives models of engines, trainers and other callers. The product's policy runs as one real
//! `DispatchCore` for each host, with peer frames between them; the baselines route by simple rules. Hosts do not fail
//! here, and the control plane is reduced to a fixed delay of placement changes: the tests of the product crate cover
//! dispatch under faults of hosts and links.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation stay far below 2^53"
)]

pub mod baseline_router;
pub mod clients;
pub mod decision_bench;
pub mod engine_model;
pub mod fault_script;
pub mod measures;
pub mod plots;
pub mod policy_router;
pub mod product_router;
mod request_state;
pub mod simulation;
pub mod study;
pub mod study_text;
mod trainer_events;
pub mod user_workload;

pub use decision_bench::run_decision_bench;
pub use study::{StudyOptions, run_study};
