//! Counters and histograms of the gateway in the text exposition format of Prometheus.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of request times, in seconds: around the goals of searches and lookups.
const REQUEST_BUCKETS_S: [f64; 9] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.8, 2.0, 8.0];

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Ending {
    pub outcome: &'static str,
}

/// Metrics of one process.
pub struct Telemetry {
    pub hedges: Counter,
    pub malformed: Counter,
    pub probes: Counter,
    pub requests: Family<Ending, Counter>,
    pub retries: Counter,
    pub seconds: Histogram,
    pub silences: Counter,
    pub store_reads: Counter,
    registry: Registry,
}

impl Default for Telemetry {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hawthornstand");
        let hedges = Counter::default();
        let malformed = Counter::default();
        let probes = Counter::default();
        let requests = Family::default();
        let retries = Counter::default();
        let seconds = Histogram::new(REQUEST_BUCKETS_S);
        let silences = Counter::default();
        let store_reads = Counter::default();
        registry.register("hedges", "Second attempts sent while the first ran", hedges.clone());
        registry.register(
            "malformed_values",
            "Published values that could not be read",
            malformed.clone(),
        );
        registry.register("probes", "Health probes sent", probes.clone());
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("retries", "Attempts sent after one that failed", retries.clone());
        registry.register("request_seconds", "Time from request to answer", seconds.clone());
        registry.register(
            "silences",
            "Times a backend server owed an answer for too long",
            silences.clone(),
        );
        registry.register("store_reads", "Reads of the store", store_reads.clone());
        Self {
            hedges,
            malformed,
            probes,
            requests,
            retries,
            seconds,
            silences,
            store_reads,
            registry,
        }
    }
}

impl Telemetry {
    /// Counts a finished request.
    pub fn finish(&self, outcome: &'static str, time: Duration) {
        self.requests.get_or_create(&Ending { outcome }).inc();
        self.seconds.observe(time.as_secs_f64());
    }

    /// Writes all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::warn!("metrics cannot be written: {error}");
        }
        text
    }
}
