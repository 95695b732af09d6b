//! Sends health probes to backend servers that have not answered lately.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::leaf::Leaf;
use crate::messages::{FactBody, LeafHealthState};
use crate::process::context::Context;

/// Limit of concurrent probes.
const MAX_CONCURRENT_PROBES: usize = 128;
/// Time limit of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends probes that are due, and reconciles the leaf table with the configuration and the VM list when they change.
///
/// Runs until the process ends.
pub async fn run(context: Arc<Context>) {
    let interval = Duration::from_millis(context.settings.backend.health_interval_ms);
    let mut ticks = context.timer.subscribe(interval / 2);
    let mut changes = context.config.subscribe();
    let probe_slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_PROBES));
    let mut first = 0;
    loop {
        tokio::select! {
            tick = ticks.next() => if tick.is_none() { return },
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
                changes.mark_unchanged();
                context.leafs.reconcile(&context.config, Instant::now());
            }
        }
        let Some(accepted) = context.config.accepted() else { continue };
        let now = Instant::now();
        let leafs = context.leafs.all();
        let groups = context.connection_groups(&accepted);
        for index in 0..leafs.len() {
            // Each round starts where the last one ran out of probe slots, so that every backend server gets its turn.
            let leaf = &leafs[(first + index) % leafs.len()];
            if !leaf.is_probe_due(interval, now)
                || !groups.get(leaf.block).is_some_and(|group| group.includes_own_vm)
            {
                continue;
            }
            let Ok(permit) = Arc::clone(&probe_slots).try_acquire_owned() else {
                first += index;
                break;
            };
            let (context, leaf) = (Arc::clone(&context), Arc::clone(leaf));
            tokio::spawn(async move {
                probe(&context, &leaf).await;
                drop(permit);
            });
        }
    }
}

/// Probes one backend server and applies its health report; does nothing while another probe of it runs.
pub async fn probe(context: &Context, leaf: &Leaf) {
    if !leaf.begin_probe() {
        return;
    }
    context.metrics.count("backend.probes");
    let started = Instant::now();
    let changed = match context.backend.health(leaf, PROBE_TIMEOUT).await {
        Ok(health) => {
            leaf.seed_latency(started.elapsed());
            let was_leaving = leaf.with_state(|state| state.reported_leaving);
            let changed = leaf.apply_health(&health, Instant::now());
            if health.state == LeafHealthState::Draining && !was_leaving {
                let fact = FactBody::LeafLeaving { boot_id: health.boot_id, leaf: leaf.id.clone() };
                context.peers.broadcast_facts(vec![fact]);
            }
            changed
        }
        Err(_) => leaf.mark_down(Instant::now()),
    };
    leaf.end_probe();
    if changed {
        context.leafs.bump_generation();
    }
}
