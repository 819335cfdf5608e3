//! Integration tests by topic.

mod settings;
