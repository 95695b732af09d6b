//! Bounds how fast this VM opens connections.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::locks::lock;

/// Spaces connection attempts evenly once a short burst is used up.
pub struct ConnectRateLimiter {
    burst: Duration,
    interval: Duration,
    next: Mutex<Option<Instant>>,
}

impl ConnectRateLimiter {
    /// Creates a limiter that allows a tenth of a second's attempts at once.
    pub fn new(connects_per_s: u64) -> Self {
        Self {
            burst: Duration::from_millis(100),
            interval: Duration::from_secs(1)
                / u32::try_from(connects_per_s.max(1)).unwrap_or(u32::MAX),
            next: Mutex::new(None),
        }
    }

    /// Waits until one more attempt is allowed.
    pub async fn wait(&self) {
        let now = Instant::now();
        let at = {
            let mut next = lock(&self.next);
            let earliest = now.checked_sub(self.burst).unwrap_or(now);
            let at = next.map_or(earliest, |next| next.max(earliest)) + self.interval;
            *next = Some(at);
            at
        };
        tokio::time::sleep_until(at).await;
    }
}
