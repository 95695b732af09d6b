//! A timeout whose limit may change while it runs.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep};

/// Longest time that is waited: instants further away cannot be represented everywhere.
const MAX_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// A timeout whose limit may change while it runs.
pub struct AdjustableTimeout {
    limit: Duration,
    sleep: Pin<Box<Sleep>>,
    started: Instant,
}

impl AdjustableTimeout {
    /// Starts a timeout.
    pub fn start(limit: Duration) -> Self {
        let limit = limit.min(MAX_LIMIT);
        let started = Instant::now();
        Self { limit, sleep: Box::pin(tokio::time::sleep_until(started + limit)), started }
    }

    /// Starts the timeout once more.
    pub fn restart(&mut self, limit: Duration) {
        self.limit = limit.min(MAX_LIMIT);
        self.started = Instant::now();
        self.sleep.as_mut().reset(self.started + self.limit);
    }

    /// Waits for the end of the timeout, with the limit that applies now.
    pub fn poll(&mut self, limit: Duration, context: &mut Context<'_>) -> Poll<()> {
        let limit = limit.min(MAX_LIMIT);
        if limit != self.limit {
            self.adjust(limit);
        }
        self.sleep.as_mut().poll(context)
    }

    /// Changes the limit. A lower one leaves at least its own time from now on, since the client could not know of it before.
    fn adjust(&mut self, limit: Duration) {
        self.limit = limit;
        let end = self.sleep.deadline().min(Instant::now() + limit).max(self.started + limit);
        self.sleep.as_mut().reset(end);
    }
}
