//! Limits log lines for each place in the code that writes them, so that load cannot flood the log.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{Log, Metadata, Record};
use prometheus_client::metrics::counter::Counter;
use tokio::time::Instant;

use crate::locks::lock;

/// Lines of one place in the code that are written within one window.
pub const LINES_PER_WINDOW: u32 = 40;
/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Lines that were not written.
#[derive(Clone)]
pub struct LogLosses {
    /// Returns the lines that a reader was too slow for.
    pub dropped: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Lines that were one too many of their kind.
    pub left_out: Counter,
}

impl LogLosses {
    /// Starts counting; `dropped` tells what the writer itself has dropped.
    pub fn new(dropped: impl Fn() -> u64 + Send + Sync + 'static) -> Self {
        Self { dropped: Arc::new(dropped), left_out: Counter::default() }
    }
}

/// A place in the code.
type Place = (&'static str, u32);

/// What one place wrote in its present window.
struct Written {
    left_out: u32,
    lines: u32,
    place: Place,
    since: Instant,
}

/// Passes lines on to another log until a place has used up its window.
pub struct LimitedLog<L> {
    inner: L,
    left_out: Counter,
    /// Sorted by place.
    written: Mutex<Vec<Written>>,
}

impl<L: Log> LimitedLog<L> {
    /// Puts a limit before a log; `left_out` counts the lines beyond it.
    pub fn new(inner: L, left_out: Counter) -> Self {
        Self { inner, left_out, written: Mutex::default() }
    }

    /// Counts a line; returns whether it is written and how many were left out in the window before.
    fn admit(&self, place: Place, now: Instant) -> (bool, u32) {
        let mut written = lock(&self.written);
        let index = match written.binary_search_by_key(&place, |known| known.place) {
            Ok(index) => index,
            Err(index) => {
                written.insert(index, Written { left_out: 0, lines: 0, place, since: now });
                index
            }
        };
        let known = &mut written[index];
        let mut left_out = 0;
        if now.saturating_duration_since(known.since) >= WINDOW {
            left_out = std::mem::take(&mut known.left_out);
            known.lines = 0;
            known.since = now;
        }
        if known.lines >= LINES_PER_WINDOW {
            known.left_out += 1;
            self.left_out.inc();
            return (false, left_out);
        }
        known.lines += 1;
        (true, left_out)
    }
}

impl<L: Log> Log for LimitedLog<L> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let place = (record.file_static().unwrap_or(""), record.line().unwrap_or(0));
        let (admitted, left_out) = self.admit(place, Instant::now());
        if left_out > 0 {
            let text = format_args!("{left_out} lines like the next were left out");
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
