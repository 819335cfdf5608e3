//! Carries requests between callers and targets.
//!
//! The words of the wire are left to the codecs that an installation's adapter passes in; this module decides which
//! target runs a request, when it is tried elsewhere, and what the caller is told.

pub mod attempt_plan;
pub mod caller_codec;
pub mod caller_server;
pub mod connection_pool;
pub mod event_reader;
pub mod plain_relay;
pub mod reply;
pub mod target_codec;
