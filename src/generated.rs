//! Types generated from `schema/*.json` by `scripts/generate`.
//!
//! The generated files are committed, so that a build needs no generator, and CI compares them with their schema.
#![allow(missing_docs, dead_code, clippy::all, clippy::pedantic)]

pub mod caller_messages;
pub mod engine_messages;
pub mod installation_settings;
pub mod peer_messages;
pub mod platform_messages;
pub mod process_settings;
pub mod services_text;
