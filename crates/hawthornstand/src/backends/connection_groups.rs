//! Which VMs connect to which backend servers, and with how many connections.
//!
//! Everything here is a pure function of published data, so all VMs compute the same groups without exchanging
//! messages.

use crate::configuration::published::Fleet;
use crate::derives::value_types;
use crate::ids::{BlockId, VmId, rendezvous_weight};
use crate::messages::PeerVm;

value_types! {
    /// How the connection limit of a backend server is split among VMs.
    #[derive(Copy, Eq)]
    pub struct ConnectionSplit {
        /// Connections that each of the VMs may hold.
        pub connections_per_vm: u64,
        /// Number of VMs that connect to the backend server.
        pub group_size: u64,
    }
}

/// Splits a connection limit so that the sum stays within it while VMs are replaced.
pub fn split_connections(fleet: &Fleet, connection_limit: u64) -> ConnectionSplit {
    let max_vms = fleet.planned_vms + fleet.replaced_at_once;
    if max_vms <= connection_limit {
        return ConnectionSplit {
            connections_per_vm: connection_limit / max_vms,
            group_size: fleet.planned_vms,
        };
    }
    let reserve = fleet.replaced_at_once.min(connection_limit.saturating_sub(1));
    ConnectionSplit { connections_per_vm: 1, group_size: connection_limit - reserve }
}

/// Returns whether a VM belongs to the group that connects to a block.
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

/// Returns the VMs that connect to a block, chosen by rendezvous hashing, highest weight first.
pub fn group_members(group_size: u64, block: BlockId, vms: &[&PeerVm]) -> Vec<VmId> {
    let mut weighted: Vec<(u64, &str)> =
        vms.iter().map(|vm| (rendezvous_weight(block, &vm.id), vm.id.as_str())).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(group_size as usize);
    weighted.into_iter().map(|(_, id)| id.to_string()).collect()
}
