//! Rollout service for reinforcement learning.
//!
//! `docs/design.md` describes the modules, the state they own and what happens when a part fails. In short: `control`
//! decides what is in force and who is in charge, `gateway` takes requests, `dispatch` and `policy` decide which
//! target runs them, `traffic` and `samples` carry them out, and `store_client` and `peer` talk to the outside.
//!
//! In an installation whose platform lists targets and keeps rows, `entry` starts the host instead: `fleet` holds what
//! is known, `relay` and `jobs` carry requests and batch jobs, `duties` does what one host does for all, and
//! `row_store` is what the installation's adapter provides.

pub mod admin;
pub mod clock;
pub mod constants;
pub mod control;
pub mod dispatch;
pub mod duties;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod generated;
pub mod http_server;
pub mod ids;
pub mod jobs;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod options;
pub mod orders;
pub mod peer;
pub mod policy;
pub mod prelude;
pub mod relay;
pub mod report;
pub mod result_code;
pub mod row_store;
pub mod samples;
pub mod serve;
pub mod store_client;
pub mod traffic;
pub mod usage;
