//! Ejects slow backend servers and lets them return once probes are fast again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::leaf::Leaf;
use crate::configuration::published::PlacedService;
use crate::locks::lock;
use crate::process::context::Context;
use crate::settings::EjectionSettings;

/// Time between two evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Evaluations between two rotations of the latency windows.
const EVALUATIONS_PER_ROTATION: u64 = 20;

/// Evaluates ejections and refreshes latency quantiles periodically.
pub async fn run(context: Arc<Context>) {
    let mut ticks = context.timer.subscribe(EVALUATION_INTERVAL);
    let mut evaluations: u64 = 0;
    while ticks.next().await.is_some() {
        evaluations += 1;
        let quantile = context.settings.hedge.quantile_percent as f64 / 100.0;
        for state in context.services.all() {
            state.latency.refresh(quantile, evaluations.is_multiple_of(EVALUATIONS_PER_ROTATION));
        }
        let Some(accepted) = context.config.accepted() else { continue };
        if !context.choice.uses_ejection() {
            continue;
        }
        for placed in &accepted.services {
            evaluate(&context, placed);
        }
    }
}

/// Ejects the slow backend servers of one service.
fn evaluate(context: &Context, placed: &PlacedService) {
    let settings = &context.settings.ejection;
    let all = context.leafs.all();
    let leafs: Vec<&Arc<Leaf>> = placed.leafs.iter().filter_map(|&index| all.get(index)).collect();
    let Some(median_us) = median_latency_us(&leafs) else { return };
    let allowed = leafs.len() as u64 * settings.max_ejected_percent / 100;
    let mut ejected = leafs.iter().filter(|leaf| leaf.is_ejected()).count() as u64;
    for leaf in leafs {
        if leaf.is_ejected() || ejected >= allowed || !is_slow(settings, leaf, median_us) {
            continue;
        }
        leaf.set_ejected(true);
        *lock(&leaf.ejection) = Default::default();
        ejected += 1;
        context.metrics.count("ejection.ejected");
        log::warn!(
            "backend server {} ejected: {} us against a median of {median_us} us",
            leaf.id,
            leaf.latency_us()
        );
    }
}

/// Takes over the result of a probe; enough fast ones in a row end the ejection.
pub fn record_probe(context: &Context, leaf: &Leaf, latency: Option<Duration>) {
    let settings = &context.settings.ejection;
    let all = context.leafs.all();
    let peers: Vec<&Arc<Leaf>> = all.iter().filter(|other| other.block == leaf.block).collect();
    let median_us = median_latency_us(&peers).unwrap_or(u64::MAX / settings.latency_percent);
    let fast = latency.is_some_and(|latency| {
        (latency.as_micros() as u64) < median_us * settings.latency_percent / 100
    });
    let mut ejection = lock(&leaf.ejection);
    ejection.fast_probes = if fast { ejection.fast_probes + 1 } else { 0 };
    if ejection.fast_probes < settings.probes_to_return || !leaf.is_ejected() {
        return;
    }
    leaf.set_ejected(false);
    leaf.reset_latency();
    leaf.update(|state| state.eased_since = Some(Instant::now()));
    log::info!("backend server {} returned after {} fast probes", leaf.id, ejection.fast_probes);
}

/// Returns whether a backend server is slow enough for ejection.
fn is_slow(settings: &EjectionSettings, leaf: &Leaf, median_us: u64) -> bool {
    leaf.samples() >= settings.min_samples
        && leaf.latency_us() > median_us * settings.latency_percent / 100
}

/// Returns the median latency of the backend servers that have answered and are not ejected.
fn median_latency_us(leafs: &[&Arc<Leaf>]) -> Option<u64> {
    let mut known: Vec<u64> = leafs
        .iter()
        .filter(|leaf| !leaf.is_ejected())
        .map(|leaf| leaf.latency_us())
        .filter(|&us| us > 0)
        .collect();
    if known.len() < 2 {
        return None;
    }
    known.sort_unstable();
    Some(known[(known.len() - 1) / 2])
}
