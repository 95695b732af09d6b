//! Which VMs reach which backend servers, and with how many connections.
//!
//! Everything here is a pure function of published data, so VMs agree without talking.

use crate::configuration::published::Fleet;
use crate::derives::value_types;
use crate::ids::{BlockId, VmId, rendezvous_weight};
use crate::messages::PeerVm;

value_types! {
    /// How the connections of a backend server are divided among the VMs.
    #[derive(Copy, Eq)]
    pub struct ConnectionSplit {
        /// VMs that connect to it.
        pub group_size: u64,
        /// Connections each of them may hold.
        pub connections_per_vm: u64,
    }
}

/// Divides a connection limit so that the sum stays below it while VMs are replaced.
pub fn split_connections(fleet: &Fleet, connection_limit: u64) -> ConnectionSplit {
    let everybody = fleet.planned_vms + fleet.replaced_at_once;
    if everybody <= connection_limit {
        return ConnectionSplit {
            group_size: fleet.planned_vms,
            connections_per_vm: connection_limit / everybody,
        };
    }
    let reserve = fleet.replaced_at_once.min(connection_limit.saturating_sub(1));
    ConnectionSplit { group_size: connection_limit - reserve, connections_per_vm: 1 }
}

/// Returns whether a VM is among those that reach a block.
pub fn is_in_group(
    fleet: &Fleet,
    group_size: u64,
    block: BlockId,
    vms: &[&PeerVm],
    vm_id: &str,
) -> bool {
    if group_size >= fleet.planned_vms {
        return true;
    }
    group_members(group_size, block, vms).iter().any(|member| member == vm_id)
}

/// Returns the VMs that reach a block, by rendezvous hash.
pub fn group_members(group_size: u64, block: BlockId, vms: &[&PeerVm]) -> Vec<VmId> {
    let mut weighted: Vec<(u64, &str)> =
        vms.iter().map(|vm| (rendezvous_weight(block, &vm.id), vm.id.as_str())).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(group_size as usize);
    weighted.into_iter().map(|(_, id)| id.to_string()).collect()
}
