//! Selection of a replica for one call.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::backends::leaf::Leaf;
use crate::configuration::published::Phase;
use crate::settings::{EjectionSettings, RoutingSettings, RoutingSettingsPolicy};

/// Latency assumed while no candidate has answered yet, in microseconds.
const DEFAULT_LATENCY_US: u64 = 1000;

/// Selects among replicas of the same slices.
pub trait ReplicaSelector: Send + Sync {
    /// Returns the index of the selected candidate; `candidates` must not be empty.
    fn select(&self, candidates: &[&Arc<Leaf>], now: Instant) -> usize;

    /// Returns whether slow backend servers are ejected.
    fn uses_ejection(&self) -> bool;
}

/// Creates the selector of the configured policy.
pub fn from_settings(
    routing: &RoutingSettings,
    ejection: &EjectionSettings,
    region: &str,
) -> Box<dyn ReplicaSelector> {
    match routing.policy {
        RoutingSettingsPolicy::LeastLoaded => Box::new(LeastLoaded {
            region: region.to_string(),
            remote_penalty_percent: routing.remote_penalty_percent,
            slow_start: Duration::from_millis(ejection.slow_start_ms),
        }),
        RoutingSettingsPolicy::Random => Box::new(Random),
    }
}

/// Returns the serving candidates that are not ejected; if there are none, the entering and ejected ones.
///
/// Leaving backend servers and those already tried are excluded.
pub fn preferred_replicas<'a>(
    candidates: &'a [Arc<Leaf>],
    tried: &[&str],
    uses_ejection: bool,
) -> Vec<&'a Arc<Leaf>> {
    let mut preferred: Vec<&Arc<Leaf>> = Vec::new();
    let mut fallback: Vec<&Arc<Leaf>> = Vec::new();
    for leaf in candidates {
        if leaf.is_leaving() || tried.contains(&leaf.id.as_str()) {
            continue;
        }
        let entering = leaf.with_state(|state| state.phase == Phase::Entering);
        if entering || (uses_ejection && leaf.is_ejected()) {
            fallback.push(leaf);
        } else {
            preferred.push(leaf);
        }
    }
    if preferred.is_empty() { fallback } else { preferred }
}

struct LeastLoaded {
    region: String,
    remote_penalty_percent: u64,
    slow_start: Duration,
}

struct Random;

impl ReplicaSelector for LeastLoaded {
    fn select(&self, candidates: &[&Arc<Leaf>], now: Instant) -> usize {
        let mut rng = rand::rng();
        let measured_us = candidates.iter().map(|leaf| leaf.latency_us()).filter(|&us| us > 0);
        let default_us = measured_us.min().unwrap_or(DEFAULT_LATENCY_US);
        let mut best = (u64::MAX, 0, 0);
        for (index, leaf) in candidates.iter().enumerate() {
            let latency_us = match leaf.latency_us() {
                0 => default_us,
                us => us,
            };
            let mut load = u64::from(leaf.in_flight() + 1) * 100;
            if leaf.region != self.region {
                load += self.remote_penalty_percent;
            }
            if self.is_skipped_in_slow_start(leaf, now, &mut rng) {
                load *= 100;
            }
            let score = (load * latency_us, rng.random::<u32>(), index);
            if score < best {
                best = score;
            }
        }
        best.2
    }

    fn uses_ejection(&self) -> bool {
        true
    }
}

impl LeastLoaded {
    /// Returns whether a backend server in slow start is passed over this time; the probability falls with time.
    fn is_skipped_in_slow_start(&self, leaf: &Leaf, now: Instant, rng: &mut impl Rng) -> bool {
        let Some(since) = leaf.with_state(|state| state.slow_start_since) else { return false };
        let age = now.saturating_duration_since(since);
        if age >= self.slow_start {
            return false;
        }
        rng.random_range(0.0..1.0) > age.as_secs_f64() / self.slow_start.as_secs_f64()
    }
}

impl ReplicaSelector for Random {
    fn select(&self, candidates: &[&Arc<Leaf>], _now: Instant) -> usize {
        let indexes: Vec<usize> = (0..candidates.len()).collect();
        indexes.choose(&mut rand::rng()).copied().unwrap_or(0)
    }

    fn uses_ejection(&self) -> bool {
        false
    }
}
