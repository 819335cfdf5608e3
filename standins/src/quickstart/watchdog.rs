//! Ends the run when it takes too long or is told to stop, without leaving processes behind.

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

/// Watches the run from threads of its own.
#[derive(Debug)]
pub(super) struct Watchdog {
    stop: Sender<()>,
}

impl Watchdog {
    pub(super) fn start(installation: Arc<Installation>, checks: Arc<CheckList>, limit: Duration) -> io::Result<Self> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let signalled = Arc::clone(&installation);
        thread::spawn(move || {
            if signals.forever().next().is_some() {
                println!("ended by a signal");
                signalled.remove_directory();
                abort(&signalled);
            }
        });
        let (stop, stopped) = mpsc::channel();
        thread::spawn(move || {
            if stopped.recv_timeout(limit) == Err(RecvTimeoutError::Timeout) {
                checks.run("time", || Err(format!("not finished after {} s", limit.as_secs())));
                println!("logs: {}", installation.directory().display());
                installation.keep_directory();
                abort(&installation);
            }
        });
        Ok(Self { stop })
    }

    pub(super) fn stop(&self) {
        let _ = self.stop.send(());
    }
}

fn abort(installation: &Installation) -> ! {
    installation.end();
    process::exit(1);
}
