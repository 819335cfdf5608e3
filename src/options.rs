//! Parsing and checking of the command line, the settings file of a host process and the services text.

pub mod arguments;
pub mod process_settings;
pub mod schema_check;
pub mod services_text;
pub mod text_events;
