//! Limits and measurements of each service on this VM.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use tokio::time::Instant;

use crate::ids::ServiceName;
use crate::policy::admission::ConcurrencyLimiter;
use crate::policy::budget::RetryBudget;
use crate::policy::latency_window::LatencyWindow;
use crate::settings::{AdmissionSettings, BudgetSettings};

/// Upper bound on the slowdown of one call, in percent, so that a single straggler does not dominate the average.
const MAX_SLOWDOWN_PERCENT: u64 = 1000;
/// Weight of one call in the moving average of slowdown, as a divisor.
const SLOWDOWN_WEIGHT_DIVISOR: u64 = 64;

/// Limits and measurements of one service.
pub struct ServiceState {
    pub admission: ConcurrencyLimiter,
    pub budget: RetryBudget,
    pub latency: LatencyWindow,
    pub name: ServiceName,
    /// Moving average of call latency, in percent of the unloaded latency.
    slowdown_percent: AtomicU64,
}

impl ServiceState {
    /// Records the slowdown of one call, in percent of the unloaded latency.
    pub fn record_slowdown(&self, percent: u64) {
        let old = self.slowdown_percent();
        let bounded = percent.min(MAX_SLOWDOWN_PERCENT);
        let new = (old * (SLOWDOWN_WEIGHT_DIVISOR - 1) + bounded) / SLOWDOWN_WEIGHT_DIVISOR;
        self.slowdown_percent.store(new, Ordering::Relaxed);
    }

    /// Returns the moving average of slowdown, in percent of the unloaded latency.
    pub fn slowdown_percent(&self) -> u64 {
        self.slowdown_percent.load(Ordering::Relaxed)
    }
}

/// States of all services used so far, sorted by name.
pub struct ServiceStates {
    admission: AdmissionSettings,
    budget: BudgetSettings,
    states: RwLock<Vec<Arc<ServiceState>>>,
}

impl ServiceStates {
    /// Creates an empty table.
    pub fn new(admission: AdmissionSettings, budget: BudgetSettings) -> Self {
        Self { admission, budget, states: RwLock::default() }
    }

    /// Returns the state of a published service, creating it on first use.
    pub fn get_or_create(&self, name: &str) -> Arc<ServiceState> {
        if let Some(state) = self.find(name) {
            return state;
        }
        let mut states = self.states.write().unwrap_or_else(PoisonError::into_inner);
        match states.binary_search_by(|state| state.name.as_str().cmp(name)) {
            Ok(index) => Arc::clone(&states[index]),
            Err(index) => {
                let now = Instant::now();
                let state = Arc::new(ServiceState {
                    admission: ConcurrencyLimiter::new(self.admission.clone()),
                    budget: RetryBudget::new(self.budget.clone(), now),
                    latency: LatencyWindow::default(),
                    name: name.to_string(),
                    slowdown_percent: AtomicU64::new(100),
                });
                states.insert(index, Arc::clone(&state));
                state
            }
        }
    }

    /// Returns the states of all services.
    pub fn all(&self) -> Vec<Arc<ServiceState>> {
        self.states.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the state of a service, or none before its first use.
    fn find(&self, name: &str) -> Option<Arc<ServiceState>> {
        let states = self.states.read().unwrap_or_else(PoisonError::into_inner);
        let index = states.binary_search_by(|state| state.name.as_str().cmp(name)).ok()?;
        Some(Arc::clone(&states[index]))
    }
}
