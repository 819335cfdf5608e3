//! Changes of a host's settings file while the host runs.

use std::fs;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::Signal;

use crate::installation::SoakInstallation;

/// Timeout for the log line of a reload, and for all hosts to be ready afterwards.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

fn wait_until_first_host_logged(installation: &SoakInstallation, text: &str) -> bool {
    let deadline = Instant::now() + RELOAD_TIMEOUT;
    while !installation.read_log(0).contains(text) {
        if Instant::now() > deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Guards against a host that exits, or logs nothing, on SIGHUP after a valid or an invalid change of its settings file.
#[gtest]
fn settings_are_read_again_on_hangup() {
    let installation = SoakInstallation::start(1_001);
    let file = installation.settings_path(0);
    let settings = fs::read_to_string(&file).expect("the settings are there");
    fs::write(&file, format!("{settings}log_level: debug\nstop_limit_seconds: 9\n")).expect("the settings are written");
    installation.signal_host(0, Signal::HUP);
    expect_that!(
        wait_until_first_host_logged(
            &installation,
            "event=settings_reloaded log_level=debug others_wait_for_start=true"
        ),
        eq(true)
    );
    fs::write(&file, format!("{settings}log_level: loud\n")).expect("the settings are written");
    installation.signal_host(0, Signal::HUP);
    expect_that!(wait_until_first_host_logged(&installation, "event=settings_reload_failed"), eq(true));
    expect_that!(installation.wait_until_ready(RELOAD_TIMEOUT), eq(true));
}
