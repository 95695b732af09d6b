//! Quantile of backend call latency over the last seconds.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::locks::lock;

/// Largest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Minimum number of samples for a meaningful quantile.
const MIN_SAMPLES: u64 = 50;

/// Latency histograms of the current and the previous half window, and a quantile computed from both.
pub struct LatencyWindow {
    halves: Mutex<(Histogram<u64>, Histogram<u64>)>,
    quantile_us: AtomicU64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            halves: Mutex::new((new_histogram(), new_histogram())),
            quantile_us: AtomicU64::new(0),
        }
    }
}

impl LatencyWindow {
    /// Records one latency.
    pub fn record(&self, latency: Duration) {
        lock(&self.halves).0.saturating_record(latency.as_micros() as u64);
    }

    /// Recomputes the quantile (from 0 to 1) if there are enough samples; `rotate` then starts a new half window.
    pub fn refresh(&self, quantile: f64, rotate: bool) {
        let mut halves = lock(&self.halves);
        let mut merged = halves.0.clone();
        if merged.add(&halves.1).is_ok() && merged.len() >= MIN_SAMPLES {
            self.quantile_us.store(merged.value_at_quantile(quantile), Ordering::Relaxed);
        }
        if rotate {
            let finished = std::mem::replace(&mut halves.0, new_histogram());
            halves.1 = finished;
        }
    }

    /// Returns the last computed quantile, or none before there were enough samples.
    pub fn quantile(&self) -> Option<Duration> {
        match self.quantile_us.load(Ordering::Relaxed) {
            0 => None,
            us => Some(Duration::from_micros(us)),
        }
    }
}

/// Creates an empty histogram with two significant digits.
fn new_histogram() -> Histogram<u64> {
    // The bounds are valid constants, so creation cannot fail; an auto-resizing one is the fallback.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
        .unwrap_or_else(|_| Histogram::new(2).unwrap_or_else(|_| unreachable!()))
}
