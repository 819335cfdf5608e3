//! Clock of the time since the host booted.
//!
//! The clock includes the time in which the machine is suspended, which `std::time::Instant` leaves out: a lease must
//! also end while its owner is suspended. Hosts send each other ages, never readings of this clock.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the boot of this host, suspended time included. Readings of different hosts cannot be compared.
pub type BootTime = Duration;

/// Function that reads a boot-time clock; tests pass a clock of their own.
pub type TimeSource = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// Converts a duration to milliseconds, rounded down; `u64::MAX` when it is too long.
#[must_use]
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the boot-time clock of this host.
#[must_use]
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
