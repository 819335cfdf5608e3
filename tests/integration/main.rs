//! Integration tests by topic.

mod command_line;
mod dispatch;
mod gateway;
mod control_links;
mod http_bounds;
mod operator;
mod policy;
mod report;
mod settings;
mod traffic_bench;
mod support;
