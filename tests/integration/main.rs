//! Integration tests by topic.

mod command_line;
mod dispatch;
mod http_bounds;
mod operator;
mod policy;
mod report;
mod settings;
