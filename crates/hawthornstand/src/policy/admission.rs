//! Limits concurrent queries per service, so that saturated backend servers are not flooded.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::configuration::published::ServicePriority;
use crate::error::{ErrorKind, Failure};
use crate::locks::lock;
use crate::settings::AdmissionSettings;

/// Factor by which the limit shrinks.
const DECREASE_FACTOR: f64 = 0.9;
/// Shortest time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);

struct State {
    in_flight: u64,
    last_decrease: Option<Instant>,
    limit: f64,
    refused: u64,
}

/// Concurrency limit of one service: additive increase, multiplicative decrease.
pub struct ConcurrencyLimiter {
    settings: AdmissionSettings,
    state: Mutex<State>,
}

/// ConcurrencyLimiter of one query; dropped without an outcome it only frees its place.
pub struct Permit<'a> {
    admission: &'a ConcurrencyLimiter,
    started: Instant,
}

impl ConcurrencyLimiter {
    /// Creates a limit at its initial value.
    pub fn new(settings: AdmissionSettings) -> Self {
        let limit = settings.initial_limit as f64;
        let state = State { in_flight: 0, last_decrease: None, limit, refused: 0 };
        Self { settings, state: Mutex::new(state) }
    }

    /// Admits a query or refuses it at once.
    pub fn try_acquire(
        &self,
        priority: ServicePriority,
        now: Instant,
    ) -> Result<Permit<'_>, Failure> {
        let mut state = lock(&self.state);
        let limit = match priority {
            ServicePriority::Interactive => state.limit,
            ServicePriority::Bulk => state.limit * self.settings.bulk_share_percent as f64 / 100.0,
        };
        if state.in_flight as f64 >= limit.max(1.0) {
            state.refused += 1;
            return Err(Failure::new(
                ErrorKind::Overloaded,
                "the concurrency limit of the service is reached",
            )
            .with_retry_after_ms(self.settings.refusal_retry_after_ms));
        }
        state.in_flight += 1;
        Ok(Permit { admission: self, started: now })
    }

    /// Returns the limit, the queries running, and the queries refused so far.
    pub fn usage(&self) -> (f64, u64, u64) {
        let state = lock(&self.state);
        (state.limit, state.in_flight, state.refused)
    }
}

impl Permit<'_> {
    /// Ends the query and adapts the limit to what the service's calls met.
    ///
    /// `slowdown_percent` is the latency of backend calls relative to the unloaded latency of each backend server,
    /// so that distant ones are not taken for loaded ones.
    pub fn finish(self, now: Instant, overloaded: bool, slowdown_percent: u64) {
        let latency = now.saturating_duration_since(self.started);
        let settings = &self.admission.settings;
        let mut state = lock(&self.admission.state);
        if overloaded || slowdown_percent > settings.latency_tolerance_percent {
            let interval = (latency * 2).max(MIN_DECREASE_INTERVAL);
            if state
                .last_decrease
                .is_none_or(|last| now.saturating_duration_since(last) >= interval)
            {
                state.limit = (state.limit * DECREASE_FACTOR).max(1.0);
                state.last_decrease = Some(now);
            }
        } else if state.in_flight as f64 >= state.limit * 0.8 {
            state.limit = (state.limit + 1.0 / state.limit).min(settings.max_limit as f64);
        }
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.admission.state);
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
