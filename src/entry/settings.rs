//! Reads the settings file of a host that runs in an installation, and checks it against its schema.

use std::path::Path;

pub use crate::generated::installation_settings::{InstallationSettings, InstallationSettingsLogLevel};
use crate::options::process_settings::{parse_checked, read_text};
use crate::options::schema_check::ConfigError;

const SCHEMA: &str = include_str!("../../schema/installation_settings.json");

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, which is one error at line 1, or the text has errors as in
/// [`parse_installation_settings`].
pub fn load_installation_settings(path: &Path) -> Result<InstallationSettings, Vec<ConfigError>> {
    parse_installation_settings(&read_text(path)?)
}

/// Parses and checks a settings text.
///
/// # Errors
///
/// The text is too large, is not valid YAML or does not match the schema. Errors against the schema are all returned,
/// sorted by line.
pub fn parse_installation_settings(text: &str) -> Result<InstallationSettings, Vec<ConfigError>> {
    parse_checked(text, SCHEMA)
}
