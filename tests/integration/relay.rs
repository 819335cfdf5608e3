//! Requests between callers and targets.

mod attempts;
mod events;
