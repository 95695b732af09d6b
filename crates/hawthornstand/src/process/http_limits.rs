//! Limits on the connections of an HTTP server.

use std::time::Duration;

use tokio::sync::watch;

/// Limits on what a client may send and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Whether a client may use HTTP/2 besides HTTP/1.1.
    pub accepts_http2: bool,
    /// Time allowed for the head of a request after its first byte.
    pub header_timeout: Duration,
    /// Time after which a connection without a running request is closed.
    pub idle_timeout: Duration,
    /// Number of open connections beyond which others are closed.
    pub max_connections: usize,
    /// Largest request head accepted, in bytes.
    pub max_header_bytes: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            accepts_http2: false,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            max_connections: 1024,
            max_header_bytes: 64 * 1024,
        }
    }
}

impl HttpLimits {
    /// Returns the limits for a listener on which they never change.
    pub fn fixed(self) -> watch::Receiver<Self> {
        watch::channel(self).1
    }
}
