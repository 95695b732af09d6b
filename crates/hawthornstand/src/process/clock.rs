//! Clock abstraction that tests can replace.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::ids::UnixMs;

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, which advances while the process is paused.
    fn unix_ms(&self) -> UnixMs;
    /// Returns a time that never jumps and advances while the machine is suspended.
    fn since_boot(&self) -> Duration {
        Duration::from_millis(self.unix_ms())
    }
}

/// Clock of the operating system.
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> UnixMs {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as UnixMs
    }

    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }
}

/// Converts a wall-clock deadline to monotonic time.
pub fn deadline_instant(clock: &dyn Clock, deadline_unix_ms: UnixMs) -> Instant {
    clock.now() + Duration::from_millis(deadline_unix_ms.saturating_sub(clock.unix_ms()))
}
