//! Index versions that blocks hold completely, as VMs that reach them report.

use std::sync::Mutex;

use crate::ids::{BlockId, BootId, IndexVersion};
use crate::locks::lock;
use crate::messages::{Fact, FactBody};

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
