//! Settings of a host in an installation.

use std::path::Path;

pub use crate::generated::installation_settings::{InstallationSettings, InstallationSettingsLogLevel};
use crate::options::process_settings::{parse_checked, read_text};
use crate::options::schema_check::ConfigError;

const SCHEMA: &str = include_str!("../../schema/installation_settings.json");

/// Reads and checks a settings file.
///
/// # Errors
///
/// All errors of the file.
pub fn load_installation_settings(path: &Path) -> Result<InstallationSettings, Vec<ConfigError>> {
    parse_installation_settings(&read_text(path)?)
}

/// Parses and checks a settings text.
///
/// # Errors
///
/// All errors of the text.
pub fn parse_installation_settings(text: &str) -> Result<InstallationSettings, Vec<ConfigError>> {
    parse_checked(text, SCHEMA)
}
