//! Memory and CPU of processes, from /proc.

use std::fs;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Clock ticks per second in /proc, which is 100 on all architectures of Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Period in which memory is read.
const SAMPLE_PERIOD: Duration = Duration::from_millis(200);

/// Memory and CPU time of a process at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessReading {
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// CPU time since the start in seconds.
    pub cpu_seconds: f64,
}

/// Memory and CPU of a process during a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Process id.
    pub pid: u32,
    /// Share of one core in percent.
    pub cpu_percent: f64,
    /// Highest resident memory that was seen, in KiB.
    pub peak_resident_kib: u64,
    /// Whether the process ended during the run; its CPU share is then of the time before.
    pub ended: bool,
}

/// Reads the present memory and CPU time of a process.
///
/// # Errors
///
/// The process does not exist.
pub fn read_usage(pid: u32) -> io::Result<ProcessReading> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name of the program is in parentheses and may contain spaces; fields are counted behind it.
    let fields: Vec<&str> = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    let cpu_seconds = (ticks(11) + ticks(12)) / TICKS_PER_SECOND;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = line.and_then(|line| line.split_whitespace().next()).and_then(|text| text.parse().ok());
    Ok(ProcessReading { resident_kib: resident.unwrap_or(0), cpu_seconds })
}

#[derive(Debug, Clone, Copy)]
struct ProcessTrack {
    pid: u32,
    first: ProcessReading,
    last: ProcessReading,
    peak_kib: u64,
    ended: bool,
}

impl ProcessTrack {
    fn update(&mut self) {
        match read_usage(self.pid) {
            // A process that has ended and is not waited for has no memory.
            Ok(reading) if reading.resident_kib > 0 => {
                self.last = reading;
                self.peak_kib = self.peak_kib.max(reading.resident_kib);
            }
            _ => self.ended = true,
        }
    }
}

/// Thread that reads the usage of processes during a run.
#[derive(Debug)]
pub(super) struct UsageSampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<ProcessTrack>>,
}

impl UsageSampler {
    pub(super) fn start(pids: &[u32]) -> io::Result<Self> {
        let mut tracks = Vec::with_capacity(pids.len());
        for pid in pids {
            let first = read_usage(*pid)?;
            tracks.push(ProcessTrack { pid: *pid, first, last: first, peak_kib: first.resident_kib, ended: false });
        }
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                thread::sleep(SAMPLE_PERIOD);
                tracks.iter_mut().for_each(ProcessTrack::update);
            }
            tracks
        });
        Ok(Self { is_stopped, thread })
    }

    pub(super) fn stop(self, elapsed: Duration) -> Vec<ProcessUsage> {
        self.is_stopped.store(true, Ordering::Release);
        let tracks = self.thread.join().unwrap_or_default();
        let usage = tracks.iter().map(|track| ProcessUsage {
            pid: track.pid,
            cpu_percent: 100.0 * (track.last.cpu_seconds - track.first.cpu_seconds) / elapsed.as_secs_f64().max(0.001),
            peak_resident_kib: track.peak_kib,
            ended: track.ended,
        });
        usage.collect()
    }
}
