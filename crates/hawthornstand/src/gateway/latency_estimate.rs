//! Estimates the time of an answer from the last ones, as TCP estimates round trips (RFC 6298).

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new sample in the mean (alpha of RFC 6298).
pub const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation (beta of RFC 6298).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean at which an answer counts as overdue (K of RFC 6298).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Age at which an estimate counts half and the prior half.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Shortest time after which an answer counts as overdue: below it the scheduling of a busy VM shows.
const MIN_OVERDUE: Duration = Duration::from_millis(12);

/// Mean and mean deviation of the time of an answer.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    deviation_s: f64,
    mean_s: f64,
    updated: Option<Instant>,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { deviation_s: 0.0, mean_s: 0.0, updated: None }
    }
}

impl LatencyEstimate {
    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration, now: Instant) {
        let sample_s = sample.as_secs_f64();
        let Some(updated) = self.updated.replace(now) else {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        };
        // After a while without samples the new one says more than the old ones.
        let aged = 1.0 - trust(now.saturating_duration_since(updated));
        let error_s = (sample_s - self.mean_s).abs();
        self.deviation_s += DEVIATION_WEIGHT.max(aged) * (error_s - self.deviation_s);
        self.mean_s += MEAN_WEIGHT.max(aged) * (sample_s - self.mean_s);
    }

    /// Returns the expected time; it returns to the prior while no samples come.
    pub fn expected(&self, prior: Duration, now: Instant) -> Duration {
        let Some(updated) = self.updated else { return prior };
        let trust = trust(now.saturating_duration_since(updated));
        Duration::from_secs_f64(trust * self.mean_s + (1.0 - trust) * prior.as_secs_f64())
    }

    /// Returns the mean deviation; half of the prior before the first sample.
    pub fn deviation(&self, prior: Duration) -> Duration {
        if self.updated.is_none() {
            return prior / 2;
        }
        Duration::from_secs_f64(self.deviation_s)
    }

    /// Returns the time after which an answer is overdue.
    pub fn overdue_after(&self, prior: Duration) -> Duration {
        if self.updated.is_none() {
            return (prior * 2).max(MIN_OVERDUE);
        }
        let overdue_s = self.mean_s + OVERDUE_DEVIATIONS * self.deviation_s;
        Duration::from_secs_f64(overdue_s).max(MIN_OVERDUE)
    }
}

/// Returns how much an estimate of an age still says, 1 for a fresh one.
fn trust(age: Duration) -> f64 {
    decay(age, HALF_LIFE)
}

/// Returns what is left of 1 after a time in which half of it goes each half-life.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the time after which another replica is asked as well, from when the answers of the replicas
/// are overdue.
///
/// A slow replica is given no more time than a typical one: its own estimate would excuse it.
pub fn hedge_delay(own: Duration, mut of_replicas: Vec<Duration>) -> Duration {
    of_replicas.sort_unstable();
    of_replicas.get(of_replicas.len() / 2).map_or(own, |typical| own.min(*typical))
}
