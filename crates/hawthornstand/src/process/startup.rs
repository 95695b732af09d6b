//! Decides when a fresh VM knows enough to be ready.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::overlay::neighbours;
use crate::messages::PeerVm;
use crate::process::context::Context;
use crate::searches::planner::plan;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which unreachable neighbours and silent backend servers no longer hold readiness back.
const PATIENCE: Duration = Duration::from_secs(5);

/// Waits until the accepted configuration is as new as that of every reachable neighbour.
pub async fn run(context: Arc<Context>) {
    let started = Instant::now();
    let mut ticks = context.timer.subscribe(LOOK_INTERVAL);
    while ticks.next().await.is_some() {
        if context.config.revision() == 0 {
            continue;
        }
        let patient = started.elapsed() < PATIENCE;
        if patient && (!compared_with_neighbours(&context) || !backends_answered(&context)) {
            continue;
        }
        context.set_synced();
        return;
    }
}

/// Returns whether every neighbour has shown its revision or cannot be reached, and none is ahead.
fn compared_with_neighbours(context: &Context) -> bool {
    let list = context.config.list();
    let vms: Vec<&PeerVm> = list.vms.iter().filter(|vm| vm.entry).collect();
    for id in neighbours(&vms, &context.identity.vm_id) {
        if context.peers.is_unreachable(&id) {
            continue;
        }
        let Some((heartbeat, _)) = context.peers.find(&id).and_then(|link| link.heartbeat()) else {
            return false;
        };
        if heartbeat.accepted_revision > context.config.revision() {
            return false;
        }
    }
    true
}

/// Returns whether every slice of every service that has backend servers can be searched.
fn backends_answered(context: &Context) -> bool {
    let Some(accepted) = context.config.accepted() else { return false };
    for placed in &accepted.services {
        if placed.leafs.is_empty() {
            continue;
        }
        let Some(plan) = plan(context, &accepted, &placed.service.name, None) else { return false };
        let mut local =
            plan.blocks.iter().filter(|block| block.connected).flat_map(|block| &block.segments);
        let mut relayed = plan.blocks.iter().filter(|block| !block.connected);
        if relayed.any(|block| !context.block_versions.get(block.block).contains(&plan.version)) {
            return false;
        }
        if plan.version == 0 || local.any(|segment| segment.replicas.is_empty()) {
            return false;
        }
    }
    true
}
