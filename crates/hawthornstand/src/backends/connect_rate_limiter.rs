//! Limits the rate at which this VM opens connections to backend servers.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::locks::lock;

/// Spaces connection attempts evenly after a short burst.
pub struct ConnectRateLimiter {
    burst: Duration,
    interval: Duration,
    next_attempt_at: Mutex<Option<Instant>>,
}

impl ConnectRateLimiter {
    /// Creates a limiter for `connects_per_s` attempts per second; a burst of a tenth of them is allowed.
    pub fn new(connects_per_s: u64) -> Self {
        Self {
            burst: Duration::from_millis(100),
            interval: Duration::from_secs(1)
                / u32::try_from(connects_per_s.max(1)).unwrap_or(u32::MAX),
            next_attempt_at: Mutex::new(None),
        }
    }

    /// Waits until the next attempt is allowed.
    pub async fn wait(&self) {
        let now = Instant::now();
        let at = {
            let mut next_attempt_at = lock(&self.next_attempt_at);
            let earliest = now.checked_sub(self.burst).unwrap_or(now);
            let at = next_attempt_at
                .map_or(earliest, |next_attempt_at| next_attempt_at.max(earliest))
                + self.interval;
            *next_attempt_at = Some(at);
            at
        };
        tokio::time::sleep_until(at).await;
    }
}
