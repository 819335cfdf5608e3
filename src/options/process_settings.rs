//! Reads and checks the settings file of `serve`. `serve-platform` has other settings; see `entry::settings`.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::generated::process_settings::ProcessSettings;
use crate::options::schema_check::{ConfigError, check_text, strip_byte_order_mark};

const SCHEMA: &str = include_str!("../../schema/process_settings.json");

/// Reads and checks a settings file.
///
/// # Errors
///
/// The error of [`read_text`] or the errors of [`parse_settings`].
pub fn load_settings(path: &Path) -> Result<ProcessSettings, Vec<ConfigError>> {
    parse_settings(&read_text(path)?)
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// The file cannot be read or is not UTF-8: one error at line 1, with the path as its field.
pub fn read_text(path: &Path) -> Result<String, Vec<ConfigError>> {
    fs::read_to_string(path).map_err(|error| {
        vec![ConfigError {
            line: 1,
            field: path.display().to_string(),
            found: error.to_string(),
            allowed: "a readable file".to_owned(),
        }]
    })
}

/// Checks a settings text against the schema of `serve` and parses it.
///
/// # Errors
///
/// As [`parse_checked`].
pub fn parse_settings(text: &str) -> Result<ProcessSettings, Vec<ConfigError>> {
    parse_checked(text, SCHEMA)
}

/// Checks a text against `schema`, which is a JSON Schema, and parses it.
///
/// # Errors
///
/// All errors of [`check_text`], sorted by line, or one error when the checked text cannot be converted into `T`.
pub fn parse_checked<T: DeserializeOwned>(text: &str, schema: &str) -> Result<T, Vec<ConfigError>> {
    let schema: Value = serde_json::from_str(schema).unwrap_or_default();
    let text = strip_byte_order_mark(text);
    check_text(text, &schema)?;
    serde_yaml_ng::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        vec![ConfigError {
            line,
            field: "(text)".to_owned(),
            found: error.to_string(),
            allowed: "a settings text".to_owned(),
        }]
    })
}
