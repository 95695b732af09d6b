//! Estimates the latency of answers from recent samples, as TCP estimates round-trip times (RFC 6298).

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new sample in the mean (alpha of RFC 6298).
pub const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation (beta of RFC 6298).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean at which an answer counts as overdue (K of RFC 6298).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Age at which the estimate and the prior have equal weight.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Shortest time after which an answer counts as overdue: shorter delays come from scheduling on a busy VM.
const MIN_OVERDUE: Duration = Duration::from_millis(12);

/// Mean and mean deviation of the latency of answers.
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
        // The older the estimate, the more weight the new sample gets.
        let staleness = 1.0 - freshness(now.saturating_duration_since(updated));
        let error_s = (sample_s - self.mean_s).abs();
        self.deviation_s += DEVIATION_WEIGHT.max(staleness) * (error_s - self.deviation_s);
        self.mean_s += MEAN_WEIGHT.max(staleness) * (sample_s - self.mean_s);
    }

    /// Returns the expected latency, which decays to the prior while no samples come.
    pub fn expected(&self, prior: Duration, now: Instant) -> Duration {
        let Some(updated) = self.updated else { return prior };
        let weight = freshness(now.saturating_duration_since(updated));
        Duration::from_secs_f64(weight * self.mean_s + (1.0 - weight) * prior.as_secs_f64())
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

/// Returns the weight of an estimate of this age, 1 for a new one.
fn freshness(age: Duration) -> f64 {
    decay(age, ESTIMATE_HALF_LIFE)
}

/// Returns the factor of exponential decay after `age`.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the time after which a hedge is sent, from the times after which answers of the replicas are overdue.
///
/// The median caps it: the estimate of a slow replica has grown with its latency and would delay the hedge.
pub fn hedge_delay(own: Duration, mut replicas: Vec<Duration>) -> Duration {
    replicas.sort_unstable();
    replicas.get(replicas.len() / 2).map_or(own, |median| own.min(*median))
}
