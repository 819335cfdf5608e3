//! Simulated and real control hosts, shared by tests of several topics.

pub mod control_hosts;
pub mod invariant_checks;
pub mod sim_cluster;
pub mod sim_store;
