//! Choice of a replica for one call.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use crate::backends::leaf::Leaf;
use crate::configuration::published::Phase;
use crate::settings::{EjectionSettings, RoutingSettings, RoutingSettingsPolicy};

/// Latency assumed of a backend server that has not answered yet, in microseconds.
const UNKNOWN_LATENCY_US: u64 = 1000;

/// Chooses among replicas of the same slices.
pub trait ReplicaSelector: Send + Sync {
    /// Returns the index of the chosen candidate; the list is never empty.
    fn select(&self, candidates: &[&Arc<Leaf>], now: Instant) -> usize;

    /// Returns whether slow backend servers are avoided.
    fn uses_ejection(&self) -> bool;
}

/// Creates the policy that the settings name.
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

/// Returns the candidates that should be used first: the best non-empty class of them.
///
/// Classes: serving; entering or ejected. Leaving and tried ones are never used.
pub fn preferred_replicas<'a>(
    candidates: &'a [Arc<Leaf>],
    tried: &[&str],
    uses_ejection: bool,
) -> Vec<&'a Arc<Leaf>> {
    let mut best: Vec<&Arc<Leaf>> = Vec::new();
    let mut fallback: Vec<&Arc<Leaf>> = Vec::new();
    for leaf in candidates {
        if leaf.is_leaving() || tried.contains(&leaf.id.as_str()) {
            continue;
        }
        let entering = leaf.with_state(|state| state.phase == Phase::Entering);
        if entering || (uses_ejection && leaf.is_ejected()) {
            fallback.push(leaf);
        } else {
            best.push(leaf);
        }
    }
    if best.is_empty() { fallback } else { best }
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
        let known = candidates.iter().map(|leaf| leaf.latency_us()).filter(|&us| us > 0);
        let typical_us = known.min().unwrap_or(UNKNOWN_LATENCY_US);
        let mut best = (u64::MAX, 0, 0);
        for (index, leaf) in candidates.iter().enumerate() {
            let latency_us = match leaf.latency_us() {
                0 => typical_us,
                us => us,
            };
            let mut load = u64::from(leaf.in_flight() + 1) * 100;
            if leaf.region != self.region {
                load += self.remote_penalty_percent;
            }
            if self.is_eased(leaf, now, &mut rng) {
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
    /// Returns whether an eased-in backend server is passed over this time.
    fn is_eased(&self, leaf: &Leaf, now: Instant, rng: &mut impl Rng) -> bool {
        let Some(since) = leaf.with_state(|state| state.eased_since) else { return false };
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
