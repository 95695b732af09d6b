//! Time budget of a request, by a clock that also counts the time during which the machine is suspended.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::process::clock::Clock;

/// Time within which a request has to be answered.
#[derive(Clone)]
pub struct TimeBudget {
    clock: Arc<dyn Clock>,
    started: Duration,
    total: Duration,
}

impl TimeBudget {
    /// Starts a budget now.
    pub fn start(clock: Arc<dyn Clock>, total: Duration) -> Self {
        let started = clock.since_boot();
        Self { clock, started, total }
    }

    /// Continues a budget that was started on another VM, `spent` ago.
    pub fn resume(clock: Arc<dyn Clock>, spent: Duration, total: Duration) -> Self {
        let started = clock.since_boot().saturating_sub(spent);
        Self { clock, started, total }
    }

    /// Returns the whole budget, including the time that is spent.
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Returns the time since the start.
    pub fn spent(&self) -> Duration {
        self.clock.since_boot().saturating_sub(self.started)
    }

    /// Returns the time left.
    pub fn left(&self) -> Duration {
        self.total.saturating_sub(self.spent())
    }

    /// Returns whether no time is left.
    pub fn is_spent(&self) -> bool {
        self.left().is_zero()
    }

    /// Returns the deadline as an instant for timers, which stop while the machine is suspended.
    pub fn deadline(&self) -> Instant {
        Instant::now() + self.left()
    }

    /// Returns the instant at which this much time has passed since the start.
    pub fn instant_at(&self, spent: Duration) -> Instant {
        Instant::now() + spent.saturating_sub(self.spent())
    }
}
