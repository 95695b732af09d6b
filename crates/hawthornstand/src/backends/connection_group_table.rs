//! Caches which VMs connect to which blocks until the configuration or the VM list changes.

use std::sync::{Arc, PoisonError, RwLock};

use crate::backends::connection_groups::{group_members, is_in_group, split_connections};
use crate::configuration::published::AcceptedConfig;
use crate::derives::value_types;
use crate::ids::{BlockId, Revision, VmId};
use crate::messages::{PeerVm, PeerVmList};

value_types! {
    /// The VMs that connect to one block.
    #[derive(Eq)]
    pub struct BlockGroup {
        pub block: BlockId,
        pub includes_own_vm: bool,
        /// Highest rendezvous weight first.
        pub vm_ids: Vec<VmId>,
    }

    /// Connection groups of all blocks under one configuration and one VM list.
    #[derive(Default, Eq)]
    pub struct ConnectionGroupTable {
        /// Sorted by block.
        pub blocks: Vec<BlockGroup>,
        config_revision: Revision,
        list_revision: Revision,
    }
}

impl ConnectionGroupTable {
    /// Returns the group of a block.
    pub fn get(&self, block: BlockId) -> Option<&BlockGroup> {
        let index = self.blocks.binary_search_by_key(&block, |group| group.block).ok()?;
        Some(&self.blocks[index])
    }
}

/// Caches the table of the last configuration and VM list.
#[derive(Default)]
pub struct ConnectionGroupCache {
    last: RwLock<Arc<ConnectionGroupTable>>,
}

impl ConnectionGroupCache {
    /// Returns the table for a configuration and a VM list, recomputed if either has changed.
    pub fn table(
        &self,
        accepted: &AcceptedConfig,
        list: &PeerVmList,
        own_vm_id: &VmId,
    ) -> Arc<ConnectionGroupTable> {
        let key = (accepted.raw.revision, list.revision);
        let last = self.last.read().unwrap_or_else(PoisonError::into_inner).clone();
        if (last.config_revision, last.list_revision) == key {
            return last;
        }
        let computed = Arc::new(compute_table(accepted, list, own_vm_id));
        *self.last.write().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&computed);
        computed
    }
}

/// Computes the group of every block; its size follows from the smallest connection limit in the block.
fn compute_table(
    accepted: &AcceptedConfig,
    list: &PeerVmList,
    own_vm_id: &VmId,
) -> ConnectionGroupTable {
    let vms: Vec<&PeerVm> = list.vms.iter().filter(|vm| vm.entry && !vm.leaving).collect();
    let mut limits: Vec<(BlockId, u64)> =
        accepted.leafs.iter().map(|leaf| (leaf.block, leaf.server.connection_limit)).collect();
    limits.sort_unstable();
    limits.dedup_by_key(|(block, _)| *block);
    let mut blocks = Vec::with_capacity(limits.len());
    for (block, limit) in limits {
        let group_size = split_connections(&accepted.fleet, limit).group_size;
        blocks.push(BlockGroup {
            block,
            includes_own_vm: is_in_group(&accepted.fleet, group_size, block, &vms, own_vm_id),
            vm_ids: group_members(group_size, block, &vms),
        });
    }
    ConnectionGroupTable {
        blocks,
        config_revision: accepted.raw.revision,
        list_revision: list.revision,
    }
}
