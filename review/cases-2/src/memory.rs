//! The part of the platform that watches the memory of the processes: it kills one that exceeds `memory_mb` and starts it again
//! after a short delay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::record::Record;

/// `memory_mb` of a machine, as in the site file.
pub const MEMORY_MB: f64 = 150.0;

/// Delay before a process that was killed starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Pause between two looks at a process.
const LOOK_PAUSE: Duration = Duration::from_millis(2);

/// Ends of processes that make the rule broken: so many on so many hosts.
const ENDS: usize = 3;
const HOSTS: usize = 2;

/// Watches the processes while `goes_on`; returns whether the rule is broken.
pub fn watch(record: &Arc<Record>, hosts: &mut [Host], goes_on: impl Fn() -> bool) -> bool {
    let mut kills = vec![0; hosts.len()];
    let mut peaks = vec![0.0_f64; hosts.len()];
    let mut restarts: Vec<Option<Instant>> = vec![None; hosts.len()];
    while goes_on() {
        for (position, host) in hosts.iter_mut().enumerate() {
            match restarts[position] {
                Some(at) if Instant::now() >= at => {
                    restarts[position] = None;
                    host.start();
                }
                Some(_) => continue,
                None => {}
            }
            if !host.is_running() {
                restarts[position] = Some(Instant::now() + RESTART_DELAY);
                continue;
            }
            let memory = host.memory_mb();
            peaks[position] = peaks[position].max(memory);
            if memory > MEMORY_MB {
                record.line(&format!(
                    "host {} uses {memory:.0} MB, over its {MEMORY_MB} MB: the platform kills it",
                    host.name
                ));
                host.kill();
                kills[position] += 1;
                restarts[position] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        std::thread::sleep(LOOK_PAUSE);
    }
    for (position, host) in hosts.iter().enumerate() {
        record
            .line(&format!("host {}: {:.0} MB at most, killed {} times", host.name, peaks[position], kills[position]));
    }
    let often = kills.iter().filter(|kills| **kills >= ENDS).count();
    record.line(&format!("{often} hosts of {} were killed {ENDS} times or more", hosts.len()));
    often >= HOSTS
}
