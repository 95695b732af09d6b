//! Merges answers of one index version into one search answer with exact coverage.

use crate::ids::{IndexVersion, Slice};
use crate::messages::{Coverage, Hit, LeafAnswer, MissingReason, MissingSlices, SearchAnswer};
use crate::searches::slices::SliceSet;

/// Merges answers; of several answers for a slice, only the first counts.
pub struct Merger {
    covered: SliceSet,
    hits: Vec<Hit>,
    missing: Vec<(MissingReason, SliceSet)>,
    requested: SliceSet,
    version: IndexVersion,
}

impl Merger {
    /// Creates an empty merger for the requested slices at one version.
    pub fn new(version: IndexVersion, requested: SliceSet) -> Self {
        Self {
            covered: SliceSet::default(),
            hits: Vec::new(),
            missing: Vec::new(),
            requested,
            version,
        }
    }

    /// Adds an answer, unless it is of another version; returns the newly covered slices.
    pub fn add(&mut self, answer: LeafAnswer) -> SliceSet {
        if answer.version != self.version {
            return SliceSet::default();
        }
        let searched = SliceSet::from_ranges(&answer.slices).intersection(&self.requested);
        let newly_covered = searched.difference(&self.covered);
        for hit in answer.hits {
            if newly_covered.contains(hit.slice) {
                self.hits.push(hit);
            }
        }
        self.covered.insert_all(&newly_covered);
        newly_covered
    }

    /// Records why slices are missing; it is reported for those that stay uncovered.
    pub fn add_missing(&mut self, reason: MissingReason, slices: SliceSet) {
        self.missing.push((reason, slices));
    }

    /// Returns the requested slices that are not covered yet.
    pub fn uncovered(&self) -> SliceSet {
        self.requested.difference(&self.covered)
    }

    /// Builds the answer with at most `limit` hits; missing slices without a recorded reason count as `Deadline`.
    pub fn finish(mut self, service: &str, limit: usize) -> SearchAnswer {
        self.hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
        self.hits.truncate(limit);
        let coverage = self.coverage();
        SearchAnswer {
            coverage,
            hits: self.hits,
            service: service.to_string(),
            version: self.version,
        }
    }

    /// Returns the covered slices and, for each missing slice, the last reason recorded.
    fn coverage(&self) -> Coverage {
        let mut unexplained = self.uncovered();
        let complete = unexplained.is_empty();
        let mut missing: Vec<MissingSlices> = Vec::new();
        for (reason, slices) in self.missing.iter().rev() {
            let explained = slices.intersection(&unexplained);
            if explained.is_empty() {
                continue;
            }
            unexplained = unexplained.difference(&explained);
            missing.push(MissingSlices { reason: *reason, slices: explained.to_ranges() });
        }
        if !unexplained.is_empty() {
            missing.push(MissingSlices {
                reason: MissingReason::Deadline,
                slices: unexplained.to_ranges(),
            });
        }
        missing.sort_by_key(|entry| entry.slices.first().map(|range| range.start));
        Coverage { complete, covered: self.covered.to_ranges(), missing }
    }
}

/// Returns the slice that a key hashes to, from `slice_start` up to but not including `slice_end`.
pub fn slice_of(key: &str, slice_start: Slice, slice_end: Slice) -> Slice {
    let width = slice_end.saturating_sub(slice_start).max(1);
    slice_start + xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % width
}
