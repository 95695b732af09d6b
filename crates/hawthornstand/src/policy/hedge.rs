//! Hedging policies: when a second attempt is sent while the first is still running.

use std::time::Duration;

use crate::policy::latency_window::LatencyWindow;
use crate::settings::{HedgeSettings, HedgeSettingsPolicy};

/// Policy for the delay before a hedge.
pub trait HedgePolicy: Send + Sync {
    /// Returns the delay after the first attempt, or none if no hedge is to be sent.
    fn delay(&self, window: &LatencyWindow) -> Option<Duration>;
}

/// Creates the configured policy.
pub fn from_settings(settings: &HedgeSettings) -> Box<dyn HedgePolicy> {
    match settings.policy {
        HedgeSettingsPolicy::Fixed => {
            Box::new(Fixed(Duration::from_millis(settings.fixed_delay_ms)))
        }
        HedgeSettingsPolicy::None => Box::new(Never),
        HedgeSettingsPolicy::Quantile => {
            Box::new(Quantile(Duration::from_millis(settings.min_delay_ms)))
        }
    }
}

/// Hedges after a fixed delay.
struct Fixed(Duration);

/// Sends no hedges.
struct Never;

/// Hedges after a quantile of recent latency, but not before a minimum delay.
struct Quantile(Duration);

impl HedgePolicy for Fixed {
    fn delay(&self, _window: &LatencyWindow) -> Option<Duration> {
        Some(self.0)
    }
}

impl HedgePolicy for Never {
    fn delay(&self, _window: &LatencyWindow) -> Option<Duration> {
        None
    }
}

impl HedgePolicy for Quantile {
    fn delay(&self, window: &LatencyWindow) -> Option<Duration> {
        window.quantile().map(|quantile| quantile.max(self.0))
    }
}
