//! Integration tests by topic.

mod command_line;
mod gateway;
mod http_bounds;
mod memory_store;
mod operator;
mod report;
mod samples;
mod settings;
mod traffic_bench;
mod usage;
