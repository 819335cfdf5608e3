//! Operator commands of the command line. They call the operator interface of a host or read local files.

pub mod client;
pub mod commands;
pub mod explain;
pub mod output;

pub use commands::run_command;
