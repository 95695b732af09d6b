//! Decides when a newly started VM becomes ready.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::overlay::neighbours;
use crate::messages::PeerVm;
use crate::process::context::Context;
use crate::searches::planner::plan;

/// Time between two readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which neighbours and backend servers that have not answered no longer delay readiness.
const SYNC_TIMEOUT: Duration = Duration::from_secs(5);

/// Marks the VM as synchronized once it has a configuration that is as new as its reachable neighbours' and can
/// search every slice, or once `SYNC_TIMEOUT` has passed.
pub async fn run(context: Arc<Context>) {
    let started = Instant::now();
    let mut ticks = context.timer.subscribe(CHECK_INTERVAL);
    while ticks.next().await.is_some() {
        if context.config.revision() == 0 {
            continue;
        }
        let in_time = started.elapsed() < SYNC_TIMEOUT;
        if in_time && (!caught_up_with_neighbours(&context) || !all_slices_searchable(&context)) {
            continue;
        }
        context.set_synced();
        return;
    }
}

/// Returns whether each neighbour is unreachable or has reported a revision that is not newer than this VM's.
fn caught_up_with_neighbours(context: &Context) -> bool {
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
fn all_slices_searchable(context: &Context) -> bool {
    let Some(accepted) = context.config.accepted() else { return false };
    for resolved in &accepted.services {
        if resolved.leafs.is_empty() {
            continue;
        }
        let Some(plan) = plan(context, &accepted, &resolved.service.name, None) else {
            return false;
        };
        let mut connected =
            plan.blocks.iter().filter(|block| block.connected).flat_map(|block| &block.segments);
        let mut relayed = plan.blocks.iter().filter(|block| !block.connected);
        if relayed.any(|block| !context.block_versions.get(block.block).contains(&plan.version)) {
            return false;
        }
        if plan.version == 0 || connected.any(|segment| segment.replicas.is_empty()) {
            return false;
        }
    }
    true
}
