//! Index versions that are complete in each block, as reported by VMs that connect to it.

use std::sync::Mutex;

use crate::ids::{BlockId, BootId, IndexVersion};
use crate::locks::lock;
use crate::messages::{Fact, FactBody};

/// Limit of origins per block whose last sequence number is kept.
const MAX_ORIGINS: usize = 8;

struct Report {
    block: BlockId,
    /// Last sequence number of each origin; the origin of the last report comes last.
    origins: Vec<(BootId, u64)>,
    versions: Vec<IndexVersion>,
}

/// Last report of each block.
#[derive(Default)]
pub struct BlockVersions {
    /// Sorted by block.
    reports: Mutex<Vec<Report>>,
}

impl BlockVersions {
    /// Returns the versions last reported for a block, or none without a report.
    pub fn get(&self, block: BlockId) -> Vec<IndexVersion> {
        let reports = lock(&self.reports);
        match reports.binary_search_by_key(&block, |report| report.block) {
            Ok(index) => reports[index].versions.clone(),
            Err(_) => Vec::new(),
        }
    }

    /// Returns the last report of each block as facts, which are sent over a new link.
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

    /// Applies a report; returns false, and changes nothing, if its sequence number is not above the last one of its
    /// origin.
    pub fn apply_report(
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
        if report.origins.iter().any(|&(other, last)| other == origin && last >= sequence) {
            return false;
        }
        report.origins.retain(|&(other, _)| other != origin);
        report.origins.push((origin, sequence));
        if report.origins.len() > MAX_ORIGINS {
            report.origins.remove(0);
        }
        report.versions = versions.to_vec();
        true
    }
}
