//! Minimum latency over up to the last minute, used as the unloaded latency.

use std::time::Duration;

use tokio::time::Instant;

/// Length of each of the two half windows.
const HALF_WINDOW: Duration = Duration::from_secs(30);

/// Minimum latencies of the current and of the previous half window.
#[derive(Debug, Default)]
pub struct MinLatencyWindow {
    current: Option<Duration>,
    current_since: Option<Instant>,
    previous: Option<Duration>,
}

impl MinLatencyWindow {
    /// Records a latency and returns the minimum latency, which includes this one.
    pub fn observe(&mut self, latency: Duration, now: Instant) -> Duration {
        let current_since = *self.current_since.get_or_insert(now);
        if now.saturating_duration_since(current_since) >= HALF_WINDOW {
            self.previous = self.current.take();
            self.current_since = Some(now);
        }
        let current = self.current.map_or(latency, |minimum| minimum.min(latency));
        self.current = Some(current);
        self.previous.map_or(current, |minimum| minimum.min(current))
    }
}
