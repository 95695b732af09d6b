//! Ejects backend servers with outlier latency and readmits them after enough fast probes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::leaf::Leaf;
use crate::configuration::published::ResolvedService;
use crate::locks::lock;
use crate::process::context::Context;
use crate::settings::EjectionSettings;

/// Time between two evaluations of the latency of backend servers.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Evaluations between two rotations of the latency windows.
const EVALUATIONS_PER_ROTATION: u64 = 20;

/// Periodically refreshes latency quantiles and ejects slow backend servers.
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
        if !context.replica_selector.uses_ejection() {
            continue;
        }
        for resolved in &accepted.services {
            eject_slow_servers(&context, resolved);
        }
    }
}

/// Ejects slow backend servers of one service, up to the configured share of them.
fn eject_slow_servers(context: &Context, resolved: &ResolvedService) {
    let settings = &context.settings.ejection;
    let all = context.leafs.all();
    let leafs: Vec<&Arc<Leaf>> =
        resolved.leafs.iter().filter_map(|&index| all.get(index)).collect();
    let Some(median_us) = median_latency_us(&leafs) else { return };
    let max_ejected = leafs.len() as u64 * settings.max_ejected_percent / 100;
    let mut ejected = leafs.iter().filter(|leaf| leaf.is_ejected()).count() as u64;
    for leaf in leafs {
        if leaf.is_ejected() || ejected >= max_ejected || !is_slow(settings, leaf, median_us) {
            continue;
        }
        leaf.set_ejected(true);
        *lock(&leaf.ejection_probes) = Default::default();
        ejected += 1;
        context.metrics.count("ejection.ejected");
        log::warn!(
            "backend server {} ejected: average latency {} us, median of the service {median_us} us",
            leaf.id,
            leaf.latency_us()
        );
    }
}

/// Records the latency of a probe, or none if it failed; enough consecutive fast probes end the ejection.
pub fn record_probe(context: &Context, leaf: &Leaf, latency: Option<Duration>) {
    let settings = &context.settings.ejection;
    let all = context.leafs.all();
    let block_leafs: Vec<&Arc<Leaf>> =
        all.iter().filter(|other| other.block == leaf.block).collect();
    // Without a median, every answered probe counts as fast.
    let median_us = median_latency_us(&block_leafs).unwrap_or(u64::MAX / settings.latency_percent);
    let fast = latency.is_some_and(|latency| {
        (latency.as_micros() as u64) < median_us * settings.latency_percent / 100
    });
    let mut probes = lock(&leaf.ejection_probes);
    probes.consecutive_fast = if fast { probes.consecutive_fast + 1 } else { 0 };
    if probes.consecutive_fast < settings.probes_to_return || !leaf.is_ejected() {
        return;
    }
    leaf.set_ejected(false);
    leaf.reset_latency();
    leaf.update(|state| state.slow_start_since = Some(Instant::now()));
    log::info!(
        "backend server {} readmitted after {} consecutive fast probes",
        leaf.id,
        probes.consecutive_fast
    );
}

/// Returns whether the average latency of a backend server is high enough for ejection.
fn is_slow(settings: &EjectionSettings, leaf: &Leaf, median_us: u64) -> bool {
    leaf.samples() >= settings.min_samples
        && leaf.latency_us() > median_us * settings.latency_percent / 100
}

/// Returns the median of the average latencies of answering backend servers that are not ejected, or none for
/// fewer than two.
fn median_latency_us(leafs: &[&Arc<Leaf>]) -> Option<u64> {
    let mut latencies_us: Vec<u64> = leafs
        .iter()
        .filter(|leaf| !leaf.is_ejected())
        .map(|leaf| leaf.latency_us())
        .filter(|&us| us > 0)
        .collect();
    if latencies_us.len() < 2 {
        return None;
    }
    latencies_us.sort_unstable();
    Some(latencies_us[(latencies_us.len() - 1) / 2])
}
