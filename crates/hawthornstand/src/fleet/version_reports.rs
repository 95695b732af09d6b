//! Reports to other VMs which index versions are complete in a block.

use std::sync::Arc;
use std::time::Duration;

use crate::backends::connection_group_table::BlockGroup;
use crate::configuration::published::AcceptedConfig;
use crate::ids::{BlockId, IndexVersion};
use crate::messages::{Fact, FactBody, Frame};
use crate::process::context::Context;
use crate::searches::planner::complete_versions;

/// Interval between two checks of the blocks that this VM reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of checks after which an unchanged report is repeated.
const CHECKS_PER_REPEAT: u64 = 20;

/// Reports the blocks for which this VM is the first reachable member of the connection group.
///
/// Runs until the process ends; a report is sent when it changes, and repeated periodically.
pub async fn run(context: Arc<Context>) {
    let mut ticks = context.timer.subscribe(CHECK_INTERVAL);
    let mut reported: Vec<(BlockId, Vec<IndexVersion>)> = Vec::new();
    let mut checks: u64 = 0;
    while ticks.next().await.is_some() {
        checks += 1;
        let Some(accepted) = context.config.accepted() else { continue };
        if checks.is_multiple_of(CHECKS_PER_REPEAT) {
            reported.clear();
        }
        for group in &context.connection_groups(&accepted).blocks {
            let block = group.block;
            if !is_reporter(&context, &accepted, group) {
                continue;
            }
            let versions = complete_versions(&context, &accepted, block);
            if reported.iter().any(|sent| sent.0 == block && sent.1 == versions) {
                continue;
            }
            reported.retain(|sent| sent.0 != block);
            reported.push((block, versions.clone()));
            let body = FactBody::BlockVersions { block, versions: versions.clone() };
            let fact = Fact { origin: context.identity.boot_id, ..context.peers.new_fact(body) };
            context.block_versions.apply_report(block, fact.origin, fact.sequence, &versions);
            context.peers.broadcast(&Frame::Facts { facts: vec![fact] }, None);
        }
    }
}

/// Returns whether this VM reports a block; blocks to which every VM connects need no report.
fn is_reporter(context: &Context, accepted: &AcceptedConfig, group: &BlockGroup) -> bool {
    let own_vm_id = &context.identity.vm_id;
    if group.vm_ids.len() as u64 >= accepted.fleet.planned_vms || !group.vm_ids.contains(own_vm_id)
    {
        return false;
    }
    group.vm_ids.iter().find(|id| *id == own_vm_id || !context.peers.is_unreachable(id))
        == Some(own_vm_id)
}
