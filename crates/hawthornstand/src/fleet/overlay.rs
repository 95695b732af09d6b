//! Keeps gossip links to a few other VMs, so that gossip reaches every VM in a few hops.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::fleet::link;
use crate::ids::VmId;
use crate::messages::PeerVm;
use crate::process::context::Context;

/// Interval between two checks for missing links.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Opens missing links until the process ends.
pub async fn run(context: Arc<Context>) {
    let mut ticks = context.timer.subscribe(CHECK_INTERVAL);
    let mut changes = context.config.subscribe();
    loop {
        tokio::select! {
            tick = ticks.next() => if tick.is_none() { return },
            changed = changes.changed() => if changed.is_err() { return },
        }
        changes.mark_unchanged();
        let mut dials = Vec::new();
        for (vm_id, address) in link_targets(&context) {
            if vm_id.as_ref().is_some_and(|id| context.peers.find(id).is_some()) {
                continue;
            }
            let context = Arc::clone(&context);
            dials.push(tokio::spawn(async move { open_link(&context, vm_id, &address).await }));
        }
        for dial in dials {
            if let Err(e) = dial.await {
                log::error!("a task that opens a link failed: {e}; please report this");
            }
        }
    }
}

/// Returns the VMs that a VM opens links to: those at distances 1, 2, 4, 8 and so on in the sorted list, which is
/// taken as a ring.
pub fn neighbours(vms: &[&PeerVm], own_vm_id: &str) -> Vec<VmId> {
    let mut ids: Vec<&str> = vms.iter().map(|vm| vm.id.as_str()).collect();
    ids.sort_unstable();
    let position = match ids.binary_search(&own_vm_id) {
        Ok(position) => position,
        Err(position) => {
            ids.insert(position, own_vm_id);
            position
        }
    };
    let mut result: Vec<VmId> = Vec::new();
    let mut distance = 1;
    while distance < ids.len() {
        result.push(ids[(position + distance) % ids.len()].to_string());
        distance *= 2;
    }
    result
}

/// Returns the ids and addresses of the VMs to link to.
///
/// Without a VM list these are the seed peers, whose ids are not known, until a first link is open.
fn link_targets(context: &Context) -> Vec<(Option<VmId>, String)> {
    let list = context.config.list();
    let vms: Vec<&PeerVm> = list.vms.iter().filter(|vm| vm.entry).collect();
    if vms.is_empty() {
        if !context.peers.all().is_empty() {
            return Vec::new();
        }
        let own_address = &context.settings.peer_address;
        return context
            .settings
            .seed_peers
            .iter()
            .filter(|seed| *seed != own_address)
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

/// Opens a link after a short random delay, so that the VMs of a restarted fleet do not all dial at once.
async fn open_link(context: &Arc<Context>, vm_id: Option<VmId>, address: &str) {
    let delay_ms = rand::rng().random_range(0..50);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let opened = link::dial(context, address, false).await;
    if let (false, Some(vm_id)) = (opened, vm_id) {
        context.peers.mark_unreachable(&vm_id);
    }
}
