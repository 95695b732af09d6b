//! Applies the limits of the active configuration to the connections of callers.

use std::time::Duration;

use tokio::sync::watch;

use crate::gateway::model::CallerLimits;
use crate::process::http_limits::HttpLimits;

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is active.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Returns the limits of a listener, which follow those on callers.
pub fn follow(
    mut caller_limits: watch::Receiver<CallerLimits>,
    max_connections: usize,
) -> watch::Receiver<HttpLimits> {
    let current = http_limits(*caller_limits.borrow_and_update(), max_connections);
    let (sender, receiver) = watch::channel(current);
    tokio::spawn(async move {
        while caller_limits.changed().await.is_ok() {
            let limits = *caller_limits.borrow_and_update();
            log::info!(
                max_header_bytes = limits.max_header_bytes,
                max_body_bytes = limits.max_body_bytes,
                header_timeout_ms = limits.header_timeout.as_millis() as u64,
                idle_timeout_ms = limits.idle_timeout.as_millis() as u64;
                "limits on callers changed"
            );
            sender.send_replace(http_limits(limits, max_connections));
        }
    });
    receiver
}

fn http_limits(limits: CallerLimits, max_connections: usize) -> HttpLimits {
    HttpLimits {
        accepts_http2: false,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
        max_connections,
        max_header_bytes: limits.max_header_bytes,
    }
}
