//! Integration tests by topic.

mod bookings;
mod claims_model;
mod coalescing;
mod command_line;
mod control_faults;
mod control_links;
mod control_results;
mod dispatch;
mod engine_runs;
mod gateway;
mod http_bounds;
mod memory_store;
mod operator;
mod orders;
mod peer_frames;
mod policy;
mod process_faults;
mod quarantine;
mod report;
mod samples;
mod settings;
mod support;
mod traffic_bench;
mod usage;
mod weights;
