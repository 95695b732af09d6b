//! The lowest latency of the last minute, which stands for the unloaded one.

use std::time::Duration;

use tokio::time::Instant;

/// Length of each of the two windows the lowest latency is taken over.
const WINDOW: Duration = Duration::from_secs(30);

/// Lowest latencies of the present and of the previous window.
#[derive(Debug, Default)]
pub struct MinLatencyWindow {
    current: Option<Duration>,
    previous: Option<Duration>,
    since: Option<Instant>,
}

impl MinLatencyWindow {
    /// Adds a latency and returns the lowest one, this one included.
    pub fn observe(&mut self, latency: Duration, now: Instant) -> Duration {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= WINDOW {
            self.previous = self.current.take();
            self.since = Some(now);
        }
        let current = self.current.map_or(latency, |known| known.min(latency));
        self.current = Some(current);
        self.previous.map_or(current, |known| known.min(current))
    }
}
