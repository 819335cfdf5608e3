//! Kills the hosts and exits the process when the run takes too long or a signal arrives, so that no host is left
//! behind.

use std::io;
use std::process;
use std::sync::Arc;
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::thread;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::check_list::CheckList;
use super::installation::Installation;

/// Handle of the threads that wait for a signal and for the timeout. Stopping or dropping the handle ends only the
/// timeout.
#[derive(Debug)]
pub(super) struct Watchdog {
    stop: Sender<()>,
}

impl Watchdog {
    /// Starts both threads. A signal removes the directory unless it is to be kept; the timeout adds a failed check
    /// and keeps the directory for its logs.
    pub(super) fn start(
        installation: Arc<Installation>,
        checks: Arc<CheckList>,
        timeout: Duration,
    ) -> io::Result<Self> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let signalled_installation = Arc::clone(&installation);
        thread::spawn(move || {
            if signals.forever().next().is_some() {
                println!("ended by a signal");
                signalled_installation.remove_directory();
                kill_hosts_and_exit(&signalled_installation);
            }
        });
        let (stop, stopped) = mpsc::channel();
        thread::spawn(move || {
            if stopped.recv_timeout(timeout) == Err(RecvTimeoutError::Timeout) {
                checks.run_check("time", || Err(format!("not finished after {} s", timeout.as_secs())));
                println!("logs: {}", installation.directory().display());
                installation.keep_directory();
                kill_hosts_and_exit(&installation);
            }
        });
        Ok(Self { stop })
    }

    /// Ends the timeout; signals are still handled.
    pub(super) fn stop(&self) {
        let _ = self.stop.send(());
    }
}

fn kill_hosts_and_exit(installation: &Installation) -> ! {
    installation.kill_hosts();
    process::exit(1);
}
