//! Keeps gossip links to a few other VMs, so that news reaches all in a few hops.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::fleet::link;
use crate::ids::VmId;
use crate::messages::PeerVm;
use crate::process::context::Context;

/// Time between two looks at the links.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Opens missing links until the process ends.
pub async fn run(context: Arc<Context>) {
    let mut ticks = context.timer.subscribe(LOOK_INTERVAL);
    let mut changes = context.config.subscribe();
    loop {
        tokio::select! {
            tick = ticks.next() => if tick.is_none() { return },
            changed = changes.changed() => if changed.is_err() { return },
        }
        changes.mark_unchanged();
        let mut dials = Vec::new();
        for (vm_id, address) in wanted(&context) {
            if vm_id.as_ref().is_some_and(|id| context.peers.find(id).is_some()) {
                continue;
            }
            let context = Arc::clone(&context);
            dials.push(tokio::spawn(async move { connect(&context, vm_id, &address).await }));
        }
        for dial in dials {
            if let Err(e) = dial.await {
                log::error!("a dialing task failed: {e}; please report it");
            }
        }
    }
}

/// Returns the VMs that a VM links to: at distances 1, 2, 4, 8 and so on in the sorted list.
pub fn neighbours(vms: &[&PeerVm], own: &str) -> Vec<VmId> {
    let mut ids: Vec<&str> = vms.iter().map(|vm| vm.id.as_str()).collect();
    ids.sort_unstable();
    let position = match ids.binary_search(&own) {
        Ok(position) => position,
        Err(position) => {
            ids.insert(position, own);
            position
        }
    };
    let mut result: Vec<VmId> = Vec::new();
    let mut step = 1;
    while step < ids.len() {
        result.push(ids[(position + step) % ids.len()].to_string());
        step *= 2;
    }
    result
}

/// Returns identities, where known, and addresses of the VMs to link to.
fn wanted(context: &Context) -> Vec<(Option<VmId>, String)> {
    let list = context.config.list();
    let vms: Vec<&PeerVm> = list.vms.iter().filter(|vm| vm.entry).collect();
    if vms.is_empty() {
        if !context.peers.all().is_empty() {
            return Vec::new();
        }
        let own = &context.settings.peer_address;
        return context
            .settings
            .seed_peers
            .iter()
            .filter(|seed| *seed != own)
            .map(|seed| (None, seed.clone()))
            .collect();
    }
    let mut result = Vec::new();
    for id in neighbours(&vms, &context.identity.vm_id) {
        let Ok(index) = list.vms.binary_search_by(|vm| vm.id.cmp(&id)) else { continue };
        result.push((Some(id), list.vms[index].address.clone()));
    }
    result
}

/// Opens one link after a short random pause, so that a restarted fleet does not dial in step.
async fn connect(context: &Arc<Context>, vm_id: Option<VmId>, address: &str) {
    let pause_ms = rand::rng().random_range(0..50);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    let opened = link::dial(context, address, false).await;
    if let (false, Some(vm_id)) = (opened, vm_id) {
        context.peers.note_unreachable(&vm_id);
    }
}
