//! The time left for a request, by a clock that runs on while the machine is suspended.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::process::clock::Clock;

/// Time given to a request when it came.
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

    /// Returns the end as an instant for timers; they stand still while the machine is suspended.
    pub fn end(&self) -> Instant {
        Instant::now() + self.left()
    }

    /// Returns the instant at which this much time has passed since the start.
    pub fn instant_at(&self, spent: Duration) -> Instant {
        Instant::now() + spent.saturating_sub(self.spent())
    }
}
