//! Runs a host whose settings name the URL of its platform: start, wait for a signal, planned stop.

pub mod background;
pub mod domain_retries;
pub mod operator_dependencies;
pub mod running_host;

use std::path::Path;
use std::sync::atomic::Ordering;

use log::LevelFilter;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::admin::client::CommandError;
use crate::admin::commands::{CommandOutput, text_file_error};
use crate::generated::process_settings::{ProcessSettings, ProcessSettingsLogLevel};
use crate::options::process_settings::load_settings;
use crate::prelude::*;
use crate::serve::running_host::RunningHost;

/// Delay between the start of a planned stop, when the host turns not ready, and the close of the address for callers.
/// The load balancer notices the change in this time. At the end of the stop, open operator requests get as long.
const DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Runs a host until SIGTERM or SIGINT, then stops it. The result code is [`ResultCode::Internal`] when requests of
/// callers were not complete at the end of the stop.
///
/// # Errors
///
/// The settings cannot be read or are invalid, the signals cannot be registered, or the host cannot be started.
pub fn serve_host(settings_file: &Path) -> Result<CommandOutput, CommandError> {
    let settings = load_settings(settings_file)
        .map_err(|errors| text_file_error(ResultCode::SettingsInvalid, settings_file, &errors))?;
    crate::logs::start_logs(&settings.host, log_level(&settings));
    let start_error = |error: std::io::Error| CommandError { code: ResultCode::NotReady, message: error.to_string() };
    // Registered before anything starts, so that an early signal is not lost.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(start_error)?;
    let host = RunningHost::start(&settings).map_err(start_error)?;
    log::info!(
        caller_address = host.caller_server.address().to_string(),
        operator_address = host.operator_server.address().to_string(),
        peer_address = host.network.address().to_string();
        "host_started"
    );
    let signal = signals.forever().next().unwrap_or_default();
    log::info!(signal = signal; "stop_requested");
    let is_complete = stop_host(&host);
    log::info!(complete = is_complete; "host_stopped");
    let code = if is_complete { ResultCode::Done } else { ResultCode::Internal };
    Ok(CommandOutput { text: String::new(), code })
}

/// Stops a host without cutting requests that end within [`SHUTDOWN_TIMEOUT`]. Returns whether all requests and
/// connections of callers ended in that time.
fn stop_host(host: &RunningHost) -> bool {
    host.control.send(crate::control::ControlEvent::Leave);
    // New requests are still served while the load balancer takes the host out.
    std::thread::sleep(DRAIN_DELAY);
    host.stopping.store(true, Ordering::Release);
    let is_complete = host.caller_server.stop(SHUTDOWN_TIMEOUT);
    host.finish_background_work();
    host.operator_server.stop(DRAIN_DELAY);
    host.control.send(crate::control::ControlEvent::Stop);
    host.network.stop();
    is_complete
}

fn log_level(settings: &ProcessSettings) -> LevelFilter {
    match settings.log_level {
        ProcessSettingsLogLevel::Error => LevelFilter::Error,
        ProcessSettingsLogLevel::Warn => LevelFilter::Warn,
        ProcessSettingsLogLevel::Info => LevelFilter::Info,
        ProcessSettingsLogLevel::Debug => LevelFilter::Debug,
    }
}
