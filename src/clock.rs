//! Time of the host since it booted.
//!
//! The clock counts the time that the machine was suspended, which `std::time::Instant` leaves out: a lease must
//! end while its holder sleeps. Only ages cross between hosts, never readings of this clock.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Reading of the boot-time clock of this host.
pub type BootTime = Duration;

/// Function that reads the time; tests pass their own.
pub type TimeSource = Arc<dyn Fn() -> BootTime + Send + Sync>;

/// Whole milliseconds of a duration.
#[must_use]
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the boot-time clock.
#[must_use]
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
