//! Integration tests by topic.

mod command_line;
mod control_faults;
mod control_links;
mod http_bounds;
mod operator;
mod peer_frames;
mod report;
mod settings;
mod support;
