//! Host process for an installation whose platform lists the targets and provides a transactional row store.
//!
//! An adapter to the platform passes in the store client, the codecs and the names of the tables; it makes no decision
//! and keeps no state. Those are in this module and in the modules that it uses, mainly `fleet`, `relay`, `jobs` and
//! `duties`. One thread follows the tables and runs the leader tasks; another one serves callers and runs batch jobs.

pub mod fleet_follower;
pub mod host_context;
pub mod host_metrics;
pub mod host_start;
pub mod peer_server;
pub mod planned_stop;
pub mod request_entry;
pub mod settings;
