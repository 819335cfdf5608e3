//! Policy experiment: the product's own dispatch code against baselines, in virtual time in one process.
//!
//! A small event loop drives engine models, trainers and page callers. The product's policy runs as the real
//! `DispatchCore` of every host, with frames between them; baselines route by simple rules. No host fails here, and
//! the control plane is reduced to a delay: dispatch under faults of hosts and links is tested in the product crate.
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
