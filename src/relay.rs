//! Forwards callers' requests to targets, and the responses back.
//!
//! This module chooses the target, decides when a request is also sent to another one, and determines the response to
//! the caller. The wire formats are defined by codecs that are passed in when the host starts.

pub mod attempt_plan;
pub mod caller_codec;
pub mod caller_server;
pub mod connection_pool;
pub mod crash_reports;
pub mod event_reader;
pub mod plain_relay;
pub mod read_budget;
pub mod reply;
pub mod request_forward;
pub mod stream_origins;
pub mod target_codec;
pub mod target_links;
pub mod target_relay;
pub mod target_response;
pub mod unanswered_attempt;
