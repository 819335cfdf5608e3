//! Integration tests by topic.

mod command_line;
mod control_links;
mod http_bounds;
mod operator;
mod report;
mod settings;
mod support;
