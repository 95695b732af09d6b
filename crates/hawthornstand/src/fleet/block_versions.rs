//! Index versions that blocks hold completely, as VMs that reach them report.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::backends::reach_table::BlockReach;
use crate::configuration::published::Accepted;
use crate::ids::{BlockId, BootId, IndexVersion};
use crate::locks::lock;
use crate::messages::{Fact, FactBody, Frame};
use crate::process::context::Context;
use crate::searches::planner::complete_versions;

/// Time between two looks at the blocks this VM reports.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Looks after which an unchanged report is repeated.
const LOOKS_PER_REPEAT: u64 = 20;

/// Origins remembered per block.
const MAX_ORIGINS: usize = 8;

struct Report {
    block: BlockId,
    /// Last number seen of each origin, the latest origin last.
    origins: Vec<(BootId, u64)>,
    versions: Vec<IndexVersion>,
}

/// Last report per block, sorted by block.
#[derive(Default)]
pub struct BlockVersions {
    reports: Mutex<Vec<Report>>,
}

impl BlockVersions {
    /// Returns the versions last reported for a block.
    pub fn get(&self, block: BlockId) -> Vec<IndexVersion> {
        let reports = lock(&self.reports);
        match reports.binary_search_by_key(&block, |report| report.block) {
            Ok(index) => reports[index].versions.clone(),
            Err(_) => Vec::new(),
        }
    }

    /// Returns the last report of each block, for a VM that has just been linked.
    pub fn facts(&self) -> Vec<Fact> {
        let mut facts = Vec::new();
        for report in lock(&self.reports).iter() {
            let Some(&(origin, sequence)) = report.origins.last() else { continue };
            let body =
                FactBody::BlockVersions { block: report.block, versions: report.versions.clone() };
            facts.push(Fact { body, origin, sequence });
        }
        facts
    }

    /// Takes a report over; one seen before or an older one of its origin changes nothing. Returns whether it is new.
    pub fn set(
        &self,
        block: BlockId,
        origin: BootId,
        sequence: u64,
        versions: &[IndexVersion],
    ) -> bool {
        let mut reports = lock(&self.reports);
        let index = match reports.binary_search_by_key(&block, |report| report.block) {
            Ok(index) => index,
            Err(index) => {
                reports.insert(index, Report { block, origins: Vec::new(), versions: Vec::new() });
                index
            }
        };
        let report = &mut reports[index];
        if report.origins.iter().any(|&(known, last)| known == origin && last >= sequence) {
            return false;
        }
        report.origins.retain(|&(known, _)| known != origin);
        report.origins.push((origin, sequence));
        if report.origins.len() > MAX_ORIGINS {
            report.origins.remove(0);
        }
        report.versions = versions.to_vec();
        true
    }
}

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
fn reports_block(context: &Context, accepted: &Accepted, reach: &BlockReach) -> bool {
    let own = &context.identity.vm_id;
    if reach.group.len() as u64 >= accepted.fleet.planned_vms || !reach.group.contains(own) {
        return false;
    }
    reach.group.iter().find(|id| *id == own || !context.peers.is_unreachable(id)) == Some(own)
}
