//! Rate limit for log lines per call site, so that high load cannot flood the log.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{Log, Metadata, Record};
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::locks::lock;

/// Maximum number of lines that one call site writes per window.
pub const LINES_PER_WINDOW: u32 = 40;
/// Length of a rate limit window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Counters of log lines that were not written.
#[derive(Clone)]
pub struct LogLosses {
    /// Returns how many lines the writer dropped because its reader was too slow.
    pub dropped: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Lines suppressed by the rate limit.
    pub suppressed: Counter,
}

impl LogLosses {
    /// Creates the counters; `dropped` returns the number of lines that the writer dropped.
    pub fn new(dropped: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        Self { dropped: Arc::new(dropped), suppressed: Counter::default() }
    }
}

/// Source file and line of a log call.
type CallSite = (&'static str, u32);

/// Lines of one call site in its current window.
struct SiteWindow {
    lines: u32,
    site: CallSite,
    started: Instant,
    suppressed: u32,
}

/// Logger that forwards lines to another logger, up to the limit of each call site.
pub struct RateLimitedLog<L> {
    inner: L,
    suppressed: Counter,
    /// Sorted by call site.
    windows: Mutex<Vec<SiteWindow>>,
}

impl<L: Log> RateLimitedLog<L> {
    /// Limits the lines that reach `inner`; `suppressed` counts the others.
    pub fn new(inner: L, suppressed: Counter) -> Self {
        Self { inner, suppressed, windows: Mutex::default() }
    }

    /// Counts a line; returns whether to write it and how many were suppressed in the previous window.
    fn admit(&self, site: CallSite, now: Instant) -> (bool, u32) {
        let mut windows = lock(&self.windows);
        let index = match windows.binary_search_by_key(&site, |window| window.site) {
            Ok(index) => index,
            Err(index) => {
                windows.insert(index, SiteWindow { lines: 0, site, started: now, suppressed: 0 });
                index
            }
        };
        let window = &mut windows[index];
        let mut suppressed = 0;
        if now.saturating_duration_since(window.started) >= WINDOW {
            suppressed = std::mem::take(&mut window.suppressed);
            window.lines = 0;
            window.started = now;
        }
        if window.lines >= LINES_PER_WINDOW {
            window.suppressed += 1;
            self.suppressed.inc();
            return (false, suppressed);
        }
        window.lines += 1;
        (true, suppressed)
    }
}

impl<L: Log> Log for RateLimitedLog<L> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let site = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let (admitted, suppressed) = self.admit(site, Instant::now());
        if suppressed > 0 {
            let text =
                format_args!("suppressed {suppressed} lines from the call site of the next line");
            self.inner
                .log(&Record::builder().metadata(record.metadata().clone()).args(text).build());
        }
        if admitted {
            self.inner.log(record);
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
