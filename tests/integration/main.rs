//! Integration tests by topic.

mod claims_model;
mod command_line;
mod gateway;
mod http_bounds;
mod operator;
mod report;
mod settings;
mod traffic_bench;
