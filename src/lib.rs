//! Rollout service for reinforcement learning.
//!
//! `docs/design.md` describes the modules, the state they own and what happens when a part fails. In short: `control`
//! keeps the configuration, the membership and the leases of a host, `gateway` accepts requests from callers,
//! `dispatch` and `policy` choose the targets, `traffic` and `samples` run requests and training steps on them,
//! `store_client` calls the platform, and `peer` links the hosts. `serve` starts such a host in an installation whose
//! targets are listed in a services text.
//!
//! `entry` starts a host in an installation whose platform lists the targets and stores rows. There `fleet` keeps the
//! host's view of configuration, targets and hosts, `relay` runs requests, `jobs` runs batch jobs, and `duties`
//! contains the leader tasks, which one host does for all hosts. `row_store` defines the store that the installation's
//! adapter provides.

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
pub mod memory;
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
