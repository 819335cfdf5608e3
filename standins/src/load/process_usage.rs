//! Memory and CPU usage of processes during a run, read from /proc.

use std::fs;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Clock ticks per second in /proc: `USER_HZ`, which is 100 on all architectures of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Period between two readings of a process.
const SAMPLE_PERIOD: Duration = Duration::from_millis(200);

/// Memory and CPU time of a process at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessReading {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// User and system CPU time since the start of the process, in seconds.
    pub cpu_seconds: f64,
}

/// Memory and CPU usage of a process during a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Process id.
    pub pid: u32,
    /// CPU time during the run in percent of the run's duration: 100 is one core. For a process that ended, the CPU
    /// time up to the last reading counts, still in percent of the whole run.
    pub cpu_percent: f64,
    /// Highest resident memory of all readings, in KiB.
    pub peak_resident_kib: u64,
    /// Whether the process ended during the run.
    pub ended: bool,
}

/// Reads the current memory and CPU time of a process. A value that is missing in /proc counts as 0, such as the memory
/// of a zombie process.
///
/// # Errors
///
/// The files of the process in /proc cannot be read, in most cases since no such process exists.
pub fn read_usage(pid: u32) -> io::Result<ProcessReading> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name is in parentheses and may contain spaces and parentheses, so fields are counted after the last
    // parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let cpu_seconds = (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok());
    Ok(ProcessReading { resident_kib: resident.unwrap_or(0), cpu_seconds })
}

#[derive(Debug, Clone, Copy)]
struct ObservedProcess {
    pid: u32,
    first: ProcessReading,
    last: ProcessReading,
    peak_kib: u64,
    has_ended: bool,
}

impl ObservedProcess {
    /// Takes another reading, or records that the process has ended.
    fn update(&mut self) {
        match read_usage(self.pid) {
            // A zombie process, which has ended but was not waited for, has no resident memory.
            Ok(reading) if reading.resident_kib > 0 => {
                self.last = reading;
                self.peak_kib = self.peak_kib.max(reading.resident_kib);
            }
            _ => self.has_ended = true,
        }
    }
}

/// Thread that reads the usage of processes periodically until it is stopped.
#[derive(Debug)]
pub(super) struct UsageSampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<ObservedProcess>>,
}

impl UsageSampler {
    /// Starts the thread; fails when a process cannot be read.
    pub(super) fn start(pids: &[u32]) -> io::Result<Self> {
        let mut processes = Vec::with_capacity(pids.len());
        for pid in pids {
            let first = read_usage(*pid)?;
            processes.push(ObservedProcess {
                pid: *pid,
                first,
                last: first,
                peak_kib: first.resident_kib,
                has_ended: false,
            });
        }
        let is_stopped = Arc::new(AtomicBool::new(false));
        let is_thread_stopped = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            while !is_thread_stopped.load(Ordering::Acquire) {
                thread::sleep(SAMPLE_PERIOD);
                processes.iter_mut().for_each(ObservedProcess::update);
            }
            processes
        });
        Ok(Self { is_stopped, thread })
    }

    /// Stops the thread and returns the usage of each process. `elapsed` is the duration of the run, from which the
    /// share of a core is computed.
    pub(super) fn stop(self, elapsed: Duration) -> Vec<ProcessUsage> {
        self.is_stopped.store(true, Ordering::Release);
        let processes = self.thread.join().unwrap_or_default();
        let usage = processes.iter().map(|process| ProcessUsage {
            pid: process.pid,
            cpu_percent: 100.0 * (process.last.cpu_seconds - process.first.cpu_seconds)
                / elapsed.as_secs_f64().max(0.001),
            peak_resident_kib: process.peak_kib,
            ended: process.has_ended,
        });
        usage.collect()
    }
}
