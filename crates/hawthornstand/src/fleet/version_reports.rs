//! Reports to other VMs which index versions a block holds completely.

use std::sync::Arc;
use std::time::Duration;

use crate::backends::connection_group_table::BlockGroup;
use crate::configuration::published::Accepted;
use crate::ids::{BlockId, IndexVersion};
use crate::messages::{Fact, FactBody, Frame};
use crate::process::context::Context;
use crate::searches::planner::complete_versions;

/// Time between two looks at the blocks this VM reports.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Looks after which an unchanged report is repeated.
const LOOKS_PER_REPEAT: u64 = 20;

/// Reports the blocks whose first reachable group member this VM is.
pub async fn run(context: Arc<Context>) {
    let mut ticks = context.timer.subscribe(LOOK_INTERVAL);
    let mut reported: Vec<(BlockId, Vec<IndexVersion>)> = Vec::new();
    let mut looks: u64 = 0;
    while ticks.next().await.is_some() {
        looks += 1;
        let Some(accepted) = context.config.accepted() else { continue };
        if looks.is_multiple_of(LOOKS_PER_REPEAT) {
            reported.clear();
        }
        for reach in &context.reach(&accepted).blocks {
            let block = reach.block;
            if !reports_block(&context, &accepted, reach) {
                continue;
            }
            let versions = complete_versions(&context, &accepted, block);
            if reported.iter().any(|known| known.0 == block && known.1 == versions) {
                continue;
            }
            reported.retain(|known| known.0 != block);
            reported.push((block, versions.clone()));
            let body = FactBody::BlockVersions { block, versions: versions.clone() };
            let fact = Fact { origin: context.identity.boot_id, ..context.peers.state_fact(body) };
            context.block_versions.set(block, fact.origin, fact.sequence, &versions);
            context.peers.broadcast(&Frame::Facts { facts: vec![fact] }, None);
        }
    }
}

/// Returns whether this VM speaks for a block; nobody needs to where every VM reaches it.
fn reports_block(context: &Context, accepted: &Accepted, reach: &BlockGroup) -> bool {
    let own = &context.identity.vm_id;
    if reach.vm_ids.len() as u64 >= accepted.fleet.planned_vms || !reach.vm_ids.contains(own) {
        return false;
    }
    reach.vm_ids.iter().find(|id| *id == own || !context.peers.is_unreachable(id)) == Some(own)
}
