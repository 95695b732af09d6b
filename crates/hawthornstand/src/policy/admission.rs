//! Adaptive concurrency limit per service, which protects saturated backend servers from overload.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::configuration::published::ServicePriority;
use crate::error::{ErrorKind, Failure};
use crate::locks::lock;
use crate::settings::AdmissionSettings;

/// Factor by which the limit is multiplied when it decreases.
const DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);

struct LimiterState {
    in_flight: u64,
    last_decrease: Option<Instant>,
    limit: f64,
    refused: u64,
}

/// Concurrency limiter of one service, adapted by additive increase and multiplicative decrease (AIMD).
pub struct ConcurrencyLimiter {
    settings: AdmissionSettings,
    state: Mutex<LimiterState>,
}

/// Permit of one running query; a drop without [`Permit::finish`] releases it and leaves the limit unchanged.
pub struct Permit<'a> {
    limiter: &'a ConcurrencyLimiter,
    started: Instant,
}

impl ConcurrencyLimiter {
    /// Creates a limiter with the initial limit of the settings.
    pub fn new(settings: AdmissionSettings) -> Self {
        let limit = settings.initial_limit as f64;
        let state = LimiterState { in_flight: 0, last_decrease: None, limit, refused: 0 };
        Self { settings, state: Mutex::new(state) }
    }

    /// Acquires a permit without waiting; fails with `Overloaded` at the limit, of which bulk queries get only a part.
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
        Ok(Permit { limiter: self, started: now })
    }

    /// Returns the limit, the number of running queries, and the number of queries refused so far.
    pub fn usage(&self) -> (f64, u64, u64) {
        let state = lock(&self.state);
        (state.limit, state.in_flight, state.refused)
    }
}

impl Permit<'_> {
    /// Releases the permit and adapts the limit to the load of the backend servers.
    ///
    /// `overloaded` says whether a backend server shed load. `slowdown_percent` is the latency of backend calls
    /// relative to the unloaded latency of each backend server, so that distant servers do not count as loaded ones.
    pub fn finish(self, now: Instant, overloaded: bool, slowdown_percent: u64) {
        let latency = now.saturating_duration_since(self.started);
        let settings = &self.limiter.settings;
        let mut state = lock(&self.limiter.state);
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
        let mut state = lock(&self.limiter.state);
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}
