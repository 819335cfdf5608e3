//! Integration tests by topic.

mod claims_model;
mod command_line;
mod control_faults;
mod control_links;
mod control_results;
mod dispatch;
mod gateway;
mod http_bounds;
mod memory_store;
mod operator;
mod peer_frames;
mod policy;
mod report;
mod samples;
mod settings;
mod support;
mod traffic_bench;
