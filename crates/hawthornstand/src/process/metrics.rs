//! Counters and timers, sent to statsd and shown by `status`.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::Duration;

use hdrhistogram::Histogram;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::locks::lock;
use crate::settings::MetricsSettings;

/// Significant decimal digits of the timers' histograms.
const TIMER_DIGITS: u8 = 2;

/// Client for statsd that also keeps totals since process start.
pub struct Metrics {
    client: Option<StatsdClient>,
    prefix: String,
    send_failure_logged: Mutex<bool>,
    /// Sorted by name.
    timers: Mutex<Vec<(String, Histogram<u64>)>>,
    /// Sorted by name.
    totals: RwLock<Vec<(String, AtomicU64)>>,
}

impl Metrics {
    /// Creates the client; without a statsd address only totals are kept.
    pub fn new(settings: &MetricsSettings) -> Self {
        let client = match settings.statsd_address.as_str() {
            "" => None,
            address => Some(connect(address, &settings.prefix)),
        };
        Self {
            client,
            prefix: settings.prefix.clone(),
            send_failure_logged: Mutex::new(false),
            timers: Mutex::default(),
            totals: RwLock::default(),
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds an amount to a counter.
    pub fn add(&self, name: &str, amount: u64) {
        self.add_total(name, amount);
        let Some(client) = &self.client else { return };
        self.log_first_failure(client.count(name, amount).map(|_| ()));
    }

    /// Records and sends a duration.
    pub fn time(&self, name: &str, duration: Duration) {
        self.record(name, duration);
        let Some(client) = &self.client else { return };
        self.log_first_failure(client.time(name, duration).map(|_| ()));
    }

    /// Returns the totals since process start, sorted by name.
    pub fn totals(&self) -> Vec<(String, u64)> {
        let totals = self.totals.read().unwrap_or_else(PoisonError::into_inner);
        totals.iter().map(|(name, total)| (name.clone(), total.load(Ordering::Relaxed))).collect()
    }

    /// Returns name, count, median, 99th percentile and maximum of each timer, in microseconds.
    pub fn timers(&self) -> Vec<(String, [u64; 4])> {
        let timers = lock(&self.timers);
        let summary = |timer: &Histogram<u64>| {
            [timer.len(), timer.value_at_quantile(0.5), timer.value_at_quantile(0.99), timer.max()]
        };
        timers.iter().map(|(name, timer)| (name.clone(), summary(timer))).collect()
    }

    /// Adds a duration to the histogram of a timer.
    fn record(&self, name: &str, duration: Duration) {
        let mut timers = lock(&self.timers);
        let index = match timers.binary_search_by(|(existing, _)| existing.as_str().cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let Ok(timer) = Histogram::new(TIMER_DIGITS) else { return };
                timers.insert(index, (name.to_string(), timer));
                index
            }
        };
        timers[index].1.saturating_record(duration.as_micros() as u64);
    }

    /// Adds an amount to a total.
    fn add_total(&self, name: &str, amount: u64) {
        {
            let totals = self.totals.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(index) = totals.binary_search_by(|(existing, _)| existing.as_str().cmp(name))
            {
                totals[index].1.fetch_add(amount, Ordering::Relaxed);
                return;
            }
        }
        let mut totals = self.totals.write().unwrap_or_else(PoisonError::into_inner);
        match totals.binary_search_by(|(existing, _)| existing.as_str().cmp(name)) {
            Ok(index) => {
                totals[index].1.fetch_add(amount, Ordering::Relaxed);
            }
            Err(index) => totals.insert(index, (name.to_string(), AtomicU64::new(amount))),
        }
    }

    /// Logs a failure to send metrics, only the first one.
    fn log_first_failure(&self, result: cadence::MetricResult<()>) {
        let Err(e) = result else { return };
        let mut logged = lock(&self.send_failure_logged);
        if !*logged {
            log::warn!(
                "cannot send metrics with prefix {}: {e}; check metrics.statsd_address",
                self.prefix
            );
            *logged = true;
        }
    }
}

/// Connects to a statsd collector; discards all metrics if no socket can be opened.
fn connect(address: &str, prefix: &str) -> StatsdClient {
    let sink = UdpSocket::bind("0.0.0.0:0").ok().and_then(|socket| {
        socket.set_nonblocking(true).ok()?;
        BufferedUdpMetricSink::from(address, socket).ok()
    });
    match sink {
        Some(sink) => StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink)),
        None => StatsdClient::from_sink(prefix, NopMetricSink),
    }
}
