//! Metrics of the gateway in the Prometheus text exposition format.

use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::process::log_limit::LogLosses;

/// Upper bounds of the buckets of request times, in seconds: around the target latencies of searches and
/// lookups.
const REQUEST_BUCKETS_S: [f64; 9] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.8, 2.0, 8.0];

/// Value of the gauge of the confirmation's age while there is no confirmation.
const NOT_CONFIRMED: i64 = -1;

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    pub outcome: &'static str,
}

/// Metrics of one process; the fields are named after them.
pub struct Telemetry {
    pub abandoned_calls: Counter,
    pub attempts_without_room: Counter,
    pub budget_denials: Counter,
    confirmation_age_ms: Gauge,
    pub crash_refusals: Counter,
    pub cut_store_watches: Counter,
    pub departures: Counter,
    pub evicted_connections: Counter,
    pub handed_over: Counter,
    pub handover_failures: Counter,
    pub hedges: Counter,
    pub hosted_requests: Counter,
    pub hosted_searches: Counter,
    pub link_bytes: Counter,
    log_lines_dropped: Counter,
    log_losses: LogLosses,
    pub malformed_values: Counter,
    pub outdated_changes: Counter,
    pub partial_answers: Counter,
    pub probes: Counter,
    pub refused_bodies: Counter,
    pub relay_failures: Counter,
    pub relayed_searches: Counter,
    pub request_seconds: Histogram,
    pub requests: Family<RequestLabels, Counter>,
    pub retries: Counter,
    pub silences: Counter,
    pub store_reads: Counter,
    pub unfounded_promises: Counter,
    pub waits: Counter,
    registry: Registry,
}

impl Telemetry {
    /// Registers the metrics, all of them zero.
    pub fn new(log_losses: LogLosses) -> Self {
        let mut registry = Registry::with_prefix("hawthornstand");
        let requests = Family::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        let request_seconds = Histogram::new(REQUEST_BUCKETS_S);
        registry.register(
            "request_seconds",
            "Time from request to answer",
            request_seconds.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines that were one too many of their kind",
            log_losses.suppressed.clone(),
        );
        let confirmation_age_ms = Gauge::default();
        registry.register(
            "confirmation_age_ms",
            "Time since the store last confirmed the published state; -1 if it did not yet in its era",
            confirmation_age_ms.clone(),
        );
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        Self {
            abandoned_calls: counter(
                "abandoned_calls",
                "Abandoned calls whose backend servers are checked for crashes",
            ),
            attempts_without_room: counter(
                "attempts_without_room",
                "Attempts not sent because of what backend servers say of themselves",
            ),
            budget_denials: counter(
                "budget_denials",
                "Extra attempts that the budget did not allow",
            ),
            confirmation_age_ms,
            crash_refusals: counter(
                "crash_refusals",
                "Requests refused because they crash backend servers",
            ),
            cut_store_watches: counter(
                "cut_store_watches",
                "Watches of the store whose connection ended, or that were refused, while they waited",
            ),
            departures: counter("departures", "Callers that left before their answer"),
            evicted_connections: counter(
                "evicted_connections",
                "Connections of callers that were closed to make room for others",
            ),
            handed_over: counter(
                "handed_over",
                "Requests that another VM took because this one reaches too few backend servers",
            ),
            handover_failures: counter(
                "handover_failures",
                "Requests that no other VM took, or that one lost, while this one reaches too few backend servers",
            ),
            hedges: counter("hedges", "Second attempts sent while the first ran"),
            hosted_requests: counter(
                "hosted_requests",
                "Requests to one service that this VM began to run for other VMs",
            ),
            hosted_searches: counter(
                "hosted_searches",
                "Searches that this VM began to run for other VMs",
            ),
            link_bytes: counter("link_bytes", "Bytes of messages sent to other VMs"),
            log_lines_dropped: counter(
                "log_lines_dropped",
                "Log lines for which the reader was too slow",
            ),
            log_losses,
            malformed_values: counter(
                "malformed_values",
                "Published values that could not be read",
            ),
            outdated_changes: counter(
                "outdated_changes",
                "Changes that were ignored because newer ones of their keys are known",
            ),
            partial_answers: counter("partial_answers", "Searches answered without some shards"),
            probes: counter("probes", "Health probes sent"),
            refused_bodies: counter(
                "refused_bodies",
                "Bodies refused because those of all requests hold too much memory",
            ),
            relay_failures: counter(
                "relay_failures",
                "Searches that no relay accepted, or that a relay lost",
            ),
            relayed_searches: counter("relayed_searches", "Searches that a relay accepted"),
            request_seconds,
            requests,
            retries: counter("retries", "Attempts sent after one that failed"),
            silences: counter("silences", "Times a backend server owed an answer for too long"),
            store_reads: counter("store_reads", "Reads of the store"),
            unfounded_promises: counter(
                "unfounded_promises",
                "Failures of backend servers whose status promises that the request has not run, though it may have",
            ),
            waits: counter("waits", "Attempts that waited for a connection"),
            registry,
        }
    }

    /// Sets the time since the store last confirmed the published state; none if it did not yet in its era.
    pub fn record_confirmation_age(&self, age: Option<Duration>) {
        let age_ms = age.map(|age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.confirmation_age_ms.set(age_ms.unwrap_or(NOT_CONFIRMED));
    }

    /// Counts a finished request.
    pub fn record_request(&self, outcome: &'static str, time: Duration) {
        self.requests.get_or_create(&RequestLabels { outcome }).inc();
        self.request_seconds.observe(time.as_secs_f64());
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let dropped = (self.log_losses.dropped)();
        self.log_lines_dropped.inner().store(dropped, Ordering::Relaxed);
        let mut text = String::new();
        if let Err(error) = prometheus_client::encoding::text::encode(&mut text, &self.registry) {
            log::warn!("failed to encode metrics: {error}");
        }
        text
    }
}
