//! Helpers of several topics.

pub mod control_hosts;
