//! Start and planned stop of a host.

use std::path::Path;

use crate::admin::client::CommandFault;
use crate::admin::commands::CommandOutput;
use crate::options::process_settings::load_settings;
use crate::prelude::*;

/// Runs a host until it is told to stop.
///
/// # Errors
///
/// The settings are invalid, or an address cannot be bound.
pub fn serve_host(settings_file: &Path) -> Result<CommandOutput, CommandFault> {
    let settings = load_settings(settings_file).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", settings_file.display())).collect();
        CommandFault { code: ResultCode::SettingsInvalid, message: lines.join("\n") }
    })?;
    crate::logs::start_logs(&settings.host, log::LevelFilter::Info);
    Ok(CommandOutput { text: String::new(), code: ResultCode::Done })
}
