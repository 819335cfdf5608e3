//! Changes of a host's settings file while the host runs.

use std::fs;
use std::io::Write;
use std::process::Command;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::{Pid, Signal, kill_process};

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

/// Guards against a host that ends because its settings file changes right after its start, before it has read the file.
#[gtest]
fn hangup_right_after_the_start_does_not_end_a_host() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("settings.yaml");
    let made = Command::new("mkfifo").arg(&file).status().expect("mkfifo runs");
    assert!(made.success());
    let mut host = Command::new(env!("CARGO_BIN_EXE_camphorspring"))
        .arg("serve-platform")
        .env("CAMPHORSPRING_NODE_FILE", &file)
        .spawn()
        .expect("the program starts");
    // Opening the pipe waits until the host reads its settings, which it then waits for.
    let mut settings = fs::File::options().write(true).open(&file).expect("the host opens its settings");
    let id = i32::try_from(host.id()).ok().and_then(Pid::from_raw).expect("the process has an id");
    kill_process(id, Signal::HUP).expect("the host takes the signal");
    std::thread::sleep(Duration::from_millis(300));
    let ended = host.try_wait().expect("the host can be asked");
    settings.write_all(b"not: settings\n").ok();
    drop(settings);
    host.wait().expect("the host ends by itself, since its settings are invalid");
    expect_that!(ended.is_none(), eq(true));
}
